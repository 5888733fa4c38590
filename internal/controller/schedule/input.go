package schedule

import (
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// Slot is a machine that may take tasks, with its free capacity. A pass changes the slots that it
// places tasks on.
type Slot struct {
	Machine        *storage.Machine
	Free           storage.Usage  // what no task uses: CPUs, accelerators, GB of memory
	Images         []int          // images that it has
	FetchingImages []int          // images that it is fetching
	FetchDoneS     float64        // seconds until it has the images that it is fetching
	FetchGBs       float64        // fetch rate in GB a second; 0: fetches take no time
	Risk           float64        // seconds that a placement here is expected to cost, all told
	Rank           float64        // from 0 to below 1, by price and then by name
	Reservations   []Reservation  // capacity that is reserved for certain jobs
	Fragile        int            // tasks on it that stand to lose much if it is taken
	BootS          float64        // estimated seconds until it is up; 0: it is up
	Preemptible    storage.Usage  // what its tasks use that top-priority work may preempt
	PerGpu         float64        // CPUs for each of its accelerators; 0: it has none
	Record         *GroupCapacity // the record that lists its tasks, shared with other machines
	index          int32          // its index in Input.Slots
}

// GroupCapacity is a group's record in the state service, which several slots share. A transaction
// rewrites only so many records, and a record lists only so many tasks.
type GroupCapacity struct {
	Touched bool // it is rewritten in this transaction anyway
	Free    int  // how many more tasks it can list
}

// Reservation is capacity on a machine that a preemption freed for a job.
type Reservation struct {
	Job   *storage.Job
	Slots int // tasks of the job that the capacity is for
}

// Input is what a placement pass decides on. The pass changes Slots, Booting, Used, Queues and
// Records. Function fields are called many times a pass, always for one of Jobs, and must give the
// same answer throughout it.
type Input struct {
	Now      time.Time
	Slots    []*Slot
	Booting  []*Slot // machines that are starting: tasks may wait for them, none is placed there
	Jobs     []*storage.Job
	Teams    []config.Team
	Used     []storage.Usage // by team, on all shards
	Capacity storage.Usage   // of all machines, for the teams' dominant shares
	// TimeAllowed tells how long after Job.ReadyAt a job should be done, 0 if it has no deadline,
	// and whether it has missed its deadline already. nil: no job has one.
	TimeAllowed func(*storage.Job) (d time.Duration, late bool)
	// MustBegin tells whether a job has waited so long without a placed task that one of its tasks
	// goes first, in an overloaded class queue. nil: no job has.
	MustBegin func(*storage.Job) bool
	// Overdue tells whether a job has waited so long past its deadline that it may use the part of an
	// overloaded class queue's capacity that is set aside for such jobs. nil: no job has.
	Overdue func(*storage.Job) bool
	// Queues are the states of the class queues; what a pass places is added to their Used.
	Queues QueueStates
	// Overloaded tells that more work waits than the machines can do in time, so that the floors of
	// class queues count.
	Overloaded bool
	// Hold tells whether a job must not start tasks in this pass. nil: none is held.
	Hold func(*storage.Job) bool
	// MayPreempt tells whether a job may wait for best-effort work to be preempted where it would
	// start sooner than on free capacity. nil: none may.
	MayPreempt func(*storage.Job) bool
	// MaxTasks tells how many of a job's tasks may be placed in this pass, at least 1. nil: all.
	MaxTasks func(*storage.Job) int
	// OnDemandWeight is what it costs, in seconds, to put work that may use a spot machine on an
	// on-demand one.
	OnDemandWeight float64
	// Records is how many more group records the transaction may rewrite.
	Records int
	// Tasks is how many tasks may be placed at most.
	Tasks int
	// Scratch is memory that one pass leaves to the next. nil: the pass makes its own.
	Scratch *Scratch
}

// Scratch is memory that passes use one after the other, so that they need not allocate it.
type Scratch struct{ cursors []jobCursor }

// Placement puts a task on a machine.
type Placement struct {
	Job  *storage.Job
	Task int
	Slot *Slot
}

// Result is what a pass decided.
type Result struct {
	Placed []Placement
	// More tells that a bound (records, tasks) ended the pass early: another could place more.
	More bool
	// Short counts by job the tasks that found no free capacity, and those that wait for capacity to
	// be preempted because they start sooner there.
	Short map[*storage.Job]int
	// Scans counts how often all slots were looked at.
	Scans int
}
