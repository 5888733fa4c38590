package coordination

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/coordination/dispatch"
	"dykeledge/internal/coordination/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// foldAt is how many completed tasks a rack's record may list before some of them
// are moved into their jobs' own records.
const foldAt = 300

// draft is a transaction of this node's shares while it is worked out.
type draft struct {
	*batch
	ops    int
	used   int
	more   bool
	left   map[int32][]storage.Placed // what stays, of machines that change
	groups map[*storage.MachineGroup]*groupUpdate
	done   map[*storage.Job]*progress
	leave  map[*storage.Fleet]map[*storage.Machine]bool // machines that leave
}

type groupUpdate struct {
	ended []storage.Ended
}

// group makes a rack part of the transaction, if there is still room for it.
func (d *draft) group(k *storage.MachineGroup) *groupUpdate {
	r := d.groups[k]
	if r == nil && d.used < d.ops {
		r = &groupUpdate{ended: k.UnsavedCompletions()}
		d.groups[k] = r
		d.used++
	}
	return r
}

// complete notes that a task has completed.
func (d *draft) complete(r *groupUpdate, p storage.Placed) {
	// A service's replicas run until it is cancelled: one that ends is started again.
	if !p.Job.Open() || p.Job.Shape != protocol.Batch || p.Job.Done.Get(p.Task) {
		return
	}
	pr := d.done[p.Job]
	if pr == nil {
		pr = &progress{p.Job.Done.Clone(), p.Job.NDone}
		d.done[p.Job] = pr
	}
	if !pr.done.Get(p.Task) {
		pr.done.Set(p.Task)
		pr.n++
		r.ended = append(r.ended, storage.Ended{Job: p.Job, Task: p.Task})
	}
}

// progressOf is how far a job is with this transaction.
func (d *draft) progressOf(j *storage.Job) progress {
	if pr := d.done[j]; pr != nil {
		return *pr
	}
	return progress{j.Done, j.NDone}
}

func (c *Controller) putJob(d *draft, j *storage.Job, final protocol.JobStatus) {
	pr := d.progressOf(j)
	key := storage.JobKey(j.ID)
	rec := c.finalRecord(j, pr, final)
	d.put(key, j.Version, protocol.Change{Put: key, Value: storage.Encode(rec)})
	d.used++
}

// finalRecord is a job's record, with when it ended if it is final: the times of jobs that await it count from
// there, and so does the deadline by which what was cancelled must be gone.
func (c *Controller) finalRecord(j *storage.Job, pr progress, final protocol.JobStatus) *storage.JobRecord {
	rec := c.cache.JobRecordOf(j, pr.done, pr.n, final)
	if final != "" && c.cache.Packed() {
		rec.EndMs = time.Now().UnixMilli()
	}
	return rec
}

// planDoomed writes final records of jobs that were cancelled with one that they need,
// and deletes, as the leader, records that are needed no more.
func (c *Controller) planDoomed(d *draft, shares map[int]bool, n int) {
	for _, j := range c.cache.Doomed() {
		if n <= 0 || d.used >= d.ops {
			return
		}
		if _, ok := d.puts[storage.JobKey(j.ID)]; ok || !shares[j.Shard] {
			continue
		}
		c.putJob(d, j, protocol.Cancelled)
		n--
	}
	if !c.isLeader() || n <= 0 || d.used >= d.ops {
		return
	}
	for _, x := range c.cache.Stale(min(n, d.ops-d.used), time.Now()) {
		d.put(x.Key, x.Version, protocol.Change{Delete: x.Key})
		d.used++
	}
}

