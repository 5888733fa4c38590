package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

const (
	// On-demand machines weigh more while jobs that may use no others have come of late and
	// are likely to come again.
	onDemandWeight       = 0.2
	onDemandWeightNeeded = 6
	onDemandNeededFor    = 5 * time.Minute

	// What a machine's recent failures, and tasks that run over their estimates, add to its risk.
	riskPerFailure  = 4
	riskPerSlowdown = 8
	ignoredSlowdown = 1.3
)

// placementInput is the input of a placement pass over the shards that this controller owns.
func (c *Controller) placementInput(now time.Time, shards map[int]bool, planned *plannedTxn) *schedule.Input {
	input := c.placementRules(now, planned)
	buffers := &c.planner.buffers
	buffers.begin(c.cache.MachineCount(), len(c.cache.Groups), len(c.cache.Jobs))
	input.Jobs, input.Scratch = buffers.jobs, &buffers.place
	c.addWaitingJobs(input, shards)
	loads := c.queueLoads(now)
	input.Queues = loads.queues
	input.OnDemandWeight = c.onDemandWeight(now)
	total := c.addMachines(input, shards, planned)
	wasOverloaded := c.planner.overloaded
	input.Overloaded = c.detectOverload(loads, input.Jobs, total, &c.planner.overloaded, now)
	if input.Overloaded != wasOverloaded {
		c.logOverload(loads, input.Overloaded)
	}
	input.Slots, input.Booting, buffers.jobs = buffers.order, buffers.booting, input.Jobs[:0]
	c.rankSlots(input.Slots)
	return input
}

// placementRules is an input without jobs and machines.
func (c *Controller) placementRules(now time.Time, planned *plannedTxn) *schedule.Input {
	return &schedule.Input{
		Now:         now,
		Teams:       c.cache.Teams,
		Used:        slices.Clone(c.cache.Used),
		Records:     planned.opsLeft(),
		Tasks:       maxPlacementsPerPass,
		TimeAllowed: func(job *storage.Job) (time.Duration, bool) { return c.objectiveLeft(job, now) },
		MustBegin: func(job *storage.Job) bool {
			return job.PlacedCount+job.DoneCount == 0 && now.Sub(job.ReadyAt) >= firstTaskDueAfter
		},
		Overdue: func(job *storage.Job) bool { return c.waitedTooLong(job, now) },
		Hold: func(job *storage.Job) bool {
			state := c.jobStates[job]
			return state != nil && now.Before(state.backoff) || c.probing(job)
		},
		MayPreempt: func(job *storage.Job) bool { return c.mayWaitForPreemption(job, now) },
		MaxTasks: func(job *storage.Job) int {
			if c.suspect(job) {
				return 1
			}
			return job.Tasks
		},
	}
}

// addWaitingJobs adds the jobs of the shards that may start, and notes what waits by shard.
func (c *Controller) addWaitingJobs(input *schedule.Input, shards map[int]bool) {
	clear(c.shards.waiting)
	c.planner.idleWorkPlaced = false
	for _, job := range c.cache.Jobs {
		if job == nil {
			continue
		}
		c.planner.idleWorkPlaced = c.planner.idleWorkPlaced || job.PlacedCount > 0 && c.isIdleWork(job, input.Now)
		if !shards[job.Shard] || !job.Open() || !job.Ready() {
			continue
		}
		input.Jobs = append(input.Jobs, job)
		c.shards.waiting[job.Shard] += c.wantedTasks(job)
		if !job.Spot {
			c.planner.onDemandNeededAt = input.Now
		}
	}
}

// onDemandWeight is how much it weighs against a placement that it takes an on-demand machine.
func (c *Controller) onDemandWeight(now time.Time) float64 {
	if !c.planner.onDemandNeededAt.IsZero() && now.Sub(c.planner.onDemandNeededAt) < onDemandNeededFor {
		return onDemandWeightNeeded
	}
	return onDemandWeight
}

