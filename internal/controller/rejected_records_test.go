package controller

import (
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestRejectedGroupStopsNothingElse guards against a share that stops for good, and against tasks that start twice: a
// machine group's record that cannot be applied made every transaction of its shard fail, and the tasks that it lists
// seemed to wait.
func TestRejectedGroupStopsNothingElse(t *testing.T) {
	const listedJob, otherJob, cancelledJob = "job-000001", "job-000002", "job-000003"
	controller := newCore(t)
	job := storage.JobRecord{Tasks: 1, Team: "red", Spec: &storage.SpecRecord{Class: "c", Cpus: 4, Mem: 1, Image: "i", Spot: true}}
	applyRecord(t, controller, storage.JobKey(otherJob), job, 5)
	job.Final = string(protocol.Cancelled)
	applyRecord(t, controller, storage.JobKey(cancelledJob), job, 5)
	applyRecord(t, controller, storage.FleetKey("m2"), storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4, Machines: []storage.FleetMachine{{Name: "m2", Group: 1}}}, 5)
	applyRecord(t, controller, storage.GroupKey(1), storage.GroupRecord{}, 5)
	second := controller.cache.Machine("m2")
	running := func(job string) protocol.TaskStatus {
		return protocol.TaskStatus{Task: protocol.TaskName(job, 0), Attempt: 5, State: protocol.TaskRunning}
	}
	worker := controller.workerState(second)
	heartbeat := &protocol.Heartbeat{Machine: "m2", Incarnation: 1, Seq: 1, FencingToken: 4, Tasks: []protocol.TaskStatus{running(listedJob), running(cancelledJob)}}
	controller.applyHeartbeat(second, worker, heartbeat, 4, false)

	group := storage.GroupRecord{Machines: []storage.GroupMachine{
		{Name: "m2", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: listedJob, Numbers: []uint64{0, 5, 0, 0}}}},
		{Name: "m3"},
	}}
	if controller.cache.Apply(storage.GroupKey(1), storage.Encode(group), 6, false) == nil {
		t.Fatal("a record that names an unknown machine was accepted")
	}
	controller.cache.Revision, controller.follower.highestRevision = 6, 6
	controller.cache.PruneFinalJobs()

	builder, _ := controller.plan(time.Now(), 12)
	if _, written := builder.puts[storage.GroupKey(1)]; written {
		t.Error("the rejected record is replaced: the transaction would fail")
	}
	placed := jobsOn(machineIn(t, builder))
	if !placed[otherJob] || placed[listedJob] {
		t.Errorf("placed %v, want only %s: tasks of %s may be on the other machine", placed, otherJob, listedJob)
	}
	commands := controller.commands(second, worker, true)
	if len(commands) != 1 || commands[0].Op != protocol.OpKill || commands[0].Task != protocol.TaskName(cancelledJob, 0) {
		t.Errorf("commands %v, want a kill of the cancelled job's task", commands)
	}
	if values := controller.collectGaugeValues(time.Now()); values.rejectedRecords != 1 {
		t.Errorf("metric shows %d rejected records", values.rejectedRecords)
	}

	applyRecord(t, controller, storage.FleetKey("m3"), storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4, Machines: []storage.FleetMachine{{Name: "m3", Group: 1}}}, 6)
	applyRecord(t, controller, storage.GroupKey(1), group, 6)
	builder, _ = controller.plan(time.Now(), 12)
	if placed := jobsOn(machineIn(t, builder)); !placed[listedJob] || controller.cache.RejectedRecords() > 0 {
		t.Errorf("placed %v after the record was accepted, want the waiting task of %s too", placed, listedJob)
	}
}

// jobsOn returns the ids of the jobs whose tasks a machine's entry lists.
func jobsOn(machine storage.GroupMachine) map[string]bool {
	jobs := map[string]bool{}
	for _, tasks := range machine.Tasks {
		jobs[tasks.Job] = true
	}
	return jobs
}

// TestConflictsAreReported guards against a shard that stops without an alarm: its transactions conflicted several times
// a second, for good, and only the level debug showed it.
func TestConflictsAreReported(t *testing.T) {
	began := time.Now()
	tracker := conflictTracker{}
	for _, step := range []struct {
		at        time.Duration
		succeeds  bool
		wantAge   time.Duration
		wantAlarm bool
	}{
		{at: 0, wantAge: 0},
		{at: conflictReportAge - time.Second, wantAge: conflictReportAge - time.Second},
		{at: conflictReportAge, wantAge: conflictReportAge, wantAlarm: true},
		{at: conflictReportAge + time.Second, wantAge: conflictReportAge + time.Second},
		{at: 2 * conflictReportAge, wantAge: 2 * conflictReportAge, wantAlarm: true},
		{at: 3 * conflictReportAge, succeeds: true},
		{at: 4 * conflictReportAge, wantAge: 0},
	} {
		now := began.Add(step.at)
		if step.succeeds {
			tracker.clear()
		} else {
			tracker.note(now)
		}
		if age, alarm := tracker.age(now), tracker.reportDue(now); age != step.wantAge || alarm != step.wantAlarm {
			t.Errorf("after %v: age %v, alarm %v, want %v, %v", step.at, age, alarm, step.wantAge, step.wantAlarm)
		}
	}
}
