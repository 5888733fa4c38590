package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// Victim is one task that a preemption stops.
type Victim struct {
	Slot    *Slot
	Job     *storage.Job
	Task    int
	Attempt uint64
}

// Candidate is work that may be preempted: one task of an array, or a whole service.
type Candidate struct {
	Victims     []Victim
	Lost        float64   // task-seconds that would be lost: run since start or last checkpoint
	Waited      float64   // seconds waited before it last started
	SubmittedAt time.Time // the job's submission; on ties the younger goes first
	Score       float64   // set by RankCandidates
	// TopPriority tells that it is top-priority work, which only a guarantee may preempt.
	TopPriority bool
}

// Score is the paper's combinatorial score, its equation (2), of a candidate: alpha is the weight, from
// 0 to 1, of the lost work (v there) against the waiting time (w there), both in
// seconds. Low goes first.
func Score(alpha, lost, waited float64) float64 { return alpha*lost + (1-alpha)*waited }

// RankCandidates scores candidates and sorts them in rising score, the younger first on ties.
// Top-priority work comes after all best-effort work: steps of pipelines that had just
// started had the least to lose, and were preempted for guarantees again and again.
func RankCandidates(alpha float64, candidates []Candidate) {
	for i := range candidates {
		candidates[i].Score = Score(alpha, candidates[i].Lost, candidates[i].Waited)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(
			bestEffortFirst(a, b),
			cmp.Compare(a.Score, b.Score),
			b.SubmittedAt.Compare(a.SubmittedAt),
		)
	})
}

// bestEffortFirst compares candidates by whether they are top-priority work, which goes last.
func bestEffortFirst(a, b Candidate) int {
	switch {
	case a.TopPriority && !b.TopPriority:
		return 1
	case b.TopPriority && !a.TopPriority:
		return -1
	}
	return 0
}

// Preempt takes candidates in rising score until so many tasks of the job fit on the
// slots, then drops those that turned out unneeded. It returns nil when all
// of them would not free enough for a single task more than fits now; when they free enough for
// fewer tasks, it takes what they free (the job waits for the rest).
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

// dropUnneeded drops candidates, the highest score first, without which so many tasks still fit. capacity is
// what is free once all of them are preempted.
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

// freeCapacity counts how many tasks of a job fit into what is free. A change costs as much as the
// slots that it changes, not a scan of all.
type freeCapacity struct {
	job   *storage.Job
	free  map[*Slot]storage.Usage // of the slots that the job may use
	zones []int                   // tasks that fit, by zone
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

// touches tells whether a candidate uses any slot that the job may use.
func (f *freeCapacity) touches(candidate Candidate) bool {
	return slices.ContainsFunc(candidate.Victims, func(victim Victim) bool {
		_, ok := f.free[victim.Slot]
		return ok
	})
}

// release frees what a candidate uses.
func (f *freeCapacity) release(candidate Candidate) { f.change(candidate, 1) }

// reclaim undoes release.
func (f *freeCapacity) reclaim(candidate Candidate) { f.change(candidate, -1) }

// change adds what a candidate uses, times sign, to what is free.
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

// tasks is how many tasks of the job fit into what is free, by what it asks for of zones.
func (f *freeCapacity) tasks() int {
	job := f.job
	total := 0
	for zone, fit := range f.zones {
		placed := 0
		if zone < len(job.ByZone) {
			placed = int(job.ByZone[zone])
		}
		switch {
		case job.OneZone && job.PlacedCount > 0 && placed == 0:
			// Its other tasks run in another zone.
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

// EvictExcess takes candidates of one team in rising score until what it uses is within its limit. Tasks
// that a victim set contains already must be left out of the candidates, and count as used until they are gone.
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
