package storage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// TestCache applies changes in the order in which a controller may learn of them, which
// is not always the order in which they were committed.
func TestCache(t *testing.T) {
	spec := &SpecRecord{Cpus: 2, Mem: 1, Image: "i"}
	job := func(final string, done int) JobRecord {
		return JobRecord{Spec: spec, Tasks: 2, Team: "red", Final: final, DoneCount: done}
	}
	rack := func(numbers ...uint64) GroupRecord {
		r := GroupRecord{}
		if len(numbers) > 0 {
			r.Machines = []GroupMachine{{Name: "m", Tasks: []PlacedTasks{{"job-000001", numbers}}}}
		}
		return r
	}
	ended := func(tasks ...int) GroupRecord { return GroupRecord{Completed: []CompletedTasks{{"job-000001", tasks}}} }
	const j, m, k = Root + "job/job-000001", Root + "fleet/m", Root + "rack/0"
	type change struct {
		key     string
		value   any // nil: deleted
		version uint64
		fails   bool
		sweep   uint64 // the revision reached, after which final jobs are forgotten
	}
	cases := []struct {
		name    string
		changes []change
		final   protocol.JobStatus
		placed  int
		used    float64
	}{
		{"placed", []change{{key: j, value: job("", 0), version: 1}, {key: k, value: rack(0, 9, 0, 0, 1, 9, 0, 0), version: 2}}, "", 2, 4},
		{"an older event changes nothing", []change{{key: j, value: job("", 0), version: 1}, {key: k, value: rack(), version: 3},
			{key: k, value: rack(0, 9, 0, 0), version: 2}}, "", 0, 0},
		{"done stays done", []change{{key: j, value: JobRecord{Tasks: 2, Team: "red", Final: "done", DoneCount: 2}, version: 5},
			{key: j, value: job("", 0), version: 1}}, protocol.Done, 0, 0},
		{"cancelled tasks count until they are gone", []change{{key: j, value: job("", 0), version: 1},
			{key: k, value: rack(0, 9, 0, 0), version: 2}, {key: j, value: job("cancelled", 0), version: 3, sweep: 3}}, protocol.Cancelled, 1, 2},
		// The controller cancelled the job itself; what was placed before comes after.
		{"a cancelled job stays known until the follow has come as far", []change{{key: j, value: job("", 0), version: 1},
			{key: j, value: job("cancelled", 0), version: 3, sweep: 1}, {key: k, value: rack(0, 9, 0, 0), version: 2}}, protocol.Cancelled, 1, 2},
		{"a deleted machine frees its tasks", []change{{key: j, value: job("", 0), version: 1},
			{key: k, value: rack(0, 9, 0, 0), version: 2}, {key: m, version: 3}}, "", 0, 0},
		{"a completed task stays so when its rack lists it no more", []change{{key: j, value: job("", 0), version: 1},
			{key: k, value: ended(1), version: 2}, {key: k, value: rack(0, 9, 0, 0), version: 3}}, "", 1, 2},
		// Read in pages, a group may be newer than the jobs that were read before it.
		{"a rack that names an unknown job is taken when it comes again", []change{{key: k, value: rack(0, 9, 0, 0), version: 4, fails: true},
			{key: j, value: job("", 0), version: 3}, {key: k, value: rack(0, 9, 0, 0), version: 4}}, "", 1, 2},
		{"but for the bar that keeps the version before from starting on packed records", []change{{key: j, value: job("", 0), version: 1},
			{key: BarrierKey, value: rack(), version: 2}}, "", 0, 0},
		{"a record of the earlier layout is refused", []change{{key: j, value: job("", 0), version: 1},
			{key: Root + "machine/m", value: rack(), version: 2, fails: true}}, "", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}}})
			if err := cache.Apply(m, Encode(FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: "m"}}}), 1, false); err != nil {
				t.Fatal(err)
			}
			for _, x := range c.changes {
				raw := Encode(x.value)
				if err := cache.Apply(x.key, raw, x.version, x.value == nil); (err != nil) != x.fails {
					t.Fatalf("%s: %v", x.key, err)
				}
				if x.sweep > 0 {
					cache.Revision = x.sweep
					cache.Sweep()
				}
			}
			if f, _ := cache.FinalState("job-000001"); f != c.final {
				t.Errorf("final state %q, want %q", f, c.final)
			}
			placed := 0
			if job := cache.Job("job-000001"); job != nil {
				placed = job.PlacedCount
			}
			if placed != c.placed || cache.Used[0].Cpus != c.used {
				t.Errorf("%d placed using %v, want %d using %v", placed, cache.Used[0].Cpus, c.placed, c.used)
			}
		})
	}
}

