package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// commitQueue is the cycle of planning and committing: one transaction of this controller's
// shards is under way at a time. It is written by this file only, but for cycleRequested.
type commitQueue struct {
	cycleRequested  bool
	nextCycleAt     time.Time     // no cycle before
	inFlight        bool          // a transaction is under way
	inDoubt         *protocol.Txn // sent with unknown outcome: repeated until it is known
	lastTxnOps      int           // changes of the latest transaction
	awaitedRevision uint64        // no cycle before the cache has come this far
}

const (
	maxTxnBytes = 56 << 10               // of a transaction, as txnBuilder counts them
	minTxnOps   = 2                      // a transaction of so few changes is sent however large it is
	txnTimeout  = 4 * time.Second        // then the outcome of the cycle's transaction is unknown
	commitRetry = 250 * time.Millisecond // after one that was refused or whose outcome is unknown
)

// cycle compares what the records hold with what the workers have shown and what
// should run, and commits the difference of this controller's shards as one
// transaction. Only one is under way at a time; one whose outcome is unknown is
// repeated until it is known, since it might still be applied.
func (c *Controller) cycle(ctx context.Context) {
	c.commits.cycleRequested = false
	now := time.Now()
	if !c.follower.loaded {
		return
	}
	if c.commits.inDoubt != nil {
		c.commitAsync(ctx, *c.commits.inDoubt)
		return
	}
	if c.cache.Revision < c.commits.awaitedRevision {
		return // the watch brings what a refused transaction had missed
	}
	// A plan that waits for the rate budget grows stale: it is made when it can go out.
	if wait := c.store.Pace(c.commits.lastTxnOps); wait > 0 {
		c.commits.nextCycleAt, c.commits.cycleRequested = now.Add(wait), true
		return
	}
	txn, more := c.nextTxn(now)
	if len(txn.Then) == 0 {
		c.flushHeldReplies(now, true)
		return
	}
	if more {
		c.commits.cycleRequested = true
	}
	c.commits.lastTxnOps = len(txn.Then)
	c.commitAsync(ctx, txn)
}

// nextTxn plans a transaction that is within the state service's limits: records
// that list much leave room for fewer of them. The second result tells that another transaction
// is worth planning at once.
func (c *Controller) nextTxn(now time.Time) (protocol.Txn, bool) {
	if split := c.nextGroupSplit(); len(split.Then) > 0 {
		return split, true
	}
	for ops := c.limits().TxnOps; ; ops = (ops + 1) / 2 {
		began := time.Now()
		builder, more := c.plan(now, ops)
		took := time.Since(began)
		c.metrics.counters.pass(took)
		c.metrics.planSeconds.Observe(took.Seconds())
		if c.planner.oversizedGroup != nil {
			if split := c.nextGroupSplit(); len(split.Then) > 0 {
				return split, true
			}
		}
		if builder.bytes <= maxTxnBytes || ops <= minTxnOps {
			return builder.build(), more
		}
	}
}

// nextGroupSplit splits a machine group whose record would be over the limit, if there is one:
// its machines' tasks could not leave it otherwise.
func (c *Controller) nextGroupSplit() protocol.Txn {
	group := c.planner.oversizedGroup
	c.planner.oversizedGroup = nil
	if !c.cache.Packed() {
		return protocol.Txn{}
	}
	if group == nil {
		group = c.findOversizedGroup()
	}
	if group == nil || !c.ownsShard(group.Shard) {
		return protocol.Txn{}
	}
	c.planner.plannedTasks, c.planner.completedJobs = 0, c.planner.completedJobs[:0]
	return c.splitGroup(group)
}

// findOversizedGroup finds an owned group whose record is over the limit and stays so, or
// nearly so, when it is written again; nil: there is none.
func (c *Controller) findOversizedGroup() *storage.MachineGroup {
	limit := c.valueLimit()
	for _, group := range c.cache.Groups {
		if group.Size <= limit || !c.ownsShard(group.Shard) {
			continue
		}
		record := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), nil)
		if len(storage.EncodeGroup(record, true)) > limit*9/10 {
			return group
		}
	}
	return nil
}

// commitAsync commits a transaction in a goroutine of its own, which ends with the transaction's
// timeout and hands the outcome to sent.
func (c *Controller) commitAsync(ctx context.Context, txn protocol.Txn) {
	c.commits.inFlight = true
	go func() {
		timed, cancel := context.WithTimeout(ctx, txnTimeout)
		revision, failed, err := c.store.Txn(timed, txn, protocol.BackgroundRequest)
		cancel()
		c.post(func() { c.handleTxnOutcome(txn, revision, failed, err) })
	}()
}

// handleTxnOutcome takes the outcome of the cycle's transaction: failed are the keys whose conditions did
// not hold.
func (c *Controller) handleTxnOutcome(txn protocol.Txn, revision uint64, failed []string, err error) {
	c.commits.inFlight = false
	now := time.Now()
	c.commits.nextCycleAt = now.Add(c.timing.CommitInterval)
	if err != nil {
		c.commitFailed(txn, err, now)
		return
	}
	c.commits.inDoubt = nil
	c.storeHealth.failingSince, c.storeHealth.servedAt = time.Time{}, now
	if len(failed) > 0 {
		c.commitConflicted(revision, failed, now)
		return
	}
	c.commitSucceeded(txn, revision, now)
}

