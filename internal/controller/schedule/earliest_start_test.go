package schedule

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Replicas fetched images for half a minute and more on whatever machine had room, beside
// machines that had their image and ran work that gives way.
func TestWhereATaskStartsSoonest(t *testing.T) {
	const img = 7
	has := func(s *Slot) { s.Images = []int{img} }
	yields := func(s *Slot) { s.Free.Cpus, s.Preemptible = 0, storage.Usage{Cpus: 8, Mem: 32} }
	boots := func(sec float64) func(*Slot) { return func(s *Slot) { s.BootS = sec } }
	fetches := func(image int, sec float64) func(*Slot) {
		return func(s *Slot) { s.FetchingImages, s.FetchDoneS = []int{image}, sec }
	}
	for _, x := range []struct {
		name    string
		gb      float64
		prio    protocol.Priority
		slots   []*Slot
		booting []*Slot
		want    string // machine, "evicts" or "waits"
	}{
		{"an image that is there beats a cheaper machine", 30, protocol.Production, []*Slot{slot("m", 0, 8), slot("n", 0, 8, has)}, nil, "n"},
		{"evicts where its image is rather than fetch it for long", 30, protocol.Production, []*Slot{slot("m", 0, 8), slot("n", 0, 8, has, yields)}, nil, "evicts"},
		{"a short fetch is not worth an eviction", 5, protocol.Production, []*Slot{slot("m", 0, 8), slot("n", 0, 8, has, yields)}, nil, "m"},
		{"best-effort work evicts nothing", 30, protocol.Normal, []*Slot{slot("m", 0, 8), slot("n", 0, 8, has, yields)}, nil, "m"},
		{"waits for a machine about to be up rather than behind others' fetches", 30, protocol.Normal, []*Slot{slot("m", 0, 8, fetches(1, 60))}, []*Slot{slot("b", 0, 8, boots(10))}, "waits"},
		{"not for one that boots for as long", 30, protocol.Normal, []*Slot{slot("m", 0, 8, fetches(1, 60))}, []*Slot{slot("b", 0, 8, boots(55))}, "m"},
		{"joins a fetch rather than begin another", 30, protocol.Normal, []*Slot{slot("m", 0, 8), slot("n", 0, 8, fetches(img, 28))}, nil, "n"},
		{"not one behind others' fetches", 30, protocol.Normal, []*Slot{slot("m", 0, 8), slot("n", 0, 8, fetches(img, 80))}, nil, "m"},
	} {
		t.Run(x.name, func(t *testing.T) {
			other := job("a", 1, 4, x.prio, func(j *storage.Job) { j.Image, j.ImageGB, j.Spot = img, x.gb, false })
			res := Place(&Input{Now: time.Unix(1000, 0), Slots: x.slots, Booting: x.booting, Jobs: []*storage.Job{other}, Teams: make([]config.Team, 1), Used: make([]storage.Usage, 1),
				Capacity: storage.Usage{Cpus: 100, Mem: 400}, Records: 9, Tasks: 9, MayPreempt: func(j *storage.Job) bool { return j.Priority.Top() }})
			got := "waits"
			switch {
			case len(res.Placed) > 0:
				got = res.Placed[0].Slot.Machine.Name
			case res.Short[other] > 0:
				got = "evicts"
			}
			if got != x.want {
				t.Errorf("%s, want %s", got, x.want)
			}
		})
	}
}

// A service's replicas part over the machines that have its image: one machine's end took all of them.
func TestReplicasPart(t *testing.T) {
	other := job("a", 6, 1, protocol.Production, func(j *storage.Job) { j.Spread, j.Image, j.ImageGB = true, 7, 30 })
	var slots []*Slot
	for i := range 6 {
		slots = append(slots, slot(fmt.Sprint("m", i), i%2, 8, func(s *Slot) { s.Images, s.Rank = []int{7}, float64(i)/6 }))
	}
	res := Place(&Input{Now: time.Unix(1000, 0), Slots: slots, Jobs: []*storage.Job{other}, Teams: make([]config.Team, 1), Used: make([]storage.Usage, 1),
		Capacity: storage.Usage{Cpus: 100, Mem: 400}, Records: 9, Tasks: 9})
	on := map[string]int{}
	for _, p := range res.Placed {
		on[p.Slot.Machine.Name]++
	}
	if len(res.Placed) != 6 || len(on) < 6 {
		t.Errorf("%d replicas on %v", len(res.Placed), on)
	}
}

// Evictions look first where the image is, in the order of their scores there, and further away
// only for what does not fit.
func TestPreemptSoonest(t *testing.T) {
	for _, x := range []struct {
		n    int
		want string
	}{{1, "n1"}, {2, "n1 n2"}, {3, "m1 n1 n2"}, {9, "m1 m2 n1 n2"}} {
		other := job("top", 9, 4, protocol.Production, func(j *storage.Job) { j.Image, j.ImageGB = 7, 30 })
		candidate, n := slot("m", 0, 0), slot("n", 0, 0, func(s *Slot) { s.Images = []int{7} })
		var cands []Candidate
		for i, s := range []*Slot{candidate, candidate, n, n} {
			v := job(fmt.Sprint(s.Machine.Name, i%2+1), 1, 4, protocol.Low)
			cands = append(cands, Candidate{Victims: []Victim{{Slot: s, Job: v}}, Lost: float64(i)})
		}
		RankCandidates(0.31, cands)
		var got []string
		for _, c := range PreemptSoonest(other, x.n, []*Slot{candidate, n}, cands) {
			got = append(got, c.Victims[0].Job.ID)
		}
		slices.Sort(got)
		if s := strings.Join(got, " "); s != x.want {
			t.Errorf("for %d tasks: %s, want %s", x.n, s, x.want)
		}
	}
}
