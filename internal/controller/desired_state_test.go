package controller

import (
	"testing"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestVictimCheckpointGrace checks that a victim that would save little by a checkpoint stops at once, and
// that the grace of one that is already saving is not cut short by the time that passes meanwhile.
func TestVictimCheckpointGrace(t *testing.T) {
	for _, test := range []struct {
		name  string
		ran   time.Duration
		state string
		grace float64
	}{
		{"little to save", 17 * time.Second, protocol.TaskRunning, 0},
		{"much to save", 28 * time.Second, protocol.TaskRunning, 3 + checkpointMarginS},
		{"already saving", 31 * time.Second, protocol.TaskCheckpointing, 3 + checkpointMarginS},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.applyTxn(protocol.Txn{Then: []protocol.Change{
				{Put: storage.JobKey("job-000002"), Value: storage.Encode(storage.JobRecord{Tasks: 1, Team: "red",
					Spec: &storage.SpecRecord{Class: "c", Cpus: 4, Image: "i", CheckpointInterval: 15, CheckpointCost: 3}})},
				{Put: storage.GroupKey(0), Value: storage.Encode(storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
					Tasks: []storage.PlacedTasks{{Job: "job-000002", Numbers: []uint64{0, 9, 0, 0}}}}}})},
				{Put: storage.VictimSetKey("job-000001"), Value: storage.Encode(storage.VictimSetRecord{
					Victims: []storage.VictimRecord{{Machine: "m", Job: "job-000002", Attempt: 9}}})},
			}}, 10)
			machine := controller.cache.Machine("m")
			worker, placed := controller.workerState(machine), machine.Tasks[0]
			worker.started[dispatch.AttemptRefOf(placed)] = time.Now().Add(-test.ran)
			worker.Reported[dispatch.AttemptRefOf(placed)] = dispatch.ReportedAttempt{State: test.state}
			if desired := controller.desiredState(machine, worker, placed); !desired.Stop || desired.GraceS != test.grace {
				t.Errorf("desired state %+v, want a stop with a grace of %v s", desired, test.grace)
			}
		})
	}
}
