package controller

import (
	"slices"
	"time"

	"dykeledge/internal/storage"
)

const (
	// moveMargin keeps groups from being moved for a small difference in load: a move costs a moment
	// until the workers have found their new owner.
	moveMargin = 1.1
	// idleMargin is how much more than its own work takes a shard keeps before machines move for
	// another shard's idle-time work.
	idleMargin = 1.25
	// maxMovesPerPass bounds how many groups move in one pass.
	maxMovesPerPass = 6
	// moveCooldown is how long a group that was moved stays where it is.
	moveCooldown = 6 * time.Second
	// fitCheckAfter is how long a job must have waited for it to be looked at by itself.
	fitCheckAfter = 5 * time.Second
)

// workKind is what a pass looks at.
type workKind uint8

const (
	onDemandWork workKind = iota // work that may not use spot machines, and on-demand machines
	allWork                      // all but idle-time work
	idleWork                     // idle-time work too, once nothing else waits
)

// rebalancePass is one pass over one kind of work.
type rebalancePass struct {
	*rebalancer
	now    time.Time
	kind   workKind
	shards []shardLoad
	// idle are jobs of idle-time work that counts as free capacity until nothing else waits: a
	// shard whose only work it was took machines from teams that had to be in time.
	idle map[*storage.Job]bool
	// withoutFit are shards with work that waits beside enough free capacity, where none of it fits.
	withoutFit       []bool
	withoutCandidate []bool // no group helps them
}

// rebalancePass moves groups one by one from the least to the most loaded shard, as long as the
// latter's work waits and the former stays the less loaded one.
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

// addJobs sums up the shards' work.
func (p *rebalancePass) addJobs() {
	budget := p.c.newLimitBudget() // what exceeds a team's limit waits for the limit, not for capacity
	for _, job := range p.c.cache.Jobs {
		if job == nil || !job.Open() || (p.kind == onDemandWork && job.Spot) {
			continue
		}
		p.addJob(job, budget.take(job))
	}
}

// addJob counts a job of which some tasks wait.
func (p *rebalancePass) addJob(job *storage.Job, waitingTasks int) {
	shard := &p.shards[job.Shard]
	waiting, placed := float64(waitingTasks)*job.Size, float64(job.PlacedCount)*job.Size
	if p.c.isIdleWork(job, p.now) {
		if p.kind != idleWork {
			p.idle[job] = true
			return
		}
	} else {
		shard.nonIdleDemand += float64(job.PlacedCount+waitingTasks) * job.Size
		shard.nonIdleWaiting += waiting
	}
	shard.demand += placed
	if state := p.c.jobStates[job]; state != nil && p.now.Before(state.backoff) {
		return // its waiting tasks would not start now
	}
	shard.waiting += waiting
	shard.demand += waiting
}

// addGroups sums up the shards' machines.
func (p *rebalancePass) addGroups() {
	for _, group := range p.c.cache.Groups {
		if group.Version == 0 || p.moved[group] {
			continue
		}
		movable := p.now.Sub(p.c.leader.groupMovedAt[group.ID]) > moveCooldown
		p.shards[group.Shard].addGroup(p.groupLoad(group), movable)
	}
	for i := range p.shards {
		p.shards[i].sortMovable()
	}
}

// groupLoad sums up a group's machines.
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

// freeCpus is what a machine has free for waiting work.
func (p *rebalancePass) freeCpus(m *storage.Machine) float64 {
	if p.c.workers.pendingUpdates[m.Index].blocksPlacement() || m.Unhealthy || m.Draining {
		return 0
	}
	free := p.c.cache.Types[m.Type].Cpus
	for _, placed := range m.Tasks {
		if !p.idle[placed.Job] {
			free -= placed.Job.Size
		}
	}
	return free
}

// otherWorkWaits tells whether some shard's work other than idle-time work lacks capacity.
func (p *rebalancePass) otherWorkWaits() bool {
	return slices.ContainsFunc(p.shards, func(s shardLoad) bool { return s.nonIdleWaiting > s.free })
}

// addOverloadClaims lets shards keep what their queues' floors take while there is an overload.
func (p *rebalancePass) addOverloadClaims() {
	loads := p.c.queueLoads(p.now)
	if p.c.detectOverload(loads, p.c.cache.Jobs, p.c.totalCapacity(), &p.c.leader.overloadActive, p.now) {
		p.c.addOverloadClaims(p.shards, loads)
	}
}

