package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
	"dykeledge/internal/view"
)

// readModel keeps the read model that console, report and scripts share. It belongs to the
// core's goroutine, all but the hub. It is written by this file.
type readModel struct {
	model            *view.Model
	hub              *view.Hub
	head             view.Head // of the latest snapshot
	asOf             time.Time // the cache was certainly complete then
	publishedAt      time.Time // when a snapshot was last taken
	complete         bool      // the model is what the cache is
	publishedStoreOK bool      // what the head says of the state service
	cacheLoaded      bool      // the first read is over
}

// How the model follows the cache.
const (
	viewBatchRows      = 2000                   // rows that are brought up to date at one go
	viewInterval       = 250 * time.Millisecond // least time between two snapshots
	maxDeferredChanges = 5000                   // changed rows that are left alone while nobody reads
	maxSnapshotAge     = time.Second            // a reader whose snapshot is older has the revision asked for
	viewRefreshTimeout = time.Second            // how long that may take
)

// EnableView makes the controller keep a read model. It is called before Run.
func (c *Controller) EnableView() {
	teams := make([]view.Team, len(c.cache.Teams))
	for i, team := range c.cache.Teams {
		teams[i] = teamRow(team)
	}
	now := time.Now()
	c.readModel = &readModel{
		model: view.NewModel(teams),
		hub:   view.NewHub(),
		head:  view.Head{Epoch: uint64(now.UnixNano()), Since: now.UnixMilli(), Member: c.cfg.MemberName},
	}
	c.cache.EnableChangeFeed()
}

// ViewEnabled reports whether the controller keeps a read model.
func (c *Controller) ViewEnabled() bool { return c.readModel != nil }

// showView brings the model up to date and takes a snapshot, if somebody reads and the cache is
// exactly what the state service has at its revision: a controller applies its own commits before
// its watch brings what others committed in between, and what is shown in such a moment
// would be the state at no revision.
//
// A row that changes ten times between two snapshots is made once, and while nobody reads none is
// made before many wait: rows at every change took 5 to 7 % of a controller's processor time.
func (c *Controller) showView(now time.Time, force bool) {
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
		readModel.cacheLoaded, readModel.head.Since = true, now.UnixMilli()
	}
	c.updateRows()
	if readModel.complete && readModel.snapshotDue(now) {
		c.publishView(now)
	}
}

// snapshotDue reports whether somebody reads and the latest snapshot is not too young.
func (r *readModel) snapshotDue(now time.Time) bool {
	return now.Sub(r.publishedAt) >= viewInterval && r.hub.Wanted(now)
}

// updateRows brings the rows of what has changed up to date, as many as one go may take.
func (c *Controller) updateRows() {
	readModel := c.readModel
	atRevision := c.cache.Revision >= c.follower.highestRevision
	jobs, machines, evicted, more := c.cache.TakeChanges(viewBatchRows)
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

// publishView hands a snapshot over, in the same time whatever it holds.
func (c *Controller) publishView(now time.Time) {
	readModel := c.readModel
	readModel.publishedAt = now
	head := readModel.head
	head.Revision = c.cache.Revision
	head.Now = now.UnixMilli()
	head.AsOf = readModel.asOf.UnixMilli()
	head.StateOK = c.storeHealth.served(now)
	for _, name := range c.memberNames() {
		head.Members = append(head.Members, c.memberRow(name))
	}
	readModel.hub.Publish(readModel.model.Snapshot(head))
}

// View waits for a snapshot that is newer than a cursor, until ctx ends, and returns the
// latest there is then; nil: there is none yet, or the view is off. One whose revision is not
// known to be the latest for a second asks for it, as polls do, and so costs at most a
// request a second.
func (c *Controller) View(ctx context.Context, cursor view.Cursor) *view.Snapshot {
	readModel := c.readModel
	if readModel == nil {
		return nil
	}
	snapshot := readModel.hub.Wait(ctx, cursor)
	if snapshot != nil && time.Since(time.UnixMilli(snapshot.AsOf)) < maxSnapshotAge {
		return snapshot
	}
	c.refreshView()
	return readModel.hub.Latest()
}

// refreshView has a snapshot of the present revision published. If that fails the latest one stays,
// and is shown as old as it is.
func (c *Controller) refreshView() {
	startedAt := time.Now()
	// Not the reader's context, which may have ended: the next reader has the use of it.
	ctx, cancel := context.WithTimeout(context.Background(), viewRefreshTimeout)
	defer cancel()
	barrierErr := c.Barrier(ctx)
	_ = c.call(ctx, func() {
		readModel := c.readModel
		now := time.Now()
		if barrierErr == nil && c.cache.Revision >= c.follower.highestRevision {
			readModel.asOf = maxTime(readModel.asOf, startedAt)
		}
		c.showView(now, true)
		served := c.storeHealth.served(now)
		if readModel.complete && (barrierErr == nil || served != readModel.publishedStoreOK) {
			readModel.publishedStoreOK = served
			c.publishView(now)
		}
	})
}

// HasTeam reports whether the deployment has a team.
func (c *Controller) HasTeam(name string) bool {
	return slices.ContainsFunc(c.cfg.Deployment.Teams, func(t config.Team) bool { return t.Name == name })
}

// Reasons is why jobs wait, for those of them that a scope may know of and that this controller
// has. Its cost to the core grows with the answer; it is asked for what is on a screen.
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

// allowedToRead reports whether a scope may know of a job: operators of all, a team of its own.
func (c *Controller) allowedToRead(scope view.Scope, job *storage.Job) bool {
	return scope == view.Operators || c.cache.Teams[job.Team].Name == string(scope)
}
