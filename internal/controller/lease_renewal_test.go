package controller

import (
	"net/http"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// TestRenewalMarkers guards against cancelled tasks that go on after all controllers have ended more than once in an
// outage: each generation of controllers counted from its own start for how long it may renew leases, since nothing
// showed how old the information was with which a lease had been renewed before.
func TestRenewalMarkers(t *testing.T) {
	const unmarked = -1
	type action int
	const (
		none action = iota
		set
		replace
		remove
	)
	for _, test := range []struct {
		name   string
		loaded bool // this controller has read the records
		known  time.Duration
		marker time.Duration // age of the time in the worker's marker
		idle   bool          // the worker has no task
		launch bool          // the answer launches a task
		status int
		want   action
	}{
		// known is the age of this controller's information on cancellations.
		{name: "current information", loaded: true, known: time.Second, marker: unmarked, status: 200},
		{name: "old information", loaded: true, known: 3 * time.Second, marker: unmarked, status: 200, want: set},
		{name: "old information, a worker without tasks", loaded: true, known: 3 * time.Second, marker: unmarked, idle: true, status: 200},
		{name: "old information, a task is launched", loaded: true, known: 3 * time.Second, marker: unmarked, idle: true, launch: true, status: 200, want: set},
		{name: "old information, marked with the same", loaded: true, known: 9 * time.Second, marker: 9 * time.Second, status: 200},
		{name: "old information, marked with older", loaded: true, known: 9 * time.Second, marker: 13 * time.Second, status: 200},
		{name: "old information, marked with much older", loaded: true, known: 9 * time.Second, marker: 15 * time.Second, status: 200, want: replace},
		{name: "old information, marked with newer by another controller", loaded: true, known: 9 * time.Second, marker: 5 * time.Second, status: 200, want: replace},
		{name: "information too old", loaded: true, known: 29 * time.Second, marker: 29 * time.Second, status: 503},
		{name: "current information, an old marker", loaded: true, known: time.Second, marker: 11 * time.Second, status: 200, want: remove},
		{name: "current information, a marker that says no less than none", loaded: true, known: time.Second, marker: 9 * time.Second, status: 200},
		// Without the records, known is the time since this controller's start.
		{name: "restarted, not marked", known: 17 * time.Second, marker: unmarked, status: 200, want: set},
		{name: "restarted, not marked, too long ago", known: 19 * time.Second, marker: unmarked, status: 503},
		{name: "restarted, marked", known: time.Second, marker: 20 * time.Second, status: 200},
		{name: "just restarted, marked too long ago", known: 0, marker: 29 * time.Second, status: 503},
		{name: "restarted long ago, marked recently", known: 25 * time.Second, marker: 20 * time.Second, status: 200},
		{name: "restarted, marked by a clock that is ahead", known: 29 * time.Second, marker: -time.Hour, status: 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			workers := config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 40}
			controller.cfg.Deployment.Workers = workers
			controller.cfg.KnownPeers = []config.Peer{{MemberName: "n1"}}
			controller.follower.loaded = test.loaded
			now := time.Now()
			controller.follower.cacheCurrentAt = now.Add(-test.known)
			controller.cancellations.unverified.startedAt = now.Add(-test.known)
			heartbeat := &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: 4}
			if !test.idle {
				heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: "job-000001/0", Attempt: 3, State: protocol.TaskRunning})
			}
			old := protocol.RenewalMarkerCommand(now.Add(-test.marker))
			if test.marker != unmarked {
				heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: old.Task, Attempt: old.Attempt, State: protocol.TaskExited, Cause: protocol.CauseUnknown})
			}
			response := protocol.HeartbeatResponse{FencingToken: 4}
			if test.launch {
				response.Commands = []protocol.Command{{Op: protocol.OpLaunch, Task: "job-000001/0", Attempt: 3}}
			}
			status := 0
			controller.answerRenewal(heartbeat, response, func(s int, body any) {
				if status = s; s == http.StatusOK {
					response, _ = body.(protocol.HeartbeatResponse)
				}
			})
			commands := response.Commands
			if test.launch {
				commands = commands[1:]
			}
			if status != test.status {
				t.Fatalf("answered %d, want %d", status, test.status)
			}
			got := none
			if len(commands) > 0 && commands[0].Op == protocol.OpClear && commands[0].Attempt == old.Attempt {
				got, commands = remove, commands[1:]
			}
			if len(commands) == 1 && commands[0].Op == protocol.OpLaunch {
				got = map[action]action{none: set, remove: replace}[got]
				checkMarker(t, controller, commands[0], test.known, now)
			}
			if got != test.want {
				t.Errorf("commands %v: action %d, want %d", response.Commands, got, test.want)
			}
		})
	}
}

// checkMarker checks the time in a marker that a controller sets: that of its information, or without the records one
// that a controller which had ended before this one started may have had.
func checkMarker(t *testing.T, controller *Controller, marker protocol.Command, known time.Duration, now time.Time) {
	t.Helper()
	workers := controller.cfg.Deployment.Workers
	latest := now.Add(-known)
	if !controller.follower.loaded {
		latest = latest.Add(-seconds(workers.LeaseS))
	}
	age := latest.Sub(time.UnixMilli(int64(marker.Attempt)))
	if age < 0 || age > maxUnmarkedInfoAge {
		t.Errorf("marker's time is %v before that of the information", age)
	}
}

// TestMarkersAreNoTasks guards against renewal markers that count as tasks: a machine with a marker looked busy, and its
// owner cleared the marker as an attempt that is not in the record.
func TestMarkersAreNoTasks(t *testing.T) {
	controller := newCore(t)
	machine := controller.cache.Machine("m")
	worker := controller.workerState(machine)
	marker := protocol.RenewalMarkerCommand(time.Now())
	status := protocol.TaskStatus{Task: marker.Task, Attempt: marker.Attempt, State: protocol.TaskExited, Cause: protocol.CauseUnknown}
	heartbeat := &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: 4, Tasks: []protocol.TaskStatus{status}}
	controller.applyHeartbeat(machine, worker, heartbeat, 4, false)
	if commands := controller.commands(machine, worker, true); len(commands) > 0 || len(worker.Unplaced) > 0 {
		t.Errorf("commands %v, want none", commands)
	}
	controller.follower.loaded = false
	controller.cancellations.unverified.startedAt = time.Now()
	if _, renewed := controller.renewUnverified(heartbeat, time.Now()); renewed {
		t.Error("the lease of a worker without tasks is renewed before the records are read")
	}
}