// plan works out the next transaction, with at most ops puts and deletes.
func (c *Controller) plan(now time.Time, ops int) (*batch, bool) {
	d := &draft{batch: newBatch(), ops: ops, left: map[int32][]storage.Placed{},
		groups: map[*storage.MachineGroup]*groupUpdate{}, done: map[*storage.Job]*progress{},
		leave: map[*storage.Fleet]map[*storage.Machine]bool{}}
	c.planned, c.finishing = 0, c.finishing[:0]
	shares := map[int]bool{}
	for s := range c.ownedShards {
		if c.ownsShard(s) {
			shares[s] = true
		}
	}
	if len(shares) == 0 {
		return d.batch, false
	}
	// Final records of jobs cancelled with one that they need have no haste: every node
	// tells their users so already. Under full load they take their turn.
	c.doomTurn++
	if c.doomTurn%8 == 0 {
		c.planDoomed(d, shares, 1)
	}
	// Jobs whose last task another owner recorded come first.
	for _, j := range c.cache.Jobs {
		if j != nil && shares[j.Shard] && c.complete(j, j.NDone) && d.used < max(1, ops/2) {
			c.finish(d, j)
		}
	}
	c.planLimits(now, d)
	c.planEnds(d, shares)
	for j, pr := range d.done {
		if shares[j.Shard] && c.complete(j, pr.n) {
			if d.used < ops {
				c.finish(d, j)
			} else {
				d.more = true
			}
		}
	}
	c.noteSuspects(d)
	c.planDoomed(d, shares, max(1, (ops-d.used)/4))
	in, res := c.planStarts(now, d, shares)
	c.fold(d)
	for k, r := range d.groups {
		key := storage.GroupKey(k.ID)
		rec := c.cache.GroupRecordOf(k, r.ended, func(m *storage.Machine) (storage.GroupMachine, bool) {
			return c.groupMachine(d, m), !d.leave[m.Fleet][m]
		})
		raw := storage.EncodeGroup(rec, c.cache.Packed())
		if len(raw) > c.valueLimit() && c.oversizedGroup == nil {
			c.oversizedGroup = k
		}
		d.put(key, k.Version, protocol.Change{Put: key, Value: raw})
	}
	for f, gone := range d.leave {
		key := storage.FleetKey(f.ID)
		if rec, some := c.cache.FleetWithout(f, gone); some {
			d.put(key, f.Version, protocol.Change{Put: key, Value: storage.EncodeFleet(&rec, c.cache.Packed())})
		} else {
			d.put(key, f.Version, protocol.Change{Delete: key})
		}
	}
	c.planEvictions(now, d.batch, in, res, ops-d.used, d.left)
	if len(d.puts) > 0 {
		for s := range shares {
			d.when(storage.ShardKey(s), c.cache.Shards[s].Version)
		}
	}
	return d.batch, d.more
}

// complete tells whether all tasks of an array are done.
func (c *Controller) complete(j *storage.Job, n int) bool {
	return j.Open() && j.Shape == protocol.Batch && n == j.Tasks
}

// finish makes a job done. Its share's owner does so, whoever recorded its tasks.
func (c *Controller) finish(d *draft, j *storage.Job) {
	c.finishing = append(c.finishing, j)
	c.putJob(d, j, protocol.Done)
}

// planEnds takes what is proved to be gone out of the records, and puts in what
// has changed of the machines themselves.
func (c *Controller) planEnds(d *draft, shares map[int]bool) {
	racks := c.cache.Groups
	first := c.firstGroup // not always the same racks when there is no room for all
	for i := range racks {
		k := racks[(first+i)%len(racks)]
		if k.Version == 0 || !shares[k.Shard] {
			continue
		}
		for _, m := range k.Machines {
			v := c.workerStates[m.Index]
			if m.Gone || v == nil {
				continue
			}
			if len(v.Gone) == 0 && !c.changes(m, v) {
				continue
			}
			cost := 0
			if d.groups[k] == nil {
				cost++
			}
			leaves := v.terminated && m.Returning && len(v.Gone) >= len(m.Tasks) && m.FleetEntries <= 1
			if leaves && d.leave[m.Fleet] == nil {
				cost++
			}
			if d.used+cost > d.ops {
				if !d.more {
					d.more, c.firstGroup = true, k.ID
				}
				continue
			}
			r := d.group(k)
			stay := make([]storage.Placed, 0, len(m.Tasks))
			for _, p := range m.Tasks {
				out, gone := v.Gone[dispatch.RefOf(p)]
				if !gone {
					stay = append(stay, p)
				} else if out == dispatch.Completed {
					d.complete(r, p)
				}
			}
			d.left[m.Index] = stay
			if leaves && len(stay) == 0 {
				if d.leave[m.Fleet] == nil {
					d.leave[m.Fleet] = map[*storage.Machine]bool{}
					d.used++
				}
				d.leave[m.Fleet][m] = true
			}
		}
	}
}

