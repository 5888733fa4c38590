package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// stateFollower is how far this controller's cache follows the state service. It is written by
// this file and where commits are applied (highestRevision).
type stateFollower struct {
	loaded          bool             // every record was read once
	loadFailed      bool             // the records could not be read yet: there is no answer
	foreignLayout   bool             // the records are of a layout that this version does not read
	highestRevision uint64           // the highest seen, own commits included
	cacheCurrentAt  time.Time        // the cache holds all that was committed until then
	waiters         []revisionWaiter // for the cache to come as far as a revision
	barrier         barrier          // reads that must not be older than an answer given elsewhere
}

// followLoop keeps the cache like the state service.
func (c *Controller) followLoop(ctx context.Context) {
	read := false
	for ctx.Err() == nil {
		var rev uint64
		var err error
		if !read {
			err = c.readFirst(ctx)
		}
		if err == nil {
			rev, err = c.load(ctx)
		}
		c.post(func() {
			c.follower.loadFailed = err != nil && !c.follower.loaded
			if err == nil || errors.Is(err, storage.ErrLayout) {
				c.follower.foreignLayout = err != nil
			}
		})
		if err != nil {
			c.log.Info("cannot read the records yet", "err", err)
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		read = true
		for ctx.Err() == nil {
			sent := time.Now()
			events, err := c.store.Watch(ctx, storage.Root, rev, c.followWait())
			if errors.Is(err, protocol.ErrTooOld) {
				c.log.Info("follow is too far behind, reading again", "rev", rev)
				break
			}
			if err != nil {
				c.log.Debug("follow failed", "err", err)
				sleep(ctx, 300*time.Millisecond)
				continue
			}
			if events.Revision >= rev {
				rev = events.Revision
				if c.call(ctx, func() { c.onEvents(events, sent) }) != nil {
					return
				}
			}
			sleep(ctx, c.timing.WatchInterval)
		}
	}
}

// followWait is how long a follow waits for changes: its answer holds all that was committed before
// it was sent, so a quiet service must be asked again while what is known of it is young.
func (c *Controller) followWait() time.Duration {
	return min(time.Second, maxKnowledgeAge(c.cfg.Deployment.Workers)/4)
}

// load reads every record. Changes made meanwhile come again with the follow.
func (c *Controller) load(ctx context.Context) (uint64, error) {
	var first uint64
	after, began := "", time.Now()
	seen := map[string]bool{}
	for {
		page, err := c.store.List(ctx, storage.Root, after, 1000)
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = page.Revision
		}
		var old error
		if err := c.call(ctx, func() {
			for _, it := range page.Items {
				seen[it.Key] = true
				if err := c.apply(it.Key, it.Value, it.Version, false); errors.Is(err, storage.ErrLayout) {
					old = err
				}
			}
		}); err != nil {
			return 0, err
		}
		if old != nil {
			return 0, old // what runs under such records must not be started again
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	err := c.call(ctx, func() {
		if err := c.cache.DropUnseen(seen, first); err != nil {
			c.log.Error("stale record", "err", err)
		}
		c.cache.Sweep()
		c.cache.Revision = first
		c.follower.highestRevision = max(c.follower.highestRevision, first)
		c.follower.loaded = true
		if c.follower.cacheCurrentAt.Before(began) {
			c.follower.cacheCurrentAt = began
		}
		c.cancellations.unverified.renewed = nil // it knows the records from now on
		c.log.Info("records read", "rev", first, "keys", len(seen))
		c.changed()
	})
	return first, err
}

// readFirst reads what accepting a job takes, before all other records.
func (c *Controller) readFirst(ctx context.Context) error {
	for _, key := range []string{storage.LayoutKey, storage.CatalogKey} {
		p, err := c.store.List(ctx, key, "", 1)
		if err != nil {
			return err
		}
		if err := c.call(ctx, func() {
			for _, it := range p.Items {
				_ = c.apply(it.Key, it.Value, it.Version, false) // logged there
			}
		}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) apply(key string, value []byte, version uint64, deleted bool) error {
	c.follower.highestRevision = max(c.follower.highestRevision, version)
	err := c.cache.Apply(key, value, version, deleted)
	if err != nil {
		c.log.Error("bad record", "err", err)
	}
	c.noteCancellation(key, version)
	return err
}

// onEvents takes the answer of a follow that was sent at a time.
func (c *Controller) onEvents(events protocol.Events, sent time.Time) {
	for _, e := range events.Events {
		if e.Delete != "" {
			_ = c.apply(e.Delete, nil, e.Version, true) // logged there
		} else {
			_ = c.apply(e.Put, e.Value, e.Version, false)
		}
	}
	c.cache.Revision = max(c.cache.Revision, events.Revision)
	c.follower.highestRevision = max(c.follower.highestRevision, events.Revision)
	now := time.Now()
	c.storeHealth.failingSince, c.storeHealth.servedAt, c.follower.cacheCurrentAt = time.Time{}, now, maxTime(c.follower.cacheCurrentAt, sent)
	c.dropReadCancellations()
	keep := c.follower.waiters[:0]
	for _, w := range c.follower.waiters {
		if w.rev <= c.cache.Revision {
			close(w.ch)
		} else {
			keep = append(keep, w)
		}
	}
	c.follower.waiters = keep
	if len(events.Events) > 0 {
		c.changed()
	}
	if c.readModel != nil {
		c.readModel.asOf = maxTime(c.readModel.asOf, sent)
		c.showView(now, false)
	}
}

// changed looks at what new records mean for this controller.
func (c *Controller) changed() {
	if !c.follower.loaded {
		return
	}
	now := time.Now()
	if v := c.cache.Leader.Version; v != c.leadership.version {
		c.leadership.version, c.leadership.since = v, now
	}
	c.noteLeadershipChange()
	c.recordOwnershipChanges(now)
	c.applySettings()
	c.noteTooLarge(nil)
	c.recordPreemptions()
	c.inheritDeadlines()
	machines, jobs := c.cache.TakeChanged()
	for s := range c.shards.owned {
		v := uint64(0)
		if c.ownsShard(s) {
			v = c.cache.Shards[s].Version
		}
		if v != c.shards.owned[s] {
			c.shards.owned[s] = v
			c.log.Info("share changed hands", "share", s, "owner", c.cache.Shards[s].Member, "own", v > 0)
			c.takeOverShard(s, v > 0, now)
		}
	}
	for _, m := range machines {
		c.settleView(m)
		if !m.Gone && m.Incarnation > 0 && c.ownsShard(m.Shard) && c.workers.states[m.Index] == nil {
			c.workerState(m) // a new owner shows itself; the reply tells what is on the machine
			c.workers.uncontacted = append(c.workers.uncontacted, m)
		}
		c.terminateUnwanted(m)
	}
	for _, j := range jobs {
		c.terminateJob(j)
	}
	c.contactWorkers()
	c.requestCycle()
}

// takeOverShard begins or ends this controller's ownership of a shard.
func (c *Controller) takeOverShard(share int, own bool, now time.Time) {
	for _, m := range c.cache.Machines {
		if m.Shard == share {
			delete(c.workers.states, m.Index) // what an earlier ownership knew is stale
		}
	}
	if !own {
		return
	}
	c.metrics.takeovers.Inc()
	c.shards.takenOverAt, c.shards.placedSinceTakeover = now, false
	for _, machine := range c.cache.Machines {
		if machine.Shard != share || machine.Gone {
			continue
		}
		mv := c.workerState(machine)
		mv.since = now
		if max(machine.FencingToken, machine.Group.FencingToken) >= c.cache.Shards[share].FencingToken {
			// raised by the former owner while the shard changed
			// hands: only a higher one proves what it sent is dead
			mv.Uncertain = max(machine.FencingToken, machine.Group.FencingToken)
		}
		if machine.Incarnation > 0 {
			c.workers.uncontacted = append(c.workers.uncontacted, machine)
		}
	}
}

// settleView brings a machine's view in line with the records.
func (c *Controller) settleView(machine *storage.Machine) {
	worker := c.workers.states[machine.Index]
	if worker == nil {
		return
	}
	if machine.Gone || !c.ownsShard(machine.Shard) {
		delete(c.workers.states, machine.Index)
		return
	}
	worker.Settle(machine)
	for ref := range worker.started {
		if ref.Job.MachineOf[ref.Task] != machine.Index || ref.Job.AttemptOf[ref.Task] != ref.Attempt {
			delete(worker.started, ref)
		}
	}
}

// barrier joins readers that need to know that the cache is up to date.
type barrier struct {
	mu      sync.Mutex
	running bool
	next    *barrierRun
}

type barrierRun struct {
	ch  chan struct{}
	err error
}

// Barrier waits until the cache holds everything that had been committed when
// it was called. One read of the revision serves all that wait at a time.
func (c *Controller) Barrier(ctx context.Context) error {
	barrier := &c.follower.barrier
	barrier.mu.Lock()
	if barrier.next == nil {
		barrier.next = &barrierRun{ch: make(chan struct{})}
	}
	run := barrier.next
	if !barrier.running {
		barrier.running = true
		go c.runBarriers()
	}
	barrier.mu.Unlock()
	select {
	case <-run.ch:
		return run.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// barrierGap is the least time between two barriers: polls that come meanwhile share
// the next. Hundreds of small jobs' polls took the rate of requests otherwise.
const barrierGap = 80 * time.Millisecond

func (c *Controller) runBarriers() {
	barrier := &c.follower.barrier
	for {
		barrier.mu.Lock()
		run := barrier.next
		barrier.next = nil
		if run == nil {
			barrier.running = false
			barrier.mu.Unlock()
			return
		}
		barrier.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 1800*time.Millisecond)
		run.err = c.catchUp(ctx)
		cancel()
		close(run.ch)
		time.Sleep(barrierGap)
	}
}

func (c *Controller) catchUp(ctx context.Context) error {
	rev, err := c.store.Revision(ctx)
	if err != nil {
		return err
	}
	waiter := revisionWaiter{rev, make(chan struct{})}
	err = c.call(ctx, func() {
		if c.cache.Revision >= rev && c.follower.loaded {
			close(waiter.ch)
		} else if len(c.follower.waiters) < 1000 {
			c.follower.waiters = append(c.follower.waiters, waiter)
		}
	})
	if err != nil {
		return err
	}
	select {
	case <-waiter.ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type revisionWaiter struct {
	rev uint64
	ch  chan struct{}
}
