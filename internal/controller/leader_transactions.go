package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/wait"
)

const (
	// inDoubtRetryDelay is how long after an unknown outcome a transaction is repeated.
	inDoubtRetryDelay = 300 * time.Millisecond
	// revisionPollInterval is how often it is checked whether the cache has reached a revision.
	revisionPollInterval = 100 * time.Millisecond
)

// commitWithRetry repeats a transaction of the leader until its outcome is known; after a refusal
// for its conditions it waits until the cache shows why.
func (c *Controller) commitWithRetry(ctx context.Context, txn protocol.Txn, then func(ok bool)) {
	inDoubt := false // an earlier try may still be applied: a refusal settles only its own
	for ctx.Err() == nil {
		rev, failed, err := c.transact(ctx, txn, protocol.UserRequest)
		if inDoubt && errors.Is(err, protocol.ErrTooLarge) {
			c.reacquireLeadership(ctx, txn.If[0])
			c.committed(txn, 0, false, then) // what became of it, the cache shows
			return
		}
		if err != nil && (inDoubt || !errors.Is(err, protocol.ErrRefused)) {
			inDoubt = true
			wait.For(ctx, inDoubtRetryDelay)
			continue
		}
		if err == nil && len(failed) > 0 {
			c.waitForRevision(ctx, rev)
		}
		c.committed(txn, rev, err == nil && len(failed) == 0, then)
		return
	}
}

// waitForRevision waits until the cache has reached a revision.
func (c *Controller) waitForRevision(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		reached := false
		if c.call(ctx, func() { reached = c.cache.Revision >= revision }) != nil || reached {
			return
		}
		wait.For(ctx, revisionPollInterval)
	}
}

// reacquireLeadership settles a leader's transaction in doubt that is refused for its size when
// it is repeated: it rewrites the leader's key, on which the first copy depends, so that a late
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
			c.waitForRevision(ctx, rev)
			return
		}
		wait.For(ctx, inDoubtRetryDelay)
	}
}
