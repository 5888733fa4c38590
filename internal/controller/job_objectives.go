package controller

import (
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// objectiveKindWait is the kind of an objective on starting; others are on finishing.
const objectiveKindWait = "wait"

// lateAllowanceFactor is how many times its latest objective a job that has missed every objective
// is given. It steps behind work that can still be in time, but not for ever: it must not starve.
const lateAllowanceFactor = 1.5

// minIdleWorkWait is how long idle-time work is left to capacity that others leave, at least.
const minIdleWorkWait = 10 * time.Minute

// timeAllowed is how long after it became ready a job may take in order to meet the tightest
// objective that its class still can; 0: there is none.
func (c *Controller) timeAllowed(job *storage.Job, now time.Time) time.Duration {
	allowed, _ := c.objectiveLeft(job, now)
	return allowed
}

// objectiveLeft is timeAllowed, and whether every objective is missed.
func (c *Controller) objectiveLeft(job *storage.Job, now time.Time) (allowed time.Duration, late bool) {
	minDuration := now.Sub(job.ReadyAt) + seconds(job.Estimate) // if it started now
	var tightest, latest time.Duration
	addObjective := func(limit time.Duration) {
		latest = max(latest, limit)
		if limit > minDuration && (tightest == 0 || limit < tightest) {
			tightest = limit
		}
	}
	due := job.Submitted.Add(job.Deadline).Sub(job.ReadyAt) // a deadline counts from the submission
	if job.Deadline > 0 {
		addObjective(due)
	}
	if !job.FinishBy.IsZero() {
		addObjective(job.FinishBy.Sub(job.ReadyAt)) // for the jobs that depend on it
		addObjective(job.FinishLatest.Sub(job.ReadyAt))
	}
	class := c.cache.Classes.Name(job.Class)
	for _, objective := range c.cfg.Deployment.Objectives {
		if objective.Class != class {
			continue
		}
		if limit, ok := objectiveLimit(objective, job, due); ok {
			addObjective(limit)
		}
	}
	if tightest > 0 {
		return tightest, false
	}
	allowed = time.Duration(lateAllowanceFactor * float64(latest))
	return allowed, allowed > 0
}

// objectiveLimit is how long after it became ready a job may take by one objective; ok is false
// if the objective says nothing of it. due is the job's own deadline, likewise.
func objectiveLimit(objective config.Objective, job *storage.Job, due time.Duration) (limit time.Duration, ok bool) {
	switch {
	case objective.Kind == objectiveKindWait && objective.WithinS > 0:
		return seconds(objective.WithinS + job.Estimate), true
	case objective.WithinS > 0:
		return seconds(objective.WithinS), true
	case objective.Times > 0 && job.Deadline > 0:
		return due + time.Duration(float64(job.Deadline)*(objective.Times-1)), true
	}
	return 0, false
}

// isIdleWork tells whether a job is idle-time work: of the lowest priority, with no objective,
// and content with spot machines. It runs in capacity that others leave: no machine moves or is
// rented on demand for it, and any other work may preempt it. A job that has waited far too long
// is idle-time work no more: an accepted job must run.
func (c *Controller) isIdleWork(job *storage.Job, now time.Time) bool {
	return job.Priority == protocol.Low && job.Spot &&
		now.Sub(job.ReadyAt) < minIdleWorkWait+4*seconds(job.Estimate) &&
		c.timeAllowed(job, now) == 0
}
