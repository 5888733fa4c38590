package controller

import (
	"context"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file splits records that are over the state service's limit of a value's size.

const (
	// fleetSplitPercent is how much of the value limit the parts of a split fleet may fill.
	fleetSplitPercent = 90
	// groupSplitPercent is how much of the value limit the parts of a split group may fill: their
	// machines' tasks change.
	groupSplitPercent = 60
)

// splitOversizedFleets is the leader's loop over fleets' records that are over the limit: written
// again they are mostly within it; what is not goes into small records that supersede the large
// one's entries, and the large one is deleted when they list all of it.
func (c *Controller) splitOversizedFleets(ctx context.Context) {
	if !c.isLeader() || !c.cache.Packed() || c.gates.fleetWriteInFlight || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	txn := c.fleetRewriteTxn()
	if len(txn.Then) == 0 {
		return
	}
	c.gates.fleetWriteInFlight = true
	c.commitAside(ctx, txn, protocol.BackgroundRequest, func(ok bool) {
		c.gates.fleetWriteInFlight = false
		c.log.Info("oversized fleet record rewritten", "changes", len(txn.Then), "ok", ok)
	})
}

// fleetRewriteTxn is the next step of rewriting an oversized fleet record.
func (c *Controller) fleetRewriteTxn() protocol.Txn {
	fleet, fits := c.cache.OversizedFleet(c.valueLimit())
	if fleet == nil {
		return protocol.Txn{}
	}
	txn := c.leaderTxn()
	txn.If = append(txn.If, protocol.Condition{Key: storage.FleetKey(fleet.ID), Version: fleet.Version})
	if fits {
		record, _ := c.cache.FleetWithout(fleet, nil)
		txn.Then = append(txn.Then, protocol.Change{Put: storage.FleetKey(fleet.ID), Value: storage.EncodeFleet(&record, true)})
		return txn
	}
	maxChanges := c.limits().TxnOps
	parts := c.cache.SplitFleet(fleet, c.valueLimit()*fleetSplitPercent/100)
	for _, part := range parts[:min(len(parts), maxChanges-1)] {
		// The large record's own key stays its until it is deleted.
		key := storage.FleetKey(part.Machines[0].Name + "+")
		txn.If = append(txn.If, protocol.Condition{Key: key})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeFleet(&part, true)})
	}
	if len(parts) < maxChanges {
		txn.Then = append(txn.Then, protocol.Change{Delete: storage.FleetKey(fleet.ID)})
	}
	return txn
}

// splitGroup splits a group whose record would be over the limit into new groups of the same shard.
// The machines' new records say that they were moved, whatever their fleet's record says, so all in
// one change each task stays in one group. If there are more parts than one transaction takes, the
// old record stays as it is, and its entries of machines that have moved count no more.
func (c *Controller) splitGroup(group *storage.MachineGroup) protocol.Txn {
	parts := c.groupParts(group)
	if len(parts) == 1 {
		return protocol.Txn{}
	}
	maxChanges := c.limits().TxnOps
	txn := protocol.Txn{If: []protocol.Condition{{Key: storage.ShardKey(group.Shard), Version: c.cache.Shards[group.Shard].Version},
		{Key: storage.GroupKey(group.ID), Version: group.Version}}}
	nextID := len(c.cache.Groups)
	for i := len(parts) - 1; i > 0 && len(txn.Then) < maxChanges; i-- {
		for n := range parts[i].Machines {
			parts[i].Machines[n].Moved = true
		}
		key := storage.GroupKey(nextID)
		nextID++
		txn.If = append(txn.If, protocol.Condition{Key: key})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeGroup(parts[i], true)})
	}
	if len(parts) <= maxChanges {
		txn.Then = append(txn.Then, protocol.Change{Put: storage.GroupKey(group.ID), Value: storage.EncodeGroup(parts[0], true)})
	}
	c.log.Info("group is split", "group", group.ID, "machines", len(group.Machines), "parts", len(parts))
	return txn
}

// groupParts are the records that a group's machines fit into; the first one is the group's own.
func (c *Controller) groupParts(group *storage.MachineGroup) []*storage.GroupRecord {
	limit := c.valueLimit() * groupSplitPercent / 100
	own := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), func(*storage.Machine) (storage.GroupMachine, bool) {
		return storage.GroupMachine{}, false // they are added below
	})
	parts := []*storage.GroupRecord{own}
	for _, machine := range group.Machines {
		entry, last := c.cache.GroupMachineOf(machine, machine.Tasks), parts[len(parts)-1]
		last.Machines = append(last.Machines, entry)
		if len(last.Machines) > 1 && len(storage.EncodeGroup(last, true)) > limit {
			last.Machines = last.Machines[:len(last.Machines)-1]
			parts = append(parts, &storage.GroupRecord{Shard: group.Shard, FencingToken: group.FencingToken, Machines: []storage.GroupMachine{entry}})
		}
	}
	return parts
}