func (c *Controller) commitSucceeded(txn protocol.Txn, revision uint64, now time.Time) {
	if isResolvingTxn(txn) {
		c.commits.awaitedRevision = revision // what it settled may have been applied before
	}
	c.applyTxn(txn, revision)
	placed := c.planner.plannedTasks
	c.metrics.launches.Add(float64(placed))
	if placed > 0 && !c.shards.placedSinceTakeover {
		c.shards.placedSinceTakeover = true
		c.log.Info("first tasks placed since takeover", "after_s", now.Sub(c.shards.takenOverAt).Round(time.Millisecond).Seconds(), "tasks", placed)
	}
	for _, job := range c.planner.completedJobs {
		c.logDone(job, now)
	}
	c.changed()
	c.flushHeldReplies(now, true)
	c.dispatchDirect(txn)
}

// commitConflicted deals with conditions that did not hold: something changed under the plan.
// Whatever it was, a late copy of the transaction cannot be applied any more.
func (c *Controller) commitConflicted(revision uint64, failed []string, now time.Time) {
	c.log.Debug("commit conflicts", "keys", failed)
	c.commits.awaitedRevision = revision
	c.follower.highestRevision = max(c.follower.highestRevision, revision)
	c.flushHeldReplies(now, true)
	c.requestCycle()
}

// commitFailed deals with a transaction that was refused, or whose outcome is unknown.
func (c *Controller) commitFailed(txn protocol.Txn, err error, now time.Time) {
	if c.storeHealth.failingSince.IsZero() {
		c.storeHealth.failingSince = now
	}
	c.noteTooLarge(err)
	switch {
	case !errors.Is(err, protocol.ErrRefused):
		c.commits.inDoubt = &txn
	case errors.Is(err, protocol.ErrTooLarge) && c.commits.inDoubt != nil:
		c.commits.inDoubt = c.resolvingTxn(*c.commits.inDoubt)
	}
	c.log.Info("commit failed", "err", err, "in_doubt", c.commits.inDoubt != nil)
	c.commits.nextCycleAt = now.Add(commitRetry)
	c.requestCycle()
}

// logDone logs a job's end with what its waiting and running came to.
func (c *Controller) logDone(job *storage.Job, now time.Time) {
	state := c.jobState(job)
	c.log.Info("job done", "job", job.ID,
		"class", c.cache.Classes.Name(job.Class),
		"team", c.cache.Teams[job.Team].Name,
		"shard", job.Shard,
		"tasks", job.Tasks,
		"estimate_s", job.Estimate,
		"due_s", job.Deadline.Seconds(),
		"after_s", now.Sub(job.Submitted).Round(100*time.Millisecond).Seconds(),
		"dependencies", job.Dependencies,
		"ready_after_s", job.ReadyAt.Sub(job.Submitted).Seconds(),
		"first_placed_after_s", state.sinceReady(job, state.firstPlacedAt),
		"last_placed_after_s", state.sinceReady(job, state.lastPlacedAt),
		"terminated_tasks", state.terminatedTasks)
}

// dispatchDirect sends launches that a transaction brought straight to workers that were not
// told of them yet.
func (c *Controller) dispatchDirect(txn protocol.Txn) {
	for _, change := range txn.Then {
		id, ok := storage.GroupOf(change.Put)
		if !ok {
			continue
		}
		for _, machine := range c.cache.Groups[id].Machines {
			if !machine.Gone && c.ownsShard(machine.Shard) && c.hasUnsentLaunch(machine) {
				c.sendDirect(machine, false)
			}
		}
	}
}

// hasUnsentLaunch tells whether a machine's record holds a task that its worker has neither
// shown nor been told of.
func (c *Controller) hasUnsentLaunch(machine *storage.Machine) bool {
	worker := c.workerState(machine)
	for _, placed := range machine.Tasks {
		ref := dispatch.RefOf(placed)
		_, seen := worker.Seen[ref]
		_, sent := worker.Sent[ref]
		if !seen && !sent {
			return true
		}
	}
	return false
}

// commitAside commits a transaction that the cycle has no part in, and applies it. done is
// called in the core with the outcome; the goroutine ends with ctx.
func (c *Controller) commitAside(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority, done func(ok bool)) {
	go func() {
		revision, failed, err := c.transact(ctx, txn, priority)
		c.committed(txn, revision, err == nil && len(failed) == 0, done)
	}()
}

// committed hands the outcome of a transaction to the core.
func (c *Controller) committed(txn protocol.Txn, revision uint64, ok bool, done func(ok bool)) {
	c.post(func() {
		if ok {
			c.applyTxn(txn, revision)
		}
		done(ok)
		c.changed()
	})
}

// applyTxn applies a transaction that was committed with a revision to the cache.
func (c *Controller) applyTxn(txn protocol.Txn, revision uint64) {
	c.follower.highestRevision = max(c.follower.highestRevision, revision)
	for _, change := range txn.Then {
		if change.Delete != "" {
			_ = c.apply(change.Delete, nil, revision, true) // an error is logged there
		} else {
			_ = c.apply(change.Put, change.Value, revision, false)
		}
	}
}
