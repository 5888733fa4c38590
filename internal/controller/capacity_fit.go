package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// This file determines on which machines a waiting task fits. Sums of free capacity are not enough:
// a job that is bound to one zone, or has large tasks, may wait although much capacity is free.

// fitChecker determines on which machines waiting jobs fit. It is used for a single pass: it
// computes each machine's free capacity on first use and caches it.
type fitChecker struct {
	c             *Controller
	freeByMachine []storage.Usage // free capacity by machine index, according to the records; nil before the first use
}

// fitsNow reports whether a task of a job fits on a machine that accepts more tasks.
func (f *fitChecker) fitsNow(job *storage.Job, machine *storage.Machine) bool {
	return !machine.Draining && !f.c.workers.pendingUpdates[machine.Index].blocksPlacement() && f.fitsBesideTasks(job, machine)
}

// fitsBesideTasks reports whether a task of a job fits on a machine, draining or not, given the
// tasks on it and the zones of the job's other tasks.
func (f *fitChecker) fitsBesideTasks(job *storage.Job, machine *storage.Machine) bool {
	if machine.Gone || machine.Returning || machine.Unhealthy || !schedule.Allowed(job, machine) || !inZone(job, machine.Zone) {
		return false
	}
	if f.freeByMachine == nil {
		f.freeByMachine = f.c.freeOnMachines()
	}
	return schedule.Fits(f.freeByMachine[machine.Index], job) > 0
}

// anyWaitingFits reports whether a waiting task of a shard fits on one of a group's machines, given
// the tasks placed there.
func (f *fitChecker) anyWaitingFits(shard int, group *storage.MachineGroup) bool {
	now := time.Now()
	return slices.ContainsFunc(f.c.cache.Jobs, func(j *storage.Job) bool {
		return j != nil && j.Shard == shard && f.c.mayStart(j, now) &&
			slices.ContainsFunc(group.Machines, func(m *storage.Machine) bool { return f.fitsNow(j, m) })
	})
}

// mayStart reports whether a job has a waiting task, is not in backoff, and its team is within its
// limit with one more task.
func (c *Controller) mayStart(job *storage.Job, now time.Time) bool {
	if !job.Open() || c.wantedTasks(job) == 0 || !schedule.WithinLimit(c.cache.Teams[job.Team], c.cache.TeamUsage[job.Team], job, 1) {
		return false
	}
	state := c.jobStates[job]
	return state == nil || !now.Before(state.retryAt)
}

// anyWaitingAllowed reports whether a shard has waiting work that is allowed on one of a group's
// machines, regardless of their free capacity.
func (c *Controller) anyWaitingAllowed(shard int, group *storage.MachineGroup) bool {
	for _, job := range c.cache.Jobs {
		if job == nil || !job.Open() || job.Shard != shard || c.wantedTasks(job) == 0 {
			continue
		}
		if slices.ContainsFunc(group.Machines, func(m *storage.Machine) bool {
			return !m.Gone && !m.Returning && schedule.Allowed(job, m)
		}) {
			return true
		}
	}
	return false
}

// freeOnMachines returns the free capacity of each machine by index, according to its record.
func (c *Controller) freeOnMachines() []storage.Usage {
	free := make([]storage.Usage, len(c.cache.Machines))
	for _, machine := range c.cache.Machines {
		if !machine.Gone {
			free[machine.Index] = c.freeOn(machine)
		}
	}
	return free
}

// freeOn returns a machine's free capacity according to its record.
func (c *Controller) freeOn(machine *storage.Machine) storage.Usage {
	machineType := &c.cache.Types[machine.Type]
	free := storage.Usage{Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem}
	for _, placed := range machine.Tasks {
		free.Add(placed.Job, -1)
	}
	return free
}

// inZone reports whether another task of a job may run in a zone, given the zones of its placed
// tasks.
func inZone(job *storage.Job, zone int) bool {
	tasksInZone := 0
	if zone < len(job.PlacedByZone) {
		tasksInZone = int(job.PlacedByZone[zone])
	}
	if job.OneZone && job.PlacedCount > tasksInZone {
		return false
	}
	return !job.Spread || tasksInZone < job.MaxPerZone()
}
