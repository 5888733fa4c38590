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

// lowerState is a state service's limits with much lower ones to come.
var lowerState = config.State{RPS: 200, WriteRPS: 80, ValueKB: 64, TxnOps: 12,
	Next: &config.StateNext{WriteRPS: 56, ValueKB: 2, TxnOps: 4}}

// What transactions may hold under the lower limits.
const (
	lowerValueLimit  = 2 << 10
	lowerChanges     = 4
	lowerComparisons = 16
)

// checkLowerLimits fails if a transaction is over the lower limits.
func checkLowerLimits(t *testing.T, txn protocol.Txn) {
	t.Helper()
	if len(txn.Then) > lowerChanges || len(txn.If) > lowerComparisons {
		t.Fatalf("%d changes on %d conditions", len(txn.Then), len(txn.If))
	}
	for _, change := range txn.Then {
		if len(change.Value) > lowerValueLimit {
			t.Fatalf("%s takes %d bytes", change.Put, len(change.Value))
		}
	}
}

// What the state of TestLowerLimits consists of.
const (
	largeGroups      = 4
	largeGroupSize   = 24
	triesPerMachine  = 40 // to place a task
	largeJobs        = 60
	maxPlacedPerJob  = 200
	largeArrayTasks  = 100_000
	largeArrayStride = 499 // how far apart its placed tasks are
)

// taskOfJob is a task by its job's name and its number.
type taskOfJob struct {
	job  string
	task int
}

// lowerLimitsRun is a controller with records far over the lower limits, and what the test knows of its tasks.
type lowerLimitsRun struct {
	t       *testing.T
	random  *rand.Rand
	c       *Controller
	version uint64
	on      map[taskOfJob]string // name of the machine
	next    map[string]int       // tasks placed, by job
	jobs    []string             // the first one is a large array
}

func newLowerLimitsRun(t *testing.T, seed uint64) *lowerLimitsRun {
	t.Helper()
	r := &lowerLimitsRun{t: t, random: rand.New(rand.NewPCG(seed, 3)), c: newCore(t), version: 10,
		on: map[taskOfJob]string{}, next: map[string]int{}}
	r.c.cfg.Deployment.State = lowerState
	r.applyJobs()
	r.applyGroups()
	r.apply(storage.LayoutKey, storage.LayoutRecord{Version: storage.LayoutPacked})
	r.c.workers.directCommands = maxDirectCommands // no workers here
	r.c.changed()
	for _, machine := range r.c.cache.Machines {
		if machine.Name != "m" {
			r.c.applyHeartbeat(machine, r.c.workerState(machine), reportOf(machine, 1), 4, false)
		}
	}
	return r
}

// apply has the controller read a record.
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

// applyGroups has the controller read the fleet and the full groups.
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

// fullMachine is a machine's entry with tasks of many jobs.
func (r *lowerLimitsRun) fullMachine(name string) storage.GroupMachine {
	machine := storage.GroupMachine{Name: name, Incarnation: 1}
	for range triesPerMachine {
		id := r.jobs[r.random.IntN(len(r.jobs))]
		if r.next[id] >= maxPlacedPerJob {
			continue
		}
		placed := taskOfJob{id, r.next[id]}
		if id == r.jobs[0] {
			placed.task = r.next[id] * largeArrayStride
		}
		r.next[id]++
		r.on[placed] = name
		machine.Tasks = append(machine.Tasks, storage.PlacedTasks{Job: id,
			Numbers: []uint64{uint64(placed.task), 5 + r.random.Uint64N(50_000), 1_700_000_000 + r.random.Uint64N(300), r.random.Uint64N(90)}})
	}
	return machine
}

// pauseJobs has nothing more placed: what is there only runs out.
func (r *lowerLimitsRun) pauseJobs() {
	for _, job := range r.c.cache.Jobs {
		if job != nil {
			r.c.jobState(job).backoff = time.Now().Add(time.Hour)
		}
	}
}

// completeSomeTasks has some machines report that some of their tasks are done.
func (r *lowerLimitsRun) completeSomeTasks() {
	for _, machine := range r.c.cache.Machines {
		if machine.Name == "m" || len(machine.Tasks) == 0 || r.random.IntN(10) > 0 {
			continue
		}
		worker := r.c.workerState(machine)
		report := reportOf(machine, worker.Seq+1)
		for i := range report.Tasks {
			if r.random.IntN(3) == 0 {
				report.Tasks[i].State, report.Tasks[i].Cause = protocol.TaskExited, protocol.CauseDone
			}
		}
		r.c.applyHeartbeat(machine, worker, report, r.c.cache.FencingToken(machine), false)
	}
}

