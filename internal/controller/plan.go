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

// plannerState is what the planner keeps from one pass to the next. It is written by the
// planner's files, overload.go and, for alpha, by the operators' settings.
type plannerState struct {
	alpha                float64 // weight of lost work against time waited when preemptions are ranked
	buffers              planBuffers
	plannedTasks         int                   // tasks that the latest plan places
	completedJobs        []*storage.Job        // jobs that the latest plan calls done
	firstGroup           int                   // the machine group that the next plan begins with
	oversizedGroup       *storage.MachineGroup // its record would be over the limit: it is split next
	dependencyFailedTurn int                   // counts plans: final records of failed dependents take turns
	idleWorkPlaced       bool                  // idle-time work is placed on this controller's machines
	onDemandNeededAt     time.Time             // when a job that may not use spot machines was last open
	overloaded           bool                  // an overload is dealt with
}

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
func (d *plannedTxn) complete(controllerGroupUpdate *groupUpdate, placed storage.PlacedTask) {
	// A service's replicas run until it is cancelled: one that ends is started again.
	if !placed.Job.Open() || placed.Job.Shape != protocol.Batch || placed.Job.Done.Get(placed.Task) {
		return
	}
	pr := d.completed[placed.Job]
	if pr == nil {
		pr = &progress{placed.Job.Done.Clone(), placed.Job.DoneCount}
		d.completed[placed.Job] = pr
	}
	if !pr.done.Get(placed.Task) {
		pr.done.Set(placed.Task)
		pr.n++
		controllerGroupUpdate.ended = append(controllerGroupUpdate.ended, storage.CompletedTask{Job: placed.Job, Task: placed.Task})
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
func (c *Controller) planDependencyFailed(planned *plannedTxn, shares map[int]bool, n int) {
	for _, j := range c.cache.DependencyFailed() {
		if n <= 0 || planned.usedOps >= planned.maxOps {
			return
		}
		if _, ok := planned.puts[storage.JobKey(j.ID)]; ok || !shares[j.Shard] {
			continue
		}
		c.putJob(planned, j, protocol.Cancelled)
		n--
	}
	if !c.isLeader() || n <= 0 || planned.usedOps >= planned.maxOps {
		return
	}
	for _, x := range c.cache.StaleRecords(min(n, planned.maxOps-planned.usedOps), time.Now()) {
		planned.put(x.Key, x.Version, protocol.Change{Delete: x.Key})
		planned.usedOps++
	}
}

// plan works out the next transaction, with at most ops puts and deletes.
func (c *Controller) plan(now time.Time, ops int) (*txnBuilder, bool) {
	planned := &plannedTxn{txnBuilder: newTxnBuilder(), maxOps: ops, remaining: map[int32][]storage.PlacedTask{},
		groups: map[*storage.MachineGroup]*groupUpdate{}, completed: map[*storage.Job]*progress{},
		leaving: map[*storage.Fleet]map[*storage.Machine]bool{}}
	c.planner.plannedTasks, c.planner.completedJobs = 0, c.planner.completedJobs[:0]
	shares := map[int]bool{}
	for s := range c.shards.owned {
		if c.ownsShard(s) {
			shares[s] = true
		}
	}
	if len(shares) == 0 {
		return planned.txnBuilder, false
	}
	// Final records of jobs cancelled with one that they need have no haste: every controller
	// tells their users so already. Under full load they take their turn.
	c.planner.dependencyFailedTurn++
	if c.planner.dependencyFailedTurn%8 == 0 {
		c.planDependencyFailed(planned, shares, 1)
	}
	// Jobs whose last task another owner recorded come first.
	for _, j := range c.cache.Jobs {
		if j != nil && shares[j.Shard] && c.complete(j, j.DoneCount) && planned.usedOps < max(1, ops/2) {
			c.finish(planned, j)
		}
	}
	c.planLimits(now, planned)
	c.planCompletions(planned, shares)
	for j, pr := range planned.completed {
		if shares[j.Shard] && c.complete(j, pr.n) {
			if planned.usedOps < ops {
				c.finish(planned, j)
			} else {
				planned.more = true
			}
		}
	}
	c.noteSuspects(planned)
	c.planDependencyFailed(planned, shares, max(1, (ops-planned.usedOps)/4))
	input, res := c.planPlacements(now, planned, shares)
	c.foldCompletions(planned)
	for k, r := range planned.groups {
		key := storage.GroupKey(k.ID)
		rec := c.cache.GroupRecordOf(k, r.ended, func(m *storage.Machine) (storage.GroupMachine, bool) {
			return c.groupMachine(planned, m), !planned.leaving[m.Fleet][m]
		})
		raw := storage.EncodeGroup(rec, c.cache.Packed())
		if len(raw) > c.valueLimit() && c.planner.oversizedGroup == nil {
			c.planner.oversizedGroup = k
		}
		planned.put(key, k.Version, protocol.Change{Put: key, Value: raw})
	}
	for f, gone := range planned.leaving {
		key := storage.FleetKey(f.ID)
		if rec, some := c.cache.FleetWithout(f, gone); some {
			planned.put(key, f.Version, protocol.Change{Put: key, Value: storage.EncodeFleet(&rec, c.cache.Packed())})
		} else {
			planned.put(key, f.Version, protocol.Change{Delete: key})
		}
	}
	c.planPreemptions(now, planned.txnBuilder, input, res, ops-planned.usedOps, planned.remaining)
	if len(planned.puts) > 0 {
		for s := range shares {
			planned.require(storage.ShardKey(s), c.cache.Shards[s].Version)
		}
	}
	return planned.txnBuilder, planned.more
}

// complete tells whether all tasks of an array are done.
func (c *Controller) complete(j *storage.Job, n int) bool {
	return j.Open() && j.Shape == protocol.Batch && n == j.Tasks
}

// finish makes a job done. Its shard's owner does so, whoever recorded its tasks.
func (c *Controller) finish(d *plannedTxn, j *storage.Job) {
	c.planner.completedJobs = append(c.planner.completedJobs, j)
	c.putJob(d, j, protocol.Done)
}

// planCompletions takes what is proved to be gone out of the records, and puts in what
// has changed of the machines themselves.
func (c *Controller) planCompletions(planned *plannedTxn, shares map[int]bool) {
	racks := c.cache.Groups
	first := c.planner.firstGroup // not always the same groups when there is no room for all
	for i := range racks {
		group := racks[(first+i)%len(racks)]
		if group.Version == 0 || !shares[group.Shard] {
			continue
		}
		for _, machine := range group.Machines {
			worker := c.workers.states[machine.Index]
			if machine.Gone || worker == nil {
				continue
			}
			if len(worker.Gone) == 0 && !c.changes(machine, worker) {
				continue
			}
			cost := 0
			if planned.groups[group] == nil {
				cost++
			}
			leaves := worker.terminated && machine.Returning && len(worker.Gone) >= len(machine.Tasks) && machine.FleetEntries <= 1
			if leaves && planned.leaving[machine.Fleet] == nil {
				cost++
			}
			if planned.usedOps+cost > planned.maxOps {
				if !planned.more {
					planned.more, c.planner.firstGroup = true, group.ID
				}
				continue
			}
			groupUpdate := planned.group(group)
			stay := make([]storage.PlacedTask, 0, len(machine.Tasks))
			for _, p := range machine.Tasks {
				out, gone := worker.Gone[dispatch.RefOf(p)]
				if !gone {
					stay = append(stay, p)
				} else if out == dispatch.Completed {
					planned.complete(groupUpdate, p)
				}
			}
			planned.remaining[machine.Index] = stay
			if leaves && len(stay) == 0 {
				if planned.leaving[machine.Fleet] == nil {
					planned.leaving[machine.Fleet] = map[*storage.Machine]bool{}
					planned.usedOps++
				}
				planned.leaving[machine.Fleet][machine] = true
			}
		}
	}
}

// changes tells whether a machine's part of the records has to change, tasks aside.
func (c *Controller) changes(m *storage.Machine, v *workerState) bool {
	e := c.workers.pendingUpdates[m.Index]
	return c.needsTokenRaise(m, v) || (v.terminated && m.Returning) || (v.unhealthy && !m.Unhealthy) || (e != nil && e.differs(m))
}

// needsTokenRaise tells whether the machine's token must be raised: a direct command under
// the present one may still be on its way.
func (c *Controller) needsTokenRaise(m *storage.Machine, v *workerState) bool {
	return v.Uncertain > 0 && v.Uncertain >= c.cache.FencingToken(m)
}

// groupMachine is a machine's part of its group's record with this transaction.
func (c *Controller) groupMachine(planned *plannedTxn, machine *storage.Machine) storage.GroupMachine {
	tasks, changed := planned.remaining[machine.Index]
	if !changed {
		tasks = machine.Tasks
	}
	entry := c.cache.GroupMachineOf(machine, tasks)
	worker := c.workers.states[machine.Index]
	if worker == nil {
		return entry
	}
	// That a machine is sick goes into its record, for whoever owns it next.
	entry.Unhealthy = machine.Unhealthy || worker.unhealthy
	if changed || len(machine.Tasks) == 0 {
		// Only with the tasks that a newer session has lost may the session change.
		entry.Incarnation = max(machine.Incarnation, worker.Incarnation)
	}
	if changed {
		if c.needsTokenRaise(machine, worker) {
			entry.FencingToken = c.nextRevision()
		}
	}
	if e := c.workers.pendingUpdates[machine.Index]; e != nil {
		e.applyTo(&entry)
	}
	return entry
}

// planPlacements puts what waits where there is room.
func (c *Controller) planPlacements(now time.Time, planned *plannedTxn, shares map[int]bool) (*schedule.Input, schedule.Result) {
	maxConds := 4*c.limits().TxnOps - len(shares)
	input := c.placementInput(now, shares, planned)
	hold := input.Hold
	input.Hold = func(j *storage.Job) bool {
		// a task that completes with this batch must not look like a waiting one
		return hold(j) || (planned.completed[j] != nil && j.Waiting() == 0)
	}
	res := schedule.Place(input)
	planned.more = planned.more || res.More
	attempt := c.nextRevision() // never used before, whoever owned the shard
	for _, placement := range res.Placed {
		machine := placement.Slot.Machine
		key := storage.JobKey(placement.Job.ID)
		if _, ok := planned.conditions[key]; !ok {
			if len(planned.conditions)+len(planned.groups)+2 > maxConds {
				planned.more = true
				break
			}
			planned.require(key, placement.Job.Version) // cancelled meanwhile: nothing starts
		}
		if planned.group(machine.Group) == nil {
			planned.more = true
			continue
		}
		tasks, ok := planned.remaining[machine.Index]
		if !ok {
			tasks = slices.Clone(machine.Tasks)
		}
		jv := c.jobState(placement.Job)
		if jv.firstPlacedAt.IsZero() {
			jv.firstPlacedAt = now
			c.metrics.waitSeconds.WithLabelValues(c.classLabel(placement.Job.Class), c.cache.Teams[placement.Job.Team].Name).Observe(now.Sub(placement.Job.ReadyAt).Seconds())
		}
		c.planner.plannedTasks++
		jv.lastPlacedAt = now
		planned.remaining[machine.Index] = append(tasks, storage.PlacedTask{Job: placement.Job, Task: placement.Task, Attempt: attempt,
			PlacedAt: now.Unix(), WaitedS: c.waited(placement.Job, placement.Task, now)})
	}
	return input, res
}

// foldCompletions moves completed tasks from groups that list too many into their jobs' own
// records, one a group and transaction: in the packed layout into a part of the job's set.
func (c *Controller) foldCompletions(planned *plannedTxn) {
	limit := foldThreshold
	keyOf := func(e storage.CompletedTask) string { return storage.JobKey(e.Job.ID) }
	if c.cache.Packed() {
		limit = min(limit, c.valueLimit()/4/packedSizes.ended)
		keyOf = func(e storage.CompletedTask) string { return storage.CompletionKey(e.Job.ID, e.Task) }
	}
	for _, groupUpdate := range planned.groups {
		if len(groupUpdate.ended) <= limit || planned.usedOps >= planned.maxOps {
			continue
		}
		count := map[string]int{}
		var most storage.CompletedTask
		key := ""
		for _, e := range groupUpdate.ended {
			k := keyOf(e)
			count[k]++
			if _, ok := planned.puts[k]; !ok && count[k] > count[key] {
				most, key = e, k
			}
		}
		if key == "" {
			continue
		}
		if c.cache.Packed() {
			rec, version := c.cache.CompletionRecordOf(most.Job, planned.progressOf(most.Job).done, most.Task)
			planned.put(key, version, protocol.Change{Put: key, Value: storage.Encode(rec)})
			planned.usedOps++
		} else {
			c.putJob(planned, most.Job, "")
		}
		groupUpdate.ended = slices.DeleteFunc(groupUpdate.ended, func(e storage.CompletedTask) bool { return keyOf(e) == key })
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
func (c *Controller) placementInput(now time.Time, shares map[int]bool, planned *plannedTxn) *schedule.Input {
	input := &schedule.Input{
		Now: now, Teams: c.cache.Teams, Used: slices.Clone(c.cache.Used), Records: planned.maxOps - planned.usedOps, Tasks: maxPlace,
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
	planBuffers := &c.planner.buffers
	planBuffers.begin(c.cache.MachineCount(), len(c.cache.Groups), len(c.cache.Jobs))
	input.Jobs, input.Scratch = planBuffers.jobs, &planBuffers.place
	clear(c.shards.waiting)
	c.planner.idleWorkPlaced = false
	for _, j := range c.cache.Jobs {
		if j == nil {
			continue
		}
		c.planner.idleWorkPlaced = c.planner.idleWorkPlaced || j.PlacedCount > 0 && c.isIdleWork(j, now)
		if shares[j.Shard] && j.Open() && j.Ready() {
			input.Jobs = append(input.Jobs, j)
			c.shards.waiting[j.Shard] += c.wantedTasks(j)
			if !j.Spot {
				c.planner.onDemandNeededAt = now
			}
		}
	}
	queueLoads := c.queueLoads(now)
	input.Queues = queueLoads.queues
	var room schedule.Capacity
	input.OnDemandWeight = 0.2
	if !c.planner.onDemandNeededAt.IsZero() && now.Sub(c.planner.onDemandNeededAt) < 5*time.Minute {
		input.OnDemandWeight = 6 // jobs that may not use spot machines have come and will again
	}
	held := c.reservedCapacity()
	for _, group := range c.cache.Groups {
		if group.Version == 0 || !shares[group.Shard] {
			continue
		}
		rec := planBuffers.record(schedule.GroupCapacity{Touched: planned.groups[group] != nil, Free: c.recordCapacity(group)})
		for _, machine := range group.Machines {
			if machine.Gone {
				continue
			}
			tasks, ok := planned.remaining[machine.Index]
			if ok {
				for _, p := range machine.Tasks {
					input.Used[p.Job.Team].Add(p.Job, -1)
				}
				for _, p := range tasks {
					input.Used[p.Job.Team].Add(p.Job, 1)
				}
			} else {
				tasks = machine.Tasks
			}
			machineType := &c.cache.Types[machine.Type]
			input.Capacity.Cpus += machineType.Cpus
			input.Capacity.Gpus += machineType.Gpus
			input.Capacity.Mem += machineType.Mem
			if room.All += machineType.Cpus; !machine.Spot {
				room.OnDemand += machineType.Cpus
			}
			worker := c.workerState(machine)
			if !c.usable(machine, worker, now) {
				if c.booting(machine, worker, now) {
					planBuffers.booting = append(planBuffers.booting, &schedule.Slot{Machine: machine, FetchGBs: machineType.FetchGBs, BootS: c.bootLeft(machine, worker, now),
						Free: storage.Usage{Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem}})
				}
				continue
			}
			slot := planBuffers.slot(schedule.Slot{Machine: machine, Record: rec, FetchGBs: machineType.FetchGBs, Free: storage.Usage{Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem}})
			cache := 0.0
			first := len(planBuffers.images)
			for i := len(worker.images) - 1; i >= 0; i-- {
				cache += c.cache.ImageGB(worker.images[i])
				if machineType.CacheGB > 0 && cache > machineType.CacheGB && len(planBuffers.images) > first {
					break
				}
				planBuffers.images = append(planBuffers.images, worker.images[i])
			}
			slot.Images = slices.Clip(planBuffers.images[first:]) // what is added later must not reach the next one's
			began, coming := now.Unix(), 0.0
			for _, p := range tasks {
				slot.Free.Add(p.Job, -1)
				slot.AddFragile(p.Job)
				if !p.Job.Priority.Top() && p.Job.Open() && !c.cache.IsVictim(p) {
					slot.Preemptible.Add(p.Job, 1)
				}
				if !slices.Contains(slot.Images, p.Job.Image) && !slices.Contains(slot.FetchingImages, p.Job.Image) {
					slot.FetchingImages = append(slot.FetchingImages, p.Job.Image)
					coming += p.Job.ImageGB
					began = min(began, p.PlacedAt)
				}
			}
			if slot.FetchGBs > 0 && coming > 0 {
				slot.FetchDoneS = max(1, coming/slot.FetchGBs-float64(now.Unix()-began))
			}
			if machineType.Gpus > 0 {
				slot.PerGpu = machineType.Cpus / machineType.Gpus
			}
			slot.Risk = 4*c.failedRecently(worker) + 8*max(0, worker.slowdown-1.3)
			slot.Reservations = held[machine.Name]
		}
	}
	was := c.planner.overloaded
	if input.Overloaded = c.detectOverload(queueLoads, input.Jobs, room, &c.planner.overloaded, now); input.Overloaded != was {
		c.logOverload(queueLoads, input.Overloaded)
	}
	input.Slots, input.Booting, planBuffers.jobs = planBuffers.order, planBuffers.booting, input.Jobs[:0]
	slices.SortFunc(input.Slots, func(a, b *schedule.Slot) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(a.Machine), c.cpuPrice(b.Machine)), cmp.Compare(a.Machine.Name, b.Machine.Name))
	})
	for i, s := range input.Slots {
		s.Rank = float64(i) / float64(len(input.Slots))
	}
	return input
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
func (c *Controller) recordCapacity(group *storage.MachineGroup) int {
	limit, size := c.valueLimit(), plainSizes
	if c.cache.Packed() {
		// What ends needs some room too: a completed task stays listed for a while.
		limit, size = limit*8/10, packedSizes
	}
	used := group.Size
	if !c.cache.Packed() || !group.Packed { // it is not known yet what it will take
		used = size.base + size.machine*len(group.Machines) + size.ended*len(group.Completed)
		for _, m := range group.Machines {
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
		c.needsTokenRaise(m, v) || c.workers.pendingUpdates[m.Index].blocksPlacement() || c.unresponsive(v, now) {
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
func (c *Controller) objectiveLeft(job *storage.Job, now time.Time) (allow time.Duration, late bool) {
	age := now.Sub(job.ReadyAt)
	best, last := time.Duration(0), time.Duration(0)
	take := func(d time.Duration) {
		last = max(last, d)
		if d > age+seconds(job.Estimate) && (best == 0 || d < best) {
			best = d
		}
	}
	due := job.Submitted.Add(job.Deadline).Sub(job.ReadyAt) // its deadline counts from the submission
	if job.Deadline > 0 {
		take(due)
	}
	if !job.FinishBy.IsZero() {
		take(job.FinishBy.Sub(job.ReadyAt)) // for those that need it
		take(job.FinishLatest.Sub(job.ReadyAt))
	}
	class := c.cache.Classes.Name(job.Class)
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Class != class {
			continue
		}
		switch {
		case o.Kind == "wait" && o.WithinS > 0:
			take(seconds(o.WithinS + job.Estimate)) // by when it should have started
		case o.WithinS > 0:
			take(seconds(o.WithinS))
		case o.Times > 0 && job.Deadline > 0:
			take(due + time.Duration(float64(job.Deadline)*(o.Times-1)))
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
	for id, victimSet := range c.cache.VictimSets {
		job := c.cache.Job(id)
		if job == nil || !job.Open() {
			continue
		}
		for _, r := range victimSet.Reservations {
			m := c.cache.Machine(r.Machine)
			if m == nil {
				continue
			}
			if n := slotsLeft(victimSet, r, job, m); n > 0 {
				out[r.Machine] = append(out[r.Machine], schedule.Reservation{Job: job, Slots: n})
			}
		}
	}
	return out
}
