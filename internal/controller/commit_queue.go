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
	maxTxnBytes = 56 << 10
	maxPlace    = 400 // tasks placed in one pass
)

// txnBuilder is a transaction under construction.
type txnBuilder struct {
	conditions map[string]uint64
	puts       map[string]protocol.Change
	bytes      int
	order      []string
}

func newTxnBuilder() *txnBuilder {
	return &txnBuilder{conditions: map[string]uint64{}, puts: map[string]protocol.Change{}}
}

func (b *txnBuilder) require(key string, version uint64) { b.conditions[key] = version }

func (b *txnBuilder) put(key string, version uint64, ch protocol.Change) {
	b.require(key, version)
	if _, ok := b.puts[key]; !ok {
		b.order = append(b.order, key)
	}
	b.puts[key] = ch
	b.bytes += len(key)*3 + len(ch.Value) + 80
}

func (b *txnBuilder) build() protocol.Txn {
	var t protocol.Txn
	for key, v := range b.conditions {
		t.If = append(t.If, protocol.Condition{Key: key, Version: v})
	}
	for _, key := range b.order {
		t.Then = append(t.Then, b.puts[key])
	}
	return t
}

// progress is how far a job gets with this batch.
type progress struct {
	done storage.Bitmap
	n    int
}

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
		c.send(ctx, *c.commits.inDoubt)
		return
	}
	if c.cache.Revision < c.commits.awaitedRevision {
		return // the follow brings what a refused transaction had missed
	}
	// A plan that waits for its turn grows stale: it is made when it can go out.
	if d := c.store.Pace(c.commits.lastTxnOps); d > 0 {
		c.commits.nextCycleAt, c.commits.cycleRequested = now.Add(d), true
		return
	}
	t, more := c.nextTxn(now)
	if len(t.Then) == 0 {
		c.flushHeldReplies(now, true)
		return
	}
	if more {
		c.commits.cycleRequested = true
	}
	c.commits.lastTxnOps = len(t.Then)
	c.send(ctx, t)
}

// nextTxn plans a transaction that is within the state service's limits: records
// that list much leave room for fewer of them.
func (c *Controller) nextTxn(now time.Time) (protocol.Txn, bool) {
	if t := c.nextGroupSplit(); len(t.Then) > 0 {
		return t, true
	}
	for ops := c.limits().TxnOps; ; ops = (ops + 1) / 2 {
		began := time.Now()
		b, more := c.plan(now, ops)
		c.metrics.counters.pass(time.Since(began))
		c.metrics.planSeconds.Observe(time.Since(began).Seconds())
		if c.planner.oversizedGroup != nil {
			if t := c.nextGroupSplit(); len(t.Then) > 0 {
				return t, true
			}
		}
		if b.bytes <= maxTxnBytes || ops <= 2 {
			return b.build(), more
		}
	}
}

// nextGroupSplit parts a group whose record would be over the limit, if there is one: its
// machines' tasks could not leave it otherwise.
func (c *Controller) nextGroupSplit() protocol.Txn {
	group := c.planner.oversizedGroup
	c.planner.oversizedGroup = nil
	if !c.cache.Packed() {
		return protocol.Txn{}
	}
	if group == nil {
		limit := c.valueLimit()
		for _, x := range c.cache.Groups {
			if x.Size > limit && c.ownsShard(x.Shard) && len(storage.EncodeGroup(c.cache.GroupRecordOf(x, x.UnsavedCompletions(), nil), true)) > limit*9/10 {
				group = x
				break
			}
		}
	}
	if group == nil || !c.ownsShard(group.Shard) {
		return protocol.Txn{}
	}
	c.planner.plannedTasks, c.planner.completedJobs = 0, c.planner.completedJobs[:0]
	return c.splitGroup(group)
}

func (c *Controller) send(ctx context.Context, t protocol.Txn) {
	c.commits.inFlight = true
	go func() {
		tctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		rev, failed, err := c.store.Txn(tctx, t, protocol.BackgroundRequest)
		cancel()
		c.post(func() { c.sent(t, rev, failed, err) })
	}()
}

