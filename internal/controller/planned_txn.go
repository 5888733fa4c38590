package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// txnBuilder builds a transaction. It holds the key versions that the transaction depends on and
// the latest change of each key, in the order in which the keys were first changed.
type txnBuilder struct {
	conditions map[string]uint64
	puts       map[string]protocol.Change
	order      []string
	bytes      int // estimated encoded size of the changes
}

func newTxnBuilder() *txnBuilder {
	return &txnBuilder{conditions: map[string]uint64{}, puts: map[string]protocol.Change{}}
}

// require makes the transaction depend on a key's version. Version 0 means that the key must not
// exist.
func (b *txnBuilder) require(key string, version uint64) { b.conditions[key] = version }

// put adds a change of a key, on the condition that the key still has the given version.
func (b *txnBuilder) put(key string, version uint64, change protocol.Change) {
	b.require(key, version)
	if _, ok := b.puts[key]; !ok {
		b.order = append(b.order, key)
	}
	b.puts[key] = change
	b.bytes += keysPerChange*len(key) + len(change.Value) + changeOverhead
}

const (
	keysPerChange  = 3  // occurrences of a changed key in the transaction and its response
	changeOverhead = 80 // bytes of field names and punctuation for each change
)

// build returns the transaction in the form in which it is sent.
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

// plannedTxn is the transaction that a planning pass builds for this controller's shards.
type plannedTxn struct {
	*txnBuilder
	maxOps          int // limit on puts and deletes
	usedOps         int // puts and deletes already allotted
	more            bool
	remaining       map[int32][]storage.PlacedTask // tasks after this transaction, by index of each changed machine
	groups          map[*storage.MachineGroup]*groupUpdate
	completed       map[*storage.Job]*progress
	removedMachines map[*storage.Fleet]map[*storage.Machine]bool // machines to remove from their fleets' records
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

// groupUpdate holds what changes in a machine group's record apart from its machines.
type groupUpdate struct {
	completedTasks []storage.CompletedTask // completed tasks that the record will list
}

// progress holds a job's completed tasks as of a transaction.
type progress struct {
	done      storage.Bitmap
	doneCount int // number of tasks in done
}

// opsLeft returns the number of puts and deletes that can still be added.
func (t *plannedTxn) opsLeft() int { return t.maxOps - t.usedOps }

// full reports whether the limit on puts and deletes is reached.
func (t *plannedTxn) full() bool { return t.usedOps >= t.maxOps }

// group adds a machine group's record to the transaction. It returns nil if the transaction
// is full.
func (t *plannedTxn) group(group *storage.MachineGroup) *groupUpdate {
	update := t.groups[group]
	if update == nil && !t.full() {
		update = &groupUpdate{completedTasks: group.UnsavedCompletions()}
		t.groups[group] = update
		t.usedOps++
	}
	return update
}

// conditionsWith returns the number of conditions of the transaction, apart from those on shards, once it
// places a task of the job. The records of groups and fleets are put, with their conditions, at the end.
func (t *plannedTxn) conditionsWith(job *storage.Job) int {
	count := len(t.conditions) + len(t.groups) + len(t.removedMachines)
	if _, ok := t.conditions[storage.JobKey(job.ID)]; !ok {
		count++
	}
	return count
}

// removeMachine removes a machine from its fleet's record.
func (t *plannedTxn) removeMachine(machine *storage.Machine) {
	if t.removedMachines[machine.Fleet] == nil {
		t.removedMachines[machine.Fleet] = map[*storage.Machine]bool{}
		t.usedOps++
	}
	t.removedMachines[machine.Fleet][machine] = true
}

// tasksOf returns a machine's tasks as of this transaction; changed reports whether they differ
// from those in its record.
func (t *plannedTxn) tasksOf(machine *storage.Machine) (tasks []storage.PlacedTask, changed bool) {
	if tasks, changed = t.remaining[machine.Index]; changed {
		return tasks, true
	}
	return machine.Tasks, false
}

// addCompletion records that a task has completed.
func (t *plannedTxn) addCompletion(update *groupUpdate, placed storage.PlacedTask) {
	// A service's replicas run until the service is cancelled: one that ends is started again.
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

// progressOf returns a job's completed tasks as of this transaction.
func (t *plannedTxn) progressOf(job *storage.Job) progress {
	if changed := t.completed[job]; changed != nil {
		return *changed
	}
	return progress{job.Done, job.DoneCount}
}

// putJob adds a job's record to the transaction. final is the job's final status, or "" while the
// job is open.
func (c *Controller) putJob(planned *plannedTxn, job *storage.Job, final protocol.JobStatus) {
	key := storage.JobKey(job.ID)
	record := c.finalRecord(job, planned.progressOf(job), final)
	planned.put(key, job.Version, protocol.Change{Put: key, Value: storage.Encode(record)})
	planned.usedOps++
}

// finalRecord returns a job's record. In the packed layout, a final record holds the time at which
// the job ended: its dependents' waiting times count from then, and so does the deadline by which
// cancelled tasks must have ended.
func (c *Controller) finalRecord(job *storage.Job, reached progress, final protocol.JobStatus) *storage.JobRecord {
	record := c.cache.JobRecordOf(job, reached.done, reached.doneCount, final)
	if final != "" && c.cache.Packed() {
		record.FinalAtMs = time.Now().UnixMilli()
	}
	return record
}
