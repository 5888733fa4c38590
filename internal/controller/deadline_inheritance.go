package controller

import (
	"time"

	"dykeledge/internal/storage"
)

// Between two jobs of a pipeline lies more than the estimate: the last task's report, the
// final record, the next placement, the fetch of its image; and an array lasts as long
// as its slowest task.
const (
	stepGap    = 6 * time.Second
	stepMargin = 1.4
)

// inheritDeadlines keeps up what jobs inherit from those that need them, and looks at those that
// became ready.
func (c *Controller) inheritDeadlines() {
	c.cache.Inherit(c.finishTimes, c.expectedDuration)
	for _, j := range c.cache.NewlyReady() {
		if j.Open() {
			c.metrics.readyJobs.Inc()
			c.log.Debug("job is ready", "job", j.ID, "after", j.ReadyAt.Sub(j.Submitted).Seconds(), "priority", j.Priority.String())
		}
	}
}

// finishTimes is when a job should be over by its own deadline, and by the latest of those that
// count it as nearly in time.
func (c *Controller) finishTimes(j *storage.Job) (by, late time.Time) {
	if j.Deadline <= 0 {
		return by, late
	}
	times := 1.0
	class := c.cache.Classes.Name(j.Class)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Class == class {
			times = max(times, o.Times)
		}
	}
	return j.Submitted.Add(j.Deadline), j.Submitted.Add(time.Duration(float64(j.Deadline) * times))
}

// expectedDuration is how long a job will take once it is ready, as a guess.
func (c *Controller) expectedDuration(j *storage.Job) time.Duration {
	return stepGap + time.Duration(stepMargin*j.Estimate*float64(time.Second))
}
