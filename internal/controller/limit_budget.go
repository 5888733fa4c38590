package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// limitBudget deals out what the teams' limits leave to waiting tasks.
type limitBudget struct {
	c    *Controller
	used []storage.Usage // by team
}

func (c *Controller) newLimitBudget() *limitBudget {
	return &limitBudget{c, slices.Clone(c.cache.Used)}
}

// take takes a job's waiting tasks, as many as may start beside those taken before, and returns how many.
func (b *limitBudget) take(j *storage.Job) int {
	tasks := b.c.wantedTasks(j)
	for tasks > 0 && !schedule.WithinLimit(b.c.cache.Teams[j.Team], b.used[j.Team], j, tasks) {
		tasks /= 2 // about as many: sums ask for no more
	}
	b.used[j.Team].Add(j, float64(tasks))
	return tasks
}

// runnableWithinLimits is how much of the waiting work, in CPUs, may run as far as its teams' limits go.
func (c *Controller) runnableWithinLimits(now time.Time) float64 {
	budget, sum := c.newLimitBudget(), 0.0
	for _, job := range c.cache.Jobs {
		if job != nil && job.Open() && !c.isIdleWork(job, now) {
			sum += float64(budget.take(job)) * job.Size
		}
	}
	return sum
}

// limited tells whether a team has a limit.
func (c *Controller) limited(team int) bool {
	teamLimits := &c.cache.Teams[team]
	return teamLimits.CpusMax > 0 || teamLimits.GpusMax > 0
}
