package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// This file sums up each shard's work and machines, for the leader to spread machines over shards.

const (
	// claimableFraction is how much of the machines may be claimed: the rest still moves by load.
	claimableFraction = 0.95
	// claimMargin leaves a team some capacity for the next job within its guarantee.
	claimMargin = 1.4
)

// shardLoad is a shard's work and machines, in CPUs, as one rebalancing pass sees them.
type shardLoad struct {
	waiting, demand, free, capacity float64
	nonIdleDemand, nonIdleWaiting   float64 // the demand of other than idle-time work, and what of it waits
	claim                           float64 // what its teams' work within their guarantees takes
	movable                         []*groupLoad
	groupCount                      int // that have machines of the kind looked at
}

// groupLoad is what a group's machines have, in CPUs.
type groupLoad struct {
	group          *storage.MachineGroup
	free, capacity float64
}

// short tells whether a shard has less than its teams' work within their guarantees takes.
func (s *shardLoad) short() bool { return s.capacity < s.claim }

// demandPerCPU is how much work there is for each CPU, if the shard's capacity changed.
func (s *shardLoad) demandPerCPU(change float64) float64 { return s.demand / max(1, s.capacity+change) }

// precedes tells whether a shard needs machines more than another: work within a guarantee
// goes before any other.
func (s *shardLoad) precedes(other *shardLoad) bool {
	if s.short() != other.short() {
		return s.short()
	}
	return s.demandPerCPU(0) > other.demandPerCPU(0)
}

// addGroup counts a group's machines.
func (s *shardLoad) addGroup(g *groupLoad, movable bool) {
	s.capacity += g.capacity
	s.free += g.free
	if g.capacity <= 0 {
		return
	}
	s.groupCount++
	if movable {
		s.movable = append(s.movable, g)
	}
}

// sortMovable puts the groups with the most free capacity first.
func (s *shardLoad) sortMovable() {
	slices.SortFunc(s.movable, func(a, b *groupLoad) int {
		return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.group.ID, b.group.ID))
	})
}

// transferGroup moves one of a shard's groups to another shard and returns it.
func (s *shardLoad) transferGroup(index int, to *shardLoad) *groupLoad {
	g := s.movable[index]
	s.movable = slices.Delete(s.movable, index, index+1)
	s.groupCount--
	s.capacity -= g.capacity
	s.free -= g.free
	to.capacity += g.capacity
	to.free += g.free
	return g
}

// addGuaranteeClaims works out what the shards' teams may claim by their guarantees. Without it
// the shard with the most work for its machines took machines from one whose teams had less
// than they are guaranteed.
func (c *Controller) addGuaranteeClaims(shards []shardLoad) {
	demand := make([]float64, len(c.cache.Teams))
	for _, job := range c.cache.Jobs {
		if job != nil && job.Open() {
			demand[job.Team] += float64(job.PlacedCount+c.wantedTasks(job)) * job.Cpus
		}
	}
	for team := range c.cache.Teams {
		shards[c.cache.ShardOf(team)].claim += min(c.cache.Teams[team].Cpus, claimMargin*demand[team])
	}
}

// addOverloadClaims raises the shards' claims to their queues' floors in an overload. Without it
// the overloaded shard drew the machines of all others, until those were as late.
func (c *Controller) addOverloadClaims(shards []shardLoad, loads queueLoads) {
	floors := make([]float64, len(shards))
	for queue := range c.cache.Baseline.Cpus {
		if state := loads.queues.At(queue); state != nil {
			floors[c.cache.ShardOf(queue.Team)] += min(state.Floor, claimMargin*state.Open)
		}
	}
	requested, claimable := 0.0, 0.0
	for i := range shards {
		floors[i] = max(0, floors[i]-shards[i].claim) // beyond what is guaranteed
		requested += floors[i]
		claimable += claimableFraction*shards[i].capacity - shards[i].claim
	}
	// Where there is less than all claim, each has its part of what guarantees leave.
	granted := max(0, min(1, claimable/max(requested, 1)))
	for i := range shards {
		shards[i].claim += floors[i] * granted
	}
}

// guaranteesTimed tells whether work within a guarantee is expected to start within some time.
// Where it is not, capacity held ready for it only costs others.
func (c *Controller) guaranteesTimed() bool {
	return slices.ContainsFunc(c.cfg.Deployment.Objectives, func(o config.Objective) bool {
		return o.Kind == "guarantee" && o.WithinS > 0
	})
}

// totalCapacity is what all machines have.
func (c *Controller) totalCapacity() (total schedule.Capacity) {
	for machine := range c.machinesInService() {
		cpus := c.cache.Types[machine.Type].Cpus
		total.All += cpus
		if !machine.Spot {
			total.OnDemand += cpus
		}
	}
	return total
}

// enrollmentLoad compares each shard's work with its machines, in CPUs: new machines go by it.
type enrollmentLoad struct {
	demand, capacity []float64 // by shard
}

func (c *Controller) enrollmentLoad(now time.Time) enrollmentLoad {
	load := enrollmentLoad{demand: make([]float64, c.cache.NumShards), capacity: make([]float64, c.cache.NumShards)}
	for _, job := range c.cache.Jobs {
		if job != nil && job.Open() && !c.isIdleWork(job, now) {
			load.demand[job.Shard] += float64(c.wantedTasks(job)+job.PlacedCount) * job.Size
		}
	}
	for machine := range c.machinesInService() {
		load.capacity[machine.Shard] += c.cache.Types[machine.Type].Cpus
	}
	return load
}

// neediest is the shard with the most work for its machines.
func (l *enrollmentLoad) neediest() int {
	best := 0
	for shard := range l.demand {
		if l.demandPerCPU(shard) > l.demandPerCPU(best) {
			best = shard
		}
	}
	return best
}

// demandPerCPU compares a shard's work with its machines, also where it has neither.
func (l *enrollmentLoad) demandPerCPU(shard int) float64 {
	return (l.demand[shard] + 1) / (l.capacity[shard] + 1)
}
