package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Outcome is how an attempt that has provably ended came to its end.
type Outcome uint8

// The outcomes of an attempt.
const (
	Completed   Outcome = iota + 1
	Stopped             // by a command
	Failed              // exited by itself without completing
	Refused             // the worker did not start it
	Lost                // ended with its worker's session or its machine
	Undelivered         // the launch did not reach the worker and no longer can
)

// AttemptRef identifies one attempt of a task.
type AttemptRef struct {
	Job     *storage.Job
	Task    int // task index in the job
	Attempt uint64
}

// AttemptRefOf returns the reference of a placed task's attempt.
func AttemptRefOf(placed storage.PlacedTask) AttemptRef {
	return AttemptRef{placed.Job, placed.Task, placed.Attempt}
}

// ReportedAttempt is the state of an attempt that the worker last reported.
type ReportedAttempt struct {
	State        string // one of the task states of package protocol
	Cause        string // why it exited, one of the causes of package protocol
	Checkpointed bool
}

// Worker is the state of a machine as reported by its worker. It is not persisted: everything that must
// survive a restart is in the records.
type Worker struct {
	Incarnation   uint64
	Seq           uint64
	FencingToken  uint64 // the highest token that the worker has reported
	Reported      map[AttemptRef]ReportedAttempt
	Unplaced      []protocol.TaskStatus  // reported attempts that are not in the record
	Gone          map[AttemptRef]Outcome // outcomes of attempts that have provably ended but are not yet committed
	LaunchSentSeq map[AttemptRef]uint64  // sequence number of the heartbeat whose answer last carried the launch
	// lastLaunchSeq is the sequence number of the latest heartbeat whose answer carried a launch; 0: there is none.
	lastLaunchSeq uint64
	// HeartbeatSeq is the sequence number of the latest regular heartbeat. A worker's reply to a direct
	// command does not count: it proves nothing about launches in the answer to a heartbeat, which may
	// still be in flight.
	HeartbeatSeq   uint64
	DirectInFlight bool // a direct command is in flight
	// UncertainToken is the fencing token of a direct command whose outcome is unknown: it may still arrive
	// until the worker has seen a higher token. 0: there is none.
	UncertainToken uint64
	directLaunches directLaunches
}

// NewWorker returns a Worker without any reported state.
func NewWorker() *Worker {
	return &Worker{
		Reported:       map[AttemptRef]ReportedAttempt{},
		Gone:           map[AttemptRef]Outcome{},
		LaunchSentSeq:  map[AttemptRef]uint64{},
		directLaunches: directLaunches{},
	}
}

// IsNewer reports whether a heartbeat is newer than all that were applied.
func (w *Worker) IsNewer(heartbeat *protocol.Heartbeat) bool {
	return heartbeat.Incarnation > w.Incarnation || (heartbeat.Incarnation == w.Incarnation && heartbeat.Seq > w.Seq)
}

// launchMayArrive reports whether a worker that has seen a token may execute a launch that was sent before and that
// it has not executed yet. sentSeq is the sequence number of the latest heartbeat whose answer carried the launch, 0 if
// none did. A launch is in flight in a direct command until its reply or its timeout; after a timeout until the worker
// has seen a higher token; in the answer to a heartbeat until the worker sends the next heartbeat. Launches of former
// owners carry lower tokens, and those for an earlier incarnation are refused. No attempt may be cleared, counted as lost
// by its absence, or counted as never started while a launch of it may arrive. For launches that arrive again after they
// were executed, see directLaunches.
func (w *Worker) launchMayArrive(seenToken, sentSeq uint64) bool {
	afterTimeout := w.UncertainToken > 0 && w.UncertainToken >= seenToken
	inAnswer := sentSeq > 0 && sentSeq >= w.HeartbeatSeq
	return w.DirectInFlight || afterTimeout || inAnswer
}

// recordAnsweredLaunch records that the answer to the latest heartbeat carries the launch of an attempt.
func (w *Worker) recordAnsweredLaunch(ref AttemptRef) {
	w.LaunchSentSeq[ref] = w.HeartbeatSeq
	w.lastLaunchSeq = w.HeartbeatSeq
}

// DropCommitted removes the state of attempts that the record no longer contains after a commit. Attempts
// that the worker still reports become Unplaced.
func (w *Worker) DropCommitted(machine *storage.Machine) {
	placedAttempts := make(map[AttemptRef]bool, len(machine.Tasks))
	for _, placed := range machine.Tasks {
		placedAttempts[AttemptRefOf(placed)] = true
	}
	deleteUnplaced(w.Gone, placedAttempts)
	deleteUnplaced(w.LaunchSentSeq, placedAttempts)
	for ref, seen := range w.Reported {
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
		delete(w.Reported, ref)
	}
}

// deleteUnplaced deletes the entries of attempts that the record does not contain.
func deleteUnplaced[Value any](attempts map[AttemptRef]Value, placed map[AttemptRef]bool) {
	for ref := range attempts {
		if !placed[ref] {
			delete(attempts, ref)
		}
	}
}