// findShardsWithoutFit finds the shards whose work waits although it seems to have enough capacity.
// Sums say nothing of where capacity is: a job bound to one zone waited beside as much in others, one of
// large tasks beside many small remainders. Such a shard is short too, of a group on which that
// job fits now.
func (p *rebalancePass) findShardsWithoutFit() {
	for i := range p.shards {
		s := &p.shards[i]
		p.withoutFit[i] = s.waiting > 0 && s.waiting <= s.free && p.hasJobWithoutFit(i)
	}
}

// hasJobWithoutFit tells whether a shard has a job that has waited for a while, may run, and fits
// on none of the shard's machines.
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

// moveGroups moves groups until nobody waits, nothing helps, or the transaction is full.
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

// mostLoadedShard is the shard whose work waits that needs machines the most, -1 if there is none.
func (p *rebalancePass) mostLoadedShard() int {
	neediest := -1
	for i := range p.shards {
		s := &p.shards[i]
		if p.withoutCandidate[i] || s.waiting <= s.free && !p.withoutFit[i] {
			continue
		}
		if neediest < 0 || s.precedes(&p.shards[neediest]) {
			neediest = i
		}
	}
	return neediest
}

// leastLoadedShard is the least loaded shard, beside one, that has a group to give; -1 if there is none.
func (p *rebalancePass) leastLoadedShard(except int) int {
	least := -1
	for i := range p.shards {
		if i == except || len(p.shards[i].movable) == 0 {
			continue
		}
		if least < 0 || p.shards[i].demandPerCPU(0) < p.shards[least].demandPerCPU(0) {
			least = i
		}
	}
	return least
}

// chooseGroup finds a group that helps a shard: the shard that gives it, and its index among that
// shard's movable groups, -1 if there is none.
func (p *rebalancePass) chooseGroup(to int) (from, index int) {
	if from = p.leastLoadedShard(to); from >= 0 && !p.withoutFit[to] {
		if index = p.groupBalancingLoad(from, to); index >= 0 {
			return from, index
		}
	}
	return p.groupForStuckShard(to)
}

// groupBalancingLoad finds the first group of a shard whose move brings its load and another's
// nearer, -1 if there is none.
func (p *rebalancePass) groupBalancingLoad(from, to int) int {
	source, target := &p.shards[from], &p.shards[to]
	return slices.IndexFunc(source.movable, func(g *groupLoad) bool {
		remaining := source.capacity - g.capacity
		if remaining < source.claim {
			return false // it would lack what its own teams are guaranteed
		}
		if p.kind == idleWork && remaining < idleMargin*source.nonIdleDemand {
			return false
		}
		evens := source.demandPerCPU(-g.capacity)*moveMargin < target.demandPerCPU(g.capacity)
		return (target.short() || evens) && p.c.anyWaitingAllowed(to, g.group)
	})
}

// groupForStuckShard finds a group for a shard that waits although no move would even out loads. Loads
// say little of a shard that has no group, or would have none: what runs goes along. Where
// nothing waits, free capacity is of use elsewhere: by the sums there was capacity for all,
// nothing was provisioned, and a job waited for ever. After a while the same holds for what waits
// at a shard whose machines are full of work without an end.
func (p *rebalancePass) groupForStuckShard(to int) (from, index int) {
	p.stuck[to] = true
	waitedLong := p.now.Sub(p.c.leader.markStuck(to, p.now)) > stuckAfter
	// Shards where nothing waits come first.
	for _, sourceWaits := range []bool{false, true} {
		for i := range p.shards {
			source := &p.shards[i]
			if i == to || source.waiting > 0 != sourceWaits {
				continue
			}
			// Loads do tell of a giver that keeps a group and a taker that has one.
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

// spareGroup finds the first group of a shard that it can do without and on which another's
// waiting work fits now, -1 if there is none. Where the giver's work waits too, that must not fit there.
func (p *rebalancePass) spareGroup(from, to int, sourceWaits bool) int {
	source := &p.shards[from]
	return slices.IndexFunc(source.movable, func(g *groupLoad) bool {
		if source.capacity-g.capacity < source.claim || !p.fit.anyWaitingFits(to, g.group) {
			return false
		}
		return !sourceWaits || !p.fit.anyWaitingFits(from, g.group)
	})
}
