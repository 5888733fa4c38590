package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// allTasksDone tells whether all tasks of a job array are done, if so many of them are.
func (c *Controller) allTasksDone(job *storage.Job, done int) bool {
	return job.Open() && job.Shape == protocol.Batch && done == job.Tasks
}

// finish makes a job done. Its shard's owner does so, whoever recorded its tasks.
func (c *Controller) finish(planned *plannedTxn, job *storage.Job) {
	c.planner.completedJobs = append(c.planner.completedJobs, job)
	c.putJob(planned, job, protocol.Done)
}

// finishRecordedElsewhere makes jobs done whose last task another owner recorded. They come
// first, in up to half of the transaction.
func (c *Controller) finishRecordedElsewhere(planned *plannedTxn, shards map[int]bool) {
	limit := max(1, planned.maxOps/2)
	for _, job := range c.cache.Jobs {
		if job != nil && shards[job.Shard] && c.allTasksDone(job, job.DoneCount) && planned.usedOps < limit {
			c.finish(planned, job)
		}
	}
}

// finishCompleted makes jobs done whose last tasks complete with this transaction.
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

// planCompletions takes attempts that are proved to be gone out of the records, and puts in
// what has changed of the machines themselves.
func (c *Controller) planCompletions(planned *plannedTxn, shards map[int]bool) {
	groups := c.cache.Groups
	first := c.planner.firstGroup // not always the same groups when there is no capacity for all
	for i := range groups {
		group := groups[(first+i)%len(groups)]
		if group.Version == 0 || !shards[group.Shard] {
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

// planMachine makes what has changed of a machine and its tasks part of the transaction, if it
// takes that much more.
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
	update := planned.includeGroup(machine.Group)
	remaining := make([]storage.PlacedTask, 0, len(machine.Tasks))
	for _, placed := range machine.Tasks {
		outcome, gone := worker.Gone[dispatch.RefOf(placed)]
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

// machineRecordChanges tells whether a machine's part of the records has to change, tasks aside.
func (c *Controller) machineRecordChanges(machine *storage.Machine, worker *workerState) bool {
	if c.needsTokenRaise(machine, worker) || worker.terminated && machine.Returning || worker.unhealthy && !machine.Unhealthy {
		return true
	}
	update := c.workers.pendingUpdates[machine.Index]
	return update != nil && update.differs(machine)
}

// needsTokenRaise tells whether the machine's fencing token must be raised: a direct command
// under the present one may still be on its way.
func (c *Controller) needsTokenRaise(machine *storage.Machine, worker *workerState) bool {
	return worker.Uncertain > 0 && worker.Uncertain >= c.cache.FencingToken(machine)
}

// groupMachine is a machine's part of its group's record with this transaction.
func (c *Controller) groupMachine(planned *plannedTxn, machine *storage.Machine) storage.GroupMachine {
	tasks, changed := planned.tasksOf(machine)
	entry := c.cache.GroupMachineOf(machine, tasks)
	worker := c.workers.states[machine.Index]
	if worker == nil {
		return entry
	}
	// That a machine is unhealthy goes into its record, for whichever controller owns it next.
	entry.Unhealthy = machine.Unhealthy || worker.unhealthy
	if changed || len(machine.Tasks) == 0 {
		// The incarnation may change only together with the tasks that a newer one has lost.
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

// maxListedCompletions is how many completed tasks a group's record may list before some of them
// are moved into their jobs' own records.
const maxListedCompletions = 300

// foldCompletions moves completed tasks from groups that list too many into their jobs' own
// records, one record a group and transaction.
func (c *Controller) foldCompletions(planned *plannedTxn) {
	limit := maxListedCompletions
	if c.cache.Packed() {
		limit = min(limit, c.valueLimit()/4/packedSizes.completedTask)
	}
	for _, update := range planned.groups {
		if len(update.completedTasks) <= limit || planned.full() {
			continue
		}
		most, key := c.largestFold(planned, update.completedTasks)
		if key == "" {
			continue
		}
		c.putCompletions(planned, most, key)
		update.completedTasks = slices.DeleteFunc(update.completedTasks, func(task storage.CompletedTask) bool { return c.foldKey(task) == key })
	}
}

// foldKey is the record that a completed task can be moved into: in the packed layout the part
// of its job's completion set, in the plain one the job's own.
func (c *Controller) foldKey(task storage.CompletedTask) string {
	if c.cache.Packed() {
		return storage.CompletionKey(task.Job.ID, task.Task)
	}
	return storage.JobKey(task.Job.ID)
}

// largestFold finds the record, of those that the transaction does not change yet, into which
// the most of the completed tasks can be moved, and one of these tasks; "": there is none.
func (c *Controller) largestFold(planned *plannedTxn, ended []storage.CompletedTask) (most storage.CompletedTask, key string) {
	count := map[string]int{}
	for _, task := range ended {
		candidate := c.foldKey(task)
		count[candidate]++
		if _, ok := planned.puts[candidate]; !ok && count[candidate] > count[key] {
			most, key = task, candidate
		}
	}
	return most, key
}

// putCompletions writes the record that a completed task is moved into.
func (c *Controller) putCompletions(planned *plannedTxn, task storage.CompletedTask, key string) {
	if !c.cache.Packed() {
		c.putJob(planned, task.Job, "")
		return
	}
	record, version := c.cache.CompletionRecordOf(task.Job, planned.progressOf(task.Job).done, task.Task)
	planned.put(key, version, protocol.Change{Put: key, Value: storage.Encode(record)})
	planned.usedOps++
}

// planDependencyFailed writes up to n final records of jobs that were cancelled with a
// dependency and, as the leader, deletes records that are needed no more.
func (c *Controller) planDependencyFailed(planned *plannedTxn, shards map[int]bool, n int) {
	for _, job := range c.cache.DependencyFailed() {
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
