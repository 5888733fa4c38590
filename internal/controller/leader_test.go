package controller

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// The shard with the most work for its machines took them from one whose team had
// less than it is guaranteed, whose work then waited for evictions.
func TestMovesHonourGuarantees(t *testing.T) {
	cases := []struct {
		name      string
		guarantee float64 // of red, in shard 0; blue has none
		machines  [2]int  // of 8 CPUs, by shard, each a group of its own
		demand    [2]int  // tasks of 4 CPUs that wait, by team
		usual     [2]float64
		moves     int // from shard 1 to 0; below 0: the other way
	}{
		{"to the greater load, without guarantees", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{}, -2},
		{"not below what is guaranteed", 32, [2]int{4, 4}, [2]int{10, 60}, [2]float64{}, 0},
		{"to a team below its guarantee, whatever the load", 32, [2]int{1, 7}, [2]int{10, 60}, [2]float64{}, 3},
		{"no more than its work takes", 32, [2]int{1, 7}, [2]int{3, 60}, [2]float64{}, 1},
		{"not for a flood from a team that asks for its usual", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{20, 8}, 0},
		{"to the greater load, where it is no flood", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{20, 100}, -2},
		{"a guarantee goes before another's usual", 32, [2]int{1, 7}, [2]int{10, 60}, [2]float64{8, 60}, 3},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 2, Zones: []string{"a"},
				Teams: []config.Team{{Name: "red", Cpus: x.guarantee}, {Name: "blue"}}, State: config.State{TxnOps: 12, WriteRPS: 80},
				Objectives: []config.Objective{{Kind: "guarantee", WithinS: 5}, {Kind: "finished", Class: "c", WithinS: 60}}}}
			controller := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
			controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 8}}})
			put := func(key string, v any) {
				if err := controller.cache.Apply(key, storage.Encode(v), 3, false); err != nil {
					t.Fatal(err)
				}
			}
			fleet := storage.FleetRecord{Type: "t", Zone: "a"}
			for share, n := range x.machines {
				for range n {
					rack := len(fleet.Machines)
					put(storage.GroupKey(rack), storage.GroupRecord{Shard: share})
					fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", rack), Group: rack})
				}
			}
			put(storage.FleetKey("m0"), fleet)
			for team, n := range x.demand {
				put(storage.JobKey(fmt.Sprintf("job-%06d", team)), storage.JobRecord{Tasks: n, Team: cfg.Deployment.Teams[team].Name, SubmittedMs: time.Now().UnixMilli(),
					Spec: &storage.SpecRecord{Class: "c", Cpus: 4, Mem: 1, Image: "i", Spot: true, Estimate: 30}})
			}
			put(storage.BaselineKey, controller.cache.BaselineRecordOf(map[storage.ClassQueue]float64{{Team: 0}: x.usual[0], {Team: 1}: x.usual[1]}, 2048))
			if moves := movesToFirst(controller, allWork); moves != x.moves {
				t.Errorf("%d racks move to the guaranteed team's share, want %d", moves, x.moves)
			}
		})
	}
}

// movesToFirst is how many groups more move to the first of two shards than from it.
func movesToFirst(c *Controller, kinds ...workKind) int {
	mv := newRebalancer(c)
	for _, k := range kinds {
		mv.rebalancePass(time.Now(), k)
	}
	n := 0
	for k := range mv.moved {
		n += 2*k.Shard - 1 // from the second shard to the first
	}
	return n
}

