package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
	"dykeledge/internal/config"
	"dykeledge/internal/coordination/provision"
	"dykeledge/internal/coordination/schedule"
	"dykeledge/internal/protocol"
)

// leadership is what only the leader needs. It is rebuilt by a new leader.
type leadership struct {
	nodesSum  uint64
	newcomers []*newcomer // machines that get a record next
	adopting  map[string]bool
	enrolling bool
	editing   bool
	returning bool
	renting   map[provision.Pool]*rental // under way, outcome unknown
	blocked   map[provision.Pool]time.Time
	charters  int
	listing   bool
	listedAt  time.Time
	empty     map[int32]emptyMark
	strangers map[string]time.Time // listed without a record since
	movedAt   time.Time
	moving    bool
	moved     map[int]time.Time // by rack
	cloudAt   time.Time
	spareFrom map[provision.Pool]time.Time
}

type emptyMark struct {
	version uint64
	since   time.Time
}

type rental struct {
	req  protocol.Rental
	busy bool
}

func (l *leadership) init() {
	for _, n := range l.newcomers {
		n.then(false)
	}
	*l = leadership{adopting: map[string]bool{}, returning: l.returning, charters: l.charters,
		renting: map[provision.Pool]*rental{}, blocked: map[provision.Pool]time.Time{},
		empty: map[int32]emptyMark{}, moved: map[int]time.Time{}, strangers: map[string]time.Time{}, spareFrom: map[provision.Pool]time.Time{}}
}

// catalogLoop reads the machine types; the leader keeps them in the state
// service, for nodes that start while the cloud does not answer.
func (c *Controller) catalogLoop(ctx context.Context) {
	for ctx.Err() == nil {
		cat, err := c.cloud.Catalog(ctx)
		if err != nil || len(cat.Types) == 0 {
			c.log.Info("no catalog yet", "err", err)
			sleep(ctx, time.Second)
			continue
		}
		c.post(func() {
			c.book.SetCatalog(cat)
			if c.leads() && c.loaded && c.book.Catalog.Version == 0 {
				c.commitAside(ctx, protocol.Txn{
					If:   []protocol.Condition{{Key: bookkeeping.CatalogKey}},
					Then: []protocol.Change{{Put: bookkeeping.CatalogKey, Value: bookkeeping.Encode(cat)}},
				}, protocol.Background, func(bool) {})
			}
			c.kick()
		})
		sleep(ctx, 30*time.Second)
	}
}

// newcomer is a machine that is to get a record.
type newcomer struct {
	kind  bookkeeping.FleetRecord // without machines
	name  string
	addr  string
	tries int
	then  func(ok bool)
}

// enrollTries is how often a rented machine's record is tried: afterwards the
// machine list brings it again.
const enrollTries = 20

// adopt gives a machine a record: it is put in a rack of the share that needs it most.
func (c *Controller) adopt(ctx context.Context, n *newcomer) {
	if c.lead.adopting[n.name] {
		n.then(false)
		return
	}
	c.lead.adopting[n.name] = true
	c.lead.newcomers = append(c.lead.newcomers, n)
	c.enroll(ctx)
}

