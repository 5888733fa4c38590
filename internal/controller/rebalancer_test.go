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

// newRebalancerCore returns a controller of a deployment whose only machine type has 8 CPUs.
func newRebalancerCore(t *testing.T, deployment config.Deployment, memGB float64) *Controller {
	t.Helper()
	deployment.State = config.State{TxnOps: 12, WriteRPS: 80}
	cfg := &config.Settings{MemberName: "n0", Deployment: deployment}
	c := New(cfg, stubStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
	c.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: memGB}}})
	return c
}

// putRecord applies a record to a controller's cache.
func putRecord(t *testing.T, c *Controller, key string, record any) {
	t.Helper()
	if err := c.cache.Apply(key, storage.Encode(record), 3, false); err != nil {
		t.Fatal(err)
	}
}

// putJob applies the record of a job that was submitted some time ago to a controller's cache.
func putJob(t *testing.T, c *Controller, id, team string, tasks int, age time.Duration, spec storage.SpecRecord) {
	t.Helper()
	putRecord(t, c, storage.JobKey(id), storage.JobRecord{Tasks: tasks, Team: team,
		SubmittedMs: time.Now().Add(-age).UnixMilli(), Spec: &spec})
}

// netMovesToFirstShard runs rebalancing passes and returns how many groups move to the first of two shards,
// minus those that move from it.
func netMovesToFirstShard(c *Controller, kinds ...workKind) int {
	balancer := newRebalancer(c)
	for _, kind := range kinds {
		balancer.rebalancePass(time.Now(), kind)
	}
	moves := 0
	for group := range balancer.moved {
		moves += 2*group.Shard - 1 // from the second shard to the first
	}
	return moves
}

// TestMovesHonourGuarantees guards against a shard that has the most work for its machines drawing
// machines from a shard whose team has less than its guarantee, so that this team's work must wait
// for preemptions.
func TestMovesHonourGuarantees(t *testing.T) {
	for _, test := range []struct {
		name      string
		guarantee float64    // guarantee of team red, whose shard is 0; team blue (shard 1) has none
		machines  [2]int     // machines of 8 CPUs by shard, each in a group of its own
		demand    [2]int     // waiting tasks of 4 CPUs by team
		baseline  [2]float64 // in CPUs, by team
		moves     int        // groups that move from shard 1 to shard 0, minus those that move back
	}{
		{"to the more loaded shard, without guarantees", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{}, -2},
		{"not from a shard that needs its guarantee", 32, [2]int{4, 4}, [2]int{10, 60}, [2]float64{}, 0},
		{"to a team below its guarantee, whatever the load", 32, [2]int{1, 7}, [2]int{10, 60}, [2]float64{}, 3},
		{"to a team below its guarantee, no more than its work needs", 32, [2]int{1, 7}, [2]int{3, 60}, [2]float64{}, 1},
		{"not to an overloaded queue from a team that needs its baseline", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{20, 8}, 0},
		{"to the more loaded shard, below the overload threshold", 0, [2]int{4, 4}, [2]int{10, 60}, [2]float64{20, 100}, -2},
		{"a guarantee precedes another team's baseline", 32, [2]int{1, 7}, [2]int{10, 60}, [2]float64{8, 60}, 3},
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
			if moves := netMovesToFirstShard(controller, allWork); moves != test.moves {
				t.Errorf("%d groups move to the guaranteed team's shard, want %d", moves, test.moves)
			}
		})
	}
}

// TestShardWithoutFitGetsGroup guards against a job that waits because it is bound to
// one zone while its shard has free capacity in another: sums over all zones show no shortage. The
// shard must get a group on which the job fits. It must get none for work that waits because of its
// team's limit.
func TestShardWithoutFitGetsGroup(t *testing.T) {
	for _, test := range []struct {
		name  string
		zone  string  // where the job must run; its shard's machine is in zone a, the other shard's empty machine in zone b
		cpus  float64 // CPUs of the job's task; machines have 8
		limit float64 // CPU limit of the job's team, which uses 2 CPUs
		stuck time.Duration
		want  int // groups that move to the job's shard
	}{
		{name: "it fits on its shard's machine", zone: "a", cpus: 4, stuck: 11 * time.Second},
		{name: "bound to the other zone", zone: "b", cpus: 4, stuck: 11 * time.Second, want: 1},
		{name: "immediately from a shard without work", zone: "b", cpus: 4, want: 1},
		{name: "too large for what is free on its shard's machine", cpus: 8, stuck: 11 * time.Second, want: 1},
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
			if got := netMovesToFirstShard(controller, allWork); got != -test.want {
				t.Errorf("%d groups move to the job's shard, want %d", -got, test.want)
			}
		})
	}
}

// stuckShardFixture describes three groups of one machine each in two shards.
type stuckShardFixture struct {
	placed  [3]int // tasks of 2 CPUs placed on the machine (8 CPUs) of groups 0, 1 and 2
	shard   [3]int // shard of each group, -1 if the group does not exist; shard 1 has 3 waiting tasks
	waiting int    // waiting tasks of shard 0
}

// newCore returns a controller whose cache holds the fixture's records.
func (f stuckShardFixture) newCore(t *testing.T) *Controller {
	t.Helper()
	controller := newRebalancerCore(t, config.Deployment{Controllers: 2, Zones: []string{"a"},
		Teams: []config.Team{{Name: "red"}, {Name: "blue"}}}, 64)
	spec := storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}
	putJob(t, controller, "job-000000", "red", f.placed[0]+f.placed[1]+f.placed[2]+f.waiting, 0, spec)
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

// TestStuckShardGetsGroup guards against a shard without machines whose work waits forever.
// Three machines ran tasks without an end, one of them alone in its shard. By the sums there was
// enough capacity, so nothing was provisioned, and no move balanced the loads.
func TestStuckShardGetsGroup(t *testing.T) {
	for _, test := range []struct {
		name    string
		fixture stuckShardFixture
		want    int // ID of the group that moves, -1 for none
		stuck   time.Duration
	}{
		{"from a shard that keeps no group", stuckShardFixture{[3]int{1, 0, 0}, [3]int{0, -1, -1}, 0}, 0, 0},
		{"the group with the most free capacity, from a shard with several", stuckShardFixture{[3]int{3, 1, 2}, [3]int{0, 0, 0}, 0}, 1, 0},
		{"not from a shard with several to one that has a group", stuckShardFixture{[3]int{4, 2, 3}, [3]int{1, 0, 0}, 0}, -1, 0},
		{"from a shard with several to one that has a group, after stuckAfter", stuckShardFixture{[3]int{4, 1, 3}, [3]int{1, 0, 0}, 0}, 1, 11 * time.Second},
		{"not from a shard whose own work waits", stuckShardFixture{[3]int{1, 0, 0}, [3]int{0, -1, -1}, 4}, -1, 0},
		{"not if no task would fit", stuckShardFixture{[3]int{4, 0, 0}, [3]int{0, -1, -1}, 0}, -1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := test.fixture.newCore(t)
			balancer := newRebalancer(controller)
			if test.stuck > 0 {
				controller.leader.stuckSinceByShard[1] = time.Now().Add(-test.stuck)
			}
			balancer.rebalancePass(time.Now(), allWork)
			got := -1
			for group := range balancer.moved {
				got = group.ID
			}
			if got != test.want || len(balancer.moved) > 1 {
				t.Errorf("group %d moves (%d groups in total), want group %d only; -1 is none", got, len(balancer.moved), test.want)
			}
		})
	}
}
