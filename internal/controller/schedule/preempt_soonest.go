package schedule

import (
	"cmp"
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// fetchLimitsS are limits in seconds on the time to fetch a job's image. PreemptSoonest goes through them in
// rising order to widen its choice of machines: a job preempts where its image is cached if that frees
// enough capacity for all of its waiting tasks.
var fetchLimitsS = [...]float64{4, 10, 20, 40, 80, math.Inf(1)}

// fetchLimitIndex returns the index of the first of fetchLimitsS that a slot meets for a job.
func fetchLimitIndex(slot *Slot, job *storage.Job) int {
	return slices.IndexFunc(fetchLimitsS[:], func(limit float64) bool { return slot.fetchSeconds(job) <= limit })
}

// PreemptSoonest is Preempt limited to those of the slots where the job's tasks start soonest. Machines that
// have the job's image are considered first, and machines that would have to fetch it for longer only if the
// others free too little capacity. Candidates on machines within the same of fetchLimitsS keep their order.
//
// If no machine would fetch the image for long, only the score decides: on deployments with pipelines, whose
// work within guarantees preempts all day, preferring machines whose fetch was only a few seconds shorter
// lost more work than it saved.
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
			bestEffortFirst(a, b), // regardless of the machine
			cmp.Compare(limitIndexes[a.Victims[0].Slot], limitIndexes[b.Victims[0].Slot]),
		)
	})
	var considered []*Slot
	for limitIndex := range fetchLimitsS {
		countBefore := len(considered)
		for _, slot := range slots {
			if limitIndexes[slot] == limitIndex {
				considered = append(considered, slot)
			}
		}
		if len(considered) == countBefore {
			continue
		}
		if len(considered) == len(slots) || tasksIfAllPreempted(job, considered, sorted) >= tasks {
			return Preempt(job, tasks, considered, sorted)
		}
	}
	return nil
}

// DelayingFetches returns those of the candidates that wait for images on the machines of chosen victims and delay the
// fetch of a top-priority job's image there by minStartGainS or more: a machine fetches images in the order in which
// tasks need them, and gives a fetch up when no task waits for it. The tasks have not begun to run, so preempting them
// loses no work.
func DelayingFetches(job *storage.Job, chosen, candidates []Candidate) []Candidate {
	if !job.Priority.IsTop() {
		return nil
	}
	var slots []*Slot // where the job's image must be fetched, in the order of the chosen victims
	isChosen := map[Victim]bool{}
	for _, candidate := range chosen {
		for _, victim := range candidate.Victims {
			isChosen[victim] = true
			if hasLongFetch(victim.Slot, job) && !slices.Contains(victim.Slot.Images, job.Image) && !slices.Contains(slots, victim.Slot) {
				slots = append(slots, victim.Slot)
			}
		}
	}
	var delaying []Candidate
	for _, slot := range slots {
		var fetching []Candidate
		for _, candidate := range candidates {
			victim := candidate.Victims[0]
			if victim.Slot == slot && candidate.Fetching && !candidate.TopPriority && !isChosen[victim] && victim.Job.Image != job.Image {
				fetching = append(fetching, candidate)
			}
		}
		if fetchSecondsOf(slot, fetching) >= minStartGainS {
			delaying = append(delaying, fetching...)
		}
	}
	return delaying
}

// fetchSecondsOf returns how many seconds a slot's machine needs to fetch the images of candidates, each once.
func fetchSecondsOf(slot *Slot, candidates []Candidate) float64 {
	total := 0.0
	var images []int
	for _, candidate := range candidates {
		job := candidate.Victims[0].Job
		if !slices.Contains(images, job.Image) {
			images = append(images, job.Image)
			total += job.ImageGB / slot.FetchGBs
		}
	}
	return total
}

// hasLongFetch reports whether a slot's machine would need so long to fetch a job's image, if it does not
// have it, that a preemption on another machine may be worthwhile.
func hasLongFetch(slot *Slot, job *storage.Job) bool {
	return slot.FetchGBs > 0 && job.ImageGB/slot.FetchGBs > minStartGainS
}

// tasksIfAllPreempted returns how many tasks of a job fit on the slots once all candidates are preempted.
func tasksIfAllPreempted(job *storage.Job, slots []*Slot, candidates []Candidate) int {
	capacity := newFreeCapacity(job, slots)
	for _, candidate := range candidates {
		capacity.release(candidate)
	}
	return capacity.tasks()
}
