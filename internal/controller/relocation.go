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
// takes to save it, to place it again, and to fetch its image where it goes.

const (
	// relocateAfter is how long a replica must have been placed before it is moved, and how long
	// its service is left alone after one of its replicas was: it must serve meanwhile.
	relocateAfter = 40 * time.Second
	// longFetch is how many seconds an image must take for its fetch to count when a task is moved.
	longFetch = 8
	// minMoveBenefit is how many times what its move costs a task must still have to run.
	minMoveBenefit = 2
	// restartSeconds is about how long it takes to stop a task and start it elsewhere, saving and fetching aside.
	restartSeconds = 2
)

// leavesDrained tells whether a task that saves is stopped on a machine that is drained: not if it will have
// ended about as soon, and not if its job would be late by that. Two hundred and more such stops a
// day each fetched 6 GB again, and their jobs were late.
func (c *Controller) leavesDrained(machine *storage.Machine, worker *workerState, placed storage.PlacedTask, now time.Time) bool {
	job := placed.Job
	fetch := 0.0
	if f := c.cache.Types[machine.Type].FetchGBs; f > 0 {
		fetch = job.ImageGB / f
	}
	if fetch < longFetch {
		return true // it is elsewhere at once, and the machine is returned sooner
	}
	cost := job.CheckpointCost + restartSeconds + fetch
	ran := float64(now.Unix() - placed.PlacedAt)
	if at, ok := worker.started[dispatch.RefOf(placed)]; ok {
		ran = now.Sub(at).Seconds()
	}
	left := max(job.Estimate-ran, 0.2*job.Estimate)
	if left < minMoveBenefit*cost {
		return false
	}
	allow, late := c.objectiveLeft(job, now)
	until := job.ReadyAt.Add(allow).Sub(now).Seconds()
	return allow == 0 || late || left > until || left+minMoveBenefit*cost < until
}

// relocateReplicas decides which replicas leave machines that are drained: one of a service at a time, to
// a machine that has its image and room, so that it is back within seconds.
func (c *Controller) relocateReplicas(now time.Time) {
	var free map[int32]storage.Usage
	for _, machine := range c.cache.Machines {
		if machine.Gone || !machine.Draining || machine.Returning || !c.ownsShard(machine.Shard) {
			continue
		}
		for _, placed := range machine.Tasks {
			job := placed.Job
			if job.Shape != protocol.Service || !job.Open() || job.Waiting() > 0 || now.Unix()-placed.PlacedAt < int64(relocateAfter.Seconds()) {
				continue
			}
			jobState := c.jobState(job)
			if now.Sub(jobState.relocatedAt) < relocateAfter {
				continue
			}
			if free == nil {
				free = c.freeCapacity(now)
			}
			to := c.relocationTarget(job, machine, free)
			if to == nil {
				continue
			}
			f := free[to.Index]
			f.Add(job, -1)
			free[to.Index] = f
			jobState.relocating, jobState.relocatedAt = dispatch.RefOf(placed), now
			c.log.Info("replica moves", "job", job.ID, "task", placed.Task, "from", machine.Name, "to", to.Name)
			c.terminateUnwanted(machine)
		}
	}
}

// freeCapacity is what is free on the machines that this controller may place tasks on.
func (c *Controller) freeCapacity(now time.Time) map[int32]storage.Usage {
	free := map[int32]storage.Usage{}
	held := c.reservedCapacity()
	for _, m := range c.cache.Machines {
		if m.Gone || !c.ownsShard(m.Shard) || len(held[m.Name]) > 0 || !c.usable(m, c.workerState(m), now) {
			continue
		}
		free[m.Index] = c.freeOn(m)
	}
	return free
}

// relocationTarget finds a machine with room for a replica that has its image, nil if there is none.
func (c *Controller) relocationTarget(j *storage.Job, from *storage.Machine, free map[int32]storage.Usage) *storage.Machine {
	for _, m := range c.cache.Machines {
		u, ok := free[m.Index]
		if !ok || !schedule.Allowed(j, m) || schedule.Fits(u, j) == 0 || !slices.Contains(c.workerState(m).images, j.Image) {
			continue
		}
		if m.Zone != from.Zone && (j.OneZone || !inZone(j, m.Zone)) {
			continue
		}
		return m
	}
	return nil
}
