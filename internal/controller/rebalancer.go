package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// rebalance moves groups from shards with room to spare to shards with waiting
// work. A group need not be empty: what runs on its machines goes on under its new
// owner, and its record moves whole. What may only run on ordinary machines is looked at
// first and on its own: free spot machines are of no use to it.
func (c *Controller) rebalance(ctx context.Context, now time.Time) {
	if c.leader.moveInFlight || c.cache.NumShards < 2 {
		return
	}
	moves := rebalancer{c: c, txn: protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}},
		moved: map[*storage.MachineGroup]bool{}, stuck: map[int]bool{}}
	moves.rebalancePass(now, onDemandWork)
	moves.rebalancePass(now, allWork)
	moves.rebalancePass(now, idleWork)
	for share := range c.leader.stuckSinceByShard {
		if !moves.stuck[share] {
			delete(c.leader.stuckSinceByShard, share)
		}
	}
	if len(moves.txn.Then) == 0 {
		return
	}
	c.leader.moveInFlight = true
	c.leader.movedAt = now
	c.commitAside(ctx, moves.txn, protocol.BackgroundRequest, func(bool) { c.leader.moveInFlight = false })
}

type rebalancer struct {
	c     *Controller
	txn   protocol.Txn
	moved map[*storage.MachineGroup]bool // groups that move with this transaction
	// stuck are the shards that wait, whatever kind of work, although no move evens out loads.
	stuck         map[int]bool
	freeByMachine []storage.Usage // free on each machine by the records, worked out once it is asked for
}

// workKind is what a pass looks at.
type workKind uint8

const (
	onDemandWork workKind = iota // what may not use spot machines, and ordinary machines
	allWork                      // all but idle-time work
	idleWork                     // idle-time work too, once nothing else waits
)

// groupSums is what a group has, in CPUs.
type groupSums struct {
	group          *storage.MachineGroup
	free, capacity float64
}

// shardSums is a shard's work and machines, in CPUs.
type shardSums struct {
	waiting, topWaiting, demand, free, capacity float64
	nonIdleDemand, nonIdleWaiting               float64 // the demand of other than idle-time work, and what of it waits
	claim                                       float64 // what its teams' work within their guarantees takes
	movable                                     []*groupSums
	groupCount                                  int // that have machines of the kind looked at
}

// short tells whether a shard has less than its teams' work within their guarantees takes.
func (s *shardSums) short() bool { return s.capacity < s.claim }

// addClaims works out what the shards' teams may claim by their guarantees. Without
// it the shard with the most work for its machines took machines from one whose
// teams had less than they are guaranteed.
func (mv *rebalancer) addClaims(sums []shardSums) {
	c := mv.c
	demand := make([]float64, len(c.cache.Teams))
	for _, j := range c.cache.Jobs {
		if j != nil && j.Open() {
			demand[j.Team] += float64(j.PlacedCount+c.wantedTasks(j)) * j.Cpus
		}
	}
	for t, team := range c.cache.Teams {
		sums[c.cache.ShardOf(t)].claim += min(team.Cpus, claimMargin*demand[t])
	}
}

// addFloors raises the shards' claims to what their queues have before others in a flood. Without
// it the shard with the flood drew the machines of all others, until those were as late.
func (mv *rebalancer) addFloors(sums []shardSums, loads queueLoads) {
	more, all, left := make([]float64, len(sums)), 0.0, 0.0
	for x := range mv.c.cache.Baseline.Cpus {
		if l := loads.queues.At(x); l != nil {
			more[mv.c.cache.ShardOf(x.Team)] += min(l.Floor, claimMargin*l.Open)
		}
	}
	for i := range sums {
		more[i] = max(0, more[i]-sums[i].claim) // beyond what is guaranteed
		all += more[i]
		left += floorPart*sums[i].capacity - sums[i].claim
	}
	// Where there is less than all claim, each has its part of what guarantees leave.
	for i := range sums {
		sums[i].claim += more[i] * max(0, min(1, left/max(all, 1)))
	}
}

// totalCapacity is what all machines have.
func (c *Controller) totalCapacity() (r schedule.Capacity) {
	for _, m := range c.cache.Machines {
		if m.Gone || m.Returning {
			continue
		}
		cpus := c.cache.Types[m.Type].Cpus
		if r.All += cpus; !m.Spot {
			r.OnDemand += cpus
		}
	}
	return r
}

// floorPart is how much of the machines may be claimed: the rest still moves by load.
const floorPart = 0.95

// guaranteesTimed tells whether work within a guarantee is expected to start within
// some time. Where it is not, room held ready for it only costs others.
func (c *Controller) guaranteesTimed() bool {
	return slices.ContainsFunc(c.cfg.Deployment.Objectives, func(o config.Objective) bool { return o.Kind == "guarantee" && o.WithinS > 0 })
}

