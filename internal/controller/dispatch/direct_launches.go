package dispatch

import (
	"slices"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// AttemptName identifies an attempt as commands and heartbeats name it, also one whose job is not in the cache.
type AttemptName struct {
	Task    string
	Attempt uint64
}

// directLaunches holds the attempts whose launch was sent in a direct command, each with the highest fencing token of
// these commands. A direct command may arrive again at any time, also after the worker has executed and answered it, and
// it is executed until the worker has seen a higher token. A worker that has cleared an attempt starts it again. So
// an attempt is cleared only by a command under a higher token than that of each launch of it. For this, the transaction
// that removes the attempt from the record raises the machine's token. Launches in the answers to heartbeats are not
// held: a worker executes them once, or never.
type directLaunches map[AttemptName]uint64

// record records that a direct command under a fencing token carries a launch.
func (l directLaunches) record(launch protocol.Command, token uint64) {
	name := AttemptName{launch.Task, launch.Attempt}
	l[name] = max(l[name], token)
}

// mayArriveAgain reports whether a worker that has seen a token executes a repeated launch of an attempt.
func (l directLaunches) mayArriveAgain(name AttemptName, token uint64) bool {
	sentToken, sent := l[name]
	return sent && sentToken >= token
}

// pruneDirectLaunches drops the attempts that the record does not place on the machine and that the worker does not
// report.
func (w *Worker) pruneDirectLaunches(machine *storage.Machine, findJob func(string) *storage.Job) {
	for name := range w.directLaunches {
		if _, placed := findPlacedAttempt(machine, protocol.TaskStatus{Task: name.Task, Attempt: name.Attempt}, findJob); placed {
			continue
		}
		isListed := func(status protocol.TaskStatus) bool {
			return status.Task == name.Task && status.Attempt == name.Attempt
		}
		if !slices.ContainsFunc(w.Unplaced, isListed) {
			delete(w.directLaunches, name)
		}
	}
}

// NeedsHigherToken reports whether an attempt that has ended may be cleared only under a higher fencing token than
// the one under which the machine is now commanded.
func (w *Worker) NeedsHigherToken(token uint64) bool {
	if len(w.directLaunches) == 0 {
		return false
	}
	for ref := range w.Gone {
		if w.directLaunches.mayArriveAgain(AttemptName{protocol.TaskName(ref.Job.ID, ref.Task), ref.Attempt}, token) {
			return true
		}
	}
	for _, status := range w.Unplaced {
		if status.State == protocol.TaskExited && w.directLaunches.mayArriveAgain(AttemptName{status.Task, status.Attempt}, token) {
			return true
		}
	}
	return false
}
