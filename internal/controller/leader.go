package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// leaderState is what only the leader needs. It is rebuilt by a new leader.
type leaderState struct {
	membersVersionSum uint64
	pendingMachines   []*pendingMachine // machines that get a record next
	enrollPending     map[string]bool
	enrolling         bool
	editing           bool
	returning         bool
	scaleOuts         map[autoscale.Pool]*scaleOut // under way, outcome unknown
	blocked           map[autoscale.Pool]time.Time
	requestCount      int
	listing           bool
	listedAt          time.Time
	emptyMachines     map[int32]emptyMark
	unrecorded        map[string]time.Time // listed without a record since
	movedAt           time.Time
	moveInFlight      bool
	groupMovedAt      map[int]time.Time // by group
	stuckSinceByShard map[int]time.Time // by shard: waits since, and no move evens out loads
	// stuckSince is since when work has waited for which only drained machines have room.
	stuckSince     time.Time
	autoscaledAt   time.Time
	surplusSince   map[autoscale.Pool]time.Time
	baseline       baselineLearning
	overloadActive bool // room is moved as in a flood
}

type emptyMark struct {
	version uint64
	since   time.Time
}

type scaleOut struct {
	request  protocol.ScaleOutRequest
	inFlight bool
}

func (l *leaderState) init() {
	for _, n := range l.pendingMachines {
		n.done(false)
	}
	*l = leaderState{baseline: baselineLearning{writeInFlight: l.baseline.writeInFlight}, enrollPending: map[string]bool{}, returning: l.returning, requestCount: l.requestCount,
		scaleOuts: map[autoscale.Pool]*scaleOut{}, blocked: map[autoscale.Pool]time.Time{},
		emptyMachines: map[int32]emptyMark{}, groupMovedAt: map[int]time.Time{}, stuckSinceByShard: map[int]time.Time{}, unrecorded: map[string]time.Time{}, surplusSince: map[autoscale.Pool]time.Time{}}
}

// catalogLoop reads the machine types; the leader keeps them in the state
// service, for controllers that start while the cloud does not answer.
func (c *Controller) catalogLoop(ctx context.Context) {
	for ctx.Err() == nil {
		cat, err := c.cloud.Catalog(ctx)
		if err != nil || len(cat.Types) == 0 {
			c.log.Info("no catalog yet", "err", err)
			sleep(ctx, time.Second)
			continue
		}
		c.post(func() {
			c.cache.UpdateCatalog(cat)
			if c.isLeader() && c.follower.loaded && c.cache.Catalog.Version == 0 {
				c.commitAside(ctx, protocol.Txn{
					If:   []protocol.Condition{{Key: storage.CatalogKey}},
					Then: []protocol.Change{{Put: storage.CatalogKey, Value: storage.Encode(cat)}},
				}, protocol.BackgroundRequest, func(bool) {})
			}
			c.requestCycle()
		})
		sleep(ctx, 30*time.Second)
	}
}

// shardLoad compares each shard's work with its machines, in CPUs.
func (c *Controller) shardLoad() (demand, capacity []float64) {
	now := time.Now()
	demand = make([]float64, c.cache.NumShards)
	capacity = make([]float64, c.cache.NumShards)
	for _, j := range c.cache.Jobs {
		if j != nil && j.Open() && !c.isIdleWork(j, now) {
			demand[j.Shard] += float64(c.wantedTasks(j)+j.PlacedCount) * j.Size
		}
	}
	for _, m := range c.cache.Machines {
		if !m.Gone && !m.Returning {
			capacity[m.Shard] += c.cache.Types[m.Type].Cpus
		}
	}
	return demand, capacity
}

// neediest is the shard with the most work for its machines.
func neediest(demand, capacity []float64) int {
	best := 0
	for s := range demand {
		if (demand[s]+1)/(capacity[s]+1) > (demand[best]+1)/(capacity[best]+1) {
			best = s
		}
	}
	return best
}

// autoscaleAsLeader is the leader's loop over machines: which there are, which should
// be, and which shard they serve.
func (c *Controller) autoscaleAsLeader(ctx context.Context, now time.Time) {
	// What is asked of the cloud is conditional on no record: a controller whose hold may
	// have ended would rent beside the next leader.
	if !c.isLeader() || !c.leaseCertain(now) || !c.cache.HasCatalog() || c.storeFailing() {
		return
	}
	if !c.leader.listing && now.Sub(c.leader.listedAt) > max(3*time.Second, seconds(c.cfg.Deployment.Cloud.ListLagS/2)) {
		c.leader.listing = true
		c.leader.listedAt = now
		go c.list(ctx)
	}
	if now.Sub(c.leader.autoscaledAt) >= c.timing.AutoscaleInterval {
		c.leader.autoscaledAt = now
		c.autoscale(ctx, now)
	}
	if now.Sub(c.leader.movedAt) >= c.timing.RebalanceInterval {
		c.rebalance(ctx, now)
	}
}

