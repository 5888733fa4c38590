package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// limitBudget allocates what the teams' limits still allow to waiting tasks.
type limitBudget struct {
	c    *Controller
	used []storage.Usage // by team
}

func (c *Controller) newLimitBudget() *limitBudget {
	return &limitBudget{c, slices.Clone(c.cache.TeamUsage)}
}

// take allocates a job's waiting tasks, as many as may start in addition to those allocated before,
// and returns their number. The number is approximate: it is halved until the tasks fit.
func (b *limitBudget) take(job *storage.Job) int {
	tasks := b.c.wantedTasks(job)
	for tasks > 0 && !schedule.WithinLimit(b.c.cache.Teams[job.Team], b.used[job.Team], job, tasks) {
		tasks /= 2 // an approximation is enough for sums over jobs
	}
	b.used[job.Team].Add(job, float64(tasks))
	return tasks
}

// runnableWithinLimits returns how many CPUs of the waiting work, except idle-time work, may run
// within the teams' limits.
func (c *Controller) runnableWithinLimits(now time.Time) float64 {
	budget, sum := c.newLimitBudget(), 0.0
	for _, job := range c.cache.Jobs {
		if job != nil && job.Open() && !c.isIdleWork(job, now) {
			sum += float64(budget.take(job)) * job.TaskSize
		}
	}
	return sum
}

// limited reports whether a team has a limit.
func (c *Controller) limited(team int) bool {
	teamLimits := &c.cache.Teams[team]
	return teamLimits.CpusMax > 0 || teamLimits.GpusMax > 0
}
