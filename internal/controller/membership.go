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

// sessionState holds this controller's incarnation, its session lease with the state service, and
// the state of its member record, which the lease keeps in place. It is written by this file and,
// for readiness, by readiness.go.
type sessionState struct {
	startedAt           time.Time   // when this process started
	incarnation         uint64      // ID of the first session lease that this process got; 0: none yet
	lease               uint64      // ID of the session lease; 0: none, or it has expired
	leaseRenewedAt      time.Time   // when the latest successful grant or renewal was sent
	memberRevision      uint64      // revision at which this controller's member record was last written
	memberWriteInFlight bool        // a write of the member record is in flight
	notReady            atomic.Bool // no worker can be reached: shards and leadership are given up
	lastProbeAt         time.Time   // when a worker was last probed, while not ready
	nextProbe           int         // counter that selects the next worker to probe
}

// grantRetryInterval is the delay before a failed request for a session lease is retried.
const grantRetryInterval = 500 * time.Millisecond

// nextRevision returns a number above every revision that this process has seen. Used as an attempt
// number or a fencing token, it is above all that were committed before, by any controller.
func (c *Controller) nextRevision() uint64 { return c.follower.highestRevision + 1 }

// keepSessionLease obtains this controller's session lease, writes its member record and renews the
// lease; when the lease expires it starts again. It returns when ctx ends.
func (c *Controller) keepSessionLease(ctx context.Context) {
	var incarnation uint64
	for ctx.Err() == nil {
		sent := time.Now()
		lease, err := c.store.Grant(ctx, c.timing.SessionLease)
		if err != nil {
			c.log.Info("session lease request failed, retrying", "err", err)
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
			c.onRecordsChanged()
		})
		c.renewSessionLease(ctx, lease)
	}
}

// begin stores a new session lease, the time at which it was requested, and the revision at which
// the member record was written under it.
func (s *sessionState) begin(incarnation, lease uint64, sent time.Time, revision uint64) {
	s.incarnation, s.lease, s.leaseRenewedAt, s.memberRevision = incarnation, lease, sent, revision
}

// renewSessionLease renews a session lease four times per lease duration until it has expired or
// ctx ends.
func (c *Controller) renewSessionLease(ctx context.Context, lease uint64) {
	for ctx.Err() == nil {
		wait.For(ctx, c.timing.SessionLease/4)
		sent := time.Now()
		err := c.store.Renew(ctx, lease, c.timing.SessionLease/2)
		if err == nil {
			c.post(func() { c.storeHealth.servedAt, c.session.leaseRenewedAt = time.Now(), sent })
		}
		if errors.Is(err, protocol.ErrLeaseExpired) {
			c.log.Info("session lease expired, requesting a new one")
			c.post(func() { c.session.lease = 0 })
			return
		}
	}
}

// memberChange returns the change that writes this controller's member record, attached to a
// session lease.
func (c *Controller) memberChange(incarnation, lease uint64, notReady bool) protocol.Change {
	record := storage.MemberRecord{
		Incarnation: incarnation,
		PublicAddr:  c.cfg.PublicAddr,
		NotReady:    notReady,
		Layout:      c.Layout,
		FrameLevel:  c.Frames,
	}
	return protocol.Change{Put: storage.MemberKey(c.cfg.MemberName), Lease: lease, Value: storage.Encode(record)}
}

// repairMemberRecord rewrites this controller's member record when it does not hold what this
// process wrote. That happens when a transaction of the previous process of the same name, or an
// in-doubt transaction of this one, is applied late. Without the repair, the record was deleted with
// the previous process's session lease, and a running controller was no longer a member: it was
// assigned no shard, and the layout gate waited for it for ever.
func (c *Controller) repairMemberRecord(ctx context.Context) {
	if c.session.lease == 0 || c.session.memberWriteInFlight || c.cache.Revision < c.session.memberRevision {
		return
	}
	member := c.cache.Members[c.cfg.MemberName]
	if member != nil && (c.supersededBy(member) || c.describes(member)) {
		return
	}
	c.log.Info("member record does not match this process, rewriting it", "present", member != nil)
	c.writeMember(ctx, protocol.Txn{}, c.session.notReady.Load(), func(bool) {})
}

// supersededBy reports whether a member record was written by a later process of the same name,
// which replaces this one.
func (c *Controller) supersededBy(member *storage.Member) bool {
	return member.Incarnation > c.session.incarnation
}

// describes reports whether a member record has this process's incarnation, readiness and layout.
func (c *Controller) describes(member *storage.Member) bool {
	return member.Incarnation == c.session.incarnation && member.NotReady == c.session.notReady.Load() && member.Layout == c.Layout
}

// writeMember adds this controller's member record to a transaction and commits it in a goroutine;
// then is called with the outcome.
func (c *Controller) writeMember(ctx context.Context, txn protocol.Txn, notReady bool, then func(ok bool)) {
	txn.Then = append(txn.Then, c.memberChange(c.session.incarnation, c.session.lease, notReady))
	c.session.memberWriteInFlight = true
	// The transaction's timeout and ctx bound this goroutine; nothing waits for it.
	go func() {
		revision, failed, err := c.transact(ctx, txn, protocol.UrgentRequest)
		c.postTxnOutcome(txn, revision, err == nil && len(failed) == 0, func(ok bool) {
			c.session.memberWriteInFlight = false
			if ok {
				c.session.memberRevision = max(c.session.memberRevision, revision)
			}
			then(ok)
		})
	}()
}
