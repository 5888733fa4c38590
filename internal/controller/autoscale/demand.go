package autoscale

import (
	"math"
	"slices"
)

// NoTeam is the team of demands that no limit bounds.
const NoTeam = -1

// tolerance is by how much quotients of resources may be off before they are rounded down.
const tolerance = 1e-6

// Demand is work of one kind: what it may run on and how much there is.
type Demand struct {
	Team            int // whose limit bounds it, or NoTeam
	Spot            bool
	Idle            bool    // idle-time work: worth spot machines only
	Types           []int   // machine types that it may run on; empty: any
	Zone            int     // that it must run in; -1: any
	Cpus, Gpus, Mem float64 // of one task: CPUs, accelerators, GB
	Tasks           int     // waiting and placed
	Work            float64 // task-seconds still to run
	WithinS         float64 // seconds in which it should be through; 0: no hurry
}

// Fits tells whether a demand's tasks may run on a pool's machines, which have so much of each resource.
func (d *Demand) Fits(pool Pool, cpus, gpus, mem float64) bool {
	return d.mayUsePool(pool) && d.Cpus <= cpus && d.Gpus <= gpus && d.Mem <= mem
}

// mayUsePool tells whether a demand's tasks may run in a pool, by spot or on-demand, zone and type.
func (d *Demand) mayUsePool(pool Pool) bool {
	return (d.Spot || !pool.Spot) && (pool.Spot || !d.Idle) && (d.Zone < 0 || d.Zone == pool.Zone) &&
		(len(d.Types) == 0 || slices.Contains(d.Types, pool.Type))
}

// concurrentTasks is how many tasks should run at once for the work to be through in time. horizon is as for
// Decide.
func (d *Demand) concurrentTasks(horizon float64) float64 {
	tasks := float64(d.Tasks)
	if d.WithinS > 0 && horizon > 0 {
		tasks = min(tasks, math.Ceil(d.Work/(horizon*d.WithinS)))
	}
	return tasks
}

// tasksPerMachine is how many tasks of a demand fit on an empty machine.
func (d *Demand) tasksPerMachine(cpus, gpus, mem float64) float64 {
	tasks := math.Inf(1)
	for _, resource := range [...]struct{ capacity, perTask float64 }{{cpus, d.Cpus}, {gpus, d.Gpus}, {mem, d.Mem}} {
		if resource.perTask > 0 {
			tasks = min(tasks, math.Floor(resource.capacity/resource.perTask+tolerance))
		}
	}
	return max(tasks, 0)
}

// rank puts the demands that may run on the fewest kinds of machine first: each property that widens
// the choice outweighs all below it. Idle-time work takes what the others leave.
func (d *Demand) rank() int {
	rank := 0
	if d.Idle {
		rank += 8
	}
	if d.Spot {
		rank += 4
	}
	if d.Zone < 0 {
		rank += 2
	}
	if len(d.Types) == 0 {
		rank++
	}
	return rank
}
