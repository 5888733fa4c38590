package controller

import (
	"context"
	"errors"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// maxCancelAttempts is the number of attempts to cancel a job whose record keeps changing.
const maxCancelAttempts = 8

// Cancel answers a cancellation request. The final state is written by one compare-and-swap transaction, so a
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

// tryCancel makes one attempt to cancel a job; ok is false if the job must be looked up again.
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
		return Answer{}, false // the job got its final state in the meantime
	}
	return c.commitCancellation(ctx, id, txn)
}

// cancellationTxn returns the transaction that cancels a job, empty if the cache holds no such open job.
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

// commitCancellation commits a cancellation. ok is false if the job must be looked up again, because it is
// cancelled now or its record has changed in the meantime.
func (c *Controller) commitCancellation(ctx context.Context, id string, txn protocol.Txn) (answer Answer, ok bool) {
	revision, failed, err := c.transact(ctx, txn, protocol.UserRequest)
	if err != nil {
		if !errors.Is(err, protocol.ErrRefused) {
			c.log.Info("outcome of the cancellation is unknown", "job", id, "err", err)
		}
		return retryLater, true
	}
	if len(failed) > 0 {
		err = c.Barrier(ctx)
	} else {
		err = c.call(ctx, func() { c.applyTxn(txn, revision); c.onRecordsChanged() })
	}
	if err != nil {
		return retryLater, true
	}
	return Answer{}, false
}
