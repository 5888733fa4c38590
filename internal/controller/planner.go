package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// plannerState holds the planner's state between passes. It is written by the planner's files, by
// overload.go and, for alpha, by the operators' settings.
type plannerState struct {
	alpha            float64 // weight of lost work against waiting time in the ranking of preemption candidates
	buffers          planBuffers
	plannedTasks     int                   // number of tasks that the latest plan places
	completedJobs    []*storage.Job        // jobs that the latest plan marks as done
	firstGroup       int                   // ID of the machine group with which the next plan starts
	oversizedGroup   *storage.MachineGroup // group whose record would exceed the value limit; it is split next
	planCount        int                   // number of plans made; see dependencyFailedPlanInterval
	idleWorkPlaced   bool                  // idle-time work is placed on some machine
	onDemandNeededAt time.Time             // when an open job that must not use spot machines was last seen
	overloaded       bool                  // the latest placement pass detected an overload
}

// plan computes the next transaction for the shards that this controller owns, with at most maxOps
// puts and deletes. more reports whether another transaction should be planned immediately.
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

// dependencyFailedPlanInterval is the number of plans after which one plan starts with the final
// record of a job that was cancelled along with a dependency. These records are not urgent, since
// every controller already reports the cancellation to users; the interval keeps them from being
// postponed indefinitely under full load.
const dependencyFailedPlanInterval = 8

// shardsOwned returns the set of shards that this controller owns now.
func (c *Controller) shardsOwned() map[int]bool {
	shards := map[int]bool{}
	for shard := range c.shards.owned {
		if c.ownsShard(shard) {
			shards[shard] = true
		}
	}
	return shards
}

// putGroups adds the records of all machine groups that change to the transaction, and notes the
// first group whose record would exceed the value limit.
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

// putFleets adds the fleet records from which machines are removed to the transaction. A fleet
// record that lists no machine any more is deleted.
func (c *Controller) putFleets(planned *plannedTxn) {
	for fleet, removedMachines := range planned.removedMachines {
		key := storage.FleetKey(fleet.ID)
		record, hasMachines := c.cache.FleetRecordWithout(fleet, removedMachines)
		if hasMachines {
			planned.put(key, fleet.Version, protocol.Change{Put: key, Value: storage.EncodeFleet(&record, c.cache.Packed())})
		} else {
			planned.put(key, fleet.Version, protocol.Change{Delete: key})
		}
	}
}
