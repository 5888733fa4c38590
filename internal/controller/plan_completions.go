package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// allTasksDone reports whether an open job array is complete once the given number of its tasks
// is done.
func (c *Controller) allTasksDone(job *storage.Job, done int) bool {
	return job.Open() && job.Shape == protocol.Batch && done == job.Tasks
}

// finish marks a job as done. The owner of the job's shard does this, even if another controller
// recorded its tasks' completions.
func (c *Controller) finish(planned *plannedTxn, job *storage.Job) {
	c.planner.completedJobs = append(c.planner.completedJobs, job)
	c.putJob(planned, job, protocol.Done)
}

// finishRecordedElsewhere marks jobs as done whose last completion was recorded by another
// controller. They are planned before other changes and may use up to half of the transaction.
func (c *Controller) finishRecordedElsewhere(planned *plannedTxn, shards map[int]bool) {
	limit := max(1, planned.maxOps/2)
	for _, job := range c.cache.Jobs {
		if job != nil && shards[job.Shard] && c.allTasksDone(job, job.DoneCount) && planned.usedOps < limit {
			c.finish(planned, job)
		}
	}
}

// finishCompleted marks jobs as done whose last tasks complete in this transaction.
func (c *Controller) finishCompleted(planned *plannedTxn, shards map[int]bool) {
	for job, reached := range planned.completed {
		if !shards[job.Shard] || !c.allTasksDone(job, reached.doneCount) {
			continue
		}
		if planned.full() {
			planned.more = true
			continue
		}
		c.finish(planned, job)
	}
}

// planCompletions removes attempts that are proved to have ended from the machines' records, and
// adds other pending changes of the machines.
func (c *Controller) planCompletions(planned *plannedTxn, shards map[int]bool) {
	groups := c.cache.Groups
	first := c.planner.firstGroup // rotates, so that every group gets its turn when a transaction cannot hold all
	for i := range groups {
		group := groups[(first+i)%len(groups)]
		if group.Version == 0 || !shards[group.Shard] || c.cache.GroupRejected(group) {
			continue
		}
		for _, machine := range group.Machines {
			worker := c.workers.states[machine.Index]
			if machine.Gone || worker == nil {
				continue
			}
			if len(worker.Gone) > 0 || c.machineRecordChanges(machine, worker) {
				c.planMachine(planned, machine, worker)
			}
		}
	}
}

// planMachine adds the changes of a machine and its tasks to the transaction, if the transaction
// has enough operations left.
func (c *Controller) planMachine(planned *plannedTxn, machine *storage.Machine, worker *workerState) {
	cost := 0
	if planned.groups[machine.Group] == nil {
		cost++
	}
	leaves := worker.terminated && machine.Returning && len(worker.Gone) >= len(machine.Tasks) && machine.FleetEntries <= 1
	if leaves && planned.removedMachines[machine.Fleet] == nil {
		cost++
	}
	if planned.usedOps+cost > planned.maxOps {
		if !planned.more {
			planned.more, c.planner.firstGroup = true, machine.Group.ID
		}
		return
	}
	update := planned.group(machine.Group)
	remaining := make([]storage.PlacedTask, 0, len(machine.Tasks))
	for _, placed := range machine.Tasks {
		outcome, gone := worker.Gone[dispatch.AttemptRefOf(placed)]
		switch {
		case !gone:
			remaining = append(remaining, placed)
		case outcome == dispatch.Completed:
			planned.addCompletion(update, placed)
		}
	}
	planned.remaining[machine.Index] = remaining
	if leaves && len(remaining) == 0 {
		planned.removeMachine(machine)
	}
}

// machineRecordChanges reports whether a machine's entry in its group's record, apart from its
// tasks, must change.
func (c *Controller) machineRecordChanges(machine *storage.Machine, worker *workerState) bool {
	if c.needsTokenRaise(machine, worker) || worker.terminated && machine.Returning || worker.unhealthy && !machine.Unhealthy {
		return true
	}
	update := c.workers.pendingUpdates[machine.Index]
	return update != nil && update.differs(machine)
}

// needsTokenRaise reports whether the machine's fencing token must be raised because a direct
// command with the current token may still be in transit, or may arrive again and start an attempt that has ended.
func (c *Controller) needsTokenRaise(machine *storage.Machine, worker *workerState) bool {
	token := c.cache.FencingToken(machine)
	return worker.UncertainToken > 0 && worker.UncertainToken >= token || worker.NeedsHigherToken(token)
}

