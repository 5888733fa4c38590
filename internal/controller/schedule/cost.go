package schedule

import "dykeledge/internal/storage"

// The costs of a placement are in seconds and are added to the time to fetch its image: a cost of 4 on one
// machine outweighs a fetch that takes up to 4 s longer on another.
const (
	// maxPackingFetchS is how many seconds longer an image fetch may take on the machine of the lowest
	// price rank than on one of the highest for a task to be placed there all the same, so that machines
	// of high price rank become empty and can be scaled in.
	maxPackingFetchS = 3
	// spotLifetimeS is the expected time in seconds until the cloud reclaims a spot machine.
	spotLifetimeS = 7200
	// minFragileLossS is the expected loss in seconds from which a task counts as fragile.
	minFragileLossS = 1
	// maxFragileCostS limits the cost, in seconds, of placing fragile tasks together. It is also
	// the cost of placing a fragile task on an on-demand machine.
	maxFragileCostS = 12
	// fragileDivisor is the number of fragile tasks on one machine that add a cost equal to the expected
	// loss of one of them.
	fragileDivisor = 8
	// deadlineOnSpotCostS is the cost, in seconds, of placing a task of a pipeline with a deadline on a
	// spot machine.
	deadlineOnSpotCostS = 4
	// sameServiceCostS is the cost, in seconds, of placing a replica on a machine for each replica of the
	// same service there: the loss of one machine should affect few replicas of a service.
	sameServiceCostS = 4
)

// placementSeconds returns the cost of a placement in seconds: the time until the image is fetched, after
// the fetches in progress; the machine's risk; the costs of spot and of on-demand machines; and a cost that
// rises with the machine's price rank.
func placementSeconds(input *Input, slot *Slot, job *storage.Job) float64 {
	total := slot.RiskS
	total += slot.fetchSeconds(job)
	switch {
	case job.Spot && !job.TargetFinish.IsZero():
		// A task that is lost and runs again delays all jobs that depend on it, and their deadline leaves no
		// time for that.
		if slot.Machine.Spot {
			total += deadlineOnSpotCostS
		}
	case job.Spot && !slot.Machine.Spot:
		total += input.OnDemandCostS // leaves on-demand machines to tasks that need them
	}
	if loss := expectedSpotLossSeconds(job); job.Spot && loss >= minFragileLossS {
		// Fragile tasks are spread over the spot machines, but this cost must not move them to on-demand
		// machines, where they would be preempted.
		if slot.Machine.Spot {
			total += min(maxFragileCostS, loss*float64(slot.FragileTasks)/fragileDivisor)
		} else {
			total += maxFragileCostS
		}
	}
	// Cheap machines first, in a fixed order: when there is less work, the more expensive machines
	// become empty and can be scaled in.
	total += maxPackingFetchS * slot.PriceRank
	return total
}

// expectedSpotLossSeconds returns how many seconds of work a task is expected to lose because its spot
// machine is reclaimed. Long tasks without checkpoints lose most and must run again in full; many of them
// on one machine would all finish late.
func expectedSpotLossSeconds(job *storage.Job) float64 {
	lostSeconds := job.Estimate
	if job.CheckpointInterval > 0 {
		lostSeconds = min(lostSeconds, job.CheckpointInterval)
	}
	return lostSeconds * job.Estimate / spotLifetimeS
}

// AddFragile adds a task on the slot's machine to FragileTasks if it is fragile.
func (s *Slot) AddFragile(job *storage.Job) {
	if expectedSpotLossSeconds(job) >= minFragileLossS {
		s.FragileTasks++
	}
}

// sameServiceSeconds returns the cost, in seconds, of replicas of the job's service that are already on a
// slot's machine; 0 for jobs that need not be spread.
func sameServiceSeconds(cursor *jobCursor, slot *Slot) float64 {
	if !cursor.job.Spread {
		return 0
	}
	n := countSlot(cursor.placedOn, slot)
	for _, placed := range slot.Machine.Tasks {
		if placed.Job == cursor.job {
			n++
		}
	}
	return sameServiceCostS * float64(n)
}

// countSlot returns how often a slot occurs in a list.
func countSlot(slots []*Slot, slot *Slot) int {
	n := 0
	for _, other := range slots {
		if other == slot {
			n++
		}
	}
	return n
}