// changes tells whether a machine's part of the records has to change, tasks aside.
func (c *Controller) changes(m *storage.Machine, v *workerState) bool {
	e := c.edits[m.Index]
	return c.bumps(m, v) || (v.terminated && m.Returning) || (v.unhealthy && !m.Unhealthy) || (e != nil && e.differs(m))
}

// bumps tells whether the machine's token must be raised: a direct command under
// the present one may still be on its way.
func (c *Controller) bumps(m *storage.Machine, v *workerState) bool {
	return v.Uncertain > 0 && v.Uncertain >= c.cache.FencingToken(m)
}

// groupMachine is a machine's part of its rack's record with this transaction.
func (c *Controller) groupMachine(d *draft, m *storage.Machine) storage.GroupMachine {
	tasks, changed := d.left[m.Index]
	if !changed {
		tasks = m.Tasks
	}
	x := c.cache.GroupMachineOf(m, tasks)
	v := c.workerStates[m.Index]
	if v == nil {
		return x
	}
	// That a machine is sick goes into its record, for whoever owns it next.
	x.Unhealthy = m.Unhealthy || v.unhealthy
	if changed || len(m.Tasks) == 0 {
		// Only with the tasks that a newer session has lost may the session change.
		x.Incarnation = max(m.Incarnation, v.Incarnation)
	}
	if changed {
		if c.bumps(m, v) {
			x.FencingToken = c.nextRevision()
		}
	}
	if e := c.edits[m.Index]; e != nil {
		e.change(&x)
	}
	return x
}

// planStarts puts what waits where there is room.
func (c *Controller) planStarts(now time.Time, d *draft, shares map[int]bool) (*schedule.Input, schedule.Result) {
	maxConds := 4*c.limits().TxnOps - len(shares)
	in := c.placement(now, shares, d)
	hold := in.Hold
	in.Hold = func(j *storage.Job) bool {
		// a task that completes with this batch must not look like a waiting one
		return hold(j) || (d.done[j] != nil && j.Waiting() == 0)
	}
	res := schedule.Place(in)
	d.more = d.more || res.More
	attempt := c.nextRevision() // never used before, whoever owned the share
	for _, p := range res.Placed {
		m := p.Slot.M
		key := storage.JobKey(p.Job.ID)
		if _, ok := d.conds[key]; !ok {
			if len(d.conds)+len(d.groups)+2 > maxConds {
				d.more = true
				break
			}
			d.when(key, p.Job.Version) // cancelled meanwhile: nothing starts
		}
		if d.group(m.Group) == nil {
			d.more = true
			continue
		}
		tasks, ok := d.left[m.Index]
		if !ok {
			tasks = slices.Clone(m.Tasks)
		}
		jv := c.jobState(p.Job)
		if jv.firstPlacedAt.IsZero() {
			jv.firstPlacedAt = now
			c.metrics.waitSeconds.WithLabelValues(c.classLabel(p.Job.Class), c.cache.Teams[p.Job.Team].Name).Observe(now.Sub(p.Job.At).Seconds())
		}
		c.planned++
		jv.lastPlacedAt = now
		d.left[m.Index] = append(tasks, storage.Placed{Job: p.Job, Task: p.Task, Attempt: attempt,
			At: now.Unix(), Waited: c.waited(p.Job, p.Task, now)})
	}
	return in, res
}

// fold moves completed tasks from racks that list too many into their jobs' own
// records, one a rack and transaction: in the packed layout into a part of the job's set.
func (c *Controller) fold(d *draft) {
	limit := foldAt
	keyOf := func(e storage.Ended) string { return storage.JobKey(e.Job.ID) }
	if c.cache.Packed() {
		limit = min(limit, c.valueLimit()/4/packedSizes.ended)
		keyOf = func(e storage.Ended) string { return storage.SetKey(e.Job.ID, e.Task) }
	}
	for _, r := range d.groups {
		if len(r.ended) <= limit || d.used >= d.ops {
			continue
		}
		count := map[string]int{}
		var most storage.Ended
		key := ""
		for _, e := range r.ended {
			k := keyOf(e)
			count[k]++
			if _, ok := d.puts[k]; !ok && count[k] > count[key] {
				most, key = e, k
			}
		}
		if key == "" {
			continue
		}
		if c.cache.Packed() {
			rec, version := c.cache.SetRecordOf(most.Job, d.progressOf(most.Job).done, most.Task)
			d.put(key, version, protocol.Change{Put: key, Value: storage.Encode(rec)})
			d.used++
		} else {
			c.putJob(d, most.Job, "")
		}
		r.ended = slices.DeleteFunc(r.ended, func(e storage.Ended) bool { return keyOf(e) == key })
	}
}

