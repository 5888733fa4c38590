package controller

import (
	"time"

	"dykeledge/internal/storage"
)

const (
	// dependencyStepDelay and stepMargin are what lies between two jobs of a pipeline beyond the estimate: the last
	// task's heartbeat, the final record, the next placement, the fetch of its image; and an array
	// lasts as long as its slowest task.
	dependencyStepDelay = 6 * time.Second
	estimateMargin      = 1.4
)

// inheritDeadlines keeps up what jobs inherit from those that need them, and looks at those that
// became ready.
func (c *Controller) inheritDeadlines() {
	c.cache.Inherit(c.finishTimes, expectedDuration)
	for _, job := range c.cache.NewlyReady() {
		if job.Open() {
			c.metrics.readyJobs.Inc()
			c.log.Debug("job is ready", "job", job.ID, "waited_s", job.ReadyAt.Sub(job.Submitted).Seconds(), "priority", job.Priority.String())
		}
	}
}

// finishTimes is when a job should be over by its own deadline, and by the latest of those that
// count it as nearly in time; zero for a job without a deadline.
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

// expectedDuration is a rough estimate of how long a job takes once it is ready.
func expectedDuration(job *storage.Job) time.Duration {
	return dependencyStepDelay + time.Duration(estimateMargin*job.Estimate*float64(time.Second))
}
