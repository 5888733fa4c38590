package controller

import (
	"math"
	"slices"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file works out what room the open work needs, for the leader's rentals.

// demands sums up the open work by what it may run on, and for each team with a limit apart: its jobs together ask for no
// more than the limit lets run. Bounded job by job, a team with many jobs had twice the machines rented that it could use.
func (c *Controller) demands(now time.Time) []autoscale.Demand {
	type kind struct {
		spot   bool
		idle   bool
		zone   int
		class  int
		first  int
		cpus   float64
		within int
		team   int // provision.NoTeam if it has no limit
	}
	index := map[kind]int{}
	var out []autoscale.Demand
	var zones *zoneCapacity
	for _, job := range c.cache.Jobs {
		if job == nil || !job.Open() {
			continue
		}
		first := -1
		if len(job.Types) > 0 {
			first = job.Types[0]
		}
		allow := c.timeAllowed(job, now)
		idle := allow == 0 && c.isIdleWork(job, now)
		team := autoscale.NoTeam
		if c.limited(job.Team) {
			team = job.Team
		}
		add := func(zone, n int) {
			controllerKind := kind{job.Spot, idle, zone, job.Class, first, job.Cpus, int(allow / (20 * time.Second)), team}
			i, ok := index[controllerKind]
			if !ok {
				i = len(out)
				index[controllerKind] = i
				out = append(out, autoscale.Demand{Team: team, Spot: job.Spot, Idle: idle, Types: job.Types, Zone: zone,
					Cpus: job.Cpus, Gpus: job.Gpus, Mem: job.Mem, WithinS: max(5, allow.Seconds())})
				if allow == 0 {
					out[i].WithinS = 120
				}
			}
			d := &out[i]
			d.Tasks += n
			if job.Shape == protocol.Service {
				d.Work += float64(n) * 1e6
			} else {
				d.Work += float64(n) * max(job.Estimate, 1)
			}
		}
		if job.Spread && !job.Spot && job.Zone < 0 {
			if zones == nil {
				zones = c.zoneCapacity(now)
			}
			for z, n := range zones.demandByZone(c, job, now) {
				if n > 0 {
					add(z, n)
				}
			}
			continue
		}
		n := job.PlacedCount - c.placedUnreachable(job, now) + c.wantedTasks(job)
		add(job.Zone, schedule.CapacityWithin(c.cache.Teams[job.Team], storage.Usage{}, job, n))
	}
	autoscale.CapToLimits(out, workHorizon, func(team int) autoscale.Limit {
		t := c.cache.Teams[team]
		return autoscale.Limit{Cpus: t.CpusMax, Gpus: t.GpusMax}
	})
	return out
}

// zoneCapacity is what the zones' ordinary machines have for work that is spread over zones, in CPUs as
// sizes count; below 0 where more is asked for already.
type zoneCapacity struct {
	free        []float64
	canScaleOut []bool // more can be rented there, as far as is known
}

func (c *Controller) zoneCapacity(now time.Time) *zoneCapacity {
	controllerZoneCapacity := &zoneCapacity{free: make([]float64, c.cache.Zones.Len()), canScaleOut: make([]bool, c.cache.Zones.Len())}
	for i := range c.cache.Types {
		for _, z := range c.cache.Types[i].Zones {
			if p := (autoscale.Pool{Type: i, Zone: z}); !now.Before(c.leader.blocked[p]) && !c.zoneUnreachable(z) {
				controllerZoneCapacity.canScaleOut[z] = true
			}
		}
	}
	for _, m := range c.cache.Machines {
		if m.Gone || m.Returning || m.Spot || m.Unhealthy || m.Draining || c.zoneUnreachable(m.Zone) || c.overdue(m, bootPatience, now) {
			continue
		}
		left := c.cache.Types[m.Type].Cpus
		for _, p := range m.Tasks {
			if p.Job.Priority.Top() {
				left -= p.Job.Size
			}
		}
		controllerZoneCapacity.free[m.Zone] += max(0, left)
	}
	return controllerZoneCapacity
}

// demandByZone tells in which zones a job that is spread needs room: where its tasks are, and for those that wait
// where it may have more and there is most. Room in a zone that has its half is of no use to it: services
// waited for minutes beside free machines in the wrong zone, and nothing was rented.
func (r *zoneCapacity) demandByZone(controller *Controller, job *storage.Job, now time.Time) []int {
	need := make([]int, len(r.free))
	in := make([]int, len(r.free))
	for z, n := range job.ByZone {
		if in[z] = int(n); !controller.needsNoReplacement(z, now) {
			need[z] = int(n)
		}
	}
	for range controller.wantedTasks(job) {
		best := -1
		for z := range r.free {
			if in[z] >= job.MaxPerZone() || controller.zoneUnreachable(z) || r.free[z] < job.Size && !r.canScaleOut[z] {
				continue
			}
			if best < 0 || r.free[z] > r.free[best] {
				best = z
			}
		}
		if best < 0 {
			break // nowhere for now
		}
		in[best]++
		need[best]++
		r.free[best] -= job.Size
	}
	return need
}

// nextServices is room for the services that are likely to come before a machine rented for them would
// be up and have their image: as many as came a while ago. What gives way to them counts as room. Without
// it each began with a boot once running services had been brought together on few machines.
func (c *Controller) nextServices(now time.Time) (autoscale.Demand, bool) {
	demand := autoscale.Demand{Team: autoscale.NoTeam, Zone: -1, WithinS: 5}
	work, gives := 0.0, 0.0
	ahead := 0.0
	for i := range c.cache.Types {
		ahead = max(ahead, 1.5*c.cache.Types[i].BootS)
	}
	for _, j := range c.cache.Jobs {
		if j == nil || j.Shape != protocol.Service || j.Spot || !j.Open() || len(j.Types) > 0 || j.Zone >= 0 {
			continue
		}
		if age := now.Sub(j.Submitted); age < recentServices && age >= 0 {
			work += float64(j.Tasks) * j.Size
		}
		if j.Size > demand.Cpus {
			demand.Cpus, demand.Gpus, demand.Mem = j.Size, j.Gpus, j.Mem
		}
	}
	if work == 0 {
		return demand, false
	}
	for _, m := range c.cache.Machines {
		if m.Gone || m.Returning || m.Draining || m.Spot || c.zoneUnreachable(m.Zone) {
			continue
		}
		for _, p := range m.Tasks {
			if !p.Job.Priority.Top() {
				gives += p.Job.Size
			}
		}
	}
	demand.Tasks = int(math.Ceil((work*min(1, ahead/recentServices.Seconds()) - gives) / demand.Cpus))
	demand.Work = 1e6 * float64(demand.Tasks)
	return demand, demand.Tasks > 0
}

// recentServices is how far back services are counted that came.
const recentServices = 2 * time.Minute

// placedUnreachable is how many of a job's tasks run where this controller reaches nobody: they need no other room.
func (c *Controller) placedUnreachable(j *storage.Job, now time.Time) int {
	n := 0
	for z, k := range j.ByZone {
		if c.needsNoReplacement(z, now) {
			n += int(k)
		}
	}
	return n
}

// runnableWithinLimits is how much of the waiting work, in CPUs, may run as far as its teams' limits go.
func (c *Controller) runnableWithinLimits(now time.Time) float64 {
	may, sum := c.newLimitBudget(), 0.0
	for _, j := range c.cache.Jobs {
		if j != nil && j.Open() && !c.isIdleWork(j, now) {
			sum += float64(may.take(j)) * j.Size
		}
	}
	return sum
}

// newLimitBudget deals out what the teams' limits leave.
type limitBudget struct {
	c    *Controller
	used []storage.Usage // by team
}

func (c *Controller) newLimitBudget() *limitBudget {
	return &limitBudget{c, slices.Clone(c.cache.Used)}
}

// take takes a job's waiting tasks, as many as may start beside those taken before, and returns how many.
func (u *limitBudget) take(j *storage.Job) int {
	n := u.c.wantedTasks(j)
	for n > 0 && !schedule.WithinLimit(u.c.cache.Teams[j.Team], u.used[j.Team], j, n) {
		n /= 2 // about as many: sums ask for no more
	}
	u.used[j.Team].Add(j, float64(n))
	return n
}

// limited tells whether a team has a limit.
func (c *Controller) limited(team int) bool {
	t := &c.cache.Teams[team]
	return t.CpusMax > 0 || t.GpusMax > 0
}
