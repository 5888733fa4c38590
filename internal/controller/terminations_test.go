package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// cancelledTaskCondition is a set of conditions that hold at a cancellation's deadline.
type cancelledTaskCondition int

const (
	taskEnded     cancelledTaskCondition = 1 << iota // the worker has proved that the task ended
	othersMachine                                    // another controller owns the machine
	storeOutage                                      // the state service does not answer
	timeUnknown                                      // the job's record does not hold the time of its cancellation
	onlyInDigest                                     // the job's record is not read; the cancellation is from a peer's digest
)

// has reports whether any of the given conditions holds.
func (c cancelledTaskCondition) has(some cancelledTaskCondition) bool { return c&some != 0 }

// cancelledTaskCore returns a core whose machine has a task of a job that was cancelled age before now.
func cancelledTaskCore(t *testing.T, conditions cancelledTaskCondition, age time.Duration, now time.Time) (*Controller, *storage.Machine) {
	t.Helper()
	controller := newCore(t) // cancel_s 30
	machine := controller.cache.Machine("m")
	applyRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
		Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{0, 3, 0, 0}}}}}}, 5)
	record := storage.JobRecord{Tasks: 2, Team: "red", Final: "cancelled", FinalAtMs: now.Add(-age).UnixMilli(), Spec: &storage.SpecRecord{Class: "c", Cpus: 4}}
	if conditions.has(timeUnknown) {
		record.FinalAtMs = 0
	}
	if conditions.has(onlyInDigest) {
		controller.cancellations.digest.gossiped["job-000001"] = 9
	} else {
		applyRecord(t, controller, storage.JobKey("job-000001"), record, 6)
	}
	if conditions.has(taskEnded) {
		controller.workerState(machine).Gone[dispatch.AttemptRefOf(machine.Tasks[0])] = dispatch.Stopped
	}
	if conditions.has(othersMachine) {
		controller.cache.Shards[0].Member = "n1"
	}
	controller.storeHealth.servedAt = now
	if conditions.has(storeOutage) {
		controller.storeHealth.servedAt = now.Add(-time.Hour)
	}
	return controller, machine
}

// Guards against limits that begin again: the time for which a machine with a cancelled job's task may
// hang counted from its silence, from a takeover or from the start of an outage. When owners changed,
// or the state service was available only now and then, the task outlasted cancel_s. One deadline
// holds, whichever controller owns the machine.
func TestCancellationHasOneDeadline(t *testing.T) {
	for _, test := range []struct {
		name       string
		conditions cancelledTaskCondition
		age        time.Duration // time since the cancellation
		tried      time.Duration // time since this process first tried to terminate the task
		heard      time.Duration // time since the last message of any worker
		resumed    time.Duration // time since this controller resumed from a stall; 0: it never stalled
		want       bool
	}{
		{name: "before the deadline", age: 14 * time.Second, tried: 13 * time.Second},
		{name: "at the deadline", age: 15 * time.Second, tried: 14 * time.Second, want: true},
		{name: "the owner has just taken the machine over", age: 16 * time.Second, tried: 3 * time.Second},
		{name: "the owner took the machine over a few seconds ago", age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "in an outage", conditions: storeOutage, age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "another controller's machine", conditions: othersMachine, age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "another controller's machine in an outage", conditions: othersMachine | storeOutage, age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "the task has ended", conditions: taskEnded, age: 20 * time.Second, tried: 19 * time.Second},
		{name: "no messages from any worker: this controller may be the one that is cut off", age: 20 * time.Second, tried: 19 * time.Second, heard: 9 * time.Second},
		{name: "this controller has just resumed", age: 20 * time.Second, tried: 19 * time.Second, resumed: time.Second},
		{name: "time of cancellation unknown: age counts from when this process learned of it", conditions: timeUnknown, age: 40 * time.Second, tried: 14 * time.Second},
		{name: "time of cancellation unknown, at the deadline", conditions: timeUnknown, age: 40 * time.Second, tried: 16 * time.Second, want: true},
		{name: "cancellation from a peer's digest", conditions: onlyInDigest | storeOutage, age: 16 * time.Second, tried: 16 * time.Second, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			controller, machine := cancelledTaskCore(t, test.conditions, test.age, now)
			controller.workers.lastWorkerMessageAt = now.Add(-test.tried)
			if lost := controller.superviseTerminations(now.Add(-test.tried)); len(lost) > 0 {
				t.Fatal("machine returned before any try to terminate the task")
			}
			if controller.workers.lastWorkerMessageAt = now.Add(-test.heard); test.resumed > 0 {
				controller.reachability.resumedAt = now.Add(-test.resumed)
			}
			if lost := controller.superviseTerminations(now); (len(lost) > 0) != test.want {
				t.Errorf("machines to return: %v, want any: %v", lost, test.want)
			}
			if update := controller.workers.pendingUpdates[machine.Index]; (update != nil && update.returning) != (test.want && !test.conditions.has(othersMachine|storeOutage)) && !test.conditions.has(storeOutage) {
				t.Error("the return is not queued as an update by the owner, or is queued by another controller")
			}
		})
	}
	// With the deployments' settings, at least 13 s of cancel_s are left for the cloud.
	for _, settings := range []config.Workers{{LeaseS: 10, CancelS: 40}, {LeaseS: 11, CancelS: 41}, {LeaseS: 15.25, CancelS: 45.25}, {LeaseS: 16, CancelS: 36}, {LeaseS: 26.5, CancelS: 46.5}} {
		if left := seconds(settings.CancelS) - terminationDeadline(settings) - minTerminationTime; left < 13*time.Second {
			t.Errorf("%+v: only %v of cancel_s are left after the tries of a process that started at the deadline", settings, left)
		}
	}
}