// A job bound to one zone waited while its shard had as much free room in another: sums of all zones said that nothing was short. It
// is lent a group on which it fits; what waits for its team's limit, and not for room, is lent none.
func TestWorkWaitingBesideCapacityIsLentAGroup(t *testing.T) {
	for _, x := range []struct {
		name  string
		zone  string  // where the job must run; its shard has an empty machine in a, the other shard one in b
		cpus  float64 // of its task; machines have 8
		limit float64 // of its team, which runs 2 CPUs
		stuck time.Duration
		want  int // groups that move to it
	}{
		{name: "its own machine will do", zone: "a", cpus: 4, stuck: 11 * time.Second},
		{name: "bound to the other zone", zone: "b", cpus: 4, stuck: 11 * time.Second, want: 1},
		{name: "at once from a share with nothing to do", zone: "b", cpus: 4, want: 1},
		{name: "too large for its own, beside what runs there", cpus: 8, stuck: 11 * time.Second, want: 1},
		{name: "its team is at its limit", zone: "b", cpus: 4, limit: 5, stuck: 11 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 2, Zones: []string{"a", "b"},
				Teams: []config.Team{{Name: "blue"}, {Name: "red", CpusMax: x.limit}}, State: config.State{TxnOps: 12, WriteRPS: 80}}}
			controller := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
			controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 64}}})
			put := func(key string, v any) {
				if err := controller.cache.Apply(key, storage.Encode(v), 3, false); err != nil {
					t.Fatal(err)
				}
			}
			job := func(id, zone string, cpus float64) {
				put(storage.JobKey(id), storage.JobRecord{Tasks: 1, Team: "red", SubmittedMs: time.Now().Add(-time.Minute).UnixMilli(),
					Spec: &storage.SpecRecord{Class: "c", Priority: 1, Cpus: cpus, Mem: 1, Image: "i", Spot: true, Zone: zone, Estimate: 3600}})
			}
			job("job-000000", "", 2)
			job("job-000001", x.zone, x.cpus)
			for rack, zone := range cfg.Deployment.Zones {
				name := "m" + zone
				put(storage.FleetKey(name), storage.FleetRecord{Type: "t", Zone: zone, Machines: []storage.FleetMachine{{Name: name, Group: rack}}})
				r := storage.GroupRecord{Shard: 1 - rack, Machines: []storage.GroupMachine{{Name: name, Incarnation: 1}}}
				if rack == 0 {
					r.Machines[0].Tasks = []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{0, 1, 0, 0}}}
				}
				put(storage.GroupKey(rack), r)
			}
			if x.stuck > 0 {
				controller.leader.stuckSinceByShard[1] = time.Now().Add(-x.stuck)
			}
			if got := movesToFirst(controller, allWork); got != -x.want {
				t.Errorf("%d racks move to its share, want %d", -got, x.want)
			}
		})
	}
}

// Three machines ran what could not end, one of them alone in its shard; by the sums there was room, so
// nothing was rented, and no move evened out loads: a shard without a machine waited for ever.
func TestShardWithoutGroupIsLentOne(t *testing.T) {
	cases := []struct {
		name   string
		placed [3]int // tasks of 2 CPUs on the machine of 8 of groups 0, 1 and 2
		share  [3]int // of those groups; shard 1 waits for 3 tasks
		waits  int    // tasks of shard 0
		want   int    // the group that moves, -1: none
		stuck  time.Duration
	}{
		{"from a share that would have none", [3]int{1, 0, 0}, [3]int{0, -1, -1}, 0, 0, 0},
		{"from one with more, the roomiest", [3]int{3, 1, 2}, [3]int{0, 0, 0}, 0, 1, 0},
		{"not from one with more to one that has one", [3]int{4, 2, 3}, [3]int{1, 0, 0}, 0, -1, 0},
		{"but after a while", [3]int{4, 1, 3}, [3]int{1, 0, 0}, 0, 1, 11 * time.Second},
		{"not where something waits too", [3]int{1, 0, 0}, [3]int{0, -1, -1}, 4, -1, 0},
		{"not where nothing would fit", [3]int{4, 0, 0}, [3]int{0, -1, -1}, 0, -1, 0},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 2, Zones: []string{"a"},
				Teams: []config.Team{{Name: "red"}, {Name: "blue"}}, State: config.State{TxnOps: 12, WriteRPS: 80}}}
			controller := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
			controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 64}}})
			put := func(key string, v any) {
				if err := controller.cache.Apply(key, storage.Encode(v), 3, false); err != nil {
					t.Fatal(err)
				}
			}
			job := func(id, team string, tasks int) {
				put(storage.JobKey(id), storage.JobRecord{Tasks: tasks, Team: team, SubmittedMs: time.Now().UnixMilli(),
					Spec: &storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}})
			}
			job("job-000000", "red", x.placed[0]+x.placed[1]+x.placed[2]+x.waits)
			job("job-000001", "blue", 3)
			fleet, task := storage.FleetRecord{Type: "t", Zone: "a"}, uint64(0)
			for rack, share := range x.share {
				if share >= 0 {
					fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", rack), Group: rack})
				}
			}
			put(storage.FleetKey("m0"), fleet)
			for rack, share := range x.share {
				if share < 0 {
					continue
				}
				placed := storage.PlacedTasks{Job: "job-000000"}
				for range x.placed[rack] {
					placed.Numbers = append(placed.Numbers, task, 1, 0, 0)
					task++
				}
				put(storage.GroupKey(rack), storage.GroupRecord{Shard: share, Machines: []storage.GroupMachine{
					{Name: fmt.Sprint("m", rack), Incarnation: 1, Tasks: []storage.PlacedTasks{placed}}}})
			}
			mv := newRebalancer(controller)
			if x.stuck > 0 {
				controller.leader.stuckSinceByShard[1] = time.Now().Add(-x.stuck)
			}
			mv.rebalancePass(time.Now(), allWork)
			got := -1
			for k := range mv.moved {
				got = k.ID
			}
			if got != x.want || len(mv.moved) > 1 {
				t.Errorf("rack %d moves of %d, want %d", got, len(mv.moved), x.want)
			}
		})
	}
}

