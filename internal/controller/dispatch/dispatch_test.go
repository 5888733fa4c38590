package dispatch

import (
	"testing"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const token = 50

// report makes a heartbeat of a machine of session 3 that has seen the token.
func report(seq uint64, change func(*protocol.Heartbeat), tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	r := &protocol.Heartbeat{Machine: "m", Incarnation: 3, Seq: seq, FencingToken: token, Tasks: tasks}
	if change != nil {
		change(r)
	}
	return r
}

func TestView(t *testing.T) {
	says := func(state, cause string) protocol.TaskStatus {
		return protocol.TaskStatus{Task: "job-000001/0", Attempt: 7, State: state, Cause: cause}
	}
	older := func(r *protocol.Heartbeat) { r.FencingToken = token - 1 }
	later := func(r *protocol.Heartbeat) { r.Incarnation = 4 }
	type step struct {
		report *protocol.Heartbeat
		reply  bool // it is the reply to a direct command
		answer bool // its answer carries commands
	}
	cases := []struct {
		name  string
		steps []step
		view  func(*Worker)
		stop  bool
		want  Outcome // what is known of the attempt in the end; 0: nothing
		cmd   string  // the first command in the end
	}{
		{"completed", []step{{report: report(1, nil, says(protocol.TaskExited, protocol.CauseDone))}}, nil, false, Completed, ""},
		{"stopped", []step{{report: report(1, nil, says(protocol.TaskExited, protocol.CauseStopped))}}, nil, true, Stopped, ""},
		{"failed", []step{{report: report(1, nil, says(protocol.TaskExited, protocol.CauseError))}}, nil, false, Failed, ""},
		{"refused", []step{{report: report(1, nil, says(protocol.TaskExited, protocol.CauseNoCapacity))}}, nil, false, Refused, ""},
		{"lost with its session", []step{{report: report(1, later)}}, nil, false, Lost, ""},
		{"seen and then absent", []step{{report: report(1, nil, says(protocol.TaskRunning, ""))}, {report: report(2, nil)}}, nil, false, Lost, ""},
		{"absent, but the worker has not seen the token", []step{{report: report(1, older, says(protocol.TaskRunning, ""))}, {report: report(2, older)}},
			nil, false, 0, protocol.OpLaunch},
		{"not there yet: launched", []step{{report: report(1, nil)}}, nil, false, 0, protocol.OpLaunch},
		{"running and wanted", []step{{report: report(1, nil, says(protocol.TaskRunning, ""))}}, nil, false, 0, ""},
		{"running and not wanted", []step{{report: report(1, nil, says(protocol.TaskRunning, ""))}}, nil, true, 0, protocol.OpKill},
		{"wanted no more, never sent", []step{{report: report(1, nil)}}, nil, true, Unsent, ""},
		// The launch may still be on its way in the answer to the latest report.
		{"wanted no more, just sent", []step{{report: report(1, nil), answer: true}}, nil, true, 0, ""},
		{"wanted no more, sent and lost", []step{{report: report(1, nil), answer: true}, {report: report(2, nil)}}, nil, true, Unsent, ""},
		// A direct command's reply is newer, yet the answer to the report may come after it.
		{"a reply proves nothing about answers", []step{{report: report(1, nil), answer: true}, {report: report(2, nil), reply: true}}, nil, true, 0, ""},
		{"a direct command may still arrive", []step{{report: report(1, nil)}}, func(v *Worker) { v.Uncertain = token }, true, 0, ""},
		{"a direct command is under way", []step{{report: report(1, nil)}}, func(v *Worker) { v.DirectInFlight = true }, true, 0, ""},
		{"an uncertain command under a lower token is dead", []step{{report: report(1, nil)}}, func(v *Worker) { v.Uncertain = token - 1 }, true, Unsent, ""},
		{"not wanted, old token", []step{{report: report(1, older)}}, nil, true, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			job := &storage.Job{ID: "job-000001", Tasks: 1, MachineOf: []int32{5}, AttemptOf: []uint64{7}}
			machine := &storage.Machine{Index: 5, Name: "m", Incarnation: 3, Tasks: []storage.PlacedTask{{Job: job, Attempt: 7}}}
			find := func(string) *storage.Job { return job }
			worker := NewWorker()
			if c.view != nil {
				c.view(worker)
			}
			want := func(storage.PlacedTask) DesiredState { return DesiredState{} }
			for _, s := range c.steps {
				if !worker.Newer(s.report) {
					t.Fatal("report taken for old")
				}
				worker.ApplyHeartbeat(machine, s.report, token, s.reply, find)
				if s.answer {
					worker.Commands(machine, token, want, true, 10)
				}
			}
			cmds := worker.Commands(machine, token, func(storage.PlacedTask) DesiredState { return DesiredState{Stop: c.stop} }, true, 10)
			if got := worker.Gone[Ref{job, 0, 7}]; got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
			cmd := ""
			if len(cmds) > 0 {
				cmd = cmds[0].Op
			}
			if cmd != c.cmd {
				t.Errorf("command %q, want %q", cmd, c.cmd)
			}
		})
	}
}

// A worker that has forgotten an attempt starts it again when a delayed direct
// command brings its launch once more.
func TestClearWaitsForUncertainCommands(t *testing.T) {
	machine := &storage.Machine{Index: 5, Name: "m", Incarnation: 3}
	exited := protocol.TaskStatus{Task: "job-000001/0", Attempt: 7, State: protocol.TaskExited, Cause: protocol.CauseDone}
	for _, c := range []struct {
		uncertain uint64
		clears    int
	}{{0, 1}, {token - 1, 1}, {token, 0}} {
		v := NewWorker()
		v.Uncertain = c.uncertain
		v.ApplyHeartbeat(machine, report(1, nil, exited), token, false, func(string) *storage.Job { return nil })
		cmds := v.Commands(machine, token, nil, true, 10)
		if len(cmds) != c.clears {
			t.Errorf("uncertain %d: %v", c.uncertain, cmds)
		}
	}
}
