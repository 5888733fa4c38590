package controller

import (
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// objectiveKindWait is the kind of an objective on the start of jobs; all other kinds are on their
// end.
const objectiveKindWait = "wait"

// lateAllowanceFactor times its latest objective is the time allowed to a job that has missed every
// objective. Such a job yields to work that can still be in time, but only for a limited time, so
// that it does not starve.
const lateAllowanceFactor = 1.5

// minIdleWorkWait is the minimum time for which idle-time work only uses capacity that other work
// leaves free.
const minIdleWorkWait = 10 * time.Minute

// timeAllowed returns the time, from when a job became ready, within which it must end to meet the
// tightest objective that it still can meet; 0 means that there is no objective.
func (c *Controller) timeAllowed(job *storage.Job, now time.Time) time.Duration {
	allowed, _ := c.objectiveLeft(job, now)
	return allowed
}

// objectiveLeft returns the same time as timeAllowed, and whether every objective is missed. If so,
// the time is lateAllowanceFactor times the latest objective.
func (c *Controller) objectiveLeft(job *storage.Job, now time.Time) (allowed time.Duration, late bool) {
	minDuration := now.Sub(job.ReadyAt) + seconds(job.Estimate) // duration from ready to end if the job started now
	var tightest, latest time.Duration
	addObjective := func(limit time.Duration) {
		latest = max(latest, limit)
		if limit > minDuration && (tightest == 0 || limit < tightest) {
			tightest = limit
		}
	}
	due := job.Submitted.Add(job.Deadline).Sub(job.ReadyAt) // deadlines count from the submission
	if job.Deadline > 0 {
		addObjective(due)
	}
	if !job.TargetFinish.IsZero() {
		addObjective(job.TargetFinish.Sub(job.ReadyAt)) // inherited from the jobs that depend on it
		addObjective(job.LatestFinish.Sub(job.ReadyAt))
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

// objectiveLimit returns the time, from when a job became ready, within which it must end to meet
// an objective; ok is false if the objective does not apply to the job. due is the time of the
// job's own deadline, also counted from when it became ready.
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

// isIdleWork reports whether a job is idle-time work: it has the lowest priority and no objective,
// and may use spot machines. Idle-time work runs in capacity that other work leaves free: no
// machines are moved or rented on demand for it, and any other work may preempt it. A job that has
// waited for too long is no longer idle-time work, because every accepted job must run.
func (c *Controller) isIdleWork(job *storage.Job, now time.Time) bool {
	return job.Priority == protocol.Low && job.Spot &&
		now.Sub(job.ReadyAt) < minIdleWorkWait+4*seconds(job.Estimate) &&
		c.timeAllowed(job, now) == 0
}
