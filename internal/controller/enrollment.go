package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// pendingMachine is a machine that is to get a record.
type pendingMachine struct {
	fleet storage.FleetRecord // without machines
	name  string
	addr  string
	tries int
	done  func(ok bool)
}

// enrollTries is how often a rented machine's record is tried: afterwards the
// machine list brings it again.
const enrollTries = 20

// enrollMachine gives a machine a record: it is put in a group of the shard that needs it most.
func (c *Controller) enrollMachine(ctx context.Context, n *pendingMachine) {
	if c.leader.enrollPending[n.name] {
		n.done(false)
		return
	}
	c.leader.enrollPending[n.name] = true
	c.leader.pendingMachines = append(c.leader.pendingMachines, n)
	c.enrollPending(ctx)
}

// enrollPending writes the records of newcomers, one for all of a kind. That a machine is
// in one record only rests on three things: only the leader writes them, on the
// condition that it still leads; it does so once its follow has shown all that
// former leaders wrote; and a transaction with unknown outcome is repeated until it
// is known, and the cache has come as far, before its machines are looked at again.
func (c *Controller) enrollPending(ctx context.Context) {
	if c.leader.enrolling || len(c.leader.pendingMachines) == 0 {
		return
	}
	if !c.isLeader() {
		list := c.leader.pendingMachines
		c.leader.pendingMachines = nil
		for _, n := range list {
			delete(c.leader.enrollPending, n.name)
			n.done(false)
		}
		return
	}
	if c.cache.Revision < c.cache.Leader.Version {
		c.enrollLater(ctx)
		return
	}
	txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}}
	demand, capacity := c.shardLoad()
	fill := newGroupAllocator(c.cache, c.groupSize())
	type kind struct {
		typ, zone string
		spot      bool
	}
	fleets := map[kind]*storage.FleetRecord{}
	var order []*storage.FleetRecord
	var batch, rest []*pendingMachine
	for _, pending := range c.leader.pendingMachines {
		if c.cache.MachineSeen(pending.name) {
			batch = append(batch, pending)
			continue
		}
		class := kind{pending.fleet.Type, pending.fleet.Zone, pending.fleet.Spot}
		fleet := fleets[class]
		if len(txn.Then)+len(fleets)+2 > max(2, c.limits().TxnOps) || fleet != nil && c.fleetFull(fleet) {
			rest = append(rest, pending)
			continue
		}
		if fleet == nil {
			rec := pending.fleet
			fleet = &rec
			fleets[class] = fleet
			order = append(order, fleet)
		}
		share := neediest(demand, capacity)
		if i := c.cache.TypeIndex.Find(pending.fleet.Type); i >= 0 {
			capacity[share] += c.cache.Types[i].Cpus
		}
		rack, fresh := fill.allocate(share, pending.fleet.Spot)
		if fresh {
			key := storage.GroupKey(rack)
			txn.If = append(txn.If, protocol.Condition{Key: key})
			txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeGroup(&storage.GroupRecord{Shard: share, FencingToken: c.nextRevision()}, c.cache.Packed())})
		}
		fleet.FencingToken = max(fleet.FencingToken, pending.fleet.FencingToken, c.nextRevision())
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: pending.name, Group: rack, Addr: pending.addr})
		batch = append(batch, pending)
	}
	for _, f := range order {
		key := storage.FleetKey(f.Machines[0].Name)
		txn.If = append(txn.If, protocol.Condition{Key: key})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.EncodeFleet(f, c.cache.Packed())})
	}
	c.leader.pendingMachines = rest
	c.leader.enrolling = true
	finish := func(ok bool) {
		c.leader.enrolling = false
		for _, n := range batch {
			if n.tries--; !ok && n.tries > 0 && c.isLeader() {
				c.leader.pendingMachines = append(c.leader.pendingMachines, n)
				continue
			}
			delete(c.leader.enrollPending, n.name)
			n.done(ok)
		}
		if ok {
			c.enrollPending(ctx)
		} else {
			c.enrollLater(ctx)
		}
	}
	if len(txn.Then) == 0 {
		finish(true)
		return
	}
	go c.commitWithRetry(ctx, txn, finish)
}

// maxFleet is how many machines one record holds.
const maxFleet = 200

// fleetFull tells whether a fleet's record takes no further machine.
func (c *Controller) fleetFull(f *storage.FleetRecord) bool {
	return len(f.Machines) >= maxFleet || len(storage.EncodeFleet(f, c.cache.Packed())) > c.valueLimit()*8/10
}