// addMachines adds the machines of the shards, as they are with the planned transaction, and
// returns what all of them have.
func (c *Controller) addMachines(input *schedule.Input, shards map[int]bool, planned *plannedTxn) schedule.Capacity {
	var total schedule.Capacity
	reserved := c.reservedCapacity()
	for _, group := range c.cache.Groups {
		if group.Version == 0 || !shards[group.Shard] {
			continue
		}
		record := c.planner.buffers.record(schedule.GroupCapacity{Touched: planned.groups[group] != nil, Free: c.recordCapacity(group)})
		for _, machine := range group.Machines {
			if machine.Gone {
				continue
			}
			tasks, changed := planned.tasksOf(machine)
			if changed {
				replaceUsage(input.Used, machine.Tasks, tasks)
			}
			machineType := &c.cache.Types[machine.Type]
			input.Capacity.Cpus += machineType.Cpus
			input.Capacity.Gpus += machineType.Gpus
			input.Capacity.Mem += machineType.Mem
			if total.All += machineType.Cpus; !machine.Spot {
				total.OnDemand += machineType.Cpus
			}
			if slot := c.addSlot(machine, tasks, record, input.Now); slot != nil {
				slot.Reservations = reserved[machine.Name]
			}
		}
	}
	return total
}

// replaceUsage counts other tasks of a machine in the teams' usage.
func replaceUsage(used []storage.Usage, before, after []storage.PlacedTask) {
	for _, placed := range before {
		used[placed.Job.Team].Add(placed.Job, -1)
	}
	for _, placed := range after {
		used[placed.Job.Team].Add(placed.Job, 1)
	}
}

// addSlot adds a machine that may take tasks now, or notes one that boots; nil: it takes none now.
func (c *Controller) addSlot(machine *storage.Machine, tasks []storage.PlacedTask, record *schedule.GroupCapacity, now time.Time) *schedule.Slot {
	machineType := &c.cache.Types[machine.Type]
	total := storage.Usage{Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem}
	worker := c.workerState(machine)
	buffers := &c.planner.buffers
	if !c.usable(machine, worker, now) {
		if c.booting(machine, worker, now) {
			buffers.booting = append(buffers.booting, &schedule.Slot{
				Machine: machine, FetchGBs: machineType.FetchGBs, BootS: c.bootLeft(machine, worker, now), Free: total})
		}
		return nil
	}
	slot := buffers.slot(schedule.Slot{Machine: machine, Record: record, FetchGBs: machineType.FetchGBs, Free: total})
	slot.Images = c.cachedImages(worker, machineType)
	c.addTasks(slot, tasks, now)
	if machineType.Gpus > 0 {
		slot.PerGpu = machineType.Cpus / machineType.Gpus
	}
	slot.Risk = riskPerFailure*c.failedRecently(worker) + riskPerSlowdown*max(0, worker.slowdown-ignoredSlowdown)
	return slot
}

// cachedImages are the most recently used images that fit into a machine's cache, at least one
// if any was used.
func (c *Controller) cachedImages(worker *workerState, machineType *storage.MachineType) []int {
	buffers := &c.planner.buffers
	first := len(buffers.images)
	cachedGB := 0.0
	for i := len(worker.images) - 1; i >= 0; i-- {
		cachedGB += c.cache.ImageGB(worker.images[i])
		if machineType.CacheGB > 0 && cachedGB > machineType.CacheGB && len(buffers.images) > first {
			break
		}
		buffers.images = append(buffers.images, worker.images[i])
	}
	return slices.Clip(buffers.images[first:]) // what is added later must not reach the next machine's
}

