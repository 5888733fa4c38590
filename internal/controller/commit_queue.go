package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

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
	c.cycleRequested = false
	now := time.Now()
	if !c.loaded {
		return
	}
	if c.inDoubt != nil {
		c.send(ctx, *c.inDoubt)
		return
	}
	if c.cache.Revision < c.awaitedRevision {
		return // the follow brings what a refused transaction had missed
	}
	// A plan that waits for its turn grows stale: it is made when it can go out.
	if d := c.store.Pace(c.lastTxnOps); d > 0 {
		c.nextCycleAt, c.cycleRequested = now.Add(d), true
		return
	}
	t, more := c.nextTxn(now)
	if len(t.Then) == 0 {
		c.flushHeldReplies(now, true)
		return
	}
	if more {
		c.cycleRequested = true
	}
	c.lastTxnOps = len(t.Then)
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
		c.counters.pass(time.Since(began))
		c.metrics.planSeconds.Observe(time.Since(began).Seconds())
		if c.oversizedGroup != nil {
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
	group := c.oversizedGroup
	c.oversizedGroup = nil
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
	c.plannedTasks, c.completedJobs = 0, c.completedJobs[:0]
	return c.splitGroup(group)
}

func (c *Controller) send(ctx context.Context, t protocol.Txn) {
	c.commitInFlight = true
	go func() {
		tctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		rev, failed, err := c.store.Txn(tctx, t, protocol.BackgroundRequest)
		cancel()
		c.post(func() { c.sent(t, rev, failed, err) })
	}()
}

func (c *Controller) sent(txn protocol.Txn, rev uint64, failed []string, err error) {
	c.commitInFlight = false
	now := time.Now()
	c.nextCycleAt = now.Add(c.timing.CommitInterval)
	switch {
	case err == nil && len(failed) == 0:
		c.inDoubt = nil
		c.storeFailingSince, c.storeServedAt = time.Time{}, now
		if settles(txn) {
			c.awaitedRevision = rev // what it settled may have been applied before
		}
		c.applyTxn(txn, rev)
		c.metrics.launches.Add(float64(c.plannedTasks))
		if c.plannedTasks > 0 && !c.placedSinceTakeover {
			c.placedSinceTakeover = true
			c.log.Info("places again", "after", now.Sub(c.ownershipSince).Round(time.Millisecond).Seconds(), "tasks", c.plannedTasks)
		}
		for _, j := range c.completedJobs {
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
		c.inDoubt = nil
		c.storeFailingSince, c.storeServedAt = time.Time{}, now
		c.awaitedRevision = rev
		c.highestRevision = max(c.highestRevision, rev)
		c.flushHeldReplies(now, true)
		c.requestCycle()
	default:
		if c.storeFailingSince.IsZero() {
			c.storeFailingSince = now
		}
		c.noteTooLarge(err)
		switch {
		case !errors.Is(err, protocol.ErrRefused):
			c.inDoubt = &txn
		case errors.Is(err, protocol.ErrTooLarge) && c.inDoubt != nil:
			c.inDoubt = c.settling(*c.inDoubt)
		}
		c.log.Info("commit failed", "err", err, "doubt", c.inDoubt != nil)
		c.nextCycleAt = now.Add(250 * time.Millisecond)
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