// The tasks on an unresponsive machine end whenever its worker's lease expires. It must get no further
// tasks and be returned after a while, and its replies to direct commands must delay neither.
func TestUnresponsiveMachines(t *testing.T) {
	for i, test := range []struct {
		name     string
		silent   time.Duration
		usable   bool
		returned bool
	}{
		{"silent in an unreachable zone, which has its own limits", 21 * time.Second, false, false},
		{"still booting: its worker has sent nothing yet", 21 * time.Second, false, false},
		{"heartbeat just received", time.Second, true, false},
		{"no heartbeat, but within the limit", 4 * time.Second, true, false},
		{"no heartbeat for more than half of its lease", 6 * time.Second, false, false},
		{"no heartbeat for more than two leases", 21 * time.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t) // report_s 1, lease_s 10
			machine := controller.cache.Machine("m")
			worker, now := controller.workerState(machine), time.Now()
			worker.trackedSince, worker.heartbeatAt = now.Add(-time.Minute), now.Add(-test.silent)
			if i == 0 {
				controller.zoneState(machine.Zone).unreachable, controller.zoneState(machine.Zone).lastMessageAt, controller.session.startedAt = true, now.Add(-21*time.Second), now.Add(-time.Hour)
				controller.cfg.KnownPeers = []config.Peer{{MemberName: "n1", Zone: "a"}}
				controller.reachability.memberSeenAt["n1"] = now
				machine.Tasks = []storage.PlacedTask{{Job: &storage.Job{Shape: protocol.Service}}}
				worker.lastMessageAt, worker.missedProbes = worker.heartbeatAt, 9
			} else if i > 1 {
				controller.applyHeartbeat(machine, worker, &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 9, FencingToken: 4}, 4, true)
			} else {
				worker.Worker, worker.lastMessageAt, worker.trackedSince = dispatch.NewWorker(), now, worker.heartbeatAt
			}
			if got := controller.usable(machine, worker, now); got != test.usable {
				t.Errorf("usable %v, want %v", got, test.usable)
			}
			controller.superviseMachines(t.Context(), now, nil)
			if update := controller.workers.pendingUpdates[machine.Index]; (update != nil && update.returning) != test.returned {
				t.Errorf("returned %v, want %v", !test.returned, test.returned)
			}
		})
	}
}

// Guards against state of an earlier leadership of the same process being used in a new one: if the
// answer to the transaction is lost, leadership begins when its record is read.
func TestLeadershipBeginsWithLeaderRecord(t *testing.T) {
	controller := newCore(t)
	controller.leader.enrollPending["m9"], controller.leader.requestCount = true, 7
	lead := func(member string, version uint64) {
		applyRecord(t, controller, storage.LeaderKey, storage.LeaderRecord{Member: member, Incarnation: 1}, version)
		controller.onRecordsChanged()
	}
	lead("n0", 8)
	if controller.leader.enrollPending["m9"] || controller.leader.requestCount != 7 {
		t.Errorf("enrollment pending %v, %d scale-out requests: want no enrollment of an earlier leadership, and the count kept at 7", controller.leader.enrollPending, controller.leader.requestCount)
	}
	controller.leader.enrollPending["m9"] = true
	lead("n0", 9) // the leader rewrote its own record
	if !controller.leader.enrollPending["m9"] {
		t.Error("leader state was reset although leadership went on")
	}
}
