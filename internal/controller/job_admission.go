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

// invalidDependency says why a job can't wait for what it names, "" if it can; missing means that
// it is because this controller knows no such job.
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

// unschedulableReason says why a job can never run, "" if it can.
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

// fitsSomeType reports whether a task fits a machine type that it may use, in a zone; below 0: in any.
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

// acceptsJobs reports whether this controller can accept a job that awaits no other. That takes the machine
// types, and that the records are of a layout that it reads; whether the id is free is a condition of the
// commit. So the gate and the catalog are read first, and after an end of all controllers submissions need
// not wait until each has read every record. Once teams may have been changed it has to have read those,
// too: it would accept by the settings file what can never run.
func (c *Controller) acceptsJobs() bool {
	if !c.cache.HasCatalog() {
		return false
	}
	return c.follower.loaded || c.cache.Packed() && !c.cache.TeamChangesEnabled() && !c.follower.foreignLayout
}

// Ready reports whether this controller can take requests. In an outage of the state service all
// controllers stay ready, those that began in it too: they refuse at once, and accept the moment it ends.
func (c *Controller) Ready(ctx context.Context) bool {
	ready := false
	err := c.call(ctx, func() {
		now := time.Now()
		ready = (c.acceptsJobs() || c.waitsForStore(now)) && !c.isolatedFromStore(now)
	})
	return err == nil && ready
}

// waitsForStore reports whether all that this controller lacks is an answer of the state service.
func (c *Controller) waitsForStore(now time.Time) bool {
	return !c.follower.foreignLayout && c.follower.loadFailed && c.cache.HasCatalog() && now.Sub(c.cancellations.unverified.since) > peerFresh
}
