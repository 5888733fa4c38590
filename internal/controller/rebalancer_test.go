package controller

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// newRebalancerCore is a controller of a deployment whose only machine type has 8 CPUs.
func newRebalancerCore(t *testing.T, deployment config.Deployment, memGB float64) *Controller {
	t.Helper()
	deployment.State = config.State{TxnOps: 12, WriteRPS: 80}
	cfg := &config.Settings{MemberName: "n0", Deployment: deployment}
	c := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
	c.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: memGB}}})
	return c
}

// putRecord has a controller read a record.
func putRecord(t *testing.T, c *Controller, key string, record any) {
	t.Helper()
	if err := c.cache.Apply(key, storage.Encode(record), 3, false); err != nil {
		t.Fatal(err)
	}
}

// putJob has a controller read a job that came some time ago.
func putJob(t *testing.T, c *Controller, id, team string, tasks int, age time.Duration, spec storage.SpecRecord) {
	t.Helper()
	putRecord(t, c, storage.JobKey(id), storage.JobRecord{Tasks: tasks, Team: team,
		SubmittedMs: time.Now().Add(-age).UnixMilli(), Spec: &spec})
}

// movesToFirst is how many groups more move to the first of two shards than from it.
func movesToFirst(c *Controller, kinds ...workKind) int {
	mv := newRebalancer(c)
	for _, kind := range kinds {
		mv.rebalancePass(time.Now(), kind)
	}
	moves := 0
	for group := range mv.moved {
		moves += 2*group.Shard - 1 // from the second shard to the first
	}
	return moves
}

// The shard with the most work for its machines took them from one whose team had
// less than it is guaranteed, whose work then waited for preemptions.
func TestMovesHonourGuarantees(t *testing.T) {
	for _, test := range []struct {
		name      string
		guarantee float64 // of red, in shard 0; blue has none
		machines  [2]int  // of 8 CPUs, by shard, each a group of its own
		demand    [2]int  // tasks of 4 CPUs that wait, by team
		baseline  [2]float64
		moves     int // from shard 1 to 0; below 0: the other way
	}{
		{"to the greater load, without guarantees", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{}, -2},
		{"not below what is guaranteed", 32, [2]int{4, 4}, [2]int{10, 60}, [2]float64{}, 0},
		{"to a team below its guarantee, whatever the load", 32, [2]int{1, 7}, [2]int{10, 60}, [2]float64{}, 3},
		{"no more than its work takes", 32, [2]int{1, 7}, [2]int{3, 60}, [2]float64{}, 1},
		{"not for an overload from a team that asks for its baseline", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{20, 8}, 0},
		{"to the greater load, where it is no overload", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{20, 100}, -2},
		{"a guarantee goes before another's baseline", 32, [2]int{1, 7}, [2]int{10, 60}, [2]float64{8, 60}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newRebalancerCore(t, config.Deployment{Controllers: 2, Zones: []string{"a"},
				Teams:      []config.Team{{Name: "red", Cpus: test.guarantee}, {Name: "blue"}},
				Objectives: []config.Objective{{Kind: "guarantee", WithinS: 5}, {Kind: "finished", Class: "c", WithinS: 60}}}, 8)
			fleet := storage.FleetRecord{Type: "t", Zone: "a"}
			for shard, machines := range test.machines {
				for range machines {
					group := len(fleet.Machines)
					putRecord(t, controller, storage.GroupKey(group), storage.GroupRecord{Shard: shard})
					fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", group), Group: group})
				}
			}
			putRecord(t, controller, storage.FleetKey("m0"), fleet)
			for team, tasks := range test.demand {
				putJob(t, controller, fmt.Sprintf("job-%06d", team), controller.cfg.Deployment.Teams[team].Name, tasks, 0,
					storage.SpecRecord{Class: "c", Cpus: 4, Mem: 1, Image: "i", Spot: true, Estimate: 30})
			}
			baseline := map[storage.ClassQueue]float64{{Team: 0}: test.baseline[0], {Team: 1}: test.baseline[1]}
			putRecord(t, controller, storage.BaselineKey, controller.cache.BaselineRecordOf(baseline, 2048))
			if moves := movesToFirst(controller, allWork); moves != test.moves {
				t.Errorf("%d groups move to the guaranteed team's shard, want %d", moves, test.moves)
			}
		})
	}
}

