package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// foldThreshold is how many completed tasks a group's record may list before some of them
// are moved into their jobs' own records.
const foldThreshold = 300

// plannedTxn is a transaction of this controller's shards while it is worked out.
type plannedTxn struct {
	*txnBuilder
	maxOps    int
	usedOps   int
	more      bool
	remaining map[int32][]storage.PlacedTask // what stays, of machines that change
	groups    map[*storage.MachineGroup]*groupUpdate
	completed map[*storage.Job]*progress
	leaving   map[*storage.Fleet]map[*storage.Machine]bool // machines that leave
}

type groupUpdate struct {
	ended []storage.CompletedTask
}

// group makes a group part of the transaction, if there is still room for it.
func (d *plannedTxn) group(k *storage.MachineGroup) *groupUpdate {
	r := d.groups[k]
	if r == nil && d.usedOps < d.maxOps {
		r = &groupUpdate{ended: k.UnsavedCompletions()}
		d.groups[k] = r
		d.usedOps++
	}
	return r
}

// complete notes that a task has completed.
func (d *plannedTxn) complete(r *groupUpdate, p storage.PlacedTask) {
	// A service's replicas run until it is cancelled: one that ends is started again.
	if !p.Job.Open() || p.Job.Shape != protocol.Batch || p.Job.Done.Get(p.Task) {
		return
	}
	pr := d.completed[p.Job]
	if pr == nil {
		pr = &progress{p.Job.Done.Clone(), p.Job.DoneCount}
		d.completed[p.Job] = pr
	}
	if !pr.done.Get(p.Task) {
		pr.done.Set(p.Task)
		pr.n++
		r.ended = append(r.ended, storage.CompletedTask{Job: p.Job, Task: p.Task})
	}
}

// progressOf is how far a job is with this transaction.
func (d *plannedTxn) progressOf(j *storage.Job) progress {
	if pr := d.completed[j]; pr != nil {
		return *pr
	}
	return progress{j.Done, j.DoneCount}
}

func (c *Controller) putJob(d *plannedTxn, j *storage.Job, final protocol.JobStatus) {
	pr := d.progressOf(j)
	key := storage.JobKey(j.ID)
	rec := c.finalRecord(j, pr, final)
	d.put(key, j.Version, protocol.Change{Put: key, Value: storage.Encode(rec)})
	d.usedOps++
}

// finalRecord is a job's record, with when it ended if it is final: the times of jobs that await it count from
// there, and so does the deadline by which what was cancelled must be gone.
func (c *Controller) finalRecord(j *storage.Job, pr progress, final protocol.JobStatus) *storage.JobRecord {
	rec := c.cache.JobRecordOf(j, pr.done, pr.n, final)
	if final != "" && c.cache.Packed() {
		rec.FinalAtMs = time.Now().UnixMilli()
	}
	return rec
}

// planDependencyFailed writes final records of jobs that were cancelled with one that they need,
// and deletes, as the leader, records that are needed no more.
func (c *Controller) planDependencyFailed(d *plannedTxn, shares map[int]bool, n int) {
	for _, j := range c.cache.DependencyFailed() {
		if n <= 0 || d.usedOps >= d.maxOps {
			return
		}
		if _, ok := d.puts[storage.JobKey(j.ID)]; ok || !shares[j.Shard] {
			continue
		}
		c.putJob(d, j, protocol.Cancelled)
		n--
	}
	if !c.isLeader() || n <= 0 || d.usedOps >= d.maxOps {
		return
	}
	for _, x := range c.cache.StaleRecords(min(n, d.maxOps-d.usedOps), time.Now()) {
		d.put(x.Key, x.Version, protocol.Change{Delete: x.Key})
		d.usedOps++
	}
}

