package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// DesiredState is the state of an attempt that the controller owning its machine's record requests.
type DesiredState struct {
	Stop   bool
	GraceS float64 // seconds it is given to write a checkpoint; 0: it stops at once
}

// Commands returns the commands that bring the attempts reported by the worker to the state requested in
// the record. desiredState returns the desired state of an attempt in the record; token is the fencing
// token under which the machine is now commanded. Attempts that should stop and provably never started are
// added to Gone. inAnswer is true if the commands are sent in the answer to the latest heartbeat, false if they are
// sent directly under the token; the launches are recorded accordingly. Once there are limit commands, no further
// attempt of the record is considered.
func (w *Worker) Commands(machine *storage.Machine, token uint64, desiredState func(storage.PlacedTask) DesiredState, inAnswer bool, limit int) []protocol.Command {
	commands := w.unplacedCommands(token)
	for _, placed := range machine.Tasks {
		if len(commands) >= limit {
			break
		}
		ref := AttemptRefOf(placed)
		if _, ok := w.Gone[ref]; ok {
			continue
		}
		desired := desiredState(placed)
		reported, isReported := w.Reported[ref]
		switch {
		case desired.Stop && isReported:
			if reported.State != protocol.TaskCheckpointing || desired.GraceS == 0 {
				commands = append(commands, newCommand(protocol.OpKill, ref, desired.GraceS))
			}
		case desired.Stop:
			if w.CannotStart(machine, ref, token) {
				w.Gone[ref] = Undelivered
			}
		case !isReported && w.Incarnation == machine.Incarnation:
			launch := newCommand(protocol.OpLaunch, ref, 0)
			commands = append(commands, launch)
			if inAnswer {
				w.recordAnsweredLaunch(ref)
			} else {
				w.directLaunches.record(launch, token)
			}
		}
	}
	return commands
}

// newCommand returns a command for an attempt, with a grace period in seconds.
func newCommand(operation string, ref AttemptRef, grace float64) protocol.Command {
	return protocol.Command{Op: operation, Task: protocol.TaskName(ref.Job.ID, ref.Task), Attempt: ref.Attempt, GraceS: grace}
}

// unplacedCommands returns the commands, under a fencing token, for reported attempts that are not in the record:
// they are killed, and cleared once they have exited and no launch of them can be executed any more. A worker that
// has cleared an attempt would start it again.
func (w *Worker) unplacedCommands(token uint64) []protocol.Command {
	var commands []protocol.Command
	for _, status := range w.Unplaced {
		switch {
		case status.State != protocol.TaskExited:
			commands = append(commands, protocol.Command{Op: protocol.OpKill, Task: status.Task, Attempt: status.Attempt})
		case !w.launchMayArrive(w.FencingToken, w.lastLaunchSeq) && !w.directLaunches.mayArriveAgain(AttemptName{status.Task, status.Attempt}, token):
			commands = append(commands, protocol.Command{Op: protocol.OpClear, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return commands
}
