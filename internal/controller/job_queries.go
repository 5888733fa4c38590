package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// jobLookup is what the cache holds of a job.
type jobLookup struct {
	state  protocol.JobState
	known  bool // the cache has such a job
	loaded bool // the cache holds every record, so a job that it does not have did not exist
}

// final reports whether a job has its final state, which never changes.
func (l jobLookup) final() bool { return l.known && l.state.Status.Final() }

// jobStatus is an unfinished or finished job's state.
func (c *Controller) jobStatus(job *storage.Job) protocol.JobState {
	state := protocol.JobState{ID: job.ID, Status: protocol.Queued, Done: job.DoneCount, Running: job.PlacedCount}
	switch {
	case !job.Open():
		state.Status, state.Running = job.Final, 0
	case job.DependencyFailed:
		state.Status = protocol.Cancelled
	case job.PlacedCount > 0:
		state.Status = protocol.Running
	default:
		state.UnmetDependencies = job.UnmetDependencies()
	}
	return state
}

// lookup finds a job's state in the cache.
func (c *Controller) lookup(ctx context.Context, id string) (jobLookup, error) {
	var found jobLookup
	err := c.call(ctx, func() {
		found.loaded = c.follower.loaded
		if final, done := c.cache.FinalState(id); final != "" {
			found.state, found.known = protocol.JobState{ID: id, Status: final, Done: done}, true
		} else if job := c.cache.Job(id); job != nil {
			found.state, found.known = c.jobStatus(job), true
		}
	})
	return found, err
}

// lookupLinearizable is lookup with a barrier before anything but a final state: no user may get an
// older answer than another controller has given. What this controller stalled through is as old:
// others may have given newer answers meanwhile.
func (c *Controller) lookupLinearizable(ctx context.Context, id string) (jobLookup, error) {
	startedAt := time.Now()
	found, err := c.lookup(ctx, id)
	if err != nil || found.final() {
		return found, err
	}
	if !found.loaded {
		return found, protocol.ErrRefused
	}
	if err := c.Barrier(ctx); err != nil {
		return found, err
	}
	if found, err = c.lookup(ctx, id); err != nil || found.final() {
		return found, err
	}
	stalled := false
	if err := c.call(ctx, func() { stalled = c.reachability.stalledSince(startedAt) }); err != nil {
		return found, err
	}
	if stalled {
		return found, protocol.ErrRefused
	}
	return found, nil
}

// Query answers a poll.
func (c *Controller) Query(ctx context.Context, id string) Answer {
	if !protocol.ValidJobID(id) {
		return unknownJob
	}
	found, err := c.lookupLinearizable(ctx, id)
	switch {
	case err != nil:
		return retryLater
	case !found.known:
		return unknownJob
	}
	return jobStateAnswer(found.state)
}
