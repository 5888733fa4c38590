package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// Victim is a task that a preemption stops.
type Victim struct {
	Slot    *Slot
	Job     *storage.Job
	Task    int
	Attempt uint64
}

// Candidate is work that may be preempted: one task of an array, or a whole service.
type Candidate struct {
	Victims         []Victim
	LostTaskSeconds float64   // task-seconds lost by a preemption: run since the start or the last checkpoint
	WaitSeconds     float64   // seconds waited before the last start
	ReadySince      time.Time // when the job became ready; of equal scores the younger is preempted first
	Score           float64   // set by RankCandidates
	// TopPriority is true for top-priority work, which may be preempted only for a guarantee.
	TopPriority bool
	// Fetching is true for a task of an array that waits for its machine to fetch its image.
	Fetching bool
}

// Score returns the score of a preemption candidate, equation (2) of the paper that docs/design.md cites:
// alpha is the weight, from 0 to 1, of the lost work (v in the paper) against the waiting time (w in the
// paper), both in seconds. Candidates with a low score are preempted first.
func Score(alpha, lost, waited float64) float64 { return alpha*lost + (1-alpha)*waited }

// RankCandidates scores the candidates and sorts them by rising score, the younger first among equal scores.
// Top-priority work comes after all best-effort work: otherwise steps of pipelines that had just started
// would have the lowest scores and be preempted for guarantees again and again.
func RankCandidates(alpha float64, candidates []Candidate) {
	for i := range candidates {
		candidates[i].Score = Score(alpha, candidates[i].LostTaskSeconds, candidates[i].WaitSeconds)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			bestEffortFirst(a, b),
			cmp.Compare(a.Score, b.Score),
			b.ReadySince.Compare(a.ReadySince),
		)
	})
}

// bestEffortFirst compares candidates so that top-priority work comes last.
func bestEffortFirst(a, b Candidate) int {
	switch {
	case a.TopPriority && !b.TopPriority:
		return 1
	case b.TopPriority && !a.TopPriority:
		return -1
	}
	return 0
}

// Preempt takes candidates in rising score until the given number of tasks of the job fit on the slots, then
// drops candidates that are not needed. If all candidates together free capacity for fewer tasks, Preempt
// chooses for that many, and the job waits for the rest. It returns nil if they would not make room for a
// single task more than fits now.
func Preempt(job *storage.Job, tasks int, slots []*Slot, ordered []Candidate) []Candidate {
	capacity := newFreeCapacity(job, slots)
	fitNow := capacity.tasks()
	for _, candidate := range ordered {
		capacity.release(candidate)
	}
	tasks = min(tasks, capacity.tasks())
	if tasks <= fitNow {
		return nil
	}
	for _, candidate := range ordered {
		capacity.reclaim(candidate)
	}
	var chosen []Candidate
	for _, candidate := range ordered {
		if !capacity.touches(candidate) {
			continue
		}
		capacity.release(candidate)
		chosen = append(chosen, candidate)
		if capacity.tasks() >= tasks {
			break
		}
	}
	return dropUnneeded(capacity, chosen, tasks)
}

// dropUnneeded drops candidates, the highest score first, without which the given number of tasks still
// fits. capacity is the free capacity with all of them preempted.
func dropUnneeded(capacity *freeCapacity, chosen []Candidate, tasks int) []Candidate {
	for i := len(chosen) - 1; i >= 0; i-- {
		capacity.reclaim(chosen[i])
		if capacity.tasks() >= tasks {
			chosen[i].Victims = nil
		} else {
			capacity.release(chosen[i])
		}
	}
	kept := chosen[:0]
	for _, candidate := range chosen {
		if len(candidate.Victims) > 0 {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// freeCapacity counts how many tasks of a job fit into free capacity. The cost of a change is proportional to
// the number of slots changed; it does not scan all slots.
type freeCapacity struct {
	job   *storage.Job
	free  map[*Slot]storage.Usage // of the slots that the job may use
	zones []int                   // number of tasks that fit, by zone
}

func newFreeCapacity(job *storage.Job, slots []*Slot) *freeCapacity {
	capacity := &freeCapacity{job: job, free: make(map[*Slot]storage.Usage, len(slots))}
	for _, slot := range slots {
		if !Allowed(job, slot.Machine) {
			continue
		}
		free := FreeFor(slot, job)
		capacity.free[slot] = free
		capacity.zones = addInZone(capacity.zones, slot.Machine.Zone, Fits(free, job))
	}
	return capacity
}

// touches reports whether a candidate uses any slot that the job may use.
func (f *freeCapacity) touches(candidate Candidate) bool {
	return slices.ContainsFunc(candidate.Victims, func(victim Victim) bool {
		_, ok := f.free[victim.Slot]
		return ok
	})
}

// release adds the resources that a candidate uses to the free capacity.
func (f *freeCapacity) release(candidate Candidate) { f.change(candidate, 1) }

// reclaim undoes release.
func (f *freeCapacity) reclaim(candidate Candidate) { f.change(candidate, -1) }

// change adds the resources that a candidate uses, times sign, to the free capacity.
func (f *freeCapacity) change(candidate Candidate, sign float64) {
	for _, victim := range candidate.Victims {
		free, ok := f.free[victim.Slot]
		if !ok {
			continue
		}
		zone := victim.Slot.Machine.Zone
		f.zones[zone] -= Fits(free, f.job)
		free.Add(victim.Job, sign)
		f.free[victim.Slot] = free
		f.zones[zone] += Fits(free, f.job)
	}
}

// tasks returns how many tasks of the job fit into the free capacity under the job's zone constraints.
func (f *freeCapacity) tasks() int {
	job := f.job
	total := 0
	for zone, fit := range f.zones {
		placed := 0
		if zone < len(job.PlacedByZone) {
			placed = int(job.PlacedByZone[zone])
		}
		switch {
		case job.OneZone && job.PlacedCount > 0 && placed == 0:
			// The job's other tasks run in another zone.
		case job.OneZone:
			total = max(total, fit)
		case job.Spread:
			total += min(fit, max(0, job.MaxPerZone()-placed))
		default:
			total += fit
		}
	}
	return total
}

// EvictExcess takes candidates of one team in rising score until the team's usage is within its limit. Tasks
// that are already in a victim set must not be among the candidates; they count as used until they end.
func EvictExcess(used storage.Usage, limit config.Team, ordered []Candidate) []Candidate {
	exceeds := func() bool {
		return limit.CpusMax > 0 && used.Cpus > limit.CpusMax+tolerance ||
			limit.GpusMax > 0 && used.Gpus > limit.GpusMax+tolerance
	}
	var chosen []Candidate
	for _, candidate := range ordered {
		if !exceeds() {
			break
		}
		for _, victim := range candidate.Victims {
			used.Add(victim.Job, -1)
		}
		chosen = append(chosen, candidate)
	}
	return chosen
}
