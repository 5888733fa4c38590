package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// lowerState has the limits of a state service and, as announced limits, much lower ones.
var lowerState = config.State{RPS: 200, WriteRPS: 80, ValueKB: 64, TxnOps: 12,
	Next: &config.StateNext{WriteRPS: 56, ValueKB: 2, TxnOps: 4}}

// Limits on transactions under the lower limits.
const (
	lowerValueLimit = 2 << 10
	lowerChanges    = 4
	lowerConditions = 16
)

// checkLowerLimits fails the test if a transaction exceeds the lower limits.
func checkLowerLimits(t *testing.T, txn protocol.Txn) {
	t.Helper()
	if len(txn.Then) > lowerChanges || len(txn.If) > lowerConditions {
		t.Fatalf("transaction has %d changes and %d conditions, more than the lower limits allow", len(txn.Then), len(txn.If))
	}
	for _, change := range txn.Then {
		if len(change.Value) > lowerValueLimit {
			t.Fatalf("value of %s takes %d bytes, more than the lower limit", change.Put, len(change.Value))
		}
	}
}

// Sizes of the state that TestLowerLimits starts from.
const (
	largeGroups                 = 4
	largeGroupSize              = 24
	placementAttemptsPerMachine = 40 // attempts to place a task on each machine
	largeJobs                   = 60
	maxPlacedPerJob             = 200
	largeArrayTasks             = 100_000
	largeArrayStride            = 499 // difference between the numbers of the large array's placed tasks
)

// taskOfJob identifies a task by its job's ID and its number.
type taskOfJob struct {
	job  string
	task int
}

// lowerLimitsRun is a controller with records far over the lower limits, and the test's own account
// of its tasks.
type lowerLimitsRun struct {
	t           *testing.T
	random      *rand.Rand
	c           *Controller
	version     uint64
	machineOf   map[taskOfJob]string // name of the machine on which each task is placed
	placedByJob map[string]int       // number of placed tasks, by job
	jobs        []string             // IDs; the first job is the large array
}

func newLowerLimitsRun(t *testing.T, seed uint64) *lowerLimitsRun {
	t.Helper()
	r := &lowerLimitsRun{t: t, random: rand.New(rand.NewPCG(seed, 3)), c: newCore(t), version: 10,
		machineOf: map[taskOfJob]string{}, placedByJob: map[string]int{}}
	r.c.cfg.Deployment.State = lowerState
	r.applyJobs()
	r.applyGroups()
	r.apply(storage.LayoutKey, storage.LayoutRecord{Version: storage.LayoutPacked})
	r.c.workers.directCommands = maxDirectCommands // keeps direct commands from being sent: there are no workers
	r.c.onRecordsChanged()
	for _, machine := range r.c.cache.Machines {
		if machine.Name != "m" {
			r.c.applyHeartbeat(machine, r.c.workerState(machine), heartbeatOf(machine, 1), 4, false)
		}
	}
	return r
}

// apply applies a record to the controller's cache at the next revision.
func (r *lowerLimitsRun) apply(key string, record any) {
	r.t.Helper()
	r.version++
	if err := r.c.cache.Apply(key, storage.Encode(record), r.version, false); err != nil {
		r.t.Fatal(err)
	}
	r.c.cache.Revision, r.c.follower.highestRevision = r.version, r.version
}

func (r *lowerLimitsRun) applyJobs() {
	for i := range largeJobs {
		id := fmt.Sprintf("job-%06d", 100+r.random.IntN(1000)*100+i)
		r.jobs = append(r.jobs, id)
		tasks := maxPlacedPerJob
		if i == 0 {
			tasks = largeArrayTasks
		}
		r.apply(storage.JobKey(id), storage.JobRecord{Tasks: tasks, Team: "red",
			Spec: &storage.SpecRecord{Class: "c", Cpus: 0.01, Mem: 0.01, Image: "i", Spot: true}})
	}
}

// applyGroups applies the records of the fleet and of the full groups.
func (r *lowerLimitsRun) applyGroups() {
	fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
	for i := range largeGroups * largeGroupSize {
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprintf("host-%06d", i), Group: 1 + i/largeGroupSize,
			Addr: fmt.Sprintf("10.1.%d.%d:9000", i/200, i%200)})
	}
	r.apply(storage.FleetKey("host"), fleet)
	for group := range largeGroups {
		record := storage.GroupRecord{}
		for _, entry := range fleet.Machines[group*largeGroupSize : (group+1)*largeGroupSize] {
			record.Machines = append(record.Machines, r.fullMachine(entry.Name))
		}
		r.apply(storage.GroupKey(group+1), record)
	}
}

