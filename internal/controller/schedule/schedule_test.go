package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

func job(id string, tasks int, cpus float64, prio protocol.Priority, change ...func(*storage.Job)) *storage.Job {
	j := &storage.Job{ID: id, Tasks: tasks, Cpus: cpus, Mem: cpus, Priority: prio, Zone: -1, Spot: true,
		ReadyAt: time.Unix(1000, 0), Done: storage.NewBitmap(tasks), MachineOf: make([]int32, tasks), AttemptOf: make([]uint64, tasks)}
	for i := range j.MachineOf {
		j.MachineOf[i] = storage.Nowhere
	}
	for _, f := range change {
		f(j)
	}
	j.Size = j.Cpus
	return j
}

func slot(name string, zone int, cpus float64, change ...func(*Slot)) *Slot {
	s := &Slot{Machine: &storage.Machine{Name: name, Zone: zone}, Free: storage.Usage{Cpus: cpus, Mem: 4 * cpus}, FetchGBs: 1, Record: &GroupCapacity{Free: 100}}
	for _, f := range change {
		f(s)
	}
	return s
}

func TestPlace(t *testing.T) {
	team := func(n int) func(*storage.Job) { return func(j *storage.Job) { j.Team = n } }
	cases := []struct {
		name  string
		jobs  []*storage.Job
		slots []*Slot
		teams []config.Team
		used  []storage.Usage
		bound int
		kept  bool           // the first class leaves ordinary machines to a flood
		want  map[string]int // tasks placed by job/machine
		short map[string]int
		more  bool
	}{
		{name: "fills what fits and reports the rest",
			jobs: []*storage.Job{job("a", 3, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 8)},
			want: map[string]int{"a/m": 2}, short: map[string]int{"a": 1}},
		{name: "higher priority first",
			jobs:  []*storage.Job{job("a", 2, 4, protocol.Normal), job("b", 2, 4, protocol.High)},
			slots: []*Slot{slot("m", 0, 8)}, want: map[string]int{"b/m": 2}},
		{name: "a team's limit holds although there is room",
			jobs: []*storage.Job{job("a", 5, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 32)},
			teams: []config.Team{{CpusMax: 9}}, want: map[string]int{"a/m": 2}},
		{name: "what a team uses elsewhere counts",
			jobs: []*storage.Job{job("a", 5, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 32)},
			teams: []config.Team{{CpusMax: 9}}, used: []storage.Usage{{Cpus: 4}}, want: map[string]int{"a/m": 1}},
		{name: "a team within its guarantee goes before higher priority of others",
			jobs:  []*storage.Job{job("a", 2, 4, protocol.Low, team(1)), job("b", 2, 4, protocol.High)},
			slots: []*Slot{slot("m", 0, 8)}, teams: []config.Team{{}, {Cpus: 4}},
			want: map[string]int{"a/m": 1, "b/m": 1}},
		{name: "a class with small tasks within the guarantee does not go before its team's higher priority",
			jobs: []*storage.Job{job("a", 1, 8, protocol.High),
				job("b", 4, 2, protocol.Normal, func(j *storage.Job) { j.Class = 1 })},
			slots: []*Slot{slot("m", 0, 8)}, teams: []config.Team{{Cpus: 6}}, want: map[string]int{"a/m": 1}},
		{name: "a class that leaves ordinary machines to a flood; that says nothing of others",
			jobs: []*storage.Job{job("a", 1, 2, protocol.Normal), job("b", 1, 2, protocol.Normal, func(j *storage.Job) { j.Class = 1 }),
				job("c", 1, 2, protocol.Normal, func(j *storage.Job) { j.Spot = false }), job("d", 1, 2, protocol.High)},
			slots: []*Slot{slot("m", 0, 16)}, kept: true, want: map[string]int{"b/m": 1, "c/m": 1, "d/m": 1}, short: map[string]int{"a": 1}},
		{name: "equal teams share",
			jobs:  []*storage.Job{job("a", 4, 4, protocol.Normal), job("b", 4, 4, protocol.Normal, team(1))},
			slots: []*Slot{slot("m", 0, 16)}, teams: []config.Team{{}, {}}, want: map[string]int{"a/m": 2, "b/m": 2}},
		{name: "no spot machine for a job that forbids it",
			jobs:  []*storage.Job{job("a", 1, 4, protocol.Normal, func(j *storage.Job) { j.Spot = false })},
			slots: []*Slot{slot("m", 0, 8, func(s *Slot) { s.Machine.Spot = true })}, short: map[string]int{"a": 1}},
		{name: "only the zone that is asked for",
			jobs:  []*storage.Job{job("a", 2, 4, protocol.Normal, func(j *storage.Job) { j.Zone = 1 })},
			slots: []*Slot{slot("m", 0, 8), slot("n", 1, 4)}, want: map[string]int{"a/n": 1}, short: map[string]int{"a": 1}},
		{name: "all tasks in one zone, the roomiest",
			jobs:  []*storage.Job{job("a", 3, 4, protocol.Normal, func(j *storage.Job) { j.OneZone = true })},
			slots: []*Slot{slot("m", 0, 4), slot("n", 1, 8)}, want: map[string]int{"a/n": 2}, short: map[string]int{"a": 1}},
		{name: "scattered: at most half, rounded up, in a zone",
			jobs:  []*storage.Job{job("a", 5, 4, protocol.Normal, func(j *storage.Job) { j.Spread = true })},
			slots: []*Slot{slot("m", 0, 32), slot("n", 1, 4)}, want: map[string]int{"a/m": 3, "a/n": 1}, short: map[string]int{"a": 1}},
		{name: "the machine with the image",
			jobs:  []*storage.Job{job("a", 1, 4, protocol.Normal, func(j *storage.Job) { j.Image, j.ImageGB = 7, 3 })},
			slots: []*Slot{slot("m", 0, 8), slot("n", 0, 8, func(s *Slot) { s.Images = []int{7} })},
			want:  map[string]int{"a/n": 1}},
		{name: "room held for another job is not free",
			jobs: []*storage.Job{job("a", 2, 4, protocol.Normal)},
			slots: []*Slot{slot("m", 0, 8, func(s *Slot) {
				s.Reservations = []Reservation{{Job: job("x", 1, 4, protocol.High), Slots: 1}}
			})},
			want: map[string]int{"a/m": 1}, short: map[string]int{"a": 1}},
		{name: "no more records than the transaction takes",
			jobs: []*storage.Job{job("a", 4, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 4), slot("n", 0, 4)},
			bound: 1, want: map[string]int{"a/m": 1}, more: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.teams == nil {
				c.teams = []config.Team{{}}
			}
			if c.used == nil {
				c.used = make([]storage.Usage, len(c.teams))
			}
			if c.bound == 0 {
				c.bound = 100
			}
			lanes := make(QueueStates, storage.ClassQueueCount(len(c.teams)))
			lanes.Ensure(storage.ClassQueue{}).LeavesOnDemand = c.kept
			res := Place(&Input{Slots: c.slots, Jobs: c.jobs, Teams: c.teams, Used: c.used, Queues: lanes, Overloaded: c.kept,
				Capacity: storage.Usage{Cpus: 100, Mem: 400}, Records: c.bound, Tasks: 100})
			got := map[string]int{}
			seen := map[string]map[int]bool{}
			for _, p := range res.Placed {
				got[p.Job.ID+"/"+p.Slot.Machine.Name]++
				if seen[p.Job.ID] == nil {
					seen[p.Job.ID] = map[int]bool{}
				}
				if seen[p.Job.ID][p.Task] {
					t.Fatalf("task %d of %s was placed twice", p.Task, p.Job.ID)
				}
				seen[p.Job.ID][p.Task] = true
			}
			if len(got) != len(c.want) {
				t.Fatalf("placed %v, want %v", got, c.want)
			}
			for k, n := range c.want {
				if got[k] != n {
					t.Fatalf("placed %v, want %v", got, c.want)
				}
			}
			for id, n := range c.short {
				ok := false
				for j, m := range res.Short {
					ok = ok || (j.ID == id && m == n)
				}
				if !ok {
					t.Fatalf("short %v, want %d of %s", res.Short, n, id)
				}
			}
			if res.More != c.more {
				t.Fatalf("more %v, want %v", res.More, c.more)
			}
		})
	}
}

