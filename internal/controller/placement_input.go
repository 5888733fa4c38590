package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

const (
	// Cost, in seconds (schedule.Input.OnDemandCostS), of placing work that may use a spot machine on
	// an on-demand one. The higher cost applies for onDemandNeededFor after a job that must not use
	// spot machines was open, since more such jobs are likely to follow.
	onDemandCostS       = 0.2
	neededOnDemandCostS = 6
	onDemandNeededFor   = 5 * time.Minute

	// Additions to a machine's risk, in seconds (schedule.Slot.RiskS): for each recent failure, and
	// for the factor by which its tasks exceed their estimates, as far as that is above
	// ignoredSlowdown.
	riskPerFailureS  = 4
	riskPerSlowdownS = 8
	ignoredSlowdown  = 1.3
)

// placementInput returns the input of a placement pass over the shards that this controller owns.
func (c *Controller) placementInput(now time.Time, shards map[int]bool, planned *plannedTxn) *schedule.Input {
	input := c.placementRules(now, planned)
	buffers := &c.planner.buffers
	buffers.begin(c.cache.MachineCount(), len(c.cache.Groups), len(c.cache.Jobs))
	input.Jobs, input.Scratch = buffers.jobs, &buffers.place
	c.addWaitingJobs(input, shards)
	loads := c.queueLoads(now)
	input.Queues = loads.queues
	input.OnDemandCostS = c.currentOnDemandCostS(now)
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

// placementRules returns a placement input without jobs and machines.
func (c *Controller) placementRules(now time.Time, planned *plannedTxn) *schedule.Input {
	return &schedule.Input{
		Now:          now,
		Teams:        c.cache.Teams,
		Used:         slices.Clone(c.cache.TeamUsage),
		RecordBudget: planned.opsLeft(),
		Tasks:        maxPlacementsPerPass,
		TimeAllowed:  func(job *storage.Job) (time.Duration, bool) { return c.objectiveLeft(job, now) },
		Starving: func(job *storage.Job) bool {
			return job.PlacedCount+job.DoneCount == 0 && now.Sub(job.ReadyAt) >= firstTaskDueAfter
		},
		Overdue: func(job *storage.Job) bool { return c.waitedTooLong(job, now) },
		Held: func(job *storage.Job) bool {
			state := c.jobStates[job]
			return state != nil && now.Before(state.retryAt) || c.suspectTaskPlaced(job) || c.cache.PlacementUnknown(job)
		},
		MayPreempt: func(job *storage.Job) bool { return c.mayWaitForPreemption(job, now) },
		MaxTasksOf: func(job *storage.Job) int {
			if c.suspect(job) {
				return 1
			}
			return job.Tasks
		},
	}
}

// addWaitingJobs adds the jobs of the given shards that may start, and records the number of
// waiting tasks by shard.
func (c *Controller) addWaitingJobs(input *schedule.Input, shards map[int]bool) {
	clear(c.shards.waitingTasks)
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
		c.shards.waitingTasks[job.Shard] += c.wantedTasks(job)
		if !job.Spot {
			c.planner.onDemandNeededAt = input.Now
		}
	}
}

// currentOnDemandCostS returns the current cost, in seconds, of using an on-demand machine.
func (c *Controller) currentOnDemandCostS(now time.Time) float64 {
	if !c.planner.onDemandNeededAt.IsZero() && now.Sub(c.planner.onDemandNeededAt) < onDemandNeededFor {
		return neededOnDemandCostS
	}
	return onDemandCostS
}