// enroll writes the records of newcomers, one for all of a kind. That a machine is
// in one record only rests on three things: only the leader writes them, on the
// condition that it still leads; it does so once its follow has shown all that
// former leaders wrote; and a transaction with unknown outcome is repeated until it
// is known, and the book has come as far, before its machines are looked at again.
func (c *Controller) enroll(ctx context.Context) {
	if c.lead.enrolling || len(c.lead.newcomers) == 0 {
		return
	}
	if !c.leads() {
		list := c.lead.newcomers
		c.lead.newcomers = nil
		for _, n := range list {
			delete(c.lead.adopting, n.name)
			n.then(false)
		}
		return
	}
	if c.book.Revision < c.book.Leader.Version {
		c.enrollLater(ctx)
		return
	}
	t := protocol.Txn{If: []protocol.Condition{{Key: bookkeeping.LeaderKey, Version: c.book.Leader.Version}}}
	demand, capacity := c.shareLoad()
	fill := newRackFill(c.book, c.rackSize())
	type kind struct {
		typ, zone string
		spot      bool
	}
	fleets := map[kind]*bookkeeping.FleetRecord{}
	var order []*bookkeeping.FleetRecord
	var batch, rest []*newcomer
	for _, n := range c.lead.newcomers {
		if m := c.book.Machine(n.name); m != nil || c.book.Departed(n.name) {
			batch = append(batch, n)
			continue
		}
		k := kind{n.kind.Type, n.kind.Zone, n.kind.Spot}
		f := fleets[k]
		if len(t.Then)+len(fleets)+2 > max(2, c.cfg.Deployment.State.TxnOps) || f != nil && len(f.Machines) >= maxFleet {
			rest = append(rest, n)
			continue
		}
		if f == nil {
			rec := n.kind
			f = &rec
			fleets[k] = f
			order = append(order, f)
		}
		share := neediest(demand, capacity)
		if i := c.book.TypeIdx.Find(n.kind.Type); i >= 0 {
			capacity[share] += c.book.Types[i].Cpus
		}
		rack, fresh := fill.take(share, n.kind.Spot)
		if fresh {
			key := bookkeeping.RackKey(rack)
			t.If = append(t.If, protocol.Condition{Key: key})
			t.Then = append(t.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(&bookkeeping.RackRecord{Share: share, Token: c.fresh()})})
		}
		f.Token = max(f.Token, n.kind.Token, c.fresh())
		f.Machines = append(f.Machines, bookkeeping.FleetMachine{Name: n.name, Rack: rack, Addr: n.addr})
		batch = append(batch, n)
	}
	for _, f := range order {
		key := bookkeeping.FleetKey(f.Machines[0].Name)
		t.If = append(t.If, protocol.Condition{Key: key})
		t.Then = append(t.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(f)})
	}
	c.lead.newcomers = rest
	c.lead.enrolling = true
	finish := func(ok bool) {
		c.lead.enrolling = false
		for _, n := range batch {
			if n.tries--; !ok && n.tries > 0 && c.leads() {
				c.lead.newcomers = append(c.lead.newcomers, n)
				continue
			}
			delete(c.lead.adopting, n.name)
			n.then(ok)
		}
		if ok {
			c.enroll(ctx)
		} else {
			c.enrollLater(ctx)
		}
	}
	if len(t.Then) == 0 {
		finish(true)
		return
	}
	go c.commitSurely(ctx, t, finish)
}

// maxFleet is how many machines one record holds.
const maxFleet = 200

func (c *Controller) enrollLater(ctx context.Context) {
	time.AfterFunc(200*time.Millisecond, func() { c.post(func() { c.enroll(ctx) }) })
}

