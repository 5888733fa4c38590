package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Outcome is how an attempt that has provably ended came to its end.
type Outcome uint8

// The outcomes of an attempt.
const (
	Completed Outcome = iota + 1
	Stopped           // by a command
	Failed            // exited by itself without completing
	Refused           // the worker did not start it
	Lost              // ended with its worker's session or its machine
	Unsent            // the launch did not reach the worker and no longer can
)

// Ref identifies one attempt of a task.
type Ref struct {
	Job     *storage.Job
	Task    int // task index in the job
	Attempt uint64
}

// RefOf returns the reference of a placed task's attempt.
func RefOf(placed storage.PlacedTask) Ref { return Ref{placed.Job, placed.Task, placed.Attempt} }

// TaskSeen is the state of an attempt that the worker last reported.
type TaskSeen struct {
	State        string // one of the task states of package protocol
	Cause        string // why it exited, one of the causes of package protocol
	Checkpointed bool
}

// Worker is the state of a machine as reported by its worker. It is not persisted: everything that must
// survive a restart is in the records.
type Worker struct {
	Incarnation  uint64
	Seq          uint64
	FencingToken uint64 // the highest token that the worker has reported
	Seen         map[Ref]TaskSeen
	Unplaced     []protocol.TaskStatus // reported attempts that are not in the record
	Gone         map[Ref]Outcome       // outcomes of attempts that have provably ended but are not yet committed
	Sent         map[Ref]uint64        // sequence number of the heartbeat whose answer last carried the launch
	// HeartbeatSeq is the sequence number of the latest regular heartbeat. A worker's reply to a direct
	// command does not count: it proves nothing about launches in the answer to a heartbeat, which may
	// still be in flight.
	HeartbeatSeq   uint64
	DirectInFlight bool // a direct command is in flight
	// Uncertain is the fencing token of a direct command whose outcome is unknown: it may still arrive
	// until the worker has seen a higher token. 0: there is none.
	Uncertain uint64
}

// NewWorker returns a Worker without any reported state.
func NewWorker() *Worker {
	return &Worker{Seen: map[Ref]TaskSeen{}, Gone: map[Ref]Outcome{}, Sent: map[Ref]uint64{}}
}

// Newer reports whether a heartbeat is newer than all that were applied.
func (w *Worker) Newer(heartbeat *protocol.Heartbeat) bool {
	return heartbeat.Incarnation > w.Incarnation || (heartbeat.Incarnation == w.Incarnation && heartbeat.Seq > w.Seq)
}

// mayReceiveUncertain reports whether a worker that has seen a token may still accept the direct command
// whose outcome is unknown.
func (w *Worker) mayReceiveUncertain(seenToken uint64) bool {
	return w.Uncertain > 0 && w.Uncertain >= seenToken
}

// Settle removes the state of attempts that the record no longer contains after a commit. Attempts that the
// worker still reports become Unplaced.
func (w *Worker) Settle(machine *storage.Machine) {
	placedAttempts := make(map[Ref]bool, len(machine.Tasks))
	for _, placed := range machine.Tasks {
		placedAttempts[RefOf(placed)] = true
	}
	deleteUnplaced(w.Gone, placedAttempts)
	deleteUnplaced(w.Sent, placedAttempts)
	for ref, seen := range w.Seen {
		if placedAttempts[ref] {
			continue
		}
		w.Unplaced = append(w.Unplaced, protocol.TaskStatus{
			Task:         protocol.TaskName(ref.Job.ID, ref.Task),
			Attempt:      ref.Attempt,
			State:        seen.State,
			Cause:        seen.Cause,
			Checkpointed: seen.Checkpointed,
		})
		delete(w.Seen, ref)
	}
}

// deleteUnplaced deletes the entries of attempts that the record does not contain.
func deleteUnplaced[Value any](attempts map[Ref]Value, placed map[Ref]bool) {
	for ref := range attempts {
		if !placed[ref] {
			delete(attempts, ref)
		}
	}
}
