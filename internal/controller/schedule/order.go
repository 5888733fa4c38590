package schedule

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// This file owns the order in which a queue's jobs start.

// smallFirst is by how many seconds a job steps back for each second that its
// remaining work would keep the whole shard busy: under a backlog, more jobs are
// in time when the small ones go first.
const smallFirst = 6

const (
	// lateFraction is the part of a queue's room that jobs which have waited far too long may
	// take before those that can still be in time.
	lateFraction = 0.25
	// finishGap is how much later than its work says a job is done: fetch, heartbeats, records.
	finishGap = 5 * time.Second
	// finishMargin is by how much estimates are taken to be too low.
	finishMargin = 1.2
)

// urgency is where a job stands among those of its queue and priority.
type urgency uint8

const (
	begins  urgency = iota // has waited too long without a task of it placed: one goes first
	overdue                // has waited far too long, and its turn has come
	inTime                 // can be in time
	behind                 // can't, if the others are to be
)

// first puts the jobs of a queue in the order in which they start.
func first(a, b *cursor) int {
	if c := cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.urgency, b.urgency)); c != 0 {
		return c
	}
	if a.urgency == behind {
		// Small before large: most are over soonest.
		return cmp.Or(cmp.Compare(a.work, b.work), a.job.ReadyAt.Compare(b.job.ReadyAt), cmp.Compare(a.job.ID, b.job.ID))
	}
	return cmp.Or(a.starts.Compare(b.starts), a.job.ReadyAt.Compare(b.job.ReadyAt), cmp.Compare(a.job.ID, b.job.ID))
}

// aim works out when a job should have started in order to meet its aim, and what is left
// of it.
func (c *cursor) aim(input *Input) {
	job := c.job
	allow, late := time.Duration(0), false
	if input.TimeAllowed != nil {
		allow, late = input.TimeAllowed(job)
	}
	c.work = workOf(job, c.left)
	c.urgency, c.due = inTime, time.Time{}
	switch {
	case allow == 0:
		allow = time.Hour
	case late:
		c.urgency = behind
	default:
		c.due = job.ReadyAt.Add(allow)
	}
	back := smallFirst * workOf(job, job.Tasks-job.DoneCount) / max(input.Capacity.Cpus, 1)
	c.starts = job.ReadyAt.Add(allow + time.Duration((back-job.Estimate)*float64(time.Second)))
}

// order sorts a queue's jobs, by their latest starts as long as it does not flood. Where more
// is asked than room lets through in time, that order makes all of them late, one after the
// other: then the largest step behind until the others can be in time (Moore and Hodgson's
// rule, which leaves the fewest late on one machine; here the queue's room is taken for one
// machine that is as fast).
func (q *queue) order(input *Input) {
	queueState := q.state(input)
	if !input.Overloaded || queueState == nil || !queueState.Overloaded {
		for _, c := range q.jobs {
			c.urgency = inTime
		}
		slices.SortStableFunc(q.jobs, first)
		return
	}
	slices.SortStableFunc(q.jobs, first)
	room := input.capacityOf(q)
	for from := 0; from < len(q.jobs); {
		to := from + 1
		for to < len(q.jobs) && q.jobs[to].job.Priority == q.jobs[from].job.Priority {
			to++
		}
		if triage(input.Now, q.jobs[from:to], room) {
			slices.SortStableFunc(q.jobs[from:to], first)
		}
		from = to
	}
	// However large it is, a job begins: one task costs the others next to nothing.
	if input.MustBegin != nil {
		some := false
		for _, c := range q.jobs {
			if c.urgency == behind && input.MustBegin(c.job) {
				c.urgency, c.left, some = begins, 1, true
			}
		}
		if some {
			slices.SortStableFunc(q.jobs, first)
		}
	}
	if input.Overdue == nil {
		return
	}
	// What has waited far too long has its turn too, the oldest first, in a part of the room.
	var old []*cursor
	left := lateFraction*room - queueState.Late
	for _, c := range q.jobs {
		if c.urgency == behind && left > 0 && input.Overdue(c.job) {
			old = append(old, c)
		}
	}
	if len(old) == 0 {
		return
	}
	slices.SortStableFunc(old, func(a, b *cursor) int { return a.job.ReadyAt.Compare(b.job.ReadyAt) })
	for _, c := range old {
		if left <= 0 {
			break
		}
		c.urgency = overdue
		left -= float64(c.left) * c.job.Size
	}
	slices.SortStableFunc(q.jobs, first)
}

// triage finds out which of a queue's jobs step behind, and tells whether any do.
func triage(now time.Time, jobs []*cursor, room float64) bool {
	any, sum, least := false, 0.0, math.Inf(1)
	for _, c := range jobs {
		if c.urgency != inTime || c.due.IsZero() {
			continue
		}
		if c.slack = slackOf(now, c.job, c.due); c.slack < 0 {
			c.urgency, any = behind, true
			continue
		}
		sum, least = sum+c.work, min(least, c.slack)
	}
	if sum <= least*max(room, 1) {
		return any // all can be in time
	}
	var kept largest
	sum = 0
	for _, c := range jobs {
		if c.urgency != inTime || c.due.IsZero() {
			continue
		}
		heap.Push(&kept, c)
		for sum += c.work; sum > c.slack*max(room, 1) && len(kept) > 0; {
			x := heap.Pop(&kept).(*cursor)
			x.urgency, any = behind, true
			sum -= x.work
		}
	}
	return any
}

// largest is a heap of jobs with the one that has most left on top.
type largest []*cursor

func (h largest) Len() int           { return len(h) }
func (h largest) Less(a, b int) bool { return h[a].work > h[b].work }
func (h largest) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *largest) Push(x any)        { *h = append(*h, x.(*cursor)) }
func (h *largest) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}
