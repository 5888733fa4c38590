package storage

import (
	"time"

	"dykeledge/internal/protocol"
)

// NotPlaced is the machine index of a task that is not placed.
const NotPlaced = int32(-1)

// anyZone is the zone index of a job that may run in any zone.
const anyZone = -1

// Job is an accepted job. Once it is final and none of its tasks is placed, only its final state is
// kept. Cpus and Gpus are counts per task, memory and image sizes are in GB, the estimate and the
// checkpoint interval and cost are in seconds.
type Job struct {
	Index              int32
	ID                 string
	Team               int
	Class              int
	Shard              int
	Shape              protocol.Shape
	Priority           protocol.Priority // the highest of OwnPriority and the dependents' priorities
	Tasks              int
	Cpus               float64
	Gpus               float64
	Mem                float64
	TaskSize           float64 // of one task, in CPUs; see Cache.sizeOf
	Image              int
	ImageGB            float64
	Types              []int
	Zone               int // zone index, or anyZone (-1)
	OneZone            bool
	Spread             bool
	Spot               bool
	Estimate           float64
	CheckpointInterval float64
	CheckpointCost     float64
	Deadline           time.Duration // 0: none
	OwnPriority        protocol.Priority
	// Submitted is the time of submission. ReadyAt is the time from which waiting is measured: the
	// submission, or the end of the dependency that ended last.
	Submitted, ReadyAt time.Time
	// TargetFinish and LatestFinish are the times at which the job must finish so that it and all its
	// dependents meet their deadlines, or at least finish at the latest acceptable time; zero: none.
	TargetFinish, LatestFinish time.Time

	Dependencies      []string // the ids of the jobs that must be done first
	unmetDependencies int      // the number of dependencies that are not done
	DependencyFailed  bool     // cancelled because of a dependency; its own record may not show it yet
	FinalAtMs         int64    // when the job became final, in Unix milliseconds; 0: still open, or unknown
	ChunkSet          string   // the attempt that wrote the description's chunks; "": not chunked
	chunkCount        int

	Final     protocol.JobStatus // "" while open
	Done      Bitmap             // all completed tasks, from the job's, its completion sets' and the groups' records
	SavedDone Bitmap             // the completed tasks in the job's own record and its completion sets
	DoneCount int
	Suspect   bool // failed on several machines before any of its tasks completed
	Version   uint64
	Spec      *SpecRecord

	MachineOf    []int32  // by task: the index of the machine that it is placed on, or NotPlaced
	AttemptOf    []uint64 // by task: the placed attempt; 0 if not placed
	PlacedCount  int
	PlacedByZone []int32 // number of placed tasks, by zone index

	firstWaitingBound int // lower bound of the waiting tasks' numbers
	inChangeFeed      bool
}

// FinalState is a job's final state.
type FinalState struct {
	Status     protocol.JobStatus
	Tasks      int32 // number of completed tasks
	RecordedMs int64 // when the final state was recorded, in Unix milliseconds; 0: unknown
}

// MaxPerZone returns the maximum number of tasks of a spread job in one zone: half of its tasks,
// rounded up (see `scatter` in the protocol).
func (j *Job) MaxPerZone() int { return (j.Tasks + 1) / 2 }

// Open reports whether the job has no final state yet.
func (j *Job) Open() bool { return j.Final == "" }

// Ready reports whether all the job's dependencies are done. Only a dependency's final record counts:
// a job whose tasks have all completed may still become cancelled by a concurrent request, and its
// dependents would then have started wrongly.
func (j *Job) Ready() bool { return j.unmetDependencies == 0 && !j.DependencyFailed }

// UnmetDependencies returns the number of jobs that the job still waits for.
func (j *Job) UnmetDependencies() int { return j.unmetDependencies }

// Waiting returns the number of tasks that are neither completed nor placed; 0 if the job is final or
// not ready.
func (j *Job) Waiting() int {
	if !j.Open() || !j.Ready() {
		return 0
	}
	return j.Tasks - j.DoneCount - j.PlacedCount
}

// NextWaiting returns the number of the first waiting task that is not below from, or -1.
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

func (j *Job) isWaiting(task int) bool { return !j.Done.Get(task) && j.MachineOf[task] == NotPlaced }

// finalState returns the final state of a job that is final.
func (j *Job) finalState() FinalState { return FinalState{j.Final, int32(j.DoneCount), j.FinalAtMs} }

// mergeCompletionSet adds the tasks of one completion set to the job's completed tasks.
func (j *Job) mergeCompletionSet(part int, tasks Bitmap) {
	if from := part * bytesPerCompletionSet; from < len(j.Done) {
		j.SavedDone[from:].Merge(tasks)
		j.Done[from:].Merge(tasks)
		j.DoneCount = max(j.DoneCount, j.Done.Count())
	}
}

// jobTable indexes jobs by id and holds the final states of pruned jobs.
type jobTable struct {
	byID        map[string]*Job
	pruned      map[string]FinalState
	freeIndices []int32
	ended       []*Job // jobs that became final since takeEnded was last called
}

func newJobTable() *jobTable {
	return &jobTable{byID: map[string]*Job{}, pruned: map[string]FinalState{}}
}

// find returns a job that is not pruned, or nil.
func (t *jobTable) find(id string) *Job { return t.byID[id] }

// isPruned reports whether only the final state of a job is kept.
func (t *jobTable) isPruned(id string) bool {
	_, ok := t.pruned[id]
	return ok
}

// recordedFinalState returns the final state in a job's record; ok is false if the job is open or
// unknown.
func (t *jobTable) recordedFinalState(id string) (state FinalState, ok bool) {
	if state, ok := t.pruned[id]; ok {
		return state, true
	}
	if job := t.byID[id]; job != nil && !job.Open() {
		return job.finalState(), true
	}
	return FinalState{}, false
}

// add assigns an index to a new job and returns byIndex with the job added.
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

// remove removes a job and frees its index.
func (t *jobTable) remove(job *Job, byIndex []*Job) {
	delete(t.byID, job.ID)
	byIndex[job.Index] = nil
	t.freeIndices = append(t.freeIndices, job.Index)
}

// restore makes a pruned job's id available for a job again.
func (t *jobTable) restore(id string) { delete(t.pruned, id) }

func (t *jobTable) setPruned(id string, state FinalState) { t.pruned[id] = state }

func (t *jobTable) addEnded(job *Job) { t.ended = append(t.ended, job) }

func (t *jobTable) takeEnded() []*Job {
	ended := t.ended
	t.ended = nil
	return ended
}

// Job returns a job that is open or not pruned yet; nil if there is none.
func (c *Cache) Job(id string) *Job { return c.jobs.find(id) }

// FinalState returns a job's final state and its number of completed tasks; "" if the job is open or
// unknown. An open job counts as cancelled as soon as one of its dependencies is cancelled, before
// its own record shows it: the dependency will never be done, so the job can never run.
func (c *Cache) FinalState(id string) (protocol.JobStatus, int) {
	if state, ok := c.jobs.recordedFinalState(id); ok {
		return state.Status, int(state.Tasks)
	}
	if job := c.jobs.find(id); job != nil && job.DependencyFailed {
		return protocol.Cancelled, 0
	}
	return "", 0
}
