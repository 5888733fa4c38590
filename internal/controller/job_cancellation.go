package controller

import (
	"context"
	"errors"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// maxCancelAttempts is how often a cancellation is tried whose job changes meanwhile.
const maxCancelAttempts = 8

// Cancel answers a cancellation. The final state is one compare-and-set, so a
// job is never both done and cancelled.
func (c *Controller) Cancel(ctx context.Context, id string) Answer {
	if !protocol.ValidJobID(id) {
		return unknownJob
	}
	for range maxCancelAttempts {
		if answer, ok := c.tryCancel(ctx, id); ok {
			return answer
		}
	}
	return retryLater
}

// tryCancel tries to cancel a job; ok is false when it must be looked at once more.
func (c *Controller) tryCancel(ctx context.Context, id string) (answer Answer, ok bool) {
	found, err := c.lookup(ctx, id)
	if err != nil || !found.loaded {
		return retryLater, true
	}
	if !found.known {
		found, err = c.lookupLinearizable(ctx, id)
		if err != nil {
			return retryLater, true
		}
		if !found.known {
			return unknownJob, true
		}
	}
	if found.final() {
		return jobStateAnswer(found.state), true
	}
	var txn protocol.Txn
	if err := c.call(ctx, func() { txn = c.cancellationTxn(id) }); err != nil {
		return retryLater, true
	}
	if len(txn.Then) == 0 {
		return Answer{}, false // it got its final state meanwhile
	}
	return c.commitCancellation(ctx, id, txn)
}

// cancellationTxn is the transaction that cancels a job, empty if the cache has no such open job.
func (c *Controller) cancellationTxn(id string) protocol.Txn {
	job := c.cache.Job(id)
	if job == nil || !job.Open() {
		return protocol.Txn{}
	}
	key := storage.JobKey(id)
	record := c.finalRecord(job, progress{job.Done, job.DoneCount}, protocol.Cancelled)
	return protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: job.Version}},
		Then: []protocol.Change{{Put: key, Value: storage.Encode(record)}},
	}
}

// commitCancellation commits a cancellation; ok is false when the job must be looked at once more: it
// is cancelled now, or its record has changed meanwhile.
func (c *Controller) commitCancellation(ctx context.Context, id string, txn protocol.Txn) (answer Answer, ok bool) {
	revision, failed, err := c.transact(ctx, txn, protocol.UserRequest)
	if err != nil {
		if !errors.Is(err, protocol.ErrRefused) {
			c.log.Info("cancellation in doubt", "job", id, "err", err)
		}
		return retryLater, true
	}
	if len(failed) > 0 {
		err = c.Barrier(ctx)
	} else {
		err = c.call(ctx, func() { c.applyTxn(txn, revision); c.changed() })
	}
	if err != nil {
		return retryLater, true
	}
	return Answer{}, false
}
