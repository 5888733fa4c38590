package coordination

import (
	"context"
	"errors"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
	"dykeledge/internal/coordination/dispatch"
	"dykeledge/internal/protocol"
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
		reply(503, notMine)
		return
	}
	m := c.book.Machine(r.Machine)
	if m == nil {
		c.onStranger(ctx, r, reply)
		return
	}
	if !c.owns(m.Share) {
		if s := &c.book.Shares[m.Share]; s.Version > 0 && s.Node != c.cfg.NodeName {
			reply(421, protocol.Redirect{Node: s.Node})
		} else {
			reply(503, notMine)
		}
		return
	}
	token := c.book.Token(m)
	if r.Token > token {
		// Somebody holds a newer right to command it: this node's book is behind.
		reply(421, protocol.Redirect{})
		return
	}
	v := c.view(m)
	if !v.Newer(r) {
		c.log.Debug("old report dropped", "machine", m.Name, "watch", r.Session, "tally", r.Seq)
		reply(503, notMine)
		return
	}
	c.takeReport(m, v, r, token, false)
	c.kick()
	h := heldReply{machine: m.Name, report: r, until: time.Now().Add(c.times.ReplyWait), reply: reply}
	if c.stateBad() || len(c.held) > 1000 || !c.gains(m, v) {
		c.answer(h)
		return
	}
	c.held = append(c.held, h)
}

// gains tells whether a commit is likely to bring commands for a machine. A worker
// has one report in flight at a time: what waits for nothing delays its next one.
func (c *Controller) gains(m *bookkeeping.Machine, v *machineView) bool {
	if len(v.Gone) > 0 {
		return true
	}
	if c.waiting[m.Share] == 0 || !c.usable(m, v, v.heard) {
		return false
	}
	free := c.book.Types[m.Type].Cpus
	for _, p := range m.Tasks {
		free -= p.Job.Cpus
	}
	return free > 0.05*c.book.Types[m.Type].Cpus
}

// stateBad tells whether answers should not wait for a commit.
func (c *Controller) stateBad() bool {
	return !c.badSince.IsZero() && time.Since(c.badSince) > time.Second
}

// takeReport takes a worker's message.
func (c *Controller) takeReport(m *bookkeeping.Machine, v *machineView, r *protocol.Report, token uint64, reply bool) {
	now := time.Now()
	if v.Session != r.Session && v.Session != 0 {
		c.log.Info("new session", "machine", m.Name, "watch", r.Session, "tasks", len(m.Tasks))
		v.images = nil
	}
	known := make(map[dispatch.Ref]bool, len(v.Gone))
	for ref := range v.Gone {
		known[ref] = true
	}
	v.Take(m, r, token, reply, c.book.Job)
	v.heard, v.probes = now, 0
	c.heardAny = now
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
			}
			v.useImage(ref.Job)
			c.noteSteady(v, ref.Job, now.Sub(v.started[ref]))
		}
	}
	for ref, out := range v.Gone {
		if !known[ref] {
			c.noteOutcome(m, v, ref, out, now)
		}
	}
}

// useImage notes which images the machine has, the most recently used last.
func (v *machineView) useImage(j *bookkeeping.Job) {
	if n := len(v.images); n > 0 && v.images[n-1] == j.Image {
		return
	}
	if i := slices.Index(v.images, j.Image); i >= 0 {
		v.images = slices.Delete(v.images, i, i+1)
	}
	v.images = append(v.images, j.Image)
	if n := len(v.images); n > 64 {
		v.images = v.images[n-64:]
	}
}

