package storage

import (
	"time"

	"dykeledge/internal/protocol"
)

// This file owns the graph of jobs that wait for other jobs. A job names only jobs that
// were accepted before it was itself, so the graph has no cycles: an edge always leads
// to an earlier acceptance. Records are read in any order, though, and a job may be
// known before one that it names.

// FinalState is a job's final state.
type FinalState struct {
	Status     protocol.JobStatus
	Tasks      int32
	RecordedMs int64 // when it was recorded, in milliseconds of the day's clock; 0: not known
}

// Ready tells whether nothing that the job needs is left to wait for. Only the final
// record of a needed job counts: one whose tasks have all completed may still lose to a
// cancellation that is on its way, and what started after it would be too early.
func (j *Job) Ready() bool { return j.unmetDependencies == 0 && !j.DependencyFailed }

// UnmetDependencies is how many jobs it still waits for.
func (j *Job) UnmetDependencies() int { return j.unmetDependencies }

// addDependencies takes a new job into the graph.
func (c *Cache) addDependencies(job *Job) {
	job.unmetDependencies = len(job.Dependencies) // at first: it is not ready before all of them were looked at
	for _, id := range job.Dependencies {
		if f, ok := c.recordedFinal(id); ok {
			c.dependencyEnded(job, f)
			continue
		}
		c.dependents[id] = append(c.dependents[id], job)
		if o := c.jobByID[id]; o != nil && o.DependencyFailed {
			c.failDependents(job)
		}
	}
	c.graphChanged = c.graphChanged || len(job.Dependencies) > 0
}

// recordedFinal is a job's final state as its record has it.
func (c *Cache) recordedFinal(id string) (FinalState, bool) {
	if f, ok := c.final[id]; ok {
		return f, true
	}
	if j := c.jobByID[id]; j != nil && !j.Open() {
		return j.outcome(), true
	}
	return FinalState{}, false
}

// outcome is the final state of a job that is over.
func (j *Job) outcome() FinalState { return FinalState{j.Final, int32(j.DoneCount), j.FinalAtMs} }

// notifyDependents tells the jobs that wait for one that it is over.
func (c *Cache) notifyDependents(id string, f FinalState) {
	// What it needed inherits from it no more.
	c.graphChanged = c.graphChanged || len(c.inheritors) > 0
	deps := c.dependents[id]
	if deps == nil {
		return
	}
	delete(c.dependents, id)
	for _, j := range deps {
		c.dependencyEnded(j, f)
	}
}

// dependencyEnded takes down that a job that j needs is over. From the last one's end on j's times
// count: it is read from that job's record, and so outlives every owner.
func (c *Cache) dependencyEnded(job *Job, finalState FinalState) {
	job.unmetDependencies--
	c.feedJob(job)
	if finalState.Status == protocol.Cancelled {
		c.failDependents(job)
		return
	}
	if at := time.UnixMilli(finalState.RecordedMs); finalState.RecordedMs > 0 && at.After(job.ReadyAt) {
		job.ReadyAt = at
	}
	if job.unmetDependencies == 0 && !job.DependencyFailed {
		c.newlyReady = append(c.newlyReady, job)
	}
}

// failDependents marks a job and all that need it, directly or through others, as cancelled with
// one before them. That follows from the records alone, so every controller says the same at
// once; their own final records are written at leisure.
func (c *Cache) failDependents(job *Job) {
	work := []*Job{job}
	for len(work) > 0 {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		if j.DependencyFailed || !j.Open() {
			continue
		}
		j.DependencyFailed, c.graphChanged = true, true
		c.feedJob(j)
		c.dependencyFailed = append(c.dependencyFailed, j)
		work = append(work, c.dependents[j.ID]...)
	}
}

// DependencyFailed are the jobs that were cancelled with one before them and have no final record
// of their own yet.
func (c *Cache) DependencyFailed() []*Job {
	keep := c.dependencyFailed[:0]
	for _, j := range c.dependencyFailed {
		if j.Open() {
			keep = append(keep, j)
		}
	}
	clear(c.dependencyFailed[len(keep):])
	c.dependencyFailed = keep
	return keep
}

// NewlyReady returns the jobs that became ready since it was last called.
func (c *Cache) NewlyReady() []*Job {
	list := c.newlyReady
	c.newlyReady = nil
	return list
}

// Inherit works out what jobs inherit from those that need them: the highest priority of
// any, and the latest time at which they must be over for those to be in time. aims is
// when a job itself should be over at best and at the latest (zero: no such time), length
// how long it will take. Every job and edge is looked at once.
func (c *Cache) Inherit(aims func(*Job) (by, late time.Time), length func(*Job) time.Duration) {
	if !c.graphChanged {
		return
	}
	c.graphChanged = false
	left := map[*Job]int{} // open jobs that need it and were not looked at yet
	note := func(j *Job) {
		if _, ok := left[j]; !ok {
			left[j] = 0
			j.Priority = j.OwnPriority
			j.FinishBy, j.FinishLatest = aims(j)
		}
	}
	for id, deps := range c.dependents {
		o := c.jobByID[id]
		if o == nil || !o.Open() || o.DependencyFailed {
			continue
		}
		note(o)
		for _, j := range deps {
			if j.Open() && !j.DependencyFailed {
				note(j)
				left[o]++
			}
		}
	}
	// What nothing needs any more has only its own left.
	for j := range c.inheritors {
		if _, ok := left[j]; !ok {
			j.Priority, j.FinishBy, j.FinishLatest = j.OwnPriority, time.Time{}, time.Time{}
		}
	}
	c.inheritors = left
	var work []*Job
	for j, n := range left {
		if n == 0 {
			work = append(work, j)
		}
	}
	for len(work) > 0 {
		job := work[len(work)-1]
		work = work[:len(work)-1]
		takes := length(job)
		for _, id := range job.Dependencies {
			o := c.jobByID[id]
			if o == nil || !o.Open() || o.DependencyFailed {
				continue
			}
			o.Priority = max(o.Priority, job.Priority)
			o.FinishBy, o.FinishLatest = earlier(o.FinishBy, job.FinishBy, takes), earlier(o.FinishLatest, job.FinishLatest, takes)
			if left[o]--; left[o] == 0 {
				work = append(work, o)
			}
		}
	}
}

func earlier(a, b time.Time, less time.Duration) time.Time {
	if b.IsZero() {
		return a
	}
	if b = b.Add(-less); a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
