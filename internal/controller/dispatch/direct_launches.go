package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// launchKey identifies an attempt by the names that commands and heartbeats use.
type launchKey struct {
	task    string
	attempt uint64
}

// directLaunches holds the attempts whose launch was sent in a direct command, each with the highest fencing token of
// these commands. A direct command may arrive again at any time, also after the worker has executed and answered it, and
// it is executed until the worker has seen a higher token. A worker that has cleared an attempt starts it again. So
// an attempt is cleared only by a command under a higher token than that of each launch of it. For this, the transaction
// that removes the attempt from the record raises the machine's token. Launches in the answers to heartbeats are not
// held: a worker executes them once, or never.
type directLaunches map[launchKey]uint64

// record records that a direct command under a fencing token carries a launch.
func (l directLaunches) record(launch protocol.Command, token uint64) {
	key := launchKey{launch.Task, launch.Attempt}
	l[key] = max(l[key], token)
}

// mayArriveAgain reports whether a worker that has seen a token executes a repeated launch of an attempt.
func (l directLaunches) mayArriveAgain(key launchKey, token uint64) bool {
	sentToken, sent := l[key]
	return sent && sentToken >= token
}

// prune drops the attempts that the worker does not report and the record does not place.
func (l directLaunches) prune(machine *storage.Machine, reported []protocol.TaskStatus, findJob func(string) *storage.Job) {
	if len(l) == 0 {
		return
	}
	listed := make(map[launchKey]bool, len(reported))
	for _, status := range reported {
		listed[launchKey{status.Task, status.Attempt}] = true
	}
	for key := range l {
		if listed[key] {
			continue
		}
		if _, placed := findPlacedAttempt(machine, protocol.TaskStatus{Task: key.task, Attempt: key.attempt}, findJob); !placed {
			delete(l, key)
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
		if w.directLaunches.mayArriveAgain(launchKey{protocol.TaskName(ref.Job.ID, ref.Task), ref.Attempt}, token) {
			return true
		}
	}
	for _, status := range w.Unplaced {
		if status.State == protocol.TaskExited && w.directLaunches.mayArriveAgain(launchKey{status.Task, status.Attempt}, token) {
			return true
		}
	}
	return false
}