// placedCount is how many tasks are placed.
func (r *lowerLimitsRun) placedCount() int {
	placed := 0
	for _, job := range r.c.cache.Jobs {
		if job != nil {
			placed += job.PlacedCount
		}
	}
	return placed
}

// commit has a transaction carried out.
func (r *lowerLimitsRun) commit(txn protocol.Txn) {
	r.version++
	r.c.handleTxnOutcome(txn, r.version, nil, nil)
	r.c.cache.Revision = r.version
}

// placedTasks is which task is on which machine; none may be on two, or be completed.
func (r *lowerLimitsRun) placedTasks() map[taskOfJob]int32 {
	r.t.Helper()
	seen := map[taskOfJob]int32{}
	for _, machine := range r.c.cache.Machines {
		for _, placed := range machine.Tasks {
			task := taskOfJob{placed.Job.ID, placed.Task}
			if other, twice := seen[task]; twice {
				r.t.Fatalf("%v is on %d and %d", task, other, machine.Index)
			}
			seen[task] = machine.Index
			if placed.Job.Done.Get(placed.Task) {
				r.t.Fatalf("%v is completed and placed", task)
			}
		}
	}
	return seen
}

// checkTasks fails if a task has moved or is lost, and forgets those that have ended.
func (r *lowerLimitsRun) checkTasks() {
	r.t.Helper()
	seen := r.placedTasks()
	for task, name := range r.on {
		machine, placed := seen[task]
		switch job := r.c.cache.Job(task.job); {
		case placed && r.c.cache.Machines[machine].Name != name && machine != 0 && job.AttemptOf[task.task] < 50_100:
			r.t.Fatalf("%v is on %s, not %s", task, r.c.cache.Machines[machine].Name, name)
		case !placed && job != nil && job.Open() && !job.Done.Get(task.task):
			r.t.Fatalf("%v is lost", task)
		case !placed:
			delete(r.on, task)
		}
	}
}

// step completes some tasks and commits the next transaction; false: nothing is left to do.
func (r *lowerLimitsRun) step() (more bool) {
	r.t.Helper()
	r.completeSomeTasks()
	txn, _ := r.c.nextTxn(r.c.workerState(r.c.cache.Machine("m")).heard)
	if len(txn.Then) == 0 {
		return r.placedCount() > 0
	}
	checkLowerLimits(r.t, txn)
	r.commit(txn)
	r.checkTasks()
	return true
}

// Records of the plain layout that are far over the limits to come: full groups, whose
// machines' tasks must be able to leave, a large array with most of its tasks completed,
// a large victim set. Every transaction keeps to the lower limits, from the gate on or with the
// limits falling at once, and at the end nothing is left.
func TestLowerLimits(t *testing.T) {
	const maxSteps = 4000
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run := newLowerLimitsRun(t, seed)
			total, steps := len(run.on), 0
			for ; steps < maxSteps; steps++ {
				if steps == 100*int(seed%2) {
					run.pauseJobs()
				}
				if !run.step() {
					break
				}
			}
			if len(run.on) > 0 {
				t.Fatalf("%d of %d tasks are still there after %d steps", len(run.on), total, steps)
			}
			for _, group := range run.c.cache.Groups {
				if group.Size > lowerValueLimit {
					t.Errorf("group %d takes %d bytes", group.ID, group.Size)
				}
			}
			t.Logf("%d tasks completed in %d steps, %d groups", total, steps, len(run.c.cache.Groups))
		})
	}
}

// A fleet's record that is over the lower limit even when packed is rewritten in small steps;
// meanwhile no machine is lost, none counts twice, and none leaves, since the large record would
// bring it back.
func TestLargeFleetIsWorkedOff(t *testing.T) {
	const machines, maxSteps = 200, 100
	for _, width := range []int{6, 100} {
		t.Run(fmt.Sprint("names of width ", width), func(t *testing.T) {
			controller := newCore(t) // has a machine too
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
				if there := listedMachines(controller); there != machines+1 {
					t.Fatalf("%d of %d machines after step %d", there, machines+1, steps)
				}
			}
			if left, _ := controller.cache.OversizedFleet(lowerValueLimit); left != nil || steps == 0 {
				t.Errorf("still oversized after %d steps", steps)
			}
			for _, machine := range controller.cache.Machines {
				if machine.FleetEntries != 1 {
					t.Fatalf("%s is listed %d times", machine.Name, machine.FleetEntries)
				}
			}
		})
	}
}

// listedMachines is how many machines a fleet's record lists and a group holds.
func listedMachines(c *Controller) int {
	listed := 0
	for _, machine := range c.cache.Machines {
		if c.cache.MachineSeen(machine.Name) && machine.Fleet != nil && machine.FleetEntries > 0 && len(machine.Group.Machines) > 0 {
			listed++
		}
	}
	return listed
}