// TestRecount applies random changes of groups and compares what the cache keeps
// beside the records with a full count of them.
func TestRecount(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a", "z"}, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}}})
	apply := func(key string, v any, version uint64) {
		t.Helper()
		if err := cache.Apply(key, Encode(v), version, v == nil); err != nil {
			t.Fatal(err)
		}
	}
	const machines, racks, jobs, tasks = 12, 3, 6, 20
	for i := range jobs {
		apply(JobKey(fmt.Sprint("j", i)), JobRecord{Tasks: tasks, Team: []string{"red", "blue"}[i%2], Spec: &SpecRecord{Cpus: float64(1 + i), Image: "i"}}, 1)
	}
	for z, zone := range []string{"a", "z"} {
		f := FleetRecord{Type: "t", Zone: zone}
		for i := z; i < machines; i += 2 {
			f.Machines = append(f.Machines, FleetMachine{Name: fmt.Sprint("m", i), Group: i % racks})
		}
		apply(FleetKey(zone), f, 2)
	}
	type place struct{ job, task int }
	on := map[place]int{}     // machine
	ended := map[place]bool{} // for good
	for version := uint64(3); version < 400; version++ {
		rack := random.IntN(racks)
		rec := GroupRecord{}
		for i := rack; i < machines; i += racks {
			for p, m := range on {
				if m == i && random.IntN(3) == 0 {
					delete(on, p)
					ended[p] = ended[p] || random.IntN(2) == 0
				}
			}
			for range random.IntN(3) {
				p := place{random.IntN(jobs), random.IntN(tasks)}
				if _, ok := on[p]; !ok && !ended[p] {
					on[p] = i
				}
			}
			x := GroupMachine{Name: fmt.Sprint("m", i)}
			for p, m := range on {
				if m == i {
					x.Tasks = append(x.Tasks, PlacedTasks{fmt.Sprint("j", p.job), []uint64{uint64(p.task), version, 0, 0}})
				}
			}
			rec.Machines = append(rec.Machines, x)
		}
		for p := range ended {
			if ended[p] && p.job%racks == rack {
				rec.Completed = append(rec.Completed, CompletedTasks{fmt.Sprint("j", p.job), []int{p.task}})
			}
		}
		apply(GroupKey(rack), rec, version)
		var used [2]float64
		placed := make([]int, jobs)
		for _, k := range cache.Groups {
			for _, m := range k.Machines {
				for _, p := range m.Tasks {
					used[p.Job.Team] += p.Job.Cpus
					placed[p.Job.Index]++
					if p.Job.MachineOf[p.Task] != m.Index {
						t.Fatalf("version %d: %s/%d is on %d, not %d", version, p.Job.ID, p.Task, p.Job.MachineOf[p.Task], m.Index)
					}
				}
			}
		}
		for i, u := range used {
			if math.Abs(u-cache.Used[i].Cpus) > 1e-6 {
				t.Fatalf("version %d: team %d uses %v, counted %v", version, i, cache.Used[i].Cpus, u)
			}
		}
		for i, j := range cache.Jobs {
			zones := int32(0)
			for _, n := range j.ByZone {
				zones += n
			}
			if j.PlacedCount != placed[i] || int(zones) != placed[i] || j.DoneCount != j.Done.Count() {
				t.Fatalf("version %d: %s has %d placed, %d by zone, %d done; counted %d and %d", version, j.ID, j.PlacedCount, zones, j.DoneCount, placed[i], j.Done.Count())
			}
		}
	}
}

// A job's final record may be read before the group's that lists tasks which have ended: the
// record counts them all, and a job of two tasks was called done with four.
func TestEndedAreCountedOnce(t *testing.T) {
	cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Teams: []config.Team{{Name: "red"}}}})
	for i, x := range []struct {
		key   string
		value any
	}{
		{FleetKey("m"), FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: "m"}}}},
		{JobKey("job-000001"), JobRecord{Spec: &SpecRecord{Cpus: 1}, Tasks: 2, Team: "red"}},
		{GroupKey(0), GroupRecord{Machines: []GroupMachine{{Name: "m", Tasks: []PlacedTasks{{"job-000001", []uint64{0, 5, 0, 0}}}}}}},
		{JobKey("job-000001"), JobRecord{Tasks: 2, DoneCount: 2, Team: "red", Final: "done"}},
		{GroupKey(0), GroupRecord{Completed: []CompletedTasks{{"job-000001", []int{0, 1}}}}},
	} {
		if err := cache.Apply(x.key, Encode(x.value), uint64(i+1), false); err != nil {
			t.Fatal(err)
		}
	}
	if _, n := cache.FinalState("job-000001"); n != 2 {
		t.Errorf("done with %d of 2 tasks", n)
	}
}
