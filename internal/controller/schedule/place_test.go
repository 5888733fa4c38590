package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// job returns a waiting job of team 0 that may run anywhere, modified by change.
func job(id string, tasks int, cpus float64, priority protocol.Priority, change ...func(*storage.Job)) *storage.Job {
	j := &storage.Job{
		ID: id, Tasks: tasks, Cpus: cpus, Mem: cpus, Priority: priority, Zone: -1, Spot: true, ReadyAt: time.Unix(1000, 0),
		Done: storage.NewBitmap(tasks), MachineOf: slices.Repeat([]int32{storage.NotPlaced}, tasks), AttemptOf: make([]uint64, tasks),
	}
	for _, apply := range change {
		apply(j)
	}
	j.TaskSize = j.Cpus
	return j
}

// slot returns an on-demand machine with 4 GB of memory per CPU, all of it free, modified by change.
func slot(name string, zone int, cpus float64, change ...func(*Slot)) *Slot {
	s := &Slot{
		Machine:  &storage.Machine{Name: name, Zone: zone},
		Free:     storage.Usage{Cpus: cpus, Mem: 4 * cpus},
		FetchGBs: 1,
		Record:   &GroupCapacity{Free: 100},
	}
	for _, apply := range change {
		apply(s)
	}
	return s
}