func (c *Controller) list(ctx context.Context) {
	var all []protocol.CloudMachine
	after := ""
	var err error
	for {
		var p protocol.MachineList
		if p, err = c.cloud.List(ctx, after); err != nil {
			break
		}
		all = append(all, p.Machines...)
		if !p.More || len(p.Machines) == 0 {
			break
		}
		after = p.Machines[len(p.Machines)-1].ID
	}
	c.post(func() {
		c.leader.listing = false
		if err != nil {
			c.log.Debug("machine list failed", "err", err)
			return
		}
		c.onList(ctx, all)
	})
}

// onList takes in machines without a record and gives up those that failed. The
// list lags: that a machine is missing proves nothing.
func (c *Controller) onList(ctx context.Context, all []protocol.CloudMachine) {
	if !c.isLeader() {
		return
	}
	now := time.Now()
	for _, cloudMachine := range all {
		machine := c.cache.Machine(cloudMachine.ID)
		if machine == nil {
			if c.cache.MachineSeen(cloudMachine.ID) || c.leader.enrollPending[cloudMachine.ID] || c.cache.TypeIndex.Find(cloudMachine.Type) < 0 {
				continue
			}
			since, ok := c.leader.unrecorded[cloudMachine.ID]
			if !ok {
				c.leader.unrecorded[cloudMachine.ID] = now
				continue
			}
			// A rental's own answer may still be on its way: it goes first.
			if now.Sub(since) < 2*time.Second {
				continue
			}
			delete(c.leader.unrecorded, cloudMachine.ID)
			c.log.Info("machine in the list has no record", "machine", cloudMachine.ID, "status", cloudMachine.Status)
			c.enrollMachine(ctx, &pendingMachine{name: cloudMachine.ID, addr: cloudMachine.Addr, done: func(bool) {}, fleet: storage.FleetRecord{
				Type: cloudMachine.Type, Zone: cloudMachine.Zone, Spot: cloudMachine.Spot, ProvisionedAt: now.Unix() - int64(cloudMachine.AgeS)}})
			continue
		}
		if machine.Addr == "" {
			machine.Addr = cloudMachine.Addr
		}
		if cloudMachine.Status == "failed" && !machine.Returning {
			c.returnMachine(machine, "failed")
		}
	}
}

// autoscale rents what is needed and gives up what is not.
func (c *Controller) autoscale(ctx context.Context, now time.Time) {
	demands := c.demands(now)
	if d, some := c.nextServices(now); some {
		demands = append(demands, d)
	}
	var machines []autoscale.Machine
	have := map[autoscale.Pool]int{}
	boot := 0.0
	for _, machine := range c.cache.Machines {
		if machine.Gone {
			continue
		}
		ty := &c.cache.Types[machine.Type]
		p := autoscale.Pool{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
		if !machine.Returning {
			have[p]++
		}
		usable := !machine.Returning
		if v := c.workers.states[machine.Index]; machine.Unhealthy || v != nil && (v.unhealthy || !v.preemptedAt.IsZero() || c.unresponsive(v, now)) || c.overdue(machine, bootPatience, now) || c.zoneUnreachable(machine.Zone) {
			usable = false
		}
		machines = append(machines, autoscale.Machine{Pool: p, Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem, Usable: usable})
	}
	var offers []autoscale.Offer
	for i := range c.cache.Types {
		machineType := &c.cache.Types[i]
		if machineType.Cpus <= 0 {
			continue
		}
		boot = max(boot, machineType.BootS)
		for _, z := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				price := machineType.Price
				if spot {
					price = machineType.SpotPrice
				}
				if spot && price <= 0 {
					continue
				}
				p := autoscale.Pool{Type: i, Zone: z, Spot: spot}
				offers = append(offers, autoscale.Offer{Pool: p, Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem,
					Price: price, Boot: machineType.BootS, Owned: have[p],
					Blocked: now.Before(c.leader.blocked[p]) || c.leader.scaleOuts[p] != nil || c.zoneUnreachable(z)})
			}
		}
	}
	for p, r := range c.leader.scaleOuts {
		if !r.inFlight {
			c.sendScaleOut(ctx, p, r) // unknown outcome: the same name again
		}
	}
	plan := autoscale.Decide(demands, machines, offers, workHorizon)
	for _, r := range plan.ScaleOuts {
		// The name is never used again, by any controller: it holds this process's own number.
		c.leader.requestCount++
		ty := c.cache.TypeIndex.Name(r.Type)
		req := protocol.ScaleOutRequest{Name: fmt.Sprintf("r-%d-%d", c.session.incarnation, c.leader.requestCount), Type: ty,
			Zone: c.cache.Zones.Name(r.Zone), Spot: r.Spot, Count: min(r.Count, protocol.MaxScaleOut)}
		rent := &scaleOut{request: req}
		c.leader.scaleOuts[r.Pool] = rent
		c.sendScaleOut(ctx, r.Pool, rent)
	}
	c.scaleInIdle(ctx, now, plan, autoscale.IdleRetention(boot, c.tightestFinishObjective()))
}