func TestPreempt(t *testing.T) {
	candidate, n := slot("m", 0, 0), slot("n", 0, 1)
	young, old := time.Unix(2000, 0), time.Unix(1000, 0)
	cand := func(id string, s *Slot, cpus, v, w float64, at time.Time) Candidate {
		return Candidate{Victims: []Victim{{Slot: s, Job: job(id, 1, cpus, protocol.Normal)}}, Lost: v, Waited: w, SubmittedAt: at}
	}
	top := job("top", 9, 4, protocol.High)
	cases := []struct {
		name  string
		alpha float64
		n     int
		cands []Candidate
		want  []string
	}{
		{"least lost work first when alpha is 1", 1, 1,
			[]Candidate{cand("a", candidate, 4, 9, 1, old), cand("b", n, 4, 2, 50, old)}, []string{"b"}},
		{"shortest wait first when alpha is 0", 0, 1,
			[]Candidate{cand("a", candidate, 4, 9, 1, old), cand("b", n, 4, 2, 50, old)}, []string{"a"}},
		{"both weighed", 0.31, 1,
			[]Candidate{cand("a", candidate, 4, 100, 1, old), cand("b", n, 4, 2, 30, old)}, []string{"b"}},
		{"the younger goes on ties", 0.31, 1,
			[]Candidate{cand("a", candidate, 4, 5, 5, old), cand("b", candidate, 4, 5, 5, young)}, []string{"b"}},
		{"stops once it fits", 1, 2,
			[]Candidate{cand("a", candidate, 4, 1, 0, old), cand("b", candidate, 4, 2, 0, old), cand("c", candidate, 4, 3, 0, old)}, []string{"a", "b"}},
		{"drops what turned out unneeded", 1, 1,
			[]Candidate{cand("a", candidate, 2, 1, 0, old), cand("b", n, 4, 2, 0, old)}, []string{"b"}},
		{"takes what can be had when not all fits", 1, 5,
			[]Candidate{cand("a", candidate, 4, 1, 0, old)}, []string{"a"}},
		{"evicts nobody when it would not help", 1, 1,
			[]Candidate{cand("a", candidate, 2, 1, 0, old)}, nil},
		{"two small ones make room for one large", 1, 1,
			[]Candidate{cand("a", candidate, 2, 1, 0, old), cand("b", candidate, 2, 2, 0, old)}, []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			RankCandidates(c.alpha, c.cands)
			chosen := Preempt(top, c.n, []*Slot{candidate, n}, c.cands)
			var got []string
			for _, x := range chosen {
				got = append(got, x.Victims[0].Job.ID)
			}
			if len(got) != len(c.want) {
				t.Fatalf("evicted %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Fatalf("evicted %v, want %v", got, c.want)
				}
			}
		})
	}
}