func TestPlace(t *testing.T) {
	team := func(n int) func(*storage.Job) { return func(j *storage.Job) { j.Team = n } }
	cases := []struct {
		name           string
		jobs           []*storage.Job
		slots          []*Slot
		teams          []config.Team
		used           []storage.Usage
		records        int            // records that may be rewritten; 0: enough
		leavesOnDemand bool           // the first class is kept off on-demand machines in an overload
		want           map[string]int // tasks placed by job/machine
		unplaced       map[string]int
		incomplete     bool
	}{
		{name: "places the tasks that fit and reports the others as unplaced",
			jobs: []*storage.Job{job("a", 3, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 8)},
			want: map[string]int{"a/m": 2}, unplaced: map[string]int{"a": 1}},
		{name: "higher priority first",
			jobs:  []*storage.Job{job("a", 2, 4, protocol.Normal), job("b", 2, 4, protocol.High)},
			slots: []*Slot{slot("m", 0, 8)}, want: map[string]int{"b/m": 2}},
		{name: "a team's limit holds although capacity is free",
			jobs: []*storage.Job{job("a", 5, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 32)},
			teams: []config.Team{{CpusMax: 9}}, want: map[string]int{"a/m": 2}},
		{name: "a team's usage on other shards counts",
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
		{name: "a class kept off on-demand machines in an overload does not affect others",
			jobs: []*storage.Job{job("a", 1, 2, protocol.Normal), job("b", 1, 2, protocol.Normal, func(j *storage.Job) { j.Class = 1 }),
				job("c", 1, 2, protocol.Normal, func(j *storage.Job) { j.Spot = false }), job("d", 1, 2, protocol.High)},
			slots: []*Slot{slot("m", 0, 16)}, leavesOnDemand: true, want: map[string]int{"b/m": 1, "c/m": 1, "d/m": 1}, unplaced: map[string]int{"a": 1}},
		{name: "equal teams share",
			jobs:  []*storage.Job{job("a", 4, 4, protocol.Normal), job("b", 4, 4, protocol.Normal, team(1))},
			slots: []*Slot{slot("m", 0, 16)}, teams: []config.Team{{}, {}}, want: map[string]int{"a/m": 2, "b/m": 2}},
		{name: "no spot machine for a job that does not allow it",
			jobs:  []*storage.Job{job("a", 1, 4, protocol.Normal, func(j *storage.Job) { j.Spot = false })},
			slots: []*Slot{slot("m", 0, 8, func(s *Slot) { s.Machine.Spot = true })}, unplaced: map[string]int{"a": 1}},
		{name: "only the requested zone",
			jobs:  []*storage.Job{job("a", 2, 4, protocol.Normal, func(j *storage.Job) { j.Zone = 1 })},
			slots: []*Slot{slot("m", 0, 8), slot("n", 1, 4)}, want: map[string]int{"a/n": 1}, unplaced: map[string]int{"a": 1}},
		{name: "all tasks in one zone, the one with most capacity",
			jobs:  []*storage.Job{job("a", 3, 4, protocol.Normal, func(j *storage.Job) { j.OneZone = true })},
			slots: []*Slot{slot("m", 0, 4), slot("n", 1, 8)}, want: map[string]int{"a/n": 2}, unplaced: map[string]int{"a": 1}},
		{name: "spread: at most half, rounded up, in a zone",
			jobs:  []*storage.Job{job("a", 5, 4, protocol.Normal, func(j *storage.Job) { j.Spread = true })},
			slots: []*Slot{slot("m", 0, 32), slot("n", 1, 4)}, want: map[string]int{"a/m": 3, "a/n": 1}, unplaced: map[string]int{"a": 1}},
		{name: "the machine with the cached image",
			jobs:  []*storage.Job{job("a", 1, 4, protocol.Normal, func(j *storage.Job) { j.Image, j.ImageGB = 7, 3 })},
			slots: []*Slot{slot("m", 0, 8), slot("n", 0, 8, func(s *Slot) { s.Images = []int{7} })},
			want:  map[string]int{"a/n": 1}},
		{name: "capacity reserved for another job is not free",
			jobs: []*storage.Job{job("a", 2, 4, protocol.Normal)},
			slots: []*Slot{slot("m", 0, 8, func(s *Slot) {
				s.Reservations = []Reservation{{Job: job("x", 1, 4, protocol.High), Slots: 1}}
			})},
			want: map[string]int{"a/m": 1}, unplaced: map[string]int{"a": 1}},
		{name: "no more records than the transaction can rewrite",
			jobs: []*storage.Job{job("a", 4, 4, protocol.Normal)}, slots: []*Slot{slot("m", 0, 4), slot("n", 0, 4)},
			records: 1, want: map[string]int{"a/m": 1}, incomplete: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if test.teams == nil {
				test.teams = []config.Team{{}}
			}
			if test.used == nil {
				test.used = make([]storage.Usage, len(test.teams))
			}
			if test.records == 0 {
				test.records = 100
			}
			queues := make(QueueStates, storage.ClassQueueCount(len(test.teams)))
			queues.Ensure(storage.ClassQueue{}).AvoidsOnDemand = test.leavesOnDemand
			result := Place(&Input{
				Slots:        test.slots,
				Jobs:         test.jobs,
				Teams:        test.teams,
				Used:         test.used,
				Queues:       queues,
				Overloaded:   test.leavesOnDemand,
				Capacity:     storage.Usage{Cpus: 100, Mem: 400},
				RecordBudget: test.records,
				Tasks:        100,
			})
			if placed := countPlaced(t, result.Placed); !maps.Equal(placed, test.want) {
				t.Fatalf("placed %v, want %v", placed, test.want)
			}
			unplaced := map[string]int{}
			for j, n := range result.UnplacedTasks {
				unplaced[j.ID] = n
			}
			for id, n := range test.unplaced {
				if unplaced[id] != n {
					t.Fatalf("unplaced tasks %v, want %d of %s", unplaced, n, id)
				}
			}
			if result.Incomplete != test.incomplete {
				t.Fatalf("incomplete: %v, want %v", result.Incomplete, test.incomplete)
			}
		})
	}
}

// countPlaced counts placements by job/machine. No task may be placed twice.
func countPlaced(t *testing.T, placements []Placement) map[string]int {
	t.Helper()
	counts := map[string]int{}
	seen := map[string]map[int]bool{}
	for _, placement := range placements {
		id := placement.Job.ID
		counts[id+"/"+placement.Slot.Machine.Name]++
		if seen[id] == nil {
			seen[id] = map[int]bool{}
		}
		if seen[id][placement.Task] {
			t.Fatalf("task %d of %s was placed twice", placement.Task, id)
		}
		seen[id][placement.Task] = true
	}
	return counts
}

