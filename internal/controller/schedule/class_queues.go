package schedule

import (
	"cmp"
	"slices"

	"dykeledge/internal/storage"
)

// This file orders class queues: it computes each queue's capacity and selects the next queue.

// QueueState is the load of one team's class queue. Its amounts are in CPUs.
type QueueState struct {
	Baseline      float64 // baseline demand; 0: unknown
	Floor         float64 // capacity it gets in an overload before overloaded queues get more than their baseline
	Used          float64 // used by its placed tasks, on all shards
	Open          float64 // what all its running and waiting tasks would use
	UsedByOverdue float64 // used by tasks of overdue jobs, see Input.Overdue
	// OpenOnDemand is the part of Open that may not use spot machines.
	OpenOnDemand float64
	// Overloaded is true if Open is far above Baseline.
	Overloaded bool
	// AvoidsOnDemand is true if its best-effort work that may use spot machines is kept off on-demand
	// machines.
	AvoidsOnDemand bool
}

// QueueStates holds the class queues by storage.ClassQueue.Index; nil for a queue without state.
type QueueStates []*QueueState

// At returns the state of a class queue, nil if it has none.
func (s QueueStates) At(queue storage.ClassQueue) *QueueState {
	if i := queue.Index(); i < len(s) {
		return s[i]
	}
	return nil
}

// Ensure returns the state of a class queue and creates it if there is none. The list must be long enough;
// see storage.ClassQueueCount.
func (s QueueStates) Ensure(queue storage.ClassQueue) *QueueState {
	i := queue.Index()
	if s[i] == nil {
		s[i] = &QueueState{}
	}
	return s[i]
}

// The ranks of class queues in an overload. Lower ranks get capacity first.
const (
	rankBelowBaseline = iota // uses less than its baseline
	rankBelowFloor           // not overloaded itself, and uses less than its floor
	rankSatisfied            // gets a share of the remaining capacity
)

// rank returns the rank of a class queue in an overload, and what fraction, from 0 to 1, it uses of the
// baseline or floor that the rank refers to. Within a rank, the queue with the lowest fraction goes first.
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

// state returns the state of the class queue, nil if it has none.
func (q *jobQueue) state(input *Input) *QueueState { return input.Queues.At(q.class) }

// mustAvoidOnDemand reports whether a job is kept off on-demand machines in favor of other jobs.
func (in *Input) mustAvoidOnDemand(job *storage.Job) bool {
	if !in.Overloaded || !job.Spot || job.Priority.IsTop() {
		return false
	}
	state := in.Queues.At(storage.ClassQueueOf(job))
	return state != nil && state.AvoidsOnDemand
}

// capacityOf returns the capacity of a sorted class queue in CPUs: what it uses, what is free, and what its
// first job may preempt, but at least its floor.
func (in *Input) capacityOf(queue *jobQueue) float64 {
	state := queue.state(in)
	mayPreempt := queue.jobs[0].job.Priority.IsTop()
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

// effectiveCpus converts an amount of a slot's capacity to CPUs. On a machine with accelerators only the
// CPUs that belong to the amount's accelerators count, since the others can't be used without one.
func (s *Slot) effectiveCpus(amount storage.Usage) float64 {
	if s.CpusPerGpu > 0 {
		return max(0, min(amount.Cpus, amount.Gpus*s.CpusPerGpu))
	}
	return amount.Cpus
}

// noQueue marks a team without waiting jobs in nextQueue.
const noQueue = -1

// nextQueue returns the index of the queue whose first job starts next. It selects the first queue of each
// team, and among those the queue of the team that goes first. A team's guarantee is applied to the first
// job of its first queue, not to a smaller job of a later queue. firstByTeam is scratch memory with one
// entry per team.
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

// precedesInTeam reports whether a queue's first job goes before that of another queue of its team: by
// priority, then, in an overload, by rank and fraction (see QueueState.rank), then as compareJobs orders them.
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

// compareFloorFractions compares the ranks and fractions of two class queues in an overload; without an
// overload it returns 0.
func compareFloorFractions(input *Input, a, b *jobQueue) int {
	if !input.Overloaded {
		return 0
	}
	rankA, fractionA := a.state(input).rank()
	rankB, fractionB := b.state(input).rank()
	return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(fractionA, fractionB))
}

// teamPrecedes reports whether a team's first job goes before another team's: teams within their guarantee
// first, then higher priority, then, in an overload, queues below their baselines or floors, then the
// smaller dominant share.
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

// findOrAddQueue returns the queue of a job's class, adding it to the list if needed.
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