// A machine was being drained, with a task on it that ran for an hour. It counted as room, so nothing was rented for
// what waited, and as drained, so that nothing was placed on it.
func TestADrainedMachineThatIsNeededIsGivenBack(t *testing.T) {
	for _, x := range []struct {
		name  string
		waits int // tasks of 2 CPUs, beside 4 on the machine of 8 that is not drained
		since time.Duration
		limit float64 // the team's
		large bool    // a job of 4 CPUs waits too, and a third machine has 2 free, and a fourth
		age   time.Duration
		back  bool
	}{
		{"nothing waits", 0, time.Minute, 0, false, 0, false},
		{"waits for a moment", 1, 0, 0, false, 0, false},
		{"waits for a while", 1, stuckAfter + time.Second, 0, false, 0, true},
		{"waits for its team's limit", 1, stuckAfter + time.Second, 10, false, 0, false},
		{"by the sums there is room, but it fits on no other", 0, 0, 0, true, neededAfter + time.Second, true},
		{"it may not wait for long", 0, 0, 0, true, neededAfter - time.Second, false},
		{"nor may its team have more", 0, 0, 22, true, neededAfter + time.Second, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"},
				Teams: []config.Team{{Name: "red", CpusMax: x.limit}}, State: config.State{TxnOps: 12, WriteRPS: 80}}}
			controller := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
			controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 64}}})
			put := func(key string, v any) {
				if err := controller.cache.Apply(key, storage.Encode(v), 3, false); err != nil {
					t.Fatal(err)
				}
			}
			put(storage.JobKey("job-000000"), storage.JobRecord{Tasks: 5 + x.waits, Team: "red", SubmittedMs: time.Now().UnixMilli(),
				Spec: &storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}})
			if x.large {
				put(storage.JobKey("job-000001"), storage.JobRecord{Tasks: 1, Team: "red", SubmittedMs: time.Now().Add(-x.age).UnixMilli(),
					Spec: &storage.SpecRecord{Class: "c", Priority: 1, Cpus: 4, Mem: 1, Image: "i", Spot: true, Estimate: 3600}})
				put(storage.JobKey("job-000002"), storage.JobRecord{Tasks: 2, Team: "red", SubmittedMs: time.Now().UnixMilli(),
					Spec: &storage.SpecRecord{Class: "c", Priority: 1, Cpus: 6, Mem: 1, Image: "i", Spot: true, Estimate: 3600}})
				put(storage.FleetKey("m2"), storage.FleetRecord{Type: "t", Zone: "a", Machines: []storage.FleetMachine{{Name: "m2", Group: 1}, {Name: "m3", Group: 1}}})
				put(storage.GroupKey(1), storage.GroupRecord{Machines: []storage.GroupMachine{
					{Name: "m2", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000002", Numbers: []uint64{0, 1, 0, 0}}}},
					{Name: "m3", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000002", Numbers: []uint64{1, 1, 0, 0}}}}}})
			}
			put(storage.FleetKey("m0"), storage.FleetRecord{Type: "t", Zone: "a", Machines: []storage.FleetMachine{{Name: "m0"}, {Name: "m1"}}})
			put(storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{
				{Name: "m0", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{0, 1, 0, 0, 1, 1, 0, 0, 2, 1, 0, 0, 3, 1, 0, 0}}}},
				{Name: "m1", Incarnation: 1, Draining: true, Tasks: []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{4, 1, 0, 0}}}}}})
			now := time.Now()
			controller.leader.stuckSince = now.Add(-x.since)
			controller.drainSurplus(now, autoscale.Plan{}, 0)
			e := controller.workers.pendingUpdates[controller.cache.Machine("m1").Index]
			if back := e != nil && e.draining != nil && !*e.draining; back != x.back {
				t.Errorf("given back: %v, want %v", back, x.back)
			}
		})
	}
}