// workHorizon is the part of its allowed time in which waiting work should be through.
const workHorizon = 0.45

func (c *Controller) sendScaleOut(ctx context.Context, pool autoscale.Pool, pending *scaleOut) {
	pending.inFlight = true
	c.log.Info("renting", "name", pending.request.Name, "type", pending.request.Type, "zone", pending.request.Zone, "spot", pending.request.Spot, "count", pending.request.Count)
	go func() {
		names, err := c.cloud.ScaleOut(ctx, pending.request)
		c.post(func() {
			pending.inFlight = false
			switch {
			case errors.Is(err, protocol.ErrNoCapacity):
				delete(c.leader.scaleOuts, pool)
				c.leader.blocked[pool] = time.Now().Add(blockedFor)
			case errors.Is(err, protocol.ErrRefused):
				delete(c.leader.scaleOuts, pool)
				c.leader.blocked[pool] = time.Now().Add(2 * time.Second)
			case err != nil:
				c.log.Info("rental in doubt", "name", pending.request.Name, "err", err)
			default:
				if len(names) < pending.request.Count {
					c.leader.blocked[pool] = time.Now().Add(blockedFor)
				}
				c.enrollScaledOut(ctx, pool, pending.request, names)
			}
		})
	}()
}

// blockedFor is how long a pool is left alone after it could not give all that was asked.
const blockedFor = 8 * time.Second

// enrollScaledOut has records written for rented machines; the rental counts until they are.
func (c *Controller) enrollScaledOut(ctx context.Context, pool autoscale.Pool, req protocol.ScaleOutRequest, names []string) {
	c.log.Info("rented", "name", req.Name, "machines", len(names))
	left := len(names)
	if left == 0 || !c.isLeader() {
		delete(c.leader.scaleOuts, pool)
		return
	}
	renting := c.leader.scaleOuts
	for _, name := range names {
		c.enrollMachine(ctx, &pendingMachine{name: name, tries: enrollTries, fleet: storage.FleetRecord{
			Type: req.Type, Zone: req.Zone, Spot: req.Spot, ProvisionedAt: time.Now().Unix()}, done: func(bool) {
			if left--; left == 0 {
				delete(renting, pool)
			}
		}})
	}
}

// tightestFinishObjective is the shortest time that an objective leaves for finishing. One on
// starting work, of a class or within a guarantee, is no reason to keep every idle machine:
// it took the lifts' fleet for one that must never shrink.
func (c *Controller) tightestFinishObjective() float64 {
	best := 0.0
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Kind == "finished" && o.WithinS > 0 && (best == 0 || o.WithinS < best) {
			best = o.WithinS
		}
	}
	return best
}

// scaleInIdle returns machines that have been empty and not needed for a while,
// the dearest first.
func (c *Controller) scaleInIdle(ctx context.Context, now time.Time, plan autoscale.Plan, keep time.Duration) {
	type cand struct {
		m     *storage.Machine
		price float64
	}
	var cands []cand
	for _, m := range c.cache.Machines {
		if m.Gone || m.Returning || len(m.Tasks) > 0 || c.workers.pendingUpdates[m.Index].blocksPlacement() {
			continue
		}
		ty := &c.cache.Types[m.Type]
		price := ty.Price
		if m.Spot {
			price = ty.SpotPrice
		}
		cands = append(cands, cand{m, price})
	}
	slices.SortFunc(cands, func(a, b cand) int {
		return cmp.Or(cmp.Compare(b.price, a.price), cmp.Compare(a.m.Name, b.m.Name))
	})
	for p := range c.leader.surplusSince {
		if plan.Surplus[p] < 1 {
			delete(c.leader.surplusSince, p)
		}
	}
	for p, n := range plan.Surplus {
		if n >= 1 && c.leader.surplusSince[p].IsZero() {
			c.leader.surplusSince[p] = now
		}
	}
	spare := map[autoscale.Pool]float64{}
	for p, n := range plan.Surplus {
		spare[p] = n
	}
	for _, x := range cands {
		p := autoscale.Pool{Type: x.m.Type, Zone: x.m.Zone, Spot: x.m.Spot}
		since := c.leader.surplusSince[p]
		if since.IsZero() || now.Sub(since) < keep || spare[p] < 1 || now.Sub(c.emptySince(x.m, now)) < keep {
			continue
		}
		spare[p]--
		c.returnMachine(x.m, "not needed")
	}
	c.drainSurplus(now, plan, keep)
}

