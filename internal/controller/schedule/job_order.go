package schedule

import (
	"cmp"
	"slices"
	"time"
)

// This file orders the jobs of a class queue.

const (
	// smallJobWeight is how many seconds later a job's latest start is set for each second that its
	// remaining work would keep all machines of Input.Capacity busy: with a backlog, more jobs meet
	// their deadlines if small jobs go first. A larger weight gains more with a backlog, but loses
	// without one.
	smallJobWeight = 6
	// defaultTimeAllowed is the time allowed for jobs without a deadline. It affects only their order.
	defaultTimeAllowed = time.Hour
	// overdueFraction is the fraction of a class queue's capacity that overdue jobs may use before jobs
	// that can still meet their deadlines.
	overdueFraction = 0.25
)

// urgency is the criterion by which jobs of a class queue are ordered within a priority.
type urgency uint8

const (
	starving urgency = iota // has waited too long without a placed task: one of its tasks goes first
	overdue                 // overdue, and may use the capacity set aside for such jobs
	onTime                  // can meet its deadline, or has none
	deferred                // can't meet its deadline, or would keep other jobs from meeting theirs
)

// compareJobs compares jobs of a class queue by the order in which they start.
func compareJobs(a, b *jobCursor) int {
	if order := cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.urgency, b.urgency)); order != 0 {
		return order
	}
	if a.urgency == deferred {
		// Small jobs first, so that as many as possible complete soon.
		return cmp.Or(cmp.Compare(a.remainingWork, b.remainingWork), compareReady(a, b))
	}
	return cmp.Or(a.latestStart.Compare(b.latestStart), compareReady(a, b))
}

// compareReady compares jobs by the time at which they became ready, then by ID to make the order total.
func compareReady(a, b *jobCursor) int {
	return cmp.Or(a.job.ReadyAt.Compare(b.job.ReadyAt), cmp.Compare(a.job.ID, b.job.ID))
}

// setDeadline computes a job's deadline, its latest start to meet the deadline, and its remaining work.
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

// sort sorts the jobs into the order in which they start, by their current urgencies.
func (q *jobQueue) sort() { slices.SortStableFunc(q.jobs, compareJobs) }

// order sorts a class queue's jobs into the order in which they start: by latest start if the queue is not
// overloaded. If more work waits than the capacity can complete by the jobs' deadlines, that order would
// make all jobs late, one after the other; so some jobs are deferred until the others can meet their
// deadlines.
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
	q.promoteOverdue(input, overdueFraction*capacity-state.UsedByOverdue)
}

// deferByPriority defers jobs separately for each priority. The queue is sorted, so jobs of one priority are
// adjacent.
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

// promoteStarving moves one task of each deferred job that has waited too long for its first task ahead of
// all other jobs: however large the job, a single task hardly delays the others.
func (q *jobQueue) promoteStarving(input *Input) {
	if input.Starving == nil {
		return
	}
	promoted := false
	for _, cursor := range q.jobs {
		if cursor.urgency == deferred && input.Starving(cursor.job) {
			cursor.urgency = starving
			cursor.tasksLeft = 1
			promoted = true
		}
	}
	if promoted {
		q.sort()
	}
}

// promoteOverdue moves overdue deferred jobs, the oldest first, ahead of jobs that can meet their deadlines,
// until the tasks of the moved jobs use up capacity, in CPUs.
func (q *jobQueue) promoteOverdue(input *Input, capacity float64) {
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
		cursor.urgency = overdue
		capacity -= float64(cursor.tasksLeft) * cursor.job.TaskSize
	}
	q.sort()
}
