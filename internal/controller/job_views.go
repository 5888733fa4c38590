package controller

import (
	"context"
	"fmt"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// JobView is the state of an unfinished job as shown to operators.
type JobView struct {
	ID       string  `json:"id"`
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Shard    int     `json:"share"`
	Priority string  `json:"priority"`
	Status   string  `json:"status"`
	Tasks    int     `json:"tasks"`
	Done     int     `json:"done"`
	Placed   int     `json:"placed"`
	Waiting  int     `json:"waiting"`
	AgeS     float64 `json:"age_s"`
	Why      string  `json:"why,omitempty"` // why its tasks are waiting
}

// JobViews returns unfinished jobs of a team (of all teams if team is "") in order of their ids, starting
// after the id after. more reports whether there are further ones beyond limit.
func (c *Controller) JobViews(ctx context.Context, team, after string, limit int) (views []JobView, more bool, err error) {
	views = []JobView{}
	err = c.call(ctx, func() {
		teamIndex := -1
		if team != "" {
			if teamIndex = c.cache.TeamIndex.Find(team); teamIndex < 0 {
				return
			}
		}
		examples := c.exampleMachines()
		c.cache.JobsAfter(teamIndex, after, func(job *storage.Job) bool {
			unfinished := job.Open() && !job.DependencyFailed || job.PlacedCount > 0
			if !unfinished {
				return true
			}
			if more = len(views) == limit; more {
				return false
			}
			views = append(views, c.jobView(job, examples))
			return true
		})
	})
	return views, more, err
}

func (c *Controller) jobView(job *storage.Job, examples []*storage.Machine) JobView {
	return JobView{
		ID:       job.ID,
		Class:    c.cache.Classes.Name(job.Class),
		Team:     c.cache.Teams[job.Team].Name,
		Shard:    job.Shard,
		Priority: job.Priority.String(),
		Status:   string(c.jobStatus(job).Status),
		Tasks:    job.Tasks,
		Done:     job.DoneCount,
		Placed:   job.PlacedCount,
		Waiting:  job.Waiting(),
		AgeS:     time.Since(job.ReadyAt).Seconds(),
		Why:      c.waitReason(job, examples),
	}
}

// machineCategory holds the properties of a machine that decide whether a job may use it.
type machineCategory struct {
	shard, machineType, zone int
	spot                     bool
}

// exampleMachines returns one machine of each category.
func (c *Controller) exampleMachines() []*storage.Machine {
	seen := map[machineCategory]bool{}
	var examples []*storage.Machine
	for _, machine := range c.cache.Machines {
		kind := machineCategory{machine.Shard, machine.Type, machine.Zone, machine.Spot}
		if !machine.Gone && !seen[kind] {
			seen[kind] = true
			examples = append(examples, machine)
		}
	}
	return examples
}

// waitReason returns why tasks of a job are waiting, or "" if none is. examples holds one machine of each
// category, to check whether the job may use any of them.
func (c *Controller) waitReason(job *storage.Job, examples []*storage.Machine) string {
	now := time.Now()
	if n := job.UnmetDependencies(); n > 0 && job.Open() && !job.DependencyFailed {
		return fmt.Sprintf("waits for %d other jobs", n)
	}
	if job.Waiting() == 0 {
		return ""
	}
	if !c.ownsShard(job.Shard) {
		if shard := c.cache.Shards[job.Shard]; shard.Member != "" && shard.Member != c.cfg.MemberName {
			return "decided by node " + shard.Member
		}
		return "its share has no owner"
	}
	if c.storeFailing() {
		return "the state service does not answer"
	}
	if reason := c.retryReason(job, now); reason != "" {
		return reason
	}
	if !schedule.WithinLimit(c.cache.Teams[job.Team], c.cache.TeamUsage[job.Team], job, 1) {
		return "the team's limit is reached"
	}
	if c.cache.VictimSets[job.ID] != nil {
		return "evicted tasks are still stopping"
	}
	return c.capacityReason(job, examples, now)
}

// retryReason returns when a job that failed is tried again, or "" if it is not waiting for a retry.
func (c *Controller) retryReason(job *storage.Job, now time.Time) string {
	state := c.jobStates[job]
	if c.suspect(job) {
		againS := 0.0
		if state != nil {
			againS = max(0, state.retryAt.Sub(now).Seconds())
		}
		return fmt.Sprintf("fails on every machine that tried it, one task is tried again in %.0f s", againS)
	}
	if state != nil && now.Before(state.retryAt) {
		return fmt.Sprintf("failed %d times, tried again in %.0f s", state.failures, state.retryAt.Sub(now).Seconds())
	}
	return ""
}

// capacityReason returns why there is no capacity for a job that may run now.
func (c *Controller) capacityReason(job *storage.Job, examples []*storage.Machine, now time.Time) string {
	for _, machine := range examples {
		if machine.Shard == job.Shard && schedule.Allowed(job, machine) {
			if c.isIdleWork(job, now) {
				return "idle-time work, waits for room that others leave"
			}
			return "no room"
		}
	}
	return "no machine that it may use"
}
