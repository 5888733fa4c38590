package controller

import (
	"context"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file splits records that exceed the state service's limit on the size of a value.

const (
	// fleetSplitPercent is the percentage of the value limit that the parts of a split fleet record
	// may fill. Later changes only remove machines from a fleet record, so it needs little room.
	fleetSplitPercent = 90
	// groupSplitPercent is the percentage of the value limit that the parts of a split group record
	// may fill. It leaves room because the tasks of the group's machines change.
	groupSplitPercent = 60
)

// splitOversizedFleets commits the leader's next step in rewriting fleet records that exceed the
// value limit, one step at a time. Most of them are within the limit when written again in the
// packed layout. Otherwise their machines are written to small records, whose entries supersede
// those of the large record; the large record is deleted once the small ones list all of its
// machines.
func (c *Controller) splitOversizedFleets(ctx context.Context) {
	if !c.isLeader() || !c.cache.Packed() || c.gates.fleetWriteInFlight || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	txn := c.fleetRewriteTxn()
	if len(txn.Then) == 0 {
		return
	}
	c.gates.fleetWriteInFlight = true
	c.commitOutsideCycle(ctx, txn, protocol.BackgroundRequest, func(ok bool) {
		c.gates.fleetWriteInFlight = false
		c.log.Info("oversized fleet record rewritten", "changes", len(txn.Then), "ok", ok)
	})
}

// fleetRewriteTxn returns the transaction for the next step of rewriting an oversized fleet record,
// or an empty one if there is no such record.
func (c *Controller) fleetRewriteTxn() protocol.Txn {
	fleet, fits := c.cache.OversizedFleet(c.valueLimit())
	if fleet == nil {
		return protocol.Txn{}
	}
	txn := c.leaderTxn()
	txn.If = append(txn.If, protocol.Condition{Key: storage.FleetKey(fleet.ID), Version: fleet.Version})
	if fits {
		record, _ := c.cache.FleetRecordWithout(fleet, nil)
		txn.Then = append(txn.Then, protocol.Change{Put: storage.FleetKey(fleet.ID), Value: storage.EncodeFleet(&record, true)})
		return txn
	}
	maxChanges := c.limits().TxnOps
	parts := c.cache.SplitFleet(fleet, c.valueLimit()*fleetSplitPercent/100)
	for _, part := range parts[:min(len(parts), maxChanges-1)] {
		// The large record keeps its key until it is deleted, so the parts need other keys.
		key := storage.FleetKey(part.Machines[0].Name + "+")
		txn.If = append(txn.If, protocol.Condition{Key: key})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeFleet(&part, true)})
	}
	if len(parts) < maxChanges {
		txn.Then = append(txn.Then, protocol.Change{Delete: storage.FleetKey(fleet.ID)})
	}
	return txn
}

// splitGroup returns a transaction that splits a group whose record would exceed the value limit
// into new groups of the same shard, or an empty one if the group cannot be split. The machines'
// new entries are marked as moved, which takes precedence over their fleet's record, so each task
// stays in exactly one group with every transaction. If there are more parts than one transaction
// can hold, the old record stays as it is, and its entries of machines that have moved are ignored.
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
	c.log.Info("splitting oversized machine group record", "group", group.ID, "machines", len(group.Machines), "parts", len(parts))
	return txn
}

// groupParts returns the records into which a group's machines fit. The first one replaces the
// group's own record.
func (c *Controller) groupParts(group *storage.MachineGroup) []*storage.GroupRecord {
	limit := c.valueLimit() * groupSplitPercent / 100
	own := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), func(*storage.Machine) (storage.GroupMachine, bool) {
		return storage.GroupMachine{}, false // machines are added below
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