// addMachines adds the machines of the given shards as of the planned transaction, and returns
// their total capacity.
func (c *Controller) addMachines(input *schedule.Input, shards map[int]bool, planned *plannedTxn) schedule.Capacity {
	var total schedule.Capacity
	reserved := c.reservedCapacity()
	for _, group := range c.cache.Groups {
		if group.Version == 0 || !shards[group.Shard] || c.cache.GroupRejected(group) {
			continue
		}
		record := c.planner.buffers.record(schedule.GroupCapacity{Rewritten: planned.groups[group] != nil, Free: c.recordCapacity(group)})
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

// replaceUsage replaces a machine's tasks in the teams' usage.
func replaceUsage(used []storage.Usage, before, after []storage.PlacedTask) {
	for _, placed := range before {
		used[placed.Job.Team].Add(placed.Job, -1)
	}
	for _, placed := range after {
		used[placed.Job.Team].Add(placed.Job, 1)
	}
}

// addSlot adds a machine that may take tasks now and returns its slot. Otherwise it returns nil,
// and adds the machine to the booting ones if it is booting.
func (c *Controller) addSlot(machine *storage.Machine, tasks []storage.PlacedTask, record *schedule.GroupCapacity, now time.Time) *schedule.Slot {
	machineType := &c.cache.Types[machine.Type]
	total := storage.Usage{Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem}
	worker := c.workerState(machine)
	buffers := &c.planner.buffers
	if !c.usable(machine, worker, now) {
		if c.booting(machine, worker, now) {
			buffers.booting = append(buffers.booting, &schedule.Slot{
				Machine: machine, FetchGBs: machineType.FetchGBPerSecond, BootRemainingS: c.remainingBootS(machine, worker, now), Free: total})
		}
		return nil
	}
	slot := buffers.slot(schedule.Slot{Machine: machine, Record: record, FetchGBs: machineType.FetchGBPerSecond, Free: total})
	slot.Images = c.cachedImages(worker, machineType)
	c.addTasks(slot, tasks, now)
	if machineType.Gpus > 0 {
		slot.CpusPerGpu = machineType.Cpus / machineType.Gpus
	}
	slot.RiskS = riskPerFailureS*c.failedRecently(worker) + riskPerSlowdownS*max(0, worker.slowdown-ignoredSlowdown)
	return slot
}

// cachedImages returns the most recently used images that fit into a machine's image cache, and at
// least one if any image was used.
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
	return slices.Clip(buffers.images[first:]) // an append must not overwrite the next machine's images
}

// addTasks subtracts a machine's tasks from its free capacity, and records which capacity could be
// preempted and which images are still being fetched.
func (c *Controller) addTasks(slot *schedule.Slot, tasks []storage.PlacedTask, now time.Time) {
	fetchBegan, fetchingGB := now.Unix(), 0.0
	for _, placed := range tasks {
		job := placed.Job
		slot.Free.Add(job, -1)
		slot.AddFragile(job)
		if !job.Priority.IsTop() && job.Open() && !c.cache.IsVictim(placed) {
			slot.Preemptible.Add(job, 1)
		}
		if !slices.Contains(slot.Images, job.Image) && !slices.Contains(slot.FetchingImages, job.Image) {
			slot.FetchingImages = append(slot.FetchingImages, job.Image)
			fetchingGB += job.ImageGB
			fetchBegan = min(fetchBegan, placed.PlacedAt)
		}
	}
	if slot.FetchGBs > 0 && fetchingGB > 0 {
		slot.FetchRemainingS = max(1, fetchingGB/slot.FetchGBs-float64(now.Unix()-fetchBegan))
	}
}

// rankSlots sorts machines by price per CPU, cheapest first, and assigns them ranks from 0 up to,
// but not including, 1.
func (c *Controller) rankSlots(slots []*schedule.Slot) {
	slices.SortFunc(slots, func(a, b *schedule.Slot) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(a.Machine), c.cpuPrice(b.Machine)), cmp.Compare(a.Machine.Name, b.Machine.Name))
	})
	for i, slot := range slots {
		slot.PriceRank = float64(i) / float64(len(slots))
	}
}

// cpuPrice returns a machine's price per CPU.
func (c *Controller) cpuPrice(machine *storage.Machine) float64 {
	machineType := &c.cache.Types[machine.Type]
	price := machineType.Price
	if machine.Spot {
		price = machineType.SpotPrice
	}
	return price / max(machineType.Cpus, 1)
}

// usable reports whether a machine may take more tasks.
func (c *Controller) usable(machine *storage.Machine, worker *workerState, now time.Time) bool {
	switch {
	case machine.Returning, machine.Draining, machine.Unhealthy:
		return false
	case worker.unhealthy, worker.terminated, !worker.preemptionAt.IsZero():
		return false
	case worker.Incarnation == 0, worker.Incarnation < machine.Incarnation:
		return false // no heartbeat yet, or only from an earlier process than the recorded one
	case c.needsTokenRaise(machine, worker), c.workers.pendingUpdates[machine.Index].blocksPlacement(), c.unresponsive(worker, now):
		return false
	}
	return now.Sub(worker.lastMessageAt) < seconds(2*c.cfg.Deployment.Workers.HeartbeatS+1)
}

// planBuffers holds memory that placement passes reuse: a pass allocates in proportion to the tasks
// that it places, not to the number of machines and jobs.
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

// begin empties the buffers and reserves capacity for all machines, groups and jobs.
func (b *planBuffers) begin(machines, groups, jobs int) {
	b.slots = slices.Grow(b.slots[:0], machines)
	b.order = b.order[:0]
	b.booting = b.booting[:0]
	b.records = slices.Grow(b.records[:0], groups)
	b.images = b.images[:0]
	b.jobs = slices.Grow(b.jobs[:0], jobs)
}

// record stores a group's capacity. The pointer stays valid during the pass because begin has
// reserved capacity for all groups.
func (b *planBuffers) record(capacity schedule.GroupCapacity) *schedule.GroupCapacity {
	b.records = append(b.records, capacity)
	return &b.records[len(b.records)-1]
}

// slot stores a machine's slot in the order of addition. The pointer stays valid during the pass
// because begin has reserved capacity for all machines.
func (b *planBuffers) slot(slot schedule.Slot) *schedule.Slot {
	b.slots = append(b.slots, slot)
	stored := &b.slots[len(b.slots)-1]
	b.order = append(b.order, stored)
	return stored
}