// Small tasks of 150 s that do not save ran on a spot machine, 60 on one; when that was
// taken they all began again, and the day's last work ended two minutes later.
func TestFragileTasksSpread(t *testing.T) {
	for _, x := range []struct {
		name           string
		estimate, mark float64
		spot           bool
		most           int // tasks on one of four machines
	}{
		{"long and never saved", 150, 0, true, 14},
		{"short", 15, 0, true, 40},
		{"long, but saves", 150, 10, true, 40},
		{"on machines that are not taken", 150, 0, false, 40},
	} {
		job := &storage.Job{ID: "j", Tasks: 40, Cpus: 0.25, Estimate: x.estimate, CheckpointInterval: x.mark, Spot: true, Zone: -1,
			Done: storage.NewBitmap(40), MachineOf: slices.Repeat([]int32{storage.Nowhere}, 40)}
		input := &Input{Now: time.Now(), Jobs: []*storage.Job{job}, Teams: []config.Team{{}}, Used: make([]storage.Usage, 1),
			Capacity: storage.Usage{Cpus: 64}, Records: 9, Tasks: 100}
		for i := range 4 {
			input.Slots = append(input.Slots, &Slot{Machine: &storage.Machine{Spot: x.spot}, Free: storage.Usage{Cpus: 16, Mem: 9},
				Images: []int{0}, Rank: float64(i) / 4, Record: &GroupCapacity{Free: 99}})
		}
		input.Slots = append(input.Slots, &Slot{Machine: &storage.Machine{}, Free: storage.Usage{Cpus: 16, Mem: 9},
			Images: []int{0}, Rank: 0.9, Record: &GroupCapacity{Free: 99}})
		input.OnDemandWeight = 0.2
		count, most := map[*Slot]int{}, 0
		for _, p := range Place(input).Placed {
			if !p.Slot.Machine.Spot && x.spot {
				t.Errorf("%s: a task is on the ordinary machine", x.name)
			}
			count[p.Slot]++
			most = max(most, count[p.Slot])
		}
		if most > x.most || x.most == 40 && most != 40 {
			t.Errorf("%s: %d tasks on one machine, want %d", x.name, most, x.most)
		}
	}
}

