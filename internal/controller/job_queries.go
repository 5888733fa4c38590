package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// jobLookup is the result of looking up a job in the cache.
type jobLookup struct {
	state  protocol.JobState
	known  bool // the cache holds the job or its final state
	loaded bool // the cache holds every record, so a job that is not in it did not exist
}

// final reports whether the job has its final state, which never changes.
func (l jobLookup) final() bool { return l.known && l.state.Status.Final() }

// jobStatus returns the state of a job as users see it.
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

// lookup returns the state of a job from the cache.
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

// lookupLinearizable looks a job up like lookup, but behind a read barrier unless its state is final: no user
// may get an older answer than another controller has already given. If this controller stalled in between,
// the lookup is refused, because other controllers may have given newer answers during the stall.
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
	uncertain := false
	err = c.call(ctx, func() {
		rejected := !found.known && c.cache.RecordRejected(storage.JobKey(id)) // the job exists, but its record cannot be read
		uncertain = rejected || c.reachability.stalledSince(startedAt)
	})
	if err != nil {
		return found, err
	}
	if uncertain {
		return found, protocol.ErrRefused
	}
	return found, nil
}

// Query answers a request for a job's state.
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
