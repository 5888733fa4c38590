package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
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

// nextRevision is a revision that no record holds yet. As an attempt or a token it is
// above all that were committed before, whoever committed them.
func (c *Controller) nextRevision() uint64 { return c.follower.highestRevision + 1 }

// keepSessionLease keeps this controller's hold and its membership key.
func (c *Controller) keepSessionLease(ctx context.Context) {
	var first uint64
	for ctx.Err() == nil {
		sent := time.Now()
		lease, err := c.store.Grant(ctx, c.timing.SessionLease)
		if err != nil {
			c.log.Info("no hold yet", "err", err)
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		if first == 0 {
			first = lease
		}
		// Put without conditions: a restarted controller replaces its stale entry at once.
		rev, _, err := c.store.Txn(ctx, protocol.Txn{Then: []protocol.Change{c.memberChange(first, lease, c.session.notReady.Load())}}, protocol.UrgentRequest)
		if err != nil {
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		c.post(func() {
			c.session.incarnation, c.session.lease, c.session.leaseRenewedAt, c.session.memberRevision = first, lease, sent, rev
			c.changed()
		})
		for ctx.Err() == nil {
			sleep(ctx, c.timing.SessionLease/4)
			sent := time.Now()
			err := c.store.Renew(ctx, lease, c.timing.SessionLease/2)
			if err == nil {
				c.post(func() { c.storeHealth.servedAt, c.session.leaseRenewedAt = time.Now(), sent })
			}
			if errors.Is(err, protocol.ErrNoLease) {
				c.log.Info("hold has ended, taking a new one")
				c.post(func() { c.session.lease = 0 })
				break
			}
		}
	}
}

// memberChange is the change that says that a controller lives, and how it fares.
func (c *Controller) memberChange(incarnation, lease uint64, unfit bool) protocol.Change {
	return protocol.Change{Put: storage.MemberKey(c.cfg.MemberName), Lease: lease, Value: storage.Encode(
		storage.MemberRecord{Incarnation: incarnation, Public: c.cfg.PublicAddr, NotReady: unfit, Layout: c.Layout, FrameLevel: c.Frames})}
}

// repairMemberRecord writes this controller's record anew when it does not say what this process wrote: a
// transaction of the process before, or one of its own with unknown outcome, was applied late.
// With the former process's hold the record then vanished, and a living controller was no member any
// more: it got no shard, and the gate between layouts waited for it for ever.
func (c *Controller) repairMemberRecord(ctx context.Context) {
	if c.session.lease == 0 || c.session.memberWriteInFlight || c.cache.Revision < c.session.memberRevision {
		return
	}
	n := c.cache.Members[c.cfg.MemberName]
	if n != nil && (n.Incarnation > c.session.incarnation || // a later process of this name: this one is not wanted any more
		n.Incarnation == c.session.incarnation && n.NotReady == c.session.notReady.Load() && n.Layout == c.Layout) {
		return
	}
	c.log.Info("this node's record is not its own, writing it anew", "there", n != nil)
	c.writeMember(ctx, protocol.Txn{}, c.session.notReady.Load(), func(bool) {})
}

// writeMember writes this controller's record with whatever else is in a transaction.
func (c *Controller) writeMember(ctx context.Context, txn protocol.Txn, unfit bool, then func(ok bool)) {
	txn.Then = append(txn.Then, c.memberChange(c.session.incarnation, c.session.lease, unfit))
	c.session.memberWriteInFlight = true
	go func() {
		rev, failed, err := c.transact(ctx, txn, protocol.UrgentRequest)
		c.committed(txn, rev, err == nil && len(failed) == 0, func(ok bool) {
			c.session.memberWriteInFlight = false
			if ok {
				c.session.memberRevision = max(c.session.memberRevision, rev)
			}
			then(ok)
		})
	}()
}
