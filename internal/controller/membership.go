package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/wait"
)

// sessionState is this controller's own standing: its incarnation, its session lease with the
// state service and the member record that hangs on it. It is written by this file and, for
// readiness, by readiness.go.
type sessionState struct {
	startedAt           time.Time // of this process
	incarnation         uint64    // the first lease that this process got; 0: none yet
	lease               uint64    // 0: none, or it has expired
	leaseRenewedAt      time.Time // when the latest renewal that worked was sent
	memberRevision      uint64    // with which this controller's record was last written
	memberWriteInFlight bool
	notReady            atomic.Bool // reaches no worker: it gives up shards and leadership
	lastProbeAt         time.Time   // of a worker, while not ready
	nextProbe           int         // which worker
}

// grantRetryInterval is how long to wait before a session lease is asked for again.
const grantRetryInterval = 500 * time.Millisecond

// nextRevision is a revision that no record holds yet. As an attempt or a fencing token it is
// above all that were committed before, whoever committed them.
func (c *Controller) nextRevision() uint64 { return c.follower.highestRevision + 1 }

// keepSessionLease keeps this controller's session lease and its member record; it ends with ctx.
func (c *Controller) keepSessionLease(ctx context.Context) {
	var incarnation uint64
	for ctx.Err() == nil {
		sent := time.Now()
		lease, err := c.store.Grant(ctx, c.timing.SessionLease)
		if err != nil {
			c.log.Info("no session lease yet", "err", err)
			wait.For(ctx, grantRetryInterval)
			continue
		}
		if incarnation == 0 {
			incarnation = lease
		}
		// Put without conditions: a restarted controller replaces its stale record at once.
		txn := protocol.Txn{Then: []protocol.Change{c.memberChange(incarnation, lease, c.session.notReady.Load())}}
		revision, _, err := c.store.Txn(ctx, txn, protocol.UrgentRequest)
		if err != nil {
			wait.For(ctx, storeRetryInterval)
			continue
		}
		c.post(func() {
			c.session.begin(incarnation, lease, sent, revision)
			c.changed()
		})
		c.renewSessionLease(ctx, lease)
	}
}

// begin takes a session lease that was asked for at a time, with the revision of the member record under it.
func (s *sessionState) begin(incarnation, lease uint64, sent time.Time, revision uint64) {
	s.incarnation, s.lease, s.leaseRenewedAt, s.memberRevision = incarnation, lease, sent, revision
}

// renewSessionLease renews a session lease until it has expired or ctx ends.
func (c *Controller) renewSessionLease(ctx context.Context, lease uint64) {
	for ctx.Err() == nil {
		wait.For(ctx, c.timing.SessionLease/4)
		sent := time.Now()
		err := c.store.Renew(ctx, lease, c.timing.SessionLease/2)
		if err == nil {
			c.post(func() { c.storeHealth.servedAt, c.session.leaseRenewedAt = time.Now(), sent })
		}
		if errors.Is(err, protocol.ErrNoLease) {
			c.log.Info("session lease has expired, asking for a new one")
			c.post(func() { c.session.lease = 0 })
			return
		}
	}
}

// memberChange is the change that says that a controller lives, and whether it is ready.
func (c *Controller) memberChange(incarnation, lease uint64, notReady bool) protocol.Change {
	record := storage.MemberRecord{
		Incarnation: incarnation,
		Public:      c.cfg.PublicAddr,
		NotReady:    notReady,
		Layout:      c.Layout,
		FrameLevel:  c.Frames,
	}
	return protocol.Change{Put: storage.MemberKey(c.cfg.MemberName), Lease: lease, Value: storage.Encode(record)}
}

// repairMemberRecord writes this controller's record again when it does not say what this process wrote: a
// transaction of the process before, or one of its own with unknown outcome, was applied late.
// With the former process's session lease the record then vanished, and a living controller was no member
// any more: it got no shard, and the gate between layouts waited for it for ever.
func (c *Controller) repairMemberRecord(ctx context.Context) {
	if c.session.lease == 0 || c.session.memberWriteInFlight || c.cache.Revision < c.session.memberRevision {
		return
	}
	member := c.cache.Members[c.cfg.MemberName]
	if member != nil && (c.supersededBy(member) || c.describes(member)) {
		return
	}
	c.log.Info("member record is not this process's, writing it again", "present", member != nil)
	c.writeMember(ctx, protocol.Txn{}, c.session.notReady.Load(), func(bool) {})
}

// supersededBy reports whether a member record is of a later process of this name: this one is not wanted any more.
func (c *Controller) supersededBy(member *storage.Member) bool {
	return member.Incarnation > c.session.incarnation
}

// describes reports whether a member record is of this process as it is now.
func (c *Controller) describes(member *storage.Member) bool {
	return member.Incarnation == c.session.incarnation && member.NotReady == c.session.notReady.Load() && member.Layout == c.Layout
}

// writeMember writes this controller's record with whatever else is in a transaction.
func (c *Controller) writeMember(ctx context.Context, txn protocol.Txn, notReady bool, then func(ok bool)) {
	txn.Then = append(txn.Then, c.memberChange(c.session.incarnation, c.session.lease, notReady))
	c.session.memberWriteInFlight = true
	// The transaction's own timeout and ctx end this goroutine; nobody waits for it.
	go func() {
		revision, failed, err := c.transact(ctx, txn, protocol.UrgentRequest)
		c.committed(txn, revision, err == nil && len(failed) == 0, func(ok bool) {
			c.session.memberWriteInFlight = false
			if ok {
				c.session.memberRevision = max(c.session.memberRevision, revision)
			}
			then(ok)
		})
	}()
}
