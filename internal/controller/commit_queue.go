package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// commitQueue is the state of the plan and commit cycle: at most one transaction for this
// controller's shards is in flight at a time. Only this file writes it, except for cycleRequested.
type commitQueue struct {
	cycleRequested  bool
	nextCycleAt     time.Time     // earliest time of the next cycle
	inFlight        bool          // a transaction of the cycle has been sent and its outcome is pending
	inDoubt         *protocol.Txn // transaction with unknown outcome; it is repeated until the outcome is known
	lastTxnOps      int           // number of puts and deletes in the latest transaction
	awaitedRevision uint64        // the cache must reach this revision before the next cycle
	conflicts       conflictTracker
}

const (
	// The state service accepts transactions of up to 64 KiB. maxTxnBytes leaves room for conditions on
	// keys that a transaction does not change, which the estimate omits.
	maxTxnBytes = 56 << 10               // limit on a transaction's size, as txnBuilder estimates it
	minTxnOps   = 2                      // a plan with this limit on operations is sent whatever its size
	txnTimeout  = 4 * time.Second        // after this the outcome of the cycle's transaction is unknown
	commitRetry = 250 * time.Millisecond // delay after a transaction that was refused or whose outcome is unknown
)

// cycle compares the records with the states that workers report and with the desired state, and
// commits the difference for this controller's shards as one transaction. At most one such
// transaction is in flight; one whose outcome is unknown is repeated until the outcome is known,
// since it might still be applied.
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
	if c.cache.Revision < c.commits.awaitedRevision || !c.cache.Consistent() {
		return // wait until the watch delivers the changes that made a transaction fail, or that a full read missed
	}
	// A plan that waits for the rate limit becomes stale, so planning is postponed until the
	// transaction can be sent.
	if wait := c.store.Pace(c.commits.lastTxnOps); wait > 0 {
		c.commits.nextCycleAt, c.commits.cycleRequested = now.Add(wait), true
		return
	}
	txn, more := c.nextTxn(now)
	if len(txn.Then) == 0 {
		c.commits.conflicts.clear()
		c.flushHeldReplies(now, true)
		return
	}
	if more {
		c.commits.cycleRequested = true
	}
	c.commits.lastTxnOps = len(txn.Then)
	c.commitAsync(ctx, txn)
}

// nextTxn plans a transaction that is within the state service's limits: the larger the records
// are, the fewer of them fit. The second result reports whether another transaction should be
// planned immediately.
func (c *Controller) nextTxn(now time.Time) (protocol.Txn, bool) {
	if split := c.nextGroupSplit(); len(split.Then) > 0 {
		return split, true
	}
	for ops := c.limits().TxnOps; ; ops = (ops + 1) / 2 {
		began := time.Now()
		builder, more := c.plan(now, ops)
		took := time.Since(began)
		c.metrics.counters.recordPass(took)
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

// nextGroupSplit returns a transaction that splits a machine group whose record would exceed the
// value limit, or an empty transaction if there is no such group. Without the split, no task could
// be removed from the group's record.
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

// findOversizedGroup returns an owned group whose record exceeds the value limit and would still
// take more than 9/10 of it when written again. It returns nil if there is none.
func (c *Controller) findOversizedGroup() *storage.MachineGroup {
	limit := c.valueLimit()
	for _, group := range c.cache.Groups {
		if group.Size <= limit || !c.ownsShard(group.Shard) || c.cache.GroupRejected(group) {
			continue
		}
		record := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), nil)
		if len(storage.EncodeGroup(record, true)) > limit*9/10 {
			return group
		}
	}
	return nil
}

// commitAsync commits a transaction in a new goroutine, which ends at the latest with the
// transaction's timeout and passes the outcome to handleTxnOutcome.
func (c *Controller) commitAsync(ctx context.Context, txn protocol.Txn) {
	c.commits.inFlight = true
	go func() {
		timed, cancel := context.WithTimeout(ctx, txnTimeout)
		revision, failed, err := c.store.Txn(timed, txn, protocol.BackgroundRequest)
		cancel()
		c.post(func() { c.handleTxnOutcome(txn, revision, failed, err) })
	}()
}

// handleTxnOutcome handles the outcome of the cycle's transaction. failed lists the keys whose
// conditions did not hold.
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
		c.commits.awaitedRevision = revision // the transaction that it resolved may have been applied earlier
	}
	c.commits.conflicts.clear()
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
	c.onRecordsChanged()
	c.flushHeldReplies(now, true)
	c.dispatchDirect(txn)
}

// commitConflicted handles a transaction whose conditions did not hold because records changed
// after it was planned. A late copy of the transaction cannot be applied either.
func (c *Controller) commitConflicted(revision uint64, failed []string, now time.Time) {
	c.log.Debug("commit conflicts", "keys", failed)
	c.commits.conflicts.note(now)
	if c.commits.conflicts.reportDue(now) {
		c.log.Error("every commit conflicts", "for_s", c.commits.conflicts.age(now).Seconds(), "keys", failed)
	}
	c.commits.awaitedRevision = revision
	c.follower.highestRevision = max(c.follower.highestRevision, revision)
	c.flushHeldReplies(now, true)
	c.requestCycle()
}

// commitFailed handles a transaction that was refused or whose outcome is unknown.
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

// logDone logs the completion of a job, with the times from its submission until it was ready and until
// its end, and from ready until its first and last placement.
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
		"first_placed_after_s", state.secondsSinceReady(job, state.firstPlacedAt),
		"last_placed_after_s", state.secondsSinceReady(job, state.lastPlacedAt),
		"terminated_tasks", state.terminatedTasks)
}

// dispatchDirect sends the launches in a committed transaction directly to workers that have not
// been sent them yet.
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

// hasUnsentLaunch reports whether a machine's record holds a task that its worker has not reported
// and has not been sent.
func (c *Controller) hasUnsentLaunch(machine *storage.Machine) bool {
	worker := c.workerState(machine)
	for _, placed := range machine.Tasks {
		ref := dispatch.AttemptRefOf(placed)
		_, seen := worker.Reported[ref]
		_, sent := worker.LaunchSentSeq[ref]
		if !seen && !sent {
			return true
		}
	}
	return false
}

// commitOutsideCycle commits a transaction independently of the cycle, and applies it to the cache. done
// is called in the controller's event loop with the outcome. The goroutine that it starts ends with
// ctx.
func (c *Controller) commitOutsideCycle(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority, done func(ok bool)) {
	go func() {
		revision, failed, err := c.transact(ctx, txn, priority)
		c.postTxnOutcome(txn, revision, err == nil && len(failed) == 0, done)
	}()
}

// postTxnOutcome passes the outcome of a transaction to the controller's event loop, applies the
// transaction to the cache if ok is set, and calls done.
func (c *Controller) postTxnOutcome(txn protocol.Txn, revision uint64, ok bool, done func(ok bool)) {
	c.post(func() {
		if ok {
			c.applyTxn(txn, revision)
		}
		done(ok)
		c.onRecordsChanged()
	})
}

// applyTxn applies a transaction that was committed at the given revision to the cache.
func (c *Controller) applyTxn(txn protocol.Txn, revision uint64) {
	c.follower.highestRevision = max(c.follower.highestRevision, revision)
	for _, change := range txn.Then {
		if change.Delete != "" {
			_ = c.apply(change.Delete, nil, revision, true) // apply logs the error
		} else {
			_ = c.apply(change.Put, change.Value, revision, false)
		}
	}
}