// noteOutcome draws conclusions from an attempt's end about its machine and job.
func (c *Controller) noteOutcome(m *bookkeeping.Machine, v *machineView, ref dispatch.Ref, out dispatch.Outcome, now time.Time) {
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
func (c *Controller) wish(m *bookkeeping.Machine, v *machineView, p bookkeeping.Placed) dispatch.Wish {
	j := p.Job
	grace := 0.0
	if j.Mark > 0 {
		grace = j.Save + saveMargin
	}
	switch {
	case !j.Open():
		return dispatch.Wish{Stop: true}
	case c.book.Victim(p):
		return dispatch.Wish{Stop: true, Grace: grace}
	case m.Drains && j.Mark > 0:
		return dispatch.Wish{Stop: true, Grace: grace}
	case !v.notice.IsZero() && j.Mark > 0 && time.Until(v.notice) < seconds(grace+c.cfg.Deployment.Workers.ReportS+1):
		return dispatch.Wish{Stop: true, Grace: grace}
	}
	return dispatch.Wish{}
}

func (c *Controller) commands(m *bookkeeping.Machine, v *machineView, answer bool) []protocol.Command {
	unsent := len(v.Gone)
	cmds := v.Commands(m, c.book.Token(m), func(p bookkeeping.Placed) dispatch.Wish { return c.wish(m, v, p) }, answer, maxCommands)
	if len(v.Gone) > unsent {
		c.kick()
	}
	return cmds
}

// answer answers a report with what the record holds now.
func (c *Controller) answer(h heldReply) {
	m := c.book.Machine(h.machine)
	if m == nil {
		h.reply(503, notMine)
		return
	}
	if !c.owns(m.Share) {
		h.reply(421, protocol.Redirect{Node: c.book.Shares[m.Share].Node})
		return
	}
	v := c.view(m)
	out := protocol.ReportAnswer{Token: c.book.Token(m)}
	// Commands only answer the latest report of a session that still is.
	if v.Session == h.report.Session && v.ReportSeq == h.report.Seq {
		out.Commands = c.commands(m, v, true)
	}
	if out.Commands == nil {
		out.Commands = []protocol.Command{}
	}
	h.reply(200, out)
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
	if c.book.Known(r.Machine) {
		reply(503, notMine) // it is gone and the report late, or its rack is not read yet
		return
	}
	if !c.leads() {
		if l := c.book.Leader; l.Version > 0 && l.Node != c.cfg.NodeName {
			reply(421, protocol.Redirect{Node: l.Node})
		} else {
			reply(503, notMine)
		}
		return
	}
	if c.book.TypeIdx.Find(r.Type) < 0 || len(c.lead.newcomers) > maxAdopting {
		reply(503, notMine)
		return
	}
	// Its token must be above all that the worker has seen.
	c.adopt(ctx, &newcomer{name: r.Machine, addr: r.Addr, kind: bookkeeping.FleetRecord{Token: r.Token + 1, Type: r.Type,
		Zone: r.Zone, Spot: r.Spot, RentedAt: time.Now().Unix()}, then: func(ok bool) {
		if ok && c.book.Machine(r.Machine) != nil {
			c.onReport(ctx, r, reply)
		} else {
			reply(503, notMine)
		}
	}})
}

// direct sends what the record wants straight to a worker, if there is anything.
func (c *Controller) direct(m *bookkeeping.Machine, empty bool) {
	v := c.view(m)
	if v.Direct || m.Addr == "" || c.directs >= maxDirects || (v.Session == 0 && m.Session == 0) {
		return
	}
	token := c.book.Token(m)
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
			if c.views[m.Index] != v || !c.owns(m.Share) || m.Gone {
				return // this ownership has ended
			}
			if err != nil {
				c.log.Debug("direct command failed", "machine", m.Name, "err", err)
				v.probes++
				if launches && !errors.Is(err, protocol.ErrRefused) {
					v.Uncertain = max(v.Uncertain, token)
				}
				c.kick()
				return
			}
			if r.Machine != m.Name || r.Token > c.book.Token(m) {
				return
			}
			if v.Newer(r) {
				c.takeReport(m, v, r, c.book.Token(m), true)
				c.kick()
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
		if v := c.views[m.Index]; v != nil && v.Session == 0 && !m.Gone && c.owns(m.Share) {
			c.direct(m, true)
		}
	}
}

// nudgeStop sends stops of cancelled and evicted tasks without waiting for a report.
func (c *Controller) nudgeStop(m *bookkeeping.Machine) {
	if m.Gone || len(m.Tasks) == 0 || !c.owns(m.Share) {
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

// watchMachines looks for machines that are silent, sick or taken, and returns them.
func (c *Controller) watchMachines(ctx context.Context, now time.Time) {
	w := c.cfg.Deployment.Workers
	// A worker reports every ReportS, give or take a quarter. A dead machine's work
	// waits until two probes have got no answer and the cloud has taken it back.
	quiet := seconds(1.25*w.ReportS + 0.6)
	silent, total := 0, 0
	for _, m := range c.book.Machines {
		if m.Gone || !c.owns(m.Share) {
			continue
		}
		v := c.view(m)
		if v.Session == 0 && m.Session == 0 {
			continue
		}
		total++
		if c.silentFor(v.heard, now) > quiet {
			silent++
			c.direct(m, true) // a probe that also shows the worker the present token
		}
	}
	// Many silent machines at once speak for a fault on this side.
	suspectSelf := silent >= 3 && silent*10 > total*4
	var names []string
	for _, m := range c.book.Machines {
		if m.Gone || !c.owns(m.Share) {
			continue
		}
		v := c.view(m)
		if len(m.Tasks) > 0 {
			v.idle = time.Time{}
		} else if v.idle.IsZero() {
			v.idle = now
		}
		if m.Closing {
			if !v.returned {
				names = append(names, m.Name)
			}
			continue
		}
		c.judge(m, v, now)
		var why string
		limit := max(seconds(2*w.ReportS+0.5), 4*time.Second)
		if suspectSelf {
			limit = seconds(3 * w.LeaseS)
		}
		boot := c.book.Types[m.Type].Boot
		switch {
		case m.Drains && len(m.Tasks) == 0:
			why = "drained"
		case (v.sick || m.Sick) && len(m.Tasks) == 0, v.sick && len(v.failed) > 1:
			why = "sick"
		case v.Session == 0 && m.Session == 0 && bootAge(m, v, now) > seconds(bootPatience*max(boot, 10)) && c.silentFor(v.since, now) > 5*time.Second:
			why = "never came up"
		case (v.Session != 0 || m.Session != 0) && c.silentFor(v.heard, now) > limit && now.Sub(v.since) > limit && v.probes >= 2:
			why = "silent"
		}
		if why != "" {
			c.closeMachine(m, why)
		}
	}
	c.returnMachines(ctx, names)
}

// bootPatience is how many times its usual boot time a machine may take before it
// is given up: most are up after 1.5 times, and one that never comes up costs money
// and takes the place of another until it is returned.
const bootPatience = 2.2

// bootAge is how long ago a machine was rented, whoever owned it since.
func bootAge(m *bookkeeping.Machine, v *machineView, now time.Time) time.Duration {
	if m.Rented > 0 {
		return now.Sub(time.Unix(m.Rented, 0))
	}
	return now.Sub(v.since)
}

// edit is what should change of a machine's record, tasks aside. Its owner does so
// with its next transaction, the leader on its own for machines of other owners.
type edit struct {
	closing bool
	drain   *bool
}

// off tells whether nothing more may be placed on the machine.
func (e *edit) off() bool { return e != nil && (e.closing || e.drain != nil && *e.drain) }

func (e *edit) differs(m *bookkeeping.Machine) bool {
	return (e.closing && !m.Closing) || (e.drain != nil && *e.drain != m.Drains)
}

func (c *Controller) edit(m *bookkeeping.Machine) *edit {
	e := c.edits[m.Index]
	if e == nil {
		e = &edit{}
		c.edits[m.Index] = e
		c.kick()
	}
	return e
}

// closeMachine marks a machine as being returned.
func (c *Controller) closeMachine(m *bookkeeping.Machine, why string) {
	if c.stateBad() || c.edits[m.Index] != nil && c.edits[m.Index].closing {
		return
	}
	c.log.Info("returning machine", "machine", m.Name, "why", why, "tasks", len(m.Tasks))
	c.edit(m).closing = true
}

// setDraining marks a machine to be emptied, or gives it back to use.
func (c *Controller) setDraining(m *bookkeeping.Machine, on bool) {
	c.log.Info("draining machine", "machine", m.Name, "on", on, "tasks", len(m.Tasks))
	c.edit(m).drain = &on
}

// flushEdits forgets edits that are done or of no concern to this node, and as
// the leader commits those of other owners' machines.
func (c *Controller) flushEdits(ctx context.Context) {
	racks := map[*bookkeeping.Rack]bool{}
	for i, e := range c.edits {
		m := c.book.Machines[i]
		switch {
		case m.Gone || !e.differs(m):
			delete(c.edits, i)
		case c.owns(m.Share): // goes with the next transaction
		case !c.leads():
			delete(c.edits, i)
		default:
			racks[m.Rack] = true
		}
	}
	if len(racks) == 0 || c.lead.editing {
		return
	}
	t := protocol.Txn{If: []protocol.Condition{{Key: bookkeeping.LeaderKey, Version: c.book.Leader.Version}}}
	var done []int32
	for k := range racks {
		if len(t.Then) >= c.cfg.Deployment.State.TxnOps/2 {
			break
		}
		r := c.book.RackRecordOf(k, k.Kept(), func(m *bookkeeping.Machine) (bookkeeping.RackMachine, bool) {
			x := c.book.RackMachineOf(m, m.Tasks)
			if e := c.edits[m.Index]; e != nil {
				e.change(&x)
				done = append(done, m.Index)
			}
			return x, true
		})
		key := bookkeeping.RackKey(k.ID)
		t.If = append(t.If, protocol.Condition{Key: key, Version: k.Version})
		t.Then = append(t.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(r)})
	}
	c.lead.editing = true
	c.commitAside(ctx, t, protocol.Background, func(bool) {
		c.lead.editing = false
		for _, i := range done {
			delete(c.edits, i) // what still has to change is found again
		}
	})
}

func (e *edit) change(x *bookkeeping.RackMachine) {
	x.Closing = x.Closing || e.closing
	if e.drain != nil {
		x.Draining = *e.drain
	}
}

// returnMachines asks the cloud to take machines back. Its 200 is the proof that
// they are gone with all that is on them; the cycle then drops their records.
func (c *Controller) returnMachines(ctx context.Context, names []string) {
	if len(names) == 0 || c.lead.returning {
		return
	}
	names = names[:min(len(names), protocol.MaxReturn)]
	c.lead.returning = true
	go func() {
		err := c.cloud.Return(ctx, names)
		c.post(func() {
			c.lead.returning = false
			if err != nil {
				c.log.Info("return failed", "machines", len(names), "err", err)
				return
			}
			now := time.Now()
			for _, n := range names {
				m := c.book.Machine(n)
				if m == nil || !c.owns(m.Share) {
					continue
				}
				v := c.view(m)
				v.returned = true
				for _, p := range m.Tasks {
					ref := dispatch.RefOf(p)
					if _, ok := v.Gone[ref]; !ok {
						v.Gone[ref] = dispatch.Lost
						c.noteOutcome(m, v, ref, dispatch.Lost, now)
					}
				}
			}
			c.kick()
		})
	}()
}
