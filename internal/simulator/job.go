package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// Job is a submitted job and what really became of it.
type Job struct {
	Spec              map[string]any
	ID, Team          string
	Class             string
	At                time.Time // first submitted
	Tasks             int
	Run               time.Duration
	Cpus              float64
	Spot              bool
	Broken            bool // fails on every machine
	done              map[int]bool
	startedAttempts   map[[2]uint64]bool    // by task and attempt
	savedProgress     map[int]time.Duration // by task: progress in its checkpoint
	on                map[int]*Machine
	cancelConfirmedAt time.Time // when its user was told
	reportedStatus    protocol.JobStatus
	accepted          bool
	lastDone          time.Time
	dependencies      []*Job
	cancelRequested   bool // its user has asked to cancel it
	taskRunTimes      []time.Duration
	lastAnswered      time.Time // when its user last had an answer
}

// specNumber is an amount of the job's description.
func (j *Job) specNumber(name string) float64 {
	v, _ := j.Spec[name].(float64)
	return v
}

// taskRunTime is how long a task runs.
func (j *Job) taskRunTime(task int) time.Duration {
	if task < len(j.taskRunTimes) {
		return j.taskRunTimes[task]
	}
	return j.Run
}

// saveProgress keeps what a task has done since it began.
func (j *Job) saveProgress(t *taskAttempt, ran time.Duration, speed float64) {
	if ran > 0 && j.savedProgress != nil {
		j.savedProgress[t.index] = min(j.taskRunTime(t.index), j.savedProgress[t.index]+time.Duration(float64(ran)*speed))
	}
}

// resources are what a task takes, or what a machine has.
type resources struct{ cpus, gpus, mem float64 }

// needs is what each of the job's tasks takes.
func (j *Job) needs() resources {
	return resources{j.Cpus, j.specNumber("accelerators"), j.specNumber("ramGb")}
}

func (r resources) minus(other resources) resources {
	return resources{r.cpus - other.cpus, r.gpus - other.gpus, r.mem - other.mem}
}

// atLeast tells whether there is so much of everything.
func (r resources) atLeast(least float64) bool {
	return r.cpus >= least && r.gpus >= least && r.mem >= least
}

// hasCancelledDependency tells whether a user has asked to cancel a job that this one needs, directly or through
// others, and since when one was told so.
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

// isWaiting tells whether the job is accepted and has tasks that neither run nor are done, though nothing that it needs
// is missing.
func (j *Job) isWaiting() bool {
	if !j.accepted || j.cancelRequested || j.reportedStatus.Final() || len(j.on)+len(j.done) >= j.Tasks {
		return false
	}
	for _, dependency := range j.dependencies {
		if len(dependency.done) != dependency.Tasks {
			return false
		}
	}
	return true
}
