// Package dispatch reconciles what a machine's record wants with what its
// worker heartbeats: it finds which tasks are proved to be gone, and which
// commands the difference takes.
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
	Task    int
	Attempt uint64
}

// RefOf names the attempt of a placed task.
func RefOf(p storage.PlacedTask) Ref { return Ref{p.Job, p.Task, p.Attempt} }

// TaskSeen is what a worker last said of an attempt.
type TaskSeen struct {
	State        string
	Cause        string
	Checkpointed bool
}

// Worker is what is known of a machine from its worker's messages. It is lost
// with the process: everything that matters is in the records.
type Worker struct {
	Incarnation  uint64
	Seq          uint64
	FencingToken uint64 // the highest that the worker said it had seen
	Seen         map[Ref]TaskSeen
	Unplaced     []protocol.TaskStatus // reported, but not in the record
	Gone         map[Ref]Outcome       // proved gone, but not yet committed
	Sent         map[Ref]uint64        // the seq of the report whose answer last carried the launch
	// HeartbeatSeq is the seq of the latest report proper. A worker's reply to a
	// direct command proves nothing about launches in the answer to a heartbeat,
	// which may still be on its way.
	HeartbeatSeq   uint64
	DirectInFlight bool // a direct command is under way
	// Uncertain is the token under which a direct command went out whose
	// outcome is unknown: it may still arrive until the worker has seen a higher one.
	Uncertain uint64
}

// NewWorker knows nothing yet.
func NewWorker() *Worker {
	return &Worker{Seen: map[Ref]TaskSeen{}, Gone: map[Ref]Outcome{}, Sent: map[Ref]uint64{}}
}

// Newer tells whether a message is newer than all that were taken.
func (v *Worker) Newer(r *protocol.Heartbeat) bool {
	return r.Incarnation > v.Incarnation || (r.Incarnation == v.Incarnation && r.Seq > v.Seq)
}

// ApplyHeartbeat takes a newer report of a machine's worker. token is the one under which
// the machine is commanded now; reply says that it is the reply to a direct command.
func (v *Worker) ApplyHeartbeat(machine *storage.Machine, heartbeat *protocol.Heartbeat, token uint64, reply bool, job func(string) *storage.Job) {
	if heartbeat.Incarnation != v.Incarnation {
		clear(v.Sent)
	}
	v.Incarnation, v.Seq, v.FencingToken = heartbeat.Incarnation, heartbeat.Seq, max(v.FencingToken, heartbeat.FencingToken)
	if !reply {
		v.HeartbeatSeq = heartbeat.Seq
	}
	before := v.Seen
	v.Seen = make(map[Ref]TaskSeen, len(heartbeat.Tasks))
	v.Unplaced = v.Unplaced[:0]
	for _, taskStatus := range heartbeat.Tasks {
		id, n, _ := protocol.SplitTask(taskStatus.Task)
		other := job(id)
		if other == nil || n >= other.Tasks || other.MachineOf[n] != machine.Index || other.AttemptOf[n] != taskStatus.Attempt {
			v.Unplaced = append(v.Unplaced, taskStatus)
			continue
		}
		ref := Ref{other, n, taskStatus.Attempt}
		v.Seen[ref] = TaskSeen{taskStatus.State, taskStatus.Cause, taskStatus.Checkpointed}
		if taskStatus.State != protocol.TaskExited {
			continue
		}
		switch taskStatus.Cause {
		case protocol.CauseDone:
			v.Gone[ref] = Completed
		case protocol.CauseStopped:
			v.Gone[ref] = Stopped
		case protocol.CauseNoCapacity, protocol.CauseBusy, protocol.CauseUnknown:
			v.Gone[ref] = Refused
		default:
			v.Gone[ref] = Failed
		}
	}
	for _, placed := range machine.Tasks {
		ref := RefOf(placed)
		if _, ok := v.Seen[ref]; ok {
			continue
		}
		if _, ok := v.Gone[ref]; ok {
			continue
		}
		if heartbeat.Incarnation > machine.Incarnation {
			v.Gone[ref] = Lost // the lease ran out: the worker forgot every task
			continue
		}
		// Only a worker that has seen the present token drops what was sent
		// under an older one, so only its heartbeat proves that a task is absent.
		if heartbeat.Incarnation < machine.Incarnation || heartbeat.FencingToken < token || v.Uncertain >= heartbeat.FencingToken && v.Uncertain > 0 {
			continue
		}
		if _, ok := before[ref]; ok {
			v.Gone[ref] = Lost
		}
	}
}