// groupMachine returns a machine's entry in its group's record as of this transaction.
func (c *Controller) groupMachine(planned *plannedTxn, machine *storage.Machine) storage.GroupMachine {
	tasks, changed := planned.tasksOf(machine)
	entry := c.cache.GroupMachineOf(machine, tasks)
	worker := c.workers.states[machine.Index]
	if worker == nil {
		return entry
	}
	// The unhealthy mark is recorded so that a later owner of the machine sees it.
	entry.Unhealthy = machine.Unhealthy || worker.unhealthy
	if changed || len(machine.Tasks) == 0 {
		// The incarnation must change in the same transaction as the tasks that the newer process
		// has lost.
		entry.Incarnation = max(machine.Incarnation, worker.Incarnation)
	}
	if changed && c.needsTokenRaise(machine, worker) {
		entry.FencingToken = c.nextRevision()
	}
	if update := c.workers.pendingUpdates[machine.Index]; update != nil {
		update.applyTo(&entry)
	}
	return entry
}

// maxListedCompletions is the number of completed tasks that a group's record may list before some
// of them are moved to their jobs' own records.
const maxListedCompletions = 300

// foldCompletions moves completed tasks from the records of groups that list too many of them to
// the jobs' own records: one job or completion record per group and transaction.
func (c *Controller) foldCompletions(planned *plannedTxn) {
	limit := maxListedCompletions
	if c.cache.Packed() {
		limit = min(limit, c.valueLimit()/4/packedSizes.completedTasks)
	}
	for _, update := range planned.groups {
		if len(update.completedTasks) <= limit || planned.full() {
			continue
		}
		sample, key := c.largestFold(planned, update.completedTasks)
		if key == "" {
			continue
		}
		c.putCompletions(planned, sample, key)
		update.completedTasks = slices.DeleteFunc(update.completedTasks, func(task storage.CompletedTask) bool { return c.foldKey(task) == key })
	}
}

// foldKey returns the key of the record to which a completed task can be moved: a part of its job's
// completion set in the packed layout, the job's own record in the plain layout.
func (c *Controller) foldKey(task storage.CompletedTask) string {
	if c.cache.Packed() {
		return storage.CompletionKey(task.Job.ID, task.Task)
	}
	return storage.JobKey(task.Job.ID)
}

// largestFold returns the key of the record to which the most completed tasks can be moved, among
// those that the transaction does not change yet, and one of these tasks. The key is "" if there is
// none.
func (c *Controller) largestFold(planned *plannedTxn, ended []storage.CompletedTask) (sample storage.CompletedTask, key string) {
	count := map[string]int{}
	for _, task := range ended {
		candidate := c.foldKey(task)
		count[candidate]++
		if _, ok := planned.puts[candidate]; !ok && count[candidate] > count[key] {
			sample, key = task, candidate
		}
	}
	return sample, key
}

// putCompletions adds the record to which a completed task is moved to the transaction.
func (c *Controller) putCompletions(planned *plannedTxn, task storage.CompletedTask, key string) {
	if !c.cache.Packed() {
		c.putJob(planned, task.Job, "")
		return
	}
	record, version := c.cache.CompletionRecordOf(task.Job, planned.progressOf(task.Job).done, task.Task)
	planned.put(key, version, protocol.Change{Put: key, Value: storage.Encode(record)})
	planned.usedOps++
}

// planDependencyFailed adds up to n final records of jobs that were cancelled along with a
// dependency. The leader also deletes records that are no longer needed, as far as n allows.
func (c *Controller) planDependencyFailed(planned *plannedTxn, shards map[int]bool, n int) {
	for _, job := range c.cache.JobsWithFailedDependency() {
		if n <= 0 || planned.full() {
			return
		}
		if _, ok := planned.puts[storage.JobKey(job.ID)]; ok || !shards[job.Shard] {
			continue
		}
		c.putJob(planned, job, protocol.Cancelled)
		n--
	}
	if !c.isLeader() || n <= 0 || planned.full() {
		return
	}
	for _, stale := range c.cache.StaleRecords(min(n, planned.opsLeft()), time.Now()) {
		planned.put(stale.Key, stale.Version, protocol.Change{Delete: stale.Key})
		planned.usedOps++
	}
}
