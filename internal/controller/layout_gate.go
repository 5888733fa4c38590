package controller

import (
	"context"
	"errors"
	"slices"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// gateState is what this controller does about layouts and limits of records. It is written by
// this file and by job submission (descriptionWrites).
type gateState struct {
	layoutWriteInFlight bool
	fleetWriteInFlight  bool
	limitsLowered       bool   // the state service has refused something for its size
	rateLowered         bool   // the rate of changes to come is kept to already
	descriptionWrites   uint64 // chunked descriptions written by this process
}

// This file owns the change from one layout of the records to the next while both
// versions serve. Until the gate opens everything is written as the version in production
// writes and reads it; what is only needed for that is what asks cache.Packed().

// openGate is the leader's loop over the gate: it opens once every controller that the settings
// name has shown that it reads the packed layout. Which have is remembered, for one may
// be down while the last one comes. A leader of the version before does none of it, so
// the gate waits until a controller that knows of it leads.
func (c *Controller) openGate(ctx context.Context) {
	if !c.isLeader() || c.gates.layoutWriteInFlight || c.Layout < storage.LayoutPacked || c.cache.Packed() || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	seen := slices.Clone(c.cache.Layout.Members)
	for name, n := range c.cache.Members {
		if n.Layout >= storage.LayoutPacked && !slices.Contains(seen, name) {
			seen = append(seen, name)
		}
	}
	all := slices.Contains(seen, c.cfg.MemberName)
	for _, p := range c.cfg.Known {
		all = all && slices.Contains(seen, p.MemberName)
	}
	if !all && len(seen) == len(c.cache.Layout.Members) {
		return
	}
	slices.Sort(seen)
	rec := storage.LayoutRecord{Version: storage.LayoutPlain, Members: seen}
	if all {
		rec = storage.LayoutRecord{Version: storage.LayoutPacked}
	}
	txn := protocol.Txn{
		If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version},
			{Key: storage.LayoutKey, Version: c.cache.Layout.Revision}},
		Then: []protocol.Change{{Put: storage.LayoutKey, Value: storage.Encode(rec)}},
	}
	if all {
		txn.Then = append(txn.Then, protocol.Change{Put: storage.BarrierKey, Value: storage.Encode(rec)})
	}
	c.gates.layoutWriteInFlight = true
	c.commitAside(ctx, txn, protocol.UrgentRequest, func(ok bool) {
		c.gates.layoutWriteInFlight = false
		if ok {
			c.log.Info("layout of the records", "version", rec.Version, "nodes", seen)
		}
	})
}

// limits are the state service's limits that this controller keeps to. Those to come hold from
// the gate on, or from the first refusal for size: they come without notice, and what
// was written small needs no second thought when they do.
func (c *Controller) limits() config.State {
	if c.cache.Packed() || c.gates.limitsLowered {
		return c.cfg.Deployment.State.Effective()
	}
	return c.cfg.Deployment.State
}

// valueLimit is how many bytes a record may have.
func (c *Controller) valueLimit() int {
	if kb := c.limits().ValueKB; kb > 0 {
		return int(kb * 1024)
	}
	return 32 << 10
}

// transact carries out a transaction, and takes notice when the state service refuses it
// for its size.
func (c *Controller) transact(ctx context.Context, t protocol.Txn, haste protocol.RequestPriority) (rev uint64, failed []string, err error) {
	if rev, failed, err = c.store.Txn(ctx, t, haste); errors.Is(err, protocol.ErrTooLarge) {
		c.post(func() { c.noteTooLarge(err) })
	}
	return rev, failed, err
}

// noteTooLarge takes up the limits to come.
func (c *Controller) noteTooLarge(err error) {
	if errors.Is(err, protocol.ErrTooLarge) && !c.gates.limitsLowered {
		c.gates.limitsLowered = true
		c.log.Info("the state service refuses a change for its size")
	}
	if (c.gates.limitsLowered || c.cache.Packed()) && !c.gates.rateLowered {
		c.gates.rateLowered = true
		c.store.SetLimit(c.limits().WriteRPS)
	}
}

// settling replaces a transaction in doubt that is refused for its size when it is
// repeated. The refusal says nothing of the first copy, which may have been carried out
// under the former limits or be on its way. Rewriting the ownership stamp that it depends
// on makes a late copy fail; then the records show what became of it.
func (c *Controller) settling(t protocol.Txn) *protocol.Txn {
	for s := range c.cache.Shards {
		key := storage.ShardKey(s)
		if i := slices.IndexFunc(t.If, func(x protocol.Condition) bool { return x.Key == key }); i >= 0 {
			return &protocol.Txn{If: t.If[i : i+1],
				Then: []protocol.Change{{Put: key, Value: storage.Encode(c.cache.Shards[s].ShardRecord)}}}
		}
	}
	return &protocol.Txn{If: t.If[:1]} // every plan depends on a shard; a comparison settles nothing, but ends
}

