// Package dispatch reconciles what a machine's record wants with what its
// worker reports: it finds which tasks are proved to be gone, and which
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
func RefOf(p storage.Placed) Ref { return Ref{p.Job, p.Task, p.Attempt} }

// Seen is what a worker last said of an attempt.
type Seen struct {
	State string
	Cause string
	Saved bool
}

// View is what is known of a machine from its worker's messages. It is lost
// with the process: everything that matters is in the records.
type View struct {
	Session uint64
	Seq     uint64
	Token   uint64 // the highest that the worker said it had seen
	Seen    map[Ref]Seen
	Stray   []protocol.TaskReport // reported, but not in the record
	Gone    map[Ref]Outcome       // proved gone, but not yet committed
	Sent    map[Ref]uint64        // the seq of the report whose answer last carried the launch
	// ReportSeq is the seq of the latest report proper. A worker's reply to a
	// direct command proves nothing about launches in the answer to a report,
	// which may still be on its way.
	ReportSeq uint64
	Direct    bool // a direct command is under way
	// Uncertain is the token under which a direct command went out whose
	// outcome is unknown: it may still arrive until the worker has seen a higher one.
	Uncertain uint64
}

// NewView knows nothing yet.
func NewView() *View {
	return &View{Seen: map[Ref]Seen{}, Gone: map[Ref]Outcome{}, Sent: map[Ref]uint64{}}
}

// Newer tells whether a message is newer than all that were taken.
func (v *View) Newer(r *protocol.Report) bool {
	return r.Session > v.Session || (r.Session == v.Session && r.Seq > v.Seq)
}

// Take takes a newer report of a machine's worker. token is the one under which
// the machine is commanded now; reply says that it is the reply to a direct command.
func (v *View) Take(m *storage.Machine, r *protocol.Report, token uint64, reply bool, job func(string) *storage.Job) {
	if r.Session != v.Session {
		clear(v.Sent)
	}
	v.Session, v.Seq, v.Token = r.Session, r.Seq, max(v.Token, r.Token)
	if !reply {
		v.ReportSeq = r.Seq
	}
	before := v.Seen
	v.Seen = make(map[Ref]Seen, len(r.Tasks))
	v.Stray = v.Stray[:0]
	for _, t := range r.Tasks {
		id, n, _ := protocol.SplitTask(t.Task)
		j := job(id)
		if j == nil || n >= j.Tasks || j.Machine[n] != m.Index || j.Attempt[n] != t.Attempt {
			v.Stray = append(v.Stray, t)
			continue
		}
		ref := Ref{j, n, t.Attempt}
		v.Seen[ref] = Seen{t.State, t.Cause, t.Saved}
		if t.State != protocol.Exited {
			continue
		}
		switch t.Cause {
		case protocol.CauseDone:
			v.Gone[ref] = Completed
		case protocol.CauseStopped:
			v.Gone[ref] = Stopped
		case protocol.CauseNoRoom, protocol.CauseBusy, protocol.CauseUnknown:
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
		if r.Session > m.Session {
			v.Gone[ref] = Lost // the lease ran out: the worker forgot every task
			continue
		}
		// Only a worker that has seen the present token drops what was sent
		// under an older one, so only its report proves that a task is absent.
		if r.Session < m.Session || r.Token < token || v.Uncertain >= r.Token && v.Uncertain > 0 {
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
func (v *View) Absent(m *storage.Machine, ref Ref, token uint64) bool {
	if _, ok := v.Seen[ref]; ok || v.Session != m.Session || v.Token < token || v.Token <= v.Uncertain || v.Direct {
		return false
	}
	at, sent := v.Sent[ref]
	return !sent || at < v.ReportSeq
}

// Wish is what the record's owner wants of an attempt.
type Wish struct {
	Stop  bool
	Grace float64 // seconds in which it may save; 0: at once
}

// Commands works out the commands that turn what the worker reports into what
// the record wants. Attempts that are wanted no more and can be proved never to
// have started go into Gone. With answer, the commands go into the answer to the
// latest report, and launches are noted as sent.
func (v *View) Commands(m *storage.Machine, token uint64, wish func(storage.Placed) Wish, answer bool, limit int) []protocol.Command {
	var out []protocol.Command
	for _, t := range v.Stray {
		if t.State != protocol.Exited {
			out = append(out, protocol.Command{Op: protocol.Kill, Task: t.Task, Attempt: t.Attempt})
		} else if v.Token > v.Uncertain || v.Uncertain == 0 {
			// Cleared only once no launch of it can be under way: a worker
			// that has forgotten an attempt would start it again.
			out = append(out, protocol.Command{Op: protocol.Clear, Task: t.Task, Attempt: t.Attempt})
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
		case w.Stop && known && (seen.State != protocol.Saving || w.Grace == 0):
			out = append(out, protocol.Command{Op: protocol.Kill, Task: name, Attempt: p.Attempt, GraceS: w.Grace})
		case w.Stop && !known && v.Absent(m, ref, token):
			v.Gone[ref] = Unsent
		case !w.Stop && !known && v.Session == m.Session:
			out = append(out, protocol.Command{Op: protocol.Launch, Task: name, Attempt: p.Attempt})
			if answer {
				v.Sent[ref] = v.ReportSeq
			}
		}
	}
	return out
}

// Settle forgets what has been committed: attempts that the record no longer holds.
func (v *View) Settle(m *storage.Machine) {
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
			v.Stray = append(v.Stray, protocol.TaskReport{Task: protocol.TaskName(ref.Job.ID, ref.Task),
				Attempt: ref.Attempt, State: s.State, Cause: s.Cause, Saved: s.Saved})
			delete(v.Seen, ref)
		}
	}
}
