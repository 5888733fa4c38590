package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// newCore makes a loaded core that owns its only shard, with one machine whose
// worker was heard, and one waiting job.
func newCore(t *testing.T) *Controller {
	t.Helper()
	cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"},
		Teams: []config.Team{{Name: "red"}}, Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
		State: config.State{TxnOps: 12}}}
	controller := New(cfg, idleStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
	controller.follower.loaded, controller.session.incarnation = true, 1
	controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, MemGB: 8}}})
	put := func(key string, v any, version uint64) {
		if err := controller.cache.Apply(key, storage.Encode(v), version, false); err != nil {
			t.Fatal(err)
		}
	}
	put(storage.ShardKey(0), storage.ShardRecord{Member: "n0", Incarnation: 1, FencingToken: 2}, 2)
	put(storage.JobKey("job-000001"), storage.JobRecord{Tasks: 2, Team: "red",
		Spec: &storage.SpecRecord{Class: "c", Cpus: 4, Mem: 1, Image: "i", Spot: true}}, 3)
	put(storage.GroupKey(0), storage.GroupRecord{}, 4)
	put(storage.FleetKey("m"), storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4, Machines: []storage.FleetMachine{{Name: "m"}}}, 4)
	controller.cache.Revision, controller.follower.highestRevision = 4, 4
	controller.shards.owned[0] = 2
	m := controller.cache.Machine("m")
	controller.applyHeartbeat(m, controller.workerState(m), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 1, FencingToken: 4}, 4, false)
	return controller
}

// idleStore is never asked for anything but its pace.
type idleStore struct{ StateStore }

func (idleStore) Pace(int) time.Duration { return 0 }

// machineIn reads machine m from the group's record in a batch.
func machineIn(t *testing.T, builder *txnBuilder) storage.GroupMachine {
	t.Helper()
	var r storage.GroupRecord
	if err := json.Unmarshal(builder.puts[storage.GroupKey(0)].Value, &r); err != nil {
		t.Fatal(err)
	}
	for _, m := range r.Machines {
		if m.Name == "m" {
			return m
		}
	}
	t.Fatalf("record %+v does not hold the machine", r)
	return storage.GroupMachine{}
}

func TestPlanConditions(t *testing.T) {
	c := newCore(t)
	b, _ := c.plan(c.workerState(c.cache.Machine("m")).heard, 12)
	// A stale owner, a cancelled job or a changed machine must make it fail.
	want := map[string]uint64{storage.ShardKey(0): 2, storage.JobKey("job-000001"): 3, storage.GroupKey(0): 4}
	if !reflect.DeepEqual(b.conditions, want) {
		t.Fatalf("conditions %v, want %v", b.conditions, want)
	}
	r := machineIn(t, b)
	if len(r.Tasks) != 1 || len(r.Tasks[0].Numbers) != 8 || r.Tasks[0].Numbers[1] <= 4 || r.Incarnation != 1 {
		t.Fatalf("record %+v: two tasks under an attempt above every revision so far", r)
	}
}

// A transaction whose outcome is unknown may still be applied: it is repeated
// unchanged, and nothing else is committed, until its outcome is known.
func TestInDoubtTransactions(t *testing.T) {
	cases := []struct {
		name   string
		rev    uint64
		failed []string
		err    error
		doubt  bool
		placed int
		wait   uint64
	}{
		{"committed", 9, nil, nil, false, 2, 0},
		{"conflict: the follow tells", 9, []string{"x"}, nil, false, 0, 9},
		{"refused: not executed", 0, nil, protocol.ErrRefused, false, 0, 0},
		{"unknown", 0, nil, protocol.ErrUnknown, true, 0, 0},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			controller := newCore(t)
			builder, _ := controller.plan(controller.workerState(controller.cache.Machine("m")).heard, 12)
			txn := builder.build()
			controller.workers.directCommands = maxDirectCommands // no workers here
			controller.sent(txn, x.rev, x.failed, x.err)
			if (controller.commits.inDoubt != nil) != x.doubt || controller.commits.awaitedRevision != x.wait {
				t.Fatalf("doubt %v, waiting for %d", controller.commits.inDoubt != nil, controller.commits.awaitedRevision)
			}
			if controller.commits.inDoubt != nil && !reflect.DeepEqual(*controller.commits.inDoubt, txn) {
				t.Fatal("another transaction than the one in doubt")
			}
			if n := controller.cache.Job("job-000001").PlacedCount; n != x.placed {
				t.Fatalf("%d tasks placed, want %d", n, x.placed)
			}
		})
	}
}

