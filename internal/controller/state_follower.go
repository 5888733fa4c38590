package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/wait"
)

// stateFollower is how far this controller's cache follows the state service. It is written by
// this file, followed_changes.go, read_barrier.go and where commits are applied (highestRevision).
type stateFollower struct {
	loaded          bool             // every record was read once
	loadFailed      bool             // the records could not be read yet: there is no answer
	foreignLayout   bool             // the records are of a layout that this version does not read
	highestRevision uint64           // the highest seen, own commits included
	cacheCurrentAt  time.Time        // the cache holds all that was committed until then
	waiters         []revisionWaiter // for the cache to come as far as a revision
	barrier         barrier          // reads that must not be older than an answer given elsewhere
}

const (
	// storeRetryInterval is how long to wait before the state service is asked again after a failure.
	storeRetryInterval = 300 * time.Millisecond
	// loadPageSize is how many records are read in one request.
	loadPageSize = 1000
	// maxWatchWait bounds how long a watch request waits for changes.
	maxWatchWait = time.Second
)

// followLoop keeps the cache like the state service; it ends with ctx.
func (c *Controller) followLoop(ctx context.Context) {
	loadedOnce := false
	for ctx.Err() == nil {
		revision, err := c.loadAll(ctx, loadedOnce)
		c.post(func() { c.follower.noteLoad(err) })
		if err != nil {
			c.log.Info("cannot read the records yet", "err", err)
			wait.For(ctx, storeRetryInterval)
			continue
		}
		loadedOnce = true
		c.watchFrom(ctx, revision)
	}
}

// loadAll reads the records that accepting a job takes, unless all were read once, and then all.
func (c *Controller) loadAll(ctx context.Context, loadedOnce bool) (uint64, error) {
	if !loadedOnce {
		if err := c.loadAcceptanceRecords(ctx); err != nil {
			return 0, err
		}
	}
	return c.load(ctx)
}

// noteLoad notes how a read of all records ended.
func (f *stateFollower) noteLoad(err error) {
	f.loadFailed = err != nil && !f.loaded
	if err == nil || errors.Is(err, storage.ErrLayout) {
		f.foreignLayout = err != nil
	}
}

// watchFrom applies what is committed after a revision, until ctx ends or the state service no
// longer has all of it.
func (c *Controller) watchFrom(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sent := time.Now()
		events, err := c.store.Watch(ctx, storage.Root, revision, c.watchWait())
		if errors.Is(err, protocol.ErrTooOld) {
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
				return // this controller ends
			}
		}
		wait.For(ctx, c.timing.WatchInterval)
	}
}

// watchWait is how long a watch request waits for changes: its answer holds all that was committed
// before it was sent, so a quiet service must be asked again while what is known of it is young.
func (c *Controller) watchWait() time.Duration {
	return min(maxWatchWait, maxKnowledgeAge(c.cfg.Deployment.Workers)/4)
}

// load reads every record. Changes made meanwhile come again with the watch.
func (c *Controller) load(ctx context.Context) (uint64, error) {
	var first uint64
	after, began := "", time.Now()
	seen := map[string]bool{}
	for {
		page, err := c.store.List(ctx, storage.Root, after, loadPageSize)
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = page.Revision
		}
		if err := c.applyPage(ctx, page, seen); err != nil {
			return 0, err
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	err := c.call(ctx, func() { c.finishLoad(seen, first, began) })
	return first, err
}

// applyPage takes a page of records and notes their keys. A layout that this version does not read
// is an error: what runs under such records must not be started again.
func (c *Controller) applyPage(ctx context.Context, page protocol.Page, seen map[string]bool) error {
	var layoutErr error
	err := c.call(ctx, func() {
		for _, item := range page.Items {
			seen[item.Key] = true
			if err := c.apply(item.Key, item.Value, item.Version, false); errors.Is(err, storage.ErrLayout) {
				layoutErr = err
			}
		}
	})
	if err != nil {
		return err
	}
	return layoutErr
}

// finishLoad makes the cache what was read: the keys seen, at the revision of the first page.
func (c *Controller) finishLoad(seen map[string]bool, revision uint64, began time.Time) {
	if err := c.cache.DropUnseen(seen, revision); err != nil {
		c.log.Error("stale record", "err", err)
	}
	c.cache.Sweep()
	c.cache.Revision = revision
	c.follower.highestRevision = max(c.follower.highestRevision, revision)
	c.follower.loaded = true
	c.follower.cacheCurrentAt = maxTime(began, c.follower.cacheCurrentAt)
	c.cancellations.unverified.renewed = nil // this controller knows the records from now on
	c.log.Info("records read", "revision", revision, "records", len(seen))
	c.changed()
}

// loadAcceptanceRecords reads what accepting a job takes, before all other records.
func (c *Controller) loadAcceptanceRecords(ctx context.Context) error {
	for _, key := range []string{storage.LayoutKey, storage.CatalogKey} {
		page, err := c.store.List(ctx, key, "", 1)
		if err != nil {
			return err
		}
		err = c.call(ctx, func() {
			for _, item := range page.Items {
				_ = c.apply(item.Key, item.Value, item.Version, false) // logged there
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}
