package controller

import (
	"math"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file computes the capacity that open work needs, the input of the leader's scale-out decisions.

const (
	// serviceWorkS is the run time, in seconds, that is assumed for a replica of a service, which never ends.
	serviceWorkS = 1e6
	// allowedTimeStep is the width of the steps of allowed time by which jobs are grouped into one demand.
	allowedTimeStep = 20 * time.Second
	// defaultWithinS is the allowed time, in seconds, of work without an objective; the allowed time of other
	// work is at least minWithinS.
	defaultWithinS = 120
	minWithinS     = 5
	// recentServiceWindow is the period in which submitted services count as recent.
	recentServiceWindow = 2 * time.Minute
	// readyBootFactor is the time until a new machine is up and has fetched a service's image, as a multiple
	// of the longest boot time.
	readyBootFactor = 1.5
)

// demandKind holds the properties that jobs must share to be grouped into one demand.
type demandKind struct {
	spot         bool
	idle         bool
	zone         int
	class        int
	firstType    int // first allowed machine type; -1: any type
	cpus         float64
	allowedSteps int // allowed time in units of allowedTimeStep
	team         int // autoscale.NoTeam if the team has no limit
}

// demandTotals adds up demands by kind, in the order of the first job of each kind.
type demandTotals struct {
	index   map[demandKind]int
	demands []autoscale.Demand
}

// add adds tasks of a job to the demand of its kind.
func (s *demandTotals) add(kind demandKind, job *storage.Job, tasks int, allowed time.Duration) {
	i, ok := s.index[kind]
	if !ok {
		i = len(s.demands)
		s.index[kind] = i
		s.demands = append(s.demands, newDemand(kind, job, allowed))
	}
	demand := &s.demands[i]
	demand.Tasks += tasks
	workS := float64(serviceWorkS)
	if job.Shape != protocol.Service {
		workS = max(job.Estimate, 1)
	}
	demand.TaskSeconds += float64(tasks) * workS
}

// newDemand returns a demand with the properties of a job and no tasks.
func newDemand(kind demandKind, job *storage.Job, allowed time.Duration) autoscale.Demand {
	withinS := max(minWithinS, allowed.Seconds())
	if allowed == 0 {
		withinS = defaultWithinS
	}
	return autoscale.Demand{Team: kind.team, Spot: kind.spot, IdleTimeWork: kind.idle, Types: job.Types, Zone: kind.zone,
		Cpus: job.Cpus, Gpus: job.Gpus, Mem: job.Mem, CompleteWithinS: withinS}
}

// demands returns the capacity demand of the open work, grouped by what the work may run on, and separately
// for each team with a limit: the jobs of a team together demand no more than the team's limit allows. When
// demand was bounded for each job alone, a team with many jobs had twice the machines provisioned that it
// could use.
func (c *Controller) demands(now time.Time) []autoscale.Demand {
	sums := demandTotals{index: map[demandKind]int{}}
	var zones *zoneCapacity
	for _, job := range c.cache.Jobs {
		if job == nil || !job.Open() {
			continue
		}
		allowed := c.timeAllowed(job, now)
		kind := c.demandKindOf(job, allowed, now)
		if job.Spread && !job.Spot && job.Zone < 0 {
			if zones == nil {
				zones = c.zoneCapacity(now)
			}
			for zone, tasks := range zones.demandByZone(job) {
				if tasks > 0 {
					kind.zone = zone
					sums.add(kind, job, tasks, allowed)
				}
			}
			continue
		}
		tasks := job.PlacedCount - c.tasksInUnreachableZones(job, now) + c.wantedTasks(job)
		tasks = schedule.CapacityWithin(c.cache.Teams[job.Team], storage.Usage{}, job, tasks)
		sums.add(kind, job, tasks, allowed)
	}
	autoscale.CapToLimits(sums.demands, targetTimeFraction, func(team int) autoscale.Limit {
		t := c.cache.Teams[team]
		return autoscale.Limit{Cpus: t.CpusMax, Gpus: t.GpusMax}
	})
	return sums.demands
}

// demandKindOf returns the kind of a job's demand, in the zone that the job names.
func (c *Controller) demandKindOf(job *storage.Job, allowed time.Duration, now time.Time) demandKind {
	kind := demandKind{
		spot:         job.Spot,
		idle:         allowed == 0 && c.isIdleWork(job, now),
		zone:         job.Zone,
		class:        job.Class,
		firstType:    -1,
		cpus:         job.Cpus,
		allowedSteps: int(allowed / allowedTimeStep),
		team:         autoscale.NoTeam,
	}
	if len(job.Types) > 0 {
		kind.firstType = job.Types[0]
	}
	if c.limited(job.Team) {
		kind.team = job.Team
	}
	return kind
}

// zoneCapacity holds the free capacity of on-demand machines by zone, for jobs that are spread over zones.
// Capacity is in CPUs, as storage.Job.TaskSize is, and negative where the demand already exceeds it.
type zoneCapacity struct {
	c           *Controller
	now         time.Time
	free        []float64
	canScaleOut []bool // machines of some type can be requested in the zone, as far as is known
}

func (c *Controller) zoneCapacity(now time.Time) *zoneCapacity {
	zones := c.cache.Zones.Len()
	capacity := &zoneCapacity{c: c, now: now, free: make([]float64, zones), canScaleOut: make([]bool, zones)}
	for typeIndex := range c.cache.Types {
		for _, zone := range c.cache.Types[typeIndex].Zones {
			pool := autoscale.Pool{Type: typeIndex, Zone: zone}
			if !c.leader.isBlocked(pool, now) && !c.reachability.zoneUnreachable(zone) {
				capacity.canScaleOut[zone] = true
			}
		}
	}
	for machine := range c.machinesInService() {
		if machine.Spot || machine.Unhealthy || machine.Draining || c.reachability.zoneUnreachable(machine.Zone) || c.bootOverdue(machine, bootTimeoutFactor, now) {
			continue
		}
		left := c.cache.Types[machine.Type].Cpus
		for _, placed := range machine.Tasks {
			if placed.Job.Priority.IsTop() {
				left -= placed.Job.TaskSize
			}
		}
		capacity.free[machine.Zone] += max(0, left)
	}
	return capacity
}

// demandByZone returns the capacity that a spread job needs in each zone, in tasks: in the zones of its
// placed tasks, and for each waiting task in the zone with the most free capacity that may hold more of the
// job. Capacity in a zone that already holds half of the job's tasks does not help it: services waited for
// minutes next to free machines in such a zone while nothing was provisioned elsewhere.
func (z *zoneCapacity) demandByZone(job *storage.Job) []int {
	needed := make([]int, len(z.free))
	placed := make([]int, len(z.free))
	for zone, tasks := range job.PlacedByZone {
		placed[zone] = int(tasks)
		if !z.c.needsNoReplacement(zone, z.now) {
			needed[zone] = int(tasks)
		}
	}
	for range z.c.wantedTasks(job) {
		best := z.bestZone(job, placed)
		if best < 0 {
			break // no zone can hold the remaining tasks at present
		}
		placed[best]++
		needed[best]++
		z.free[best] -= job.TaskSize
	}
	return needed
}

// bestZone returns the zone with the most capacity for one more task of a job, -1 if there is none.
func (z *zoneCapacity) bestZone(job *storage.Job, placed []int) int {
	best := -1
	for zone, free := range z.free {
		if placed[zone] >= job.MaxPerZone() || z.c.reachability.zoneUnreachable(zone) || free < job.TaskSize && !z.canScaleOut[zone] {
			continue
		}
		if best < 0 || free > z.free[best] {
			best = zone
		}
	}
	return best
}

// expectedServiceDemand returns the demand of the services that are likely to be submitted before a machine
// that is requested now would be up and have their image, estimated from recent submissions. Work that
// services can preempt counts as capacity. Without this demand each new service had to wait for a machine to
// boot after running services had been consolidated on few machines.
func (c *Controller) expectedServiceDemand(now time.Time) (demand autoscale.Demand, expected bool) {
	demand = autoscale.Demand{Team: autoscale.NoTeam, Zone: -1, CompleteWithinS: minWithinS}
	recentCpus := 0.0
	for _, job := range c.cache.Jobs {
		if job == nil || job.Shape != protocol.Service || job.Spot || !job.Open() || len(job.Types) > 0 || job.Zone >= 0 {
			continue
		}
		if age := now.Sub(job.Submitted); age < recentServiceWindow && age >= 0 {
			recentCpus += float64(job.Tasks) * job.TaskSize
		}
		if job.TaskSize > demand.Cpus {
			demand.Cpus, demand.Gpus, demand.Mem = job.TaskSize, job.Gpus, job.Mem
		}
	}
	if recentCpus == 0 {
		return demand, false
	}
	expectedCpus := recentCpus * min(1, c.provisioningLeadS()/recentServiceWindow.Seconds())
	demand.Tasks = int(math.Ceil((expectedCpus - c.preemptibleCpus()) / demand.Cpus))
	demand.TaskSeconds = serviceWorkS * float64(demand.Tasks)
	return demand, demand.Tasks > 0
}

// provisioningLeadS returns how many seconds in advance a machine must be requested.
func (c *Controller) provisioningLeadS() float64 {
	leadS := 0.0
	for i := range c.cache.Types {
		leadS = max(leadS, readyBootFactor*c.cache.Types[i].BootSeconds)
	}
	return leadS
}

// preemptibleCpus returns the size of the tasks on on-demand machines that services can preempt, in CPUs.
func (c *Controller) preemptibleCpus() float64 {
	preemptible := 0.0
	for machine := range c.machinesInService() {
		if machine.Draining || machine.Spot || c.reachability.zoneUnreachable(machine.Zone) {
			continue
		}
		for _, placed := range machine.Tasks {
			if !placed.Job.Priority.IsTop() {
				preemptible += placed.Job.TaskSize
			}
		}
	}
	return preemptible
}

// tasksInUnreachableZones returns the number of a job's tasks in zones that are unreachable and need no
// capacity elsewhere.
func (c *Controller) tasksInUnreachableZones(job *storage.Job, now time.Time) int {
	unreachable := 0
	for zone, tasks := range job.PlacedByZone {
		if c.needsNoReplacement(zone, now) {
			unreachable += int(tasks)
		}
	}
	return unreachable
}
