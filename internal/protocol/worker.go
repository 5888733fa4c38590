package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Heartbeat is what a worker tells of itself, regularly and in answer to direct commands.
type Heartbeat struct {
	Machine           string       `json:"host"`    // the machine's name
	Addr              string       `json:"addr"`    // where the worker takes direct commands, as host:port
	Type              string       `json:"hull"`    // the machine's type
	Zone              string       `json:"berth"`   // the machine's zone
	Spot              bool         `json:"loaners"` // a spot machine, which the cloud may take back
	Incarnation       uint64       `json:"watch"`   // the worker's session; a newer one is higher, and begins without tasks
	Seq               uint64       `json:"tally"`   // grows with each heartbeat of an incarnation
	FencingToken      uint64       `json:"helm"`    // the highest token that the worker has seen
	PreemptionNoticeS *float64     `json:"recallS"` // seconds until the cloud takes the machine; nil: no notice
	Tasks             []TaskStatus `json:"shards"`  // the tasks that the machine holds
}

// The states of a task on its machine.
const (
	TaskFetching      = "pulling"  // the machine fetches its image
	TaskRunning       = "running"  // it runs
	TaskCheckpointing = "flushing" // it was told to stop and writes a checkpoint first
	TaskExited        = "exited"   // it has ended; kept until a command clears it
)

// taskGathering is a state of gangs: a task waits for the others. No shape of job asks for gangs, so it
// is accepted but has no meaning to the scheduler.
const taskGathering = "gathering"

// Why a task ended.
const (
	CauseDone       = "done"    // its work is complete
	CauseStopped    = "stopped" // a command stopped it
	CauseError      = "error"   // it failed
	CauseNoCapacity = "no_room" // not started: the machine has too little room for it
	CauseBusy       = "in_use"  // not started: another attempt of it is still on the machine
	CauseUnknown    = "unknown" // not started: the worker does not know the job
)

// TaskStatus is one task of a heartbeat.
type TaskStatus struct {
	Task         string `json:"shard"`           // as TaskName writes it
	Attempt      uint64 `json:"try"`             // the attempt that was launched
	State        string `json:"status"`          // one of the states of a task
	Cause        string `json:"cause,omitempty"` // of an exited task: why it ended
	Checkpointed bool   `json:"saved,omitempty"` // its last checkpoint is kept
}

// The operations of a command.
const (
	OpLaunch = "launch" // start an attempt of a task
	OpKill   = "kill"   // stop it
	OpClear  = "clear"  // forget its exit
)

// Command is one command to a worker.
type Command struct {
	Op      string  `json:"verb"`
	Task    string  `json:"shard"` // as TaskName writes it
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"windDownS,omitempty"` // of a kill: seconds in which it may write a checkpoint; 0: stop at once
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"helm"` // the worker refuses commands with a lower one from now on
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to the controller that owns its machine.
type Redirect struct {
	Member string `json:"master,omitempty"` // that controller's name; empty: not known now
}

// DirectCommands goes straight to a worker, between two heartbeats.
type DirectCommands struct {
	FencingToken uint64    `json:"helm"`
	Incarnation  uint64    `json:"watch"` // the worker refuses commands for another incarnation
	Commands     []Command `json:"orders"`
}

// ParseHeartbeat checks a worker's heartbeat. Its errors are ErrHeartbeatNotObject or a *HeartbeatError.
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

// problem is the first thing that is wrong with a heartbeat, by the names on the wire; "": nothing.
func (h *Heartbeat) problem() string {
	switch {
	case !validName(h.Machine) || strings.ContainsAny(h.Machine, " /\n"):
		return "host is not a name"
	case h.Incarnation == 0 || h.Seq == 0:
		return "watch or tally is missing"
	case !validName(h.Type) || !validName(h.Zone):
		return "hull or berth is missing"
	case h.PreemptionNoticeS != nil && (math.IsNaN(*h.PreemptionNoticeS) || *h.PreemptionNoticeS > maxAmount):
		return "recallS is out of range" // a negative one is allowed: the time is over
	}
	for _, task := range h.Tasks {
		if problem := task.problem(); problem != "" {
			return problem
		}
	}
	return ""
}

// problem is what is wrong with a task of a heartbeat; "": nothing.
func (t *TaskStatus) problem() string {
	if _, _, ok := SplitTask(t.Task); !ok {
		return fmt.Sprintf("%.60q is no task", t.Task)
	}
	switch t.State {
	case TaskFetching, TaskRunning, TaskCheckpointing, TaskExited, taskGathering:
		return ""
	}
	return fmt.Sprintf("%.20q is no state of a task", t.State)
}
