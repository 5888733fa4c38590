package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Outcome is what became of an attempt that is proved to be gone.
type Outcome uint8

// The outcomes of an attempt.
const (
	Completed Outcome = iota + 1
	Stopped           // by command
	Failed            // by itself
	Refused           // never started here
	Lost              // gone with its session or machine
	Unsent            // the launch never arrived and can no longer arrive
)

// Ref names one attempt of a task.
type Ref struct {
	Job     *storage.Job
	Task    int // index in the job
	Attempt uint64
}

// RefOf names the attempt of a placed task.
func RefOf(placed storage.PlacedTask) Ref { return Ref{placed.Job, placed.Task, placed.Attempt} }

// TaskSeen is what a worker last reported of an attempt.
type TaskSeen struct {
	State        string // one of the task states of package protocol
	Cause        string // why it has exited, one of the causes of package protocol
	Checkpointed bool
}

// Worker is what is known of a machine from its worker's messages. It is lost
// with the process: everything that matters is in the records.
type Worker struct {
	Incarnation  uint64
	Seq          uint64
	FencingToken uint64 // the highest that the worker reported to have seen
	Seen         map[Ref]TaskSeen
	Unplaced     []protocol.TaskStatus // reported, but not in the record
	Gone         map[Ref]Outcome       // proved gone, but not yet committed
	Sent         map[Ref]uint64        // the seq of the heartbeat whose answer last carried the launch
	// HeartbeatSeq is the seq of the latest heartbeat proper. A worker's reply to a
	// direct command proves nothing about launches in the answer to a heartbeat,
	// which may still be on its way.
	HeartbeatSeq   uint64
	DirectInFlight bool // a direct command is under way
	// Uncertain is the token under which a direct command went out whose outcome is unknown: it may
	// still arrive until the worker has seen a higher one. 0: there is none.
	Uncertain uint64
}

// NewWorker returns a worker of which nothing is known yet.
func NewWorker() *Worker {
	return &Worker{Seen: map[Ref]TaskSeen{}, Gone: map[Ref]Outcome{}, Sent: map[Ref]uint64{}}
}

// Newer tells whether a heartbeat is newer than all that were applied.
func (w *Worker) Newer(heartbeat *protocol.Heartbeat) bool {
	return heartbeat.Incarnation > w.Incarnation || (heartbeat.Incarnation == w.Incarnation && heartbeat.Seq > w.Seq)
}

// mayReceiveUncertain tells whether a worker that has seen a token may still receive the direct command
// whose outcome is unknown.
func (w *Worker) mayReceiveUncertain(seenToken uint64) bool {
	return w.Uncertain > 0 && w.Uncertain >= seenToken
}

// Settle forgets what has been committed: attempts that the record no longer holds. Of those, the ones
// that the worker still reports become Unplaced.
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

// deleteUnplaced deletes the attempts that the record does not hold.
func deleteUnplaced[Value any](attempts map[Ref]Value, placed map[Ref]bool) {
	for ref := range attempts {
		if !placed[ref] {
			delete(attempts, ref)
		}
	}
}
