package controller

import (
	"slices"
	"time"

	"dykeledge/internal/storage"
)

const (
	// moveMargin is the ratio of loads below which no group is moved: after a move, the group's
	// machines take no tasks until their workers have found the new owner.
	moveMargin = 1.1
	// idleMargin is the ratio of capacity to non-idle work that a shard keeps when machines move
	// for another shard's idle-time work.
	idleMargin = 1.25
	// maxMovesPerPass limits how many groups move in one pass.
	maxMovesPerPass = 6
	// moveCooldown is how long a group stays in its shard after a move. Without it, groups move back
	// and forth, and after each move their machines take no tasks until the workers have found their
	// new owner.
	moveCooldown = 6 * time.Second
	// fitCheckAfter is how long a job must have waited before it is checked individually whether it
	// fits on a machine of its shard.
	fitCheckAfter = 5 * time.Second
)

// workKind selects the work that a rebalancing pass considers.
type workKind uint8

const (
	onDemandWork workKind = iota // work that must not use spot machines, and on-demand machines only
	allWork                      // all work except idle-time work
	idleWork                     // all work; the pass moves groups only if no other work lacks capacity
)

// rebalancePass is one rebalancing pass over one kind of work.
type rebalancePass struct {
	*rebalancer
	now    time.Time
	kind   workKind
	shards []shardLoad
	// idle holds the jobs of idle-time work. Their tasks count as free capacity in passes over
	// other work; otherwise a shard with idle-time work only could draw machines from teams whose
	// work has objectives.
	idle map[*storage.Job]bool
	// withoutFit marks shards with a waiting job that fits on none of their machines although the
	// sum of free capacity would suffice.
	withoutFit       []bool
	withoutCandidate []bool // shards for which no group to move was found
}

// rebalancePass moves groups one by one from the least loaded shard to the most loaded one with
// waiting work, as long as the source remains the less loaded one.
func (r *rebalancer) rebalancePass(now time.Time, kind workKind) {
	shardCount := r.c.cache.NumShards
	pass := &rebalancePass{
		rebalancer:       r,
		now:              now,
		kind:             kind,
		shards:           make([]shardLoad, shardCount),
		idle:             map[*storage.Job]bool{},
		withoutFit:       make([]bool, shardCount),
		withoutCandidate: make([]bool, shardCount),
	}
	pass.addJobs()
	if kind == allWork && r.c.guaranteesTimed() {
		r.c.addGuaranteeClaims(pass.shards)
	}
	pass.addGroups()
	if kind == idleWork && pass.otherWorkWaits() {
		return
	}
	if kind == allWork {
		pass.addOverloadClaims()
	}
	if kind != onDemandWork {
		pass.findShardsWithoutFit()
	}
	pass.moveGroups()
}

// addJobs adds up the shards' work.
func (p *rebalancePass) addJobs() {
	budget := p.c.newLimitBudget() // work beyond a team's limit does not wait for capacity
	for _, job := range p.c.cache.Jobs {
		if job == nil || !job.Open() || (p.kind == onDemandWork && job.Spot) {
			continue
		}
		p.addJob(job, budget.take(job))
	}
}

// addJob adds a job's placed tasks, and the given number of waiting ones, to its shard's load.
func (p *rebalancePass) addJob(job *storage.Job, waitingTasks int) {
	shard := &p.shards[job.Shard]
	waiting, placed := float64(waitingTasks)*job.TaskSize, float64(job.PlacedCount)*job.TaskSize
	if p.c.isIdleWork(job, p.now) {
		if p.kind != idleWork {
			p.idle[job] = true
			return
		}
	} else {
		shard.nonIdleDemand += float64(job.PlacedCount+waitingTasks) * job.TaskSize
		shard.nonIdleWaiting += waiting
	}
	shard.demand += placed
	if state := p.c.jobStates[job]; state != nil && p.now.Before(state.retryAt) {
		return // waiting tasks of a job in backoff would not start now
	}
	shard.waiting += waiting
	shard.demand += waiting
}

