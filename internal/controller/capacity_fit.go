package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// This file tells on which machines a waiting task would fit. Sums of free capacity don't: a job
// bound to one zone, or of large tasks, may wait beside much free capacity.

// fitChecker tells on which machines waiting jobs fit. It serves one pass: it keeps what is free on
// each machine once it was asked for.
type fitChecker struct {
	c             *Controller
	freeByMachine []storage.Usage // by the records
}

// fitsNow tells whether a task of a job fits now on a machine that takes more tasks.
func (f *fitChecker) fitsNow(j *storage.Job, m *storage.Machine) bool {
	return !m.Draining && !f.c.workers.pendingUpdates[m.Index].blocksPlacement() && f.fitsBesideTasks(j, m)
}

// fitsBesideTasks tells whether a task of a job fits on a machine, drained or not, beside what runs
// there and given where the job's other tasks are.
func (f *fitChecker) fitsBesideTasks(j *storage.Job, m *storage.Machine) bool {
	if m.Gone || m.Returning || m.Unhealthy || !schedule.Allowed(j, m) || !inZone(j, m.Zone) {
		return false
	}
	if f.freeByMachine == nil {
		f.freeByMachine = f.c.freeOnMachines()
	}
	return schedule.Fits(f.freeByMachine[m.Index], j) > 0
}

// anyWaitingFits tells whether a waiting task of a shard fits beside what runs on one of a group's machines.
func (f *fitChecker) anyWaitingFits(shard int, group *storage.MachineGroup) bool {
	now := time.Now()
	return slices.ContainsFunc(f.c.cache.Jobs, func(j *storage.Job) bool {
		return j != nil && j.Shard == shard && f.c.mayStart(j, now) &&
			slices.ContainsFunc(group.Machines, func(m *storage.Machine) bool { return f.fitsNow(j, m) })
	})
}

// mayStart tells whether a task of a job waits and its team is under its limit.
func (c *Controller) mayStart(j *storage.Job, now time.Time) bool {
	if !j.Open() || c.wantedTasks(j) == 0 || !schedule.WithinLimit(c.cache.Teams[j.Team], c.cache.Used[j.Team], j, 1) {
		return false
	}
	state := c.jobStates[j]
	return state == nil || !now.Before(state.backoff)
}

// anyWaitingAllowed tells whether a shard has waiting work that may run on a group's machines,
// whatever runs there now.
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

// freeOnMachines is what is free on each machine by its record.
func (c *Controller) freeOnMachines() []storage.Usage {
	free := make([]storage.Usage, len(c.cache.Machines))
	for _, machine := range c.cache.Machines {
		if !machine.Gone {
			free[machine.Index] = c.freeOn(machine)
		}
	}
	return free
}

// freeOn is what is free on a machine by its record.
func (c *Controller) freeOn(m *storage.Machine) storage.Usage {
	machineType := &c.cache.Types[m.Type]
	free := storage.Usage{Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem}
	for _, placed := range m.Tasks {
		free.Add(placed.Job, -1)
	}
	return free
}

// inZone tells whether a further task of a job may be in a zone, given where its others are.
func inZone(j *storage.Job, zone int) bool {
	tasksInZone := 0
	if zone < len(j.ByZone) {
		tasksInZone = int(j.ByZone[zone])
	}
	if j.OneZone && j.PlacedCount > tasksInZone {
		return false
	}
	return !j.Spread || tasksInZone < j.MaxPerZone()
}
