package coordination

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
	"dykeledge/internal/coordination/dispatch"
	"dykeledge/internal/coordination/schedule"
	"dykeledge/internal/protocol"
)

const (
	maxTxnBytes = 56 << 10
	maxPlace    = 400 // tasks placed in one pass
)

// batch is a transaction under construction.
type batch struct {
	conds map[string]uint64
	puts  map[string]protocol.Change
	bytes int
	order []string
}

func newBatch() *batch {
	return &batch{conds: map[string]uint64{}, puts: map[string]protocol.Change{}}
}

func (b *batch) when(key string, version uint64) { b.conds[key] = version }

func (b *batch) put(key string, version uint64, ch protocol.Change) {
	b.when(key, version)
	if _, ok := b.puts[key]; !ok {
		b.order = append(b.order, key)
	}
	b.puts[key] = ch
	b.bytes += len(key)*3 + len(ch.Value) + 80
}

func (b *batch) txn() protocol.Txn {
	var t protocol.Txn
	for key, v := range b.conds {
		t.If = append(t.If, protocol.Condition{Key: key, Version: v})
	}
	for _, key := range b.order {
		t.Then = append(t.Then, b.puts[key])
	}
	return t
}

// progress is how far a job gets with this batch.
type progress struct {
	done bookkeeping.Bitmap
	n    int
}

// cycle compares what the records hold with what the workers have shown and what
// should run, and commits the difference of this node's shares as one
// transaction. Only one is under way at a time; one whose outcome is unknown is
// repeated until it is known, since it might still be applied.
func (c *Controller) cycle(ctx context.Context) {
	c.dirty = false
	now := time.Now()
	if !c.loaded {
		return
	}
	if c.doubt != nil {
		c.send(ctx, *c.doubt)
		return
	}
	if c.book.Revision < c.waitRev {
		return // the follow brings what a refused transaction had missed
	}
	var t protocol.Txn
	more := false
	for ops := c.cfg.Deployment.State.TxnOps; ; ops /= 2 {
		b, m := c.plan(now, ops)
		t, more = b.txn(), m
		if b.bytes <= maxTxnBytes || ops < 4 {
			break
		}
	}
	if len(t.Then) == 0 {
		c.flushHeld(now, true)
		return
	}
	if more {
		c.dirty = true
	}
	c.send(ctx, t)
}

func (c *Controller) send(ctx context.Context, t protocol.Txn) {
	c.inflight = true
	go func() {
		tctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		rev, failed, err := c.state.Txn(tctx, t, false)
		cancel()
		c.post(func() { c.sent(t, rev, failed, err) })
	}()
}

func (c *Controller) sent(t protocol.Txn, rev uint64, failed []string, err error) {
	c.inflight = false
	now := time.Now()
	c.next = now.Add(c.times.Cycle)
	switch {
	case err == nil && len(failed) == 0:
		c.doubt = nil
		c.badSince, c.goodAt = time.Time{}, now
		c.applyTxn(t, rev)
		c.metrics.launches.Add(float64(c.planned))
		for _, j := range c.finishing {
			jv := c.jobView(j)
			c.log.Info("job is done", "job", j.ID, "class", c.book.Classes.Name(j.Class), "team", c.book.Teams[j.Team].Name,
				"share", j.Share, "tasks", j.Tasks, "estimate", j.Estimate, "due", j.Due.Seconds(), "after", now.Sub(j.At).Round(100*time.Millisecond).Seconds(),
				"began", jv.since(j, jv.began), "placed", jv.since(j, jv.full), "stopped", jv.victim)
		}
		c.changed()
		c.flushHeld(now, true)
		c.dispatchDirect(t)
	case err == nil:
		// Something changed under it: whatever it was, a late copy cannot apply any more.
		c.log.Debug("commit conflicts", "keys", failed)
		c.doubt = nil
		c.badSince, c.goodAt = time.Time{}, now
		c.waitRev = rev
		c.maxRev = max(c.maxRev, rev)
		c.flushHeld(now, true)
		c.kick()
	default:
		if c.badSince.IsZero() {
			c.badSince = now
		}
		if !errors.Is(err, protocol.ErrRefused) {
			c.doubt = &t
		}
		c.log.Info("commit failed", "err", err, "doubt", c.doubt != nil)
		c.next = now.Add(250 * time.Millisecond)
		c.kick()
	}
}