// addTasks takes the tasks of a machine off what is free, and adds what could be preempted and
// which images are still being fetched.
func (c *Controller) addTasks(slot *schedule.Slot, tasks []storage.PlacedTask, now time.Time) {
	fetchBegan, fetchingGB := now.Unix(), 0.0
	for _, placed := range tasks {
		job := placed.Job
		slot.Free.Add(job, -1)
		slot.AddFragile(job)
		if !job.Priority.Top() && job.Open() && !c.cache.IsVictim(placed) {
			slot.Preemptible.Add(job, 1)
		}
		if !slices.Contains(slot.Images, job.Image) && !slices.Contains(slot.FetchingImages, job.Image) {
			slot.FetchingImages = append(slot.FetchingImages, job.Image)
			fetchingGB += job.ImageGB
			fetchBegan = min(fetchBegan, placed.PlacedAt)
		}
	}
	if slot.FetchGBs > 0 && fetchingGB > 0 {
		slot.FetchDoneS = max(1, fetchingGB/slot.FetchGBs-float64(now.Unix()-fetchBegan))
	}
}

// rankSlots sorts machines by price, the cheapest first, and ranks them from 0 to 1.
func (c *Controller) rankSlots(slots []*schedule.Slot) {
	slices.SortFunc(slots, func(a, b *schedule.Slot) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(a.Machine), c.cpuPrice(b.Machine)), cmp.Compare(a.Machine.Name, b.Machine.Name))
	})
	for i, slot := range slots {
		slot.Rank = float64(i) / float64(len(slots))
	}
}

// cpuPrice is what a machine costs for each of its CPUs.
func (c *Controller) cpuPrice(machine *storage.Machine) float64 {
	machineType := &c.cache.Types[machine.Type]
	price := machineType.Price
	if machine.Spot {
		price = machineType.SpotPrice
	}
	return price / max(machineType.Cpus, 1)
}

// usable tells whether a machine may take more tasks.
func (c *Controller) usable(machine *storage.Machine, worker *workerState, now time.Time) bool {
	switch {
	case machine.Returning, machine.Draining, machine.Unhealthy:
		return false
	case worker.unhealthy, worker.terminated, !worker.preemptedAt.IsZero():
		return false
	case worker.Incarnation == 0, worker.Incarnation < machine.Incarnation:
		return false // not heard yet, or only a process before the recorded one was
	case c.needsTokenRaise(machine, worker), c.workers.pendingUpdates[machine.Index].blocksPlacement(), c.unresponsive(worker, now):
		return false
	}
	return now.Sub(worker.heard) < seconds(2*c.cfg.Deployment.Workers.HeartbeatS+1)
}

// planBuffers is memory in which a placement pass works, kept for the next one: a pass
// allocates in proportion to the tasks that it places, not to the machines and jobs there are.
type planBuffers struct {
	slots       []schedule.Slot
	order       []*schedule.Slot
	booting     []*schedule.Slot
	records     []schedule.GroupCapacity
	images      []int
	jobs        []*storage.Job
	waitingWork []schedule.WaitingWork
	place       schedule.Scratch
}

// begin empties the buffers and makes room for all machines, groups and jobs.
func (b *planBuffers) begin(machines, groups, jobs int) {
	b.slots = slices.Grow(b.slots[:0], machines)
	b.order = b.order[:0]
	b.booting = b.booting[:0]
	b.records = slices.Grow(b.records[:0], groups)
	b.images = b.images[:0]
	b.jobs = slices.Grow(b.jobs[:0], jobs)
}

// record keeps a group's capacity. It is not moved while the pass lasts: begin has made room for all.
func (b *planBuffers) record(capacity schedule.GroupCapacity) *schedule.GroupCapacity {
	b.records = append(b.records, capacity)
	return &b.records[len(b.records)-1]
}

// slot keeps a machine, likewise, in the order of its addition.
func (b *planBuffers) slot(slot schedule.Slot) *schedule.Slot {
	b.slots = append(b.slots, slot)
	stored := &b.slots[len(b.slots)-1]
	b.order = append(b.order, stored)
	return stored
}
