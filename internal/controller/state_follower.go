package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/wait"
)

// stateFollower holds how far this controller's cache follows the state service. It is written by
// this file, record_changes.go, read_barrier.go and where commits are applied (highestRevision).
type stateFollower struct {
	loaded          bool             // every record was read once
	loadFailed      bool             // the latest read of all records failed, and none has succeeded yet
	foreignLayout   bool             // the records are of a layout that this version does not read
	highestRevision uint64           // the highest seen, including those of own commits
	cacheCurrentAt  time.Time        // the cache holds everything that was committed until then
	waiters         []revisionWaiter // waiting for the cache to reach a revision
	barrier         barrier          // reads that must not be older than an answer given by another controller
}

const (
	// storeRetryInterval is the delay before a failed request to the state service is retried.
	storeRetryInterval = 300 * time.Millisecond
	// loadPageSize is the number of records read in one request.
	loadPageSize = 1000
	// maxWatchWait bounds how long a watch request waits for changes.
	maxWatchWait = time.Second
)

// followLoop reads all records into the cache and then applies the changes of the watch. It reads all
// records again when the watch has fallen too far behind, and returns when ctx ends.
func (c *Controller) followLoop(ctx context.Context) {
	loadedOnce := false
	for ctx.Err() == nil {
		revision, err := c.loadAll(ctx, loadedOnce)
		c.post(func() { c.follower.noteLoad(err) })
		if err != nil {
			c.log.Info("reading the records from the state service failed, retrying", "err", err)
			wait.For(ctx, storeRetryInterval)
			continue
		}
		loadedOnce = true
		c.watchFrom(ctx, revision)
	}
}

// loadAll reads every record. If that has not succeeded before, it first reads the records that are
// needed to accept a job.
func (c *Controller) loadAll(ctx context.Context, loadedOnce bool) (uint64, error) {
	if !loadedOnce {
		if err := c.loadAcceptanceRecords(ctx); err != nil {
			return 0, err
		}
	}
	return c.load(ctx)
}

// noteLoad records the outcome of a read of all records.
func (f *stateFollower) noteLoad(err error) {
	f.loadFailed = err != nil && !f.loaded
	if err == nil || errors.Is(err, storage.ErrForeignLayout) {
		f.foreignLayout = err != nil
	}
}

// watchFrom applies the changes committed after a revision, until ctx ends or the state service no
// longer holds all of them.
func (c *Controller) watchFrom(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sent := time.Now()
		events, err := c.store.Watch(ctx, storage.Root, revision, c.watchWait())
		if errors.Is(err, protocol.ErrRevisionTooOld) {
			c.log.Info("watch is too far behind, reading all records again", "revision", revision)
			return
		}
		if err != nil {
			c.log.Debug("watch failed", "err", err)
			wait.For(ctx, storeRetryInterval)
			continue
		}
		if events.Revision >= revision {
			revision = events.Revision
			if c.call(ctx, func() { c.onEvents(events, sent) }) != nil {
				return // this controller is shutting down
			}
		}
		wait.For(ctx, c.timing.WatchInterval)
	}
}

// watchWait returns how long a watch request waits for changes. Its answer proves that the cache is
// current only up to the time at which the request was sent, so even without changes a new request
// must be sent well before the cache is older than maxCancellationInfoAge.
func (c *Controller) watchWait() time.Duration {
	return min(maxWatchWait, maxCancellationInfoAge(c.cfg.Deployment.Workers)/4)
}

// load reads every record, page by page, and returns the revision of the first page. Changes made
// meanwhile come again with the watch from that revision.
func (c *Controller) load(ctx context.Context) (uint64, error) {
	var firstRevision, lastRevision uint64
	after, startedAt := "", time.Now()
	seen := map[string]bool{}
	for {
		page, err := c.store.List(ctx, storage.Root, after, loadPageSize)
		if err != nil {
			return 0, err
		}
		if after == "" {
			firstRevision = page.Revision
		}
		lastRevision = page.Revision
		if err := c.applyPage(ctx, page, seen); err != nil {
			return 0, err
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	err := c.call(ctx, func() {
		c.cache.ReadRevision = lastRevision
		c.finishLoad(seen, firstRevision, startedAt)
	})
	return firstRevision, err
}

// applyPage applies a page of records to the cache and adds their keys to seen. It returns an error
// for a foreign layout: tasks that run under such records must not be started again.
func (c *Controller) applyPage(ctx context.Context, page protocol.Page, seen map[string]bool) error {
	var layoutErr error
	err := c.call(ctx, func() {
		for _, item := range page.Items {
			seen[item.Key] = true
			if err := c.apply(item.Key, item.Value, item.Version, false); errors.Is(err, storage.ErrForeignLayout) {
				layoutErr = err
			}
		}
	})
	if err != nil {
		return err
	}
	return layoutErr
}

// finishLoad completes a read of all records: it drops the cached records whose keys were not seen, and
// sets the cache's revision to that of the first page.
func (c *Controller) finishLoad(seen map[string]bool, revision uint64, startedAt time.Time) {
	if err := c.cache.DropUnseen(seen, revision); err != nil {
		c.log.Error("dropping a record that is no longer in the state service failed", "err", err)
	}
	c.cache.Revision = revision
	c.follower.highestRevision = max(c.follower.highestRevision, revision)
	c.follower.loaded = true
	c.follower.cacheCurrentAt = maxTime(startedAt, c.follower.cacheCurrentAt)
	c.cancellations.unverified.lastRenewals = nil // no longer needed once the records have been read
	c.log.Info("records read", "revision", revision, "records", len(seen))
	c.onRecordsChanged()
}

// loadAcceptanceRecords reads the records that are needed to accept a job, before all others: the
// layout and the catalog.
func (c *Controller) loadAcceptanceRecords(ctx context.Context) error {
	for _, key := range []string{storage.LayoutKey, storage.CatalogKey} {
		page, err := c.store.List(ctx, key, "", 1)
		if err != nil {
			return err
		}
		err = c.call(ctx, func() {
			for _, item := range page.Items {
				_ = c.apply(item.Key, item.Value, item.Version, false) // apply logs the error
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}