// plan works out the next transaction, with at most ops puts and deletes.
func (c *Controller) plan(now time.Time, ops int) (*txnBuilder, bool) {
	d := &plannedTxn{txnBuilder: newTxnBuilder(), maxOps: ops, remaining: map[int32][]storage.PlacedTask{},
		groups: map[*storage.MachineGroup]*groupUpdate{}, completed: map[*storage.Job]*progress{},
		leaving: map[*storage.Fleet]map[*storage.Machine]bool{}}
	c.plannedTasks, c.completedJobs = 0, c.completedJobs[:0]
	shares := map[int]bool{}
	for s := range c.ownedShards {
		if c.ownsShard(s) {
			shares[s] = true
		}
	}
	if len(shares) == 0 {
		return d.txnBuilder, false
	}
	// Final records of jobs cancelled with one that they need have no haste: every controller
	// tells their users so already. Under full load they take their turn.
	c.dependencyFailedTurn++
	if c.dependencyFailedTurn%8 == 0 {
		c.planDependencyFailed(d, shares, 1)
	}
	// Jobs whose last task another owner recorded come first.
	for _, j := range c.cache.Jobs {
		if j != nil && shares[j.Shard] && c.complete(j, j.DoneCount) && d.usedOps < max(1, ops/2) {
			c.finish(d, j)
		}
	}
	c.planLimits(now, d)
	c.planCompletions(d, shares)
	for j, pr := range d.completed {
		if shares[j.Shard] && c.complete(j, pr.n) {
			if d.usedOps < ops {
				c.finish(d, j)
			} else {
				d.more = true
			}
		}
	}
	c.noteSuspects(d)
	c.planDependencyFailed(d, shares, max(1, (ops-d.usedOps)/4))
	in, res := c.planPlacements(now, d, shares)
	c.foldCompletions(d)
	for k, r := range d.groups {
		key := storage.GroupKey(k.ID)
		rec := c.cache.GroupRecordOf(k, r.ended, func(m *storage.Machine) (storage.GroupMachine, bool) {
			return c.groupMachine(d, m), !d.leaving[m.Fleet][m]
		})
		raw := storage.EncodeGroup(rec, c.cache.Packed())
		if len(raw) > c.valueLimit() && c.oversizedGroup == nil {
			c.oversizedGroup = k
		}
		d.put(key, k.Version, protocol.Change{Put: key, Value: raw})
	}
	for f, gone := range d.leaving {
		key := storage.FleetKey(f.ID)
		if rec, some := c.cache.FleetWithout(f, gone); some {
			d.put(key, f.Version, protocol.Change{Put: key, Value: storage.EncodeFleet(&rec, c.cache.Packed())})
		} else {
			d.put(key, f.Version, protocol.Change{Delete: key})
		}
	}
	c.planPreemptions(now, d.txnBuilder, in, res, ops-d.usedOps, d.remaining)
	if len(d.puts) > 0 {
		for s := range shares {
			d.require(storage.ShardKey(s), c.cache.Shards[s].Version)
		}
	}
	return d.txnBuilder, d.more
}

// complete tells whether all tasks of an array are done.
func (c *Controller) complete(j *storage.Job, n int) bool {
	return j.Open() && j.Shape == protocol.Batch && n == j.Tasks
}

// finish makes a job done. Its shard's owner does so, whoever recorded its tasks.
func (c *Controller) finish(d *plannedTxn, j *storage.Job) {
	c.completedJobs = append(c.completedJobs, j)
	c.putJob(d, j, protocol.Done)
}