// commitSurely repeats a transaction until its outcome is known; after a refusal
// for its conditions it waits until the book shows why.
func (c *Controller) commitSurely(ctx context.Context, t protocol.Txn, then func(ok bool)) {
	for ctx.Err() == nil {
		rev, failed, err := c.state.Txn(ctx, t, protocol.ForUser)
		if err != nil && !errors.Is(err, protocol.ErrRefused) {
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		for err == nil && len(failed) > 0 && ctx.Err() == nil {
			reached := false
			if c.call(ctx, func() { reached = c.book.Revision >= rev }) != nil || reached {
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
		c.post(func() {
			ok := err == nil && len(failed) == 0
			if ok {
				c.applyTxn(t, rev)
			}
			then(ok)
			c.changed()
		})
		return
	}
}

// rackSize is how many machines share a record: as few as let every rack be
// written about once a second with half of the state service's rate of changes.
func (c *Controller) rackSize() int {
	n := len(c.lead.newcomers)
	for _, m := range c.book.Machines {
		if !m.Gone && !m.Closing {
			n++
		}
	}
	racks := max(1, int(c.cfg.Deployment.State.WriteRPS/2))
	return min(maxRackSize, (n+racks-1)/racks)
}

// maxRackSize bounds how many machines move, and change their owner, together.
const maxRackSize = 24

// rackFill finds racks for newcomers. Spot and ordinary machines do not share a
// rack: work that may not use spot machines moves none of them with it.
type rackFill struct {
	size  int
	next  int
	racks map[int]*rackRoom
}

type rackRoom struct {
	share, room int
	empty, spot bool
}

func newRackFill(b *bookkeeping.Book, size int) *rackFill {
	f := &rackFill{size: size, next: len(b.Racks), racks: map[int]*rackRoom{}}
	for _, k := range b.Racks {
		if k.Version == 0 {
			continue
		}
		r := &rackRoom{share: k.Share, room: size, empty: true}
		for _, m := range k.Machines {
			r.empty, r.spot = false, m.Spot
			if !m.Closing {
				r.room--
			}
		}
		f.racks[k.ID] = r
	}
	return f
}

// take returns the rack with the most room for one more machine, a new one if there is none.
func (f *rackFill) take(share int, spot bool) (id int, fresh bool) {
	var best *rackRoom
	for i := range f.next {
		r := f.racks[i]
		if r != nil && r.share == share && (r.empty || r.spot == spot) && r.room > 0 && (best == nil || r.room > best.room) {
			id, best = i, r
		}
	}
	if best == nil {
		best = &rackRoom{share: share, room: f.size}
		id, fresh = f.next, true
		f.racks[id] = best
		f.next++
	}
	best.room--
	best.empty, best.spot = false, spot
	return id, fresh
}

// shareLoad compares each share's work with its machines, in CPUs.
func (c *Controller) shareLoad() (demand, capacity []float64) {
	demand = make([]float64, c.book.NShares)
	capacity = make([]float64, c.book.NShares)
	for _, j := range c.book.Jobs {
		if j != nil && j.Open() {
			demand[j.Share] += float64(j.Waiting()+j.NPlaced) * j.Cpus
		}
	}
	for _, m := range c.book.Machines {
		if !m.Gone && !m.Closing {
			capacity[m.Share] += c.book.Types[m.Type].Cpus
		}
	}
	return demand, capacity
}

// neediest is the share with the most work for its machines.
func neediest(demand, capacity []float64) int {
	best := 0
	for s := range demand {
		if (demand[s]+1)/(capacity[s]+1) > (demand[best]+1)/(capacity[best]+1) {
			best = s
		}
	}
	return best
}

// leadCloud is the leader's loop over machines: which there are, which should
// be, and which share they serve.
func (c *Controller) leadCloud(ctx context.Context, now time.Time) {
	if !c.leads() || !c.book.HasCatalog() || c.stateBad() {
		return
	}
	if !c.lead.listing && now.Sub(c.lead.listedAt) > max(3*time.Second, seconds(c.cfg.Deployment.Cloud.ListLagS/2)) {
		c.lead.listing = true
		c.lead.listedAt = now
		go c.list(ctx)
	}
	if now.Sub(c.lead.cloudAt) >= c.times.CloudEvery {
		c.lead.cloudAt = now
		c.provision(ctx, now)
	}
	if now.Sub(c.lead.movedAt) >= c.times.MoveEvery {
		c.moveRoom(ctx, now)
	}
}

func (c *Controller) list(ctx context.Context) {
	var all []protocol.Listed
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
		c.lead.listing = false
		if err != nil {
			c.log.Debug("machine list failed", "err", err)
			return
		}
		c.onList(ctx, all)
	})
}

// onList takes in machines without a record and gives up those that failed. The
// list lags: that a machine is missing proves nothing.
func (c *Controller) onList(ctx context.Context, all []protocol.Listed) {
	if !c.leads() {
		return
	}
	now := time.Now()
	for _, l := range all {
		m := c.book.Machine(l.ID)
		if m == nil {
			if c.book.Departed(l.ID) || c.lead.adopting[l.ID] || c.book.TypeIdx.Find(l.Type) < 0 {
				continue
			}
			since, ok := c.lead.strangers[l.ID]
			if !ok {
				c.lead.strangers[l.ID] = now
				continue
			}
			// A rental's own answer may still be on its way: it goes first.
			if now.Sub(since) < 2*time.Second {
				continue
			}
			delete(c.lead.strangers, l.ID)
			c.log.Info("machine in the list has no record", "machine", l.ID, "status", l.Status)
			c.adopt(ctx, &newcomer{name: l.ID, addr: l.Addr, then: func(bool) {}, kind: bookkeeping.FleetRecord{
				Type: l.Type, Zone: l.Zone, Spot: l.Spot, RentedAt: now.Unix() - int64(l.AgeS)}})
			continue
		}
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		if l.Status == "failed" && !m.Closing {
			c.closeMachine(m, "failed")
		}
	}
}

// provision rents what is needed and gives up what is not.
func (c *Controller) provision(ctx context.Context, now time.Time) {
	demands := c.demands(now)
	var machines []provision.Machine
	have := map[provision.Pool]int{}
	boot := 0.0
	for _, m := range c.book.Machines {
		if m.Gone {
			continue
		}
		ty := &c.book.Types[m.Type]
		p := provision.Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		if !m.Closing {
			have[p]++
		}
		usable := !m.Closing
		if v := c.views[m.Index]; m.Sick || v != nil && (v.sick || !v.notice.IsZero()) {
			usable = false
		}
		machines = append(machines, provision.Machine{Pool: p, Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem, Usable: usable})
	}
	var offers []provision.Offer
	for i := range c.book.Types {
		ty := &c.book.Types[i]
		if ty.Cpus <= 0 {
			continue
		}
		boot = max(boot, ty.Boot)
		for _, z := range ty.Zones {
			for _, spot := range []bool{true, false} {
				price := ty.Price
				if spot {
					price = ty.SpotPrice
				}
				if spot && price <= 0 {
					continue
				}
				p := provision.Pool{Type: i, Zone: z, Spot: spot}
				offers = append(offers, provision.Offer{Pool: p, Cpus: ty.Cpus, Gpus: ty.Gpus, Mem: ty.Mem,
					Price: price, Boot: ty.Boot, Have: have[p],
					Blocked: now.Before(c.lead.blocked[p]) || c.lead.renting[p] != nil})
			}
		}
	}
	for p, r := range c.lead.renting {
		if !r.busy {
			c.sendRental(ctx, p, r) // unknown outcome: the same name again
		}
	}
	plan := provision.Decide(demands, machines, offers, workHorizon)
	for _, r := range plan.Rents {
		// The name is never used again, by any node: it holds this process's own number.
		c.lead.charters++
		ty := c.book.TypeIdx.Name(r.Type)
		req := protocol.Rental{Name: fmt.Sprintf("r-%d-%d", c.incarnation, c.lead.charters), Type: ty,
			Zone: c.book.Zones.Name(r.Zone), Spot: r.Spot, Count: min(r.Count, protocol.MaxRental)}
		rent := &rental{req: req}
		c.lead.renting[r.Pool] = rent
		c.sendRental(ctx, r.Pool, rent)
	}
	c.giveUpIdle(ctx, now, plan, provision.KeepIdle(boot, c.tightest()))
}

// workHorizon is the part of its allowed time in which waiting work should be through.
const workHorizon = 0.45

func (c *Controller) sendRental(ctx context.Context, p provision.Pool, r *rental) {
	r.busy = true
	c.log.Info("renting", "name", r.req.Name, "type", r.req.Type, "zone", r.req.Zone, "spot", r.req.Spot, "count", r.req.Count)
	go func() {
		names, err := c.cloud.Rent(ctx, r.req)
		c.post(func() {
			r.busy = false
			switch {
			case errors.Is(err, protocol.ErrNoCapacity):
				delete(c.lead.renting, p)
				c.lead.blocked[p] = time.Now().Add(blockedFor)
			case errors.Is(err, protocol.ErrRefused):
				delete(c.lead.renting, p)
				c.lead.blocked[p] = time.Now().Add(2 * time.Second)
			case err != nil:
				c.log.Info("rental in doubt", "name", r.req.Name, "err", err)
			default:
				if len(names) < r.req.Count {
					c.lead.blocked[p] = time.Now().Add(blockedFor)
				}
				c.enter(ctx, p, r.req, names)
			}
		})
	}()
}

// blockedFor is how long a pool is left alone after it could not give all that was asked.
const blockedFor = 8 * time.Second

// enter has records written for rented machines; the rental counts until they are.
func (c *Controller) enter(ctx context.Context, p provision.Pool, req protocol.Rental, names []string) {
	c.log.Info("rented", "name", req.Name, "machines", len(names))
	left := len(names)
	if left == 0 || !c.leads() {
		delete(c.lead.renting, p)
		return
	}
	renting := c.lead.renting
	for _, name := range names {
		c.adopt(ctx, &newcomer{name: name, tries: enrollTries, kind: bookkeeping.FleetRecord{
			Type: req.Type, Zone: req.Zone, Spot: req.Spot, RentedAt: time.Now().Unix()}, then: func(bool) {
			if left--; left == 0 {
				delete(renting, p)
			}
		}})
	}
}

// demands sums up the open work by what it may run on.
func (c *Controller) demands(now time.Time) []provision.Demand {
	type kind struct {
		spot   bool
		zone   int
		class  int
		first  int
		cpus   float64
		within int
	}
	index := map[kind]int{}
	var out []provision.Demand
	for _, j := range c.book.Jobs {
		if j == nil || !j.Open() {
			continue
		}
		if jv := c.jobs[j]; jv != nil && jv.fails >= failuresJob && now.Before(jv.backoff) {
			continue // fails everywhere: no reason to rent
		}
		first := -1
		if len(j.Types) > 0 {
			first = j.Types[0]
		}
		allow := c.allowance(j)
		k := kind{j.Spot, j.Zone, j.Class, first, j.Cpus, int(allow / (20 * time.Second))}
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, provision.Demand{Spot: j.Spot, Types: j.Types, Zone: j.Zone,
				Cpus: j.Cpus, Gpus: j.Gpus, Mem: j.Mem, Within: max(5, allow.Seconds())})
			if allow == 0 {
				out[i].Within = 120
			}
		}
		d := &out[i]
		n := j.Tasks - j.NDone
		limit := c.book.Teams[j.Team].CpusMax
		if limit > 0 && j.Cpus > 0 {
			n = min(n, int(limit/j.Cpus))
		}
		d.Tasks += n
		if j.Shape == protocol.Service {
			d.Work += float64(n) * 1e6
		} else {
			d.Work += float64(n) * max(j.Estimate, 1)
		}
	}
	return out
}

