package controller

import (
	"encoding/json"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"dykeledge/internal/config"
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
