package dispatch

import (
	"testing"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// token is the fencing token under which the machine is now commanded.
const token = 50

// heartbeat returns a heartbeat of a worker of incarnation 3 that has seen the token, modified by change.
func heartbeat(seq uint64, change func(*protocol.Heartbeat), tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	made := &protocol.Heartbeat{Machine: "m", Incarnation: 3, Seq: seq, FencingToken: token, Tasks: tasks}
	if change != nil {
		change(made)
	}
	return made
}

func TestWorker(t *testing.T) {
	status := func(state, cause string) protocol.TaskStatus {
		return protocol.TaskStatus{Task: "job-000001/0", Attempt: 7, State: state, Cause: cause}
	}
	running := status(protocol.TaskRunning, "")
	exited := func(cause string) protocol.TaskStatus { return status(protocol.TaskExited, cause) }
	olderToken := func(h *protocol.Heartbeat) { h.FencingToken = token - 1 }
	laterIncarnation := func(h *protocol.Heartbeat) { h.Incarnation = 4 }
	type step struct {
		heartbeat        *protocol.Heartbeat
		reply            bool // it is the reply to a direct command
		commandsInAnswer bool // the answer to it carries commands
	}
	cases := []struct {
		name    string
		steps   []step
		change  func(*Worker)
		stop    bool
		want    Outcome // final outcome of the attempt; 0: none
		command string  // operation of the first command at the end; empty: no command
	}{
		{name: "completed", steps: []step{{heartbeat: heartbeat(1, nil, exited(protocol.CauseDone))}}, want: Completed},
		{name: "stopped", steps: []step{{heartbeat: heartbeat(1, nil, exited(protocol.CauseStopped))}}, stop: true, want: Stopped},
		{name: "failed", steps: []step{{heartbeat: heartbeat(1, nil, exited(protocol.CauseError))}}, want: Failed},
		{name: "refused", steps: []step{{heartbeat: heartbeat(1, nil, exited(protocol.CauseNoCapacity))}}, want: Refused},
		{name: "lost with its session", steps: []step{{heartbeat: heartbeat(1, laterIncarnation)}}, want: Lost},
		{name: "reported and then absent", steps: []step{{heartbeat: heartbeat(1, nil, running)}, {heartbeat: heartbeat(2, nil)}}, want: Lost},
		{
			name:    "absent, but the worker has not seen the token",
			steps:   []step{{heartbeat: heartbeat(1, olderToken, running)}, {heartbeat: heartbeat(2, olderToken)}},
			command: protocol.OpLaunch,
		},
		{name: "not yet reported: launched", steps: []step{{heartbeat: heartbeat(1, nil)}}, command: protocol.OpLaunch},
		{name: "running as desired", steps: []step{{heartbeat: heartbeat(1, nil, running)}}},
		{name: "running but should stop", steps: []step{{heartbeat: heartbeat(1, nil, running)}}, stop: true, command: protocol.OpKill},
		{name: "should stop, launch never sent", steps: []step{{heartbeat: heartbeat(1, nil)}}, stop: true, want: Undelivered},
		// The launch may still be in flight in the answer to the latest heartbeat.
		{name: "should stop, launch just sent", steps: []step{{heartbeat: heartbeat(1, nil), commandsInAnswer: true}}, stop: true},
		{
			name:  "should stop, launch sent but not received",
			steps: []step{{heartbeat: heartbeat(1, nil), commandsInAnswer: true}, {heartbeat: heartbeat(2, nil)}},
			stop:  true, want: Undelivered,
		},
		// The reply to a direct command is newer than the latest heartbeat, but the answer to that heartbeat may
		// arrive after it.
		{
			name:  "the reply to a direct command does not prove that a launch in an answer is lost",
			steps: []step{{heartbeat: heartbeat(1, nil), commandsInAnswer: true}, {heartbeat: heartbeat(2, nil), reply: true}},
			stop:  true,
		},
		{
			name:   "a direct command may still arrive",
			steps:  []step{{heartbeat: heartbeat(1, nil)}},
			change: func(w *Worker) { w.UncertainToken = token },
			stop:   true,
		},
		{
			name:   "a direct command is in flight",
			steps:  []step{{heartbeat: heartbeat(1, nil)}},
			change: func(w *Worker) { w.DirectInFlight = true },
			stop:   true,
		},
		{
			name:   "an uncertain command under a lower token is rejected",
			steps:  []step{{heartbeat: heartbeat(1, nil)}},
			change: func(w *Worker) { w.UncertainToken = token - 1 },
			stop:   true, want: Undelivered,
		},
		{name: "should stop, worker has not seen the token", steps: []step{{heartbeat: heartbeat(1, olderToken)}}, stop: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			job := &storage.Job{ID: "job-000001", Tasks: 1, MachineOf: []int32{5}, AttemptOf: []uint64{7}}
			machine := &storage.Machine{Index: 5, Name: "m", Incarnation: 3, Tasks: []storage.PlacedTask{{Job: job, Attempt: 7}}}
			findJob := func(string) *storage.Job { return job }
			worker := NewWorker()
			if test.change != nil {
				test.change(worker)
			}
			run := func(storage.PlacedTask) DesiredState { return DesiredState{} }
			for _, step := range test.steps {
				if !worker.IsNewer(step.heartbeat) {
					t.Fatal("IsNewer rejects a newer heartbeat")
				}
				worker.ApplyHeartbeat(machine, step.heartbeat, token, step.reply, findJob)
				if step.commandsInAnswer {
					worker.Commands(machine, token, run, true, 10)
				}
			}
			desired := func(storage.PlacedTask) DesiredState { return DesiredState{Stop: test.stop} }
			commands := worker.Commands(machine, token, desired, true, 10)
			if got := worker.Gone[AttemptRef{job, 0, 7}]; got != test.want {
				t.Errorf("outcome %d, want %d", got, test.want)
			}
			first := ""
			if len(commands) > 0 {
				first = commands[0].Op
			}
			if first != test.command {
				t.Errorf("command %q, want %q", first, test.command)
			}
		})
	}
}

