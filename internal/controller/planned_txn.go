package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// txnBuilder is a transaction under construction: the versions that it depends on, and the
// latest change of each key in the order in which the keys were first put.
type txnBuilder struct {
	conditions map[string]uint64
	puts       map[string]protocol.Change
	order      []string
	bytes      int // about what it takes on the wire
}

func newTxnBuilder() *txnBuilder {
	return &txnBuilder{conditions: map[string]uint64{}, puts: map[string]protocol.Change{}}
}

// require makes the transaction depend on a key's version; 0: the key does not exist.
func (b *txnBuilder) require(key string, version uint64) { b.conditions[key] = version }

// put changes a key that has a version now.
func (b *txnBuilder) put(key string, version uint64, change protocol.Change) {
	b.require(key, version)
	if _, ok := b.puts[key]; !ok {
		b.order = append(b.order, key)
	}
	b.puts[key] = change
	b.bytes += keysPerChange*len(key) + len(change.Value) + changeOverhead
}

const (
	keysPerChange  = 3  // how often a changed key stands in the transaction and its answer
	changeOverhead = 80 // bytes of names and punctuation for each change
)

// build is the transaction as it is sent.
func (b *txnBuilder) build() protocol.Txn {
	var txn protocol.Txn
	for key, version := range b.conditions {
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: version})
	}
	for _, key := range b.order {
		txn.Then = append(txn.Then, b.puts[key])
	}
	return txn
}

// plannedTxn is a transaction of this controller's shards while it is worked out.
type plannedTxn struct {
	*txnBuilder
	maxOps          int // puts and deletes that it may have
	usedOps         int // of them, those that are spoken for
	more            bool
	remaining       map[int32][]storage.PlacedTask // tasks that stay, by machine that changes
	groups          map[*storage.MachineGroup]*groupUpdate
	completed       map[*storage.Job]*progress
	removedMachines map[*storage.Fleet]map[*storage.Machine]bool // machines that leave the records
}

func newPlannedTxn(maxOps int) *plannedTxn {
	return &plannedTxn{
		txnBuilder:      newTxnBuilder(),
		maxOps:          maxOps,
		remaining:       map[int32][]storage.PlacedTask{},
		groups:          map[*storage.MachineGroup]*groupUpdate{},
		completed:       map[*storage.Job]*progress{},
		removedMachines: map[*storage.Fleet]map[*storage.Machine]bool{},
	}
}

// groupUpdate is what changes of a machine group's record, machines aside.
type groupUpdate struct {
	completedTasks []storage.CompletedTask // that the record lists
}

// progress is how far a job is with a transaction.
type progress struct {
	done      storage.Bitmap
	doneCount int // tasks in done
}

// opsLeft is how many more puts and deletes the transaction may have.
func (t *plannedTxn) opsLeft() int { return t.maxOps - t.usedOps }

// full tells whether the transaction has all the puts and deletes that it may have.
func (t *plannedTxn) full() bool { return t.usedOps >= t.maxOps }

// includeGroup makes a machine includeGroup part of the transaction; nil: there is no capacity left for it.
func (t *plannedTxn) includeGroup(group *storage.MachineGroup) *groupUpdate {
	update := t.groups[group]
	if update == nil && !t.full() {
		update = &groupUpdate{completedTasks: group.UnsavedCompletions()}
		t.groups[group] = update
		t.usedOps++
	}
	return update
}

// removeMachine takes a machine out of its fleet's record.
func (t *plannedTxn) removeMachine(machine *storage.Machine) {
	if t.removedMachines[machine.Fleet] == nil {
		t.removedMachines[machine.Fleet] = map[*storage.Machine]bool{}
		t.usedOps++
	}
	t.removedMachines[machine.Fleet][machine] = true
}

// tasksOf are a machine's tasks with this transaction; changed: they are not those of its record.
func (t *plannedTxn) tasksOf(machine *storage.Machine) (tasks []storage.PlacedTask, changed bool) {
	if tasks, changed = t.remaining[machine.Index]; changed {
		return tasks, true
	}
	return machine.Tasks, false
}

// addCompletion notes that a task has completed.
func (t *plannedTxn) addCompletion(update *groupUpdate, placed storage.PlacedTask) {
	// A service's replicas run until it is cancelled: one that ends is started again.
	if !placed.Job.Open() || placed.Job.Shape != protocol.Batch || placed.Job.Done.Get(placed.Task) {
		return
	}
	job := t.completed[placed.Job]
	if job == nil {
		job = &progress{placed.Job.Done.Clone(), placed.Job.DoneCount}
		t.completed[placed.Job] = job
	}
	if job.done.Get(placed.Task) {
		return
	}
	job.done.Set(placed.Task)
	job.doneCount++
	update.completedTasks = append(update.completedTasks, storage.CompletedTask{Job: placed.Job, Task: placed.Task})
}

// progressOf is how far a job is with this transaction.
func (t *plannedTxn) progressOf(job *storage.Job) progress {
	if changed := t.completed[job]; changed != nil {
		return *changed
	}
	return progress{job.Done, job.DoneCount}
}

// putJob writes a job's record; final is "" while it is open.
func (c *Controller) putJob(planned *plannedTxn, job *storage.Job, final protocol.JobStatus) {
	key := storage.JobKey(job.ID)
	record := c.finalRecord(job, planned.progressOf(job), final)
	planned.put(key, job.Version, protocol.Change{Put: key, Value: storage.Encode(record)})
	planned.usedOps++
}

// finalRecord is a job's record, with when it ended if it is final: the times of its dependents
// count from there, and so does the deadline by which cancelled tasks must be gone.
func (c *Controller) finalRecord(job *storage.Job, reached progress, final protocol.JobStatus) *storage.JobRecord {
	record := c.cache.JobRecordOf(job, reached.done, reached.doneCount, final)
	if final != "" && c.cache.Packed() {
		record.FinalAtMs = time.Now().UnixMilli()
	}
	return record
}