// claimMargin leaves a team some room for the next job within its guarantee.
const claimMargin = 1.4

// load is how much work there is for each CPU.
func (s *shardSums) load(change float64) float64 { return s.demand / max(1, s.capacity+change) }

// rebalancePass moves machines one by one from the least to the most loaded shard, as long
// as the latter's work waits and the former stays the less loaded one. Idle-time work
// counts as free room until nothing else waits: a shard whose only work it was took
// machines from teams that had to be in time.
func (mv *rebalancer) rebalancePass(now time.Time, kind workKind) {
	controller := mv.c
	ordinary := kind == onDemandWork
	idle := map[*storage.Job]bool{}
	may := controller.newLimitBudget() // what is over a team's limit waits for that, not for room
	sums := make([]shardSums, controller.cache.NumShards)
	for _, job := range controller.cache.Jobs {
		if job == nil || !job.Open() || (ordinary && job.Spot) {
			continue
		}
		shardTotals, waits := &sums[job.Shard], may.take(job)
		if controller.isIdleWork(job, now) {
			if kind != idleWork {
				idle[job] = true
				continue
			}
		} else {
			shardTotals.nonIdleDemand += float64(job.PlacedCount+waits) * job.Size
			shardTotals.nonIdleWaiting += float64(waits) * job.Size
		}
		shardTotals.demand += float64(job.PlacedCount) * job.Size
		if jv := controller.jobStates[job]; jv != nil && now.Before(jv.backoff) {
			continue
		}
		w := float64(waits) * job.Size
		shardTotals.waiting += w
		shardTotals.demand += w
		if job.Priority.Top() {
			shardTotals.topWaiting += w
		}
	}
	if kind == allWork && controller.guaranteesTimed() {
		mv.addClaims(sums)
	}
	for _, group := range controller.cache.Groups {
		if group.Version == 0 || mv.moved[group] {
			continue
		}
		s := &sums[group.Shard]
		groupTotals := &groupSums{group: group}
		stays := now.Sub(controller.leader.groupMovedAt[group.ID]) <= moveCooldown
		for _, machine := range group.Machines {
			if machine.Gone || machine.Returning || (ordinary && machine.Spot) {
				continue
			}
			cpus := controller.cache.Types[machine.Type].Cpus
			f := cpus
			for _, p := range machine.Tasks {
				if !idle[p.Job] {
					f -= p.Job.Size
				}
			}
			groupTotals.capacity += cpus
			if controller.workers.pendingUpdates[machine.Index].blocksPlacement() || machine.Unhealthy || machine.Draining {
				f = 0
			}
			groupTotals.free += f
		}
		s.capacity += groupTotals.capacity
		s.free += groupTotals.free
		if groupTotals.capacity > 0 {
			s.groupCount++
		}
		if groupTotals.capacity > 0 && !stays {
			s.movable = append(s.movable, groupTotals)
		}
	}
	for i := range sums {
		slices.SortFunc(sums[i].movable, func(a, b *groupSums) int {
			return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.group.ID, b.group.ID))
		})
	}
	if kind == idleWork && slices.ContainsFunc(sums, func(s shardSums) bool { return s.nonIdleWaiting > s.free }) {
		return
	}
	if kind == allWork {
		if f := controller.queueLoads(now); controller.detectOverload(f, controller.cache.Jobs, controller.totalCapacity(), &controller.leader.overloadActive, now) {
			mv.addFloors(sums, f)
		}
	}
	// Sums say nothing of where room is: a job bound to one zone waited beside as much in others, one of large tasks
	// beside many small rests. Such a shard is short too, of a group on which that job fits now.
	beside := make([]bool, len(sums))
	if kind != onDemandWork {
		for i := range sums {
			beside[i] = sums[i].waiting > 0 && sums[i].waiting <= sums[i].free && mv.waitsBeside(i, idle, now)
		}
	}
	helpless := make([]bool, len(sums)) // no group helps them
	for range maxMovesPerPass {
		to, from := -1, -1
		for i := range sums {
			s := &sums[i]
			if helpless[i] || s.waiting <= s.free && !beside[i] {
				continue
			}
			// Work within a guarantee goes before any other.
			if to < 0 || s.short() != sums[to].short() && s.short() || s.short() == sums[to].short() && s.load(0) > sums[to].load(0) {
				to = i
			}
		}
		if to < 0 || len(mv.txn.Then) >= controller.limits().TxnOps {
			return
		}
		for i := range sums {
			if s := &sums[i]; i != to && len(s.movable) > 0 && (from < 0 || s.load(0) < sums[from].load(0)) {
				from = i
			}
		}
		k := -1
		if from >= 0 && !beside[to] {
			k = mv.evensLoad(sums, from, to, kind)
		}
		if k < 0 {
			from, k = mv.lendsGroup(sums, to, now)
		}
		if k < 0 {
			helpless[to] = true
			continue
		}
		beside[to] = false
		r := sums[from].movable[k]
		sums[from].movable = slices.Delete(sums[from].movable, k, k+1)
		sums[from].groupCount--
		sums[from].capacity -= r.capacity
		sums[from].free -= r.free
		sums[to].capacity += r.capacity
		sums[to].free += r.free
		mv.move(r.group, to)
	}
}