func settles(t protocol.Txn) bool {
	return len(t.If) == 1 && len(t.Then) <= 1
}

// splitOversizedFleets is the leader's loop over fleets' records that are over the limit: written
// anew they are mostly within it; what is not goes into small records that supersede the
// large one's entries, and the large one is deleted when they list all of it.
func (c *Controller) splitOversizedFleets(ctx context.Context) {
	if !c.isLeader() || !c.cache.Packed() || c.gates.fleetWriteInFlight || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	t := c.fleetTxn()
	if len(t.Then) == 0 {
		return
	}
	c.gates.fleetWriteInFlight = true
	c.commitAside(ctx, t, protocol.BackgroundRequest, func(ok bool) {
		c.gates.fleetWriteInFlight = false
		c.log.Info("large fleet record worked off", "changes", len(t.Then), "ok", ok)
	})
}

// fleetTxn is the next step of working off a large fleet record.
func (c *Controller) fleetTxn() protocol.Txn {
	limit := c.valueLimit()
	fleet, fits := c.cache.OversizedFleet(limit)
	if fleet == nil {
		return protocol.Txn{}
	}
	txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version},
		{Key: storage.FleetKey(fleet.ID), Version: fleet.Version}}}
	if fits {
		rec, _ := c.cache.FleetWithout(fleet, nil)
		txn.Then = append(txn.Then, protocol.Change{Put: storage.FleetKey(fleet.ID), Value: storage.EncodeFleet(&rec, true)})
	} else {
		ops := c.limits().TxnOps
		pieces := c.cache.SplitFleet(fleet, limit*9/10)
		for _, r := range pieces[:min(len(pieces), ops-1)] {
			// The large record's own key stays its until it is deleted.
			key := storage.FleetKey(r.Machines[0].Name + "+")
			txn.If = append(txn.If, protocol.Condition{Key: key})
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeFleet(&r, true)})
		}
		if len(pieces) < ops {
			txn.Then = append(txn.Then, protocol.Change{Delete: storage.FleetKey(fleet.ID)})
		}
	}
	return txn
}

// splitGroup parts the machines of a group whose record would be over the limit over new
// groups of the same shard. The machines' new records say that they were moved, whatever
// their fleet's record says, so all in one change each task stays in one group. If there are
// more parts than one transaction takes, the old record stays as it is, and its entries
// of machines that have moved count no more.
func (c *Controller) splitGroup(group *storage.MachineGroup) protocol.Txn {
	limit, ops := c.valueLimit()*6/10, c.limits().TxnOps
	rest := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), func(*storage.Machine) (storage.GroupMachine, bool) {
		return storage.GroupMachine{}, false // they are parted below
	})
	parts := []*storage.GroupRecord{rest}
	for _, m := range group.Machines {
		x, last := c.cache.GroupMachineOf(m, m.Tasks), parts[len(parts)-1]
		last.Machines = append(last.Machines, x)
		if len(last.Machines) > 1 && len(storage.EncodeGroup(last, true)) > limit {
			last.Machines = last.Machines[:len(last.Machines)-1]
			parts = append(parts, &storage.GroupRecord{Shard: group.Shard, FencingToken: group.FencingToken, Machines: []storage.GroupMachine{x}})
		}
	}
	if len(parts) == 1 {
		return protocol.Txn{}
	}
	txn := protocol.Txn{If: []protocol.Condition{{Key: storage.ShardKey(group.Shard), Version: c.cache.Shards[group.Shard].Version},
		{Key: storage.GroupKey(group.ID), Version: group.Version}}}
	fresh := len(c.cache.Groups)
	for i := len(parts) - 1; i > 0 && len(txn.Then) < ops; i-- {
		for n := range parts[i].Machines {
			parts[i].Machines[n].Moved = true
		}
		key := storage.GroupKey(fresh)
		fresh++
		txn.If = append(txn.If, protocol.Condition{Key: key})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeGroup(parts[i], true)})
	}
	if len(parts) <= ops {
		txn.Then = append(txn.Then, protocol.Change{Put: storage.GroupKey(group.ID), Value: storage.EncodeGroup(rest, true)})
	}
	c.log.Info("rack is parted", "rack", group.ID, "machines", len(group.Machines), "parts", len(parts))
	return txn
}