// since is how long after a job's submission something was, in seconds; -1: not seen here.
func (jv *jobView) since(j *bookkeeping.Job, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(j.At).Round(100 * time.Millisecond).Seconds()
}

// dispatchDirect sends new launches to workers that are not about to report.
func (c *Controller) dispatchDirect(t protocol.Txn) {
	for _, ch := range t.Then {
		if ch.Put == "" {
			continue
		}
		name, ok := bookkeeping.MachineName(ch.Put)
		if !ok {
			continue
		}
		m := c.book.Machine(name)
		if m == nil || !c.owns(m.Share) {
			continue
		}
		v := c.view(m)
		for _, p := range m.Tasks {
			ref := dispatch.RefOf(p)
			_, seen := v.Seen[ref]
			_, sent := v.Sent[ref]
			if !seen && !sent {
				c.direct(m, false)
				break
			}
		}
	}
}

// plan works out the next transaction, with at most ops puts and deletes.
func (c *Controller) plan(now time.Time, ops int) (*batch, bool) {
	b := newBatch()
	more := false
	c.planned, c.finishing = 0, c.finishing[:0]
	left := map[int32][]bookkeeping.Placed{} // what stays, of records that change
	raise := map[int32]bool{}
	closed := map[int32]bool{}
	done := map[*bookkeeping.Job]*progress{}
	used := 0
	shares := map[int]bool{}
	for s := range c.owned {
		if c.owns(s) {
			shares[s] = true
		}
	}
	if len(shares) == 0 {
		return b, false
	}
	maxConds := 4*ops - len(shares)

	// What is proved to be gone leaves the records.
	for _, m := range c.book.Machines {
		if m.Gone || !shares[m.Share] {
			continue
		}
		v := c.view(m)
		bump := v.Uncertain > 0 && v.Uncertain >= c.book.Token(m)
		// That a machine is sick goes into its record, for whoever owns it next.
		change := bump || (v.returned && m.Closing) || (v.sick && !m.Sick)
		if len(v.Gone) == 0 && !change {
			continue
		}
		cost := 1
		for ref, out := range v.Gone {
			if out == dispatch.Completed && ref.Job.Open() && done[ref.Job] == nil {
				cost++
			}
		}
		if used+cost > ops && used > 0 {
			more = true
			continue
		}
		stay := make([]bookkeeping.Placed, 0, len(m.Tasks))
		for _, p := range m.Tasks {
			ref := dispatch.RefOf(p)
			out, gone := v.Gone[ref]
			if !gone {
				stay = append(stay, p)
				continue
			}
			// A service's replicas run until it is cancelled: one that ends is started again.
			if out == dispatch.Completed && p.Job.Open() && p.Job.Shape == protocol.Batch && !p.Job.Done.Get(p.Task) {
				pr := done[p.Job]
				if pr == nil {
					if used+2 > ops && used > 0 { // one for the job, one for the machine
						stay = append(stay, p)
						more = true
						continue
					}
					pr = &progress{p.Job.Done.Clone(), p.Job.NDone}
					done[p.Job] = pr
					used++
				}
				if !pr.done.Get(p.Task) {
					pr.done.Set(p.Task)
					pr.n++
				}
			}
		}
		if len(stay) == len(m.Tasks) && !change {
			continue
		}
		left[m.Index] = stay
		raise[m.Index] = bump
		if v.returned && m.Closing && len(stay) == 0 {
			closed[m.Index] = true
		}
		used++
		if used >= ops {
			break
		}
	}
	for j, pr := range done {
		final := protocol.JobStatus("")
		if pr.n == j.Tasks {
			final = protocol.Done
			c.finishing = append(c.finishing, j)
		}
		b.put(bookkeeping.JobKey(j.ID), j.Version, protocol.Change{Put: bookkeeping.JobKey(j.ID),
			Value: bookkeeping.Encode(c.book.JobRecordOf(j, pr.done, pr.n, final))})
	}

	// What waits goes where there is room.
	in := c.placement(now, shares, left, ops-used)
	for _, s := range in.Slots {
		if _, ok := left[s.M.Index]; ok {
			s.Touched = true
		}
	}
	finishing := func(j *bookkeeping.Job) bool { return done[j] != nil }
	hold := in.Hold
	in.Hold = func(j *bookkeeping.Job) bool {
		// a task that completes with this batch must not look like a waiting one
		return hold(j) || (finishing(j) && j.Waiting() == 0)
	}
	res := schedule.Place(in)
	more = more || res.More
	attempt := c.fresh() // never used before, whoever owned the share
	for _, p := range res.Placed {
		m := p.Slot.M
		key := bookkeeping.JobKey(p.Job.ID)
		if _, ok := b.conds[key]; !ok {
			if len(b.conds)+len(left)+1 > maxConds {
				more = true
				break
			}
			b.when(key, p.Job.Version) // cancelled meanwhile: nothing starts
		}
		tasks, ok := left[m.Index]
		if !ok {
			tasks = slices.Clone(m.Tasks)
		}
		jv := c.jobView(p.Job)
		if jv.began.IsZero() {
			jv.began = now
			c.metrics.wait.WithLabelValues(c.classLabel(p.Job.Class), c.book.Teams[p.Job.Team].Name).Observe(now.Sub(p.Job.At).Seconds())
		}
		c.planned++
		jv.full = now
		left[m.Index] = append(tasks, bookkeeping.Placed{Job: p.Job, Task: p.Task, Attempt: attempt,
			At: now.Unix(), Waited: c.waited(p.Job, p.Task, now)})
	}
	for idx, tasks := range left {
		m := c.book.Machines[idx]
		key := bookkeeping.MachineKey(m.Name)
		if closed[idx] {
			b.put(key, m.Version, protocol.Change{Delete: key})
			continue
		}
		v := c.view(m)
		r := c.book.MachineRecordOf(m, tasks)
		r.Session = max(m.Session, v.Session)
		r.Sick = m.Sick || v.sick
		if raise[idx] {
			r.Token = c.fresh()
		}
		b.put(key, m.Version, protocol.Change{Put: key, Value: bookkeeping.Encode(r)})
	}
	used = len(b.puts)
	c.planEvictions(now, b, in, res, ops-used, left)
	if len(b.puts) > 0 {
		for s := range shares {
			b.when(bookkeeping.ShareKey(s), c.book.Shares[s].Version)
		}
	}
	return b, more
}