// Groups that list hundreds of small tasks must not make a transaction larger than the
// state service takes: it would refuse it for ever.
func TestTxnStaysWithinLimits(t *testing.T) {
	controller := newCore(t)
	job := fmt.Sprintf("job-%06d", 7)
	const racks, tasks = 8, 450
	apply := func(key string, v any, version uint64) {
		if err := controller.cache.Apply(key, storage.Encode(v), version, false); err != nil {
			t.Fatal(err)
		}
	}
	apply(storage.JobKey(job), storage.JobRecord{Tasks: racks * tasks, Team: "red",
		Spec: &storage.SpecRecord{Class: "c", Cpus: 0.01, Mem: 0.01, Image: "i", Spot: true}}, 5)
	fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
	for i := range racks {
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("x", i), Group: i + 1})
	}
	apply(storage.FleetKey("x0"), fleet, 5)
	for i := range racks {
		var p []uint64
		for k := range tasks {
			p = append(p, uint64(i*tasks+k), 1_000_000, 1_700_000_000, 100)
		}
		apply(storage.GroupKey(i+1), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: fmt.Sprint("x", i), Incarnation: 1,
			Tasks: []storage.PlacedTasks{{Job: job, Numbers: p}}}}}, 6)
		m := controller.cache.Machine(fmt.Sprint("x", i))
		r := reportOf(m, 1)
		r.Tasks[0].State, r.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone // each group has something to say
		controller.applyHeartbeat(m, controller.workerState(m), r, 4, false)
	}
	txn, more := controller.nextTxn(controller.workerState(controller.cache.Machine("m")).heard)
	if n := len(storage.Encode(txn)); n > 64<<10 || len(txn.Then) == 0 || !more {
		t.Errorf("%d bytes, %d changes, more: %v", n, len(txn.Then), more)
	}
}

// That a machine fails its tasks was forgotten whenever it got another owner, so
// it went on failing tasks: it belongs into the record.
func TestUnhealthyIsRecorded(t *testing.T) {
	c := newCore(t)
	m := c.cache.Machine("m")
	c.workerState(m).unhealthy = true
	b, _ := c.plan(c.workerState(m).heard, 12)
	if r := machineIn(t, b); !r.Unhealthy || len(r.Tasks) != 0 {
		t.Fatalf("record %+v", r)
	}
	c.applyTxn(b.build(), 9)
	clear(c.workers.states)
	if v := c.workerState(m); c.usable(m, v, v.heard) {
		t.Fatal("a new owner would place tasks on it")
	}
}

// The wait for a machine that does not come up began anew with each new owner, so
// some were waited for, and paid, all day.
func TestBootPatience(t *testing.T) {
	now := time.Now()
	for _, x := range []struct {
		name          string
		rented, known time.Duration // ago; rented 0: not on record
		lastUp        time.Duration // when the latest that is up was rented, ago; 0: none is
		up            bool
		gone          bool
	}{
		{"its owner is new", 90 * time.Second, time.Second, 60 * time.Second, false, true},
		{"in time still", 40 * time.Second, 40 * time.Second, 30 * time.Second, false, false},
		{"an older record", 0, 90 * time.Second, time.Second, false, true},
		{"it is up", 90 * time.Second, time.Second, 60 * time.Second, true, false},
		{"none is up: all are late together", 90 * time.Second, 90 * time.Second, 0, false, false},
		{"only earlier ones are up", 90 * time.Second, 90 * time.Second, 200 * time.Second, false, false},
		{"late beyond all patience", 140 * time.Second, 90 * time.Second, 0, false, true},
	} {
		controller := newCore(t)
		controller.cache.Types[0].BootS = 30
		machine := controller.cache.Machine("m")
		worker := controller.workerState(machine)
		if worker.since = now.Add(-x.known); !x.up {
			worker.Incarnation = 0
		}
		if x.rented > 0 {
			machine.ProvisionedAt = now.Add(-x.rented).Unix()
		}
		last := int64(0)
		if x.lastUp > 0 {
			last = now.Add(-x.lastUp).Unix()
		}
		if got := controller.neverCame(machine, last, now); got != x.gone {
			t.Errorf("%s: given up %v, want %v", x.name, got, x.gone)
		}
	}
}

// A victim that would keep little by saving stops at once; one that is saving already is
// not cut short by the time that passes meanwhile.
func TestVictimsSave(t *testing.T) {
	for _, x := range []struct {
		name  string
		ran   time.Duration
		state string
		grace float64
	}{
		{"little to keep", 17 * time.Second, protocol.TaskRunning, 0},
		{"much to keep", 28 * time.Second, protocol.TaskRunning, 3 + checkpointMargin},
		{"saving already", 31 * time.Second, protocol.TaskCheckpointing, 3 + checkpointMargin},
	} {
		controller := newCore(t)
		controller.applyTxn(protocol.Txn{Then: []protocol.Change{
			{Put: storage.JobKey("job-000002"), Value: storage.Encode(storage.JobRecord{Tasks: 1, Team: "red",
				Spec: &storage.SpecRecord{Class: "c", Cpus: 4, Image: "i", CheckpointInterval: 15, CheckpointCost: 3}})},
			{Put: storage.GroupKey(0), Value: storage.Encode(storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
				Tasks: []storage.PlacedTasks{{Job: "job-000002", Numbers: []uint64{0, 9, 0, 0}}}}}})},
			{Put: storage.VictimSetKey("job-000001"), Value: storage.Encode(storage.VictimSetRecord{
				Victims: []storage.VictimRecord{{Machine: "m", Job: "job-000002", Attempt: 9}}})},
		}}, 10)
		m := controller.cache.Machine("m")
		v, p := controller.workerState(m), m.Tasks[0]
		v.started[dispatch.RefOf(p)] = time.Now().Add(-x.ran)
		v.Seen[dispatch.RefOf(p)] = dispatch.TaskSeen{State: x.state}
		if w := controller.desiredState(m, v, p); !w.Stop || w.Grace != x.grace {
			t.Errorf("%s: %+v, want %v s to save", x.name, w, x.grace)
		}
	}
}