// fullMachine returns a machine's entry with tasks of many jobs.
func (r *lowerLimitsRun) fullMachine(name string) storage.GroupMachine {
	machine := storage.GroupMachine{Name: name, Incarnation: 1}
	for range placementAttemptsPerMachine {
		id := r.jobs[r.random.IntN(len(r.jobs))]
		if r.placedByJob[id] >= maxPlacedPerJob {
			continue
		}
		placed := taskOfJob{id, r.placedByJob[id]}
		if id == r.jobs[0] {
			placed.task = r.placedByJob[id] * largeArrayStride
		}
		r.placedByJob[id]++
		r.machineOf[placed] = name
		machine.Tasks = append(machine.Tasks, storage.PlacedTasks{Job: id,
			Numbers: []uint64{uint64(placed.task), 5 + r.random.Uint64N(50_000), 1_700_000_000 + r.random.Uint64N(300), r.random.Uint64N(90)}})
	}
	return machine
}

// pauseJobs puts all jobs into backoff, so that nothing more is placed and the placed tasks run
// out.
func (r *lowerLimitsRun) pauseJobs() {
	for _, job := range r.c.cache.Jobs {
		if job != nil {
			r.c.jobState(job).retryAt = time.Now().Add(time.Hour)
		}
	}
}

// completeSomeTasks applies heartbeats in which some machines report that some of their tasks are
// done.
func (r *lowerLimitsRun) completeSomeTasks() {
	for _, machine := range r.c.cache.Machines {
		if machine.Name == "m" || len(machine.Tasks) == 0 || r.random.IntN(10) > 0 {
			continue
		}
		worker := r.c.workerState(machine)
		report := heartbeatOf(machine, worker.Seq+1)
		for i := range report.Tasks {
			if r.random.IntN(3) == 0 {
				report.Tasks[i].State, report.Tasks[i].Cause = protocol.TaskExited, protocol.CauseDone
			}
		}
		r.c.applyHeartbeat(machine, worker, report, r.c.cache.FencingToken(machine), false)
	}
}

// placedCount returns the number of placed tasks.
func (r *lowerLimitsRun) placedCount() int {
	placed := 0
	for _, job := range r.c.cache.Jobs {
		if job != nil {
			placed += job.PlacedCount
		}
	}
	return placed
}

// commit makes the controller handle a transaction as committed.
func (r *lowerLimitsRun) commit(txn protocol.Txn) {
	r.version++
	r.c.handleTxnOutcome(txn, r.version, nil, nil)
	r.c.cache.Revision = r.version
}

// placedTasks returns the machine index of each placed task. It fails the test if a task is on two
// machines, or is completed and still placed.
func (r *lowerLimitsRun) placedTasks() map[taskOfJob]int32 {
	r.t.Helper()
	seen := map[taskOfJob]int32{}
	for _, machine := range r.c.cache.Machines {
		for _, placed := range machine.Tasks {
			task := taskOfJob{placed.Job.ID, placed.Task}
			if other, twice := seen[task]; twice {
				r.t.Fatalf("task %v is on machines %d and %d", task, other, machine.Index)
			}
			seen[task] = machine.Index
			if placed.Job.Done.Get(placed.Task) {
				r.t.Fatalf("task %v is completed and still placed", task)
			}
		}
	}
	return seen
}

// checkTasks fails the test if a task has moved or is lost, and removes tasks that have ended from
// the test's account.
func (r *lowerLimitsRun) checkTasks() {
	r.t.Helper()
	seen := r.placedTasks()
	for task, name := range r.machineOf {
		machine, placed := seen[task]
		switch job := r.c.cache.Job(task.job); {
		case placed && r.c.cache.Machines[machine].Name != name && machine != 0 && job.AttemptOf[task.task] < 50_100:
			r.t.Fatalf("task %v is on machine %s, want %s", task, r.c.cache.Machines[machine].Name, name)
		case !placed && job != nil && job.Open() && !job.Done.Get(task.task):
			r.t.Fatalf("task %v of an open job is neither placed nor completed", task)
		case !placed:
			delete(r.machineOf, task)
		}
	}
}

