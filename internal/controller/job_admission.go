package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// invalidDependency returns why a submission's dependencies are refused, or "" if they are not. missing
// reports whether the reason is that this controller has no record of such a job.
func (c *Controller) invalidDependency(submission *protocol.Submission) (reason string, missing bool) {
	for _, id := range submission.Dependencies {
		if final, _ := c.cache.FinalState(id); final != "" {
			continue
		}
		job := c.cache.Job(id)
		switch {
		case job == nil:
			return fmt.Sprintf("field awaits names %s, which was never accepted", id), true
		case job.Shape == protocol.Service:
			return fmt.Sprintf("field awaits names %s, which is a service and never done", id), false
		}
	}
	return "", false
}

// unschedulableReason returns why a job could never run, or "" if it could.
func (c *Controller) unschedulableReason(submission *protocol.Submission) string {
	team := c.cache.TeamIndex.Find(submission.Team)
	if team < 0 {
		return fmt.Sprintf("unknown team %q", submission.Team)
	}
	zone := -1
	if submission.Zone != "" {
		if zone = c.cache.Zones.Find(submission.Zone); zone < 0 {
			return fmt.Sprintf("unknown zone %q", submission.Zone)
		}
	}
	if !c.fitsSomeType(submission, zone) {
		return "a task fits no allowed machine type"
	}
	tasks := 1
	if submission.Shape == protocol.Service {
		tasks = submission.Tasks
	}
	job := &storage.Job{Cpus: submission.Cpus, Gpus: submission.Gpus}
	if !schedule.WithinLimit(c.cache.Teams[team], storage.Usage{}, job, tasks) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// fitsSomeType reports whether a task fits a machine type that it may use in a zone; zone below 0: in any
// zone.
func (c *Controller) fitsSomeType(submission *protocol.Submission, zone int) bool {
	for i, machineType := range c.cache.Types {
		tooSmall := machineType.Cpus <= 0 || submission.Cpus > machineType.Cpus || submission.Gpus > machineType.Gpus || submission.MemGB > machineType.Mem
		allowed := len(submission.Types) == 0 || slices.Contains(submission.Types, c.cache.TypeIndex.Name(i))
		inZone := zone < 0 || len(machineType.Zones) == 0 || slices.Contains(machineType.Zones, zone)
		if !tooSmall && allowed && inZone {
			return true
		}
	}
	return false
}

// acceptsJobs reports whether this controller can accept a job without dependencies. That needs only the
// machine types and a record layout that this controller reads; whether the id is free is a condition of the
// commit. The layout gate and the catalog are therefore loaded first, so that after a restart of all
// controllers submissions do not wait until every record is read. Once team changes are enabled all records
// must have been read, because the limits in the settings file alone could admit jobs that can never run.
func (c *Controller) acceptsJobs() bool {
	if !c.cache.HasCatalog() {
		return false
	}
	return c.follower.loaded || c.cache.Packed() && !c.cache.TeamChangesEnabled() && !c.follower.foreignLayout
}

// Ready reports whether this controller can take requests. In an outage of the state service all controllers
// stay ready, including those that started during the outage: they refuse requests at once, and accept them
// as soon as the outage ends.
func (c *Controller) Ready(ctx context.Context) bool {
	ready := false
	err := c.call(ctx, func() {
		now := time.Now()
		ready = (c.acceptsJobs() || c.waitsForStore(now)) && !c.isolatedFromStore(now)
	})
	return err == nil && ready
}

// waitsForStore reports whether an answer of the state service is all that this controller needs to become
// ready. Within peerFreshPeriod of its start it reports false.
func (c *Controller) waitsForStore(now time.Time) bool {
	return !c.follower.foreignLayout && c.follower.loadFailed && c.cache.HasCatalog() && now.Sub(c.cancellations.unverified.startedAt) > peerFreshPeriod
}
