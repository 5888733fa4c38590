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
	// inDoubtRetryDelay is the delay before a transaction with an unknown outcome is retried.
	inDoubtRetryDelay = 300 * time.Millisecond
	// revisionPollInterval is the interval at which waitForRevision checks the cache's revision.
	revisionPollInterval = 100 * time.Millisecond
)

// commitWithRetry retries a transaction of the leader until its outcome is known, and passes the
// outcome to the callback then. If a condition of the transaction failed, it first waits until
// the cache has reached the revision at which it failed.
func (c *Controller) commitWithRetry(ctx context.Context, txn protocol.Txn, then func(ok bool)) {
	inDoubt := false // an earlier try may still be applied: a refusal settles only the latest try
	for ctx.Err() == nil {
		rev, failed, err := c.transact(ctx, txn, protocol.UserRequest)
		if inDoubt && errors.Is(err, protocol.ErrTooLarge) {
			c.rewriteLeaderRecord(ctx, txn.If[0])
			c.postTxnOutcome(txn, 0, false, then) // the cache shows whether an earlier try was applied
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
		c.postTxnOutcome(txn, rev, err == nil && len(failed) == 0, then)
		return
	}
}

// waitForRevision waits until the cache has reached a revision or ctx ends.
func (c *Controller) waitForRevision(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		reached := false
		if c.call(ctx, func() { reached = c.cache.Revision >= revision }) != nil || reached {
			return
		}
		wait.For(ctx, revisionPollInterval)
	}
}

// rewriteLeaderRecord settles an in-doubt transaction of the leader whose retry was refused for its
// size. It rewrites the leader's key, on whose version the first try depends, so that the first try
// fails if it arrives later, and waits until the cache shows whether it was applied.
func (c *Controller) rewriteLeaderRecord(ctx context.Context, lead protocol.Condition) {
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
		// If the condition holds but nothing was written, the first try may still be applied later.
		if err == nil && (len(failed) > 0 || len(txn.Then) > 0) {
			if len(failed) == 0 {
				c.post(func() { c.applyTxn(txn, rev); c.onRecordsChanged() })
			}
			c.waitForRevision(ctx, rev)
			return
		}
		wait.For(ctx, inDoubtRetryDelay)
	}
}
