package controller

import (
	"math"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file works out what capacity the open work needs, for the leader's scale-out requests.

const (
	// serviceWorkS stands for the run time, in seconds, of a service's replica, which never ends.
	serviceWorkS = 1e6
	// allowedTimeStep is how far apart the allowed times of jobs may be that are summed up as one demand.
	allowedTimeStep = 20 * time.Second
	// defaultWithinS is the allowed time, in seconds, of work that no objective names; other work
	// has at least minWithinS.
	defaultWithinS = 120
	minWithinS     = 5
	// recentServiceWindow is how far back services are counted that came.
	recentServiceWindow = 2 * time.Minute
	// readyBootFactor is how many times the longest boot time a new machine takes until it is up and
	// has a service's image.
	readyBootFactor = 1.5
)

// demandKind is what jobs have in common that are summed up as one demand.
type demandKind struct {
	spot         bool
	idle         bool
	zone         int
	class        int
	firstType    int // machine type that is allowed first, -1 if any is
	cpus         float64
	allowedSteps int // allowed time, in steps
	team         int // autoscale.NoTeam if it has no limit
}

// demandTotals sums up demands by kind, in the order of their first jobs.
type demandTotals struct {
	index   map[demandKind]int
	demands []autoscale.Demand
}

// add counts some of a job's tasks.
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
	demand.Work += float64(tasks) * workS
}

// newDemand is a demand of no tasks yet, like those of a job.
func newDemand(kind demandKind, job *storage.Job, allowed time.Duration) autoscale.Demand {
	withinS := max(minWithinS, allowed.Seconds())
	if allowed == 0 {
		withinS = defaultWithinS
	}
	return autoscale.Demand{Team: kind.team, Spot: kind.spot, Idle: kind.idle, Types: job.Types, Zone: kind.zone,
		Cpus: job.Cpus, Gpus: job.Gpus, Mem: job.Mem, WithinS: withinS}
}

// demands sums up the open work by what it may run on, and for each team with a limit apart: its
// jobs together ask for no more than the limit lets run. Bounded job by job, a team with many jobs
// had twice the machines provisioned that it could use.
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

// demandKindOf is the kind of demand that a job belongs to, in its own zone.
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

// zoneCapacity is what the zones' on-demand machines have for work that is spread over zones, in
// CPUs as sizes count; below 0 where more is asked for already.
type zoneCapacity struct {
	c           *Controller
	now         time.Time
	free        []float64
	canScaleOut []bool // more machines can be had there, as far as is known
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
			if placed.Job.Priority.Top() {
				left -= placed.Job.Size
			}
		}
		capacity.free[machine.Zone] += max(0, left)
	}
	return capacity
}

// demandByZone tells how much capacity, in tasks, a job that is spread needs in each zone: where its
// tasks are, and for those that wait where it may have more and there is most. Capacity in a zone
// that has its half is of no use to it: services waited for minutes beside free machines in the
// wrong zone, and nothing was provisioned.
func (z *zoneCapacity) demandByZone(job *storage.Job) []int {
	needed := make([]int, len(z.free))
	placed := make([]int, len(z.free))
	for zone, tasks := range job.ByZone {
		placed[zone] = int(tasks)
		if !z.c.needsNoReplacement(zone, z.now) {
			needed[zone] = int(tasks)
		}
	}
	for range z.c.wantedTasks(job) {
		best := z.bestZone(job, placed)
		if best < 0 {
			break // nowhere for now
		}
		placed[best]++
		needed[best]++
		z.free[best] -= job.Size
	}
	return needed
}

// bestZone is the zone with the most capacity for one more task of a job, -1 if there is none.
func (z *zoneCapacity) bestZone(job *storage.Job, placed []int) int {
	best := -1
	for zone, free := range z.free {
		if placed[zone] >= job.MaxPerZone() || z.c.reachability.zoneUnreachable(zone) || free < job.Size && !z.canScaleOut[zone] {
			continue
		}
		if best < 0 || free > z.free[best] {
			best = zone
		}
	}
	return best
}

// expectedServiceDemand is the demand of the services that are likely to come before a machine provisioned
// for them would be up and have their image: as many as came a while ago. What gives way to them
// counts as capacity. Without it each began with a boot once running services had been brought
// together on few machines.
func (c *Controller) expectedServiceDemand(now time.Time) (demand autoscale.Demand, expected bool) {
	demand = autoscale.Demand{Team: autoscale.NoTeam, Zone: -1, WithinS: minWithinS}
	recentCpus := 0.0
	for _, job := range c.cache.Jobs {
		if job == nil || job.Shape != protocol.Service || job.Spot || !job.Open() || len(job.Types) > 0 || job.Zone >= 0 {
			continue
		}
		if age := now.Sub(job.Submitted); age < recentServiceWindow && age >= 0 {
			recentCpus += float64(job.Tasks) * job.Size
		}
		if job.Size > demand.Cpus {
			demand.Cpus, demand.Gpus, demand.Mem = job.Size, job.Gpus, job.Mem
		}
	}
	if recentCpus == 0 {
		return demand, false
	}
	expectedCpus := recentCpus * min(1, c.provisioningLeadS()/recentServiceWindow.Seconds())
	demand.Tasks = int(math.Ceil((expectedCpus - c.preemptibleCpus()) / demand.Cpus))
	demand.Work = serviceWorkS * float64(demand.Tasks)
	return demand, demand.Tasks > 0
}

// provisioningLeadS is how many seconds ahead a machine must be asked for.
func (c *Controller) provisioningLeadS() float64 {
	leadS := 0.0
	for i := range c.cache.Types {
		leadS = max(leadS, readyBootFactor*c.cache.Types[i].BootS)
	}
	return leadS
}

// preemptibleCpus is how much runs on on-demand machines that gives way to services.
func (c *Controller) preemptibleCpus() float64 {
	yielding := 0.0
	for machine := range c.machinesInService() {
		if machine.Draining || machine.Spot || c.reachability.zoneUnreachable(machine.Zone) {
			continue
		}
		for _, placed := range machine.Tasks {
			if !placed.Job.Priority.Top() {
				yielding += placed.Job.Size
			}
		}
	}
	return yielding
}

// tasksInUnreachableZones is how many of a job's tasks run where this controller reaches nobody: they
// need no other capacity.
func (c *Controller) tasksInUnreachableZones(job *storage.Job, now time.Time) int {
	unreachable := 0
	for zone, tasks := range job.ByZone {
		if c.needsNoReplacement(zone, now) {
			unreachable += int(tasks)
		}
	}
	return unreachable
}
