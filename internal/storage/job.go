package storage

import (
	"time"

	"dykeledge/internal/protocol"
)

// Nowhere is the machine of a task that is not placed.
const Nowhere = int32(-1)

// anyZone is the zone of a job that may run in every zone.
const anyZone = -1

// Job is an accepted job. Once it is final and none of its tasks is placed,
// only its final state is kept. CPUs and accelerators are counts, memory and images in GB,
// estimates and checkpoints in seconds.
type Job struct {
	Index              int32
	ID                 string
	Team               int
	Class              int
	Shard              int
	Shape              protocol.Shape
	Priority           protocol.Priority // the highest of its own and of those of its dependents
	Tasks              int
	Cpus               float64
	Gpus               float64
	Mem                float64
	Size               float64 // of a task, in CPUs: see Cache.sizeOf
	Image              int
	ImageGB            float64
	Types              []int
	Zone               int // or anyZone, -1
	OneZone            bool
	Spread             bool
	Spot               bool
	Estimate           float64
	CheckpointInterval float64
	CheckpointCost     float64
	Deadline           time.Duration // 0: none
	OwnPriority        protocol.Priority
	// Submitted is when it was; ReadyAt is from when on its times count: its submission,
	// or the end of the last job that it depended on.
	Submitted, ReadyAt     time.Time
	FinishBy, FinishLatest time.Time // when it must be over for itself and all its dependents; zero: no such time

	Dependencies      []string // the ids of the jobs that must be done first
	unmetDependencies int      // of them, those that are not done
	DependencyFailed  bool     // cancelled with a job that it needs, its own record does not say so yet
	FinalAtMs         int64    // when it became final, in Unix milliseconds; 0: it is not, or that is unknown
	ChunkSet          string   // the name of the chunks of its description; "": its record holds it
	chunkCount        int

	Final     protocol.JobStatus // "" while open
	Done      Bitmap             // all tasks known to be completed
	SavedDone Bitmap             // those that the job's own record and its completion sets show
	DoneCount int
	Suspect   bool // failed on several machines before any of its tasks had completed
	Version   uint64
	Spec      *SpecRecord

	MachineOf   []int32  // by task: the machine whose record holds it, or Nowhere
	AttemptOf   []uint64 // by task: the attempt in that record
	PlacedCount int
	ByZone      []int32 // placed tasks by zone

	firstWaitingBound int // no task before it waits
	inChangeFeed      bool
}

// FinalState is a job's final state.
type FinalState struct {
	Status     protocol.JobStatus
	Tasks      int32 // that have completed
	RecordedMs int64 // when it was recorded, in Unix milliseconds; 0: not known
}

// MaxPerZone is how many tasks of a job that is spread may be in one zone: half, rounded up (PROTOCOL, `scatter`).
func (j *Job) MaxPerZone() int { return (j.Tasks + 1) / 2 }

// Open tells whether the job still has work to do.
func (j *Job) Open() bool { return j.Final == "" }

// Ready tells whether nothing that the job needs is left to wait for. Only the final
// record of a dependency counts: one whose tasks have all completed may still lose to a
// cancellation that is on its way, and what started after it would be too early.
func (j *Job) Ready() bool { return j.unmetDependencies == 0 && !j.DependencyFailed }

// UnmetDependencies is how many jobs it still waits for.
func (j *Job) UnmetDependencies() int { return j.unmetDependencies }

// Waiting is the number of tasks that are neither done nor placed, of a job that may start.
func (j *Job) Waiting() int {
	if !j.Open() || !j.Ready() {
		return 0
	}
	return j.Tasks - j.DoneCount - j.PlacedCount
}

// NextWaiting returns the first waiting task at or after from, or -1.
func (j *Job) NextWaiting(from int) int {
	if from <= j.firstWaitingBound {
		for j.firstWaitingBound < j.Tasks && !j.isWaiting(j.firstWaitingBound) {
			j.firstWaitingBound++
		}
		from = j.firstWaitingBound
	}
	for task := from; task < j.Tasks; task++ {
		if j.isWaiting(task) {
			return task
		}
	}
	return -1
}

func (j *Job) isWaiting(task int) bool { return !j.Done.Get(task) && j.MachineOf[task] == Nowhere }

// finalState is the final state of a job that is over.
func (j *Job) finalState() FinalState { return FinalState{j.Final, int32(j.DoneCount), j.FinalAtMs} }

// mergeCompletionSet takes in a part of the set of completed tasks.
func (j *Job) mergeCompletionSet(part int, tasks Bitmap) {
	if from := part * bytesPerCompletionSet; from < len(j.Done) {
		j.SavedDone[from:].Merge(tasks)
		j.Done[from:].Merge(tasks)
		j.DoneCount = max(j.DoneCount, j.Done.Count())
	}
}

// jobTable finds jobs by id, and keeps the final states of those that were forgotten.
type jobTable struct {
	byID        map[string]*Job
	pruned      map[string]FinalState
	freeIndices []int32
	ended       []*Job // became final since they were last taken
}

func newJobTable() *jobTable {
	return &jobTable{byID: map[string]*Job{}, pruned: map[string]FinalState{}}
}

// find returns a job that is not forgotten, or nil.
func (t *jobTable) find(id string) *Job { return t.byID[id] }

// isPruned tells whether only a job's final state is left.
func (t *jobTable) isPruned(id string) bool {
	_, ok := t.pruned[id]
	return ok
}

// recordedFinalState is a job's final state as its record has it; ok is false if it is open or unknown.
func (t *jobTable) recordedFinalState(id string) (state FinalState, ok bool) {
	if state, ok := t.pruned[id]; ok {
		return state, true
	}
	if job := t.byID[id]; job != nil && !job.Open() {
		return job.finalState(), true
	}
	return FinalState{}, false
}

// add gives a new job an index and returns the jobs by index with it.
func (t *jobTable) add(job *Job, byIndex []*Job) []*Job {
	t.byID[job.ID] = job
	if free := len(t.freeIndices); free > 0 {
		job.Index = t.freeIndices[free-1]
		t.freeIndices = t.freeIndices[:free-1]
		byIndex[job.Index] = job
		return byIndex
	}
	job.Index = int32(len(byIndex))
	return append(byIndex, job)
}

// remove frees a job's index.
func (t *jobTable) remove(job *Job, byIndex []*Job) {
	delete(t.byID, job.ID)
	byIndex[job.Index] = nil
	t.freeIndices = append(t.freeIndices, job.Index)
}

func (t *jobTable) setPruned(id string, state FinalState) { t.pruned[id] = state }

func (t *jobTable) addEnded(job *Job) { t.ended = append(t.ended, job) }

func (t *jobTable) takeEnded() []*Job {
	ended := t.ended
	t.ended = nil
	return ended
}

// Job finds an open or not yet forgotten job; nil if there is none.
func (c *Cache) Job(id string) *Job { return c.jobs.find(id) }

// FinalState returns the final state of a job and how many of its tasks have completed; "" if the
// job is open or unknown. It is cancelled as soon as one of its dependencies is, whatever its own
// record says: that one will never be done, so this one can't be either.
func (c *Cache) FinalState(id string) (protocol.JobStatus, int) {
	if state, ok := c.jobs.recordedFinalState(id); ok {
		return state.Status, int(state.Tasks)
	}
	if job := c.jobs.find(id); job != nil && job.DependencyFailed {
		return protocol.Cancelled, 0
	}
	return "", 0
}