// step completes some tasks and commits the next transaction. It returns false once no task is
// placed and nothing is left to commit.
func (r *lowerLimitsRun) step() (more bool) {
	r.t.Helper()
	r.completeSomeTasks()
	txn, _ := r.c.nextTxn(r.c.workerState(r.c.cache.Machine("m")).lastMessageAt)
	if len(txn.Then) == 0 {
		return r.placedCount() > 0
	}
	checkLowerLimits(r.t, txn)
	r.commit(txn)
	r.checkTasks()
	return true
}

// TestLowerLimits starts from records of the plain layout that are far over the announced limits:
// full groups, from which tasks must still be removed, and a large array. Every transaction must be
// within the lower limits, with jobs paused at the start or after 100 steps, and at the end no task
// is left.
func TestLowerLimits(t *testing.T) {
	const maxSteps = 4000
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run := newLowerLimitsRun(t, seed)
			total, steps := len(run.machineOf), 0
			for ; steps < maxSteps; steps++ {
				if steps == 100*int(seed%2) {
					run.pauseJobs()
				}
				if !run.step() {
					break
				}
			}
			if len(run.machineOf) > 0 {
				t.Fatalf("%d of %d tasks are still placed after %d steps", len(run.machineOf), total, steps)
			}
			for _, group := range run.c.cache.Groups {
				if group.Size > lowerValueLimit {
					t.Errorf("record of group %d takes %d bytes, more than the lower limit", group.ID, group.Size)
				}
			}
			t.Logf("%d tasks completed in %d steps, %d groups", total, steps, len(run.c.cache.Groups))
		})
	}
}

// TestLargeFleetRecordIsRewritten checks that a fleet record that exceeds the lower limit even in the
// packed layout is rewritten in small steps. After each step every machine is listed; at the end
// each is listed once.
func TestLargeFleetRecordIsRewritten(t *testing.T) {
	const machines, maxSteps = 200, 100
	for _, width := range []int{6, 100} {
		t.Run(fmt.Sprint("names of width ", width), func(t *testing.T) {
			controller := newCore(t) // the core has a machine of its own
			controller.cfg.Deployment.State = lowerState
			fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
			for i := range machines {
				fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprintf("%0*d-host", width, i), Group: i % 5, Addr: fmt.Sprintf("10.1.0.%d:9000", i)})
			}
			version := uint64(10)
			apply := func(change protocol.Change) {
				if err := controller.cache.Apply(change.Put+change.Delete, change.Value, version, change.Delete != ""); err != nil {
					t.Fatal(err)
				}
			}
			apply(protocol.Change{Put: storage.FleetKey("large"), Value: storage.Encode(fleet)})
			version++
			apply(protocol.Change{Put: storage.LayoutKey, Value: storage.Encode(storage.LayoutRecord{Version: storage.LayoutPacked})})
			steps := 0
			for ; steps < maxSteps; steps++ {
				txn := controller.fleetRewriteTxn()
				if len(txn.Then) == 0 {
					break
				}
				checkLowerLimits(t, txn)
				version++
				for _, change := range txn.Then {
					apply(change)
				}
				if listed := listedMachines(controller); listed != machines+1 {
					t.Fatalf("%d of %d machines are listed after step %d", listed, machines+1, steps)
				}
			}
			if left, _ := controller.cache.OversizedFleet(lowerValueLimit); left != nil || steps == 0 {
				t.Errorf("no step was needed, or a fleet record is still oversized, after %d steps", steps)
			}
			for _, machine := range controller.cache.Machines {
				if machine.FleetEntries != 1 {
					t.Fatalf("machine %s is listed %d times, want once", machine.Name, machine.FleetEntries)
				}
			}
		})
	}
}

// listedMachines returns the number of machines that a fleet's record lists and a group holds.
func listedMachines(c *Controller) int {
	listed := 0
	for _, machine := range c.cache.Machines {
		if c.cache.MachineEverListed(machine.Name) && machine.Fleet != nil && machine.FleetEntries > 0 && len(machine.Group.Machines) > 0 {
			listed++
		}
	}
	return listed
}
