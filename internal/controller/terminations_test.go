package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// cancelledTaskCondition is what else holds when a cancellation's deadline comes.
type cancelledTaskCondition int

const (
	taskEnded     cancelledTaskCondition = 1 << iota // the worker has shown that the task ended
	othersMachine                                    // another controller's machine
	storeOutage                                      // the state service does not answer
	timeUnknown                                      // the job's record doesn't say when it was cancelled
	onlyGossiped                                     // nor is it read: a peer has told
)

// has reports whether any of some conditions holds.
func (c cancelledTaskCondition) has(some cancelledTaskCondition) bool { return c&some != 0 }

// cancelledTaskCore is a core whose machine has a task of a job that was cancelled a while ago.
func cancelledTaskCore(t *testing.T, is cancelledTaskCondition, age time.Duration, now time.Time) (*Controller, *storage.Machine) {
	t.Helper()
	controller := newCore(t) // cancellations 30 s
	machine := controller.cache.Machine("m")
	applyRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
		Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{0, 3, 0, 0}}}}}}, 5)
	record := storage.JobRecord{Tasks: 2, Team: "red", Final: "cancelled", FinalAtMs: now.Add(-age).UnixMilli(), Spec: &storage.SpecRecord{Class: "c", Cpus: 4}}
	if is.has(timeUnknown) {
		record.FinalAtMs = 0
	}
	if is.has(onlyGossiped) {
		controller.cancellations.digest.gossiped["job-000001"] = 9
	} else {
		applyRecord(t, controller, storage.JobKey("job-000001"), record, 6)
	}
	if is.has(taskEnded) {
		controller.workerState(machine).Gone[dispatch.RefOf(machine.Tasks[0])] = dispatch.Stopped
	}
	if is.has(othersMachine) {
		controller.cache.Shards[0].Member = "n1"
	}
	controller.storeHealth.servedAt = now
	if is.has(storeOutage) {
		controller.storeHealth.servedAt = now.Add(-time.Hour)
	}
	return controller, machine
}

// How long a machine with a cancelled job's task may hang counted from its silence, from the takeover or from
// the beginning of an outage; where owners changed, or the state service flapped, it began again, and the
// task was there beyond cancel_s. One deadline holds whoever owns the machine, and whatever became of the silence.
func TestWhatWasCancelledHasOneDeadline(t *testing.T) {
	for _, test := range []struct {
		name  string
		is    cancelledTaskCondition
		age   time.Duration // since it was cancelled
		tried time.Duration // by this process
		heard time.Duration // any worker was heard so long ago
		awake time.Duration // this controller resumed from a stall so long ago; 0: it never stalled
		want  bool
	}{
		{name: "before the deadline", age: 14 * time.Second, tried: 13 * time.Second},
		{name: "at the deadline", age: 15 * time.Second, tried: 14 * time.Second, want: true},
		{name: "its owner has just taken it over", age: 16 * time.Second, tried: 3 * time.Second},
		{name: "its owner took it over a few seconds ago", age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "in an outage", is: storeOutage, age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "another's machine", is: othersMachine, age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "another's machine in an outage", is: othersMachine | storeOutage, age: 16 * time.Second, tried: 5 * time.Second, want: true},
		{name: "the task has ended", is: taskEnded, age: 20 * time.Second, tried: 19 * time.Second},
		{name: "this controller hears nobody: it may be the one that is cut off", age: 20 * time.Second, tried: 19 * time.Second, heard: 9 * time.Second},
		{name: "this controller has just resumed", age: 20 * time.Second, tried: 19 * time.Second, awake: time.Second},
		{name: "nobody knows when: it counts from when this process learned of it", is: timeUnknown, age: 40 * time.Second, tried: 14 * time.Second},
		{name: "and then it is over as soon", is: timeUnknown, age: 40 * time.Second, tried: 16 * time.Second, want: true},
		{name: "a peer has gossiped", is: onlyGossiped | storeOutage, age: 16 * time.Second, tried: 16 * time.Second, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			controller, machine := cancelledTaskCore(t, test.is, test.age, now)
			controller.workers.anyHeardAt = now.Add(-test.tried)
			if lost := controller.superviseTerminations(now.Add(-test.tried)); len(lost) > 0 {
				t.Fatal("returned before anything was tried")
			}
			if controller.workers.anyHeardAt = now.Add(-test.heard); test.awake > 0 {
				controller.reachability.resumedAt = now.Add(-test.awake)
			}
			if lost := controller.superviseTerminations(now); (len(lost) > 0) != test.want {
				t.Errorf("returned %v, want %v", lost, test.want)
			}
			if e := controller.workers.pendingUpdates[machine.Index]; (e != nil && e.returning) != (test.want && !test.is.has(othersMachine|storeOutage)) && !test.is.has(storeOutage) {
				t.Error("its owner returns it without saying so, or another one says so")
			}
		})
	}
	// What is left of cancel_s is for the cloud: for the deployments' times.
	for _, w := range []config.Workers{{LeaseS: 10, CancelS: 40}, {LeaseS: 11, CancelS: 41}, {LeaseS: 15.25, CancelS: 45.25}, {LeaseS: 16, CancelS: 36}, {LeaseS: 26.5, CancelS: 46.5}} {
		if left := seconds(w.CancelS) - terminationDeadline(w) - terminationPatience; left < 13*time.Second {
			t.Errorf("%+v: %v are left once a process that began just then has tried", w, left)
		}
	}
}

