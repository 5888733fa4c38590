package coordination

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"dykeledge/internal/coordination/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	maxCommands = 200 // in one answer
	maxDirects  = 48  // direct commands at a time
	saveMargin  = 2.0 // seconds of grace beyond what a task needs to save
	maxAdopting = 1024
	probeWithin = 1200 * time.Millisecond
)

// Beat answers a worker's report: reply is called once, from the core.
func (c *Controller) Beat(ctx context.Context, r *protocol.Report, reply func(int, any)) {
	began := time.Now()
	c.post(func() {
		c.onReport(ctx, r, func(status int, body any) {
			c.metrics.reports.Observe(time.Since(began).Seconds())
			reply(status, body)
		})
	})
}

var notMine = protocol.Refusal{Error: "not entitled to command this machine"}

func (c *Controller) onReport(ctx context.Context, r *protocol.Report, reply func(int, any)) {
	if !c.loaded {
		if a, ok := c.blindly(r, time.Now()); ok {
			c.renew(r.Machine, a, reply)
		} else {
			reply(503, notMine)
		}
		return
	}
	m := c.cache.Machine(r.Machine)
	if m == nil {
		c.onStranger(ctx, r, reply)
		return
	}
	if !c.ownsShard(m.Shard) {
		if c.standsIn(m, time.Now()) && r.Token <= c.cache.Token(m) {
			// The lease goes on, under the token of the records.
			c.renew(m.Name, protocol.ReportAnswer{Token: c.cache.Token(m), Commands: c.stops(m)}, reply)
		} else if s := &c.cache.Shards[m.Shard]; s.Version > 0 && s.Member != c.cfg.MemberName {
			reply(421, protocol.Redirect{Member: s.Member})
		} else {
			reply(503, notMine)
		}
		return
	}
	token := c.cache.Token(m)
	v := c.view(m)
	if r.Token > token {
		c.overtaken(m, v, r.Token)
		reply(421, protocol.Redirect{})
		return
	}
	if !v.Newer(r) {
		c.log.Debug("old report dropped", "machine", m.Name, "watch", r.Session, "tally", r.Seq)
		reply(503, notMine)
		return
	}
	c.takeReport(m, v, r, token, false)
	c.kick()
	h := heldReply{machine: m.Name, report: r, until: time.Now().Add(c.timing.HeartbeatReplyWait), reply: reply}
	if c.storeFailing() || len(c.held) > 1000 || !c.gains(m, v) {
		c.answer(h)
		return
	}
	c.held = append(c.held, h)
}

// overtaken deals with a worker that has seen a higher token than its machine's record has.
// Mostly somebody holds a newer right to command it, and this node's cache is behind: then what
// it commits fails. But a rack may have moved under a token older than that of the share's new owner,
// who had shown it to the worker just before; then nobody could command the machine any more, its
// tasks stayed in the record and their jobs running for ever. So the record's is raised above it.
// Every token was committed, so none is above the revision that a cache in time has come to: one
// that is makes no sense, or not yet.
func (c *Controller) overtaken(m *storage.Machine, v *machineView, token uint64) {
	if token <= c.highestRevision {
		v.Uncertain = max(v.Uncertain, token)
		c.kick()
	}
}