func (c *Controller) enrollLater(ctx context.Context) {
	time.AfterFunc(200*time.Millisecond, func() { c.post(func() { c.enrollPending(ctx) }) })
}

// commitWithRetry repeats a transaction of the leader until its outcome is known; after a
// refusal for its conditions it waits until the cache shows why.
func (c *Controller) commitWithRetry(ctx context.Context, txn protocol.Txn, then func(ok bool)) {
	doubt := false // an earlier try may still be applied: a refusal settles only its own
	for ctx.Err() == nil {
		rev, failed, err := c.transact(ctx, txn, protocol.UserRequest)
		if doubt && errors.Is(err, protocol.ErrTooLarge) {
			c.reacquireLeadership(ctx, txn.If[0])
			c.committed(txn, 0, false, then) // what became of it, the cache shows
			return
		}
		if err != nil && (doubt || !errors.Is(err, protocol.ErrRefused)) {
			doubt = true
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		if err == nil && len(failed) > 0 {
			c.followed(ctx, rev)
		}
		c.committed(txn, rev, err == nil && len(failed) == 0, then)
		return
	}
}

// followed waits until the cache has come as far as a revision.
func (c *Controller) followed(ctx context.Context, rev uint64) {
	for ctx.Err() == nil {
		reached := false
		if c.call(ctx, func() { reached = c.cache.Revision >= rev }) != nil || reached {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// reacquireLeadership settles a leader's transaction in doubt that is refused for its size when it is
// repeated: it rewrites the leader's key, on which the first copy depends, so that a late
// copy fails, and waits until the cache shows what became of it.
func (c *Controller) reacquireLeadership(ctx context.Context, lead protocol.Condition) {
	for ctx.Err() == nil {
		txn := protocol.Txn{If: []protocol.Condition{lead}}
		if c.call(ctx, func() {
			if c.isLeader() {
				txn.Then = []protocol.Change{{Put: lead.Key, Value: storage.Encode(c.cache.Leader.LeaderRecord), Lease: c.session.lease}}
			}
		}) != nil {
			return
		}
		rev, failed, err := c.store.Txn(ctx, txn, protocol.UserRequest)
		// A comparison that holds settles nothing: the first copy may still come.
		if err == nil && (len(failed) > 0 || len(txn.Then) > 0) {
			if len(failed) == 0 {
				c.post(func() { c.applyTxn(txn, rev); c.changed() })
			}
			c.followed(ctx, rev)
			return
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// groupSize is how many machines share a record: as few as let every group be
// written about once a second with half of the state service's rate of changes.
func (c *Controller) groupSize() int {
	n := len(c.leader.pendingMachines)
	for _, m := range c.cache.Machines {
		if !m.Gone && !m.Returning {
			n++
		}
	}
	racks := max(1, int(c.limits().WriteRPS/2))
	return min(maxGroupSize, (n+racks-1)/racks)
}

// maxGroupSize bounds how many machines move, and change their owner, together.
const maxGroupSize = 24

// groupAllocator finds groups for newcomers. Spot and ordinary machines do not share a
// group: work that may not use spot machines moves none of them with it.
type groupAllocator struct {
	groupSize int
	nextID    int
	groups    map[int]*groupCapacity
}

type groupCapacity struct {
	shard, free int
	empty, spot bool
}

func newGroupAllocator(cache *storage.Cache, size int) *groupAllocator {
	controllerGroupAllocator := &groupAllocator{groupSize: size, nextID: len(cache.Groups), groups: map[int]*groupCapacity{}}
	for _, k := range cache.Groups {
		if k.Version == 0 {
			continue
		}
		r := &groupCapacity{shard: k.Shard, free: size, empty: true}
		for _, m := range k.Machines {
			r.empty, r.spot = false, m.Spot
			if !m.Returning {
				r.free--
			}
		}
		controllerGroupAllocator.groups[k.ID] = r
	}
	return controllerGroupAllocator
}

// allocate returns the group with the most room for one more machine, a new one if there is none.
func (f *groupAllocator) allocate(share int, spot bool) (id int, fresh bool) {
	var best *groupCapacity
	for i := range f.nextID {
		r := f.groups[i]
		if r != nil && r.shard == share && (r.empty || r.spot == spot) && r.free > 0 && (best == nil || r.free > best.free) {
			id, best = i, r
		}
	}
	if best == nil {
		best = &groupCapacity{shard: share, free: f.groupSize}
		id, fresh = f.nextID, true
		f.groups[id] = best
		f.nextID++
	}
	best.free--
	best.empty, best.spot = false, spot
	return id, fresh
}