// tightest is the shortest time that an objective leaves for finishing. One on
// starting work within a guarantee is no reason to keep every idle machine: it took
// the lifts' fleet for one that must never shrink.
func (c *Controller) tightest() float64 {
	best := 0.0
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Class != "" && o.WithinS > 0 && (best == 0 || o.WithinS < best) {
			best = o.WithinS
		}
	}
	return best
}

// giveUpIdle returns machines that have been empty and not needed for a while,
// the dearest first.
func (c *Controller) giveUpIdle(ctx context.Context, now time.Time, plan provision.Plan, keep time.Duration) {
	type cand struct {
		m     *bookkeeping.Machine
		price float64
	}
	var cands []cand
	for _, m := range c.book.Machines {
		if m.Gone || m.Closing || len(m.Tasks) > 0 || c.edits[m.Index].off() {
			continue
		}
		ty := &c.book.Types[m.Type]
		price := ty.Price
		if m.Spot {
			price = ty.SpotPrice
		}
		cands = append(cands, cand{m, price})
	}
	slices.SortFunc(cands, func(a, b cand) int {
		return cmp.Or(cmp.Compare(b.price, a.price), cmp.Compare(a.m.Name, b.m.Name))
	})
	for p := range c.lead.spareFrom {
		if plan.Spare[p] < 1 {
			delete(c.lead.spareFrom, p)
		}
	}
	for p, n := range plan.Spare {
		if n >= 1 && c.lead.spareFrom[p].IsZero() {
			c.lead.spareFrom[p] = now
		}
	}
	spare := map[provision.Pool]float64{}
	for p, n := range plan.Spare {
		spare[p] = n
	}
	for _, x := range cands {
		p := provision.Pool{Type: x.m.Type, Zone: x.m.Zone, Spot: x.m.Spot}
		since := c.lead.spareFrom[p]
		if since.IsZero() || now.Sub(since) < keep || spare[p] < 1 || now.Sub(c.emptySince(x.m, now)) < keep {
			continue
		}
		spare[p]--
		c.closeMachine(x.m, "not needed")
	}
	c.drain(now, plan, keep)
}