// evensLoad finds the first group of a shard whose move brings its load and another's nearer, -1 if there is none.
func (mv *rebalancer) evensLoad(sums []shardSums, from, to int, kind workKind) int {
	return slices.IndexFunc(sums[from].movable, func(r *groupSums) bool {
		if sums[from].capacity-r.capacity < sums[from].claim {
			return false // it would lack what its own teams are guaranteed
		}
		if kind == idleWork && sums[from].capacity-r.capacity < idleMargin*sums[from].nonIdleDemand {
			return false
		}
		return (sums[to].short() || sums[from].load(-r.capacity)*moveMargin < sums[to].load(r.capacity)) && mv.c.someoneFits(to, r.group)
	})
}

// lendsGroup finds a group for a shard that waits although no move would even out loads. They say little of a shard
// that has no group, or would have none: what runs goes along. Where nothing waits, free room beside it is of use
// elsewhere: by the sums there was room for all, nothing was rented, and a job waited for ever. So does what
// waits at a shard whose machines are full of work without an end, after a while.
func (mv *rebalancer) lendsGroup(sums []shardSums, to int, now time.Time) (from, k int) {
	mv.stuck[to] = true
	since, ok := mv.c.leader.stuckSinceByShard[to]
	if !ok {
		since = now
		mv.c.leader.stuckSinceByShard[to] = now
	}
	patient := now.Sub(since) > stuckAfter
	// Shards with nothing that waits come first; where one waits too, its own work must not fit there.
	for _, waits := range []bool{false, true} {
		for i := range sums {
			s := &sums[i]
			if i == to || s.waiting > 0 != waits || !patient && (waits || s.groupCount > 1 && sums[to].capacity > 0) {
				continue
			}
			if k := slices.IndexFunc(s.movable, func(r *groupSums) bool {
				return s.capacity-r.capacity >= s.claim && mv.fitsNow(to, r.group) && !(waits && mv.fitsNow(i, r.group))
			}); k >= 0 {
				return i, k
			}
		}
	}
	return -1, -1
}

// waitsBeside tells whether a shard has a job that has waited for a while, may run, and fits on none of the shard's machines.
func (mv *rebalancer) waitsBeside(share int, idle map[*storage.Job]bool, now time.Time) bool {
	controller, looked := mv.c, 0
	for _, j := range controller.cache.Jobs {
		if j == nil || j.Shard != share || idle[j] || now.Sub(j.ReadyAt) < waitsBesideAfter || !controller.mayStart(j, now) {
			continue
		}
		if looked++; looked > maxWaitsBesideJobs {
			return false // the sums tell enough of so many
		}
		if !slices.ContainsFunc(controller.cache.Machines, func(m *storage.Machine) bool { return m.Shard == share && mv.fitsOn(j, m) }) {
			return true
		}
	}
	return false
}

// neededOf finds a machine, of those that are drained, on which a job fits that has waited for a while and fits on no other; nil: there is none.
func (mv *rebalancer) neededOf(drained []*storage.Machine, now time.Time) *storage.Machine {
	looked := 0
	for _, j := range mv.c.cache.Jobs {
		if j == nil || len(drained) == 0 || now.Sub(j.ReadyAt) < neededFor || !mv.c.mayStart(j, now) {
			continue
		}
		if looked++; looked > maxWaitsBesideJobs {
			break
		}
		fits := func(m *storage.Machine) bool { return mv.fitsOn(j, m) }
		if i := slices.IndexFunc(drained, func(m *storage.Machine) bool { return mv.fitsBesideTasks(j, m) }); i >= 0 && !slices.ContainsFunc(mv.c.cache.Machines, fits) {
			return drained[i]
		}
	}
	return nil
}

// neededFor is how long a job must have waited to be given a machine that is drained: others may be about to be up.
const neededFor = 20 * time.Second

// waitsBesideAfter is how long a job must have waited to be looked at by itself, and maxWaitsBesideJobs how many of a shard are.
const (
	waitsBesideAfter   = 5 * time.Second
	maxWaitsBesideJobs = 32
)

