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

func (c *Controller) handleHeartbeat(ctx context.Context, r *protocol.Heartbeat, reply func(int, any)) {
	if !c.loaded {
		if a, ok := c.renewUnverified(r, time.Now()); ok {
			c.answerRenewal(r.Machine, a, reply)
		} else {
			reply(503, errNotOwner)
		}
		return
	}
	m := c.cache.Machine(r.Machine)
	if m == nil {
		c.handleUnrecorded(ctx, r, reply)
		return
	}
	if !c.ownsShard(m.Shard) {
		if c.renewsAsProxy(m, time.Now()) && r.FencingToken <= c.cache.FencingToken(m) {
			// The lease goes on, under the token of the records.
			c.answerRenewal(m.Name, protocol.HeartbeatResponse{FencingToken: c.cache.FencingToken(m), Commands: c.killCommands(m)}, reply)
		} else if s := &c.cache.Shards[m.Shard]; s.Version > 0 && s.Member != c.cfg.MemberName {
			reply(421, protocol.Redirect{Member: s.Member})
		} else {
			reply(503, errNotOwner)
		}
		return
	}
	token := c.cache.FencingToken(m)
	v := c.workerState(m)
	if r.FencingToken > token {
		c.raiseFencingToken(m, v, r.FencingToken)
		reply(421, protocol.Redirect{})
		return
	}
	if !v.Newer(r) {
		c.log.Debug("old report dropped", "machine", m.Name, "watch", r.Incarnation, "tally", r.Seq)
		reply(503, errNotOwner)
		return
	}
	c.applyHeartbeat(m, v, r, token, false)
	c.requestCycle()
	h := heldReply{machine: m.Name, heartbeat: r, until: time.Now().Add(c.timing.HeartbeatReplyWait), reply: reply}
	if c.storeFailing() || len(c.heldReplies) > 1000 || !c.awaitsCommands(m, v) {
		c.answerHeartbeat(h)
		return
	}
	c.heldReplies = append(c.heldReplies, h)
}

