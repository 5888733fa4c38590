package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
)

// Victim is one task that an eviction stops.
type Victim struct {
	Slot    *Slot
	Job     *bookkeeping.Job
	Task    int
	Attempt uint64
}

// Candidate is best-effort work that may be evicted: one task of an array, or
// a whole service.
type Candidate struct {
	Victims []Victim
	V       float64   // task-seconds that would be lost: run since start or last checkpoint
	W       float64   // seconds waited before it last started
	At      time.Time // the job's submission; on ties the younger goes first
	Score   float64
	// Top says that it is top-priority work, which only a guarantee may evict.
	Top bool
}

// Score ranks a candidate as in the paper's equation (2): low goes first.
func Score(alpha, v, w float64) float64 { return alpha*v + (1-alpha)*w }

// Order scores candidates and sorts them in rising score, the younger first on ties.
// Top-priority work comes after all best-effort work: steps of pipelines that had just
// started had the least to lose, and were evicted for guarantees again and again.
func Order(alpha float64, cands []Candidate) {
	for i := range cands {
		cands[i].Score = Score(alpha, cands[i].V, cands[i].W)
	}
	slices.SortStableFunc(cands, func(a, b Candidate) int {
		switch {
		case a.Top && !b.Top:
			return 1
		case b.Top && !a.Top:
			return -1
		}
		return cmp.Or(cmp.Compare(a.Score, b.Score), b.At.Compare(a.At))
	})
}

// Evict takes candidates in rising score until n tasks of the job fit on the
// slots, then drops evictions that turned out unneeded. It returns nil when all
// of them would not make room for a single task more than fits now; when they
// make room for fewer than n, it takes what they make (the job waits for the rest).
func Evict(j *bookkeeping.Job, n int, slots []*Slot, ordered []Candidate) []Candidate {
	free := map[*Slot]bookkeeping.Usage{}
	for _, s := range slots {
		if Allowed(j, s.M) {
			free[s] = FreeFor(s, j)
		}
	}
	before := room(j, slots, free)
	all := make(map[*Slot]bookkeeping.Usage, len(free))
	for s, f := range free {
		all[s] = f
	}
	for _, c := range ordered {
		release(all, c, 1)
	}
	n = min(n, room(j, slots, all))
	if n <= before {
		return nil
	}
	var chosen []Candidate
	for _, c := range ordered {
		if !touches(free, c) {
			continue
		}
		release(free, c, 1)
		chosen = append(chosen, c)
		if room(j, slots, free) >= n {
			break
		}
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		release(free, chosen[i], -1)
		if room(j, slots, free) >= n {
			chosen = slices.Delete(chosen, i, i+1)
		} else {
			release(free, chosen[i], 1)
		}
	}
	return chosen
}

func touches(free map[*Slot]bookkeeping.Usage, c Candidate) bool {
	return slices.ContainsFunc(c.Victims, func(v Victim) bool { _, ok := free[v.Slot]; return ok })
}

func release(free map[*Slot]bookkeeping.Usage, c Candidate, sign float64) {
	for _, v := range c.Victims {
		if f, ok := free[v.Slot]; ok {
			f.Cpus += sign * v.Job.Cpus
			f.Gpus += sign * v.Job.Gpus
			f.Mem += sign * v.Job.Mem
			free[v.Slot] = f
		}
	}
}

// room is how many tasks of a job the free room takes, its zones considered.
func room(j *bookkeeping.Job, slots []*Slot, free map[*Slot]bookkeeping.Usage) int {
	var zones []int
	for _, s := range slots {
		f, ok := free[s]
		if !ok {
			continue
		}
		for len(zones) <= s.M.Zone {
			zones = append(zones, 0)
		}
		zones[s.M.Zone] += Fits(f, j)
	}
	total := 0
	for z, n := range zones {
		have := 0
		if z < len(j.ByZone) {
			have = int(j.ByZone[z])
		}
		switch {
		case j.OneZone && j.NPlaced > 0 && have == 0:
			continue
		case j.OneZone:
			total = max(total, n)
			continue
		case j.Spread:
			n = min(n, max(0, (j.Tasks+1)/2-have))
		}
		total += n
	}
	return total
}