// drainUsageBelow is the used part of a machine below which it may be drained.
const drainUsageBelow = 0.6

// drainAfterS is how many seconds a task must have been placed before it is moved
// off a machine, so that it is not moved again and again.
const drainAfterS = 20

// drainFraction is the part of the fleet that may begin to drain with one look.
const drainFraction = 1.0 / 24

// drainSurplus empties machines that are not needed but still run a little, the dearest
// and emptiest first, and gives drained machines back to use when they are needed
// after all. What does not save runs to its end where it is.
func (c *Controller) drainSurplus(now time.Time, plan autoscale.Plan, keep time.Duration) {
	spare, waiting, fleet := 0.0, 0.0, 0
	for _, n := range plan.Surplus {
		spare += n
	}
	for _, j := range c.cache.Jobs {
		if j != nil && !c.isIdleWork(j, now) {
			waiting += float64(c.wantedTasks(j)) * j.Size
		}
	}
	type cand struct {
		m    *storage.Machine
		used float64
	}
	var cands []cand
	var drained []*storage.Machine
	stuck := c.runnableWithinLimits(now)
	for _, machine := range c.cache.Machines {
		pendingUpdate := c.workers.pendingUpdates[machine.Index]
		if machine.Gone || machine.Returning || pendingUpdate != nil && pendingUpdate.returning {
			continue
		}
		fleet++
		if machine.Draining || pendingUpdate.blocksPlacement() {
			spare--
			drained = append(drained, machine)
			if plan.Urgent > 0 {
				c.setDraining(machine, false)
			}
			continue
		}
		used, rests := 0.0, true // rests: nothing on it was moved or started a moment ago
		cpus := c.cache.Types[machine.Type].Cpus
		for _, p := range machine.Tasks {
			if machine.Spot || !c.isIdleWork(p.Job, now) {
				used += p.Job.Size / cpus
			}
			rests = rests && (p.Job.CheckpointInterval == 0 || now.Unix()-p.PlacedAt > drainAfterS) && (p.Job.Shape == protocol.Batch || now.Unix()-p.PlacedAt > int64(relocateAfter.Seconds()))
		}
		p := autoscale.Pool{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
		since := c.leader.surplusSince[p]
		if len(machine.Tasks) > 0 && rests && used <= drainUsageBelow && plan.Surplus[p] >= 1.5 && !since.IsZero() && now.Sub(since) >= keep {
			cands = append(cands, cand{machine, used})
		}
		if waiting > 0 {
			waiting -= max(0, (1-used)*cpus)
		}
		stuck -= max(0, (1-used)*cpus)
	}
	// By the sums a drained machine is room for what waits. One whose tasks go on for long never empties, nothing
	// was rented beside it, and a task waited for as long.
	// Sums say nothing of which machine has room, and for what.
	if m := (&rebalancer{c: c}).neededOf(drained, now); m != nil {
		c.setDraining(m, false)
	}
	switch {
	case stuck <= 0 || plan.Urgent > 0 || len(drained) == 0:
		c.leader.stuckSince = time.Time{}
	case c.leader.stuckSince.IsZero():
		c.leader.stuckSince = now
	case now.Sub(c.leader.stuckSince) > stuckAfter:
		c.leader.stuckSince = now
		c.setDraining(drained[0], false)
	}
	if plan.Urgent > 0 || waiting > 0 {
		return
	}
	slices.SortFunc(cands, func(a, b cand) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(b.m), c.cpuPrice(a.m)), cmp.Compare(a.used, b.used), cmp.Compare(a.m.Name, b.m.Name))
	})
	n := min(len(cands), max(1, int(drainFraction*float64(fleet))), int(spare)-1)
	for i := range max(0, n) {
		c.setDraining(cands[i].m, true)
	}
}

// emptySince is since when the leader has seen a machine's record unchanged and empty.
func (c *Controller) emptySince(m *storage.Machine, now time.Time) time.Time {
	e, ok := c.leader.emptyMachines[m.Index]
	if !ok || e.version != m.Version {
		e = emptyMark{m.Version, now}
		c.leader.emptyMachines[m.Index] = e
	}
	return e.since
}
