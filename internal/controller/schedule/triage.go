package schedule

import (
	"container/heap"
	"math"
	"time"
)

// This file finds out which jobs of an overloaded class queue are deferred.

// minQueueCapacity is the least capacity, in CPUs, that a class queue is taken to have.
const minQueueCapacity = 1

// deferUntilFeasible defers those of a class queue's jobs that can't be in time, and of the others the ones with
// the most work until the rest can be. It tells whether it deferred any. jobs are in the order of their
// latest starts; capacity is in CPUs.
func deferUntilFeasible(now time.Time, jobs []*jobCursor, capacity float64) bool {
	capacity = max(capacity, minQueueCapacity)
	deferredLate, totalWork, leastSlack := deferUnreachable(now, jobs)
	if totalWork <= leastSlack*capacity {
		return deferredLate // all others can be in time
	}
	deferredLargest := deferLargest(jobs, capacity)
	return deferredLate || deferredLargest
}

// canMeetDeadline tells whether a job has a deadline that it can still meet, as far as is known.
func (c *jobCursor) canMeetDeadline() bool { return c.urgency == onTime && !c.deadline.IsZero() }

// deferUnreachable works out the slack of jobs with a deadline and defers those that have none left. It
// returns whether there are such, and of the others the work in CPU-seconds and the least slack in
// seconds.
func deferUnreachable(now time.Time, jobs []*jobCursor) (deferredAny bool, totalWork, leastSlack float64) {
	leastSlack = math.Inf(1)
	for _, cursor := range jobs {
		if !cursor.canMeetDeadline() {
			continue
		}
		cursor.slackS = slackSeconds(now, cursor.job, cursor.deadline)
		if cursor.slackS < 0 {
			cursor.urgency = deferred
			deferredAny = true
			continue
		}
		totalWork += cursor.remainingWork
		leastSlack = min(leastSlack, cursor.slackS)
	}
	return deferredAny, totalWork, leastSlack
}

// deferLargest defers the jobs with the most work until the others can be in time, and tells whether it
// deferred any. This is the rule of Moore and Hodgson, which leaves the fewest jobs late on one
// machine; here a class queue's capacity is taken for one machine that is as fast.
func deferLargest(jobs []*jobCursor, capacity float64) bool {
	deferredAny := false
	totalWork := 0.0
	var kept largestFirst
	for _, cursor := range jobs {
		if !cursor.canMeetDeadline() {
			continue
		}
		heap.Push(&kept, cursor)
		totalWork += cursor.remainingWork
		for totalWork > cursor.slackS*capacity && len(kept) > 0 {
			largest := heap.Pop(&kept).(*jobCursor)
			largest.urgency = deferred
			deferredAny = true
			totalWork -= largest.remainingWork
		}
	}
	return deferredAny
}

// largestFirst is a heap.Interface of jobs with the one that has most work left on top.
type largestFirst []*jobCursor

// Len is the number of jobs.
func (h largestFirst) Len() int { return len(h) }

// Less puts the job with more work left first.
func (h largestFirst) Less(a, b int) bool { return h[a].remainingWork > h[b].remainingWork }

// Swap exchanges two jobs.
func (h largestFirst) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a job, for heap.Push.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(*jobCursor)) }

// Pop takes the last job off, for heap.Pop.
func (h *largestFirst) Pop() any {
	last := len(*h) - 1
	cursor := (*h)[last]
	*h = (*h)[:last]
	return cursor
}
