package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
	"dykeledge/internal/view"
)

// readModel holds the read model that serves the console, reports and scripts. Except for hub, only the
// goroutine that owns the controller's state uses it. It is written by this file.
type readModel struct {
	model            *view.Model
	hub              *view.Hub
	head             view.Head // fields that the heads of all snapshots share
	asOf             time.Time // the cache held everything that was committed until then
	publishedAt      time.Time // when the latest snapshot was published
	complete         bool      // the rows match the cache, which is at its highest revision
	publishedStoreOK bool      // StateServiceOK when a refresh last published a snapshot
	cacheLoaded      bool      // every record was read once
}

// Limits and intervals of updating the read model.
const (
	viewBatchRows      = 2000                   // maximum number of rows updated in one run
	viewInterval       = 250 * time.Millisecond // minimum time between two snapshots
	maxDeferredChanges = 5000                   // changed rows that may stay pending while there is no reader
	maxSnapshotAge     = time.Second            // an older snapshot makes its reader refresh the view
	viewRefreshTimeout = time.Second            // maximum duration of a refresh
)

// EnableView makes the controller keep a read model. It must be called before Run.
func (c *Controller) EnableView() {
	teams := make([]view.Team, len(c.cache.Teams))
	for i, team := range c.cache.Teams {
		teams[i] = teamRow(team)
	}
	now := time.Now()
	c.readModel = &readModel{
		model: view.NewModel(teams),
		hub:   view.NewHub(),
		head:  view.Head{Epoch: uint64(now.UnixNano()), FinalSinceMs: now.UnixMilli(), Member: c.cfg.MemberName},
	}
	c.cache.EnableChangeFeed()
}

// ViewEnabled reports whether the controller keeps a read model.
func (c *Controller) ViewEnabled() bool { return c.readModel != nil }

// updateView updates the read model and publishes a snapshot if there is a reader and the cache is exactly the
// state at its revision. A controller applies its own commits before its watch delivers what others committed
// in between; a snapshot of that moment would show a state that existed at no revision. force updates the
// rows even without a reader.
//
// A row that changes several times between two snapshots is built once, and without a reader rows are built
// only when many changes are pending: building rows at every change took 5 to 7 % of a controller's processor
// time.
func (c *Controller) updateView(now time.Time, force bool) {
	readModel := c.readModel
	if readModel == nil || !c.follower.loaded {
		return
	}
	pending := c.cache.PendingChanges()
	if !force && pending < maxDeferredChanges && !readModel.snapshotDue(now) {
		readModel.complete = false
		return
	}
	if !readModel.cacheLoaded {
		readModel.cacheLoaded, readModel.head.FinalSinceMs = true, now.UnixMilli()
	}
	c.updateRows()
	if readModel.complete && readModel.snapshotDue(now) {
		c.publishView(now)
	}
}

// snapshotDue reports whether there is a reader and viewInterval has passed since the latest snapshot.
func (r *readModel) snapshotDue(now time.Time) bool {
	return now.Sub(r.publishedAt) >= viewInterval && r.hub.HasReaders(now)
}

// updateRows updates the rows of changed records, at most viewBatchRows jobs and as many machines.
func (c *Controller) updateRows() {
	readModel := c.readModel
	atRevision := c.cache.Revision >= c.follower.highestRevision
	jobs, machines, evicted, more := c.cache.TakeFeedChanges(viewBatchRows)
	readModel.complete = atRevision && !more
	for _, job := range jobs {
		readModel.model.PutJob(c.jobRow(job))
	}
	for _, machine := range machines {
		if machine.Gone {
			readModel.model.DropMachine(machine.Name)
		} else {
			readModel.model.PutMachine(c.machineRow(machine))
		}
	}
	for _, id := range evicted {
		c.updateVictimSetRow(id)
	}
	for team := range c.cache.TeamEntries {
		readModel.model.SetTeam(teamRow(c.cache.Teams[team]))
	}
}

// publishView publishes a snapshot. The time that this takes does not depend on the size of the model.
func (c *Controller) publishView(now time.Time) {
	readModel := c.readModel
	readModel.publishedAt = now
	head := readModel.head
	head.Revision = c.cache.Revision
	head.NowMs = now.UnixMilli()
	head.AsOfMs = readModel.asOf.UnixMilli()
	head.StateServiceOK = c.storeHealth.served(now)
	for _, name := range c.memberNames() {
		head.Members = append(head.Members, c.memberRow(name))
	}
	readModel.hub.Publish(readModel.model.Snapshot(head))
}

// View waits until there is a snapshot newer than the cursor or ctx ends, and returns the latest snapshot;
// nil if there is none or the read model is disabled. If the snapshot is older than maxSnapshotAge, the view
// is refreshed with a read barrier, as for polls of jobs, which costs at most one request per second to the
// state service.
func (c *Controller) View(ctx context.Context, cursor view.Cursor) *view.Snapshot {
	readModel := c.readModel
	if readModel == nil {
		return nil
	}
	snapshot := readModel.hub.Wait(ctx, cursor)
	if snapshot != nil && time.Since(time.UnixMilli(snapshot.AsOfMs)) < maxSnapshotAge {
		return snapshot
	}
	c.refreshView()
	return readModel.hub.Latest()
}

// refreshView publishes a snapshot of the latest revision. If that fails, the latest snapshot stays with its
// time.
func (c *Controller) refreshView() {
	startedAt := time.Now()
	// The reader's context is not used since it may have ended: the next reader uses the refreshed snapshot.
	ctx, cancel := context.WithTimeout(context.Background(), viewRefreshTimeout)
	defer cancel()
	barrierErr := c.Barrier(ctx)
	_ = c.call(ctx, func() {
		readModel := c.readModel
		now := time.Now()
		if barrierErr == nil && c.cache.Revision >= c.follower.highestRevision {
			readModel.asOf = maxTime(readModel.asOf, startedAt)
		}
		c.updateView(now, true)
		served := c.storeHealth.served(now)
		if readModel.complete && (barrierErr == nil || served != readModel.publishedStoreOK) {
			readModel.publishedStoreOK = served
			c.publishView(now)
		}
	})
}

// HasTeam reports whether the deployment has a team of that name.
func (c *Controller) HasTeam(name string) bool {
	return slices.ContainsFunc(c.cfg.Deployment.Teams, func(t config.Team) bool { return t.Name == name })
}

// Reasons returns why jobs wait, for those among ids that the scope may read and that are in the cache; at
// most view.MaxReasons ids are looked up. The cost grows with the number of jobs; callers ask only for the
// jobs that are on a screen.
func (c *Controller) Reasons(ctx context.Context, scope view.Scope, ids []string) (reasons []view.Reason, err error) {
	reasons = []view.Reason{}
	err = c.call(ctx, func() {
		examples := c.exampleMachines()
		for _, id := range ids[:min(len(ids), view.MaxReasons)] {
			job := c.cache.Job(id)
			if job != nil && c.allowedToRead(scope, job) {
				reasons = append(reasons, c.reasonRow(job, examples))
			}
		}
	})
	return reasons, err
}

// allowedToRead reports whether a scope may read a job: operators read all jobs, a team only its own.
func (c *Controller) allowedToRead(scope view.Scope, job *storage.Job) bool {
	return scope == view.Operators || c.cache.Teams[job.Team].Name == string(scope)
}
