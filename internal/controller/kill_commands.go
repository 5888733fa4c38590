package controller

import (
	"net/http"
	"slices"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file stops the tasks of finished jobs on machines that other controllers own, or that this controller owns
// without knowing their record.

// killCommands returns kill commands for the tasks of finished jobs that a machine's record still
// holds. Final states never change, so any controller may send them.
func (c *Controller) killCommands(machine *storage.Machine) []protocol.Command {
	commands := []protocol.Command{}
	for _, placed := range machine.Tasks {
		if c.cancellations.finished(placed.Job) && len(commands) < maxCommands {
			commands = append(commands, protocol.Command{Op: protocol.OpKill, Task: protocol.TaskName(placed.Job.ID, placed.Task), Attempt: placed.Attempt})
		}
	}
	return commands
}

// killCommandsAt returns kill commands for the tasks of cancelled jobs on a machine: those in its record, and
// those that only its worker has reported, since this controller may not have read the record of their
// placement.
func (c *Controller) killCommandsAt(machine *storage.Machine, reported []protocol.TaskStatus) []protocol.Command {
	commands := c.killCommands(machine)
	for _, kill := range c.killCommandsFor(reported) {
		if !slices.Contains(commands, kill) {
			commands = append(commands, kill)
		}
	}
	return commands
}

// killCommandsByRecord returns a machine's kill commands under the fencing token and the incarnation in
// its record.
func (c *Controller) killCommandsByRecord(machine *storage.Machine) protocol.DirectCommands {
	return protocol.DirectCommands{
		FencingToken: c.cache.FencingToken(machine),
		Incarnation:  machine.Incarnation,
		Commands:     c.killCommands(machine),
	}
}

// sendKills sends kill commands directly to the worker of a machine that this controller does not
// own. If the worker refuses them because its incarnation or fencing token differs, its reply holds
// both, and the tasks that it really has; if retry is set, commands for those of finished jobs are
// sent once more. Killing a finished job's task is correct under any fencing token.
func (c *Controller) sendKills(machine *storage.Machine, commands protocol.DirectCommands, retry bool) {
	if len(commands.Commands) == 0 || machine.Addr == "" {
		return
	}
	addr := machine.Addr
	c.logCommands(machine.Name, "direct", commands.FencingToken, commands.Incarnation, commands.Commands)
	c.workers.directCommands++
	// The timeout bounds this goroutine; nothing waits for it.
	go func() {
		heartbeat, status, err := c.workerLink.Command(addr, commands, directCommandTimeout)
		c.post(func() {
			c.workers.directCommands--
			c.log.Debug("sent kill commands to another owner's machine", "addr", addr, "commands", len(commands.Commands), "status", status, "err", err)
			if err != nil || heartbeat == nil || heartbeat.Machine != machine.Name || machine.Gone {
				return
			}
			c.handleKillReply(machine, heartbeat, retry && status != http.StatusOK)
		})
	}()
}

// handleKillReply handles the heartbeat with which a worker replied to kill commands. If retry is
// set, it sends commands for the cancelled tasks that the heartbeat still shows.
func (c *Controller) handleKillReply(machine *storage.Machine, heartbeat *protocol.Heartbeat, retry bool) {
	c.workers.killsAnsweredAt = time.Now()
	remaining := c.killCommandsFor(heartbeat.Tasks)
	if len(remaining) == 0 {
		if progress := c.cancellations.terminations[machine.Index]; progress != nil {
			*progress = termination{nextTry: c.workers.killsAnsweredAt.Add(terminationRecheckInterval)}
		}
		return
	}
	if retry && c.workers.directCommands < maxDirectCommands {
		kills := protocol.DirectCommands{FencingToken: heartbeat.FencingToken, Incarnation: heartbeat.Incarnation, Commands: remaining}
		c.sendKills(machine, kills, false)
	}
}

// killCommandsFor returns kill commands for the cancelled jobs' tasks among those that a worker has
// reported.
func (c *Controller) killCommandsFor(reported []protocol.TaskStatus) []protocol.Command {
	commands := []protocol.Command{}
	for _, status := range reported {
		id, _, ok := protocol.ParseTaskName(status.Task)
		if !ok || status.State == protocol.TaskExited || len(commands) >= maxCommands {
			continue
		}
		if final, _ := c.cache.FinalState(id); final == protocol.Cancelled || c.cancellations.digest.isGossiped(id) {
			commands = append(commands, protocol.Command{Op: protocol.OpKill, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return commands
}
