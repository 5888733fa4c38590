package controller

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

func TestPlanConditions(t *testing.T) {
	c := newCore(t)
	builder, _ := c.plan(c.workerState(c.cache.Machine("m")).lastMessageAt, 12)
	// The transaction must fail if the shard has another owner, the job was cancelled or the
	// machine group changed.
	want := map[string]uint64{storage.ShardKey(0): 2, storage.JobKey("job-000001"): 3, storage.GroupKey(0): 4}
	if !reflect.DeepEqual(builder.conditions, want) {
		t.Fatalf("conditions %v, want %v", builder.conditions, want)
	}
	entry := machineIn(t, builder)
	if len(entry.Tasks) != 1 || len(entry.Tasks[0].Numbers) != 8 || entry.Tasks[0].Numbers[1] <= 4 || entry.Incarnation != 1 {
		t.Fatalf("record %+v: want two tasks with an attempt above every earlier revision", entry)
	}
}

// TestTxnStaysWithinLimits guards against a transaction that the state service refuses forever:
// groups that list hundreds of small tasks make it larger than the service's limit.
func TestTxnStaysWithinLimits(t *testing.T) {
	controller := newCore(t)
	job := fmt.Sprintf("job-%06d", 7)
	const groups, tasks = 8, 450
	apply := func(key string, v any, version uint64) {
		if err := controller.cache.Apply(key, storage.Encode(v), version, false); err != nil {
			t.Fatal(err)
		}
	}
	apply(storage.JobKey(job), storage.JobRecord{Tasks: groups * tasks, Team: "red",
		Spec: &storage.SpecRecord{Class: "c", Cpus: 0.01, Mem: 0.01, Image: "i", Spot: true}}, 5)
	fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
	for i := range groups {
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("x", i), Group: i + 1})
	}
	apply(storage.FleetKey("x0"), fleet, 5)
	for i := range groups {
		var numbers []uint64
		for task := range tasks {
			numbers = append(numbers, uint64(i*tasks+task), 1_000_000, 1_700_000_000, 100)
		}
		apply(storage.GroupKey(i+1), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: fmt.Sprint("x", i), Incarnation: 1,
			Tasks: []storage.PlacedTasks{{Job: job, Numbers: numbers}}}}}, 6)
		machine := controller.cache.Machine(fmt.Sprint("x", i))
		heartbeat := heartbeatOf(machine, 1)
		heartbeat.Tasks[0].State, heartbeat.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone // each group's record has to change
		controller.applyHeartbeat(machine, controller.workerState(machine), heartbeat, 4, false)
	}
	txn, more := controller.nextTxn(controller.workerState(controller.cache.Machine("m")).lastMessageAt)
	if size := len(storage.Encode(txn)); size > 64<<10 || len(txn.Then) == 0 || !more {
		t.Errorf("transaction of %d bytes with %d changes, more %v: want at most 64 KB, some changes and more", size, len(txn.Then), more)
	}
}

// TestUnhealthyIsRecorded checks that a machine's unhealthy mark is written to its record. Without
// that, the mark was lost when the machine got another owner, and the machine went on failing
// tasks.
func TestUnhealthyIsRecorded(t *testing.T) {
	c := newCore(t)
	machine := c.cache.Machine("m")
	c.workerState(machine).unhealthy = true
	builder, _ := c.plan(c.workerState(machine).lastMessageAt, 12)
	if entry := machineIn(t, builder); !entry.Unhealthy || len(entry.Tasks) != 0 {
		t.Fatalf("record %+v: want an unhealthy machine without tasks", entry)
	}
	c.applyTxn(builder.build(), 9)
	clear(c.workers.states)
	if worker := c.workerState(machine); c.usable(machine, worker, worker.lastMessageAt) {
		t.Fatal("a new owner considers the unhealthy machine usable")
	}
}

// TestConditionsStayWithinLimit guards against a plan that the state service refuses for its number of conditions, and
// that is made again in the same way: the groups of a job's later tasks were not counted.
func TestConditionsStayWithinLimit(t *testing.T) {
	const txnOps, smallJobs, largeTasks = 4, 12, 3
	controller := newCore(t)
	controller.cfg.Deployment.State.TxnOps = txnOps
	for group := 1; group <= largeTasks; group++ {
		name := fmt.Sprint("m", group)
		applyRecord(t, controller, storage.GroupKey(group), storage.GroupRecord{}, 4)
		applyRecord(t, controller, storage.FleetKey(name), storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4,
			Machines: []storage.FleetMachine{{Name: name, Group: group}}}, 4)
		machine := controller.cache.Machine(name)
		controller.applyHeartbeat(machine, controller.workerState(machine), &protocol.Heartbeat{Machine: name, Incarnation: 1, Seq: 1, FencingToken: 4}, 4, false)
	}
	spec := storage.SpecRecord{Class: "c", Cpus: 0.5, Image: "i", Spot: true}
	applyRecord(t, controller, storage.JobKey("job-000001"), storage.JobRecord{Tasks: 1, DoneCount: 1, Team: "red", Final: string(protocol.Done)}, 4)
	for job := range smallJobs {
		applyRecord(t, controller, storage.JobKey(fmt.Sprintf("job-1%05d", job)), storage.JobRecord{Tasks: 1, Team: "red", Spec: &spec, SubmittedMs: 1}, 4)
	}
	large := spec
	large.Cpus = 8
	applyRecord(t, controller, storage.JobKey("job-200000"), storage.JobRecord{Tasks: largeTasks, Team: "red", Spec: &large, SubmittedMs: 2}, 4)
	placed := 0
	for range 3 {
		builder, _ := controller.plan(time.Now(), txnOps)
		if txn := builder.build(); len(txn.If) > conditionsPerOp*txnOps || len(txn.Then) > txnOps {
			t.Fatalf("%d conditions and %d changes, at most %d and %d are allowed", len(txn.If), len(txn.Then), conditionsPerOp*txnOps, txnOps)
		}
		placed += controller.planner.plannedTasks
		controller.cache.Revision++
		controller.follower.highestRevision = controller.cache.Revision
		controller.applyTxn(builder.build(), controller.cache.Revision)
	}
	if placed != smallJobs+largeTasks {
		t.Errorf("%d tasks placed, want all %d", placed, smallJobs+largeTasks)
	}
}