// waited is how long a task has waited before it starts now, in seconds.
func (c *Controller) waited(j *storage.Job, task int, now time.Time) uint64 {
	since := j.At
	if jv := c.jobStates[j]; jv != nil {
		if q, ok := jv.requeuedAt[task]; ok {
			since = q
		}
	}
	return uint64(max(0, now.Sub(since).Seconds()))
}

// placement is the input of a placement pass over the shares that this node owns.
func (c *Controller) placement(now time.Time, shares map[int]bool, d *draft) *schedule.Input {
	in := &schedule.Input{
		Now: now, Teams: c.cache.Teams, Used: slices.Clone(c.cache.Used), Records: d.ops - d.used, Tasks: maxPlace,
		Allow:   func(j *storage.Job) (time.Duration, bool) { return c.aimsLeft(j, now) },
		Begin:   func(j *storage.Job) bool { return j.NPlaced+j.NDone == 0 && now.Sub(j.At) >= beginAfter },
		Overdue: func(j *storage.Job) bool { return c.waitedTooLong(j, now) },
		Hold: func(j *storage.Job) bool {
			jv := c.jobStates[j]
			return jv != nil && now.Before(jv.backoff) || c.probing(j)
		},
		Evicts: func(j *storage.Job) bool { return c.sooner(j, now) },
		Most: func(j *storage.Job) int {
			if c.suspect(j) {
				return 1
			}
			return j.Tasks
		},
	}
	sc := &c.scratch
	sc.begin(c.cache.MachineCount(), len(c.cache.Groups), len(c.cache.Jobs))
	in.Jobs, in.Scratch = sc.jobs, &sc.place
	clear(c.waitingByShard)
	c.idleRuns = false
	for _, j := range c.cache.Jobs {
		if j == nil {
			continue
		}
		c.idleRuns = c.idleRuns || j.NPlaced > 0 && c.idle(j, now)
		if shares[j.Shard] && j.Open() && j.Ready() {
			in.Jobs = append(in.Jobs, j)
			c.waitingByShard[j.Shard] += c.wanting(j)
			if !j.Spot {
				c.ordinaryAt = now
			}
		}
	}
	f := c.flooding(now)
	in.Lanes = f.lanes
	var room schedule.Room
	in.Ordinary = 0.2
	if !c.ordinaryAt.IsZero() && now.Sub(c.ordinaryAt) < 5*time.Minute {
		in.Ordinary = 6 // jobs that may not use spot machines have come and will again
	}
	held := c.heldRoom()
	for _, k := range c.cache.Groups {
		if k.Version == 0 || !shares[k.Shard] {
			continue
		}
		rec := sc.record(schedule.Record{Touched: d.groups[k] != nil, Room: c.recordRoom(k)})
		for _, m := range k.Machines {
			if m.Gone {
				continue
			}
			tasks, ok := d.left[m.Index]
			if ok {
				for _, p := range m.Tasks {
					in.Used[p.Job.Team].Add(p.Job, -1)
				}
				for _, p := range tasks {
					in.Used[p.Job.Team].Add(p.Job, 1)
				}
			} else {
				tasks = m.Tasks
			}
			ty := &c.cache.Types[m.Type]
			in.Capacity.Cpus += ty.Cpus
			in.Capacity.Gpus += ty.Gpus
			in.Capacity.Mem += ty.Mem
			if room.All += ty.Cpus; !m.Spot {
				room.Ordinary += ty.Cpus
			}
			v := c.workerState(m)
			if !c.usable(m, v, now) {
				if c.booting(m, v, now) {
					sc.booting = append(sc.booting, &schedule.Slot{M: m, Fetch: ty.Fetch, Boots: c.bootLeft(m, v, now),
						Free: storage.Usage{Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem}})
				}
				continue
			}
			s := sc.slot(schedule.Slot{M: m, Record: rec, Fetch: ty.Fetch, Free: storage.Usage{Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem}})
			cache := 0.0
			first := len(sc.images)
			for i := len(v.images) - 1; i >= 0; i-- {
				cache += c.cache.ImageGB(v.images[i])
				if ty.Cache > 0 && cache > ty.Cache && len(sc.images) > first {
					break
				}
				sc.images = append(sc.images, v.images[i])
			}
			s.Images = slices.Clip(sc.images[first:]) // what is added later must not reach the next one's
			began, coming := now.Unix(), 0.0
			for _, p := range tasks {
				s.Free.Add(p.Job, -1)
				s.AddFragile(p.Job)
				if !p.Job.Priority.Top() && p.Job.Open() && !c.cache.Victim(p) {
					s.Yields.Add(p.Job, 1)
				}
				if !slices.Contains(s.Images, p.Job.Image) && !slices.Contains(s.Coming, p.Job.Image) {
					s.Coming = append(s.Coming, p.Job.Image)
					coming += p.Job.ImageGB
					began = min(began, p.At)
				}
			}
			if s.Fetch > 0 && coming > 0 {
				s.Ready = max(1, coming/s.Fetch-float64(now.Unix()-began))
			}
			if ty.Gpus > 0 {
				s.PerGpu = ty.Cpus / ty.Gpus
			}
			s.Risk = 4*c.failedRecently(v) + 8*max(0, v.slowdown-1.3)
			s.Held = held[m.Name]
		}
	}
	was := c.flooded
	if in.Flood = c.overloaded(f, in.Jobs, room, &c.flooded, now); in.Flood != was {
		c.noteFlood(f, in.Flood)
	}
	in.Slots, in.Booting, sc.jobs = sc.order, sc.booting, in.Jobs[:0]
	slices.SortFunc(in.Slots, func(a, b *schedule.Slot) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(a.M), c.cpuPrice(b.M)), cmp.Compare(a.M.Name, b.M.Name))
	})
	for i, s := range in.Slots {
		s.Rank = float64(i) / float64(len(in.Slots))
	}
	return in
}

