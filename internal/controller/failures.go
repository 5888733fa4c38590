package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file distinguishes faulty machines from faulty jobs: a faulty job fails on every machine, and
// on a faulty machine every job fails.

const (
	// minMachineFailures is how many failures since its last success a machine must have to be unhealthy.
	minMachineFailures = 2
	// minFailedMachines is how many machines a job must fail on to be suspect. A job backs off after as many
	// failures, on whichever machines.
	minFailedMachines = 3
	// failureSettleTime is the time after the first failure of a job on a machine until its failures count
	// against the machine: meanwhile, a faulty job fails on other machines too.
	failureSettleTime = 2 * time.Second
	// maxBackoff bounds the backoff before the next try of a job that failed repeatedly. The backoff is one
	// second, doubled once for each try, but at most maxBackoffDoublings times.
	maxBackoff          = time.Minute
	maxBackoffDoublings = 6
	// steadyRunTime is how long a replica must have run to clear its service of suspicion.
	steadyRunTime = time.Minute
	// maxRecentFailures caps the failures of a machine that count when machines are compared.
	maxRecentFailures = 4
)

// jobFailureHistory holds one job's failures on a machine since a task last completed there.
type jobFailureHistory struct {
	failedAttempts int
	failedTries    int       // failed attempts that fell outside of the job's backoff
	firstFailedAt  time.Time // time of the first failure
}

// noteFailure records that an attempt failed by itself. Whether its machine or its job is at fault,
// only other jobs on the machine or other machines can show.
func (c *Controller) noteFailure(machine *storage.Machine, worker *workerState, job *storage.Job, now time.Time) {
	state := c.jobState(job)
	history := worker.failures[job]
	if history == nil {
		history = &jobFailureHistory{firstFailedAt: now}
		worker.failures[job] = history
	}
	history.failedAttempts++
	state.failures++
	if !worker.unhealthy && !machine.Unhealthy {
		state.failedMachines[machine.Index] = true
	}
	if now.Before(state.retryAt) {
		return // part of the same try: the backoff after the job's last failure has not passed
	}
	history.failedTries++
	if state.failures >= minFailedMachines {
		state.suspectAttempts++
		state.retryAt = now.Add(backoffAfter(state.suspectAttempts))
		c.log.Info("job failed repeatedly, backing off", "job", job.ID, "failures", state.failures, "machines", len(state.failedMachines), "suspect", c.suspect(job))
	}
}

// backoffAfter returns the backoff of a job that failed repeatedly; it doubles with each try.
func backoffAfter(tries int) time.Duration {
	return min(maxBackoff, time.Second<<min(tries, maxBackoffDoublings))
}

// noteSuccess clears the recorded failures of a machine and of a job after a completed attempt.
func (c *Controller) noteSuccess(worker *workerState, job *storage.Job) {
	clear(worker.failures)
	c.jobState(job).clearSuspicion()
}

// clearSuspicion clears a job's recorded failures.
func (s *jobState) clearSuspicion() {
	s.failures, s.suspectAttempts = 0, 0
	clear(s.failedMachines)
}

// noteSteadyReplica clears a service of suspicion once one of its replicas has run for steadyRunTime,
// since replicas never complete.
func (c *Controller) noteSteadyReplica(worker *workerState, job *storage.Job, ran time.Duration) {
	if job.Shape != protocol.Service || ran < steadyRunTime || len(worker.failures) == 0 && c.jobStates[job] == nil {
		return
	}
	if state := c.jobState(job); len(state.failedMachines) > 0 || worker.failures[job] != nil {
		state.clearSuspicion()
		delete(worker.failures, job)
	}
}

// suspect reports whether a job seems to be faulty: it failed on several machines that are not known
// to be unhealthy, and no task of it has completed. A suspect job runs one task at a time, nothing is
// preempted, provisioned or moved for it, and its failures do not count against machines.
func (c *Controller) suspect(job *storage.Job) bool {
	if job.DoneCount > 0 {
		return false
	}
	if job.Suspect {
		return true
	}
	state := c.jobStates[job]
	return state != nil && len(state.failedMachines) >= minFailedMachines
}

// suspectTaskPlaced reports whether a job is suspect and the one task that it may run is placed.
func (c *Controller) suspectTaskPlaced(job *storage.Job) bool {
	return c.suspect(job) && job.PlacedCount > 0
}

// wantedTasks returns how many of a job's waiting tasks should get capacity now: for a suspect job, at
// most one including those placed.
func (c *Controller) wantedTasks(job *storage.Job) int {
	waiting := job.Waiting()
	if waiting > 0 && c.suspect(job) {
		return min(waiting, max(0, 1-job.PlacedCount))
	}
	return waiting
}

// noteSuspects adds changes to a transaction that mark suspect jobs in their records. Otherwise the
// leader would scale out for them, and the shard's next owner would start all of their tasks again.
func (c *Controller) noteSuspects(planned *plannedTxn) {
	for job, state := range c.jobStates {
		if len(state.failedMachines) < minFailedMachines || job.Suspect || job.Shape == protocol.Service || !job.Open() || job.DoneCount > 0 || planned.usedOps >= planned.maxOps {
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

// machineFaultEvidence sums up the failures on a machine of jobs that are not suspect.
type machineFaultEvidence struct {
	failures, jobs int
	conclusive     bool // one of the jobs has completed a task, or failed on this machine again and again
}

// provesFault reports whether the machine is at fault. The failures of a single job do not show that
// unless conclusive is set.
func (b machineFaultEvidence) provesFault() bool {
	return b.failures >= minMachineFailures && (b.jobs > 1 || b.conclusive)
}

// faultEvidenceOf returns the failures that count against a machine at the time now.
func (c *Controller) faultEvidenceOf(worker *workerState, now time.Time) machineFaultEvidence {
	var evidence machineFaultEvidence
	for job, history := range worker.failures {
		if c.suspect(job) || now.Sub(history.firstFailedAt) < failureSettleTime {
			continue
		}
		evidence.failures += history.failedAttempts
		evidence.jobs++
		// Placement prefers machines on which a job has not failed. A job that fails on the same machine
		// again and again can run nowhere else, so no other machine can show which of the two is at fault.
		evidence.conclusive = evidence.conclusive || job.DoneCount > 0 || history.failedTries > minFailedMachines
	}
	return evidence
}

// judgeHealth marks a machine as unhealthy if its failures show that it is at fault: by a job that
// completes tasks elsewhere, by several jobs that are not suspect, or by repeated failures of one job.
func (c *Controller) judgeHealth(machine *storage.Machine, worker *workerState, now time.Time) {
	if worker.unhealthy || len(worker.failures) == 0 {
		return
	}
	evidence := c.faultEvidenceOf(worker, now)
	if !evidence.provesFault() {
		return
	}
	c.log.Info("machine marked unhealthy after task failures", "machine", machine.Name, "failures", evidence.failures, "jobs", evidence.jobs)
	worker.unhealthy = true
	for job := range worker.failures {
		delete(c.jobState(job).failedMachines, machine.Index) // the machine was at fault, not the job
	}
}

// failedRecently returns the number of failures on a machine of jobs that are not suspect, capped at
// maxRecentFailures.
func (c *Controller) failedRecently(worker *workerState) float64 {
	failures := 0
	for job, history := range worker.failures {
		if !c.suspect(job) {
			failures += history.failedAttempts
		}
	}
	return float64(min(failures, maxRecentFailures))
}