// drainBelow is the used part of a machine below which it may be drained.
const drainBelow = 0.6

// drainAfterS is how many seconds a task must have been placed before it is moved
// off a machine, so that it is not moved again and again.
const drainAfterS = 20

// drainPart is the part of the fleet that may begin to drain with one look.
const drainPart = 1.0 / 24

// drain empties machines that are not needed but still run a little, the dearest
// and emptiest first, and gives drained machines back to use when they are needed
// after all. What does not save runs to its end where it is.
func (c *Controller) drain(now time.Time, plan provision.Plan, keep time.Duration) {
	spare, waiting, fleet := 0.0, 0.0, 0
	for _, n := range plan.Spare {
		spare += n
	}
	for _, j := range c.book.Jobs {
		if j != nil {
			waiting += float64(j.Waiting()) * j.Cpus
		}
	}
	type cand struct {
		m    *bookkeeping.Machine
		used float64
	}
	var cands []cand
	for _, m := range c.book.Machines {
		e := c.edits[m.Index]
		if m.Gone || m.Closing || e != nil && e.closing {
			continue
		}
		fleet++
		if m.Drains || e.off() {
			spare--
			if len(plan.Rents) > 0 {
				c.setDraining(m, false)
			}
			continue
		}
		used, rests := 0.0, true // rests: nothing on it was moved or started a moment ago
		cpus := c.book.Types[m.Type].Cpus
		for _, p := range m.Tasks {
			used += p.Job.Cpus / cpus
			rests = rests && p.Job.Shape == protocol.Batch && (p.Job.Mark == 0 || now.Unix()-p.At > drainAfterS)
		}
		p := provision.Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		since := c.lead.spareFrom[p]
		if len(m.Tasks) > 0 && rests && used <= drainBelow && plan.Spare[p] >= 1.5 && !since.IsZero() && now.Sub(since) >= keep {
			cands = append(cands, cand{m, used})
		}
		if waiting > 0 {
			waiting -= max(0, (1-used)*cpus)
		}
	}
	if len(plan.Rents) > 0 || waiting > 0 {
		return
	}
	slices.SortFunc(cands, func(a, b cand) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(b.m), c.cpuPrice(a.m)), cmp.Compare(a.used, b.used), cmp.Compare(a.m.Name, b.m.Name))
	})
	n := min(len(cands), max(1, int(drainPart*float64(fleet))), int(spare)-1)
	for i := range max(0, n) {
		c.setDraining(cands[i].m, true)
	}
}