// addGroups adds up the capacity of the shards' machines.
func (p *rebalancePass) addGroups() {
	for _, group := range p.c.cache.Groups {
		if group.Version == 0 || p.moved[group] || p.c.cache.GroupRejected(group) {
			continue
		}
		movable := p.now.Sub(p.c.leader.groupMovedAt[group.ID]) > moveCooldown
		p.shards[group.Shard].addGroup(p.groupLoad(group), movable)
	}
	for i := range p.shards {
		p.shards[i].sortMovable()
	}
}

// groupLoad adds up the capacity of a group's machines.
func (p *rebalancePass) groupLoad(group *storage.MachineGroup) *groupLoad {
	load := &groupLoad{group: group}
	for _, machine := range group.Machines {
		if machine.Gone || machine.Returning || (p.kind == onDemandWork && machine.Spot) {
			continue
		}
		load.capacity += p.c.cache.Types[machine.Type].Cpus
		load.free += p.freeCpus(machine)
	}
	return load
}

// freeCpus returns the CPUs of a machine that are free for waiting work.
func (p *rebalancePass) freeCpus(machine *storage.Machine) float64 {
	if p.c.workers.pendingUpdates[machine.Index].blocksPlacement() || machine.Unhealthy || machine.Draining {
		return 0
	}
	free := p.c.cache.Types[machine.Type].Cpus
	for _, placed := range machine.Tasks {
		if !p.idle[placed.Job] {
			free -= placed.Job.TaskSize
		}
	}
	return free
}

// otherWorkWaits reports whether some shard lacks capacity for work other than idle-time work.
func (p *rebalancePass) otherWorkWaits() bool {
	return slices.ContainsFunc(p.shards, func(s shardLoad) bool { return s.nonIdleWaiting > s.free })
}

// addOverloadClaims raises the shards' claims to their queues' floors during an overload.
func (p *rebalancePass) addOverloadClaims() {
	loads := p.c.queueLoads(p.now)
	if p.c.detectOverload(loads, p.c.cache.Jobs, p.c.totalCapacity(), &p.c.leader.overloadActive, p.now) {
		p.c.addOverloadClaims(p.shards, loads)
	}
}

// findShardsWithoutFit finds the shards whose work waits although the sum of their free capacity
// would suffice. Sums do not show where capacity is: a job bound to one zone may wait beside free
// capacity in other zones, and a job with large tasks beside many small remainders. Such a shard
// also needs a group, one on which that job fits now.
func (p *rebalancePass) findShardsWithoutFit() {
	for i := range p.shards {
		s := &p.shards[i]
		p.withoutFit[i] = s.waiting > 0 && s.waiting <= s.free && p.hasJobWithoutFit(i)
	}
}

// hasJobWithoutFit reports whether a shard has a job that has waited for fitCheckAfter, may start,
// and fits on none of the shard's machines.
func (p *rebalancePass) hasJobWithoutFit(shard int) bool {
	examined := 0
	for _, job := range p.c.cache.Jobs {
		if job == nil || job.Shard != shard || p.idle[job] || p.now.Sub(job.ReadyAt) < fitCheckAfter || !p.c.mayStart(job, p.now) {
			continue
		}
		if examined++; examined > maxExaminedJobs {
			return false
		}
		if !slices.ContainsFunc(p.c.cache.Machines, func(m *storage.Machine) bool { return m.Shard == shard && p.fit.fitsNow(job, m) }) {
			return true
		}
	}
	return false
}

// moveGroups moves groups until no shard needs one, no move helps, or a limit on moves or on the
// transaction is reached.
func (p *rebalancePass) moveGroups() {
	for range maxMovesPerPass {
		to := p.mostLoadedShard()
		if to < 0 || len(p.txn.Then) >= p.c.limits().TxnOps {
			return
		}
		from, index := p.chooseGroup(to)
		if index < 0 {
			p.withoutCandidate[to] = true
			continue
		}
		p.withoutFit[to] = false
		group := p.shards[from].transferGroup(index, &p.shards[to]).group
		p.move(group, to)
	}
}