// scratch is the room in which a pass works, kept for the next one: a pass makes as much
// rubbish as it places tasks, and not as there are machines and jobs.
type scratch struct {
	slots   []schedule.Slot
	order   []*schedule.Slot
	booting []*schedule.Slot
	records []schedule.Record
	images  []int
	jobs    []*storage.Job
	waits   []schedule.Wait
	place   schedule.Scratch
}

func (s *scratch) begin(machines, racks, jobs int) {
	s.slots, s.order, s.booting = slices.Grow(s.slots[:0], machines), s.order[:0], s.booting[:0]
	s.records, s.images = slices.Grow(s.records[:0], racks), s.images[:0]
	s.jobs = slices.Grow(s.jobs[:0], jobs)
}

// record and slot keep what is never moved while the pass lasts: begin has made room for all.
func (s *scratch) record(r schedule.Record) *schedule.Record {
	s.records = append(s.records, r)
	return &s.records[len(s.records)-1]
}

func (s *scratch) slot(x schedule.Slot) *schedule.Slot {
	s.slots = append(s.slots, x)
	p := &s.slots[len(s.slots)-1]
	s.order = append(s.order, p)
	return p
}

// recordSizes is what a rack's record takes, in bytes, at most: by itself, a machine, a task
// and a completed task.
type recordSizes struct{ base, machine, task, ended int }

var (
	plainSizes  = recordSizes{base: 200, machine: 120, task: 60, ended: 8}
	packedSizes = recordSizes{base: 100, machine: 24, task: 12, ended: 3}
)