func (c *Controller) sent(txn protocol.Txn, rev uint64, failed []string, err error) {
	c.commits.inFlight = false
	now := time.Now()
	c.commits.nextCycleAt = now.Add(c.timing.CommitInterval)
	switch {
	case err == nil && len(failed) == 0:
		c.commits.inDoubt = nil
		c.storeHealth.failingSince, c.storeHealth.servedAt = time.Time{}, now
		if settles(txn) {
			c.commits.awaitedRevision = rev // what it settled may have been applied before
		}
		c.applyTxn(txn, rev)
		c.metrics.launches.Add(float64(c.planner.plannedTasks))
		if c.planner.plannedTasks > 0 && !c.shards.placedSinceTakeover {
			c.shards.placedSinceTakeover = true
			c.log.Info("places again", "after", now.Sub(c.shards.takenOverAt).Round(time.Millisecond).Seconds(), "tasks", c.planner.plannedTasks)
		}
		for _, j := range c.planner.completedJobs {
			jv := c.jobState(j)
			c.log.Info("job is done", "job", j.ID, "class", c.cache.Classes.Name(j.Class), "team", c.cache.Teams[j.Team].Name,
				"share", j.Shard, "tasks", j.Tasks, "estimate", j.Estimate, "due", j.Deadline.Seconds(), "after", now.Sub(j.Submitted).Round(100*time.Millisecond).Seconds(), "needs", j.Dependencies, "ready", j.ReadyAt.Sub(j.Submitted).Seconds(),
				"began", jv.sinceReady(j, jv.firstPlacedAt), "placed", jv.sinceReady(j, jv.lastPlacedAt), "stopped", jv.terminatedTasks)
		}
		c.changed()
		c.flushHeldReplies(now, true)
		c.dispatchDirect(txn)
	case err == nil:
		// Something changed under it: whatever it was, a late copy cannot apply any more.
		c.log.Debug("commit conflicts", "keys", failed)
		c.commits.inDoubt = nil
		c.storeHealth.failingSince, c.storeHealth.servedAt = time.Time{}, now
		c.commits.awaitedRevision = rev
		c.follower.highestRevision = max(c.follower.highestRevision, rev)
		c.flushHeldReplies(now, true)
		c.requestCycle()
	default:
		if c.storeHealth.failingSince.IsZero() {
			c.storeHealth.failingSince = now
		}
		c.noteTooLarge(err)
		switch {
		case !errors.Is(err, protocol.ErrRefused):
			c.commits.inDoubt = &txn
		case errors.Is(err, protocol.ErrTooLarge) && c.commits.inDoubt != nil:
			c.commits.inDoubt = c.settling(*c.commits.inDoubt)
		}
		c.log.Info("commit failed", "err", err, "doubt", c.commits.inDoubt != nil)
		c.commits.nextCycleAt = now.Add(250 * time.Millisecond)
		c.requestCycle()
	}
}

// sinceReady is how long after a job's submission something was, in seconds; -1: not seen here.
func (jv *jobState) sinceReady(j *storage.Job, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(j.ReadyAt).Round(100 * time.Millisecond).Seconds()
}

// dispatchDirect sends new launches to workers that are not about to report.
func (c *Controller) dispatchDirect(txn protocol.Txn) {
	for _, change := range txn.Then {
		id, ok := storage.GroupOf(change.Put)
		if !ok {
			continue
		}
		for _, machine := range c.cache.Groups[id].Machines {
			if machine.Gone || !c.ownsShard(machine.Shard) {
				continue
			}
			v := c.workerState(machine)
			for _, p := range machine.Tasks {
				ref := dispatch.RefOf(p)
				_, seen := v.Seen[ref]
				_, sent := v.Sent[ref]
				if !seen && !sent {
					c.sendDirect(machine, false)
					break
				}
			}
		}
	}
}

// commitAside commits a transaction that the cycle has no part in and applies it.
func (c *Controller) commitAside(ctx context.Context, t protocol.Txn, haste protocol.RequestPriority, then func(ok bool)) {
	go func() {
		rev, failed, err := c.transact(ctx, t, haste)
		c.committed(t, rev, err == nil && len(failed) == 0, then)
	}()
}

// committed hands the outcome of a transaction to the core.
func (c *Controller) committed(t protocol.Txn, rev uint64, ok bool, then func(ok bool)) {
	c.post(func() {
		if ok {
			c.applyTxn(t, rev)
		}
		then(ok)
		c.changed()
	})
}

func (c *Controller) applyTxn(t protocol.Txn, rev uint64) {
	c.follower.highestRevision = max(c.follower.highestRevision, rev)
	for _, ch := range t.Then {
		if ch.Delete != "" {
			_ = c.apply(ch.Delete, nil, rev, true) // logged there
		} else {
			_ = c.apply(ch.Put, ch.Value, rev, false)
		}
	}
}
