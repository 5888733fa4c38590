package controller

import (
	"context"
	"sync"
	"time"
)

const (
	// barrierInterval is the least time between two barriers: polls that come meanwhile share
	// the next. Hundreds of small jobs' polls took the rate of requests otherwise.
	barrierInterval = 80 * time.Millisecond
	// barrierTimeout bounds how long one barrier waits for the cache.
	barrierTimeout = 1800 * time.Millisecond
	// maxRevisionWaiters is how many may wait for the cache at a time; more run into their timeout.
	maxRevisionWaiters = 1000
)

// barrier joins readers that need to know that the cache is up to date.
type barrier struct {
	mu      sync.Mutex
	running bool
	next    *barrierRun // which readers that come now join
}

// barrierRun is one read of the revision, and the wait for the cache to come as far.
type barrierRun struct {
	done chan struct{} // closed when err is set
	err  error
}

// revisionWaiter waits for the cache to come as far as a revision.
type revisionWaiter struct {
	revision uint64
	reached  chan struct{}
}

// join returns the run that a reader waits for; start means that the caller must start the runs.
func (b *barrier) join() (run *barrierRun, start bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &barrierRun{done: make(chan struct{})}
	}
	start = !b.running
	b.running = true
	return b.next, start
}

// takeRun returns the run that readers wait for, or nil and that the runs have stopped.
func (b *barrier) takeRun() *barrierRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := b.next
	b.next = nil
	if run == nil {
		b.running = false
	}
	return run
}

// Barrier waits until the cache holds everything that had been committed when
// it was called. One read of the revision serves all that wait at a time.
func (c *Controller) Barrier(ctx context.Context) error {
	run, start := c.follower.barrier.join()
	if start {
		go c.runBarriers() // ends by itself when nobody waits any more
	}
	select {
	case <-run.done:
		return run.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runBarriers serves the readers that wait, until there is none.
func (c *Controller) runBarriers() {
	for run := c.follower.barrier.takeRun(); run != nil; run = c.follower.barrier.takeRun() {
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		run.err = c.catchUp(ctx)
		cancel()
		close(run.done)
		time.Sleep(barrierInterval)
	}
}

// catchUp waits until the cache has come as far as the state service is now.
func (c *Controller) catchUp(ctx context.Context) error {
	revision, err := c.store.Revision(ctx)
	if err != nil {
		return err
	}
	waiter := revisionWaiter{revision: revision, reached: make(chan struct{})}
	if err := c.call(ctx, func() { c.follower.await(waiter, c.cache.Revision) }); err != nil {
		return err
	}
	select {
	case <-waiter.reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await has a waiter released when the cache, which is at current now, has come as far as it needs.
func (f *stateFollower) await(waiter revisionWaiter, current uint64) {
	if current >= waiter.revision && f.loaded {
		close(waiter.reached)
	} else if len(f.waiters) < maxRevisionWaiters {
		f.waiters = append(f.waiters, waiter)
	}
}

// releaseWaiters releases those who waited for the cache to come as far as current.
func (f *stateFollower) releaseWaiters(current uint64) {
	keep := f.waiters[:0]
	for _, waiter := range f.waiters {
		if waiter.revision <= current {
			close(waiter.reached)
		} else {
			keep = append(keep, waiter)
		}
	}
	f.waiters = keep
}
