package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file logs and counts what was sent to workers and what they report against the records, so that the start and
// the end of each attempt can be traced.

// The causes for which a worker refuses direct commands, as label values.
const (
	refusedByToken       = "token"
	refusedByIncarnation = "incarnation"
)

// logCommands logs, at the level debug, the commands of one message to a worker; path states how they are sent.
func (c *Controller) logCommands(machine, path string, token, incarnation uint64, commands []protocol.Command) {
	if len(commands) == 0 || !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	texts := make([]string, len(commands))
	for i, command := range commands {
		texts[i] = fmt.Sprintf("%s %s@%d", command.Op, command.Task, command.Attempt)
	}
	c.log.Debug("commands sent", "machine", machine, "path", path, "fencing_token", token, "incarnation", incarnation, "commands", strings.Join(texts, ", "))
}

// noteRefusal logs and counts direct commands that a worker has refused. Refused probes are of no interest.
func (c *Controller) noteRefusal(sent protocol.DirectCommands, reply directReply) {
	if reply.status != http.StatusConflict || len(sent.Commands) == 0 {
		return
	}
	cause := refusedByToken
	if reply.heartbeat.Incarnation != sent.Incarnation {
		cause = refusedByIncarnation
	}
	c.metrics.refusedCommands.WithLabelValues(cause).Inc()
	c.log.Info("worker refused direct commands", "machine", reply.heartbeat.Machine, "cause", cause, "commands", len(sent.Commands),
		"fencing_token", sent.FencingToken, "worker_token", reply.heartbeat.FencingToken,
		"incarnation", sent.Incarnation, "worker_incarnation", reply.heartbeat.Incarnation)
}

// noteUnplacedAttempts warns of attempts that a worker runs although the records do not place them on its machine, once
// for each. They have ended before and begun again, or were never placed; the next commands kill them.
func (c *Controller) noteUnplacedAttempts(machine *storage.Machine, worker *workerState) {
	if c.cache.GroupRejected(machine.Group) {
		return // the record is not known
	}
	var running map[dispatch.AttemptName]bool
	for _, status := range worker.Unplaced {
		if status.State == protocol.TaskExited {
			continue
		}
		name := dispatch.AttemptName{Task: status.Task, Attempt: status.Attempt}
		if running == nil {
			running = map[dispatch.AttemptName]bool{}
		}
		running[name] = true
		if !worker.unplacedRunning[name] {
			c.metrics.unplacedAttempts.Inc()
			c.log.Warn("worker runs an attempt that is not in the records, killing it", "machine", machine.Name, "task", status.Task,
				"attempt", status.Attempt, "state", status.State, "fencing_token", c.cache.FencingToken(machine), "worker_token", worker.FencingToken,
				"incarnation", worker.Incarnation, "record_incarnation", machine.Incarnation)
		}
	}
	worker.unplacedRunning = running
}
