package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file tells faulty machines from faulty jobs: a job with a mistake fails on every machine, a
// faulty machine fails every job.

const (
	// machineFailures is how many failures since its last success make a machine suspect.
	machineFailures = 2
	// jobFailures is how many machines a job must fail on to be taken for faulty.
	jobFailures = 3
	// failureSettles is how long a failure must be past to count against its machine: a faulty job
	// shows on other machines meanwhile.
	failureSettles = 2 * time.Second
	// maxBackoff bounds how long a suspect job's next try is put off, maxBackoffDoublings how often
	// that time, a second at first, is doubled.
	maxBackoff          = time.Minute
	maxBackoffDoublings = 6
	// steady is how long a replica must have run for its service to be sound.
	steady = time.Minute
	// maxRecentFailures is how many failures count at most when machines are compared.
	maxRecentFailures = 4
)

// failing is what a machine has failed of one job since it last completed anything.
type failing struct {
	n     int
	waves int // tries of the job that failed here
	since time.Time
}

// noteFailure takes in that an attempt failed by itself: by its machine's fault or by its job's,
// which only others can tell.
func (c *Controller) noteFailure(machine *storage.Machine, worker *workerState, job *storage.Job, now time.Time) {
	state := c.jobState(job)
	history := worker.failures[job]
	if history == nil {
		history = &failing{since: now}
		worker.failures[job] = history
	}
	history.n++
	state.failures++
	if !worker.unhealthy && !machine.Unhealthy {
		state.failedOn[machine.Index] = true
	}
	if now.Before(state.backoff) {
		return // of the same wave
	}
	history.waves++
	if state.failures >= jobFailures {
		state.suspectTries++
		state.backoff = now.Add(backoffAfter(state.suspectTries))
		c.log.Info("job fails", "job", job.ID, "failures", state.failures, "machines", len(state.failedOn), "suspect", c.suspect(job))
	}
}

// backoffAfter is how long a suspect job's next try is put off after some tries.
func backoffAfter(tries int) time.Duration {
	return min(maxBackoff, time.Second<<min(tries, maxBackoffDoublings))
}

// noteSuccess clears a machine and a job of suspicion.
func (c *Controller) noteSuccess(v *workerState, j *storage.Job) {
	clear(v.failures)
	c.jobState(j).clearSuspicion()
}

func (s *jobState) clearSuspicion() {
	s.failures, s.suspectTries = 0, 0
	clear(s.failedOn)
}

// noteSteady clears a service of suspicion once a replica has run for a while: its replicas never
// complete.
func (c *Controller) noteSteady(v *workerState, j *storage.Job, ran time.Duration) {
	if j.Shape != protocol.Service || ran < steady || len(v.failures) == 0 && c.jobStates[j] == nil {
		return
	}
	if state := c.jobState(j); len(state.failedOn) > 0 || v.failures[j] != nil {
		state.clearSuspicion()
		delete(v.failures, j)
	}
}

// suspect tells whether a job seems to fail wherever it runs: on several machines that are not
// known to be unhealthy, without a success. From then on it runs one task at a time, and nothing is
// preempted, provisioned or moved for it, nor is a machine blamed for it.
func (c *Controller) suspect(j *storage.Job) bool {
	if j.DoneCount > 0 {
		return false
	}
	if j.Suspect {
		return true
	}
	state := c.jobStates[j]
	return state != nil && len(state.failedOn) >= jobFailures
}

// probing tells whether a suspect job's one task is placed already.
func (c *Controller) probing(j *storage.Job) bool { return c.suspect(j) && j.PlacedCount > 0 }

// wantedTasks is how many of a job's waiting tasks are worth capacity now.
func (c *Controller) wantedTasks(j *storage.Job) int {
	waiting := j.Waiting()
	if waiting > 0 && c.suspect(j) {
		return min(waiting, max(0, 1-j.PlacedCount))
	}
	return waiting
}

// noteSuspects records for other controllers which jobs seem to be faulty: the leader scales out for
// them, and the shard's next owner would start all of their tasks again.
func (c *Controller) noteSuspects(planned *plannedTxn) {
	for job, state := range c.jobStates {
		if len(state.failedOn) < jobFailures || job.Suspect || job.Shape == protocol.Service || !job.Open() || job.DoneCount > 0 || planned.usedOps >= planned.maxOps {
			continue
		}
		key := storage.JobKey(job.ID)
		if _, ok := planned.puts[key]; ok || planned.completed[job] != nil {
			continue
		}
		record := c.cache.JobRecordOf(job, job.Done, job.DoneCount, "")
		record.Suspect = true
		planned.put(key, job.Version, protocol.Change{Put: key, Value: storage.Encode(record)})
		planned.usedOps++
	}
}

// blame is what speaks against a machine: failures of jobs that do not fail everywhere.
type blame struct {
	failures, jobs int
	proved         bool // by a job that is known to be sound, or that this machine failed again and again
}

// convincing tells whether the machine is at fault: one job alone can't tell unless it is proved.
func (b blame) convincing() bool {
	return b.failures >= machineFailures && (b.jobs > 1 || b.proved)
}

// blameOf is what speaks against a machine by now.
func (c *Controller) blameOf(worker *workerState, now time.Time) blame {
	var b blame
	for job, history := range worker.failures {
		if c.suspect(job) || now.Sub(history.since) < failureSettles {
			continue
		}
		b.failures += history.n
		b.jobs++
		// Machines that have not failed a job are preferred: one that has it again and again is the
		// only one it has, and a job alone cannot tell.
		b.proved = b.proved || job.DoneCount > 0 || history.waves > jobFailures
	}
	return b
}

// judgeHealth finds out whether a machine fails its tasks. A job that completes elsewhere, or
// another job that does not fail elsewhere, tells.
func (c *Controller) judgeHealth(machine *storage.Machine, worker *workerState, now time.Time) {
	if worker.unhealthy || len(worker.failures) == 0 {
		return
	}
	b := c.blameOf(worker, now)
	if !b.convincing() {
		return
	}
	c.log.Info("machine fails its tasks, marked unhealthy", "machine", machine.Name, "failures", b.failures, "jobs", b.jobs)
	worker.unhealthy = true
	for job := range worker.failures {
		delete(c.jobState(job).failedOn, machine.Index) // that was not the job's fault
	}
}

// failedRecently counts a machine's failures that may be its own, at most a few.
func (c *Controller) failedRecently(v *workerState) float64 {
	failures := 0
	for job, history := range v.failures {
		if !c.suspect(job) {
			failures += history.n
		}
	}
	return float64(min(failures, maxRecentFailures))
}