// A guest's idle-time work drew a third of the machines to its shard, since it waited as
// much as all others together; work that had to be in time queued for 100 s beside it.
func TestIdleWorkMovesNothing(t *testing.T) {
	cases := []struct {
		name       string
		firm, idle int // waiting tasks of 4 CPUs: of the home team, of the guest
		placed     int // of the guest's, on its machines
		priority   uint8
		moves      int // groups to the home team's shard, less those to the guest's
	}{
		{"the home team's work waits", 40, 90, 0, 0, 4},
		{"the guest's tasks are on its machines: that counts as room", 40, 90, 8, 0, 4},
		{"nothing but the guest's work waits", 0, 90, 0, 0, -4},
		{"the guest's work is not of the lowest priority", 40, 90, 0, 1, -1},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 2, Zones: []string{"a"},
				Teams: []config.Team{{Name: "home"}, {Name: "guest"}}, State: config.State{TxnOps: 12, WriteRPS: 80}}}
			controller := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
			controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 64}}})
			put := func(key string, v any) {
				if err := controller.cache.Apply(key, storage.Encode(v), 3, false); err != nil {
					t.Fatal(err)
				}
			}
			put(storage.JobKey("job-000000"), storage.JobRecord{Tasks: max(1, x.firm), Team: "home", SubmittedMs: time.Now().UnixMilli(),
				Spec: &storage.SpecRecord{Class: "c", Priority: 1, Cpus: 4, Mem: 1, Image: "i", Spot: true}})
			if x.firm == 0 {
				controller.cache.Job("job-000000").DoneCount = 1
			}
			put(storage.JobKey("job-000001"), storage.JobRecord{Tasks: x.idle, Team: "guest", SubmittedMs: time.Now().UnixMilli(),
				Spec: &storage.SpecRecord{Class: "g", Priority: x.priority, Cpus: 4, Mem: 1, Image: "i", Spot: true}})
			fleet := storage.FleetRecord{Type: "t", Zone: "a"}
			for rack := range 8 {
				fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", rack), Group: rack})
			}
			put(storage.FleetKey("m0"), fleet)
			for rack := range 8 {
				r := storage.GroupRecord{Shard: rack / 4}
				if rack/4 == 1 && x.placed > 0 {
					n := uint64(2 * (rack - 4))
					r.Machines = append(r.Machines, storage.GroupMachine{Name: fmt.Sprint("m", rack), Incarnation: 1,
						Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{n, 1, 0, 0, n + 1, 1, 0, 0}}}})
				}
				put(storage.GroupKey(rack), r)
			}
			if n := controller.cache.Job("job-000001").PlacedCount; n != x.placed {
				t.Fatalf("%d tasks placed, want %d", n, x.placed)
			}
			if moves := movesToFirst(controller, allWork, idleWork); moves != x.moves {
				t.Errorf("%d racks move to the home team's share, want %d", moves, x.moves)
			}
		})
	}
}

