package dispatch

import (
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// DesiredState is what the record's owner wants of an attempt.
type DesiredState struct {
	Stop  bool
	Grace float64 // seconds in which it may checkpoint; 0: at once
}

// Commands works out the commands that turn what the worker reports into what the record wants. wish
// tells what is wanted of an attempt in the record; token is the one under which the machine is
// commanded now. Attempts that are wanted no more and can be proved never to have started go into Gone.
// answer tells that the commands go into the answer to the latest heartbeat; launches are then noted as
// sent. No attempt in the record adds a command once there are limit of them.
func (w *Worker) Commands(machine *storage.Machine, token uint64, desiredState func(storage.PlacedTask) DesiredState, inAnswer bool, limit int) []protocol.Command {
	commands := w.unplacedCommands()
	for _, placed := range machine.Tasks {
		if len(commands) >= limit {
			break
		}
		ref := RefOf(placed)
		if _, ok := w.Gone[ref]; ok {
			continue
		}
		desired := desiredState(placed)
		reported, isReported := w.Seen[ref]
		switch {
		case desired.Stop && isReported:
			if reported.State != protocol.TaskCheckpointing || desired.Grace == 0 {
				commands = append(commands, newCommand(protocol.OpKill, ref, desired.Grace))
			}
		case desired.Stop:
			if w.Absent(machine, ref, token) {
				w.Gone[ref] = Unsent
			}
		case !isReported && w.Incarnation == machine.Incarnation:
			commands = append(commands, newCommand(protocol.OpLaunch, ref, 0))
			if inAnswer {
				w.Sent[ref] = w.HeartbeatSeq
			}
		}
	}
	return commands
}

// newCommand is a command for an attempt, with a grace period in seconds.
func newCommand(operation string, ref Ref, grace float64) protocol.Command {
	return protocol.Command{Op: operation, Task: protocol.TaskName(ref.Job.ID, ref.Task), Attempt: ref.Attempt, GraceS: grace}
}

// unplacedCommands are the commands for reported attempts that the record does not hold: they are
// stopped, and then cleared.
func (w *Worker) unplacedCommands() []protocol.Command {
	var commands []protocol.Command
	for _, status := range w.Unplaced {
		switch {
		case status.State != protocol.TaskExited:
			commands = append(commands, protocol.Command{Op: protocol.OpKill, Task: status.Task, Attempt: status.Attempt})
		case !w.mayReceiveUncertain(w.FencingToken):
			// Cleared only once no launch of it can be under way: a worker
			// that has forgotten an attempt would start it again.
			commands = append(commands, protocol.Command{Op: protocol.OpClear, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return commands
}
