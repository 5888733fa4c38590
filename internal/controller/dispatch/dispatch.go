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
func (v *Worker) ApplyHeartbeat(m *storage.Machine, r *protocol.Heartbeat, token uint64, reply bool, job func(string) *storage.Job) {
	if r.Incarnation != v.Incarnation {
		clear(v.Sent)
	}
	v.Incarnation, v.Seq, v.FencingToken = r.Incarnation, r.Seq, max(v.FencingToken, r.FencingToken)
	if !reply {
		v.HeartbeatSeq = r.Seq
	}
	before := v.Seen
	v.Seen = make(map[Ref]TaskSeen, len(r.Tasks))
	v.Unplaced = v.Unplaced[:0]
	for _, t := range r.Tasks {
		id, n, _ := protocol.SplitTask(t.Task)
		j := job(id)
		if j == nil || n >= j.Tasks || j.MachineOf[n] != m.Index || j.AttemptOf[n] != t.Attempt {
			v.Unplaced = append(v.Unplaced, t)
			continue
		}
		ref := Ref{j, n, t.Attempt}
		v.Seen[ref] = TaskSeen{t.State, t.Cause, t.Checkpointed}
		if t.State != protocol.TaskExited {
			continue
		}
		switch t.Cause {
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
	for _, p := range m.Tasks {
		ref := RefOf(p)
		if _, ok := v.Seen[ref]; ok {
			continue
		}
		if _, ok := v.Gone[ref]; ok {
			continue
		}
		if r.Incarnation > m.Incarnation {
			v.Gone[ref] = Lost // the lease ran out: the worker forgot every task
			continue
		}
		// Only a worker that has seen the present token drops what was sent
		// under an older one, so only its heartbeat proves that a task is absent.
		if r.Incarnation < m.Incarnation || r.FencingToken < token || v.Uncertain >= r.FencingToken && v.Uncertain > 0 {
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
func (v *Worker) Commands(m *storage.Machine, token uint64, wish func(storage.PlacedTask) DesiredState, answer bool, limit int) []protocol.Command {
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
	for _, p := range m.Tasks {
		if len(out) >= limit {
			break
		}
		ref := RefOf(p)
		if _, ok := v.Gone[ref]; ok {
			continue
		}
		seen, known := v.Seen[ref]
		w := wish(p)
		name := protocol.TaskName(p.Job.ID, p.Task)
		switch {
		case w.Stop && known && (seen.State != protocol.TaskCheckpointing || w.Grace == 0):
			out = append(out, protocol.Command{Op: protocol.OpKill, Task: name, Attempt: p.Attempt, GraceS: w.Grace})
		case w.Stop && !known && v.Absent(m, ref, token):
			v.Gone[ref] = Unsent
		case !w.Stop && !known && v.Incarnation == m.Incarnation:
			out = append(out, protocol.Command{Op: protocol.OpLaunch, Task: name, Attempt: p.Attempt})
			if answer {
				v.Sent[ref] = v.HeartbeatSeq
			}
		}
	}
	return out
}

// Settle forgets what has been committed: attempts that the record no longer holds.
func (v *Worker) Settle(m *storage.Machine) {
	held := make(map[Ref]bool, len(m.Tasks))
	for _, p := range m.Tasks {
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