// waited is how long a task has waited before it starts now, in seconds.
func (c *Controller) waited(j *bookkeeping.Job, task int, now time.Time) uint64 {
	since := j.At
	if jv := c.jobs[j]; jv != nil {
		if q, ok := jv.queued[task]; ok {
			since = q
		}
	}
	return uint64(max(0, now.Sub(since).Seconds()))
}

// placement is the input of a placement pass over the shares that this node owns.
func (c *Controller) placement(now time.Time, shares map[int]bool, left map[int32][]bookkeeping.Placed, machines int) *schedule.Input {
	in := &schedule.Input{
		Now: now, Teams: c.book.Teams, Used: slices.Clone(c.book.Used), Machines: machines, Tasks: maxPlace,
		Allow: c.allowance,
		Hold: func(j *bookkeeping.Job) bool {
			jv := c.jobs[j]
			return jv != nil && now.Before(jv.backoff)
		},
	}
	for _, j := range c.book.Jobs {
		if j != nil && shares[j.Share] && j.Open() {
			in.Jobs = append(in.Jobs, j)
			if !j.Spot {
				c.ordinaryAt = now
			}
		}
	}
	in.Ordinary = 0.2
	if !c.ordinaryAt.IsZero() && now.Sub(c.ordinaryAt) < 5*time.Minute {
		in.Ordinary = 6 // jobs that may not use spot machines have come and will again
	}
	for _, m := range c.book.Machines {
		if m.Gone || !shares[m.Share] {
			continue
		}
		tasks, ok := left[m.Index]
		if ok {
			for _, p := range m.Tasks {
				u := &in.Used[p.Job.Team]
				u.Cpus, u.Gpus, u.Mem = u.Cpus-p.Job.Cpus, u.Gpus-p.Job.Gpus, u.Mem-p.Job.Mem
			}
			for _, p := range tasks {
				u := &in.Used[p.Job.Team]
				u.Cpus, u.Gpus, u.Mem = u.Cpus+p.Job.Cpus, u.Gpus+p.Job.Gpus, u.Mem+p.Job.Mem
			}
		} else {
			tasks = m.Tasks
		}
		ty := &c.book.Types[m.Type]
		in.Capacity.Cpus += ty.Cpus
		in.Capacity.Gpus += ty.Gpus
		in.Capacity.Mem += ty.Mem
		v := c.view(m)
		if !c.usable(m, v, now) {
			continue
		}
		s := &schedule.Slot{M: m, Fetch: ty.Fetch, Free: bookkeeping.Usage{Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem}}
		cache := 0.0
		for i := len(v.images) - 1; i >= 0; i-- {
			cache += c.imageGB(v.images[i])
			if ty.Cache > 0 && cache > ty.Cache && len(s.Images) > 0 {
				break
			}
			s.Images = append(s.Images, v.images[i])
		}
		for _, p := range tasks {
			s.Free.Cpus -= p.Job.Cpus
			s.Free.Gpus -= p.Job.Gpus
			s.Free.Mem -= p.Job.Mem
			if !slices.Contains(s.Images, p.Job.Image) {
				s.Images = append(s.Images, p.Job.Image)
				s.Pulling += p.Job.ImageGB
			}
		}
		s.Risk = 4*float64(v.fails) + 8*max(0, v.speed-1.3)
		s.Held = c.heldRoom(m)
		in.Slots = append(in.Slots, s)
	}
	slices.SortFunc(in.Slots, func(a, b *schedule.Slot) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(a.M), c.cpuPrice(b.M)), cmp.Compare(a.M.Name, b.M.Name))
	})
	for i, s := range in.Slots {
		s.Rank = float64(i) / float64(len(in.Slots))
	}
	return in
}

