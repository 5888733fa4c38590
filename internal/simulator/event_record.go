package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/protocol"
)

const (
	// maxEvents is how many events a simulation keeps; older ones are overwritten.
	maxEvents = 1 << 15
	// maxExplainedEvents is how many events of a task a violation lists.
	maxExplainedEvents = 80
	// maxExplainedViolations is how many violations list the events that led to them.
	maxExplainedViolations = 3
)

// eventKind is the kind of an event that the simulation records.
type eventKind string

// The kinds of recorded events.
const (
	directSent         eventKind = "sent in a direct command"
	directDelayed      eventKind = "sent in a direct command that is delayed"
	directLost         eventKind = "sent in a direct command that does not arrive"
	duplicateArrived   eventKind = "arrived again in a duplicate of a direct command"
	answerSent         eventKind = "sent in the answer to a heartbeat"
	answerRefused      eventKind = "the worker dropped the answer"
	commandRefused     eventKind = "the worker refused the direct command"
	commandExecuted    eventKind = "executed"
	commandIgnored     eventKind = "nothing to execute"
	stateChanged       eventKind = "the attempt changed its state"
	attemptDropped     eventKind = "the worker dropped the attempt"
	attemptPlaced      eventKind = "commit that placed the attempt"
	attemptRemoved     eventKind = "commit that removed the attempt"
	shardAssigned      eventKind = "commit that assigned a shard"
	controllerStarted  eventKind = "controller started"
	controllerKilled   eventKind = "controller killed"
	cancelConfirmed    eventKind = "cancellation confirmed"
	machineDisappeared eventKind = "the machine is gone"
	imageQueued        eventKind = "queued the fetch of image"
)

// event is something that happened to an attempt of a task, or to what commands it.
type event struct {
	at          time.Time
	kind        eventKind
	job         string // "": it concerns all tasks
	task        int    // allTasks: it concerns all tasks of the job
	attempt     uint64
	operation   string // of a command
	state       string // of an attempt, with its cause
	machine     string
	controller  string
	token       uint64 // fencing token of a message or a record
	seenToken   uint64 // the highest that the worker had seen
	incarnation uint64
	sequence    uint64 // of the heartbeat that was answered
	shard       int
}

// allTasks stands for all tasks of a job.
const allTasks = -1

// eventRecord holds the latest events of a simulation. A violated rule lists those of the task that it names.
type eventRecord struct {
	startTime time.Time
	events    []event // a ring once it holds maxEvents
	next      int     // where the next event is written once the ring is full
}

// add records an event that happens now. A nil record drops it.
func (r *eventRecord) add(e event) {
	if r == nil {
		return
	}
	e.at = time.Now()
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % maxEvents
}

// addCommands records an event for each command of a message. common holds what the events have in common.
func (r *eventRecord) addCommands(common event, commands []protocol.Command) {
	for _, command := range commands {
		common.operation, common.attempt = command.Op, command.Attempt
		common.job, common.task, _ = protocol.ParseTaskName(command.Task)
		r.add(common)
	}
}

// addCommit records a commit that places or removes an attempt of a task.
func (r *eventRecord) addCommit(kind eventKind, taskName string, attempt uint64) {
	job, task, _ := protocol.ParseTaskName(taskName)
	r.add(event{kind: kind, job: job, task: task, attempt: attempt})
}

// addAttempt records an event of an attempt on a machine.
func (r *eventRecord) addAttempt(kind eventKind, machine *Machine, t *taskAttempt) {
	state := t.state
	if t.cause != "" {
		state += " (" + t.cause + ")"
	}
	r.add(event{kind: kind, job: t.job.ID, task: t.index, attempt: t.attempt, state: state, machine: machine.Name, incarnation: machine.incarnation})
}

// concerns reports whether an event belongs to the history of a task.
func (e *event) concerns(job string, task int) bool {
	return e.job == "" || e.job == job && (e.task == task || e.task == allTasks)
}

// history returns the latest events of a task, oldest first, one a line.
func (r *eventRecord) history(job string, task int) string {
	return r.latest(maxExplainedEvents, func(e *event) bool { return e.concerns(job, task) })
}

// latest returns up to limit of the latest events that match, oldest first, one a line.
func (r *eventRecord) latest(limit int, matches func(*event) bool) string {
	var lines []string
	for i := len(r.events) - 1; i >= 0 && len(lines) < limit; i-- {
		e := &r.events[(r.next+i)%len(r.events)]
		if matches(e) {
			lines = append(lines, e.format(r.startTime))
		}
	}
	slices.Reverse(lines)
	return strings.Join(lines, "\n")
}

// format returns an event as a line of text, with the time since the start of the simulation.
func (e *event) format(start time.Time) string {
	var line strings.Builder
	fmt.Fprintf(&line, "    %9.3f s", e.at.Sub(start).Seconds())
	add := func(format string, value any, present bool) {
		if present {
			fmt.Fprintf(&line, format, value)
		}
	}
	add(" %s", e.job, e.job != "")
	add(" attempt %d:", e.attempt, e.attempt > 0)
	add(" %s", e.operation, e.operation != "")
	add(" %s", e.kind, true)
	add(" %s", e.state, e.state != "")
	add(" shard %d", e.shard, e.kind == shardAssigned)
	add(", machine %s", e.machine, e.machine != "")
	add(", controller %s", e.controller, e.controller != "")
	add(", token %d", e.token, e.token > 0)
	add(", worker's token %d", e.seenToken, e.seenToken > 0)
	add(", incarnation %d", e.incarnation, e.incarnation > 0)
	add(", heartbeat %d", e.sequence, e.sequence > 0)
	return line.String()
}
