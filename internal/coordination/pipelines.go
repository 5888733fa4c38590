package coordination

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

// inherit keeps up what jobs inherit from those that need them, and looks at those that
// became ready.
func (c *Controller) inherit() {
	c.cache.Inherit(c.aims, c.length)
	for _, j := range c.cache.Readied() {
		if j.Open() {
			c.metrics.readyJobs.Inc()
			c.log.Debug("job is ready", "job", j.ID, "after", j.At.Sub(j.Submitted).Seconds(), "priority", j.Priority.String())
		}
	}
}

// aims is when a job should be over by its own deadline, and by the latest of those that
// count it as nearly in time.
func (c *Controller) aims(j *storage.Job) (by, late time.Time) {
	if j.Due <= 0 {
		return by, late
	}
	times := 1.0
	class := c.cache.Classes.Name(j.Class)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Class == class {
			times = max(times, o.Times)
		}
	}
	return j.Submitted.Add(j.Due), j.Submitted.Add(time.Duration(float64(j.Due) * times))
}

// length is how long a job will take once it is ready, as a guess.
func (c *Controller) length(j *storage.Job) time.Duration {
	return stepGap + time.Duration(stepMargin*j.Estimate*float64(time.Second))
}
