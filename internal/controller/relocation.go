package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns which tasks leave a machine that is being drained. Stopping one costs what it
// takes to save a checkpoint, to place it again, and to fetch its image where it goes.

const (
	// minReplicaAge is how long a replica must have been placed before it is moved, and how long
	// its service is left alone after one of its replicas was: it must serve meanwhile.
	minReplicaAge = 40 * time.Second
	// minCountedFetchS is how many seconds an image must take for its fetch to count when a task is moved.
	minCountedFetchS = 8
	// minRemainingCostFactor is how many times what its move costs a task must still have to run.
	minRemainingCostFactor = 2
	// restartS is about how many seconds it takes to stop a task and start it elsewhere, checkpoint
	// and fetch aside.
	restartS = 2
	// minRemainingFraction is the least part of its estimate that a task is taken to have left.
	minRemainingFraction = 0.2
)

// leavesDrained tells whether a task with checkpoints is stopped on a machine that is being drained:
// not if it will have ended about as soon, and not if its job would be late by that. Two hundred
// and more such stops a day each fetched 6 GB again, and their jobs were late.
func (c *Controller) leavesDrained(machine *storage.Machine, worker *workerState, placed storage.PlacedTask, now time.Time) bool {
	job := placed.Job
	fetchS := 0.0
	if rate := c.cache.Types[machine.Type].FetchGBs; rate > 0 {
		fetchS = job.ImageGB / rate
	}
	if fetchS < minCountedFetchS {
		return true // it is elsewhere at once, and the machine is returned sooner
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

// runSeconds is how many seconds a task has run, or been placed as far as nobody saw it start.
func (w *workerState) runSeconds(placed storage.PlacedTask, now time.Time) float64 {
	if startedAt, ok := w.started[dispatch.RefOf(placed)]; ok {
		return now.Sub(startedAt).Seconds()
	}
	return float64(now.Unix() - placed.PlacedAt)
}

// relocateReplicas decides which replicas leave machines that are being drained: one of a service at
// a time, to a machine that has its image and capacity, so that it is back within seconds.
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

// mayRelocate tells whether a task is a replica of a service that serves in full and was left alone
// for a while.
func (c *Controller) mayRelocate(placed storage.PlacedTask, now time.Time) bool {
	job := placed.Job
	if job.Shape != protocol.Service || !job.Open() || job.Waiting() > 0 || now.Unix()-placed.PlacedAt < int64(minReplicaAge.Seconds()) {
		return false
	}
	return now.Sub(c.jobState(job).relocatedAt) >= minReplicaAge
}

// relocate stops a replica on a machine that is being drained; the planner then places it again, most
// likely on the target.
func (c *Controller) relocate(placed storage.PlacedTask, from, target *storage.Machine, free map[int32]storage.Usage, now time.Time) {
	job := placed.Job
	left := free[target.Index]
	left.Add(job, -1)
	free[target.Index] = left
	state := c.jobState(job)
	state.relocating, state.relocatedAt = dispatch.RefOf(placed), now
	c.log.Info("replica is relocated", "job", job.ID, "task", placed.Task, "from", from.Name, "to", target.Name)
	c.terminateUnwanted(from)
}

// freeCapacity is what is free on the machines that this controller may place tasks on.
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

// relocationTarget finds a machine with capacity for a replica that has its image, nil if there is none.
func (c *Controller) relocationTarget(j *storage.Job, from *storage.Machine, free map[int32]storage.Usage) *storage.Machine {
	for _, machine := range c.cache.Machines {
		usage, ok := free[machine.Index]
		if !ok || !schedule.Allowed(j, machine) || schedule.Fits(usage, j) == 0 || !slices.Contains(c.workerState(machine).images, j.Image) {
			continue
		}
		if machine.Zone != from.Zone && (j.OneZone || !inZone(j, machine.Zone)) {
			continue
		}
		return machine
	}
	return nil
}
