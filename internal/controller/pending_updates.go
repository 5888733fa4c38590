package controller

import (
	"context"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// pendingUpdate is what should change of a machine's record, tasks aside. Its owner writes it
// with its next transaction, the leader on its own for machines of other owners.
type pendingUpdate struct {
	returning bool
	draining  *bool
}

// blocksPlacement tells whether nothing more may be placed on the machine.
func (u *pendingUpdate) blocksPlacement() bool {
	return u != nil && (u.returning || u.draining != nil && *u.draining)
}

// differs tells whether a machine's record still has to change.
func (u *pendingUpdate) differs(m *storage.Machine) bool {
	return (u.returning && !m.Returning) || (u.draining != nil && *u.draining != m.Draining)
}

// pendingUpdate is the update of a machine's record to add changes to.
func (c *Controller) pendingUpdate(m *storage.Machine) *pendingUpdate {
	update := c.workers.pendingUpdates[m.Index]
	if update == nil {
		update = &pendingUpdate{}
		c.workers.pendingUpdates[m.Index] = update
		c.requestCycle()
	}
	return update
}

// setDraining marks a machine to be emptied, or puts it back into service.
func (c *Controller) setDraining(m *storage.Machine, on bool) {
	c.log.Info("machine draining changed", "machine", m.Name, "draining", on, "tasks", len(m.Tasks))
	c.pendingUpdate(m).draining = &on
}

// flushPendingUpdates forgets updates that are done or of no concern to this controller, and as
// the leader commits those of other owners' machines.
func (c *Controller) flushPendingUpdates(ctx context.Context) {
	groups := c.groupsToUpdate()
	if len(groups) == 0 || c.leader.editing {
		return
	}
	txn, updated := c.pendingUpdatesTxn(groups)
	if len(txn.Then) == 0 {
		return
	}
	c.leader.editing = true
	c.commitAside(ctx, txn, protocol.BackgroundRequest, func(bool) {
		c.leader.editing = false
		for _, machine := range updated {
			delete(c.workers.pendingUpdates, machine) // what still has to change is found again
		}
	})
}

// groupsToUpdate forgets updates that need no transaction of the leader, and returns the groups
// of the others.
func (c *Controller) groupsToUpdate() map[*storage.MachineGroup]bool {
	groups := map[*storage.MachineGroup]bool{}
	for index, update := range c.workers.pendingUpdates {
		machine := c.cache.Machines[index]
		switch {
		case machine.Gone || !update.differs(machine):
			delete(c.workers.pendingUpdates, index)
		case c.ownsShard(machine.Shard): // written with the next transaction
		case !c.isLeader():
			delete(c.workers.pendingUpdates, index)
		default:
			groups[machine.Group] = true
		}
	}
	return groups
}

// pendingUpdatesTxn is the leader's transaction that updates groups' records, and the machines
// that it updates.
func (c *Controller) pendingUpdatesTxn(groups map[*storage.MachineGroup]bool) (txn protocol.Txn, updated []int32) {
	txn = c.leaderTxn()
	for group := range groups {
		if len(txn.Then) >= c.limits().TxnOps/2 {
			break
		}
		record := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), func(m *storage.Machine) (storage.GroupMachine, bool) {
			groupMachine := c.cache.GroupMachineOf(m, m.Tasks)
			if update := c.workers.pendingUpdates[m.Index]; update != nil {
				update.applyTo(&groupMachine)
				updated = append(updated, m.Index)
			}
			return groupMachine, true
		})
		raw := storage.EncodeGroup(record, c.cache.Packed())
		if len(raw) > c.valueLimit() {
			continue // its owner splits it first
		}
		key := storage.GroupKey(group.ID)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: group.Version})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: raw})
	}
	return txn, updated
}

// applyTo changes a machine's entry in its group's record.
func (u *pendingUpdate) applyTo(entry *storage.GroupMachine) {
	entry.Returning = entry.Returning || u.returning
	if u.draining != nil {
		entry.Draining = *u.draining
	}
}