// recordRoom is how many more tasks a rack's record can list.
func (c *Controller) recordRoom(k *storage.MachineGroup) int {
	limit, size := c.valueLimit(), plainSizes
	if c.cache.Packed() {
		// What ends needs some room too: a completed task stays listed for a while.
		limit, size = limit*8/10, packedSizes
	}
	used := k.Size
	if !c.cache.Packed() || !k.Packed { // it is not known yet what it will take
		used = size.base + size.machine*len(k.Machines) + size.ended*len(k.Ended)
		for _, m := range k.Machines {
			used += size.task * len(m.Tasks)
		}
	}
	return max(0, limit-used) / size.task
}

// cpuPrice is what a machine costs for each of its CPUs.
func (c *Controller) cpuPrice(m *storage.Machine) float64 {
	ty := &c.cache.Types[m.Type]
	if m.Spot {
		return ty.SpotPrice / max(ty.Cpus, 1)
	}
	return ty.Price / max(ty.Cpus, 1)
}

// usable tells whether a machine may take more tasks.
func (c *Controller) usable(m *storage.Machine, v *workerState, now time.Time) bool {
	if m.Returning || m.Draining || m.Unhealthy || v.unhealthy || v.Incarnation == 0 || v.Incarnation < m.Incarnation || !v.preemptedAt.IsZero() || v.terminated ||
		c.bumps(m, v) || c.edits[m.Index].off() || c.unresponsive(v, now) {
		return false
	}
	return now.Sub(v.heard) < seconds(2*c.cfg.Deployment.Workers.HeartbeatS+1)
}

// allowance is how long a job may take in order to meet the tightest aim that
// its class still can; 0 when there is none.
func (c *Controller) allowance(j *storage.Job, now time.Time) time.Duration {
	d, _ := c.aimsLeft(j, now)
	return d
}

// aimsLeft is allowance, and whether every aim is missed.
func (c *Controller) aimsLeft(j *storage.Job, now time.Time) (allow time.Duration, late bool) {
	age := now.Sub(j.At)
	best, last := time.Duration(0), time.Duration(0)
	take := func(d time.Duration) {
		last = max(last, d)
		if d > age+seconds(j.Estimate) && (best == 0 || d < best) {
			best = d
		}
	}
	due := j.Submitted.Add(j.Due).Sub(j.At) // its deadline counts from the submission
	if j.Due > 0 {
		take(due)
	}
	if !j.By.IsZero() {
		take(j.By.Sub(j.At)) // for those that need it
		take(j.Late.Sub(j.At))
	}
	class := c.cache.Classes.Name(j.Class)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Class != class {
			continue
		}
		switch {
		case o.Kind == "wait" && o.WithinS > 0:
			take(seconds(o.WithinS + j.Estimate)) // by when it should have started
		case o.WithinS > 0:
			take(seconds(o.WithinS))
		case o.Times > 0 && j.Due > 0:
			take(due + time.Duration(float64(j.Due)*(o.Times-1)))
		}
	}
	if best == 0 {
		// Every aim is missed. It steps behind work that can still be in time,
		// but not for ever: a job must not starve.
		best = last * 3 / 2
		return best, best > 0
	}
	return best, false
}

// idle tells whether a job is idle-time work: of the lowest priority, with no aim on
// it, and content with machines that may be taken back. It runs in what others leave:
// no machine moves or is rented at the full price for it, and any other work may evict
// it. What has waited far too long is idle no more: an accepted job must run.
func (c *Controller) idle(j *storage.Job, now time.Time) bool {
	return j.Priority == protocol.Low && j.Spot && now.Sub(j.At) < idleFor+4*seconds(j.Estimate) && c.allowance(j, now) == 0
}

// idleFor is how long idle-time work is left to what others leave, at least.
const idleFor = 10 * time.Minute

// heldRoom is the room that evictions freed and that is still kept, by machine.
func (c *Controller) heldRoom() map[string][]schedule.Held {
	out := map[string][]schedule.Held{}
	for id, e := range c.cache.Evicted {
		j := c.cache.Job(id)
		if j == nil || !j.Open() {
			continue
		}
		for _, r := range e.Rooms {
			m := c.cache.Machine(r.Machine)
			if m == nil {
				continue
			}
			if n := slotsLeft(e, r, j, m); n > 0 {
				out[r.Machine] = append(out[r.Machine], schedule.Held{Job: j, Slots: n})
			}
		}
	}
	return out
}
