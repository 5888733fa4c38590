package storage

import (
	"time"

	"dykeledge/internal/protocol"
)

// This file owns the graph of jobs that wait for other jobs. A job names only jobs that
// were accepted before it was itself, so the graph has no cycles: an edge always leads
// to an earlier acceptance. Records are read in any order, though, and a job may be
// known before one that it names.

// Final is a job's final state.
type Final struct {
	Status protocol.JobStatus
	Tasks  int32
	At     int64 // when it was recorded, in milliseconds of the day's clock; 0: not known
}

// Ready tells whether nothing that the job needs is left to wait for. Only the final
// record of a needed job counts: one whose tasks have all completed may still lose to a
// cancellation that is on its way, and what started after it would be too early.
func (j *Job) Ready() bool { return j.unmet == 0 && !j.Doomed }

// Unmet is how many jobs it still waits for.
func (j *Job) Unmet() int { return j.unmet }

// await takes a new job into the graph.
func (b *Cache) await(j *Job) {
	j.unmet = len(j.Needs) // at first: it is not ready before all of them were looked at
	for _, id := range j.Needs {
		if f, ok := b.recorded(id); ok {
			b.met(j, f)
			continue
		}
		b.after[id] = append(b.after[id], j)
		if o := b.jobByID[id]; o != nil && o.Doomed {
			b.doom(j)
		}
	}
	b.inherits = b.inherits || len(j.Needs) > 0
}

// recorded is a job's final state as its record has it.
func (b *Cache) recorded(id string) (Final, bool) {
	if f, ok := b.final[id]; ok {
		return f, true
	}
	if j := b.jobByID[id]; j != nil && !j.Open() {
		return j.outcome(), true
	}
	return Final{}, false
}

// outcome is the final state of a job that is over.
func (j *Job) outcome() Final { return Final{j.Final, int32(j.NDone), j.EndMs} }

// settle tells the jobs that wait for one that it is over.
func (b *Cache) settle(id string, f Final) {
	// What it needed inherits from it no more.
	b.inherits = b.inherits || len(b.heirs) > 0
	deps := b.after[id]
	if deps == nil {
		return
	}
	delete(b.after, id)
	for _, j := range deps {
		b.met(j, f)
	}
}

// met takes down that a job that j needs is over. From the last one's end on j's times
// count: it is read from that job's record, and so outlives every owner.
func (b *Cache) met(j *Job, f Final) {
	j.unmet--
	b.noteJob(j)
	if f.Status == protocol.Cancelled {
		b.doom(j)
		return
	}
	if at := time.UnixMilli(f.At); f.At > 0 && at.After(j.At) {
		j.At = at
	}
	if j.unmet == 0 && !j.Doomed {
		b.readied = append(b.readied, j)
	}
}

// doom marks a job and all that need it, directly or through others, as cancelled with
// one before them. That follows from the records alone, so every node says the same at
// once; their own final records are written at leisure.
func (b *Cache) doom(j *Job) {
	work := []*Job{j}
	for len(work) > 0 {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		if j.Doomed || !j.Open() {
			continue
		}
		j.Doomed, b.inherits = true, true
		b.noteJob(j)
		b.doomed = append(b.doomed, j)
		work = append(work, b.after[j.ID]...)
	}
}

// Doomed are the jobs that were cancelled with one before them and have no final record
// of their own yet.
func (b *Cache) Doomed() []*Job {
	keep := b.doomed[:0]
	for _, j := range b.doomed {
		if j.Open() {
			keep = append(keep, j)
		}
	}
	clear(b.doomed[len(keep):])
	b.doomed = keep
	return keep
}

// Readied returns the jobs that became ready since it was last called.
func (b *Cache) Readied() []*Job {
	list := b.readied
	b.readied = nil
	return list
}

// Inherit works out what jobs inherit from those that need them: the highest priority of
// any, and the latest time at which they must be over for those to be in time. aims is
// when a job itself should be over at best and at the latest (zero: no such time), length
// how long it will take. Every job and edge is looked at once.
func (b *Cache) Inherit(aims func(*Job) (by, late time.Time), length func(*Job) time.Duration) {
	if !b.inherits {
		return
	}
	b.inherits = false
	left := map[*Job]int{} // open jobs that need it and were not looked at yet
	note := func(j *Job) {
		if _, ok := left[j]; !ok {
			left[j] = 0
			j.Priority = j.Own
			j.By, j.Late = aims(j)
		}
	}
	for id, deps := range b.after {
		o := b.jobByID[id]
		if o == nil || !o.Open() || o.Doomed {
			continue
		}
		note(o)
		for _, j := range deps {
			if j.Open() && !j.Doomed {
				note(j)
				left[o]++
			}
		}
	}
	// What nothing needs any more has only its own left.
	for j := range b.heirs {
		if _, ok := left[j]; !ok {
			j.Priority, j.By, j.Late = j.Own, time.Time{}, time.Time{}
		}
	}
	b.heirs = left
	var work []*Job
	for j, n := range left {
		if n == 0 {
			work = append(work, j)
		}
	}
	for len(work) > 0 {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		takes := length(j)
		for _, id := range j.Needs {
			o := b.jobByID[id]
			if o == nil || !o.Open() || o.Doomed {
				continue
			}
			o.Priority = max(o.Priority, j.Priority)
			o.By, o.Late = earlier(o.By, j.By, takes), earlier(o.Late, j.Late, takes)
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
