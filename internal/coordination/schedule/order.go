package schedule

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
)

// This file owns the order in which jobs start: of a lane's jobs, and between lanes.

// Lane is a class of one team.
type Lane struct {
	Usual float64 // CPUs that it usually keeps busy; 0: not known
	Floor float64 // CPUs that it has in a flood before those that flood have more than is usual
	Used  float64 // CPUs that its placed tasks take, on all shares
	Open  float64 // CPUs that all its tasks would take that run or wait
	Late  float64 // CPUs that tasks of jobs take which have waited far too long
	// Ordinary is what of Open may not use spot machines.
	Ordinary float64
	Floods   bool // far more is open than is usual
	// Kept says that its best-effort work which may use spot machines takes no ordinary ones.
	Kept bool
}

// Lanes are lanes by bookkeeping.Lane.Index; nil where there is none.
type Lanes []*Lane

// At is a lane, nil if there is none.
func (l Lanes) At(x bookkeeping.Lane) *Lane {
	if i := x.Index(); i < len(l) {
		return l[i]
	}
	return nil
}

// Have is a lane, made if there is none.
func (l Lanes) Have(x bookkeeping.Lane) *Lane {
	i := x.Index()
	if l[i] == nil {
		l[i] = &Lane{}
	}
	return l[i]
}

// standing is where a lane stands in a flood: first all have what they usually have, the one
// that lacks most of it first; then those that do not flood have their floors; then all have
// what is left. part is how much it has of what it stands for.
func (l *Lane) standing() (n int, part float64) {
	switch {
	case l == nil || l.Floor <= 0:
		return 2, 1
	case l.Used < l.Usual:
		return 0, l.Used / l.Usual
	case l.Used < l.Floor && !l.Floods:
		return 1, l.Used / l.Floor
	}
	return 2, 1
}

// smallFirst is by how many seconds a job steps back for each second that its
// remaining work would keep the whole share busy: under a backlog, more jobs are
// in time when the small ones go first.
const smallFirst = 6

const (
	// lateShare is the part of a lane's room that jobs which have waited far too long may
	// take before those that can still be in time.
	lateShare = 0.25
	// finishGap is how much later than its work says a job is done: fetch, reports, records.
	finishGap = 5 * time.Second
	// finishMargin is by how much estimates are taken to be too low.
	finishMargin = 1.2
)

// urgency is where a job stands among those of its lane and priority.
type urgency uint8

const (
	overdue urgency = iota // has waited far too long, and its turn has come
	inTime                 // can be in time
	behind                 // can't, if the others are to be
)

// first puts the jobs of a lane in the order in which they start.
func first(a, b *cursor) int {
	if c := cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.urgency, b.urgency)); c != 0 {
		return c
	}
	if a.urgency == behind {
		// Small before large: most are over soonest.
		return cmp.Or(cmp.Compare(a.work, b.work), a.job.At.Compare(b.job.At), cmp.Compare(a.job.ID, b.job.ID))
	}
	return cmp.Or(a.starts.Compare(b.starts), a.job.At.Compare(b.job.At), cmp.Compare(a.job.ID, b.job.ID))
}

// aim works out when a job should have started in order to meet its aim, and what is left
// of it.
func (c *cursor) aim(in *Input) {
	j := c.job
	allow, late := time.Duration(0), false
	if in.Allow != nil {
		allow, late = in.Allow(j)
	}
	c.work = float64(c.left) * j.Cpus * max(j.Estimate, 1)
	c.urgency, c.due = inTime, time.Time{}
	switch {
	case allow == 0:
		allow = time.Hour
	case late:
		c.urgency = behind
	default:
		c.due = j.At.Add(allow)
	}
	behind := smallFirst * float64(j.Tasks-j.NDone) * j.Cpus * max(j.Estimate, 1) / max(in.Capacity.Cpus, 1)
	c.starts = j.At.Add(allow + time.Duration((behind-j.Estimate)*float64(time.Second)))
}