// gains tells whether a commit is likely to bring commands for a machine. A worker
// has one report in flight at a time: what waits for nothing delays its next one.
func (c *Controller) gains(m *storage.Machine, v *machineView) bool {
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

// takeReport takes a worker's message.
func (c *Controller) takeReport(m *storage.Machine, v *machineView, r *protocol.Report, token uint64, reply bool) {
	now := time.Now()
	c.noteMute(m, v, r, reply, now)
	if v.Session != r.Session && v.Session != 0 {
		c.log.Info("new session", "machine", m.Name, "watch", r.Session, "tasks", len(m.Tasks))
		v.images = nil
	}
	known := make(map[dispatch.Ref]bool, len(v.Gone))
	for ref := range v.Gone {
		known[ref] = true
	}
	v.Take(m, r, token, reply, c.cache.Job)
	v.heard, v.probes = now, 0
	c.heardAny = now
	c.hearZone(m.Zone, now)
	if r.Addr != "" {
		m.Addr = r.Addr
	}
	if r.NoticeS != nil {
		at := now.Add(seconds(*r.NoticeS))
		if v.notice.IsZero() {
			c.log.Info("machine will be taken", "machine", m.Name, "in_s", *r.NoticeS)
		}
		v.notice = at
	} else {
		v.notice = time.Time{}
	}
	for ref, s := range v.Seen {
		if s.State == protocol.Runs || s.State == protocol.Saving {
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
		if took := now.Unix() - p.At; dispatch.RefOf(p) == ref && now.Sub(c.ownershipSince) > seconds(float64(took)) {
			c.log.Info("replica runs", "job", ref.Job.ID, "task", ref.Task, "machine", m.Name, "waited", p.Waited, "fetched", took,
				"gb", ref.Job.ImageGB, "age", now.Sub(ref.Job.At).Round(100*time.Millisecond).Seconds())
		}
	}
}

// noteOutcome draws conclusions from an attempt's end about its machine and job.
func (c *Controller) noteOutcome(m *storage.Machine, v *machineView, ref dispatch.Ref, out dispatch.Outcome, now time.Time) {
	jv := c.jobView(ref.Job)
	c.countOutcome(v, ref, out, now)
	if out != dispatch.Completed {
		jv.queued[ref.Task] = now
	}
	if out == dispatch.Stopped {
		jv.victim++
	}
	switch out {
	case dispatch.Completed:
		c.noteSuccess(v, ref.Job)
		if at, ok := v.started[ref]; ok && ref.Job.Estimate > 1 {
			ratio := now.Sub(at).Seconds() / ref.Job.Estimate
			v.speed += 0.2 * (min(ratio, 5) - v.speed)
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

// wish is what this owner wants of a placed attempt.
func (c *Controller) wish(m *storage.Machine, v *machineView, p storage.Placed) dispatch.Wish {
	j := p.Job
	grace := 0.0
	if j.Mark > 0 {
		grace = j.Save + saveMargin
	}
	switch {
	case c.over(j):
		return dispatch.Wish{Stop: true}
	case c.cache.Victim(p):
		// Saving little takes as long as what it keeps, and the room is wanted now. One
		// that is saving already goes on.
		ref := dispatch.RefOf(p)
		if at, ok := v.started[ref]; ok && j.Mark > 0 && v.Seen[ref].State == protocol.Runs &&
			math.Mod(time.Since(at).Seconds(), j.Mark) < j.Mark/3 {
			grace = 0
		}
		return dispatch.Wish{Stop: true, Grace: grace}
	case m.Drains && j.Mark > 0 && c.leaves(m, v, p, time.Now()):
		return dispatch.Wish{Stop: true, Grace: grace}
	case m.Drains && c.jobs[j] != nil && c.jobs[j].moving == dispatch.RefOf(p):
		return dispatch.Wish{Stop: true}
	case !v.notice.IsZero() && j.Mark > 0 && time.Until(v.notice) < seconds(grace+c.cfg.Deployment.Workers.ReportS+1):
		return dispatch.Wish{Stop: true, Grace: grace}
	}
	return dispatch.Wish{}
}

func (c *Controller) commands(m *storage.Machine, v *machineView, answer bool) []protocol.Command {
	unsent := len(v.Gone)
	cmds := v.Commands(m, c.cache.Token(m), func(p storage.Placed) dispatch.Wish { return c.wish(m, v, p) }, answer, maxCommands)
	if len(v.Gone) > unsent {
		c.kick()
	}
	return cmds
}

// answer answers a report with what the record holds now.
func (c *Controller) answer(h heldReply) {
	m := c.cache.Machine(h.machine)
	if m == nil {
		h.reply(503, notMine)
		return
	}
	if !c.ownsShard(m.Shard) {
		h.reply(421, protocol.Redirect{Member: c.cache.Shards[m.Shard].Member})
		return
	}
	v := c.view(m)
	out := protocol.ReportAnswer{Token: c.cache.Token(m)}
	// Commands only answer the latest report of a session that still is.
	if v.Session == h.report.Session && v.ReportSeq == h.report.Seq {
		out.Commands = c.commands(m, v, true)
	}
	if out.Commands == nil {
		out.Commands = []protocol.Command{}
	}
	c.renew(m.Name, out, h.reply)
}

// flushHeld answers the reports that waited for a commit.
func (c *Controller) flushHeld(now time.Time, all bool) {
	keep := c.held[:0]
	for _, h := range c.held {
		if all || !now.Before(h.until) {
			c.answer(h)
		} else {
			keep = append(keep, h)
		}
	}
	clear(c.held[len(keep):])
	c.held = keep
}

// onStranger deals with a machine that has no record: the leader takes it in.
func (c *Controller) onStranger(ctx context.Context, r *protocol.Report, reply func(int, any)) {
	if c.cache.Known(r.Machine) {
		reply(503, notMine) // it is gone and the report late, or its rack is not read yet
		return
	}
	if !c.isLeader() {
		if l := c.cache.Leader; l.Version > 0 && l.Member != c.cfg.MemberName {
			reply(421, protocol.Redirect{Member: l.Member})
		} else {
			reply(503, notMine)
		}
		return
	}
	if c.cache.TypeIdx.Find(r.Type) < 0 || len(c.leader.newcomers) > maxAdopting {
		reply(503, notMine)
		return
	}
	// Its token must be above all that the worker has seen.
	c.adopt(ctx, &newcomer{name: r.Machine, addr: r.Addr, kind: storage.FleetRecord{Token: r.Token + 1, Type: r.Type,
		Zone: r.Zone, Spot: r.Spot, RentedAt: time.Now().Unix()}, then: func(ok bool) {
		if ok && c.cache.Machine(r.Machine) != nil {
			c.onReport(ctx, r, reply)
		} else {
			reply(503, notMine)
		}
	}})
}

// direct sends what the record wants straight to a worker, if there is anything.
func (c *Controller) direct(m *storage.Machine, empty bool) {
	v := c.view(m)
	if v.Direct || m.Addr == "" || c.directs >= maxDirects || (v.Session == 0 && m.Session == 0) {
		return
	}
	token := c.cache.Token(m)
	cmd := protocol.DirectCommands{Token: token, Session: max(v.Session, m.Session), Commands: []protocol.Command{}}
	if v.Session != 0 {
		cmd.Commands = append(cmd.Commands, c.commands(m, v, false)...)
	}
	if len(cmd.Commands) == 0 && !empty {
		return
	}
	launches := slices.ContainsFunc(cmd.Commands, func(o protocol.Command) bool { return o.Op == protocol.Launch })
	v.Direct = true
	c.directs++
	addr := m.Addr
	timeout := 2 * time.Second
	if len(cmd.Commands) == 0 {
		timeout = probeWithin
	}
	go func() {
		r, status, err := c.workers.Command(addr, cmd, timeout)
		c.post(func() {
			c.directs--
			v.Direct = false
			c.greet()
			if c.views[m.Index] != v || !c.ownsShard(m.Shard) || m.Gone {
				return // this ownership has ended
			}
			if err != nil {
				c.log.Debug("direct command failed", "machine", m.Name, "err", err)
				v.probes++
				c.zone(m.Zone).misses++
				if launches && !errors.Is(err, protocol.ErrRefused) {
					v.Uncertain = max(v.Uncertain, token)
				}
				c.kick()
				return
			}
			if r.Machine != m.Name {
				return
			}
			if r.Token > c.cache.Token(m) {
				c.overtaken(m, v, r.Token)
				return
			}
			if v.Newer(r) {
				c.takeReport(m, v, r, c.cache.Token(m), true)
				c.kick()
				// What it shows to run on after a takeover may have been cancelled while nobody had it.
				c.nudgeStop(m)
			}
			c.log.Debug("direct command", "machine", m.Name, "status", status, "commands", len(cmd.Commands))
		})
	}()
}

// greet shows this node to the workers of machines that it has taken over, a few
// at a time: their replies tell what is on the machines.
func (c *Controller) greet() {
	for len(c.toGreet) > 0 && c.directs < maxDirects {
		m := c.toGreet[0]
		c.toGreet = c.toGreet[1:]
		if v := c.views[m.Index]; v != nil && v.Session == 0 && !m.Gone && c.ownsShard(m.Shard) {
			c.direct(m, true)
		}
	}
}

// nudgeJob sends stops to the machines that a job's tasks are placed on.
func (c *Controller) nudgeJob(j *storage.Job) {
	if j.NPlaced == 0 {
		return
	}
	for _, i := range j.Machine {
		if i != storage.Nowhere {
			c.nudgeStop(c.cache.Machines[i])
		}
	}
}

// nudgeStop sends stops of cancelled and evicted tasks without waiting for a report.
func (c *Controller) nudgeStop(m *storage.Machine) {
	if m.Gone || len(m.Tasks) == 0 || !c.ownsShard(m.Shard) {
		return
	}
	v := c.view(m)
	for _, p := range m.Tasks {
		if w := c.wish(m, v, p); w.Stop {
			if s, ok := v.Seen[dispatch.RefOf(p)]; ok && s.State != protocol.Exited &&
				(s.State != protocol.Saving || w.Grace == 0) {
				c.direct(m, false)
				return
			}
		}
	}
}
