package controller

import (
	"time"

	"dykeledge/internal/storage"
)

const (
	// The expected time from when a job is ready until the jobs that depend on it can start is
	// estimateMargin times its estimate, plus dependencyStepDelay. The delay covers the last task's
	// heartbeat, the final record, the next placement and its image fetch; the margin is needed because
	// an array takes as long as its slowest task.
	dependencyStepDelay = 6 * time.Second
	estimateMargin      = 1.4
)

// inheritDeadlines updates the deadlines and priorities that jobs inherit from the jobs that depend
// on them, and counts and logs jobs that became ready.
func (c *Controller) inheritDeadlines() {
	c.cache.InheritFromDependents(c.finishTimes, expectedDuration)
	for _, job := range c.cache.TakeNewlyReady() {
		if job.Open() {
			c.metrics.readyJobs.Inc()
			c.log.Debug("job is ready", "job", job.ID, "waited_s", job.ReadyAt.Sub(job.Submitted).Seconds(), "priority", job.Priority.String())
		}
	}
}

// finishTimes returns when a job should end by its own deadline, and the latest time at which
// its end still meets an objective of its class. Both are zero for a job without a deadline.
func (c *Controller) finishTimes(job *storage.Job) (by, late time.Time) {
	if job.Deadline <= 0 {
		return by, late
	}
	times := 1.0
	class := c.cache.Classes.Name(job.Class)
	for _, objective := range c.cfg.Deployment.Objectives {
		if objective.Class == class {
			times = max(times, objective.Times)
		}
	}
	return job.Submitted.Add(job.Deadline), job.Submitted.Add(time.Duration(float64(job.Deadline) * times))
}

// expectedDuration returns a rough estimate of the time from when a job is ready until the jobs
// that depend on it can start.
func expectedDuration(job *storage.Job) time.Duration {
	return dependencyStepDelay + time.Duration(estimateMargin*job.Estimate*float64(time.Second))
}