// emptySince is since when the leader has seen a machine's record unchanged and empty.
func (c *Controller) emptySince(m *bookkeeping.Machine, now time.Time) time.Time {
	e, ok := c.lead.empty[m.Index]
	if !ok || e.version != m.Version {
		e = emptyMark{m.Version, now}
		c.lead.empty[m.Index] = e
	}
	return e.since
}

// moveRoom moves racks from shares with room to spare to shares with waiting
// work. A rack need not be empty: what runs on its machines goes on under its new
// owner, and its record moves whole. What may only run on ordinary machines is looked at
// first and on its own: free spot machines are of no use to it.
func (c *Controller) moveRoom(ctx context.Context, now time.Time) {
	if c.lead.moving || c.book.NShares < 2 {
		return
	}
	mv := mover{c: c, txn: protocol.Txn{If: []protocol.Condition{{Key: bookkeeping.LeaderKey, Version: c.book.Leader.Version}}},
		gone: map[*bookkeeping.Rack]bool{}}
	mv.pass(now, true)
	mv.pass(now, false)
	if len(mv.txn.Then) == 0 {
		return
	}
	c.lead.moving = true
	c.lead.movedAt = now
	c.commitAside(ctx, mv.txn, protocol.Background, func(bool) { c.lead.moving = false })
}