// A job bound to one zone waited while its shard had as much free capacity in another: sums of all zones said that nothing was
// short. It is lent a group on which it fits; what waits for its team's limit, and not for capacity, is lent none.
func TestWorkWaitingBesideCapacityIsLentAGroup(t *testing.T) {
	for _, test := range []struct {
		name  string
		zone  string  // where the job must run; its shard has an empty machine in a, the other shard one in b
		cpus  float64 // of its task; machines have 8
		limit float64 // of its team, which runs 2 CPUs
		stuck time.Duration
		want  int // groups that move to it
	}{
		{name: "its own machine will do", zone: "a", cpus: 4, stuck: 11 * time.Second},
		{name: "bound to the other zone", zone: "b", cpus: 4, stuck: 11 * time.Second, want: 1},
		{name: "at once from a shard with nothing to do", zone: "b", cpus: 4, want: 1},
		{name: "too large for its own, beside what runs there", cpus: 8, stuck: 11 * time.Second, want: 1},
		{name: "its team is at its limit", zone: "b", cpus: 4, limit: 5, stuck: 11 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			zones := []string{"a", "b"}
			controller := newRebalancerCore(t, config.Deployment{Controllers: 2, Zones: zones,
				Teams: []config.Team{{Name: "blue"}, {Name: "red", CpusMax: test.limit}}}, 64)
			spec := storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}
			putJob(t, controller, "job-000000", "red", 1, time.Minute, spec)
			spec.Zone, spec.Cpus = test.zone, test.cpus
			putJob(t, controller, "job-000001", "red", 1, time.Minute, spec)
			for group, zone := range zones {
				name := "m" + zone
				putRecord(t, controller, storage.FleetKey(name), storage.FleetRecord{Type: "t", Zone: zone, Machines: []storage.FleetMachine{{Name: name, Group: group}}})
				record := storage.GroupRecord{Shard: 1 - group, Machines: []storage.GroupMachine{{Name: name, Incarnation: 1}}}
				if group == 0 {
					record.Machines[0].Tasks = []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{0, 1, 0, 0}}}
				}
				putRecord(t, controller, storage.GroupKey(group), record)
			}
			if test.stuck > 0 {
				controller.leader.stuckSinceByShard[1] = time.Now().Add(-test.stuck)
			}
			if got := movesToFirst(controller, allWork); got != -test.want {
				t.Errorf("%d groups move to its shard, want %d", -got, test.want)
			}
		})
	}
}

// lendingFixture is three groups of one machine each, of two shards.
type lendingFixture struct {
	placed [3]int // tasks of 2 CPUs on the machine of 8 of groups 0, 1 and 2
	shard  [3]int // of those groups, -1: there is none; shard 1 waits for 3 tasks
	waits  int    // tasks of shard 0
}

// newCore is a controller that has read the fixture's records.
func (f lendingFixture) newCore(t *testing.T) *Controller {
	t.Helper()
	controller := newRebalancerCore(t, config.Deployment{Controllers: 2, Zones: []string{"a"},
		Teams: []config.Team{{Name: "red"}, {Name: "blue"}}}, 64)
	spec := storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}
	putJob(t, controller, "job-000000", "red", f.placed[0]+f.placed[1]+f.placed[2]+f.waits, 0, spec)
	putJob(t, controller, "job-000001", "blue", 3, 0, spec)
	fleet, task := storage.FleetRecord{Type: "t", Zone: "a"}, uint64(0)
	for group, shard := range f.shard {
		if shard >= 0 {
			fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", group), Group: group})
		}
	}
	putRecord(t, controller, storage.FleetKey("m0"), fleet)
	for group, shard := range f.shard {
		if shard < 0 {
			continue
		}
		placed := storage.PlacedTasks{Job: "job-000000"}
		for range f.placed[group] {
			placed.Numbers = append(placed.Numbers, task, 1, 0, 0)
			task++
		}
		putRecord(t, controller, storage.GroupKey(group), storage.GroupRecord{Shard: shard, Machines: []storage.GroupMachine{
			{Name: fmt.Sprint("m", group), Incarnation: 1, Tasks: []storage.PlacedTasks{placed}}}})
	}
	return controller
}

// Three machines ran what could not end, one of them alone in its shard; by the sums there was capacity, so
// nothing was provisioned, and no move evened out loads: a shard without a machine waited for ever.
func TestShardWithoutGroupIsLentOne(t *testing.T) {
	for _, test := range []struct {
		name    string
		fixture lendingFixture
		want    int // the group that moves, -1: none
		stuck   time.Duration
	}{
		{"from a shard that would have none", lendingFixture{[3]int{1, 0, 0}, [3]int{0, -1, -1}, 0}, 0, 0},
		{"from one with more, the one with the most free", lendingFixture{[3]int{3, 1, 2}, [3]int{0, 0, 0}, 0}, 1, 0},
		{"not from one with more to one that has one", lendingFixture{[3]int{4, 2, 3}, [3]int{1, 0, 0}, 0}, -1, 0},
		{"but after a while", lendingFixture{[3]int{4, 1, 3}, [3]int{1, 0, 0}, 0}, 1, 11 * time.Second},
		{"not where something waits too", lendingFixture{[3]int{1, 0, 0}, [3]int{0, -1, -1}, 4}, -1, 0},
		{"not where nothing would fit", lendingFixture{[3]int{4, 0, 0}, [3]int{0, -1, -1}, 0}, -1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := test.fixture.newCore(t)
			mv := newRebalancer(controller)
			if test.stuck > 0 {
				controller.leader.stuckSinceByShard[1] = time.Now().Add(-test.stuck)
			}
			mv.rebalancePass(time.Now(), allWork)
			got := -1
			for group := range mv.moved {
				got = group.ID
			}
			if got != test.want || len(mv.moved) > 1 {
				t.Errorf("group %d moves of %d, want %d", got, len(mv.moved), test.want)
			}
		})
	}
}
