package schedule

import (
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// Slot is a machine on which tasks may be placed, with its free capacity. A pass updates the slots on which
// it places tasks.
type Slot struct {
	Machine         *storage.Machine
	Free            storage.Usage  // not used by any task: CPUs, accelerators, memory in GB
	Images          []int          // images that the machine has cached
	FetchingImages  []int          // images that it is fetching
	FetchRemainingS float64        // seconds until all of FetchingImages are fetched
	FetchGBs        float64        // fetch rate in GB per second; 0: fetches take no time
	RiskS           float64        // expected cost in seconds of the machine's failures and slowness for a placement
	PriceRank       float64        // position by price and then by name, from 0 to below 1
	Reservations    []Reservation  // capacity reserved for particular jobs
	FragileTasks    int            // fragile tasks on it, see AddFragile
	BootRemainingS  float64        // estimated seconds until it has booted; 0: it has
	Preemptible     storage.Usage  // used by tasks that top-priority work may preempt
	CpusPerGpu      float64        // CPUs per accelerator of the machine; 0: it has no accelerators
	Record          *GroupCapacity // the record that lists its tasks, shared with other machines
	index           int32          // index in Input.Slots
}

// GroupCapacity is the remaining capacity of a machine group's record in the state service, which several
// slots share. A transaction can rewrite a limited number of records, and a record can list a limited
// number of tasks.
type GroupCapacity struct {
	Rewritten bool // the transaction rewrites it already
	Free      int  // how many more tasks it can list
}

// Reservation is capacity of a machine that a preemption freed for a job.
type Reservation struct {
	Job   *storage.Job
	Slots int // number of the job's tasks that the capacity is for
}

// Input is the input of a placement pass. The pass changes Slots, Booting, Used, Queues and RecordBudget.
// Function fields are called many times in a pass, always for one of Jobs, and must give the same answer
// throughout it.
type Input struct {
	Now      time.Time
	Slots    []*Slot
	Booting  []*Slot // booting machines: tasks may wait for them, none is placed there
	Jobs     []*storage.Job
	Teams    []config.Team
	Used     []storage.Usage // by team, on all shards
	Capacity storage.Usage   // of all machines of the shards in this pass, for the teams' dominant shares
	// TimeAllowed returns how long after Job.ReadyAt a job should be done, 0 if it has no deadline, and
	// whether it has already missed its deadline. nil: no job has one.
	TimeAllowed func(*storage.Job) (d time.Duration, late bool)
	// Starving reports whether a job has waited so long without a placed task that, in an overloaded
	// class queue, one of its tasks goes first. nil: no job has.
	Starving func(*storage.Job) bool
	// Overdue reports whether a job has waited so long past its deadline that it may use the fraction of
	// an overloaded class queue's capacity that is set aside for such jobs. nil: no job has.
	Overdue func(*storage.Job) bool
	// Queues holds the states of the class queues; a pass adds the tasks that it places to their Used.
	Queues QueueStates
	// Overloaded is true if more work waits than the machines can complete by the jobs' deadlines, so that
	// the floors of class queues apply.
	Overloaded bool
	// Held reports whether a job must not start tasks in this pass. nil: none is held.
	Held func(*storage.Job) bool
	// MayPreempt reports whether a job may wait until best-effort work is preempted for it where it
	// would start sooner than on free capacity. nil: none may.
	MayPreempt func(*storage.Job) bool
	// MaxTasksOf returns how many of a job's tasks may be placed in this pass, at least 1. nil: all.
	MaxTasksOf func(*storage.Job) int
	// OnDemandCostS is the cost, in seconds, of placing work that may use a spot machine on an
	// on-demand one.
	OnDemandCostS float64
	// RecordBudget is how many more group records the transaction may rewrite.
	RecordBudget int
	// Tasks is the maximum number of tasks to place.
	Tasks int
	// Scratch is memory that is reused from pass to pass. nil: the pass allocates its own.
	Scratch *Scratch
}

// Scratch is memory that successive passes reuse to avoid allocations.
type Scratch struct{ cursors []jobCursor }

// Placement assigns a task to a machine.
type Placement struct {
	Job  *storage.Job
	Task int
	Slot *Slot
}

// Result holds the decisions of a pass.
type Result struct {
	Placed []Placement
	// Incomplete is true if RecordBudget or Input.Tasks kept tasks from being placed: another pass could
	// place more.
	Incomplete bool
	// UnplacedTasks holds, by job, the number of tasks that found no free capacity or that wait for capacity to
	// be preempted because they start sooner there.
	UnplacedTasks map[*storage.Job]int
	// Scans counts how often all slots were scanned.
	Scans int
}
