package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Heartbeat reports a worker's state. Workers send it at regular intervals and in answer to direct
// commands.
type Heartbeat struct {
	Machine           string       `json:"host"`    // the machine's name
	Addr              string       `json:"addr"`    // address at which the worker accepts direct commands, as host:port
	Type              string       `json:"hull"`    // the machine's type
	Zone              string       `json:"berth"`   // the machine's zone
	Spot              bool         `json:"loaners"` // whether it is a spot machine, which the cloud may preempt
	Incarnation       uint64       `json:"watch"`   // incarnation of the worker process; a restarted one has a higher number and no tasks
	Seq               uint64       `json:"tally"`   // sequence number, which increases with each heartbeat of an incarnation
	FencingToken      uint64       `json:"helm"`    // the highest fencing token that the worker has received
	PreemptionNoticeS *float64     `json:"recallS"` // time until the cloud preempts the machine, in seconds; nil: no notice
	Tasks             []TaskStatus `json:"shards"`  // the tasks on the machine
}

// The states of a task on its machine.
const (
	TaskFetching      = "pulling"  // the machine is fetching its container image
	TaskRunning       = "running"  // it is running
	TaskCheckpointing = "flushing" // it is being stopped and is writing a checkpoint
	TaskExited        = "exited"   // it has ended; reported until a command clears it
)

// taskGathering is the state of a gang's task that waits for the other tasks of the gang. No job shape is
// a gang, so the state is accepted but the scheduler does not use it.
const taskGathering = "gathering"

// The causes for which a task ended.
const (
	CauseDone       = "done"    // the task completed
	CauseStopped    = "stopped" // a command stopped the task
	CauseError      = "error"   // the task failed
	CauseNoCapacity = "no_room" // not started: the machine lacks capacity for the task
	CauseBusy       = "in_use"  // not started: another attempt of the task is still on the machine
	CauseUnknown    = "unknown" // not started: the job is unknown to the worker
)

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task         string `json:"shard"`           // name of the task, as returned by TaskName
	Attempt      uint64 `json:"try"`             // number of the attempt that was launched
	State        string `json:"status"`          // one of the task states
	Cause        string `json:"cause,omitempty"` // cause of the end of an exited task
	Checkpointed bool   `json:"saved,omitempty"` // whether the task's last checkpoint was saved
}

// The operations of a command.
const (
	OpLaunch = "launch" // starts an attempt of a task
	OpKill   = "kill"   // stops an attempt
	OpClear  = "clear"  // removes an exited attempt from the heartbeats
)

// Command is one command to a worker.
type Command struct {
	Op      string  `json:"verb"`
	Task    string  `json:"shard"` // name of the task, as returned by TaskName
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"windDownS,omitempty"` // for a kill: time for writing a checkpoint, in seconds; 0: stop at once
}

// HeartbeatResponse is the answer to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"helm"` // from now on the worker rejects commands with a lower token
	Commands     []Command `json:"orders"`
}

// Redirect is the answer to a heartbeat from a worker whose machine belongs to another controller.
type Redirect struct {
	Member string `json:"master,omitempty"` // name of the controller that owns the machine; empty: not known at present
}

// DirectCommands is a request to a worker with commands that do not wait for its next heartbeat.
type DirectCommands struct {
	FencingToken uint64    `json:"helm"`
	Incarnation  uint64    `json:"watch"` // the worker rejects commands for another incarnation
	Commands     []Command `json:"orders"`
}

// ParseHeartbeat decodes and validates a worker's heartbeat. Its errors are ErrHeartbeatNotObject or a
// *HeartbeatError.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	if !looksLikeObject(body) {
		return nil, ErrHeartbeatNotObject
	}
	var heartbeat Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, &HeartbeatError{Problem: err.Error(), Err: err}
	}
	if problem := heartbeat.problem(); problem != "" {
		return nil, &HeartbeatError{Problem: problem}
	}
	return &heartbeat, nil
}

// problem describes the first invalid field of a heartbeat by its JSON name; "" means that all are valid.
func (h *Heartbeat) problem() string {
	switch {
	case !validName(h.Machine) || strings.ContainsAny(h.Machine, " /\n"):
		return "host is not a name"
	case h.Incarnation == 0 || h.Seq == 0:
		return "watch or tally is missing"
	case !validName(h.Type) || !validName(h.Zone):
		return "hull or berth is missing"
	case h.PreemptionNoticeS != nil && (math.IsNaN(*h.PreemptionNoticeS) || *h.PreemptionNoticeS > maxAmount):
		return "recallS is out of range" // a negative value is allowed: the time has passed
	}
	for _, task := range h.Tasks {
		if problem := task.problem(); problem != "" {
			return problem
		}
	}
	return ""
}

// problem describes the first invalid field of a task in a heartbeat; "" means that all are valid.
func (t *TaskStatus) problem() string {
	if _, _, ok := ParseTaskName(t.Task); !ok {
		return fmt.Sprintf("%.60q is no task", t.Task)
	}
	switch t.State {
	case TaskFetching, TaskRunning, TaskCheckpointing, TaskExited, taskGathering:
		return ""
	}
	return fmt.Sprintf("%.20q is no state of a task", t.State)
}