// With a full fleet each of hundreds of waiting jobs looked at every machine, each pass.
func TestFullFleetIsLookedAtOnce(t *testing.T) {
	input := &Input{Now: time.Now(), Teams: []config.Team{{}, {}}, Used: make([]storage.Usage, 2), Capacity: storage.Usage{Cpus: 64}, Records: 9, Tasks: 100}
	for range 4 {
		input.Slots = append(input.Slots, &Slot{Machine: &storage.Machine{Spot: true}, Free: storage.Usage{Cpus: 1, Mem: 64}, Record: &GroupCapacity{Free: 99}})
	}
	for i := range 500 {
		j := job(fmt.Sprint("j", i), 3, 2, protocol.Normal)
		j.Team = i % 2
		input.Jobs = append(input.Jobs, j)
	}
	small := job("small", 1, 1, protocol.Low) // fits although larger ones do not
	kept := job("kept", 1, 4, protocol.Low)   // has room of its own
	input.Slots[1].Free.Cpus = 4
	input.Slots[1].Reservations = []Reservation{{Job: kept, Slots: 1}}
	input.Jobs = append(input.Jobs, small, kept)
	res := Place(input)
	if len(res.Short) != 500 || len(res.Placed) != 2 {
		t.Errorf("%d jobs short, %d tasks placed; want 500 and 2", len(res.Short), len(res.Placed))
	}
	if res.Scans > 5 {
		t.Errorf("%d looks at all machines", res.Scans)
	}
}

// For a guarantee whatever another team runs beyond its own may go, but top-priority work
// only when best-effort work does not do.
func TestOrder(t *testing.T) {
	old, young := time.Unix(100, 0), time.Unix(200, 0)
	cands := []Candidate{{Lost: 1, TopPriority: true, SubmittedAt: old}, {Lost: 90, Waited: 10, SubmittedAt: old}, {Lost: 5, Waited: 5, SubmittedAt: old}, {Lost: 5, Waited: 5, SubmittedAt: young}, {TopPriority: true, SubmittedAt: young}}
	RankCandidates(0.5, cands)
	var got []float64
	for _, c := range cands {
		got = append(got, c.Score)
	}
	if !slices.Equal(got, []float64{5, 5, 50, 0, 0.5}) || cands[0].SubmittedAt != young || cands[3].TopPriority != true {
		t.Errorf("order %+v", cands)
	}
}
