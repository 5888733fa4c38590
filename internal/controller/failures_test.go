package controller

import (
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// A job with a mistake had whole arrays started again and again, and good machines
// given up for it: the two kinds of failure are told apart by where else they show.
func TestWhoseFault(t *testing.T) {
	type fail struct{ machine, job int }
	type want struct {
		suspect, sick []int
	}
	cases := []struct {
		name  string
		done  []int // jobs that have completed a task somewhere
		fails []fail
		want  want
	}{
		{"a mistaken job on good machines", nil, []fail{{0, 0}, {1, 0}, {2, 0}, {0, 0}, {1, 0}}, want{[]int{0}, nil}},
		{"good jobs on a sick machine", nil, []fail{{0, 0}, {0, 1}, {0, 2}}, want{nil, []int{0}}},
		{"a good job that completes elsewhere, on a sick machine", []int{0}, []fail{{0, 0}, {0, 0}}, want{nil, []int{0}}},
		{"one failure tells nothing", []int{0}, []fail{{0, 0}}, want{nil, nil}},
		{"a job that has one machine only, which fails it each time", nil,
			[]fail{{0, 0}, {0, 0}, {0, 0}, {10, 0}, {10, 0}, {10, 0}, {10, 0}}, want{nil, []int{0}}},
		{"a small job that fails at once on one machine", nil, []fail{{0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}}, want{nil, nil}},
		{"two mistaken jobs on the same good machines", nil,
			[]fail{{0, 0}, {0, 1}, {1, 0}, {1, 1}, {2, 0}, {2, 1}}, want{[]int{0, 1}, nil}},
		{"a sick machine while a mistaken job runs", []int{1}, []fail{{0, 0}, {1, 0}, {2, 0}, {3, 0}, {0, 1}, {0, 1}}, want{[]int{0}, []int{0}}},
		{"a job on two sick machines and another", []int{1, 2},
			[]fail{{0, 1}, {0, 2}, {1, 1}, {1, 2}, {0, 0}, {1, 0}}, want{nil, []int{0, 1}}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			controller := newCore(t)
			fleet := storage.FleetRecord{Type: "t", Zone: "a"}
			for i := range 4 {
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
			for _, i := range x.done {
				jobs[i].DoneCount = 1
			}
			start := time.Now()
			now := start
			for i, f := range x.fails {
				if f.machine > 9 { // after the job's pause
					f.machine -= 10
					now = now.Add(2 * maxBackoff)
				}
				m := controller.cache.Machine(fmt.Sprint("x", f.machine))
				controller.noteOutcome(m, controller.workerState(m), dispatch.Ref{Job: jobs[f.job], Task: i}, dispatch.Failed, now)
			}
			var got want
			for i := range 4 {
				m := controller.cache.Machine(fmt.Sprint("x", i))
				v := controller.workerState(m)
				if controller.judgeHealth(m, v, start); v.unhealthy {
					t.Errorf("machine %d is judged before its failures have settled", i)
				}
				if controller.judgeHealth(m, v, now.Add(2*failureSettles)); v.unhealthy {
					got.sick = append(got.sick, i)
				}
			}
			for i, j := range jobs {
				if !controller.suspect(j) {
					continue
				}
				got.suspect = append(got.suspect, i)
				if n := controller.wantedTasks(j); n != 1 {
					t.Errorf("%d tasks of a suspect job are worth room, want one", n)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(x.want) {
				t.Errorf("suspect jobs and sick machines %v, want %v", got, x.want)
			}
			// The next owner and the leader know it from the record.
			d := &plannedTxn{txnBuilder: newTxnBuilder(), maxOps: 12}
			controller.noteSuspects(d)
			if len(d.puts) != len(x.want.suspect) {
				t.Errorf("%d suspect jobs are written down, want %d", len(d.puts), len(x.want.suspect))
			}
			// One that completes a task after all is cleared.
			for _, j := range jobs {
				j.Suspect, j.DoneCount = true, 1
				if controller.suspect(j) {
					t.Errorf("%s has completed a task and is suspect still", j.ID)
				}
			}
		})
	}
}