// Absent tells whether an attempt that was never reported can no longer start:
// the worker has seen the token, and every answer that carried the launch was
// to an older report than the latest.
func (v *Worker) Absent(m *storage.Machine, ref Ref, token uint64) bool {
	if _, ok := v.Seen[ref]; ok || v.Incarnation != m.Incarnation || v.FencingToken < token || v.FencingToken <= v.Uncertain || v.DirectInFlight {
		return false
	}
	at, sent := v.Sent[ref]
	return !sent || at < v.HeartbeatSeq
}

// DesiredState is what the record's owner wants of an attempt.
type DesiredState struct {
	Stop  bool
	Grace float64 // seconds in which it may save; 0: at once
}

// Commands works out the commands that turn what the worker heartbeats into what
// the record wants. Attempts that are wanted no more and can be proved never to
// have started go into Gone. With answer, the commands go into the answer to the
// latest report, and launches are noted as sent.
func (v *Worker) Commands(machine *storage.Machine, token uint64, wish func(storage.PlacedTask) DesiredState, answer bool, limit int) []protocol.Command {
	var out []protocol.Command
	for _, t := range v.Unplaced {
		if t.State != protocol.TaskExited {
			out = append(out, protocol.Command{Op: protocol.OpKill, Task: t.Task, Attempt: t.Attempt})
		} else if v.FencingToken > v.Uncertain || v.Uncertain == 0 {
			// Cleared only once no launch of it can be under way: a worker
			// that has forgotten an attempt would start it again.
			out = append(out, protocol.Command{Op: protocol.OpClear, Task: t.Task, Attempt: t.Attempt})
		}
	}
	for _, placed := range machine.Tasks {
		if len(out) >= limit {
			break
		}
		ref := RefOf(placed)
		if _, ok := v.Gone[ref]; ok {
			continue
		}
		seen, known := v.Seen[ref]
		desiredState := wish(placed)
		name := protocol.TaskName(placed.Job.ID, placed.Task)
		switch {
		case desiredState.Stop && known && (seen.State != protocol.TaskCheckpointing || desiredState.Grace == 0):
			out = append(out, protocol.Command{Op: protocol.OpKill, Task: name, Attempt: placed.Attempt, GraceS: desiredState.Grace})
		case desiredState.Stop && !known && v.Absent(machine, ref, token):
			v.Gone[ref] = Unsent
		case !desiredState.Stop && !known && v.Incarnation == machine.Incarnation:
			out = append(out, protocol.Command{Op: protocol.OpLaunch, Task: name, Attempt: placed.Attempt})
			if answer {
				v.Sent[ref] = v.HeartbeatSeq
			}
		}
	}
	return out
}

// Settle forgets what has been committed: attempts that the record no longer holds.
func (v *Worker) Settle(machine *storage.Machine) {
	held := make(map[Ref]bool, len(machine.Tasks))
	for _, p := range machine.Tasks {
		held[RefOf(p)] = true
	}
	for ref := range v.Gone {
		if !held[ref] {
			delete(v.Gone, ref)
		}
	}
	for ref := range v.Sent {
		if !held[ref] {
			delete(v.Sent, ref)
		}
	}
	for ref, s := range v.Seen {
		if !held[ref] {
			v.Unplaced = append(v.Unplaced, protocol.TaskStatus{Task: protocol.TaskName(ref.Job.ID, ref.Task),
				Attempt: ref.Attempt, State: s.State, Cause: s.Cause, Checkpointed: s.Checkpointed})
			delete(v.Seen, ref)
		}
	}
}
