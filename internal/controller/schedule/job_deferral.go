package schedule

import (
	"container/heap"
	"math"
	"time"
)

// This file decides which jobs of an overloaded class queue are deferred.

// minQueueCapacity is the minimum capacity, in CPUs, assumed for a class queue.
const minQueueCapacity = 1

// deferUntilFeasible defers jobs of a class queue that can't meet their deadlines, and of the others those
// with the most work until the rest can meet theirs. It reports whether it deferred any. jobs must be sorted by latest
// start; capacity is in CPUs.
func deferUntilFeasible(now time.Time, jobs []*jobCursor, capacity float64) bool {
	capacity = max(capacity, minQueueCapacity)
	deferredUnreachable, totalWork, leastSlackS := deferUnreachable(now, jobs)
	if totalWork <= leastSlackS*capacity {
		return deferredUnreachable // all others can meet their deadlines
	}
	deferredLargest := deferLargest(jobs, capacity)
	return deferredUnreachable || deferredLargest
}

// canMeetDeadline reports whether a job has a deadline and has not been found unable to meet it.
func (c *jobCursor) canMeetDeadline() bool { return c.urgency == onTime && !c.deadline.IsZero() }

// deferUnreachable computes the slack of jobs with a deadline and defers those whose slack is negative. It
// reports whether it deferred any, and returns the work of the others in CPU-seconds and their least slack
// in seconds.
func deferUnreachable(now time.Time, jobs []*jobCursor) (deferredAny bool, totalWork, leastSlackS float64) {
	leastSlackS = math.Inf(1)
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
		leastSlackS = min(leastSlackS, cursor.slackS)
	}
	return deferredAny, totalWork, leastSlackS
}

// deferLargest defers the jobs with the most work until the others can meet their deadlines, and reports
// whether it deferred any. This is the Moore-Hodgson algorithm, which minimizes the number of late jobs on a single
// machine; here a class queue's capacity is treated as one machine of that speed.
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

// largestFirst is a heap.Interface of jobs with the most remaining work on top.
type largestFirst []*jobCursor

// Len returns the number of jobs.
func (h largestFirst) Len() int { return len(h) }

// Less orders jobs by falling remaining work.
func (h largestFirst) Less(a, b int) bool { return h[a].remainingWork > h[b].remainingWork }

// Swap exchanges two jobs.
func (h largestFirst) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a job, for heap.Push.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(*jobCursor)) }

// Pop removes the last job, for heap.Pop.
func (h *largestFirst) Pop() any {
	last := len(*h) - 1
	cursor := (*h)[last]
	*h = (*h)[:last]
	return cursor
}
