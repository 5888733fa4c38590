package controller

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	maxCommands           = 200 // in one answer
	maxDirectCommands     = 48  // direct commands at a time
	checkpointMargin      = 2.0 // seconds of grace beyond what a task needs to save
	maxPendingEnrollments = 1024
	directProbeTimeout    = 1200 * time.Millisecond
)

// HandleHeartbeat answers a worker's heartbeat: reply is called once, from the core.
func (c *Controller) HandleHeartbeat(ctx context.Context, r *protocol.Heartbeat, reply func(int, any)) {
	began := time.Now()
	c.post(func() {
		c.handleHeartbeat(ctx, r, func(status int, body any) {
			c.metrics.heartbeatSeconds.Observe(time.Since(began).Seconds())
			reply(status, body)
		})
	})
}

var errNotOwner = protocol.ErrorResponse{Error: "not entitled to command this machine"}

func (c *Controller) handleHeartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, reply func(int, any)) {
	if !c.follower.loaded {
		if a, ok := c.renewUnverified(heartbeat, time.Now()); ok {
			c.answerRenewal(heartbeat.Machine, a, reply)
		} else {
			reply(503, errNotOwner)
		}
		return
	}
	machine := c.cache.Machine(heartbeat.Machine)
	if machine == nil {
		c.handleUnrecorded(ctx, heartbeat, reply)
		return
	}
	if !c.ownsShard(machine.Shard) {
		if c.renewsAsProxy(machine, time.Now()) && heartbeat.FencingToken <= c.cache.FencingToken(machine) {
			// The lease goes on, under the token of the records.
			c.answerRenewal(machine.Name, protocol.HeartbeatResponse{FencingToken: c.cache.FencingToken(machine), Commands: c.killCommands(machine)}, reply)
		} else if s := &c.cache.Shards[machine.Shard]; s.Version > 0 && s.Member != c.cfg.MemberName {
			reply(421, protocol.Redirect{Member: s.Member})
		} else {
			reply(503, errNotOwner)
		}
		return
	}
	token := c.cache.FencingToken(machine)
	worker := c.workerState(machine)
	if heartbeat.FencingToken > token {
		c.raiseFencingToken(machine, worker, heartbeat.FencingToken)
		reply(421, protocol.Redirect{})
		return
	}
	if !worker.Newer(heartbeat) {
		c.log.Debug("old report dropped", "machine", machine.Name, "watch", heartbeat.Incarnation, "tally", heartbeat.Seq)
		reply(503, errNotOwner)
		return
	}
	c.applyHeartbeat(machine, worker, heartbeat, token, false)
	c.requestCycle()
	h := heldReply{machine: machine.Name, heartbeat: heartbeat, until: time.Now().Add(c.timing.HeartbeatReplyWait), reply: reply}
	if c.storeFailing() || len(c.workers.heldReplies) > 1000 || !c.awaitsCommands(machine, worker) {
		c.answerHeartbeat(h)
		return
	}
	c.workers.heldReplies = append(c.workers.heldReplies, h)
}

// raiseFencingToken deals with a worker that has seen a higher token than its machine's record has.
// Mostly somebody holds a newer right to command it, and this controller's cache is behind: then what
// it commits fails. But a group may have moved under a token older than that of the shard's new owner,
// who had shown it to the worker just before; then nobody could command the machine any more, its
// tasks stayed in the record and their jobs running for ever. So the record's is raised above it.
// Every token was committed, so none is above the revision that a cache in time has come to: one
// that is makes no sense, or not yet.
func (c *Controller) raiseFencingToken(m *storage.Machine, v *workerState, token uint64) {
	if token <= c.follower.highestRevision {
		v.Uncertain = max(v.Uncertain, token)
		c.requestCycle()
	}
}

// awaitsCommands tells whether a commit is likely to bring commands for a machine. A worker
// has one report in flight at a time: what waits for nothing delays its next one.
func (c *Controller) awaitsCommands(m *storage.Machine, v *workerState) bool {
	if len(v.Gone) > 0 {
		return true
	}
	if c.shards.waiting[m.Shard] == 0 || !c.usable(m, v, v.heard) {
		return false
	}
	free := c.cache.Types[m.Type].Cpus
	for _, p := range m.Tasks {
		free -= p.Job.Size
	}
	return free > 0.05*c.cache.Types[m.Type].Cpus
}

