package autoscale

import (
	"cmp"
	"slices"
)

// Pool is a kind of machine that the cloud offers: a machine type in a zone, spot or on-demand.
type Pool struct {
	Type, Zone int
	Spot       bool
}

// Offer describes the machines of a pool and their price.
type Offer struct {
	Pool
	Cpus, Gpus, Mem float64 // per machine: CPUs, accelerators, memory in GB
	Price           float64 // of one machine as listed in the catalog, in currency units per hour
	BootSeconds     float64 // boot time of a machine in seconds
	Owned           int     // machines of the pool that are running or being started
	Blocked         bool    // a recent request to the pool was refused or only partly filled
}

// Machine is a machine that is running or being started.
type Machine struct {
	Pool
	Cpus, Gpus, Mem float64 // CPUs, accelerators, memory in GB
	Usable          bool    // its capacity counts
}

// ScaleOut is the number of machines to request from a pool.
type ScaleOut struct {
	Pool
	Count int
}

// Plan is the result of Decide: the machines to request, and the capacity that is not needed.
type Plan struct {
	ScaleOuts []ScaleOut
	// Urgent is the number of machines to request for work other than idle-time work.
	Urgent int
	// Surplus is the unneeded capacity of each pool, in machines: the sum of the free fractions of its
	// usable machines.
	Surplus map[Pool]float64
}

const (
	// minFreeFraction is the free fraction up to which a machine counts as full.
	minFreeFraction = 1e-9
	// minNewFreeFraction is the free fraction up to which a machine that the plan adds counts as full.
	minNewFreeFraction = 1e-6
	// minUnplacedTasks is the number of unplaced tasks, which need not be whole, up to which the plan adds
	// no further machine.
	minUnplacedTasks = 0.05
	// cheaperPriceRatio is the ratio of two offers' prices per CPU below which the first offer is
	// preferred regardless of how many machines its pool has.
	cheaperPriceRatio = 0.99
)

// planner holds the state of one run of Decide.
type planner struct {
	machines        []Machine
	freeFraction    []float64 // by machine index, from 0 to 1
	spot            []int     // indices of the usable spot machines, from the first that is not full
	onDemand        []int     // the same for on-demand machines
	offers          []Offer
	newFreeFraction map[Pool]float64 // of the last machine that the plan adds, by pool
	scaleOutCounts  map[Pool]int     // machines that the plan adds, by pool
	urgent          int
}

// Decide compares the demands with the machines. Demands that may run on the fewest kinds of machines
// are assigned capacity first; machines for what remains are requested from the cheapest offers. horizon
// is the fraction, from 0 to 1, of a demand's allowed time in which its work should be completed; 0: all
// tasks should run at once. Decide does not modify its arguments.
func Decide(demands []Demand, machines []Machine, offers []Offer, horizon float64) Plan {
	p := planner{
		machines:        machines,
		freeFraction:    slices.Repeat([]float64{1}, len(machines)),
		offers:          sortedOffers(offers),
		newFreeFraction: map[Pool]float64{},
		scaleOutCounts:  map[Pool]int{},
	}
	p.spot, p.onDemand = usableMachines(machines)
	for _, demand := range rankedDemands(demands) {
		unplaced := demand.concurrentTasks(horizon)
		if demand.Spot {
			unplaced = p.takeCapacity(&p.spot, demand, unplaced)
		}
		if !demand.IdleTimeWork {
			unplaced = p.takeCapacity(&p.onDemand, demand, unplaced)
		}
		p.scaleOut(demand, unplaced)
	}
	return p.plan()
}

// rankedDemands returns the demands in the order in which they are assigned capacity.
func rankedDemands(demands []Demand) []*Demand {
	ranked := make([]*Demand, len(demands))
	for i := range demands {
		ranked[i] = &demands[i]
	}
	slices.SortStableFunc(ranked, func(a, b *Demand) int { return cmp.Compare(a.rank(), b.rank()) })
	return ranked
}

// sortedOffers returns the offers by rising price per CPU; among equal prices, the pool with the fewest
// machines comes first.
func sortedOffers(offers []Offer) []Offer {
	sorted := slices.Clone(offers)
	slices.SortStableFunc(sorted, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.pricePerCPU(), b.pricePerCPU()), cmp.Compare(a.Owned, b.Owned))
	})
	return sorted
}

func (o *Offer) pricePerCPU() float64 { return o.Price / o.Cpus }

