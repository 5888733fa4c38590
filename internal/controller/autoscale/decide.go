package autoscale

import (
	"cmp"
	"slices"
)

// Pool is a kind of machine that the cloud offers: a type in a zone, spot or on-demand.
type Pool struct {
	Type, Zone int
	Spot       bool
}

// Offer is a pool with what its machines are and cost.
type Offer struct {
	Pool
	Cpus, Gpus, Mem float64 // of one machine: CPUs, accelerators, GB
	Price           float64 // of one machine, by the catalog
	Boot            float64 // seconds until a machine is up
	Owned           int     // machines of the pool that are there or on their way
	Blocked         bool    // refused or partly filled a short while ago
}

// Machine is a machine that is there or on its way.
type Machine struct {
	Pool
	Cpus, Gpus, Mem float64 // CPUs, accelerators, GB
	Usable          bool    // counts as capacity
}

// ScaleOut is a wish for machines of a pool.
type ScaleOut struct {
	Pool
	Count int
}

// Plan is what should be there beyond what is, and what is not needed.
type Plan struct {
	ScaleOuts []ScaleOut
	// Urgent is how many machines are scaled out for more than idle-time work.
	Urgent int
	// Surplus is how many whole machines of each pool are not needed, summed over parts of machines.
	Surplus map[Pool]float64
}

const (
	// minFreeFraction is the free part of a machine up to which it counts as full.
	minFreeFraction = 1e-9
	// minNewFreeFraction is the same for a machine to be scaled out.
	minNewFreeFraction = 1e-6
	// minUnplacedTasks is how many wanted tasks, as a fraction, are not worth another machine.
	minUnplacedTasks = 0.05
	// cheaperPriceRatio is the part of another offer's price a CPU below which an offer is taken for
	// cheaper however many machines of it there are.
	cheaperPriceRatio = 0.99
)

// planner is one run of Decide.
type planner struct {
	machines        []Machine
	freeFraction    []float64 // by machine, from 0 to 1
	spot            []int     // usable spot machines that are not full yet, in order
	onDemand        []int     // the same for on-demand machines
	offers          []Offer
	newFreeFraction map[Pool]float64 // free part of the last machine to be scaled out
	scaleOutCounts  map[Pool]int     // machines to be scaled out
	urgent          int
}

// Decide compares demands with machines. The demands that may run on the fewest kinds of machine take
// theirs first; what finds no machine is scaled out from the cheapest offers. horizon is the part, from
// 0 to 1, of a demand's allowed time that its work may take; 0: all tasks should run at once. Neither
// list is changed.
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
		if !demand.Idle {
			unplaced = p.takeCapacity(&p.onDemand, demand, unplaced)
		}
		p.scaleOut(demand, unplaced)
	}
	return p.plan()
}

// rankedDemands are the demands in the order in which they take machines.
func rankedDemands(demands []Demand) []*Demand {
	ranked := make([]*Demand, len(demands))
	for i := range demands {
		ranked[i] = &demands[i]
	}
	slices.SortStableFunc(ranked, func(a, b *Demand) int { return cmp.Compare(a.rank(), b.rank()) })
	return ranked
}

// sortedOffers are the offers with the cheapest first, and of equals the pool with the fewest machines.
func sortedOffers(offers []Offer) []Offer {
	sorted := slices.Clone(offers)
	slices.SortStableFunc(sorted, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.pricePerCPU(), b.pricePerCPU()), cmp.Compare(a.Owned, b.Owned))
	})
	return sorted
}

func (o *Offer) pricePerCPU() float64 { return o.Price / o.Cpus }

// usableMachines are the indices of the usable spot and on-demand machines. Demands use the spot
// machines first, so that what is surplus is expensive.
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

// takeCapacity has a demand take what it needs of machines, and returns how many tasks find none there.
func (p *planner) takeCapacity(machines *[]int, demand *Demand, unplaced float64) float64 {
	// Each demand starts with the first machine that still has something free: otherwise
	// thousands of them look at all machines that those before have filled.
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

// scaleOut plans machines for the tasks of a demand that find none, as far as there are offers.
func (p *planner) scaleOut(demand *Demand, unplaced float64) {
	for unplaced > minUnplacedTasks {
		offer := p.bestOffer(demand)
		if offer == nil {
			return
		}
		if p.newFreeFraction[offer.Pool] <= minNewFreeFraction {
			p.addMachine(offer, demand.Idle)
		}
		tasksPerMachine := demand.tasksPerMachine(offer.Cpus, offer.Gpus, offer.Mem)
		tasks := min(unplaced, tasksPerMachine*p.newFreeFraction[offer.Pool])
		p.newFreeFraction[offer.Pool] -= tasks / tasksPerMachine
		unplaced -= tasks
	}
}

// bestOffer is the cheapest offer that a demand's tasks may run on, and of those that cost about the
// same the pool with the fewest machines; nil if there is none.
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

// isPreferredTo tells whether an offer is clearly cheaper than another, or no more expensive and of a pool
// with fewer machines.
func (o *Offer) isPreferredTo(other *Offer) bool {
	return o.pricePerCPU() < cheaperPriceRatio*other.Price/other.Cpus ||
		o.pricePerCPU() <= other.pricePerCPU() && o.Owned < other.Owned
}

// addMachine plans one more machine of an offer.
func (p *planner) addMachine(offer *Offer, idle bool) {
	p.scaleOutCounts[offer.Pool]++
	if !idle {
		p.urgent++
	}
	offer.Owned++
	p.newFreeFraction[offer.Pool] = 1
}

// plan is what the planner came to.
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