// applyHeartbeat takes a worker's message.
func (c *Controller) applyHeartbeat(machine *storage.Machine, worker *workerState, heartbeat *protocol.Heartbeat, token uint64, reply bool) {
	now := time.Now()
	c.noteUnresponsive(machine, worker, heartbeat, reply, now)
	if worker.Incarnation != heartbeat.Incarnation && worker.Incarnation != 0 {
		c.log.Info("new session", "machine", machine.Name, "watch", heartbeat.Incarnation, "tasks", len(machine.Tasks))
		worker.images = nil
	}
	known := make(map[dispatch.Ref]bool, len(worker.Gone))
	for ref := range worker.Gone {
		known[ref] = true
	}
	worker.ApplyHeartbeat(machine, heartbeat, token, reply, c.cache.Job)
	worker.heard, worker.missedProbes = now, 0
	c.workers.anyHeardAt = now
	c.hearZone(machine.Zone, now)
	if heartbeat.Addr != "" {
		machine.Addr = heartbeat.Addr
	}
	if heartbeat.PreemptionNoticeS != nil {
		at := now.Add(seconds(*heartbeat.PreemptionNoticeS))
		if worker.preemptedAt.IsZero() {
			c.log.Info("machine will be taken", "machine", machine.Name, "in_s", *heartbeat.PreemptionNoticeS)
		}
		worker.preemptedAt = at
	} else {
		worker.preemptedAt = time.Time{}
	}
	for ref, s := range worker.Seen {
		if s.State == protocol.TaskRunning || s.State == protocol.TaskCheckpointing {
			if _, ok := worker.started[ref]; !ok {
				worker.started[ref] = now
				c.noteReplica(machine, ref, now)
			}
			worker.images = storage.UseImage(worker.images, ref.Job.Image)
			c.noteSteady(worker, ref.Job, now.Sub(worker.started[ref]))
		}
	}
	for ref, out := range worker.Gone {
		if !known[ref] {
			c.noteOutcome(machine, worker, ref, out, now)
		}
	}
}

// noteReplica logs how long a service's replica took to run: waiting for its place, and then for
// its image. A new owner sees those that ran before, too: they are left out.
func (c *Controller) noteReplica(m *storage.Machine, ref dispatch.Ref, now time.Time) {
	if ref.Job.Shape != protocol.Service {
		return
	}
	for _, p := range m.Tasks {
		if took := now.Unix() - p.PlacedAt; dispatch.RefOf(p) == ref && now.Sub(c.shards.takenOverAt) > seconds(float64(took)) {
			c.log.Info("replica runs", "job", ref.Job.ID, "task", ref.Task, "machine", m.Name, "waited", p.WaitedS, "fetched", took,
				"gb", ref.Job.ImageGB, "age", now.Sub(ref.Job.ReadyAt).Round(100*time.Millisecond).Seconds())
		}
	}
}

