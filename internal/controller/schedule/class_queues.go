package schedule

import (
	"cmp"
	"slices"

	"dykeledge/internal/storage"
)

// This file owns queues: what each stands for, and the order between them.

// QueueState is a class of one team.
type QueueState struct {
	Baseline float64 // CPUs that it usually keeps busy; 0: not known
	Floor    float64 // CPUs that it has in a flood before those that flood have more than is usual
	Used     float64 // CPUs that its placed tasks take, on all shards
	Open     float64 // CPUs that all its tasks would take that run or wait
	Late     float64 // CPUs that tasks of jobs take which have waited far too long
	// OpenOnDemand is what of Open may not use spot machines.
	OpenOnDemand float64
	Overloaded   bool // far more is open than is usual
	// LeavesOnDemand says that its best-effort work which may use spot machines takes no ordinary ones.
	LeavesOnDemand bool
}

// QueueStates are queues by storage.Queue.Index; nil where there is none.
type QueueStates []*QueueState

// At is a queue, nil if there is none.
func (l QueueStates) At(x storage.ClassQueue) *QueueState {
	if i := x.Index(); i < len(l) {
		return l[i]
	}
	return nil
}

// Ensure is a queue, made if there is none.
func (l QueueStates) Ensure(x storage.ClassQueue) *QueueState {
	i := x.Index()
	if l[i] == nil {
		l[i] = &QueueState{}
	}
	return l[i]
}

// rank is where a queue stands in a flood: first all have what they usually have, the one
// that lacks most of it first; then those that do not flood have their floors; then all have
// what is left. part is how much it has of what it stands for.
func (l *QueueState) rank() (n int, part float64) {
	switch {
	case l == nil || l.Floor <= 0:
		return 2, 1
	case l.Used < l.Baseline:
		return 0, l.Used / l.Baseline
	case l.Used < l.Floor && !l.Overloaded:
		return 1, l.Used / l.Floor
	}
	return 2, 1
}

// state is a queue's own, nil if nothing is known of it.
func (q *queue) state(in *Input) *QueueState { return in.Queues.At(q.class) }

// leavesOnDemand tells whether ordinary machines are left to others than a job.
func (in *Input) leavesOnDemand(j *storage.Job) bool {
	if !in.Overloaded || !j.Spot || j.Priority.Top() {
		return false
	}
	l := in.Queues.At(storage.ClassQueueOf(j))
	return l != nil && l.LeavesOnDemand
}

// capacityOf is how many CPUs a queue in order may count on: what it has, what is free, what its
// first job may evict, and no less than its floor.
func (in *Input) capacityOf(scheduleQueue *queue) float64 {
	queueState, top := scheduleQueue.state(in), scheduleQueue.jobs[0].job.Priority.Top()
	spot := slices.ContainsFunc(scheduleQueue.jobs, func(c *cursor) bool { return c.job.Spot })
	free := 0.0
	for _, s := range in.Slots {
		if s.Machine.Spot && !spot {
			continue
		}
		free += s.cpus(s.Free)
		if top {
			free += s.cpus(s.Preemptible)
		}
	}
	return max(queueState.Used+free, queueState.Floor)
}

// cpus is what is free of a slot, or evicted from it, in CPUs: no more of them than its accelerators stand for.
func (s *Slot) cpus(u storage.Usage) float64 {
	if s.PerGpu > 0 {
		return max(0, min(u.Cpus, u.Gpus*s.PerGpu))
	}
	return u.Cpus
}

// nextQueue is the queue whose first job starts next: of each team the queue that goes first in
// it, and of those the one whose team goes first. A team's guarantee speaks for its first job, not
// for a smaller one of a queue behind it.
func nextQueue(input *Input, live []*queue, teams []int) int {
	for t := range teams {
		teams[t] = -1
	}
	for i, q := range live {
		if b := teams[q.class.Team]; b < 0 || firstInTeam(input, q, live[b]) {
			teams[q.class.Team] = i
		}
	}
	best := -1
	for _, i := range teams {
		if i >= 0 && (best < 0 || goesBefore(input, live[i], live[best])) {
			best = i
		}
	}
	return best
}

// firstInTeam tells whether a queue's first job goes before that of another queue of its team: by
// priority, in a flood by what the queues have, then by latest start.
func firstInTeam(in *Input, a, b *queue) bool {
	ja, jb := a.jobs[0].job, b.jobs[0].job
	if ja.Priority != jb.Priority {
		return ja.Priority > jb.Priority
	}
	if c := compareFloors(in, a, b); c != 0 {
		return c < 0
	}
	return first(a.jobs[0], b.jobs[0]) < 0
}

// compareFloors compares what queues have of their floors, in a flood.
func compareFloors(in *Input, a, b *queue) int {
	if !in.Overloaded {
		return 0
	}
	sa, pa := a.state(in).rank()
	sb, pb := b.state(in).rank()
	return cmp.Or(cmp.Compare(sa, sb), cmp.Compare(pa, pb))
}

// goesBefore tells whether a team's first job goes before another team's: teams within their
// guarantee, then higher priority, then, in a flood, queues that have less than their floors;
// then the smaller dominant share.
func goesBefore(input *Input, scheduleQueue, b *queue) bool {
	ja, jb := scheduleQueue.jobs[0].job, b.jobs[0].job
	ga, gb := WithinGuarantee(input.Teams[ja.Team], input.Used[ja.Team], ja), WithinGuarantee(input.Teams[jb.Team], input.Used[jb.Team], jb)
	if ga != gb {
		return ga
	}
	if ja.Priority != jb.Priority {
		return ja.Priority > jb.Priority
	}
	if c := compareFloors(input, scheduleQueue, b); c != 0 {
		return c < 0
	}
	return DominantShare(input.Used[ja.Team], input.Capacity) < DominantShare(input.Used[jb.Team], input.Capacity)
}

// queueOf finds the queue of a job's queue, or makes one.
func queueOf(queues []*queue, j *storage.Job) ([]*queue, *queue) {
	of := storage.ClassQueueOf(j)
	for _, q := range queues {
		if q.class == of {
			return queues, q
		}
	}
	q := &queue{class: of}
	return append(queues, q), q
}
