package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// This file adds up each shard's work and machines, so that the leader can distribute machines over
// the shards.

const (
	// claimableFraction is the fraction of the machines that shards can claim; the rest moves by
	// load.
	claimableFraction = 0.95
	// claimMargin is the ratio of a claim to the team's work: it leaves some capacity for the next
	// job within the guarantee, which would otherwise wait for moves or preemptions.
	claimMargin = 1.4
)

// shardLoad holds a shard's work and machines, in CPUs, as seen by one rebalancing pass.
type shardLoad struct {
	waiting, demand, free, capacity float64
	nonIdleDemand, nonIdleWaiting   float64 // demand of work other than idle-time work, and the waiting part of it
	claim                           float64 // capacity that the shard keeps for its teams' guarantees and, in an overload, its queues' floors
	movable                         []*groupLoad
	groupCount                      int // number of groups with machines of the kind that the pass considers
}

// groupLoad holds the free and the total capacity of a group's machines, in CPUs.
type groupLoad struct {
	group          *storage.MachineGroup
	free, capacity float64
}

// short reports whether a shard has less capacity than it claims.
func (s *shardLoad) short() bool { return s.capacity < s.claim }

// loadAfter returns the demand per CPU if the shard's capacity changed by the given number of
// CPUs.
func (s *shardLoad) loadAfter(change float64) float64 { return s.demand / max(1, s.capacity+change) }

// precedes reports whether a shard needs machines more than another one. A shard with less capacity
// than it claims precedes any that has enough.
func (s *shardLoad) precedes(other *shardLoad) bool {
	if s.short() != other.short() {
		return s.short()
	}
	return s.loadAfter(0) > other.loadAfter(0)
}

// addGroup adds a group's machines to the load.
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

// sortMovable sorts the movable groups by descending free capacity.
func (s *shardLoad) sortMovable() {
	slices.SortFunc(s.movable, func(a, b *groupLoad) int {
		return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.group.ID, b.group.ID))
	})
}

// transferGroup moves one of a shard's movable groups to another shard's load, and returns the
// group.
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

// addGuaranteeClaims adds the capacity that the shards' teams may claim by their guarantees.
// Without it, the most loaded shard would draw machines from a shard whose teams have less than
// they are guaranteed.
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

// addOverloadClaims raises the shards' claims to their queues' floors during an overload. Without
// it, the overloaded shard would draw machines from all other shards until their work was as late.
func (c *Controller) addOverloadClaims(shards []shardLoad, loads queueLoads) {
	floors := make([]float64, len(shards))
	for queue := range c.cache.Baseline.Cpus {
		if state := loads.queues.At(queue); state != nil {
			floors[c.cache.ShardOf(queue.Team)] += min(state.Floor, claimMargin*state.Open)
		}
	}
	requested, claimable := 0.0, 0.0
	for i := range shards {
		floors[i] = max(0, floors[i]-shards[i].claim) // beyond the claims by guarantees
		requested += floors[i]
		claimable += claimableFraction*shards[i].capacity - shards[i].claim
	}
	// If the capacity is less than the sum of the claims, each shard gets the same fraction of its
	// claim beyond the guarantees.
	granted := max(0, min(1, claimable/max(requested, 1)))
	for i := range shards {
		shards[i].claim += floors[i] * granted
	}
}

// guaranteesTimed reports whether an objective requires work within a guarantee to start within
// some time. If none does, reserving capacity for it would only delay other work.
func (c *Controller) guaranteesTimed() bool {
	return slices.ContainsFunc(c.cfg.Deployment.Objectives, func(o config.Objective) bool {
		return o.Kind == "guarantee" && o.WithinS > 0
	})
}

// totalCapacity returns the capacity of all machines in service.
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

// enrollmentLoad holds each shard's work and machines, in CPUs. It determines to which shard new
// machines go.
type enrollmentLoad struct {
	demand, capacity []float64 // by shard
}

func (c *Controller) enrollmentLoad(now time.Time) enrollmentLoad {
	load := enrollmentLoad{demand: make([]float64, c.cache.NumShards), capacity: make([]float64, c.cache.NumShards)}
	for _, job := range c.cache.Jobs {
		if job != nil && job.Open() && !c.isIdleWork(job, now) {
			load.demand[job.Shard] += float64(c.wantedTasks(job)+job.PlacedCount) * job.TaskSize
		}
	}
	for machine := range c.machinesInService() {
		load.capacity[machine.Shard] += c.cache.Types[machine.Type].Cpus
	}
	return load
}

// shardForNewMachines returns the shard with the most demand per CPU.
func (l *enrollmentLoad) shardForNewMachines() int {
	best := 0
	for shard := range l.demand {
		if l.demandPerCPU(shard) > l.demandPerCPU(best) {
			best = shard
		}
	}
	return best
}

// demandPerCPU returns a shard's demand per CPU; 1 is added to both so that it is defined for a
// shard without machines.
func (l *enrollmentLoad) demandPerCPU(shard int) float64 {
	return (l.demand[shard] + 1) / (l.capacity[shard] + 1)
}
