package controller

import (
	"context"
	"sync"
	"time"
)

const (
	// barrierInterval is the minimum time between two barriers; requests that arrive in between share the
	// next one. Without it, the polls of hundreds of small jobs used up the request rate of the state
	// service.
	barrierInterval = 80 * time.Millisecond
	// barrierTimeout bounds the time that one barrier waits for the cache.
	barrierTimeout = 1800 * time.Millisecond
	// maxRevisionWaiters is the maximum number of callers that wait for the cache at a time; further ones
	// time out.
	maxRevisionWaiters = 1000
)

// barrier combines concurrent read barriers into shared runs.
type barrier struct {
	mu      sync.Mutex
	running bool
	next    *barrierRun // the run that new readers join
}

// barrierRun is one read of the latest revision followed by waiting until the cache has reached it.
type barrierRun struct {
	done chan struct{} // closed when err is set
	err  error
}

// revisionWaiter waits until the cache has reached a revision.
type revisionWaiter struct {
	revision uint64
	reached  chan struct{}
}

// join returns the run that a reader has to wait for. start reports whether the caller must start
// runBarriers.
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

// takeRun returns the next run. If no reader is waiting, it returns nil and marks the runs as stopped.
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

// Barrier waits until the cache holds everything that was committed before the call. One read of the latest
// revision serves all readers that wait at the same time.
func (c *Controller) Barrier(ctx context.Context) error {
	run, start := c.follower.barrier.join()
	if start {
		go c.runBarriers() // ends when no reader is waiting
	}
	select {
	case <-run.done:
		return run.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runBarriers runs barriers until no reader is waiting.
func (c *Controller) runBarriers() {
	for run := c.follower.barrier.takeRun(); run != nil; run = c.follower.barrier.takeRun() {
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		run.err = c.catchUp(ctx)
		cancel()
		close(run.done)
		time.Sleep(barrierInterval)
	}
}

// catchUp waits until the cache has reached the latest revision of the state service.
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

// await releases a waiter at once if the cache, which is at revision current, is loaded and has reached the
// waiter's revision; otherwise it registers the waiter, up to maxRevisionWaiters.
func (f *stateFollower) await(waiter revisionWaiter, current uint64) {
	if current >= waiter.revision && f.loaded {
		close(waiter.reached)
	} else if len(f.waiters) < maxRevisionWaiters {
		f.waiters = append(f.waiters, waiter)
	}
}

// releaseWaiters releases the waiters whose revision is not after current.
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