// order sorts a lane's jobs, by their latest starts as long as it does not flood. Where more
// is asked than room lets through in time, that order makes all of them late, one after the
// other: then the largest step behind until the others can be in time (Moore and Hodgson's
// rule, which leaves the fewest late on one machine; here the lane's room is taken for one
// machine that is as fast).
func (q *queue) order(in *Input) {
	l := q.lane(in)
	if !in.Flood || l == nil || !l.Floods {
		for _, c := range q.jobs {
			c.urgency = inTime
		}
		slices.SortStableFunc(q.jobs, first)
		return
	}
	room := in.roomOf(q)
	slices.SortStableFunc(q.jobs, first)
	for from := 0; from < len(q.jobs); {
		to := from + 1
		for to < len(q.jobs) && q.jobs[to].job.Priority == q.jobs[from].job.Priority {
			to++
		}
		if triage(in.Now, q.jobs[from:to], room) {
			slices.SortStableFunc(q.jobs[from:to], first)
		}
		from = to
	}
	if in.Overdue == nil {
		return
	}
	// What has waited far too long has its turn too, the oldest first, in a part of the room.
	var old []*cursor
	left := lateShare * room
	left -= l.Late
	for _, c := range q.jobs {
		if c.urgency == behind && left > 0 && in.Overdue(c.job) {
			old = append(old, c)
		}
	}
	if len(old) == 0 {
		return
	}
	slices.SortStableFunc(old, func(a, b *cursor) int { return a.job.At.Compare(b.job.At) })
	for _, c := range old {
		if left <= 0 {
			break
		}
		c.urgency = overdue
		left -= float64(c.left) * c.job.Cpus
	}
	slices.SortStableFunc(q.jobs, first)
}

// Wait is a job's waiting work.
type Wait struct {
	Slack    float64 // seconds until it must have its room in order to be in time
	Work     float64 // seconds of a CPU
	Ordinary bool    // may not use spot machines
}

// WaitOf is a job's waiting work; ok: it has an aim that it can still meet.
func WaitOf(now time.Time, j *bookkeeping.Job, left int, allow time.Duration, late bool) (w Wait, ok bool) {
	slack := j.At.Add(allow).Sub(now).Seconds() - finishMargin*j.Estimate - finishGap.Seconds()
	return Wait{slack, float64(left) * j.Cpus * max(j.Estimate, 1), !j.Spot}, allow > 0 && !late && slack > 0
}

// Room is what machines have for work, in CPUs.
type Room struct {
	All, Ordinary float64
	// Busy is how many seconds it takes on average until a machine's tasks have ended.
	Busy float64
}

// FloodFrom is how many times what the machines can do in time must wait for a flood to be
// dealt with: what is just over their measure the order by latest start brings in time better.
const FloodFrom = 1.5

// hasty is how many seconds beyond what machines are busy for a job must be able to wait to
// be counted.
const hasty = 10

// Load is how many times what the machines can do in time waits, with the earliest first: above
// 1 no order brings all in time. It sorts the work.
func Load(waits []Wait, room Room) float64 {
	slices.SortFunc(waits, func(a, b Wait) int { return cmp.Compare(a.Slack, b.Slack) })
	all, ordinary, load := room.Busy*room.All, room.Busy*room.Ordinary, 0.0
	for _, w := range waits {
		all += w.Work
		if w.Ordinary {
			ordinary += w.Work
		}
		if w.Slack < room.Busy+hasty {
			continue // late by itself: that tells nothing of the room
		}
		load = max(load, all/max(1, room.All*w.Slack))
		if w.Ordinary {
			load = max(load, ordinary/max(1, room.Ordinary*w.Slack))
		}
	}
	return load
}

