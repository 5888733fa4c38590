package schedule

import (
	"slices"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

func TestPreempt(t *testing.T) {
	slotM, slotN := slot("m", 0, 0), slot("n", 0, 1)
	young, old := time.Unix(2000, 0), time.Unix(1000, 0)
	candidate := func(id string, s *Slot, cpus, lost, waited float64, submitted time.Time) Candidate {
		return Candidate{Victims: []Victim{{Slot: s, Job: job(id, 1, cpus, protocol.Normal)}}, LostTaskSeconds: lost, WaitSeconds: waited, ReadySince: submitted}
	}
	top := job("top", 9, 4, protocol.High)
	cases := []struct {
		name       string
		alpha      float64
		tasks      int
		candidates []Candidate
		want       []string
	}{
		{"least lost work first when alpha is 1", 1, 1,
			[]Candidate{candidate("a", slotM, 4, 9, 1, old), candidate("b", slotN, 4, 2, 50, old)}, []string{"b"}},
		{"shortest wait first when alpha is 0", 0, 1,
			[]Candidate{candidate("a", slotM, 4, 9, 1, old), candidate("b", slotN, 4, 2, 50, old)}, []string{"a"}},
		{"both weighted", 0.31, 1,
			[]Candidate{candidate("a", slotM, 4, 100, 1, old), candidate("b", slotN, 4, 2, 30, old)}, []string{"b"}},
		{"the younger goes first on ties", 0.31, 1,
			[]Candidate{candidate("a", slotM, 4, 5, 5, old), candidate("b", slotM, 4, 5, 5, young)}, []string{"b"}},
		{"stops once it fits", 1, 2,
			[]Candidate{candidate("a", slotM, 4, 1, 0, old), candidate("b", slotM, 4, 2, 0, old), candidate("c", slotM, 4, 3, 0, old)}, []string{"a", "b"}},
		{"drops an unneeded candidate", 1, 1,
			[]Candidate{candidate("a", slotM, 2, 1, 0, old), candidate("b", slotN, 4, 2, 0, old)}, []string{"b"}},
		{"preempts for fewer tasks when not all fit", 1, 5,
			[]Candidate{candidate("a", slotM, 4, 1, 0, old)}, []string{"a"}},
		{"preempts nothing when it would not help", 1, 1,
			[]Candidate{candidate("a", slotM, 2, 1, 0, old)}, nil},
		{"two small candidates free enough capacity for one large task", 1, 1,
			[]Candidate{candidate("a", slotM, 2, 1, 0, old), candidate("b", slotM, 2, 2, 0, old)}, []string{"a", "b"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			RankCandidates(test.alpha, test.candidates)
			var preempted []string
			for _, chosen := range Preempt(top, test.tasks, []*Slot{slotM, slotN}, test.candidates) {
				preempted = append(preempted, chosen.Victims[0].Job.ID)
			}
			if !slices.Equal(preempted, test.want) {
				t.Fatalf("preempted %v, want %v", preempted, test.want)
			}
		})
	}
}

// Any work that another team runs beyond its own guarantee may be preempted for a guarantee, but top-priority
// work only if preempting best-effort work is not enough.
func TestRankCandidates(t *testing.T) {
	old, young := time.Unix(100, 0), time.Unix(200, 0)
	candidates := []Candidate{
		{LostTaskSeconds: 1, TopPriority: true, ReadySince: old},
		{LostTaskSeconds: 90, WaitSeconds: 10, ReadySince: old},
		{LostTaskSeconds: 5, WaitSeconds: 5, ReadySince: old},
		{LostTaskSeconds: 5, WaitSeconds: 5, ReadySince: young},
		{TopPriority: true, ReadySince: young},
	}
	RankCandidates(0.5, candidates)
	var scores []float64
	for _, candidate := range candidates {
		scores = append(scores, candidate.Score)
	}
	if !slices.Equal(scores, []float64{5, 5, 50, 0, 0.5}) || candidates[0].ReadySince != young || !candidates[3].TopPriority {
		t.Errorf("order %+v", candidates)
	}
}