// mostLoadedShard returns the shard that needs machines the most among those whose work waits for
// capacity, or -1 if there is none.
func (p *rebalancePass) mostLoadedShard() int {
	mostLoaded := -1
	for i := range p.shards {
		s := &p.shards[i]
		if p.withoutCandidate[i] || s.waiting <= s.free && !p.withoutFit[i] {
			continue
		}
		if mostLoaded < 0 || s.precedes(&p.shards[mostLoaded]) {
			mostLoaded = i
		}
	}
	return mostLoaded
}

// leastLoadedShard returns the least loaded shard other than the given one that has a movable
// group, or -1 if there is none.
func (p *rebalancePass) leastLoadedShard(except int) int {
	least := -1
	for i := range p.shards {
		if i == except || len(p.shards[i].movable) == 0 {
			continue
		}
		if least < 0 || p.shards[i].loadAfter(0) < p.shards[least].loadAfter(0) {
			least = i
		}
	}
	return least
}

// chooseGroup chooses a group to move to a shard. It returns the shard from which the group moves
// and the group's index among that shard's movable groups, or index -1 if there is none.
func (p *rebalancePass) chooseGroup(to int) (from, index int) {
	if from = p.leastLoadedShard(to); from >= 0 && !p.withoutFit[to] {
		if index = p.groupBalancingLoad(from, to); index >= 0 {
			return from, index
		}
	}
	return p.groupForStuckShard(to)
}

// groupBalancingLoad returns the index of the first movable group of a shard whose move to another
// shard balances their loads, or -1 if there is none. A shard with less capacity than it claims may
// get a group whatever the loads are.
func (p *rebalancePass) groupBalancingLoad(from, to int) int {
	source, target := &p.shards[from], &p.shards[to]
	return slices.IndexFunc(source.movable, func(g *groupLoad) bool {
		remaining := source.capacity - g.capacity
		if remaining < source.claim {
			return false // the source would have less capacity than it claims for its own teams
		}
		if p.kind == idleWork && remaining < idleMargin*source.nonIdleDemand {
			return false
		}
		evens := source.loadAfter(-g.capacity)*moveMargin < target.loadAfter(g.capacity)
		return (target.short() || evens) && p.c.anyWaitingAllowed(to, g.group)
	})
}

// groupForStuckShard chooses a group for a shard whose work waits although no move balances load.
// Loads say little about a shard that has no group, or would have none, because the tasks on a
// group's machines move with it. In this case a group may move immediately from a shard where
// nothing waits, because free capacity there is of use elsewhere. Without such a move a job would
// wait forever: since the sums show enough capacity for all work, nothing would be provisioned.
// After stuckAfter a group may also move if the loads can be compared, since the machines of the
// waiting work's shard may be full of long-running tasks, or from a shard whose own work waits.
func (p *rebalancePass) groupForStuckShard(to int) (from, index int) {
	p.stuck[to] = true
	waitedLong := p.now.Sub(p.c.leader.markStuck(to, p.now)) > stuckAfter
	// Shards without waiting work come first.
	for _, sourceWaits := range []bool{false, true} {
		for i := range p.shards {
			source := &p.shards[i]
			if i == to || source.waiting > 0 != sourceWaits {
				continue
			}
			// Loads can be compared if the source keeps a group and the target has one.
			loadsComparable := source.groupCount > 1 && p.shards[to].capacity > 0
			if !waitedLong && (sourceWaits || loadsComparable) {
				continue
			}
			if index := p.spareGroup(i, to, sourceWaits); index >= 0 {
				return i, index
			}
		}
	}
	return -1, -1
}

// spareGroup returns the index of the first movable group of a shard that leaves the shard the
// capacity that it claims and on which another shard's waiting work fits now, or -1 if there is
// none. If the source's own work waits too, that work must not fit on the group.
func (p *rebalancePass) spareGroup(from, to int, sourceWaits bool) int {
	source := &p.shards[from]
	return slices.IndexFunc(source.movable, func(g *groupLoad) bool {
		if source.capacity-g.capacity < source.claim || !p.fit.anyWaitingFits(to, g.group) {
			return false
		}
		return !sourceWaits || !p.fit.anyWaitingFits(from, g.group)
	})
}
