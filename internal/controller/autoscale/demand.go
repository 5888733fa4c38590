package autoscale

import (
	"math"
	"slices"
)

// NoTeam is the team of demands that are not subject to a team limit.
const NoTeam = -1

// tolerance is the rounding error allowed for in quotients of resources before they are rounded down.
const tolerance = 1e-6

// Demand is the open work of one kind: the machines it may run on, and its amount.
type Demand struct {
	Team            int // the team whose limit applies, or NoTeam
	Spot            bool
	IdleTimeWork    bool    // idle-time work: only spot machines are scaled out for it
	Types           []int   // machine types that it may run on; empty: any
	Zone            int     // the zone that it must run in; -1: any
	Cpus, Gpus, Mem float64 // per task: CPUs, accelerators, memory in GB
	Tasks           int     // waiting and placed tasks
	TaskSeconds     float64 // remaining work in task-seconds
	CompleteWithinS float64 // seconds in which the work should be completed; 0: no deadline
}

// Fits reports whether a demand's tasks may run on machines of a pool that have the given resources.
func (d *Demand) Fits(pool Pool, cpus, gpus, mem float64) bool {
	return d.mayUsePool(pool) && d.Cpus <= cpus && d.Gpus <= gpus && d.Mem <= mem
}

// mayUsePool reports whether a pool satisfies a demand's constraints on spot or on-demand machines, zone
// and machine type.
func (d *Demand) mayUsePool(pool Pool) bool {
	return (d.Spot || !pool.Spot) && (pool.Spot || !d.IdleTimeWork) && (d.Zone < 0 || d.Zone == pool.Zone) &&
		(len(d.Types) == 0 || slices.Contains(d.Types, pool.Type))
}

// concurrentTasks returns how many tasks should run at once for the work to be completed in time. horizon
// is as for Decide.
func (d *Demand) concurrentTasks(horizon float64) float64 {
	tasks := float64(d.Tasks)
	if d.CompleteWithinS > 0 && horizon > 0 {
		tasks = min(tasks, math.Ceil(d.TaskSeconds/(horizon*d.CompleteWithinS)))
	}
	return tasks
}

// tasksPerMachine returns how many of a demand's tasks fit on an empty machine.
func (d *Demand) tasksPerMachine(cpus, gpus, mem float64) float64 {
	tasks := math.Inf(1)
	for _, resource := range [...]struct{ capacity, perTask float64 }{{cpus, d.Cpus}, {gpus, d.Gpus}, {mem, d.Mem}} {
		if resource.perTask > 0 {
			tasks = min(tasks, math.Floor(resource.capacity/resource.perTask+tolerance))
		}
	}
	return max(tasks, 0)
}

// rank orders the demands: those that may run on the fewest kinds of machines have the lowest rank. Each
// property that widens the choice outweighs all less significant ones together. Idle-time work ranks last
// and uses the capacity that remains.
func (d *Demand) rank() int {
	rank := 0
	if d.IdleTimeWork {
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