type mover struct {
	c    *Controller
	txn  protocol.Txn
	gone map[*bookkeeping.Rack]bool // racks that move with this transaction
}

// rackSums is what a rack has, in CPUs.
type rackSums struct {
	rack           *bookkeeping.Rack
	free, capacity float64
}

// shareSums is a share's work and machines, in CPUs.
type shareSums struct {
	waiting, top, demand, free, capacity float64
	claim                                float64 // what its teams' work within their guarantees takes
	roomy                                []*rackSums
}

// short tells whether a share has less than its teams' work within their guarantees takes.
func (s *shareSums) short() bool { return s.capacity < s.claim }

// claims works out what the shares' teams may claim by their guarantees. Without
// it the share with the most work for its machines took machines from one whose
// teams had less than they are guaranteed.
func (mv *mover) claims(sums []shareSums) {
	c := mv.c
	demand := make([]float64, len(c.book.Teams))
	for _, j := range c.book.Jobs {
		if j != nil && j.Open() {
			demand[j.Team] += float64(j.Tasks-j.NDone) * j.Cpus
		}
	}
	for t, team := range c.book.Teams {
		sums[c.book.ShareOf(t)].claim += min(team.Cpus, claimMargin*demand[t])
	}
}

// guaranteesTimed tells whether work within a guarantee is expected to start within
// some time. Where it is not, room held ready for it only costs others.
func (c *Controller) guaranteesTimed() bool {
	return slices.ContainsFunc(c.cfg.Deployment.Objectives, func(o config.Objective) bool { return o.Kind == "guarantee" && o.WithinS > 0 })
}

// claimMargin leaves a team some room for the next job within its guarantee.
const claimMargin = 1.4

// load is how much work there is for each CPU.
func (s *shareSums) load(change float64) float64 { return s.demand / max(1, s.capacity+change) }

