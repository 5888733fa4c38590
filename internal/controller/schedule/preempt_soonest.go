package schedule

import (
	"cmp"
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// fetchLimitsS are the seconds up to which a machine may fetch a job's image, in the steps in which
// PreemptSoonest widens its choice: a job preempts where its image is, if that frees enough for all of its
// waiting tasks.
var fetchLimitsS = [...]float64{4, 10, 20, 40, 80, math.Inf(1)}

// fetchLimitIndex is the index of the first step in which a slot is considered for a job.
func fetchLimitIndex(slot *Slot, job *storage.Job) int {
	return slices.IndexFunc(fetchLimitsS[:], func(limit float64) bool { return slot.fetchSeconds(job) <= limit })
}

// PreemptSoonest is Preempt on the machines where the job's tasks start soonest, of all slots: those that
// have the job's image go first, and those that would have to fetch it for longer are only
// considered if those before give too little capacity. Among machines alike the order of the candidates
// is kept.
//
// Where no machine fetches the image for long, the score alone decides: on deployments with pipelines,
// whose work within guarantees preempts all day, preferring machines a few seconds nearer lost more than
// it gained.
func PreemptSoonest(job *storage.Job, tasks int, slots []*Slot, ordered []Candidate) []Candidate {
	if !slices.ContainsFunc(slots, func(slot *Slot) bool { return hasLongFetch(slot, job) }) {
		return Preempt(job, tasks, slots, ordered)
	}
	limitIndexes := make(map[*Slot]int, len(slots))
	for _, slot := range slots {
		limitIndexes[slot] = fetchLimitIndex(slot, job)
	}
	sorted := slices.Clone(ordered)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(
			bestEffortFirst(a, b), // wherever it is
			cmp.Compare(limitIndexes[a.Victims[0].Slot], limitIndexes[b.Victims[0].Slot]),
		)
	})
	var near []*Slot
	for limitIndex := range fetchLimitsS {
		before := len(near)
		for _, slot := range slots {
			if limitIndexes[slot] == limitIndex {
				near = append(near, slot)
			}
		}
		if len(near) == before {
			continue
		}
		if len(near) == len(slots) || tasksIfAllPreempted(job, near, sorted) >= tasks {
			return Preempt(job, tasks, near, sorted)
		}
	}
	return nil
}

// hasLongFetch tells whether a slot's machine would fetch a job's image, if it has not got it, for so
// long that a preemption elsewhere may be worth while.
func hasLongFetch(slot *Slot, job *storage.Job) bool {
	return slot.FetchGBs > 0 && job.ImageGB/slot.FetchGBs > minStartGainS
}

// tasksIfAllPreempted is how many tasks of a job fit on the slots once all candidates are preempted.
func tasksIfAllPreempted(job *storage.Job, slots []*Slot, candidates []Candidate) int {
	capacity := newFreeCapacity(job, slots)
	for _, candidate := range candidates {
		capacity.release(candidate)
	}
	return capacity.tasks()
}