// planCompletions takes what is proved to be gone out of the records, and puts in what
// has changed of the machines themselves.
func (c *Controller) planCompletions(d *plannedTxn, shares map[int]bool) {
	racks := c.cache.Groups
	first := c.firstGroup // not always the same groups when there is no room for all
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
			if leaves && d.leaving[m.Fleet] == nil {
				cost++
			}
			if d.usedOps+cost > d.maxOps {
				if !d.more {
					d.more, c.firstGroup = true, k.ID
				}
				continue
			}
			r := d.group(k)
			stay := make([]storage.PlacedTask, 0, len(m.Tasks))
			for _, p := range m.Tasks {
				out, gone := v.Gone[dispatch.RefOf(p)]
				if !gone {
					stay = append(stay, p)
				} else if out == dispatch.Completed {
					d.complete(r, p)
				}
			}
			d.remaining[m.Index] = stay
			if leaves && len(stay) == 0 {
				if d.leaving[m.Fleet] == nil {
					d.leaving[m.Fleet] = map[*storage.Machine]bool{}
					d.usedOps++
				}
				d.leaving[m.Fleet][m] = true
			}
		}
	}
}

// changes tells whether a machine's part of the records has to change, tasks aside.
func (c *Controller) changes(m *storage.Machine, v *workerState) bool {
	e := c.pendingUpdates[m.Index]
	return c.needsTokenRaise(m, v) || (v.terminated && m.Returning) || (v.unhealthy && !m.Unhealthy) || (e != nil && e.differs(m))
}

// needsTokenRaise tells whether the machine's token must be raised: a direct command under
// the present one may still be on its way.
func (c *Controller) needsTokenRaise(m *storage.Machine, v *workerState) bool {
	return v.Uncertain > 0 && v.Uncertain >= c.cache.FencingToken(m)
}

// groupMachine is a machine's part of its group's record with this transaction.
func (c *Controller) groupMachine(d *plannedTxn, m *storage.Machine) storage.GroupMachine {
	tasks, changed := d.remaining[m.Index]
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
		if c.needsTokenRaise(m, v) {
			x.FencingToken = c.nextRevision()
		}
	}
	if e := c.pendingUpdates[m.Index]; e != nil {
		e.applyTo(&x)
	}
	return x
}

// planPlacements puts what waits where there is room.
func (c *Controller) planPlacements(now time.Time, d *plannedTxn, shares map[int]bool) (*schedule.Input, schedule.Result) {
	maxConds := 4*c.limits().TxnOps - len(shares)
	in := c.placementInput(now, shares, d)
	hold := in.Hold
	in.Hold = func(j *storage.Job) bool {
		// a task that completes with this batch must not look like a waiting one
		return hold(j) || (d.completed[j] != nil && j.Waiting() == 0)
	}
	res := schedule.Place(in)
	d.more = d.more || res.More
	attempt := c.nextRevision() // never used before, whoever owned the shard
	for _, p := range res.Placed {
		m := p.Slot.Machine
		key := storage.JobKey(p.Job.ID)
		if _, ok := d.conditions[key]; !ok {
			if len(d.conditions)+len(d.groups)+2 > maxConds {
				d.more = true
				break
			}
			d.require(key, p.Job.Version) // cancelled meanwhile: nothing starts
		}
		if d.group(m.Group) == nil {
			d.more = true
			continue
		}
		tasks, ok := d.remaining[m.Index]
		if !ok {
			tasks = slices.Clone(m.Tasks)
		}
		jv := c.jobState(p.Job)
		if jv.firstPlacedAt.IsZero() {
			jv.firstPlacedAt = now
			c.metrics.waitSeconds.WithLabelValues(c.classLabel(p.Job.Class), c.cache.Teams[p.Job.Team].Name).Observe(now.Sub(p.Job.ReadyAt).Seconds())
		}
		c.plannedTasks++
		jv.lastPlacedAt = now
		d.remaining[m.Index] = append(tasks, storage.PlacedTask{Job: p.Job, Task: p.Task, Attempt: attempt,
			PlacedAt: now.Unix(), WaitedS: c.waited(p.Job, p.Task, now)})
	}
	return in, res
}