// Guards against fragile tasks packed on one spot machine: with 60 small tasks of 150 s without checkpoints
// on one, its loss restarted them all, and the day's last work ended two minutes later.
func TestFragileTasksSpread(t *testing.T) {
	const tasks = 40
	for _, test := range []struct {
		name               string
		estimate           float64 // seconds
		checkpointInterval float64 // seconds; 0: none
		spot               bool
		maxOnOneMachine    int // tasks on one of four machines
	}{
		{"long and without checkpoints", 150, 0, true, 14},
		{"short", 15, 0, true, tasks},
		{"long, but with checkpoints", 150, 10, true, tasks},
		{"on on-demand machines", 150, 0, false, tasks},
	} {
		t.Run(test.name, func(t *testing.T) {
			fragile := &storage.Job{
				ID: "j", Tasks: tasks, Cpus: 0.25, Spot: true, Zone: -1,
				Estimate: test.estimate, CheckpointInterval: test.checkpointInterval,
				Done: storage.NewBitmap(tasks), MachineOf: slices.Repeat([]int32{storage.NotPlaced}, tasks),
			}
			input := &Input{
				Now: time.Now(), Jobs: []*storage.Job{fragile}, Teams: []config.Team{{}}, Used: make([]storage.Usage, 1),
				Capacity: storage.Usage{Cpus: 64}, RecordBudget: 9, Tasks: 100, OnDemandCostS: 0.2,
			}
			addSlot := func(spot bool, rank float64) {
				input.Slots = append(input.Slots, &Slot{
					Machine: &storage.Machine{Spot: spot}, Free: storage.Usage{Cpus: 16, Mem: 9},
					Images: []int{0}, PriceRank: rank, Record: &GroupCapacity{Free: 99},
				})
			}
			for i := range 4 {
				addSlot(test.spot, float64(i)/4)
			}
			addSlot(false, 0.9)
			count, maxOnOneMachine := map[*Slot]int{}, 0
			for _, placement := range Place(input).Placed {
				if !placement.Slot.Machine.Spot && test.spot {
					t.Error("a task is on the on-demand machine")
				}
				count[placement.Slot]++
				maxOnOneMachine = max(maxOnOneMachine, count[placement.Slot])
			}
			if maxOnOneMachine > test.maxOnOneMachine || test.maxOnOneMachine == tasks && maxOnOneMachine != tasks {
				t.Errorf("%d tasks on one machine, want %d", maxOnOneMachine, test.maxOnOneMachine)
			}
		})
	}
}

// Guards against a pass that scans every machine for each of hundreds of waiting jobs when the fleet is full.
func TestFullFleetIsScannedFewTimes(t *testing.T) {
	input := &Input{
		Now: time.Now(), Teams: []config.Team{{}, {}}, Used: make([]storage.Usage, 2),
		Capacity: storage.Usage{Cpus: 64}, RecordBudget: 9, Tasks: 100,
	}
	for range 4 {
		input.Slots = append(input.Slots, &Slot{Machine: &storage.Machine{Spot: true}, Free: storage.Usage{Cpus: 1, Mem: 64}, Record: &GroupCapacity{Free: 99}})
	}
	for i := range 500 {
		j := job(fmt.Sprint("j", i), 3, 2, protocol.Normal)
		j.Team = i % 2
		input.Jobs = append(input.Jobs, j)
	}
	small := job("small", 1, 1, protocol.Low)         // fits although larger jobs do not
	reserving := job("reserving", 1, 4, protocol.Low) // has reserved capacity
	input.Slots[1].Free.Cpus = 4
	input.Slots[1].Reservations = []Reservation{{Job: reserving, Slots: 1}}
	input.Jobs = append(input.Jobs, small, reserving)
	result := Place(input)
	if len(result.UnplacedTasks) != 500 || len(result.Placed) != 2 {
		t.Errorf("%d jobs short, %d tasks placed; want 500 and 2", len(result.UnplacedTasks), len(result.Placed))
	}
	if result.Scans > 5 {
		t.Errorf("%d scans of all machines, want at most 5", result.Scans)
	}
}