// triage finds out which of a lane's jobs step behind, and tells whether any do.
func triage(now time.Time, jobs []*cursor, room float64) bool {
	any, sum, least := false, 0.0, math.Inf(1)
	for _, c := range jobs {
		if c.urgency != inTime || c.due.IsZero() {
			continue
		}
		if c.slack = c.due.Sub(now).Seconds() - finishMargin*c.job.Estimate - finishGap.Seconds(); c.slack < 0 {
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

// lane is a queue's own, nil if nothing is known of it.
func (q *queue) lane(in *Input) *Lane { return in.Lanes.At(q.of) }

// kept tells whether ordinary machines are left to others than a job.
func (in *Input) kept(j *bookkeeping.Job) bool {
	if !in.Flood || !j.Spot || j.Priority.Top() {
		return false
	}
	l := in.Lanes.At(bookkeeping.LaneOf(j))
	return l != nil && l.Kept
}

// roomOf is how many CPUs a lane may count on: what it has, what is free, what it may evict,
// and no less than its floor.
func (in *Input) roomOf(q *queue) float64 {
	l, top := q.lane(in), q.jobs[0].job.Priority.Top()
	spot := slices.ContainsFunc(q.jobs, func(c *cursor) bool { return c.job.Spot })
	free := 0.0
	for _, s := range in.Slots {
		if s.M.Spot && !spot {
			continue
		}
		free += s.Free.Cpus
		if top {
			free += s.Yields
		}
	}
	return max(l.Used+free, l.Floor)
}

// foremost is the queue whose first job starts next: of each team the lane that goes first in
// it, and of those the one whose team goes first. A team's guarantee speaks for its first job, not
// for a smaller one of a lane behind it.
func foremost(in *Input, live []*queue, teams []int) int {
	for t := range teams {
		teams[t] = -1
	}
	for i, q := range live {
		if b := teams[q.of.Team]; b < 0 || firstInTeam(in, q, live[b]) {
			teams[q.of.Team] = i
		}
	}
	best := -1
	for _, i := range teams {
		if i >= 0 && (best < 0 || before(in, live[i], live[best])) {
			best = i
		}
	}
	return best
}

// firstInTeam tells whether a lane's first job goes before that of another lane of its team: by
// priority, in a flood by what the lanes have, then by latest start.
func firstInTeam(in *Input, a, b *queue) bool {
	ja, jb := a.jobs[0].job, b.jobs[0].job
	if ja.Priority != jb.Priority {
		return ja.Priority > jb.Priority
	}
	if c := floors(in, a, b); c != 0 {
		return c < 0
	}
	return first(a.jobs[0], b.jobs[0]) < 0
}

// floors compares what lanes have of their floors, in a flood.
func floors(in *Input, a, b *queue) int {
	if !in.Flood {
		return 0
	}
	sa, pa := a.lane(in).standing()
	sb, pb := b.lane(in).standing()
	return cmp.Or(cmp.Compare(sa, sb), cmp.Compare(pa, pb))
}

// before tells whether a team's first job goes before another team's: teams within their
// guarantee, then higher priority, then, in a flood, lanes that have less than their floors;
// then the smaller dominant share.
func before(in *Input, a, b *queue) bool {
	ja, jb := a.jobs[0].job, b.jobs[0].job
	ga, gb := WithinGuarantee(in.Teams[ja.Team], in.Used[ja.Team], ja), WithinGuarantee(in.Teams[jb.Team], in.Used[jb.Team], jb)
	if ga != gb {
		return ga
	}
	if ja.Priority != jb.Priority {
		return ja.Priority > jb.Priority
	}
	if c := floors(in, a, b); c != 0 {
		return c < 0
	}
	return DominantShare(in.Used[ja.Team], in.Capacity) < DominantShare(in.Used[jb.Team], in.Capacity)
}

// laneOf finds the queue of a job's lane, or makes one.
func laneOf(queues []*queue, j *bookkeeping.Job) ([]*queue, *queue) {
	of := bookkeeping.LaneOf(j)
	for _, q := range queues {
		if q.of == of {
			return queues, q
		}
	}
	q := &queue{of: of}
	return append(queues, q), q
}
