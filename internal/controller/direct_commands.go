package controller

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// maxCommands limits the commands in one answer or direct command.
	maxCommands = 200
	// maxDirectCommands limits the direct commands in flight at a time.
	maxDirectCommands = 48
	// checkpointMarginS is the grace period, in seconds, beyond the time that a task needs to save a
	// checkpoint.
	checkpointMarginS = 2.0
	// preemptionMarginS is the safety margin, in seconds, for stopping a task before the cloud preempts
	// its machine: the task is told to stop when the time left is less than its grace period, a heartbeat
	// interval and this margin together.
	preemptionMarginS = 1
	// directCommandTimeout bounds how long a worker may take to answer commands.
	directCommandTimeout = 2 * time.Second
	// directProbeTimeout bounds how long a worker may take to answer a probe, which has no commands.
	directProbeTimeout = 1200 * time.Millisecond
)

// desiredState returns whether a placed attempt should go on or be stopped, and with which grace
// period.
func (c *Controller) desiredState(machine *storage.Machine, worker *workerState, placed storage.PlacedTask) dispatch.DesiredState {
	job := placed.Job
	checkpoints := job.CheckpointInterval > 0
	grace := 0.0
	if checkpoints {
		grace = job.CheckpointCost + checkpointMarginS
	}
	switch {
	case c.cancellations.finished(job):
		return dispatch.DesiredState{Stop: true}
	case c.cache.IsVictim(placed):
		if worker.checkpointedRecently(placed) {
			grace = 0
		}
		return dispatch.DesiredState{Stop: true, GraceS: grace}
	case machine.Draining && checkpoints && c.stopsForDrain(machine, worker, placed, time.Now()):
		return dispatch.DesiredState{Stop: true, GraceS: grace}
	case machine.Draining && c.jobStates[job] != nil && c.jobStates[job].relocating == dispatch.AttemptRefOf(placed):
		return dispatch.DesiredState{Stop: true}
	case checkpoints && worker.preemptedWithin(seconds(grace+c.cfg.Deployment.Workers.HeartbeatS+preemptionMarginS)):
		return dispatch.DesiredState{Stop: true, GraceS: grace}
	}
	return dispatch.DesiredState{}
}

// preemptedWithin reports whether the cloud has announced that it will preempt the worker's machine
// within d.
func (w *workerState) preemptedWithin(d time.Duration) bool {
	return !w.preemptionAt.IsZero() && time.Until(w.preemptionAt) < d
}

// checkpointedRecently reports whether an attempt has run for less than a third of its checkpoint
// interval since its last checkpoint. Another checkpoint would take about as long as the work that it
// saves, and the capacity is needed now. An attempt that is saving a checkpoint already may finish it.
func (w *workerState) checkpointedRecently(placed storage.PlacedTask) bool {
	interval := placed.Job.CheckpointInterval
	ref := dispatch.AttemptRefOf(placed)
	startedAt, ok := w.started[ref]
	return ok && interval > 0 && w.Reported[ref].State == protocol.TaskRunning &&
		math.Mod(time.Since(startedAt).Seconds(), interval) < interval/3
}

// commands returns the commands that bring a worker's tasks to their desired states. The answer flag
// is set if they go into the answer to a heartbeat.
func (c *Controller) commands(machine *storage.Machine, worker *workerState, answer bool) []protocol.Command {
	if c.cache.GroupRejected(machine.Group) {
		// The record is not known: only tasks of cancelled jobs are certain to be unwanted.
		return c.killCommandsAt(machine, worker.Unplaced)
	}
	goneBefore := len(worker.Gone)
	desired := func(placed storage.PlacedTask) dispatch.DesiredState { return c.desiredState(machine, worker, placed) }
	commands := worker.Commands(machine, c.cache.FencingToken(machine), desired, answer, maxCommands)
	if len(worker.Gone) > goneBefore {
		c.requestCycle()
	}
	return commands
}

// sendDirect sends a worker its pending commands directly, without waiting for its heartbeat. If there
// are none, it sends nothing, or, if probe is set, a probe for the worker's heartbeat.
func (c *Controller) sendDirect(machine *storage.Machine, probe bool) {
	worker := c.workerState(machine)
	unknown := worker.Incarnation == 0 && machine.Incarnation == 0
	if worker.DirectInFlight || machine.Addr == "" || c.workers.directCommands >= maxDirectCommands || unknown {
		return
	}
	commands := protocol.DirectCommands{
		FencingToken: c.cache.FencingToken(machine),
		Incarnation:  max(worker.Incarnation, machine.Incarnation),
		Commands:     []protocol.Command{},
	}
	if worker.Incarnation != 0 {
		commands.Commands = append(commands.Commands, c.commands(machine, worker, false)...)
	}
	if len(commands.Commands) == 0 && !probe {
		return
	}
	c.logCommands(machine.Name, "direct", commands.FencingToken, commands.Incarnation, commands.Commands)
	worker.DirectInFlight = true
	c.workers.directCommands++
	addr := machine.Addr
	timeout := directCommandTimeout
	if len(commands.Commands) == 0 {
		timeout = directProbeTimeout
	}
	// The timeout bounds this goroutine; nothing waits for it.
	go func() {
		heartbeat, status, err := c.workerLink.Command(addr, commands, timeout)
		c.post(func() { c.handleDirectReply(machine, worker, commands, directReply{heartbeat, status, err}) })
	}()
}