// mayStart tells whether a task of a job waits and its team is under its limit.
func (c *Controller) mayStart(j *storage.Job, now time.Time) bool {
	if !j.Open() || c.wantedTasks(j) == 0 || !schedule.WithinLimit(c.cache.Teams[j.Team], c.cache.Used[j.Team], j, 1) {
		return false
	}
	jv := c.jobStates[j]
	return jv == nil || !now.Before(jv.backoff)
}

// fitsOn tells whether a task of a job fits on a machine that takes more, now.
func (mv *rebalancer) fitsOn(j *storage.Job, m *storage.Machine) bool {
	return !m.Draining && !mv.c.workers.pendingUpdates[m.Index].blocksPlacement() && mv.fitsBesideTasks(j, m)
}

// fitsBesideTasks tells whether a task of a job fits on a machine, drained or not, beside what runs there and where its other tasks are.
func (mv *rebalancer) fitsBesideTasks(job *storage.Job, machine *storage.Machine) bool {
	if machine.Gone || machine.Returning || machine.Unhealthy || !schedule.Allowed(job, machine) || !inZone(job, machine.Zone) {
		return false
	}
	if mv.freeByMachine == nil {
		mv.freeByMachine = make([]storage.Usage, len(mv.c.cache.Machines))
		for _, o := range mv.c.cache.Machines {
			if !o.Gone {
				mv.freeByMachine[o.Index] = mv.c.freeOn(o)
			}
		}
	}
	return schedule.Fits(mv.freeByMachine[machine.Index], job) > 0
}

// freeOn is what is free on a machine by its record.
func (c *Controller) freeOn(m *storage.Machine) storage.Usage {
	ty := &c.cache.Types[m.Type]
	u := storage.Usage{Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem}
	for _, p := range m.Tasks {
		u.Add(p.Job, -1)
	}
	return u
}

// inZone tells whether a further task of a job may be in a zone, given where its others are.
func inZone(j *storage.Job, zone int) bool {
	in := func(z int) int {
		if z < len(j.ByZone) {
			return int(j.ByZone[z])
		}
		return 0
	}
	return !(j.OneZone && j.PlacedCount > in(zone)) && !(j.Spread && in(zone)+1 > j.MaxPerZone())
}

// stuckAfter is how long a shard must have waited without a move that evens out loads to be lent a group.
const stuckAfter = 10 * time.Second

// A move costs a moment until the worker has found its new owner, so a machine is
// not moved again at once, nor for a small difference in load.
const (
	moveCooldown = 6 * time.Second
	moveMargin   = 1.1
)

// idleMargin is how much more than its own work takes a shard keeps before machines
// move for another shard's idle-time work.
const idleMargin = 1.25

// maxMovesPerPass bounds how many machines move with one look.
const maxMovesPerPass = 6

func (mv *rebalancer) move(group *storage.MachineGroup, to int) {
	r := mv.c.cache.GroupRecordOf(group, group.UnsavedCompletions(), nil)
	r.Shard, r.FencingToken = to, mv.c.nextRevision()
	key := storage.GroupKey(group.ID)
	mv.moved[group] = true
	raw := storage.EncodeGroup(r, mv.c.cache.Packed())
	if len(raw) > mv.c.valueLimit() {
		return // its owner parts it first
	}
	mv.c.leader.groupMovedAt[group.ID] = time.Now()
	mv.txn.If = append(mv.txn.If, protocol.Condition{Key: key, Version: group.Version})
	mv.txn.Then = append(mv.txn.Then, protocol.Change{Put: key, Value: raw})
	mv.c.log.Debug("rack moves", "rack", group.ID, "machines", len(group.Machines), "from", group.Shard, "to", to)
}

// fitsNow tells whether a waiting task of a shard fits beside what runs on one of a group's machines.
func (mv *rebalancer) fitsNow(share int, k *storage.MachineGroup) bool {
	now := time.Now()
	return slices.ContainsFunc(mv.c.cache.Jobs, func(j *storage.Job) bool {
		return j != nil && j.Shard == share && mv.c.mayStart(j, now) &&
			slices.ContainsFunc(k.Machines, func(m *storage.Machine) bool { return mv.fitsOn(j, m) })
	})
}

// someoneFits tells whether a shard has waiting work that a group's machines could run.
func (c *Controller) someoneFits(share int, k *storage.MachineGroup) bool {
	for _, j := range c.cache.Jobs {
		if j == nil || !j.Open() || j.Shard != share || c.wantedTasks(j) == 0 {
			continue
		}
		for _, m := range k.Machines {
			if !m.Gone && !m.Returning && schedule.Allowed(j, m) {
				return true
			}
		}
	}
	return false
}
