package protocol

import "time"

// A renewal marker is a note that a controller leaves with a worker: the time up to which the cancellations
// were known when the worker's lease was renewed. Workers keep no data for controllers, but they report an
// attempt whose launch they refused until it is cleared, also to other controllers and across restarts of
// all of them. So the marker is the launch of a task that can never exist, with the time as the attempt's
// number.

// ReservedJobID is the ID under which renewal markers are kept. No job with this ID is accepted.
const ReservedJobID = "job-000000000000000000"

// renewalMarkerTask is the name of the task under which renewal markers are kept.
const renewalMarkerTask = ReservedJobID + "/99999"

// RenewalMarkerCommand returns the command with which a worker keeps a renewal marker.
func RenewalMarkerCommand(knownUntil time.Time) Command {
	return Command{Op: OpLaunch, Task: renewalMarkerTask, Attempt: uint64(max(0, knownUntil.UnixMilli()))}
}

// IsRenewalMarker reports whether a reported attempt is a renewal marker.
func (t *TaskStatus) IsRenewalMarker() bool { return t.Task == renewalMarkerTask }

// RenewalMarker returns the latest time in the renewal markers of a heartbeat, in Unix milliseconds. ok is
// false if there is none.
func (h *Heartbeat) RenewalMarker() (knownUntilMs int64, ok bool) {
	for i := range h.Tasks {
		if h.Tasks[i].IsRenewalMarker() {
			knownUntilMs, ok = max(knownUntilMs, int64(min(h.Tasks[i].Attempt, maxMarkerMs))), true
		}
	}
	return knownUntilMs, ok
}

// maxMarkerMs is the latest time that a renewal marker can state, in Unix milliseconds.
const maxMarkerMs = 1 << 52

// ClearRenewalMarkers returns the commands that remove a heartbeat's renewal markers from its worker.
func (h *Heartbeat) ClearRenewalMarkers() []Command {
	var commands []Command
	for i := range h.Tasks {
		if status := &h.Tasks[i]; status.IsRenewalMarker() && status.State == TaskExited {
			commands = append(commands, Command{Op: OpClear, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return commands
}

// HasTasks reports whether a heartbeat shows any task other than a renewal marker.
func (h *Heartbeat) HasTasks() bool {
	for i := range h.Tasks {
		if !h.Tasks[i].IsRenewalMarker() {
			return true
		}
	}
	return false
}
