package schedule

import (
	"cmp"
	"slices"
	"time"
)

// This file orders the jobs of a class queue.

const (
	// smallJobWeight is by how many seconds a job's latest start moves back for each second that its
	// remaining work would keep the whole shard busy: under a backlog, more jobs are in time when
	// the small ones go first.
	smallJobWeight = 6
	// defaultTimeAllowed is how long jobs without a deadline are allowed to take, for their order only.
	defaultTimeAllowed = time.Hour
	// agedFraction is the part of a class queue's capacity that jobs which have waited far too long
	// may take before those that can still be in time.
	agedFraction = 0.25
)

// urgency is where a job stands among those of its class queue and priority.
type urgency uint8

const (
	starving urgency = iota // has waited too long without a placed task: one goes first
	aged                    // has waited far too long, and may use the capacity set aside for such jobs
	onTime                  // can be in time
	deferred                // can't be in time, or not if the others are to be
)

// compareJobs compares jobs of a class queue by the order in which they start.
func compareJobs(a, b *jobCursor) int {
	if order := cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.urgency, b.urgency)); order != 0 {
		return order
	}
	if a.urgency == deferred {
		// Small before large: most are over soonest.
		return cmp.Or(cmp.Compare(a.remainingWork, b.remainingWork), compareReady(a, b))
	}
	return cmp.Or(a.latestStart.Compare(b.latestStart), compareReady(a, b))
}

// compareReady compares jobs by when they became ready, and then by ID so that the order is total.
func compareReady(a, b *jobCursor) int {
	return cmp.Or(a.job.ReadyAt.Compare(b.job.ReadyAt), cmp.Compare(a.job.ID, b.job.ID))
}

// setDeadline works out a job's deadline, the latest start with which it meets that, and its
// remaining work.
func (c *jobCursor) setDeadline(input *Input) {
	job := c.job
	allowed, late := time.Duration(0), false
	if input.TimeAllowed != nil {
		allowed, late = input.TimeAllowed(job)
	}
	c.remainingWork = workOfTasks(job, c.tasksLeft)
	c.urgency = onTime
	c.deadline = time.Time{}
	switch {
	case allowed == 0:
		allowed = defaultTimeAllowed
	case late:
		c.urgency = deferred
	default:
		c.deadline = job.ReadyAt.Add(allowed)
	}
	sizeDelayS := smallJobWeight * workOfTasks(job, job.Tasks-job.DoneCount) / max(input.Capacity.Cpus, 1)
	c.latestStart = job.ReadyAt.Add(allowed + time.Duration((sizeDelayS-job.Estimate)*float64(time.Second)))
}

// sort puts the jobs in the order in which they start, by their urgencies as they stand.
func (q *jobQueue) sort() { slices.SortStableFunc(q.jobs, compareJobs) }

// order puts a class queue's jobs in the order in which they start: by their latest starts as long as
// the queue is not overloaded. Where more waits than the capacity can do in time, that order makes all
// jobs late, one after the other; then some are deferred until the others are in time.
func (q *jobQueue) order(input *Input) {
	state := q.state(input)
	if !input.Overloaded || state == nil || !state.Overloaded {
		for _, cursor := range q.jobs {
			cursor.urgency = onTime
		}
		q.sort()
		return
	}
	q.sort()
	capacity := input.capacityOf(q)
	q.deferByPriority(input.Now, capacity)
	q.promoteStarving(input)
	q.promoteAged(input, agedFraction*capacity-state.Late)
}

// deferByPriority defers jobs among those of each priority, which stand together.
func (q *jobQueue) deferByPriority(now time.Time, capacity float64) {
	for from := 0; from < len(q.jobs); {
		to := from + 1
		for to < len(q.jobs) && q.jobs[to].job.Priority == q.jobs[from].job.Priority {
			to++
		}
		if deferUntilFeasible(now, q.jobs[from:to], capacity) {
			slices.SortStableFunc(q.jobs[from:to], compareJobs)
		}
		from = to
	}
}

// promoteStarving lets one task of each deferred job that has waited too long for its first go before
// all others: however large the job is, one task costs the others next to nothing.
func (q *jobQueue) promoteStarving(input *Input) {
	if input.MustBegin == nil {
		return
	}
	promoted := false
	for _, cursor := range q.jobs {
		if cursor.urgency == deferred && input.MustBegin(cursor.job) {
			cursor.urgency = starving
			cursor.tasksLeft = 1
			promoted = true
		}
	}
	if promoted {
		q.sort()
	}
}

// promoteAged lets deferred jobs that have waited far too long, the oldest first, go before those that
// can be in time, in a part of the class queue's capacity: so many CPUs.
func (q *jobQueue) promoteAged(input *Input, capacity float64) {
	if input.Overdue == nil || capacity <= 0 {
		return
	}
	var waiting []*jobCursor
	for _, cursor := range q.jobs {
		if cursor.urgency == deferred && input.Overdue(cursor.job) {
			waiting = append(waiting, cursor)
		}
	}
	if len(waiting) == 0 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b *jobCursor) int { return a.job.ReadyAt.Compare(b.job.ReadyAt) })
	for _, cursor := range waiting {
		if capacity <= 0 {
			break
		}
		cursor.urgency = aged
		capacity -= float64(cursor.tasksLeft) * cursor.job.Size
	}
	q.sort()
}