// noteOutcome draws conclusions from an attempt's end about its machine and job.
func (c *Controller) noteOutcome(machine *storage.Machine, worker *workerState, ref dispatch.Ref, out dispatch.Outcome, now time.Time) {
	jobState := c.jobState(ref.Job)
	c.countOutcome(worker, ref, out, now)
	if out != dispatch.Completed {
		jobState.requeuedAt[ref.Task] = now
	}
	if out == dispatch.Stopped {
		jobState.terminatedTasks++
	}
	switch out {
	case dispatch.Completed:
		c.noteSuccess(worker, ref.Job)
		if at, ok := worker.started[ref]; ok && ref.Job.Estimate > 1 {
			ratio := now.Sub(at).Seconds() / ref.Job.Estimate
			worker.slowdown += 0.2 * (min(ratio, 5) - worker.slowdown)
		}
	case dispatch.Failed:
		c.log.Debug("task failed", "machine", machine.Name, "job", ref.Job.ID, "task", ref.Task)
		c.noteFailure(machine, worker, ref.Job, now)
	case dispatch.Refused:
		c.log.Info("start refused", "machine", machine.Name, "job", ref.Job.ID, "task", ref.Task, "cause", worker.Seen[ref].Cause)
		jobState.backoff = maxTime(jobState.backoff, now.Add(300*time.Millisecond))
	case dispatch.Lost:
		c.log.Info("task lost", "machine", machine.Name, "job", ref.Job.ID, "task", ref.Task)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// desiredState is what this owner wants of a placed attempt.
func (c *Controller) desiredState(machine *storage.Machine, worker *workerState, placed storage.PlacedTask) dispatch.DesiredState {
	job := placed.Job
	grace := 0.0
	if job.CheckpointInterval > 0 {
		grace = job.CheckpointCost + checkpointMargin
	}
	switch {
	case c.finished(job):
		return dispatch.DesiredState{Stop: true}
	case c.cache.IsVictim(placed):
		// Saving little takes as long as what it keeps, and the room is wanted now. One
		// that is saving already goes on.
		ref := dispatch.RefOf(placed)
		if at, ok := worker.started[ref]; ok && job.CheckpointInterval > 0 && worker.Seen[ref].State == protocol.TaskRunning &&
			math.Mod(time.Since(at).Seconds(), job.CheckpointInterval) < job.CheckpointInterval/3 {
			grace = 0
		}
		return dispatch.DesiredState{Stop: true, Grace: grace}
	case machine.Draining && job.CheckpointInterval > 0 && c.leavesDrained(machine, worker, placed, time.Now()):
		return dispatch.DesiredState{Stop: true, Grace: grace}
	case machine.Draining && c.jobStates[job] != nil && c.jobStates[job].relocating == dispatch.RefOf(placed):
		return dispatch.DesiredState{Stop: true}
	case !worker.preemptedAt.IsZero() && job.CheckpointInterval > 0 && time.Until(worker.preemptedAt) < seconds(grace+c.cfg.Deployment.Workers.HeartbeatS+1):
		return dispatch.DesiredState{Stop: true, Grace: grace}
	}
	return dispatch.DesiredState{}
}

func (c *Controller) commands(m *storage.Machine, v *workerState, answer bool) []protocol.Command {
	unsent := len(v.Gone)
	cmds := v.Commands(m, c.cache.FencingToken(m), func(p storage.PlacedTask) dispatch.DesiredState { return c.desiredState(m, v, p) }, answer, maxCommands)
	if len(v.Gone) > unsent {
		c.requestCycle()
	}
	return cmds
}

// answerHeartbeat answers a heartbeat with what the record holds now.
func (c *Controller) answerHeartbeat(held heldReply) {
	machine := c.cache.Machine(held.machine)
	if machine == nil {
		held.reply(503, errNotOwner)
		return
	}
	if !c.ownsShard(machine.Shard) {
		held.reply(421, protocol.Redirect{Member: c.cache.Shards[machine.Shard].Member})
		return
	}
	v := c.workerState(machine)
	out := protocol.HeartbeatResponse{FencingToken: c.cache.FencingToken(machine)}
	// Commands only answer the latest report of a session that still is.
	if v.Incarnation == held.heartbeat.Incarnation && v.HeartbeatSeq == held.heartbeat.Seq {
		out.Commands = c.commands(machine, v, true)
	}
	if out.Commands == nil {
		out.Commands = []protocol.Command{}
	}
	c.answerRenewal(machine.Name, out, held.reply)
}

// flushHeldReplies answers the heartbeats that waited for a commit.
func (c *Controller) flushHeldReplies(now time.Time, all bool) {
	keep := c.workers.heldReplies[:0]
	for _, h := range c.workers.heldReplies {
		if all || !now.Before(h.until) {
			c.answerHeartbeat(h)
		} else {
			keep = append(keep, h)
		}
	}
	clear(c.workers.heldReplies[len(keep):])
	c.workers.heldReplies = keep
}

// handleUnrecorded deals with a machine that has no record: the leader takes it in.
func (c *Controller) handleUnrecorded(ctx context.Context, heartbeat *protocol.Heartbeat, reply func(int, any)) {
	if c.cache.MachineSeen(heartbeat.Machine) {
		reply(503, errNotOwner) // it is gone and the report late, or its group is not read yet
		return
	}
	if !c.isLeader() {
		if l := c.cache.Leader; l.Version > 0 && l.Member != c.cfg.MemberName {
			reply(421, protocol.Redirect{Member: l.Member})
		} else {
			reply(503, errNotOwner)
		}
		return
	}
	if c.cache.TypeIndex.Find(heartbeat.Type) < 0 || len(c.leader.pendingMachines) > maxPendingEnrollments {
		reply(503, errNotOwner)
		return
	}
	// Its token must be above all that the worker has seen.
	c.enrollMachine(ctx, &pendingMachine{name: heartbeat.Machine, addr: heartbeat.Addr, fleet: storage.FleetRecord{FencingToken: heartbeat.FencingToken + 1, Type: heartbeat.Type,
		Zone: heartbeat.Zone, Spot: heartbeat.Spot, ProvisionedAt: time.Now().Unix()}, done: func(ok bool) {
		if ok && c.cache.Machine(heartbeat.Machine) != nil {
			c.handleHeartbeat(ctx, heartbeat, reply)
		} else {
			reply(503, errNotOwner)
		}
	}})
}

// sendDirect sends what the record wants straight to a worker, if there is anything.
func (c *Controller) sendDirect(machine *storage.Machine, empty bool) {
	worker := c.workerState(machine)
	if worker.DirectInFlight || machine.Addr == "" || c.workers.directCommands >= maxDirectCommands || (worker.Incarnation == 0 && machine.Incarnation == 0) {
		return
	}
	token := c.cache.FencingToken(machine)
	cmd := protocol.DirectCommands{FencingToken: token, Incarnation: max(worker.Incarnation, machine.Incarnation), Commands: []protocol.Command{}}
	if worker.Incarnation != 0 {
		cmd.Commands = append(cmd.Commands, c.commands(machine, worker, false)...)
	}
	if len(cmd.Commands) == 0 && !empty {
		return
	}
	launches := slices.ContainsFunc(cmd.Commands, func(o protocol.Command) bool { return o.Op == protocol.OpLaunch })
	worker.DirectInFlight = true
	c.workers.directCommands++
	addr := machine.Addr
	timeout := 2 * time.Second
	if len(cmd.Commands) == 0 {
		timeout = directProbeTimeout
	}
	go func() {
		heartbeat, status, err := c.workerLink.Command(addr, cmd, timeout)
		c.post(func() {
			c.workers.directCommands--
			worker.DirectInFlight = false
			c.contactWorkers()
			if c.workers.states[machine.Index] != worker || !c.ownsShard(machine.Shard) || machine.Gone {
				return // this ownership has ended
			}
			if err != nil {
				c.log.Debug("direct command failed", "machine", machine.Name, "err", err)
				worker.missedProbes++
				c.zoneState(machine.Zone).missedProbes++
				if launches && !errors.Is(err, protocol.ErrRefused) {
					worker.Uncertain = max(worker.Uncertain, token)
				}
				c.requestCycle()
				return
			}
			if heartbeat.Machine != machine.Name {
				return
			}
			if heartbeat.FencingToken > c.cache.FencingToken(machine) {
				c.raiseFencingToken(machine, worker, heartbeat.FencingToken)
				return
			}
			if worker.Newer(heartbeat) {
				c.applyHeartbeat(machine, worker, heartbeat, c.cache.FencingToken(machine), true)
				c.requestCycle()
				// What it shows to run on after a takeover may have been cancelled while nobody had it.
				c.terminateUnwanted(machine)
			}
			c.log.Debug("direct command", "machine", machine.Name, "status", status, "commands", len(cmd.Commands))
		})
	}()
}

// contactWorkers shows this controller to the workers of machines that it has taken over, a few
// at a time: their replies tell what is on the machines.
func (c *Controller) contactWorkers() {
	for len(c.workers.uncontacted) > 0 && c.workers.directCommands < maxDirectCommands {
		m := c.workers.uncontacted[0]
		c.workers.uncontacted = c.workers.uncontacted[1:]
		if v := c.workers.states[m.Index]; v != nil && v.Incarnation == 0 && !m.Gone && c.ownsShard(m.Shard) {
			c.sendDirect(m, true)
		}
	}
}

// terminateJob sends stops to the machines that a job's tasks are placed on.
func (c *Controller) terminateJob(j *storage.Job) {
	if j.PlacedCount == 0 {
		return
	}
	for _, i := range j.MachineOf {
		if i != storage.Nowhere {
			c.terminateUnwanted(c.cache.Machines[i])
		}
	}
}

// terminateUnwanted sends stops of cancelled and evicted tasks without waiting for a heartbeat.
func (c *Controller) terminateUnwanted(machine *storage.Machine) {
	if machine.Gone || len(machine.Tasks) == 0 || !c.ownsShard(machine.Shard) {
		return
	}
	v := c.workerState(machine)
	for _, p := range machine.Tasks {
		if w := c.desiredState(machine, v, p); w.Stop {
			if s, ok := v.Seen[dispatch.RefOf(p)]; ok && s.State != protocol.TaskExited &&
				(s.State != protocol.TaskCheckpointing || w.Grace == 0) {
				c.sendDirect(machine, false)
				return
			}
		}
	}
}
