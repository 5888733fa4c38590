package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file decides which tasks are stopped on a draining machine. Stopping a task costs the time
// to save a checkpoint, to place the task again, and to fetch its image on the new machine.

const (
	// minReplicaAge is how long a replica must have been placed before it is relocated, and how
	// long after a relocation no other replica of its service is relocated, so that the service can
	// serve meanwhile.
	minReplicaAge = 40 * time.Second
	// minCountedFetchS is how many seconds an image fetch must take to be counted in the cost of
	// stopping a task.
	minCountedFetchS = 8
	// minRemainingCostFactor is the ratio of a task's remaining run to the cost of stopping it
	// below which it is not stopped.
	minRemainingCostFactor = 2
	// restartS is the approximate number of seconds that it takes to stop a task and start it
	// elsewhere, without checkpoint and image fetch.
	restartS = 2
	// minRemainingFraction is the smallest fraction of its estimate that a task is assumed to have
	// left.
	minRemainingFraction = 0.2
)

// stopsForDrain reports whether a task with checkpoints is stopped on a draining machine. It is not
// if it would end about as soon where it is, or if stopping it would make its job late. Without
// these conditions more than two hundred stops a day each fetched 6 GB again and made their jobs
// late.
func (c *Controller) stopsForDrain(machine *storage.Machine, worker *workerState, placed storage.PlacedTask, now time.Time) bool {
	job := placed.Job
	fetchS := 0.0
	if rate := c.cache.Types[machine.Type].FetchGBPerSecond; rate > 0 {
		fetchS = job.ImageGB / rate
	}
	if fetchS < minCountedFetchS {
		return true // the task restarts quickly elsewhere, and the machine can be returned sooner
	}
	costS := job.CheckpointCost + restartS + fetchS
	remainingS := max(job.Estimate-worker.runSeconds(placed, now), minRemainingFraction*job.Estimate)
	if remainingS < minRemainingCostFactor*costS {
		return false
	}
	allowed, late := c.objectiveLeft(job, now)
	untilObjectiveS := job.ReadyAt.Add(allowed).Sub(now).Seconds()
	return allowed == 0 || late || remainingS > untilObjectiveS || remainingS+minRemainingCostFactor*costS < untilObjectiveS
}

// runSeconds returns how many seconds a task has run, or has been placed if its start was not
// observed.
func (w *workerState) runSeconds(placed storage.PlacedTask, now time.Time) float64 {
	if startedAt, ok := w.started[dispatch.AttemptRefOf(placed)]; ok {
		return now.Sub(startedAt).Seconds()
	}
	return float64(now.Unix() - placed.PlacedAt)
}

// relocateReplicas decides which replicas are stopped on draining machines: one replica of a
// service at a time, and only if another machine has its image and enough capacity, so that it is
// running again within seconds.
func (c *Controller) relocateReplicas(now time.Time) {
	var free map[int32]storage.Usage
	for _, machine := range c.cache.Machines {
		if machine.Gone || !machine.Draining || machine.Returning || !c.ownsShard(machine.Shard) {
			continue
		}
		for _, placed := range machine.Tasks {
			if !c.mayRelocate(placed, now) {
				continue
			}
			if free == nil {
				free = c.freeCapacity(now)
			}
			if target := c.relocationTarget(placed.Job, machine, free); target != nil {
				c.relocate(placed, machine, target, free, now)
			}
		}
	}
}

// mayRelocate reports whether a task is a replica, placed for at least minReplicaAge, of a service
// that has all its replicas placed and had none relocated within that time.
func (c *Controller) mayRelocate(placed storage.PlacedTask, now time.Time) bool {
	job := placed.Job
	if job.Shape != protocol.Service || !job.Open() || job.Waiting() > 0 || now.Unix()-placed.PlacedAt < int64(minReplicaAge.Seconds()) {
		return false
	}
	return now.Sub(c.jobState(job).relocatedAt) >= minReplicaAge
}

// relocate stops a replica on a draining machine. The planner then places it again, most likely on
// the target.
func (c *Controller) relocate(placed storage.PlacedTask, from, target *storage.Machine, free map[int32]storage.Usage, now time.Time) {
	job := placed.Job
	left := free[target.Index]
	left.Add(job, -1)
	free[target.Index] = left
	state := c.jobState(job)
	state.relocating, state.relocatedAt = dispatch.AttemptRefOf(placed), now
	c.log.Info("relocating replica from draining machine", "job", job.ID, "task", placed.Task, "from", from.Name, "to", target.Name)
	c.sendStopCommands(from)
}

// freeCapacity returns the free capacity, by machine index, of the machines on which this
// controller may place tasks and on which no capacity is reserved.
func (c *Controller) freeCapacity(now time.Time) map[int32]storage.Usage {
	free := map[int32]storage.Usage{}
	reserved := c.reservedCapacity()
	for _, machine := range c.cache.Machines {
		if machine.Gone || !c.ownsShard(machine.Shard) || len(reserved[machine.Name]) > 0 || !c.usable(machine, c.workerState(machine), now) {
			continue
		}
		free[machine.Index] = c.freeOn(machine)
	}
	return free
}

// relocationTarget returns a machine that has the image and enough capacity for a replica, or nil
// if there is none.
func (c *Controller) relocationTarget(job *storage.Job, from *storage.Machine, free map[int32]storage.Usage) *storage.Machine {
	for _, machine := range c.cache.Machines {
		usage, ok := free[machine.Index]
		if !ok || !schedule.Allowed(job, machine) || schedule.Fits(usage, job) == 0 || !slices.Contains(c.workerState(machine).images, job.Image) {
			continue
		}
		if machine.Zone != from.Zone && (job.OneZone || !inZone(job, machine.Zone)) {
			continue
		}
		return machine
	}
	return nil
}
