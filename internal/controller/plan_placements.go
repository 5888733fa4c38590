package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// maxPlacementsPerPass is how many tasks are placed in one pass.
const maxPlacementsPerPass = 400

// conditionsPerOp is how many conditions a transaction may have for each of its puts and deletes.
const conditionsPerOp = 4

// planPlacements places waiting tasks where there is capacity, and returns what the pass went
// by and came to, for preemptions.
func (c *Controller) planPlacements(now time.Time, planned *plannedTxn, shards map[int]bool) (*schedule.Input, schedule.Result) {
	maxConditions := conditionsPerOp*c.limits().TxnOps - len(shards)
	input := c.placementInput(now, shards, planned)
	hold := input.Hold
	input.Hold = func(job *storage.Job) bool {
		// A task that completes with this transaction must not look like a waiting one.
		return hold(job) || (planned.completed[job] != nil && job.Waiting() == 0)
	}
	result := schedule.Place(input)
	planned.more = planned.more || result.More
	attempt := c.nextRevision() // never used before, whichever controller owned the shard
	for _, placement := range result.Placed {
		key := storage.JobKey(placement.Job.ID)
		if _, ok := planned.conditions[key]; !ok {
			if len(planned.conditions)+len(planned.groups)+2 > maxConditions {
				planned.more = true
				break
			}
			planned.require(key, placement.Job.Version) // if it is cancelled meanwhile, nothing starts
		}
		if planned.includeGroup(placement.Slot.Machine.Group) == nil {
			planned.more = true
			continue
		}
		c.place(now, planned, placement, attempt)
	}
	return input, result
}

// place puts a task into its machine's record with this transaction.
func (c *Controller) place(now time.Time, planned *plannedTxn, placement schedule.Placement, attempt uint64) {
	job, machine := placement.Job, placement.Slot.Machine
	tasks, changed := planned.tasksOf(machine)
	if !changed {
		tasks = slices.Clone(tasks)
	}
	state := c.jobState(job)
	if state.firstPlacedAt.IsZero() {
		state.firstPlacedAt = now
		waited := c.metrics.waitSeconds.WithLabelValues(c.classLabel(job.Class), c.cache.Teams[job.Team].Name)
		waited.Observe(now.Sub(job.ReadyAt).Seconds())
	}
	state.lastPlacedAt = now
	c.planner.plannedTasks++
	planned.remaining[machine.Index] = append(tasks, storage.PlacedTask{
		Job: job, Task: placement.Task, Attempt: attempt,
		PlacedAt: now.Unix(), WaitedS: c.waited(job, placement.Task, now),
	})
}

// waited is how long a task has waited before it starts now, in seconds.
func (c *Controller) waited(job *storage.Job, task int, now time.Time) uint64 {
	since := job.ReadyAt
	if state := c.jobStates[job]; state != nil {
		if requeued, ok := state.requeuedAt[task]; ok {
			since = requeued
		}
	}
	return uint64(max(0, now.Sub(since).Seconds()))
}
