package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	failuresSick = 2 // failures since its last success that make a machine suspect
	failuresJob  = 3 // machines that a job must fail on to be taken for mistaken
	// failureSettles is how long a failure may count for either side: a job with a
	// mistake shows on other machines meanwhile.
	failureSettles = 2 * time.Second
	maxBackoff     = time.Minute
)

// failing is what a machine has failed of one job since it last completed anything.
type failing struct {
	n     int
	waves int // tries of the job that failed here
	since time.Time
}

// noteFailure takes down that an attempt failed by itself: by its machine's fault or
// by its job's, which only others can tell.
func (c *Controller) noteFailure(machine *storage.Machine, worker *workerState, job *storage.Job, now time.Time) {
	jobState := c.jobState(job)
	history := worker.failures[job]
	if history == nil {
		history = &failing{since: now}
		worker.failures[job] = history
	}
	history.n++
	jobState.failures++
	if !worker.unhealthy && !machine.Unhealthy {
		jobState.failedOn[machine.Index] = true
	}
	if now.Before(jobState.backoff) {
		return // of the same wave
	}
	history.waves++
	if jobState.failures >= failuresJob {
		jobState.suspectTries++
		jobState.backoff = now.Add(min(maxBackoff, time.Second<<min(jobState.suspectTries, 6)))
		c.log.Info("job fails", "job", job.ID, "failures", jobState.failures, "machines", len(jobState.failedOn), "suspect", c.suspect(job))
	}
}

// noteSuccess clears both of suspicion.
func (c *Controller) noteSuccess(v *workerState, j *storage.Job) {
	clear(v.failures)
	c.jobState(j).clearSuspicion()
}

func (jv *jobState) clearSuspicion() {
	jv.failures, jv.suspectTries = 0, 0
	clear(jv.failedOn)
}

// noteSteady clears a service of suspicion once a replica has run for a while: its
// replicas never complete.
func (c *Controller) noteSteady(v *workerState, j *storage.Job, ran time.Duration) {
	if j.Shape != protocol.Service || ran < steady || len(v.failures) == 0 && c.jobStates[j] == nil {
		return
	}
	if jv := c.jobState(j); len(jv.failedOn) > 0 || v.failures[j] != nil {
		jv.clearSuspicion()
		delete(v.failures, j)
	}
}

// steady is how long a replica must have run for its service to be sound.
const steady = time.Minute

// suspect tells whether a job seems to fail wherever it runs: on several machines that
// are not known to be sick, without a success. From then on it runs one task at a time,
// and nothing is evicted, rented or moved for it, nor is a machine blamed for it.
func (c *Controller) suspect(j *storage.Job) bool {
	if j.DoneCount > 0 {
		return false
	}
	if j.Suspect {
		return true
	}
	jv := c.jobStates[j]
	return jv != nil && len(jv.failedOn) >= failuresJob
}

// wantedTasks is how many of a job's waiting tasks are worth room now.
func (c *Controller) wantedTasks(j *storage.Job) int {
	n := j.Waiting()
	if n > 0 && c.suspect(j) {
		return min(n, max(0, 1-j.PlacedCount))
	}
	return n
}

// noteSuspects writes it down for other controllers that a job seems to be mistaken: the leader rents
// for it, and the shard's next owner would start all of its tasks again.
func (c *Controller) noteSuspects(planned *plannedTxn) {
	for j, jv := range c.jobStates {
		if len(jv.failedOn) < failuresJob || j.Suspect || j.Shape == protocol.Service || !j.Open() || j.DoneCount > 0 || planned.usedOps >= planned.maxOps {
			continue
		}
		key := storage.JobKey(j.ID)
		if _, ok := planned.puts[key]; ok || planned.completed[j] != nil {
			continue
		}
		r := c.cache.JobRecordOf(j, j.Done, j.DoneCount, "")
		r.Suspect = true
		planned.put(key, j.Version, protocol.Change{Put: key, Value: storage.Encode(r)})
		planned.usedOps++
	}
}

// failuresBlamedOn is how many failures speak against a machine: those of jobs that do not fail
// everywhere.
func (c *Controller) failuresBlamedOn(v *workerState, now time.Time) (n, jobs int, proved bool) {
	for j, f := range v.failures {
		if c.suspect(j) || now.Sub(f.since) < failureSettles {
			continue
		}
		n += f.n
		jobs++
		// Machines that have not failed a job are preferred: one that has it again and
		// again is the only one it has, and a job alone cannot tell.
		proved = proved || j.DoneCount > 0 || f.waves > failuresJob
	}
	return n, jobs, proved
}

// judgeHealth finds out whether a machine fails its tasks. A job with a mistake fails on
// every machine; a faulty machine fails every job. One that completes elsewhere, or
// another job that does not fail elsewhere, tells which.
func (c *Controller) judgeHealth(m *storage.Machine, v *workerState, now time.Time) {
	if v.unhealthy || len(v.failures) == 0 {
		return
	}
	if n, jobs, proved := c.failuresBlamedOn(v, now); n >= failuresSick && (jobs > 1 || proved) {
		c.log.Info("machine fails its tasks, giving it up", "machine", m.Name, "failures", n, "jobs", jobs)
		v.unhealthy = true
		for j := range v.failures {
			delete(c.jobState(j).failedOn, m.Index) // that was not the job's fault
		}
	}
}

// probing tells whether a suspect job has its one task out already.
func (c *Controller) probing(j *storage.Job) bool { return c.suspect(j) && j.PlacedCount > 0 }

// failedRecently counts a machine's failures that may be its own, at most a few.
func (c *Controller) failedRecently(v *workerState) float64 {
	n := 0
	for j, f := range v.failures {
		if !c.suspect(j) {
			n += f.n
		}
	}
	return float64(min(n, 4))
}
