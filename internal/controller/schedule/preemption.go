package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// Victim is one task that an eviction stops.
type Victim struct {
	Slot    *Slot
	Job     *storage.Job
	Task    int
	Attempt uint64
}

// Candidate is best-effort work that may be evicted: one task of an array, or
// a whole service.
type Candidate struct {
	Victims     []Victim
	Lost        float64   // task-seconds that would be lost: run since start or last checkpoint
	Waited      float64   // seconds waited before it last started
	SubmittedAt time.Time // the job's submission; on ties the younger goes first
	Score       float64
	// TopPriority says that it is top-priority work, which only a guarantee may evict.
	TopPriority bool
}

// Score ranks a candidate as in the paper's equation (2): low goes first.
func Score(alpha, v, w float64) float64 { return alpha*v + (1-alpha)*w }

// RankCandidates scores candidates and sorts them in rising score, the younger first on ties.
// Top-priority work comes after all best-effort work: steps of pipelines that had just
// started had the least to lose, and were evicted for guarantees again and again.
func RankCandidates(alpha float64, cands []Candidate) {
	for i := range cands {
		cands[i].Score = Score(alpha, cands[i].Lost, cands[i].Waited)
	}
	slices.SortStableFunc(cands, func(a, b Candidate) int {
		switch {
		case a.TopPriority && !b.TopPriority:
			return 1
		case b.TopPriority && !a.TopPriority:
			return -1
		}
		return cmp.Or(cmp.Compare(a.Score, b.Score), b.SubmittedAt.Compare(a.SubmittedAt))
	})
}

// Preempt takes candidates in rising score until n tasks of the job fit on the
// slots, then drops evictions that turned out unneeded. It returns nil when all
// of them would not make room for a single task more than fits now; when they
// make room for fewer than n, it takes what they make (the job waits for the rest).
func Preempt(job *storage.Job, n int, slots []*Slot, ordered []Candidate) []Candidate {
	freeCapacity := newFreeCapacity(job, slots)
	before := freeCapacity.tasks()
	for _, c := range ordered {
		freeCapacity.release(c, 1)
	}
	n = min(n, freeCapacity.tasks())
	if n <= before {
		return nil
	}
	for _, c := range ordered {
		freeCapacity.release(c, -1)
	}
	var chosen []Candidate
	for _, c := range ordered {
		if !freeCapacity.touches(c) {
			continue
		}
		freeCapacity.release(c, 1)
		chosen = append(chosen, c)
		if freeCapacity.tasks() >= n {
			break
		}
	}
	keep := chosen[:0]
	for i := len(chosen) - 1; i >= 0; i-- { // the highest score first
		freeCapacity.release(chosen[i], -1)
		if freeCapacity.tasks() >= n {
			chosen[i].Victims = nil
		} else {
			freeCapacity.release(chosen[i], 1)
		}
	}
	for _, c := range chosen {
		if len(c.Victims) > 0 {
			keep = append(keep, c)
		}
	}
	return keep
}

// freeCapacity counts how many tasks of a job free room takes; each change costs what it
// changes, not a look at all slots.
type freeCapacity struct {
	job   *storage.Job
	free  map[*Slot]storage.Usage // of the slots that the job may use
	zones []int                   // tasks that fit, by zone
}

func newFreeCapacity(job *storage.Job, slots []*Slot) *freeCapacity {
	scheduleFreeCapacity := &freeCapacity{job: job, free: make(map[*Slot]storage.Usage, len(slots))}
	for _, s := range slots {
		if !Allowed(job, s.Machine) {
			continue
		}
		for len(scheduleFreeCapacity.zones) <= s.Machine.Zone {
			scheduleFreeCapacity.zones = append(scheduleFreeCapacity.zones, 0)
		}
		f := FreeFor(s, job)
		scheduleFreeCapacity.free[s] = f
		scheduleFreeCapacity.zones[s.Machine.Zone] += Fits(f, job)
	}
	return scheduleFreeCapacity
}

func (r *freeCapacity) touches(c Candidate) bool {
	return slices.ContainsFunc(c.Victims, func(v Victim) bool { _, ok := r.free[v.Slot]; return ok })
}

// release gives back what a candidate takes, or takes it again with a sign of -1.
func (r *freeCapacity) release(c Candidate, sign float64) {
	for _, v := range c.Victims {
		f, ok := r.free[v.Slot]
		if !ok {
			continue
		}
		z := v.Slot.Machine.Zone
		r.zones[z] -= Fits(f, r.job)
		f.Add(v.Job, sign)
		r.free[v.Slot] = f
		r.zones[z] += Fits(f, r.job)
	}
}

// tasks is how many tasks of the job the free room takes, its zones considered.
func (r *freeCapacity) tasks() int {
	job := r.job
	total := 0
	for z, n := range r.zones {
		have := 0
		if z < len(job.ByZone) {
			have = int(job.ByZone[z])
		}
		switch {
		case job.OneZone && job.PlacedCount > 0 && have == 0:
			continue
		case job.OneZone:
			total = max(total, n)
			continue
		case job.Spread:
			n = min(n, max(0, job.MaxPerZone()-have))
		}
		total += n
	}
	return total
}

// EvictExcess takes candidates of one team in rising score until what it uses is within its limit. Tasks that other sets
// evict already must be left out of the candidates, and count as used until they are gone.
func EvictExcess(used storage.Usage, limit config.Team, ordered []Candidate) []Candidate {
	var chosen []Candidate
	over := func() bool {
		return limit.CpusMax > 0 && used.Cpus > limit.CpusMax+eps || limit.GpusMax > 0 && used.Gpus > limit.GpusMax+eps
	}
	for _, c := range ordered {
		if !over() {
			break
		}
		for _, v := range c.Victims {
			used.Add(v.Job, -1)
		}
		chosen = append(chosen, c)
	}
	return chosen
}