// foldCompletions moves completed tasks from groups that list too many into their jobs' own
// records, one a group and transaction: in the packed layout into a part of the job's set.
func (c *Controller) foldCompletions(d *plannedTxn) {
	limit := foldThreshold
	keyOf := func(e storage.CompletedTask) string { return storage.JobKey(e.Job.ID) }
	if c.cache.Packed() {
		limit = min(limit, c.valueLimit()/4/packedSizes.ended)
		keyOf = func(e storage.CompletedTask) string { return storage.CompletionKey(e.Job.ID, e.Task) }
	}
	for _, r := range d.groups {
		if len(r.ended) <= limit || d.usedOps >= d.maxOps {
			continue
		}
		count := map[string]int{}
		var most storage.CompletedTask
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
			rec, version := c.cache.CompletionRecordOf(most.Job, d.progressOf(most.Job).done, most.Task)
			d.put(key, version, protocol.Change{Put: key, Value: storage.Encode(rec)})
			d.usedOps++
		} else {
			c.putJob(d, most.Job, "")
		}
		r.ended = slices.DeleteFunc(r.ended, func(e storage.CompletedTask) bool { return keyOf(e) == key })
	}
}

// waited is how long a task has waited before it starts now, in seconds.
func (c *Controller) waited(j *storage.Job, task int, now time.Time) uint64 {
	since := j.ReadyAt
	if jv := c.jobStates[j]; jv != nil {
		if q, ok := jv.requeuedAt[task]; ok {
			since = q
		}
	}
	return uint64(max(0, now.Sub(since).Seconds()))
}

