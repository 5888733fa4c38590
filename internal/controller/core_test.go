package controller

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// newCore returns a loaded controller that owns its only shard, with one machine whose worker has sent a
// heartbeat, and one waiting job with two tasks.
func newCore(t *testing.T) *Controller {
	t.Helper()
	cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"},
		Teams: []config.Team{{Name: "red"}}, Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
		State: config.State{TxnOps: 12}}}
	controller := New(cfg, stubStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
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
	machine := controller.cache.Machine("m")
	controller.applyHeartbeat(machine, controller.workerState(machine), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 1, FencingToken: 4}, 4, false)
	return controller
}

// stubStore implements only Pace; any other call panics.
type stubStore struct{ StateStore }

func (stubStore) Pace(int) time.Duration { return 0 }

// machineIn returns machine m from the group record that a transaction writes.
func machineIn(t *testing.T, builder *txnBuilder) storage.GroupMachine {
	t.Helper()
	var record storage.GroupRecord
	if err := json.Unmarshal(builder.puts[storage.GroupKey(0)].Value, &record); err != nil {
		t.Fatal(err)
	}
	for _, m := range record.Machines {
		if m.Name == "m" {
			return m
		}
	}
	t.Fatalf("record %+v does not contain machine m", record)
	return storage.GroupMachine{}
}
