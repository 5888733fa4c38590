package controller

import (
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestIdleWorkMovesNothing guards against moves of machines for idle-time work: a guest team's
// idle-time work, of which as much waited as of all other work together, caused a third of the
// machines to move to its shard, and work with objectives waited for 100 s.
func TestIdleWorkMovesNothing(t *testing.T) {
	for _, test := range []struct {
		name       string
		firm, idle int // waiting tasks of 4 CPUs of the home team and of the guest team
		placed     int // tasks of the guest team placed on its shard's machines
		priority   uint8
		moves      int // groups that move to the home team's shard, minus those that move to the guest team's
	}{
		{"the home team's work waits", 40, 90, 0, 0, 4},
		{"the guest's placed tasks count as free capacity", 40, 90, 8, 0, 4},
		{"nothing but the guest's work waits", 0, 90, 0, 0, -4},
		{"the guest's work is not of the lowest priority", 40, 90, 0, 1, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newRebalancerCore(t, config.Deployment{Controllers: 2, Zones: []string{"a"},
				Teams: []config.Team{{Name: "home"}, {Name: "guest"}}}, 64)
			putJob(t, controller, "job-000000", "home", max(1, test.firm), 0,
				storage.SpecRecord{Class: "c", Priority: 1, Cpus: 4, Mem: 1, Image: "i", Spot: true})
			if test.firm == 0 {
				controller.cache.Job("job-000000").DoneCount = 1
			}
			putJob(t, controller, "job-000001", "guest", test.idle, 0,
				storage.SpecRecord{Class: "g", Priority: test.priority, Cpus: 4, Mem: 1, Image: "i", Spot: true})
			putHomeAndGuestMachines(t, controller, test.placed > 0)
			if n := controller.cache.Job("job-000001").PlacedCount; n != test.placed {
				t.Fatalf("%d tasks placed, want %d", n, test.placed)
			}
			if moves := netMovesToFirstShard(controller, allWork, idleWork); moves != test.moves {
				t.Errorf("%d groups move to the home team's shard, want %d", moves, test.moves)
			}
		})
	}
}

// putHomeAndGuestMachines adds four groups of one machine to each of two shards. If busy is set, each
// machine of the second shard has two of the guest team's tasks.
func putHomeAndGuestMachines(t *testing.T, controller *Controller, busy bool) {
	t.Helper()
	const groups, groupsPerShard = 8, 4
	fleet := storage.FleetRecord{Type: "t", Zone: "a"}
	for group := range groups {
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", group), Group: group})
	}
	putRecord(t, controller, storage.FleetKey("m0"), fleet)
	for group := range groups {
		record := storage.GroupRecord{Shard: group / groupsPerShard}
		if record.Shard == 1 && busy {
			task := uint64(2 * (group - groupsPerShard))
			record.Machines = append(record.Machines, storage.GroupMachine{Name: fmt.Sprint("m", group), Incarnation: 1,
				Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{task, 1, 0, 0, task + 1, 1, 0, 0}}}})
		}
		putRecord(t, controller, storage.GroupKey(group), record)
	}
}

// TestIdleWorkMayBePreempted checks that work of a higher priority may preempt idle-time work, even
// without a guarantee, and that other idle-time work may not. Work of the lowest priority that is not
// idle-time work may not be preempted by work of normal priority.
func TestIdleWorkMayBePreempted(t *testing.T) {
	for _, test := range []struct {
		name      string
		objective bool // an objective applies to the class of the running job
		spot      bool // the running job may use spot machines
		waits     protocol.Priority
		want      int
	}{
		{"by normal work", false, true, protocol.Normal, 1},
		{"by other idle-time work", false, true, protocol.Low, 0},
		{"with an objective", true, true, protocol.Normal, 0},
		{"on on-demand machines only", false, false, protocol.Normal, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			put := func(id string, spec storage.SpecRecord) *storage.Job {
				spec.Cpus, spec.Mem, spec.Image = 4, 1, "i"
				record := storage.JobRecord{Tasks: 1, Team: "red", SubmittedMs: time.Now().UnixMilli(), Spec: &spec}
				if err := controller.cache.Apply(storage.JobKey(id), storage.Encode(record), 5, false); err != nil {
					t.Fatal(err)
				}
				return controller.cache.Job(id)
			}
			if test.objective {
				controller.cfg.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "g", WithinS: 400}}
			}
			runs := put("job-000007", storage.SpecRecord{Class: "g", Spot: test.spot})
			waits := put("job-000008", storage.SpecRecord{Class: "h", Spot: true, Priority: uint8(test.waits)})
			machine := controller.cache.Machine("m")
			machine.Tasks = []storage.PlacedTask{{Job: runs, Attempt: 1}}
			controller.planner.idleWorkPlaced = true
			input := &schedule.Input{Teams: controller.cache.Teams, Used: controller.cache.TeamUsage, Slots: []*schedule.Slot{{Machine: machine}}}
			got := 0
			if controller.mayPreempt(waits, input, controller.guaranteeCutoffs()) {
				got = len(controller.preemptionCandidates(time.Now(), waits, input, nil, controller.guaranteeCutoffs()))
			}
			if got != test.want {
				t.Errorf("%d candidates, want %d", got, test.want)
			}
		})
	}
}
