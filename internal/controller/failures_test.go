package controller

import (
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// testFailure is the failure of a task of a job on a machine. A machine number from afterBackoffFrom on
// means the machine with that number less afterBackoffFrom, after the job's backoff has passed.
type testFailure struct{ machine, job int }

const afterBackoffFrom = 10

// verdict lists the suspect jobs and the unhealthy machines.
type verdict struct {
	suspect, unhealthy []int
}

// Guards against a faulty job being taken for faulty machines: all tasks of its arrays were started again
// and again, and healthy machines were returned. The two kinds of fault differ in where else tasks fail.
func TestFaultyJobsAndMachines(t *testing.T) {
	for _, test := range []struct {
		name     string
		done     []int // jobs that have completed a task somewhere
		failures []testFailure
		want     verdict
	}{
		{"a faulty job on healthy machines", nil, []testFailure{{0, 0}, {1, 0}, {2, 0}, {0, 0}, {1, 0}}, verdict{[]int{0}, nil}},
		{"sound jobs on an unhealthy machine", nil, []testFailure{{0, 0}, {0, 1}, {0, 2}}, verdict{nil, []int{0}}},
		{"a job that completes elsewhere, on an unhealthy machine", []int{0}, []testFailure{{0, 0}, {0, 0}}, verdict{nil, []int{0}}},
		{"one failure proves nothing", []int{0}, []testFailure{{0, 0}}, verdict{nil, nil}},
		{"a job that has only one machine, on which it fails each time", nil,
			[]testFailure{{0, 0}, {0, 0}, {0, 0}, {10, 0}, {10, 0}, {10, 0}, {10, 0}}, verdict{nil, []int{0}}},
		{"a small job whose tasks fail together on one machine", nil, []testFailure{{0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}}, verdict{nil, nil}},
		{"two faulty jobs on the same healthy machines", nil,
			[]testFailure{{0, 0}, {0, 1}, {1, 0}, {1, 1}, {2, 0}, {2, 1}}, verdict{[]int{0, 1}, nil}},
		{"an unhealthy machine while a faulty job runs", []int{1}, []testFailure{{0, 0}, {1, 0}, {2, 0}, {3, 0}, {0, 1}, {0, 1}}, verdict{[]int{0}, []int{0}}},
		{"a job that has failed only on two unhealthy machines", []int{1, 2},
			[]testFailure{{0, 1}, {0, 2}, {1, 1}, {1, 2}, {0, 0}, {1, 0}}, verdict{nil, []int{0, 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			jobs := putFailingJobs(t, controller)
			for _, i := range test.done {
				jobs[i].DoneCount = 1
			}
			start := time.Now()
			now := noteFailures(controller, jobs, test.failures, start)
			var got verdict
			for i := range failingMachines {
				machine := controller.cache.Machine(fmt.Sprint("x", i))
				worker := controller.workerState(machine)
				if controller.judgeHealth(machine, worker, start); worker.unhealthy {
					t.Errorf("machine %d is marked unhealthy before failureSettleTime has passed since its failures", i)
				}
				if controller.judgeHealth(machine, worker, now.Add(2*failureSettleTime)); worker.unhealthy {
					got.unhealthy = append(got.unhealthy, i)
				}
			}
			for i, job := range jobs {
				if !controller.suspect(job) {
					continue
				}
				got.suspect = append(got.suspect, i)
				if n := controller.wantedTasks(job); n != 1 {
					t.Errorf("%d tasks of a suspect job should get capacity, want 1", n)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("suspect jobs and unhealthy machines %v, want %v", got, test.want)
			}
			checkSuspectsRecorded(t, controller, jobs, len(test.want.suspect))
		})
	}
}

const failingMachines = 4

// putFailingJobs applies the records of the machines and of three jobs to a controller's cache, and
// returns the jobs.
func putFailingJobs(t *testing.T, controller *Controller) []*storage.Job {
	t.Helper()
	fleet := storage.FleetRecord{Type: "t", Zone: "a"}
	for i := range failingMachines {
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("x", i)})
	}
	if err := controller.cache.Apply(storage.FleetKey("x0"), storage.Encode(fleet), 5, false); err != nil {
		t.Fatal(err)
	}
	var jobs []*storage.Job
	for i := range 3 {
		id := fmt.Sprintf("job-%06d", 100+i)
		if err := controller.cache.Apply(storage.JobKey(id), storage.Encode(storage.JobRecord{Tasks: 20, Team: "red",
			Spec: &storage.SpecRecord{Class: "c", Cpus: 1, Mem: 1, Image: "i"}}), 5, false); err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, controller.cache.Job(id))
	}
	return jobs
}

// noteFailures reports failures to a controller in their order, and returns the time of the last one.
func noteFailures(c *Controller, jobs []*storage.Job, failures []testFailure, now time.Time) time.Time {
	for i, failure := range failures {
		if failure.machine >= afterBackoffFrom {
			failure.machine -= afterBackoffFrom
			now = now.Add(2 * maxBackoff)
		}
		machine := c.cache.Machine(fmt.Sprint("x", failure.machine))
		ref := dispatch.AttemptRef{Job: jobs[failure.job], Task: i}
		c.noteOutcome(machine, c.workerState(machine), ref, dispatch.Failed, now)
	}
	return now
}

// checkSuspectsRecorded checks that suspect jobs are marked in their records, which the next owner and
// the leader read, and that a job which completes a task is no longer suspect.
func checkSuspectsRecorded(t *testing.T, controller *Controller, jobs []*storage.Job, suspects int) {
	t.Helper()
	planned := &plannedTxn{txnBuilder: newTxnBuilder(), maxOps: 12}
	controller.noteSuspects(planned)
	if len(planned.puts) != suspects {
		t.Errorf("%d suspect jobs are recorded, want %d", len(planned.puts), suspects)
	}
	for _, job := range jobs {
		job.Suspect, job.DoneCount = true, 1
		if controller.suspect(job) {
			t.Errorf("%s has completed a task and is still suspect", job.ID)
		}
	}
}