// What an unresponsive machine runs ends with its lease, again and again: it is given nothing, and returned
// after a while; its replies to direct commands put off neither.
func TestUnresponsiveMachines(t *testing.T) {
	for i, test := range []struct {
		name     string
		silent   time.Duration
		usable   bool
		returned bool
	}{
		{"it is silent, in a zone that is unreachable: that has its own limits", 21 * time.Second, false, false},
		{"it still boots: nothing was heard of it", 21 * time.Second, false, false},
		{"it has sent a heartbeat", time.Second, true, false},
		{"not for as long as it may take", 4 * time.Second, true, false},
		{"for half of its lease", 6 * time.Second, false, false},
		{"its tasks are lost", 21 * time.Second, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t) // heartbeats 1 s, leases 10 s
			machine := controller.cache.Machine("m")
			worker, now := controller.workerState(machine), time.Now()
			worker.since, worker.heartbeatAt = now.Add(-time.Minute), now.Add(-test.silent)
			if i == 0 {
				controller.zoneState(machine.Zone).unreachable, controller.zoneState(machine.Zone).heard, controller.session.startedAt = true, now.Add(-21*time.Second), now.Add(-time.Hour)
				controller.cfg.Known = []config.Peer{{MemberName: "n1", Zone: "a"}}
				controller.reachability.leaseSeenAt["n1"] = now
				machine.Tasks = []storage.PlacedTask{{Job: &storage.Job{Shape: protocol.Service}}}
				worker.heard, worker.missedProbes = worker.heartbeatAt, 9
			} else if i > 1 {
				controller.applyHeartbeat(machine, worker, &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 9, FencingToken: 4}, 4, true)
			} else {
				worker.Worker, worker.heard, worker.since = dispatch.NewWorker(), now, worker.heartbeatAt
			}
			if got := controller.usable(machine, worker, now); got != test.usable {
				t.Errorf("usable %v, want %v", got, test.usable)
			}
			controller.superviseMachines(t.Context(), now, nil)
			if e := controller.workers.pendingUpdates[machine.Index]; (e != nil && e.returning) != test.returned {
				t.Errorf("returned %v, want %v", !test.returned, test.returned)
			}
		})
	}
}

// A leadership whose transaction's answer was lost is known from its record: what an earlier leadership of
// the same process knew must not stay.
func TestLeadershipBeginsWithItsRecord(t *testing.T) {
	controller := newCore(t)
	controller.leader.enrollPending["m9"], controller.leader.requestCount = true, 7
	lead := func(member string, version uint64) {
		applyRecord(t, controller, storage.LeaderKey, storage.LeaderRecord{Member: member, Incarnation: 1}, version)
		controller.changed()
	}
	lead("n0", 8)
	if controller.leader.enrollPending["m9"] || controller.leader.requestCount != 7 {
		t.Errorf("enrolling %v, %d scale-out requests: want none of an earlier leadership, and no request's name again", controller.leader.enrollPending, controller.leader.requestCount)
	}
	controller.leader.enrollPending["m9"] = true
	lead("n0", 9) // its key rewritten by itself
	if !controller.leader.enrollPending["m9"] {
		t.Error("a leadership that goes on began again")
	}
}