// placementInput is the input of a placement pass over the shards that this controller owns.
func (c *Controller) placementInput(now time.Time, shares map[int]bool, d *plannedTxn) *schedule.Input {
	in := &schedule.Input{
		Now: now, Teams: c.cache.Teams, Used: slices.Clone(c.cache.Used), Records: d.maxOps - d.usedOps, Tasks: maxPlace,
		TimeAllowed: func(j *storage.Job) (time.Duration, bool) { return c.objectiveLeft(j, now) },
		MustBegin:   func(j *storage.Job) bool { return j.PlacedCount+j.DoneCount == 0 && now.Sub(j.ReadyAt) >= beginAfter },
		Overdue:     func(j *storage.Job) bool { return c.waitedTooLong(j, now) },
		Hold: func(j *storage.Job) bool {
			jv := c.jobStates[j]
			return jv != nil && now.Before(jv.backoff) || c.probing(j)
		},
		MayPreempt: func(j *storage.Job) bool { return c.startsSooner(j, now) },
		MaxTasks: func(j *storage.Job) int {
			if c.suspect(j) {
				return 1
			}
			return j.Tasks
		},
	}
	sc := &c.planBuffers
	sc.begin(c.cache.MachineCount(), len(c.cache.Groups), len(c.cache.Jobs))
	in.Jobs, in.Scratch = sc.jobs, &sc.place
	clear(c.waitingByShard)
	c.idleWorkPlaced = false
	for _, j := range c.cache.Jobs {
		if j == nil {
			continue
		}
		c.idleWorkPlaced = c.idleWorkPlaced || j.PlacedCount > 0 && c.isIdleWork(j, now)
		if shares[j.Shard] && j.Open() && j.Ready() {
			in.Jobs = append(in.Jobs, j)
			c.waitingByShard[j.Shard] += c.wantedTasks(j)
			if !j.Spot {
				c.onDemandNeededAt = now
			}
		}
	}
	f := c.queueLoads(now)
	in.Queues = f.queues
	var room schedule.Capacity
	in.OnDemandWeight = 0.2
	if !c.onDemandNeededAt.IsZero() && now.Sub(c.onDemandNeededAt) < 5*time.Minute {
		in.OnDemandWeight = 6 // jobs that may not use spot machines have come and will again
	}
	held := c.reservedCapacity()
	for _, k := range c.cache.Groups {
		if k.Version == 0 || !shares[k.Shard] {
			continue
		}
		rec := sc.record(schedule.GroupCapacity{Touched: d.groups[k] != nil, Free: c.recordCapacity(k)})
		for _, m := range k.Machines {
			if m.Gone {
				continue
			}
			tasks, ok := d.remaining[m.Index]
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
				room.OnDemand += ty.Cpus
			}
			v := c.workerState(m)
			if !c.usable(m, v, now) {
				if c.booting(m, v, now) {
					sc.booting = append(sc.booting, &schedule.Slot{Machine: m, FetchGBs: ty.FetchGBs, BootS: c.bootLeft(m, v, now),
						Free: storage.Usage{Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem}})
				}
				continue
			}
			s := sc.slot(schedule.Slot{Machine: m, Record: rec, FetchGBs: ty.FetchGBs, Free: storage.Usage{Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem}})
			cache := 0.0
			first := len(sc.images)
			for i := len(v.images) - 1; i >= 0; i-- {
				cache += c.cache.ImageGB(v.images[i])
				if ty.CacheGB > 0 && cache > ty.CacheGB && len(sc.images) > first {
					break
				}
				sc.images = append(sc.images, v.images[i])
			}
			s.Images = slices.Clip(sc.images[first:]) // what is added later must not reach the next one's
			began, coming := now.Unix(), 0.0
			for _, p := range tasks {
				s.Free.Add(p.Job, -1)
				s.AddFragile(p.Job)
				if !p.Job.Priority.Top() && p.Job.Open() && !c.cache.IsVictim(p) {
					s.Preemptible.Add(p.Job, 1)
				}
				if !slices.Contains(s.Images, p.Job.Image) && !slices.Contains(s.FetchingImages, p.Job.Image) {
					s.FetchingImages = append(s.FetchingImages, p.Job.Image)
					coming += p.Job.ImageGB
					began = min(began, p.PlacedAt)
				}
			}
			if s.FetchGBs > 0 && coming > 0 {
				s.FetchDoneS = max(1, coming/s.FetchGBs-float64(now.Unix()-began))
			}
			if ty.Gpus > 0 {
				s.PerGpu = ty.Cpus / ty.Gpus
			}
			s.Risk = 4*c.failedRecently(v) + 8*max(0, v.slowdown-1.3)
			s.Reservations = held[m.Name]
		}
	}
	was := c.overloadActive
	if in.Overloaded = c.detectOverload(f, in.Jobs, room, &c.overloadActive, now); in.Overloaded != was {
		c.logOverload(f, in.Overloaded)
	}
	in.Slots, in.Booting, sc.jobs = sc.order, sc.booting, in.Jobs[:0]
	slices.SortFunc(in.Slots, func(a, b *schedule.Slot) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(a.Machine), c.cpuPrice(b.Machine)), cmp.Compare(a.Machine.Name, b.Machine.Name))
	})
	for i, s := range in.Slots {
		s.Rank = float64(i) / float64(len(in.Slots))
	}
	return in
}

// planBuffers is the room in which a pass works, kept for the next one: a pass makes as much
// rubbish as it places tasks, and not as there are machines and jobs.
type planBuffers struct {
	slots   []schedule.Slot
	order   []*schedule.Slot
	booting []*schedule.Slot
	records []schedule.GroupCapacity
	images  []int
	jobs    []*storage.Job
	waits   []schedule.WaitingWork
	place   schedule.Scratch
}

func (s *planBuffers) begin(machines, racks, jobs int) {
	s.slots, s.order, s.booting = slices.Grow(s.slots[:0], machines), s.order[:0], s.booting[:0]
	s.records, s.images = slices.Grow(s.records[:0], racks), s.images[:0]
	s.jobs = slices.Grow(s.jobs[:0], jobs)
}

// record and slot keep what is never moved while the pass lasts: begin has made room for all.
func (s *planBuffers) record(r schedule.GroupCapacity) *schedule.GroupCapacity {
	s.records = append(s.records, r)
	return &s.records[len(s.records)-1]
}

