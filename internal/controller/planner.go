package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// plannerState is what the planner keeps from one pass to the next. It is written by the
// planner's files, overload.go and, for alpha, by the operators' settings.
type plannerState struct {
	alpha            float64 // weight of lost work against time waited when preemptions are ranked
	buffers          planBuffers
	plannedTasks     int                   // tasks that the latest plan places
	completedJobs    []*storage.Job        // jobs that the latest plan calls done
	firstGroup       int                   // the machine group that the next plan begins with
	oversizedGroup   *storage.MachineGroup // its record would be over the limit: it is split next
	planCount        int                   // counts plans: final records of failed dependents take turns
	idleWorkPlaced   bool                  // idle-time work is placed on this controller's machines
	onDemandNeededAt time.Time             // when a job that may not use spot machines was last open
	overloaded       bool                  // an overload is dealt with
}

// plan works out the next transaction of the shards that this controller owns, with at most
// maxOps puts and deletes. more tells that another transaction is worth planning at once.
func (c *Controller) plan(now time.Time, maxOps int) (builder *txnBuilder, more bool) {
	planned := newPlannedTxn(maxOps)
	c.planner.plannedTasks, c.planner.completedJobs = 0, c.planner.completedJobs[:0]
	shards := c.shardsOwned()
	if len(shards) == 0 {
		return planned.txnBuilder, false
	}
	c.planner.planCount++
	if c.planner.planCount%dependencyFailedPlanInterval == 0 {
		c.planDependencyFailed(planned, shards, 1)
	}
	c.finishRecordedElsewhere(planned, shards)
	c.planLimits(now, planned)
	c.planCompletions(planned, shards)
	c.finishCompleted(planned, shards)
	c.noteSuspects(planned)
	c.planDependencyFailed(planned, shards, max(1, planned.opsLeft()/4))
	input, result := c.planPlacements(now, planned, shards)
	c.foldCompletions(planned)
	c.putGroups(planned)
	c.putFleets(planned)
	c.planPreemptions(now, planned, input, result)
	if len(planned.puts) > 0 {
		for shard := range shards {
			planned.require(storage.ShardKey(shard), c.cache.Shards[shard].Version)
		}
	}
	return planned.txnBuilder, planned.more
}

// dependencyFailedPlanInterval is how many plans there are to one that begins with the final record of
// a job cancelled with a dependency. These records are not urgent, since every controller tells
// their users so already; under full load they take their turn.
const dependencyFailedPlanInterval = 8

// shardsOwned are the shards that this controller owns now.
func (c *Controller) shardsOwned() map[int]bool {
	shards := map[int]bool{}
	for shard := range c.shards.owned {
		if c.ownsShard(shard) {
			shards[shard] = true
		}
	}
	return shards
}

// putGroups writes the records of the machine groups that change with this transaction.
func (c *Controller) putGroups(planned *plannedTxn) {
	for group, update := range planned.groups {
		key := storage.GroupKey(group.ID)
		record := c.cache.GroupRecordOf(group, update.completedTasks, func(machine *storage.Machine) (storage.GroupMachine, bool) {
			return c.groupMachine(planned, machine), !planned.removedMachines[machine.Fleet][machine]
		})
		raw := storage.EncodeGroup(record, c.cache.Packed())
		if len(raw) > c.valueLimit() && c.planner.oversizedGroup == nil {
			c.planner.oversizedGroup = group
		}
		planned.put(key, group.Version, protocol.Change{Put: key, Value: raw})
	}
}

// putFleets writes the fleet records of machines that leave with this transaction, and deletes
// those that list no machine any more.
func (c *Controller) putFleets(planned *plannedTxn) {
	for fleet, removed := range planned.removedMachines {
		key := storage.FleetKey(fleet.ID)
		record, hasMachines := c.cache.FleetWithout(fleet, removed)
		if hasMachines {
			planned.put(key, fleet.Version, protocol.Change{Put: key, Value: storage.EncodeFleet(&record, c.cache.Packed())})
		} else {
			planned.put(key, fleet.Version, protocol.Change{Delete: key})
		}
	}
}
