package controller

import (
	"context"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// pendingUpdate holds changes to a machine's record other than its tasks. The controller that owns
// the machine writes them with its next transaction; the leader writes those of machines that other
// controllers own in a transaction of its own.
type pendingUpdate struct {
	returning bool
	draining  *bool
}

// blocksPlacement reports whether the update forbids placing more tasks on the machine.
func (u *pendingUpdate) blocksPlacement() bool {
	return u != nil && (u.returning || u.draining != nil && *u.draining)
}

// differs reports whether a machine's record lacks some of the changes.
func (u *pendingUpdate) differs(machine *storage.Machine) bool {
	return (u.returning && !machine.Returning) || (u.draining != nil && *u.draining != machine.Draining)
}

// pendingUpdate returns the pending update of a machine, creating an empty one if there is none.
func (c *Controller) pendingUpdate(machine *storage.Machine) *pendingUpdate {
	update := c.workers.pendingUpdates[machine.Index]
	if update == nil {
		update = &pendingUpdate{}
		c.workers.pendingUpdates[machine.Index] = update
		c.requestCycle()
	}
	return update
}

// setDraining starts draining a machine, or returns it to service.
func (c *Controller) setDraining(machine *storage.Machine, on bool) {
	c.log.Info("machine draining changed", "machine", machine.Name, "draining", on, "tasks", len(machine.Tasks))
	c.pendingUpdate(machine).draining = &on
}

// flushPendingUpdates drops updates that are done or are not this controller's to write. The leader
// commits the updates of machines that other controllers own.
func (c *Controller) flushPendingUpdates(ctx context.Context) {
	groups := c.groupsToUpdate()
	if len(groups) == 0 || c.leader.updatesInFlight {
		return
	}
	txn, updated := c.pendingUpdatesTxn(groups)
	if len(txn.Then) == 0 {
		return
	}
	c.leader.updatesInFlight = true
	c.commitOutsideCycle(ctx, txn, protocol.BackgroundRequest, func(bool) {
		c.leader.updatesInFlight = false
		for _, machine := range updated {
			delete(c.workers.pendingUpdates, machine) // changes that are still needed are detected again
		}
	})
}

// groupsToUpdate drops updates that need no transaction of the leader, and returns the groups of
// the remaining ones.
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

// pendingUpdatesTxn returns the leader's transaction that updates the records of the given groups,
// and the indexes of the machines that it updates.
func (c *Controller) pendingUpdatesTxn(groups map[*storage.MachineGroup]bool) (txn protocol.Txn, updated []int32) {
	txn = c.leaderTxn()
	for group := range groups {
		if len(txn.Then) >= c.limits().TxnOps/2 {
			break
		}
		if c.cache.GroupRejected(group) {
			continue
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
			continue // the group's owner must split it first
		}
		key := storage.GroupKey(group.ID)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: group.Version})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: raw})
	}
	return txn, updated
}

// applyTo applies the update to a machine's entry in its group's record.
func (u *pendingUpdate) applyTo(entry *storage.GroupMachine) {
	entry.Returning = entry.Returning || u.returning
	if u.draining != nil {
		entry.Draining = *u.draining
	}
}