// A worker that has cleared an attempt starts it again if a delayed direct command delivers its launch a
// second time.
func TestClearWaitsForUncertainCommands(t *testing.T) {
	machine := &storage.Machine{Index: 5, Name: "m", Incarnation: 3}
	exited := protocol.TaskStatus{Task: "job-000001/0", Attempt: 7, State: protocol.TaskExited, Cause: protocol.CauseDone}
	for _, test := range []struct {
		name      string
		uncertain uint64
		clears    int
	}{
		{"no uncertain command", 0, 1},
		{"uncertain command under a lower token than the worker has seen", token - 1, 1},
		{"uncertain command under the token that the worker has seen", token, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := NewWorker()
			worker.UncertainToken = test.uncertain
			worker.ApplyHeartbeat(machine, heartbeat(1, nil, exited), token, false, func(string) *storage.Job { return nil })
			commands := worker.Commands(machine, token, nil, true, 10)
			if len(commands) != test.clears {
				t.Errorf("commands %v, want %d", commands, test.clears)
			}
		})
	}
}

// A worker that has cleared an attempt starts it again if a launch arrives afterwards: one that is still in flight, in a
// direct command without an answer or in the answer to the latest heartbeat, or a direct one that arrives a second time.
func TestClearWaitsForLaunches(t *testing.T) {
	exited := protocol.TaskStatus{Task: "job-000001/0", Attempt: 7, State: protocol.TaskExited, Cause: protocol.CauseStopped}
	for _, test := range []struct {
		name     string
		inAnswer bool // the launch is sent in the answer to heartbeat 1, not in a direct command
		change   func(*Worker)
		next     *protocol.Heartbeat // reports the exit
		reply    bool                // next is the reply to a direct command
		raisedBy uint64              // by how much the fencing token is raised before the clear
		clears   int
	}{
		{name: "direct command answered, same token", next: heartbeat(2, nil, exited)},
		{name: "direct command answered, higher token", next: heartbeat(2, nil, exited), raisedBy: 1, clears: 1},
		{name: "direct command answered, then a new incarnation", next: heartbeat(2, func(h *protocol.Heartbeat) { h.Incarnation = 4 }, exited), clears: 1},
		{name: "direct command in flight", change: func(w *Worker) { w.DirectInFlight = true }, next: heartbeat(2, nil, exited), raisedBy: 1},
		{name: "in the answer to the latest heartbeat", inAnswer: true, next: heartbeat(2, nil, exited), reply: true, raisedBy: 1},
		{name: "in the answer to an earlier heartbeat", inAnswer: true, next: heartbeat(2, nil, exited), clears: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := &storage.Job{ID: "job-000001", Tasks: 1, MachineOf: []int32{5}, AttemptOf: []uint64{7}}
			machine := &storage.Machine{Index: 5, Name: "m", Incarnation: 3, Tasks: []storage.PlacedTask{{Job: job, Attempt: 7}}}
			findJob := func(string) *storage.Job { return job }
			worker := NewWorker()
			worker.ApplyHeartbeat(machine, heartbeat(1, nil), token, false, findJob)
			worker.Commands(machine, token, func(storage.PlacedTask) DesiredState { return DesiredState{} }, test.inAnswer, 10)
			if test.change != nil {
				test.change(worker)
			}
			worker.ApplyHeartbeat(machine, test.next, token, test.reply, findJob)
			machine.Tasks, job.MachineOf[0] = nil, storage.NotPlaced
			worker.DropCommitted(machine)
			if commands := worker.Commands(machine, token+test.raisedBy, nil, false, 10); len(commands) != test.clears {
				t.Errorf("commands %v, want %d", commands, test.clears)
			}
		})
	}
}

// An attempt that a worker no longer reports is not lost while a direct command may still start it there.
func TestAbsenceProvesNothingWhileDirectCommandInFlight(t *testing.T) {
	job := &storage.Job{ID: "job-000001", Tasks: 1, MachineOf: []int32{5}, AttemptOf: []uint64{7}}
	machine := &storage.Machine{Index: 5, Name: "m", Incarnation: 3, Tasks: []storage.PlacedTask{{Job: job, Attempt: 7}}}
	findJob := func(string) *storage.Job { return job }
	running := protocol.TaskStatus{Task: "job-000001/0", Attempt: 7, State: protocol.TaskRunning}
	worker := NewWorker()
	worker.ApplyHeartbeat(machine, heartbeat(1, nil, running), token, false, findJob)
	worker.DirectInFlight = true
	worker.ApplyHeartbeat(machine, heartbeat(2, nil), token, false, findJob)
	if outcome := worker.Gone[AttemptRef{job, 0, 7}]; outcome != 0 {
		t.Errorf("outcome %d, want none", outcome)
	}
}
