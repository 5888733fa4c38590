package schedule

import (
	"cmp"
	"slices"

	"dykeledge/internal/storage"
)

// This file orders class queues: what each may count on, and whose turn it is.

// QueueState is what is known of one team's class queue. Its amounts are in CPUs.
type QueueState struct {
	Baseline float64 // kept busy most of the time; 0: not known
	Floor    float64 // kept in an overload before overloaded queues get more than their baseline
	Used     float64 // used by its placed tasks, on all shards
	Open     float64 // that all its tasks would use that run or wait
	Late     float64 // used by tasks of jobs that have waited far too long
	// OpenOnDemand is what of Open may not use spot machines.
	OpenOnDemand float64
	// Overloaded tells that far more is open than the baseline.
	Overloaded bool
	// LeavesOnDemand tells that its best-effort work which may use spot machines is kept off on-demand ones.
	LeavesOnDemand bool
}

// QueueStates are class queues by storage.ClassQueue.Index; nil where there is none.
type QueueStates []*QueueState

// At is the state of a class queue, nil if there is none.
func (s QueueStates) At(queue storage.ClassQueue) *QueueState {
	if i := queue.Index(); i < len(s) {
		return s[i]
	}
	return nil
}

// Ensure is the state of a class queue, made if there is none. The list must be long enough for it; see
// storage.ClassQueueCount.
func (s QueueStates) Ensure(queue storage.ClassQueue) *QueueState {
	i := queue.Index()
	if s[i] == nil {
		s[i] = &QueueState{}
	}
	return s[i]
}

// The ranks of class queues in an overload, in the order in which they get capacity.
const (
	rankBelowBaseline = iota // has less than its baseline
	rankBelowFloor           // not overloaded itself, and has less than its floor
	rankSatisfied            // shares what is left
)

// rank is where a class queue stands in an overload, and within a rank how much it has of what it
// stands for there, from 0 to 1: the one that lacks most goes first.
func (s *QueueState) rank() (rank int, fraction float64) {
	switch {
	case s == nil || s.Floor <= 0:
		return rankSatisfied, 1
	case s.Used < s.Baseline:
		return rankBelowBaseline, s.Used / s.Baseline
	case s.Used < s.Floor && !s.Overloaded:
		return rankBelowFloor, s.Used / s.Floor
	}
	return rankSatisfied, 1
}

// state is what is known of a class queue, nil if nothing is.
func (q *jobQueue) state(input *Input) *QueueState { return input.Queues.At(q.class) }

// mustAvoidOnDemand tells whether a job is kept off on-demand machines, which are left to others.
func (in *Input) mustAvoidOnDemand(job *storage.Job) bool {
	if !in.Overloaded || !job.Spot || job.Priority.Top() {
		return false
	}
	state := in.Queues.At(storage.ClassQueueOf(job))
	return state != nil && state.LeavesOnDemand
}

// capacityOf is how many CPUs a sorted class queue may count on: what it uses, what is free, what its
// first job may preempt, and no less than its floor.
func (in *Input) capacityOf(queue *jobQueue) float64 {
	state := queue.state(in)
	mayPreempt := queue.jobs[0].job.Priority.Top()
	usesSpot := slices.ContainsFunc(queue.jobs, func(cursor *jobCursor) bool { return cursor.job.Spot })
	free := 0.0
	for _, slot := range in.Slots {
		if slot.Machine.Spot && !usesSpot {
			continue
		}
		free += slot.effectiveCpus(slot.Free)
		if mayPreempt {
			free += slot.effectiveCpus(slot.Preemptible)
		}
	}
	return max(state.Used+free, state.Floor)
}

// effectiveCpus is what part of a slot's capacity comes to in CPUs: with accelerators no more CPUs than
// belong to those, since the others are of no use without one.
func (s *Slot) effectiveCpus(amount storage.Usage) float64 {
	if s.PerGpu > 0 {
		return max(0, min(amount.Cpus, amount.Gpus*s.PerGpu))
	}
	return amount.Cpus
}

// noQueue marks a team without waiting jobs in nextQueue.
const noQueue = -1

// nextQueue is the index of the queue whose first job starts next: of each team the queue that goes
// first in it, and of those the one whose team goes first. A team's guarantee counts for its first job,
// not for a smaller one of a queue behind it. firstByTeam is scratch memory, one entry a team.
func nextQueue(input *Input, queues []*jobQueue, firstByTeam []int) int {
	for team := range firstByTeam {
		firstByTeam[team] = noQueue
	}
	for i, queue := range queues {
		team := queue.class.Team
		if first := firstByTeam[team]; first == noQueue || precedesInTeam(input, queue, queues[first]) {
			firstByTeam[team] = i
		}
	}
	best := noQueue
	for _, i := range firstByTeam {
		if i != noQueue && (best == noQueue || teamPrecedes(input, queues[i], queues[best])) {
			best = i
		}
	}
	return best
}

// precedesInTeam tells whether a queue's first job goes before that of another queue of its team: by
// priority, in an overload by what the queues have of their floors, then by latest start.
func precedesInTeam(input *Input, a, b *jobQueue) bool {
	jobA, jobB := a.jobs[0].job, b.jobs[0].job
	if jobA.Priority != jobB.Priority {
		return jobA.Priority > jobB.Priority
	}
	if order := compareFloorFractions(input, a, b); order != 0 {
		return order < 0
	}
	return compareJobs(a.jobs[0], b.jobs[0]) < 0
}

// compareFloorFractions compares what class queues have of their floors, in an overload.
func compareFloorFractions(input *Input, a, b *jobQueue) int {
	if !input.Overloaded {
		return 0
	}
	rankA, fractionA := a.state(input).rank()
	rankB, fractionB := b.state(input).rank()
	return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(fractionA, fractionB))
}

// teamPrecedes tells whether a team's first job goes before another team's: teams within their
// guarantee, then higher priority, then, in an overload, queues that have less than their floors; then
// the smaller dominant share.
func teamPrecedes(input *Input, a, b *jobQueue) bool {
	jobA, jobB := a.jobs[0].job, b.jobs[0].job
	usedA, usedB := input.Used[jobA.Team], input.Used[jobB.Team]
	guaranteedA := WithinGuarantee(input.Teams[jobA.Team], usedA, jobA)
	guaranteedB := WithinGuarantee(input.Teams[jobB.Team], usedB, jobB)
	if guaranteedA != guaranteedB {
		return guaranteedA
	}
	if jobA.Priority != jobB.Priority {
		return jobA.Priority > jobB.Priority
	}
	if order := compareFloorFractions(input, a, b); order != 0 {
		return order < 0
	}
	return DominantShare(usedA, input.Capacity) < DominantShare(usedB, input.Capacity)
}

// findOrAddQueue finds the queue of a job's class, or adds it to the list.
func findOrAddQueue(queues []*jobQueue, job *storage.Job) ([]*jobQueue, *jobQueue) {
	class := storage.ClassQueueOf(job)
	for _, queue := range queues {
		if queue.class == class {
			return queues, queue
		}
	}
	added := &jobQueue{class: class}
	return append(queues, added), added
}