func (s *planBuffers) slot(x schedule.Slot) *schedule.Slot {
	s.slots = append(s.slots, x)
	p := &s.slots[len(s.slots)-1]
	s.order = append(s.order, p)
	return p
}

// recordSizes is what a group's record takes, in bytes, at most: by itself, a machine, a task
// and a completed task.
type recordSizes struct{ base, machine, task, ended int }

var (
	plainSizes  = recordSizes{base: 200, machine: 120, task: 60, ended: 8}
	packedSizes = recordSizes{base: 100, machine: 24, task: 12, ended: 3}
)

// recordCapacity is how many more tasks a group's record can list.
func (c *Controller) recordCapacity(k *storage.MachineGroup) int {
	limit, size := c.valueLimit(), plainSizes
	if c.cache.Packed() {
		// What ends needs some room too: a completed task stays listed for a while.
		limit, size = limit*8/10, packedSizes
	}
	used := k.Size
	if !c.cache.Packed() || !k.Packed { // it is not known yet what it will take
		used = size.base + size.machine*len(k.Machines) + size.ended*len(k.Completed)
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
		c.needsTokenRaise(m, v) || c.pendingUpdates[m.Index].blocksPlacement() || c.unresponsive(v, now) {
		return false
	}
	return now.Sub(v.heard) < seconds(2*c.cfg.Deployment.Workers.HeartbeatS+1)
}

// timeAllowed is how long a job may take in order to meet the tightest aim that
// its class still can; 0 when there is none.
func (c *Controller) timeAllowed(j *storage.Job, now time.Time) time.Duration {
	d, _ := c.objectiveLeft(j, now)
	return d
}

// objectiveLeft is allowance, and whether every aim is missed.
func (c *Controller) objectiveLeft(j *storage.Job, now time.Time) (allow time.Duration, late bool) {
	age := now.Sub(j.ReadyAt)
	best, last := time.Duration(0), time.Duration(0)
	take := func(d time.Duration) {
		last = max(last, d)
		if d > age+seconds(j.Estimate) && (best == 0 || d < best) {
			best = d
		}
	}
	due := j.Submitted.Add(j.Deadline).Sub(j.ReadyAt) // its deadline counts from the submission
	if j.Deadline > 0 {
		take(due)
	}
	if !j.FinishBy.IsZero() {
		take(j.FinishBy.Sub(j.ReadyAt)) // for those that need it
		take(j.FinishLatest.Sub(j.ReadyAt))
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
		case o.Times > 0 && j.Deadline > 0:
			take(due + time.Duration(float64(j.Deadline)*(o.Times-1)))
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

// isIdleWork tells whether a job is idle-time work: of the lowest priority, with no aim on
// it, and content with machines that may be taken back. It runs in what others leave:
// no machine moves or is rented at the full price for it, and any other work may evict
// it. What has waited far too long is idle no more: an accepted job must run.
func (c *Controller) isIdleWork(j *storage.Job, now time.Time) bool {
	return j.Priority == protocol.Low && j.Spot && now.Sub(j.ReadyAt) < idleFor+4*seconds(j.Estimate) && c.timeAllowed(j, now) == 0
}

// idleFor is how long idle-time work is left to what others leave, at least.
const idleFor = 10 * time.Minute

// reservedCapacity is the room that evictions freed and that is still kept, by machine.
func (c *Controller) reservedCapacity() map[string][]schedule.Reservation {
	out := map[string][]schedule.Reservation{}
	for id, e := range c.cache.VictimSets {
		j := c.cache.Job(id)
		if j == nil || !j.Open() {
			continue
		}
		for _, r := range e.Reservations {
			m := c.cache.Machine(r.Machine)
			if m == nil {
				continue
			}
			if n := slotsLeft(e, r, j, m); n > 0 {
				out[r.Machine] = append(out[r.Machine], schedule.Reservation{Job: j, Slots: n})
			}
		}
	}
	return out
}