// pass moves machines one by one from the least to the most loaded share, as long
// as the latter's work waits and the former stays the less loaded one. ordinary
// looks only at work that may not use spot machines, and at ordinary machines.
func (mv *mover) pass(now time.Time, ordinary bool) {
	c := mv.c
	sums := make([]shareSums, c.book.NShares)
	for _, j := range c.book.Jobs {
		if j == nil || !j.Open() || (ordinary && j.Spot) {
			continue
		}
		s := &sums[j.Share]
		s.demand += float64(j.NPlaced) * j.Cpus
		if jv := c.jobs[j]; jv != nil && now.Before(jv.backoff) {
			continue
		}
		w := float64(j.Waiting()) * j.Cpus
		s.waiting += w
		s.demand += w
		if j.Priority.Top() {
			s.top += w
		}
	}
	if !ordinary && c.guaranteesTimed() {
		mv.claims(sums)
	}
	for _, k := range c.book.Racks {
		if k.Version == 0 || mv.gone[k] {
			continue
		}
		s := &sums[k.Share]
		r := &rackSums{rack: k}
		stays := now.Sub(c.lead.moved[k.ID]) <= moveAgain
		for _, m := range k.Machines {
			if m.Gone || m.Closing || (ordinary && m.Spot) {
				continue
			}
			cpus := c.book.Types[m.Type].Cpus
			f := cpus
			for _, p := range m.Tasks {
				f -= p.Job.Cpus
			}
			r.capacity += cpus
			if c.edits[m.Index].off() || m.Sick || m.Drains {
				f = 0
			}
			r.free += f
		}
		s.capacity += r.capacity
		s.free += r.free
		if r.capacity > 0 && !stays {
			s.roomy = append(s.roomy, r)
		}
	}
	for i := range sums {
		slices.SortFunc(sums[i].roomy, func(a, b *rackSums) int {
			return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.rack.ID, b.rack.ID))
		})
	}
	for range movesAtOnce {
		to, from := -1, -1
		for i := range sums {
			s := &sums[i]
			if s.waiting <= s.free {
				continue
			}
			// Work within a guarantee goes before any other.
			if to < 0 || s.short() != sums[to].short() && s.short() || s.short() == sums[to].short() && s.load(0) > sums[to].load(0) {
				to = i
			}
		}
		if to < 0 || len(mv.txn.Then) >= c.cfg.Deployment.State.TxnOps {
			return
		}
		for i := range sums {
			if s := &sums[i]; i != to && len(s.roomy) > 0 && (from < 0 || s.load(0) < sums[from].load(0)) {
				from = i
			}
		}
		if from < 0 {
			return
		}
		k := slices.IndexFunc(sums[from].roomy, func(r *rackSums) bool {
			if sums[from].capacity-r.capacity < sums[from].claim {
				return false // it would lack what its own teams are guaranteed
			}
			return (sums[to].short() || sums[from].load(-r.capacity)*moveMargin < sums[to].load(r.capacity)) && c.someoneFits(to, r.rack)
		})
		if k < 0 {
			return
		}
		r := sums[from].roomy[k]
		sums[from].roomy = slices.Delete(sums[from].roomy, k, k+1)
		sums[from].capacity -= r.capacity
		sums[from].free -= r.free
		sums[to].capacity += r.capacity
		sums[to].free += r.free
		mv.move(r.rack, to)
	}
}

// A move costs a moment until the worker has found its new owner, so a machine is
// not moved again at once, nor for a small difference in load.
const (
	moveAgain  = 6 * time.Second
	moveMargin = 1.1
)

// movesAtOnce bounds how many machines move with one look.
const movesAtOnce = 6

func (mv *mover) move(k *bookkeeping.Rack, to int) {
	r := mv.c.book.RackRecordOf(k, k.Kept(), nil)
	r.Share, r.Token = to, mv.c.fresh()
	key := bookkeeping.RackKey(k.ID)
	mv.gone[k] = true
	mv.c.lead.moved[k.ID] = time.Now()
	mv.txn.If = append(mv.txn.If, protocol.Condition{Key: key, Version: k.Version})
	mv.txn.Then = append(mv.txn.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(r)})
	mv.c.log.Debug("rack moves", "rack", k.ID, "machines", len(k.Machines), "from", k.Share, "to", to)
}

// someoneFits tells whether a share has waiting work that a rack's machines could run.
func (c *Controller) someoneFits(share int, k *bookkeeping.Rack) bool {
	for _, j := range c.book.Jobs {
		if j == nil || !j.Open() || j.Share != share || j.Waiting() == 0 {
			continue
		}
		for _, m := range k.Machines {
			if !m.Gone && !m.Closing && schedule.Allowed(j, m) {
				return true
			}
		}
	}
	return false
}
