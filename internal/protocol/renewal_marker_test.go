package protocol

import (
	"testing"
	"time"
)

// TestRenewalMarker checks that a worker's report of a refused launch yields the time that the command states.
func TestRenewalMarker(t *testing.T) {
	early, late := time.UnixMilli(1796372544958), time.UnixMilli(1796372550000)
	report := func(command Command) TaskStatus {
		return TaskStatus{Task: command.Task, Attempt: command.Attempt, State: TaskExited, Cause: CauseUnknown}
	}
	running := TaskStatus{Task: "job-000001/99999", Attempt: 4, State: TaskRunning}
	for _, test := range []struct {
		name     string
		tasks    []TaskStatus
		wantMs   int64
		wantOK   bool
		clears   int
		hasTasks bool
	}{
		{"none", []TaskStatus{running}, 0, false, 0, true},
		{"one", []TaskStatus{running, report(RenewalMarkerCommand(early))}, early.UnixMilli(), true, 1, true},
		{"the latest counts", []TaskStatus{report(RenewalMarkerCommand(late)), report(RenewalMarkerCommand(early))}, late.UnixMilli(), true, 2, false},
		{"a time before 1970", []TaskStatus{report(RenewalMarkerCommand(time.UnixMilli(-5)))}, 0, true, 1, false},
		{"a number that is no time", []TaskStatus{report(Command{Task: renewalMarkerTask, Attempt: 1 << 63})}, maxMarkerMs, true, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			heartbeat := Heartbeat{Tasks: test.tasks}
			if ms, ok := heartbeat.RenewalMarker(); ms != test.wantMs || ok != test.wantOK {
				t.Errorf("marker %d, %v, want %d, %v", ms, ok, test.wantMs, test.wantOK)
			}
			if clears := heartbeat.ClearRenewalMarkers(); len(clears) != test.clears || heartbeat.HasTasks() != test.hasTasks {
				t.Errorf("commands %v, has tasks: %v", clears, heartbeat.HasTasks())
			}
		})
	}
	if _, task, ok := ParseTaskName(renewalMarkerTask); !ok || task != MaxTasks-1 {
		t.Errorf("the marker's name is refused by ParseTaskName, which checks heartbeats, or is not the last task's")
	}
}
