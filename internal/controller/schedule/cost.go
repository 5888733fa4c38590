package schedule

import "dykeledge/internal/storage"

const (
	// maxPackingFetchS is how many seconds longer a fetch may take for a task to be packed with others
	// rather than to keep another machine from being scaled in.
	maxPackingFetchS = 3
	// spotLifetimeS is the estimated time in seconds until a spot machine is taken away.
	spotLifetimeS = 7200
	// minFragileLossS is the expected loss in seconds from which on a task counts as fragile.
	minFragileLossS = 1
	// maxFragileCostS is the most, in seconds, that the loss of fragile tasks counts.
	maxFragileCostS = 12
	// fragileDivisor is how many fragile tasks on one machine cost as much again as one stands to lose.
	fragileDivisor = 8
	// deadlineOnSpotCostS is what it costs, in seconds, to put a task of a pipeline with a deadline on a
	// machine that may be taken away.
	deadlineOnSpotCostS = 4
	// sameServiceCostS is what it costs, in seconds for each, to put a replica where others of its service
	// are: the loss of one machine should take few of one service.
	sameServiceCostS = 4
)

// placementSeconds is what a placement costs in seconds: the image's fetch behind those already under way, the
// machine's risk, and small terms that only break ties.
func placementSeconds(input *Input, slot *Slot, job *storage.Job) float64 {
	total := slot.Risk
	total += slot.fetchSeconds(job)
	switch {
	case job.Spot && !job.FinishBy.IsZero():
		// A task that is lost and runs again delays all that waits for it: there is a
		// deadline behind it, which leaves no time for that.
		if slot.Machine.Spot {
			total += deadlineOnSpotCostS
		}
	case job.Spot && !slot.Machine.Spot:
		total += input.OnDemandWeight // on-demand machines are left to those that need them
	}
	if loss := expectedSpotLossSeconds(job); job.Spot && loss >= minFragileLossS {
		// Fragile tasks spread over the spot machines, but are not driven to on-demand ones by
		// that: there they would be preempted.
		if slot.Machine.Spot {
			total += min(maxFragileCostS, loss*float64(slot.Fragile)/fragileDivisor)
		} else {
			total += maxFragileCostS
		}
	}
	// Cheap machines first, in a fixed order: as work gets less, whole expensive machines become
	// empty and can be scaled in.
	total += maxPackingFetchS * slot.Rank
	return total
}

// expectedSpotLossSeconds is how many seconds a task is expected to lose because its machine is taken away. Long tasks
// without checkpoints lose most, and run their whole time again at the end; many of them on one
// machine would all be late together.
func expectedSpotLossSeconds(job *storage.Job) float64 {
	lost := job.Estimate
	if job.CheckpointInterval > 0 {
		lost = min(lost, job.CheckpointInterval)
	}
	return lost * job.Estimate / spotLifetimeS
}

// AddFragile counts a task that runs on the slot's machine in Fragile, if it stands to lose much.
func (s *Slot) AddFragile(job *storage.Job) {
	if expectedSpotLossSeconds(job) >= minFragileLossS {
		s.Fragile++
	}
}

// sameServiceSeconds is what it costs, in seconds, that replicas of the job's service are on a slot's
// machine already; 0 for jobs that need not be spread.
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

// countSlot is how often a slot is in a list.
func countSlot(slots []*Slot, slot *Slot) int {
	n := 0
	for _, other := range slots {
		if other == slot {
			n++
		}
	}
	return n
}
