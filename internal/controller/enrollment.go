package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// enrollTries is how many times the enrollment of a machine from a scale-out request is tried.
	// After that, the cloud's machine list shows it as an unrecorded machine, and it is enrolled from there.
	enrollTries = 20
	// enrollRetryDelay is the delay before enrollment is tried again after a failure.
	enrollRetryDelay = 200 * time.Millisecond
	// maxFleet is the maximum number of machines in one fleet record.
	maxFleet = 200
	// fleetFillPercent is the percentage of the value size limit that a new fleet record may use. The
	// rest is left for addresses that are added later.
	fleetFillPercent = 80
)

// pendingMachine is a machine that waits for enrollment: for its record to be written.
type pendingMachine struct {
	fleet     storage.FleetRecord // the fleet record's fields, without machines
	name      string
	addr      string
	triesLeft int           // tries left; 0: a single try
	done      func(ok bool) // called once with the outcome
}

// enrollmentState holds the leader's state of enrollments.
type enrollmentState struct {
	pendingMachines []*pendingMachine // waiting for the next transaction
	enrollPending   map[string]bool   // by machine name: waiting, or in the transaction in flight
	probed          map[string]bool   // by name: unrecorded machines whose probe has no answer yet
	txnInFlight     bool
}

func newEnrollmentState() enrollmentState {
	return enrollmentState{enrollPending: map[string]bool{}, probed: map[string]bool{}}
}

// failPending fails all enrollments that wait for a transaction.
func (e *enrollmentState) failPending() {
	abandoned := e.pendingMachines
	e.pendingMachines = nil
	for _, pending := range abandoned {
		delete(e.enrollPending, pending.name)
		pending.done(false)
	}
}

// enrollMachine queues a machine for enrollment in a group of the shard that needs it most. If the
// machine is queued already, its done function is called with a failure.
func (c *Controller) enrollMachine(ctx context.Context, pending *pendingMachine) {
	if c.leader.enrollPending[pending.name] {
		pending.done(false)
		return
	}
	c.leader.enrollPending[pending.name] = true
	c.leader.pendingMachines = append(c.leader.pendingMachines, pending)
	c.enrollPending(ctx)
}

// enrollPending writes the records of the pending machines, one fleet record for each kind. Three
// rules make sure that no machine gets into two records: only the leader writes them, on the
// condition that it still leads; it waits until its cache holds everything that former leaders
// wrote; and an in-doubt transaction is retried until its outcome is known and the cache has reached
// its revision, before its machines are considered again.
func (c *Controller) enrollPending(ctx context.Context) {
	if c.leader.txnInFlight || len(c.leader.pendingMachines) == 0 {
		return
	}
	if !c.isLeader() {
		c.leader.failPending()
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
	c.leader.txnInFlight = true
	finish := func(ok bool) { c.finishEnrollment(ctx, batch.included, ok) }
	if len(txn.Then) == 0 {
		finish(true)
		return
	}
	go c.commitWithRetry(ctx, txn, finish)
}

// finishEnrollment handles the outcome of a transaction: it reports it to each machine's done
// function, or queues the machine again if it failed and has tries left.
func (c *Controller) finishEnrollment(ctx context.Context, included []*pendingMachine, ok bool) {
	c.leader.txnInFlight = false
	for _, pending := range included {
		pending.triesLeft--
		if !ok && pending.triesLeft > 0 && c.isLeader() {
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

// enrollLater runs enrollPending after enrollRetryDelay.
func (c *Controller) enrollLater(ctx context.Context) {
	time.AfterFunc(enrollRetryDelay, func() { c.post(func() { c.enrollPending(ctx) }) })
}

// enrollmentBatch builds a transaction with the records of new machines.
type enrollmentBatch struct {
	c      *Controller
	txn    protocol.Txn
	load   enrollmentLoad
	groups *groupAllocator
	fleets map[fleetKind]*storage.FleetRecord
	order  []*storage.FleetRecord // the same fleets, in the order of their first machines

	included, postponed []*pendingMachine
}

// fleetKind identifies the machines that share a fleet record: those of the same type, zone and spot
// setting.
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

// add adds a machine to the batch, or postpones it to the next one.
func (b *enrollmentBatch) add(pending *pendingMachine) {
	if b.c.cache.MachineEverListed(pending.name) {
		b.included = append(b.included, pending) // the machine has a record already
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

// full reports whether one more machine, with a new group and a new fleet, could exceed the number of
// changes that a transaction may hold.
func (b *enrollmentBatch) full() bool {
	const changesPerMachine = 2
	return len(b.txn.Then)+len(b.fleets)+changesPerMachine > max(changesPerMachine, b.c.limits().TxnOps)
}

// allocateGroup returns the number of a group with room for a machine, and adds the group's record to
// the batch if it is new.
func (b *enrollmentBatch) allocateGroup(pending *pendingMachine) int {
	shard := b.load.shardForNewMachines()
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

// create adds a record to the transaction, with the condition that its key does not exist yet.
func (b *enrollmentBatch) create(key string, value []byte) {
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key})
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: value})
}

// transaction adds the fleet records to the batch's transaction and returns it.
func (b *enrollmentBatch) transaction() protocol.Txn {
	for _, fleet := range b.order {
		b.create(storage.FleetKey(fleet.Machines[0].Name), storage.EncodeFleet(fleet, b.c.cache.Packed()))
	}
	return b.txn
}

// fleetFull reports whether no further machine may be added to a fleet record.
func (c *Controller) fleetFull(fleet *storage.FleetRecord) bool {
	return len(fleet.Machines) >= maxFleet || len(storage.EncodeFleet(fleet, c.cache.Packed())) > c.valueLimit()*fleetFillPercent/100
}