// An aim on starting work within a guarantee was read as the tightest one on
// finishing, so that idle machines were kept, and paid, for ten minutes.
func TestTightestIsOfFinishing(t *testing.T) {
	cases := []struct {
		name  string
		aims  []config.Objective
		want  float64
		timed bool
	}{
		{"none", nil, 0, false},
		{"finishing", []config.Objective{{Kind: "finished", Class: "c", WithinS: 150}, {Kind: "finished", Class: "d", WithinS: 90}}, 90, false},
		{"a guarantee's start is no finish", []config.Objective{{Kind: "finished", Class: "c", WithinS: 150}, {Kind: "guarantee", WithinS: 5}}, 150, true},
		{"deadlines come with the jobs", []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}, 0, false},
	}
	for _, x := range cases {
		c := newCore(t)
		c.cfg.Deployment.Objectives = x.aims
		if got, timed := c.tightestFinishObjective(), c.guaranteesTimed(); got != x.want || timed != x.timed {
			t.Errorf("%s: %v, timed %v; want %v, %v", x.name, got, timed, x.want, x.timed)
		}
	}
}

// TestGroupAllocator: newcomers fill the groups of their shard, spot and ordinary apart.
func TestGroupAllocator(t *testing.T) {
	controller := newCore(t) // group 0 of shard 0 holds one ordinary machine
	groupAllocator := newGroupAllocator(controller.cache, 3)
	for i, x := range []struct {
		share int
		spot  bool
		rack  int
		fresh bool
	}{
		{0, false, 0, false}, {0, true, 1, true}, {0, false, 0, false}, {0, false, 2, true},
		{1, false, 3, true}, {0, true, 1, false}, {0, true, 1, false}, {0, true, 4, true},
	} {
		if rack, fresh := groupAllocator.allocate(x.share, x.spot); rack != x.rack || fresh != x.fresh {
			t.Errorf("newcomer %d: rack %d, new %v; want %d, %v", i, rack, fresh, x.rack, x.fresh)
		}
	}
}

// Idle-time work gives way to any other, also without a guarantee; other work of the
// lowest priority, and of the same, does not.
func TestIdleWorkMayBePreempted(t *testing.T) {
	for _, x := range []struct {
		name  string
		aim   bool // an objective names the class of what runs
		spot  bool // what runs may use spot machines
		waits protocol.Priority
		want  int
	}{
		{"by normal work", false, true, protocol.Normal, 1},
		{"by other idle-time work", false, true, protocol.Low, 0},
		{"with an aim", true, true, protocol.Normal, 0},
		{"on ordinary machines only", false, false, protocol.Normal, 0},
	} {
		controller := newCore(t)
		put := func(id string, s storage.SpecRecord) *storage.Job {
			s.Cpus, s.Mem, s.Image = 4, 1, "i"
			if err := controller.cache.Apply(storage.JobKey(id), storage.Encode(storage.JobRecord{Tasks: 1, Team: "red", SubmittedMs: time.Now().UnixMilli(), Spec: &s}), 5, false); err != nil {
				t.Fatal(err)
			}
			return controller.cache.Job(id)
		}
		if x.aim {
			controller.cfg.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "g", WithinS: 400}}
		}
		runs := put("job-000007", storage.SpecRecord{Class: "g", Spot: x.spot})
		waits := put("job-000008", storage.SpecRecord{Class: "h", Spot: true, Priority: uint8(x.waits)})
		m := controller.cache.Machine("m")
		m.Tasks = []storage.PlacedTask{{Job: runs, Attempt: 1}}
		controller.planner.idleWorkPlaced = true
		in := &schedule.Input{Teams: controller.cache.Teams, Used: controller.cache.Used, Slots: []*schedule.Slot{{Machine: m}}}
		got := 0
		if controller.mayPreempt(waits, in, controller.claimsUntil()) {
			got = len(controller.preemptionCandidates(time.Now(), waits, in, nil, controller.claimsUntil()))
		}
		if got != x.want {
			t.Errorf("%s: %d candidates, want %d", x.name, got, x.want)
		}
	}
}