// directReply is the outcome of a direct command.
type directReply struct {
	heartbeat *protocol.Heartbeat
	status    int
	err       error
}

// handleDirectReply handles a worker's reply to a direct command, or its failure.
func (c *Controller) handleDirectReply(machine *storage.Machine, worker *workerState, sent protocol.DirectCommands, reply directReply) {
	c.workers.directCommands--
	worker.DirectInFlight = false
	c.contactWorkers()
	if c.workers.states[machine.Index] != worker || !c.ownsShard(machine.Shard) || machine.Gone {
		return // this controller no longer owns the machine, or took it over again since
	}
	if reply.err != nil {
		c.noteDirectFailure(machine, worker, sent, reply.err)
		return
	}
	heartbeat := reply.heartbeat
	if heartbeat.Machine != machine.Name {
		return
	}
	c.noteRefusal(sent, reply)
	if heartbeat.FencingToken > c.cache.FencingToken(machine) {
		c.raiseFencingToken(machine, worker, heartbeat.FencingToken)
		return
	}
	if worker.IsNewer(heartbeat) {
		c.applyHeartbeat(machine, worker, heartbeat, c.cache.FencingToken(machine), true)
		c.requestCycle()
		// After a takeover, tasks that still run may have been cancelled while the shard had no owner.
		c.sendStopCommands(machine)
	}
	if reply.status == http.StatusConflict && c.hasUnsentLaunch(machine) {
		c.sendDirect(machine, false) // a message under a higher token overtook the command
	}
	c.log.Debug("direct command answered", "machine", machine.Name, "status", reply.status, "commands", len(sent.Commands))
}

// noteDirectFailure records a direct command without an answer: a launch command in it may have been
// executed, unless the worker's machine refused the connection.
func (c *Controller) noteDirectFailure(machine *storage.Machine, worker *workerState, sent protocol.DirectCommands, err error) {
	c.log.Debug("direct command failed", "machine", machine.Name, "err", err)
	worker.missedProbes++
	c.zoneState(machine.Zone).missedProbes++
	launches := slices.ContainsFunc(sent.Commands, func(command protocol.Command) bool { return command.Op == protocol.OpLaunch })
	if launches && !errors.Is(err, protocol.ErrRefused) {
		c.log.Info("launches may still arrive, raising the machine's fencing token", "machine", machine.Name,
			"fencing_token", sent.FencingToken, "incarnation", sent.Incarnation, "commands", len(sent.Commands), "err", err)
		worker.UncertainToken = max(worker.UncertainToken, sent.FencingToken)
	}
	c.requestCycle()
}

// contactWorkers sends probes to the workers of machines that this controller has taken over, a few
// at a time. The replies list the tasks on the machines.
func (c *Controller) contactWorkers() {
	for len(c.workers.uncontacted) > 0 && c.workers.directCommands < maxDirectCommands {
		machine := c.workers.uncontacted[0]
		c.workers.uncontacted = c.workers.uncontacted[1:]
		worker := c.workers.states[machine.Index]
		if worker != nil && worker.Incarnation == 0 && !machine.Gone && c.ownsShard(machine.Shard) {
			c.sendDirect(machine, true)
		}
	}
}

// terminateJob runs sendStopCommands on the machines that a job's tasks are placed on.
func (c *Controller) terminateJob(job *storage.Job) {
	if job.PlacedCount == 0 {
		return
	}
	for _, index := range job.MachineOf {
		if index != storage.NotPlaced {
			c.sendStopCommands(c.cache.Machines[index])
		}
	}
}

// sendStopCommands sends a machine its commands directly, without waiting for a heartbeat, if one of
// its tasks is to be stopped, has not exited, and is not already saving a checkpoint within its grace
// period.
func (c *Controller) sendStopCommands(machine *storage.Machine) {
	if machine.Gone || len(machine.Tasks) == 0 || !c.ownsShard(machine.Shard) {
		return
	}
	worker := c.workerState(machine)
	for _, placed := range machine.Tasks {
		desired := c.desiredState(machine, worker, placed)
		if !desired.Stop {
			continue
		}
		seen, ok := worker.Reported[dispatch.AttemptRefOf(placed)]
		if ok && seen.State != protocol.TaskExited && (seen.State != protocol.TaskCheckpointing || desired.GraceS == 0) {
			c.sendDirect(machine, false)
			return
		}
	}
}
