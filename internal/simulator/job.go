package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// Job is a submitted job and the simulated state of its tasks.
type Job struct {
	Spec              map[string]any
	ID, Team          string
	Class             string
	SubmittedAt       time.Time // when it was first submitted
	Tasks             int
	RunTime           time.Duration // run time of each task, unless taskRunTimes has its own
	Cpus              float64
	Spot              bool
	AlwaysFails       bool                  // its tasks fail on every machine
	FailsOnce         bool                  // the first attempt of each of its tasks fails
	failed            map[int]bool          // by task: whether an attempt of it has failed
	done              map[int]bool          // by task: whether it has completed
	startedAttempts   map[[2]uint64]bool    // by task and attempt
	savedProgress     map[int]time.Duration // by task: the run time that its latest checkpoint covers
	runningOn         map[int]*Machine      // by task: the machine that it runs on
	cancelConfirmedAt time.Time             // when the cancellation was confirmed to its user; zero: it was not
	reportedStatus    protocol.JobStatus    // the status that its user was last told
	accepted          bool                  // a state of the job has been reported to its user
	lastDone          time.Time             // when its latest task completed
	dependencies      []*Job
	cancelRequested   bool // its user has requested the cancellation
	taskRunTimes      []time.Duration
	lastAnswered      time.Time // when its user last got an answer
}

// failsNext reports whether an attempt of a task that runs now fails on any machine.
func (j *Job) failsNext(task int) bool { return j.AlwaysFails || j.FailsOnce && !j.failed[task] }

// noteFailure records that an attempt of a task has failed.
func (j *Job) noteFailure(task int) {
	if j.failed == nil {
		j.failed = map[int]bool{}
	}
	j.failed[task] = true
}

// specNumber returns a number of the job's specification, or 0 if it has none under that name.
func (j *Job) specNumber(name string) float64 {
	v, _ := j.Spec[name].(float64)
	return v
}

// taskRunTime returns how long a task runs.
func (j *Job) taskRunTime(task int) time.Duration {
	if task < len(j.taskRunTimes) {
		return j.taskRunTimes[task]
	}
	return j.RunTime
}

// saveProgress adds the run time of an attempt to the progress that the task's checkpoint covers.
func (j *Job) saveProgress(t *taskAttempt, ran time.Duration, speed float64) {
	if ran > 0 && j.savedProgress != nil {
		j.savedProgress[t.index] = min(j.taskRunTime(t.index), j.savedProgress[t.index]+time.Duration(float64(ran)*speed))
	}
}

// resources are the needs of a task or the capacity of a machine. Memory is in GB.
type resources struct{ cpus, gpus, mem float64 }

// needs returns the resources that each task of the job needs.
func (j *Job) needs() resources {
	return resources{j.Cpus, j.specNumber("accelerators"), j.specNumber("ramGb")}
}

func (r resources) minus(other resources) resources {
	return resources{r.cpus - other.cpus, r.gpus - other.gpus, r.mem - other.mem}
}

// atLeast reports whether each amount is at least a number.
func (r resources) atLeast(least float64) bool {
	return r.cpus >= least && r.gpus >= least && r.mem >= least
}

// hasCancelledDependency reports whether a user has requested to cancel a direct or indirect dependency of the job,
// and returns when the first such cancellation was confirmed; zero: none was.
func (j *Job) hasCancelledDependency() (requested bool, confirmedAt time.Time) {
	for _, dependency := range j.dependencies {
		dependencyRequested, dependencyConfirmedAt := dependency.hasCancelledDependency()
		requested = requested || dependencyRequested || dependency.cancelRequested
		for _, at := range []time.Time{dependencyConfirmedAt, dependency.cancelConfirmedAt} {
			if !at.IsZero() && (confirmedAt.IsZero() || at.Before(confirmedAt)) {
				confirmedAt = at
			}
		}
	}
	return requested, confirmedAt
}

// isWaiting reports whether the job is accepted, all its dependencies are done, and it has tasks that neither run
// nor are done. Cancelled and finished jobs do not wait.
func (j *Job) isWaiting() bool {
	if !j.accepted || j.cancelRequested || j.reportedStatus.Final() || len(j.runningOn)+len(j.done) >= j.Tasks {
		return false
	}
	for _, dependency := range j.dependencies {
		if len(dependency.done) != dependency.Tasks {
			return false
		}
	}
	return true
}