// usableMachines returns the indices of the usable spot and on-demand machines. Demands are assigned spot
// machines first, so that the surplus consists of the more expensive machines.
func usableMachines(machines []Machine) (spot, onDemand []int) {
	for i := range machines {
		switch machine := &machines[i]; {
		case !machine.Usable:
		case machine.Spot:
			spot = append(spot, i)
		default:
			onDemand = append(onDemand, i)
		}
	}
	return spot, onDemand
}

// takeCapacity assigns free capacity of the machines to a demand and returns how many tasks remain
// unplaced.
func (p *planner) takeCapacity(machines *[]int, demand *Demand, unplaced float64) float64 {
	// Drops full machines from the front of the list: otherwise each of thousands of demands would
	// scan all machines that earlier demands have filled.
	for len(*machines) > 0 && p.freeFraction[(*machines)[0]] <= minFreeFraction {
		*machines = (*machines)[1:]
	}
	for _, i := range *machines {
		if unplaced <= 0 {
			break
		}
		machine := &p.machines[i]
		if p.freeFraction[i] <= minFreeFraction || !demand.Fits(machine.Pool, machine.Cpus, machine.Gpus, machine.Mem) {
			continue
		}
		tasksPerMachine := demand.tasksPerMachine(machine.Cpus, machine.Gpus, machine.Mem)
		if tasksPerMachine < 1 {
			continue
		}
		tasks := min(unplaced, tasksPerMachine*p.freeFraction[i])
		p.freeFraction[i] -= tasks / tasksPerMachine
		unplaced -= tasks
	}
	return unplaced
}

// scaleOut adds machines to the plan for a demand's unplaced tasks, as far as there are offers.
func (p *planner) scaleOut(demand *Demand, unplaced float64) {
	for unplaced > minUnplacedTasks {
		offer := p.bestOffer(demand)
		if offer == nil {
			return
		}
		if p.newFreeFraction[offer.Pool] <= minNewFreeFraction {
			p.addMachine(offer, demand.IdleTimeWork)
		}
		tasksPerMachine := demand.tasksPerMachine(offer.Cpus, offer.Gpus, offer.Mem)
		tasks := min(unplaced, tasksPerMachine*p.newFreeFraction[offer.Pool])
		p.newFreeFraction[offer.Pool] -= tasks / tasksPerMachine
		unplaced -= tasks
	}
}

// bestOffer returns the cheapest offer that a demand's tasks may run on; among offers of about the same
// price, it prefers the pool with the fewest machines. It returns nil if there is none.
func (p *planner) bestOffer(demand *Demand) *Offer {
	var best *Offer
	for i := range p.offers {
		offer := &p.offers[i]
		if offer.Blocked || !demand.Fits(offer.Pool, offer.Cpus, offer.Gpus, offer.Mem) || demand.tasksPerMachine(offer.Cpus, offer.Gpus, offer.Mem) < 1 {
			continue
		}
		if best == nil || offer.isPreferredTo(best) {
			best = offer
		}
	}
	return best
}

// isPreferredTo reports whether an offer is clearly cheaper per CPU than another, or costs no more and
// belongs to a pool with fewer machines.
func (o *Offer) isPreferredTo(other *Offer) bool {
	return o.pricePerCPU() < cheaperPriceRatio*other.Price/other.Cpus ||
		o.pricePerCPU() <= other.pricePerCPU() && o.Owned < other.Owned
}

// addMachine adds one machine of an offer to the plan. idle is true if it is for idle-time work.
func (p *planner) addMachine(offer *Offer, idle bool) {
	p.scaleOutCounts[offer.Pool]++
	if !idle {
		p.urgent++
	}
	offer.Owned++
	p.newFreeFraction[offer.Pool] = 1
}

// plan returns the resulting plan.
func (p *planner) plan() Plan {
	plan := Plan{Urgent: p.urgent, Surplus: map[Pool]float64{}}
	for i := range p.machines {
		if machine := &p.machines[i]; machine.Usable {
			plan.Surplus[machine.Pool] += p.freeFraction[i]
		}
	}
	for i := range p.offers {
		pool := p.offers[i].Pool
		if count := p.scaleOutCounts[pool]; count > 0 {
			plan.ScaleOuts = append(plan.ScaleOuts, ScaleOut{Pool: pool, Count: count})
		}
	}
	return plan
}
