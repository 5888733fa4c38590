package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// enrollTries is how often a new machine's record is tried: afterwards the machine list brings
	// it again.
	enrollTries = 20
	// enrollRetryDelay is how long enrollment waits after a refusal.
	enrollRetryDelay = 200 * time.Millisecond
	// maxFleet is how many machines one fleet record holds.
	maxFleet = 200
	// fleetFillPercent is how much of the value limit a fleet's record may fill when it is written,
	// so that addresses which come later fit too.
	fleetFillPercent = 80
)

// pendingMachine is a machine that is to get a record.
type pendingMachine struct {
	fleet storage.FleetRecord // without machines
	name  string
	addr  string
	tries int
	done  func(ok bool)
}

// enrollmentState is what the leader knows of machines that are to get a record.
type enrollmentState struct {
	pendingMachines []*pendingMachine // that get a record next
	enrollPending   map[string]bool   // by name: waiting, or in the transaction under way
	enrolling       bool              // a transaction is under way
}

func newEnrollmentState() enrollmentState {
	return enrollmentState{enrollPending: map[string]bool{}}
}

// abandon gives up all machines that wait for a record.
func (e *enrollmentState) abandon() {
	abandoned := e.pendingMachines
	e.pendingMachines = nil
	for _, pending := range abandoned {
		delete(e.enrollPending, pending.name)
		pending.done(false)
	}
}

// enrollMachine gives a machine a record: it is put in a group of the shard that needs it most.
func (c *Controller) enrollMachine(ctx context.Context, pending *pendingMachine) {
	if c.leader.enrollPending[pending.name] {
		pending.done(false)
		return
	}
	c.leader.enrollPending[pending.name] = true
	c.leader.pendingMachines = append(c.leader.pendingMachines, pending)
	c.enrollPending(ctx)
}

// enrollPending writes the records of new machines, one for all of a kind. That a machine is in
// one record only rests on three things: only the leader writes them, on the condition that it
// still leads; it does so once its cache shows all that former leaders wrote; and a transaction
// with unknown outcome is repeated until the outcome is known, and the cache has come as far,
// before its machines are looked at again.
func (c *Controller) enrollPending(ctx context.Context) {
	if c.leader.enrolling || len(c.leader.pendingMachines) == 0 {
		return
	}
	if !c.isLeader() {
		c.leader.abandon()
		return
	}
	if c.cache.Revision < c.cache.Leader.Version {
		c.enrollLater(ctx)
		return
	}
	batch := c.newEnrollmentBatch()
	for _, pending := range c.leader.pendingMachines {
		batch.add(pending)
	}
	txn := batch.transaction()
	c.leader.pendingMachines = batch.postponed
	c.leader.enrolling = true
	finish := func(ok bool) { c.finishEnrollment(ctx, batch.included, ok) }
	if len(txn.Then) == 0 {
		finish(true)
		return
	}
	go c.commitWithRetry(ctx, txn, finish)
}

// finishEnrollment takes in the outcome of a transaction with machines' records.
func (c *Controller) finishEnrollment(ctx context.Context, included []*pendingMachine, ok bool) {
	c.leader.enrolling = false
	for _, pending := range included {
		pending.tries--
		if !ok && pending.tries > 0 && c.isLeader() {
			c.leader.pendingMachines = append(c.leader.pendingMachines, pending)
			continue
		}
		delete(c.leader.enrollPending, pending.name)
		pending.done(ok)
	}
	if ok {
		c.enrollPending(ctx)
	} else {
		c.enrollLater(ctx)
	}
}

func (c *Controller) enrollLater(ctx context.Context) {
	time.AfterFunc(enrollRetryDelay, func() { c.post(func() { c.enrollPending(ctx) }) })
}

// enrollmentBatch is a transaction with machines' records in the making.
type enrollmentBatch struct {
	c      *Controller
	txn    protocol.Txn
	load   enrollmentLoad
	groups *groupAllocator
	fleets map[fleetKind]*storage.FleetRecord
	order  []*storage.FleetRecord // the same fleets, in the order of their first machines

	included, postponed []*pendingMachine
}

// fleetKind is what the machines of one fleet record have in common.
type fleetKind struct {
	typeName, zone string
	spot           bool
}

func (c *Controller) newEnrollmentBatch() *enrollmentBatch {
	return &enrollmentBatch{
		c:      c,
		txn:    c.leaderTxn(),
		load:   c.enrollmentLoad(time.Now()),
		groups: newGroupAllocator(c.cache, c.groupSize()),
		fleets: map[fleetKind]*storage.FleetRecord{},
	}
}

// add puts a machine into the batch, or leaves it for the next one.
func (b *enrollmentBatch) add(pending *pendingMachine) {
	if b.c.cache.MachineSeen(pending.name) {
		b.included = append(b.included, pending) // it has a record already
		return
	}
	kind := fleetKind{pending.fleet.Type, pending.fleet.Zone, pending.fleet.Spot}
	fleet := b.fleets[kind]
	if b.full() || fleet != nil && b.c.fleetFull(fleet) {
		b.postponed = append(b.postponed, pending)
		return
	}
	if fleet == nil {
		record := pending.fleet
		fleet = &record
		b.fleets[kind] = fleet
		b.order = append(b.order, fleet)
	}
	group := b.allocateGroup(pending)
	fleet.FencingToken = max(fleet.FencingToken, pending.fleet.FencingToken, b.c.nextRevision())
	fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: pending.name, Group: group, Addr: pending.addr})
	b.included = append(b.included, pending)
}

// full tells whether one more machine, with a new group and a new fleet, could exceed a
// transaction's changes.
func (b *enrollmentBatch) full() bool {
	const changesPerMachine = 2
	return len(b.txn.Then)+len(b.fleets)+changesPerMachine > max(changesPerMachine, b.c.limits().TxnOps)
}

// allocateGroup finds a group for a machine, and creates it if there is none.
func (b *enrollmentBatch) allocateGroup(pending *pendingMachine) int {
	shard := b.load.neediest()
	if typeIndex := b.c.cache.TypeIndex.Find(pending.fleet.Type); typeIndex >= 0 {
		b.load.capacity[shard] += b.c.cache.Types[typeIndex].Cpus
	}
	group, created := b.groups.allocate(shard, pending.fleet.Spot)
	if created {
		record := &storage.GroupRecord{Shard: shard, FencingToken: b.c.nextRevision()}
		b.create(storage.GroupKey(group), storage.EncodeGroup(record, b.c.cache.Packed()))
	}
	return group
}

// create adds a record that must not exist yet.
func (b *enrollmentBatch) create(key string, value []byte) {
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key})
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: value})
}

// transaction is the batch with the fleets' records.
func (b *enrollmentBatch) transaction() protocol.Txn {
	for _, fleet := range b.order {
		b.create(storage.FleetKey(fleet.Machines[0].Name), storage.EncodeFleet(fleet, b.c.cache.Packed()))
	}
	return b.txn
}

// fleetFull tells whether a fleet's record takes no further machine.
func (c *Controller) fleetFull(f *storage.FleetRecord) bool {
	return len(f.Machines) >= maxFleet || len(storage.EncodeFleet(f, c.cache.Packed())) > c.valueLimit()*fleetFillPercent/100
}
