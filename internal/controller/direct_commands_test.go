package controller

import (
	"net/http"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// placeAndEnd has a controller place its waiting tasks on machine m, sends their launches, in the answer to the latest
// heartbeat or directly, and then reports that they have exited with a cause. It returns the machine.
func placeAndEnd(t *testing.T, controller *Controller, inAnswer bool, cause string) *storage.Machine {
	t.Helper()
	machine := controller.cache.Machine("m")
	worker := controller.workerState(machine)
	builder, _ := controller.plan(worker.lastMessageAt, 12)
	controller.applyTxn(builder.build(), 5)
	controller.commands(machine, worker, inAnswer)
	heartbeat := heartbeatOf(machine, 2)
	if len(heartbeat.Tasks) == 0 {
		t.Fatal("no task was placed: the case checks nothing")
	}
	for i := range heartbeat.Tasks {
		heartbeat.Tasks[i].State, heartbeat.Tasks[i].Cause = protocol.TaskExited, cause
	}
	controller.applyHeartbeat(machine, worker, heartbeat, 4, false)
	return machine
}

// Guards against attempts that begin again when a direct command arrives a second time: the transaction that removes them
// raises the machine's fencing token, and only a command under the raised token clears them.
func TestRemovalOfDirectlyLaunchedAttemptsRaisesToken(t *testing.T) {
	for _, test := range []struct {
		name     string
		inAnswer bool
		cause    string
		raised   bool
	}{
		{"completed", false, protocol.CauseDone, true},
		{"failed", false, protocol.CauseError, true},
		{"preempted or cancelled", false, protocol.CauseStopped, true},
		{"refused", false, protocol.CauseNoCapacity, true},
		{"launched only in the answer to a heartbeat", true, protocol.CauseError, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			machine := placeAndEnd(t, controller, test.inAnswer, test.cause)
			ended := len(machine.Tasks)
			tokenBefore := controller.cache.FencingToken(machine)
			builder, _ := controller.plan(time.Now(), 12)
			controller.applyTxn(builder.build(), 6)
			controller.onRecordsChanged()
			if raised := controller.cache.FencingToken(machine) > tokenBefore; raised != test.raised {
				t.Errorf("fencing token %d, before %d; raised: want %v", controller.cache.FencingToken(machine), tokenBefore, test.raised)
			}
			clears := 0
			for _, command := range controller.commands(machine, controller.workerState(machine), false) {
				if command.Op == protocol.OpClear {
					clears++
				}
			}
			if clears != ended {
				t.Errorf("%d attempts are cleared, want %d", clears, ended)
			}
		})
	}
}

// Guards against attempts that begin again unseen.
func TestAttemptThatBeginsAgainIsCounted(t *testing.T) {
	controller := newCore(t)
	machine := placeAndEnd(t, controller, false, protocol.CauseError)
	again := heartbeatOf(machine, 3)
	builder, _ := controller.plan(time.Now(), 12)
	controller.applyTxn(builder.build(), 6)
	worker := controller.workerState(machine)
	for _, want := range []int{len(again.Tasks), len(again.Tasks)} { // once each, however often they are reported
		controller.applyHeartbeat(machine, worker, again, 6, false)
		again.Seq++
		if got := counterValue(t, controller, "dykeledge_unplaced_attempts_total"); got != want {
			t.Errorf("%d attempts counted, want %d", got, want)
		}
	}
	if commands := controller.commands(machine, worker, false); len(commands) != len(again.Tasks) || commands[0].Op != protocol.OpKill {
		t.Errorf("commands %v, want kills of all attempts", commands)
	}
}

// counterValue returns the value of a counter, of all its labels together.
func counterValue(t *testing.T, controller *Controller, name string) (value int) {
	t.Helper()
	families, err := controller.metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			for _, metric := range family.GetMetric() {
				value += int(metric.GetCounter().GetValue())
			}
		}
	}
	return value
}

// conflictingLink is a connection to a worker that refuses the first direct command, as if a message under a newer
// fencing token had overtaken it.
type conflictingLink struct{ sent chan protocol.DirectCommands }

func (l conflictingLink) Command(_ string, commands protocol.DirectCommands, _ time.Duration) (*protocol.Heartbeat, int, error) {
	l.sent <- commands
	return &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 7, FencingToken: commands.FencingToken}, http.StatusConflict, nil
}

// Guards against launches that wait for the next heartbeat after the worker has refused them under an overtaken token.
func TestRefusedDirectCommandsAreSentAgain(t *testing.T) {
	controller := newCore(t)
	link := conflictingLink{make(chan protocol.DirectCommands, 1)}
	controller.workerLink = link
	machine := controller.cache.Machine("m")
	machine.Addr = "10.1.0.1:9000"
	worker := controller.workerState(machine)
	builder, _ := controller.plan(worker.lastMessageAt, 12)
	controller.applyTxn(builder.build(), 5)
	refused := protocol.DirectCommands{FencingToken: 3, Incarnation: 1, Commands: controller.commands(machine, worker, false)}
	heartbeat := &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 6, FencingToken: 4}
	controller.handleDirectReply(machine, worker, refused, directReply{heartbeat, http.StatusConflict, nil})
	if got := counterValue(t, controller, "dykeledge_refused_commands_total"); got != 1 {
		t.Errorf("%d refused commands counted, want 1", got)
	}
	select {
	case again := <-link.sent:
		if again.FencingToken != 4 || len(again.Commands) != len(refused.Commands) {
			t.Errorf("sent again %+v, want the %d launches under token 4", again, len(refused.Commands))
		}
	case <-time.After(time.Second):
		t.Error("the refused launches are not sent again")
	}
}