// cpuPrice is what a machine costs for each of its CPUs.
func (c *Controller) cpuPrice(m *bookkeeping.Machine) float64 {
	ty := &c.book.Types[m.Type]
	if m.Spot {
		return ty.SpotPrice / max(ty.Cpus, 1)
	}
	return ty.Price / max(ty.Cpus, 1)
}

// imageGB is the size of an image, as the latest job that uses it says.
func (c *Controller) imageGB(image int) float64 {
	for _, j := range c.book.Jobs {
		if j != nil && j.Image == image {
			return j.ImageGB
		}
	}
	return 1
}

// usable tells whether a machine may take more tasks.
func (c *Controller) usable(m *bookkeeping.Machine, v *machineView, now time.Time) bool {
	if m.Closing || m.Drains || m.Sick || v.sick || v.Session == 0 || v.Session < m.Session || !v.notice.IsZero() || v.returned ||
		c.lead.closing[m.Index] || v.Uncertain > 0 && v.Uncertain >= c.book.Token(m) {
		return false
	}
	return now.Sub(v.heard) < seconds(2*c.cfg.Deployment.Workers.ReportS+1)
}

// allowance is how long a job may take in order to meet the tightest aim that
// its class still can; 0 when there is none.
func (c *Controller) allowance(j *bookkeeping.Job) time.Duration {
	age := time.Since(j.At)
	best, last := time.Duration(0), time.Duration(0)
	take := func(d time.Duration) {
		last = max(last, d)
		if d > age+seconds(j.Estimate) && (best == 0 || d < best) {
			best = d
		}
	}
	if j.Due > 0 {
		take(j.Due)
	}
	class := c.book.Classes.Name(j.Class)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Class != class {
			continue
		}
		switch {
		case o.WithinS > 0:
			take(seconds(o.WithinS))
		case o.Times > 0 && j.Due > 0:
			take(time.Duration(float64(j.Due) * o.Times))
		}
	}
	if best == 0 {
		// Every aim is missed. It steps behind work that can still be in time,
		// but not for ever: a job must not starve.
		best = last * 3 / 2
	}
	return best
}

// heldRoom is the room that evictions freed on a machine and that is still kept.
func (c *Controller) heldRoom(m *bookkeeping.Machine) []schedule.Held {
	var out []schedule.Held
	for id, e := range c.book.Evicted {
		j := c.book.Job(id)
		if j == nil || !j.Open() {
			continue
		}
		for _, r := range e.Rooms {
			if r.Machine != m.Name {
				continue
			}
			if n := slotsLeft(e, r, j, m); n > 0 {
				out = append(out, schedule.Held{Job: j, Slots: n})
			}
		}
	}
	return out
}