// raiseFencingToken deals with a worker that has seen a higher token than its machine's record has.
// Mostly somebody holds a newer right to command it, and this controller's cache is behind: then what
// it commits fails. But a group may have moved under a token older than that of the shard's new owner,
// who had shown it to the worker just before; then nobody could command the machine any more, its
// tasks stayed in the record and their jobs running for ever. So the record's is raised above it.
// Every token was committed, so none is above the revision that a cache in time has come to: one
// that is makes no sense, or not yet.
func (c *Controller) raiseFencingToken(m *storage.Machine, v *workerState, token uint64) {
	if token <= c.highestRevision {
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
	if c.waitingByShard[m.Shard] == 0 || !c.usable(m, v, v.heard) {
		return false
	}
	free := c.cache.Types[m.Type].Cpus
	for _, p := range m.Tasks {
		free -= p.Job.Size
	}
	return free > 0.05*c.cache.Types[m.Type].Cpus
}

// storeFailing tells whether answers should not wait for a commit.
func (c *Controller) storeFailing() bool {
	return !c.storeFailingSince.IsZero() && time.Since(c.storeFailingSince) > time.Second
}

// applyHeartbeat takes a worker's message.
func (c *Controller) applyHeartbeat(m *storage.Machine, v *workerState, r *protocol.Heartbeat, token uint64, reply bool) {
	now := time.Now()
	c.noteUnresponsive(m, v, r, reply, now)
	if v.Incarnation != r.Incarnation && v.Incarnation != 0 {
		c.log.Info("new session", "machine", m.Name, "watch", r.Incarnation, "tasks", len(m.Tasks))
		v.images = nil
	}
	known := make(map[dispatch.Ref]bool, len(v.Gone))
	for ref := range v.Gone {
		known[ref] = true
	}
	v.ApplyHeartbeat(m, r, token, reply, c.cache.Job)
	v.heard, v.missedProbes = now, 0
	c.anyWorkerHeardAt = now
	c.hearZone(m.Zone, now)
	if r.Addr != "" {
		m.Addr = r.Addr
	}
	if r.PreemptionNoticeS != nil {
		at := now.Add(seconds(*r.PreemptionNoticeS))
		if v.preemptedAt.IsZero() {
			c.log.Info("machine will be taken", "machine", m.Name, "in_s", *r.PreemptionNoticeS)
		}
		v.preemptedAt = at
	} else {
		v.preemptedAt = time.Time{}
	}
	for ref, s := range v.Seen {
		if s.State == protocol.TaskRunning || s.State == protocol.TaskCheckpointing {
			if _, ok := v.started[ref]; !ok {
				v.started[ref] = now
				c.noteReplica(m, ref, now)
			}
			v.images = storage.UseImage(v.images, ref.Job.Image)
			c.noteSteady(v, ref.Job, now.Sub(v.started[ref]))
		}
	}
	for ref, out := range v.Gone {
		if !known[ref] {
			c.noteOutcome(m, v, ref, out, now)
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
		if took := now.Unix() - p.PlacedAt; dispatch.RefOf(p) == ref && now.Sub(c.ownershipSince) > seconds(float64(took)) {
			c.log.Info("replica runs", "job", ref.Job.ID, "task", ref.Task, "machine", m.Name, "waited", p.WaitedS, "fetched", took,
				"gb", ref.Job.ImageGB, "age", now.Sub(ref.Job.ReadyAt).Round(100*time.Millisecond).Seconds())
		}
	}
}

// noteOutcome draws conclusions from an attempt's end about its machine and job.
func (c *Controller) noteOutcome(m *storage.Machine, v *workerState, ref dispatch.Ref, out dispatch.Outcome, now time.Time) {
	jv := c.jobState(ref.Job)
	c.countOutcome(v, ref, out, now)
	if out != dispatch.Completed {
		jv.requeuedAt[ref.Task] = now
	}
	if out == dispatch.Stopped {
		jv.terminatedTasks++
	}
	switch out {
	case dispatch.Completed:
		c.noteSuccess(v, ref.Job)
		if at, ok := v.started[ref]; ok && ref.Job.Estimate > 1 {
			ratio := now.Sub(at).Seconds() / ref.Job.Estimate
			v.slowdown += 0.2 * (min(ratio, 5) - v.slowdown)
		}
	case dispatch.Failed:
		c.log.Debug("task failed", "machine", m.Name, "job", ref.Job.ID, "task", ref.Task)
		c.noteFailure(m, v, ref.Job, now)
	case dispatch.Refused:
		c.log.Info("start refused", "machine", m.Name, "job", ref.Job.ID, "task", ref.Task, "cause", v.Seen[ref].Cause)
		jv.backoff = maxTime(jv.backoff, now.Add(300*time.Millisecond))
	case dispatch.Lost:
		c.log.Info("task lost", "machine", m.Name, "job", ref.Job.ID, "task", ref.Task)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// desiredState is what this owner wants of a placed attempt.
func (c *Controller) desiredState(m *storage.Machine, v *workerState, p storage.PlacedTask) dispatch.DesiredState {
	j := p.Job
	grace := 0.0
	if j.CheckpointInterval > 0 {
		grace = j.CheckpointCost + checkpointMargin
	}
	switch {
	case c.finished(j):
		return dispatch.DesiredState{Stop: true}
	case c.cache.IsVictim(p):
		// Saving little takes as long as what it keeps, and the room is wanted now. One
		// that is saving already goes on.
		ref := dispatch.RefOf(p)
		if at, ok := v.started[ref]; ok && j.CheckpointInterval > 0 && v.Seen[ref].State == protocol.TaskRunning &&
			math.Mod(time.Since(at).Seconds(), j.CheckpointInterval) < j.CheckpointInterval/3 {
			grace = 0
		}
		return dispatch.DesiredState{Stop: true, Grace: grace}
	case m.Draining && j.CheckpointInterval > 0 && c.leavesDrained(m, v, p, time.Now()):
		return dispatch.DesiredState{Stop: true, Grace: grace}
	case m.Draining && c.jobStates[j] != nil && c.jobStates[j].relocating == dispatch.RefOf(p):
		return dispatch.DesiredState{Stop: true}
	case !v.preemptedAt.IsZero() && j.CheckpointInterval > 0 && time.Until(v.preemptedAt) < seconds(grace+c.cfg.Deployment.Workers.HeartbeatS+1):
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
func (c *Controller) answerHeartbeat(h heldReply) {
	m := c.cache.Machine(h.machine)
	if m == nil {
		h.reply(503, errNotOwner)
		return
	}
	if !c.ownsShard(m.Shard) {
		h.reply(421, protocol.Redirect{Member: c.cache.Shards[m.Shard].Member})
		return
	}
	v := c.workerState(m)
	out := protocol.HeartbeatResponse{FencingToken: c.cache.FencingToken(m)}
	// Commands only answer the latest report of a session that still is.
	if v.Incarnation == h.heartbeat.Incarnation && v.HeartbeatSeq == h.heartbeat.Seq {
		out.Commands = c.commands(m, v, true)
	}
	if out.Commands == nil {
		out.Commands = []protocol.Command{}
	}
	c.answerRenewal(m.Name, out, h.reply)
}

// flushHeldReplies answers the heartbeats that waited for a commit.
func (c *Controller) flushHeldReplies(now time.Time, all bool) {
	keep := c.heldReplies[:0]
	for _, h := range c.heldReplies {
		if all || !now.Before(h.until) {
			c.answerHeartbeat(h)
		} else {
			keep = append(keep, h)
		}
	}
	clear(c.heldReplies[len(keep):])
	c.heldReplies = keep
}

// handleUnrecorded deals with a machine that has no record: the leader takes it in.
func (c *Controller) handleUnrecorded(ctx context.Context, r *protocol.Heartbeat, reply func(int, any)) {
	if c.cache.MachineSeen(r.Machine) {
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
	if c.cache.TypeIndex.Find(r.Type) < 0 || len(c.leader.pendingMachines) > maxPendingEnrollments {
		reply(503, errNotOwner)
		return
	}
	// Its token must be above all that the worker has seen.
	c.enrollMachine(ctx, &pendingMachine{name: r.Machine, addr: r.Addr, fleet: storage.FleetRecord{FencingToken: r.FencingToken + 1, Type: r.Type,
		Zone: r.Zone, Spot: r.Spot, ProvisionedAt: time.Now().Unix()}, done: func(ok bool) {
		if ok && c.cache.Machine(r.Machine) != nil {
			c.handleHeartbeat(ctx, r, reply)
		} else {
			reply(503, errNotOwner)
		}
	}})
}

// sendDirect sends what the record wants straight to a worker, if there is anything.
func (c *Controller) sendDirect(m *storage.Machine, empty bool) {
	v := c.workerState(m)
	if v.DirectInFlight || m.Addr == "" || c.directCommands >= maxDirectCommands || (v.Incarnation == 0 && m.Incarnation == 0) {
		return
	}
	token := c.cache.FencingToken(m)
	cmd := protocol.DirectCommands{FencingToken: token, Incarnation: max(v.Incarnation, m.Incarnation), Commands: []protocol.Command{}}
	if v.Incarnation != 0 {
		cmd.Commands = append(cmd.Commands, c.commands(m, v, false)...)
	}
	if len(cmd.Commands) == 0 && !empty {
		return
	}
	launches := slices.ContainsFunc(cmd.Commands, func(o protocol.Command) bool { return o.Op == protocol.OpLaunch })
	v.DirectInFlight = true
	c.directCommands++
	addr := m.Addr
	timeout := 2 * time.Second
	if len(cmd.Commands) == 0 {
		timeout = directProbeTimeout
	}
	go func() {
		r, status, err := c.workers.Command(addr, cmd, timeout)
		c.post(func() {
			c.directCommands--
			v.DirectInFlight = false
			c.contactWorkers()
			if c.workerStates[m.Index] != v || !c.ownsShard(m.Shard) || m.Gone {
				return // this ownership has ended
			}
			if err != nil {
				c.log.Debug("direct command failed", "machine", m.Name, "err", err)
				v.missedProbes++
				c.zoneState(m.Zone).missedProbes++
				if launches && !errors.Is(err, protocol.ErrRefused) {
					v.Uncertain = max(v.Uncertain, token)
				}
				c.requestCycle()
				return
			}
			if r.Machine != m.Name {
				return
			}
			if r.FencingToken > c.cache.FencingToken(m) {
				c.raiseFencingToken(m, v, r.FencingToken)
				return
			}
			if v.Newer(r) {
				c.applyHeartbeat(m, v, r, c.cache.FencingToken(m), true)
				c.requestCycle()
				// What it shows to run on after a takeover may have been cancelled while nobody had it.
				c.terminateUnwanted(m)
			}
			c.log.Debug("direct command", "machine", m.Name, "status", status, "commands", len(cmd.Commands))
		})
	}()
}

// contactWorkers shows this controller to the workers of machines that it has taken over, a few
// at a time: their replies tell what is on the machines.
func (c *Controller) contactWorkers() {
	for len(c.uncontacted) > 0 && c.directCommands < maxDirectCommands {
		m := c.uncontacted[0]
		c.uncontacted = c.uncontacted[1:]
		if v := c.workerStates[m.Index]; v != nil && v.Incarnation == 0 && !m.Gone && c.ownsShard(m.Shard) {
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
func (c *Controller) terminateUnwanted(m *storage.Machine) {
	if m.Gone || len(m.Tasks) == 0 || !c.ownsShard(m.Shard) {
		return
	}
	v := c.workerState(m)
	for _, p := range m.Tasks {
		if w := c.desiredState(m, v, p); w.Stop {
			if s, ok := v.Seen[dispatch.RefOf(p)]; ok && s.State != protocol.TaskExited &&
				(s.State != protocol.TaskCheckpointing || w.Grace == 0) {
				c.sendDirect(m, false)
				return
			}
		}
	}
}
