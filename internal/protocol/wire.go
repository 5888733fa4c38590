// Package protocol holds the messages of dykeledge: what users, workers, the
// cloud and the state service send and receive, their validation, and the
// binary format between controllers. The wire's own words stay in here.
package protocol

import "encoding/json"

// Limits of the protocol.
const (
	MaxBody     = 64 << 10
	MaxTasks    = 100_000
	MaxScaleOut = 50
	MaxScaleIn  = 100
	MaxList     = 500
)

// JobStatus is what users see of a job.
type JobStatus string

// The states that users see.
const (
	Queued    JobStatus = "queued"
	Running   JobStatus = "running"
	Done      JobStatus = "done"
	Cancelled JobStatus = "cancelled"
)

// Final tells whether a state is kept for good.
func (s JobStatus) Final() bool { return s == Done || s == Cancelled }

// JobState answers a submission, a query and a cancellation.
type JobState struct {
	ID                string    `json:"id"`
	Status            JobStatus `json:"status"`
	Done              int       `json:"done"`
	Running           int       `json:"running"`
	UnmetDependencies int       `json:"awaiting,omitempty"` // jobs that it still waits for
}

// ErrorResponse is the body of an answer that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Heartbeat is what a worker sends.
type Heartbeat struct {
	Machine           string       `json:"host"`
	Addr              string       `json:"addr"`
	Type              string       `json:"hull"`
	Zone              string       `json:"berth"`
	Spot              bool         `json:"loaners"`
	Incarnation       uint64       `json:"watch"`
	Seq               uint64       `json:"tally"`
	FencingToken      uint64       `json:"helm"`
	PreemptionNoticeS *float64     `json:"recallS"`
	Tasks             []TaskStatus `json:"shards"`
}

// The states of a task on its machine.
const (
	TaskFetching      = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskExited        = "exited"
)

// Why a task ended.
const (
	CauseDone       = "done"
	CauseStopped    = "stopped"
	CauseError      = "error"
	CauseNoCapacity = "no_room"
	CauseBusy       = "in_use"
	CauseUnknown    = "unknown"
)

// TaskStatus is one task of a heartbeat.
type TaskStatus struct {
	Task         string `json:"shard"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"saved,omitempty"`
}

// The commands a worker knows.
const (
	OpLaunch = "launch"
	OpKill   = "kill"
	OpClear  = "clear"
)

// Command is one command to a worker.
type Command struct {
	Op      string  `json:"verb"`
	Task    string  `json:"shard"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"windDownS,omitempty"`
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"helm"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	Member string `json:"master,omitempty"`
}

// DirectCommands goes straight to a worker.
type DirectCommands struct {
	FencingToken uint64    `json:"helm"`
	Incarnation  uint64    `json:"watch"`
	Commands     []Command `json:"orders"`
}

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"label"`
	Cpus      float64  `json:"cpus"`
	Gpus      float64  `json:"accelerators"`
	MemGB     float64  `json:"ramGb"`
	CacheGB   float64  `json:"cacheGb"`
	FetchGBs  float64  `json:"fetchGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"marketPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"berths"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `json:"hulls"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	Name  string `json:"charter"`
	Type  string `json:"hull"`
	Zone  string `json:"berth"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"count"`
}

// MachineNames is a list of machine names, in both directions.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Type   string  `json:"hull"`
	Zone   string  `json:"berth"`
	Spot   bool    `json:"loaners"`
	Status string  `json:"status"`
	AgeS   float64 `json:"heldS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []CloudMachine `json:"hosts"`
	More     bool           `json:"more"`
}

// Item is a key of the state service.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// Page is one page of a read by prefix.
type Page struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"more"`
	Revision uint64 `json:"ledgerRev"`
}

// Condition compares a key's version (0: the key does not exist).
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes a key.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"apply,omitempty"`
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"ledgerRev"`
}

// Event is one change in a follow's answer.
type Event struct {
	Put     string          `json:"set"`
	Value   json.RawMessage `json:"data"`
	Delete  string          `json:"drop"`
	Version uint64          `json:"stamp"`
}

// Events answers a follow.
type Events struct {
	Revision uint64  `json:"ledgerRev"`
	Events   []Event `json:"news"`
}

// RequestPriority is how deep a transaction may dig into the budget of changes.
type RequestPriority uint8

// From what can wait to what must not.
const (
	BackgroundRequest RequestPriority = iota
	UserRequest
	UrgentRequest
)
