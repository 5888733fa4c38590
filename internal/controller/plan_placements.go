package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// maxPlacementsPerPass limits the number of tasks placed in one pass.
const maxPlacementsPerPass = 400

// conditionsPerOp is the number of conditions that a transaction may have for each of its puts and
// deletes.
const conditionsPerOp = 4

// conditionsPerVictimSet is the number of conditions that a victim set adds to a transaction beyond the one
// for its own record.
const conditionsPerVictimSet = 1

// planPlacements places waiting tasks on machines with free capacity. It returns the input and the
// result of the placement pass, which the planning of preemptions uses.
func (c *Controller) planPlacements(now time.Time, planned *plannedTxn, shards map[int]bool) (*schedule.Input, schedule.Result) {
	maxConditions := conditionsPerOp*c.limits().TxnOps - len(shards)
	fits := func(job *storage.Job) bool {
		return planned.conditionsWith(job)+planned.opsLeft()+conditionsPerVictimSet <= maxConditions
	}
	input := c.placementInput(now, shards, planned)
	hold := input.Held
	input.Held = func(job *storage.Job) bool {
		// Tasks that complete in this transaction must not count as waiting.
		return hold(job) || (planned.completed[job] != nil && job.Waiting() == 0)
	}
	result := schedule.Place(input)
	planned.more = planned.more || result.Incomplete
	attempt := c.nextRevision() // unique across all controllers that have owned the shard
	for _, placement := range result.Placed {
		if !fits(placement.Job) {
			planned.more = true
			break
		}
		if planned.group(placement.Slot.Machine.Group) == nil {
			planned.more = true
			continue
		}
		planned.require(storage.JobKey(placement.Job.ID), placement.Job.Version) // the transaction fails if the job was cancelled meanwhile
		c.place(now, planned, placement, attempt)
	}
	return input, result
}

// place adds a task to its machine's record in the transaction.
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
		PlacedAt: now.Unix(), WaitedSeconds: c.waited(job, placement.Task, now),
	})
}

// waited returns the seconds from when a task became ready, or was last requeued, until now.
func (c *Controller) waited(job *storage.Job, task int, now time.Time) uint64 {
	since := job.ReadyAt
	if state := c.jobStates[job]; state != nil {
		if requeued, ok := state.requeuedAt[task]; ok {
			since = requeued
		}
	}
	return uint64(max(0, now.Sub(since).Seconds()))
}
