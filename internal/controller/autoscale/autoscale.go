// Package autoscale decides what to rent and what to return, as pure functions.
package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool is what can be rented: a type in a zone, spot or ordinary.
type Pool struct {
	Type, Zone int
	Spot       bool
}

// Offer is a pool with what its machines are and cost.
type Offer struct {
	Pool
	Cpus, Gpus, Mem float64
	Price           float64
	Boot            float64
	Owned           int
	Blocked         bool // refused or partly filled a short while ago
}

// Demand is work of one kind: what it may run on and how much there is.
type Demand struct {
	Team            int // whose limit bounds it, or NoTeam
	Spot            bool
	Idle            bool    // idle-time work: worth spot machines only
	Types           []int   // empty: any
	Zone            int     // -1: any
	Cpus, Gpus, Mem float64 // of one task
	Tasks           int     // waiting and placed
	Work            float64 // task-seconds still to run
	WithinS         float64 // seconds in which it should be through; 0: no hurry
}

// NoTeam is the team of demands that no limit bounds.
const NoTeam = -1

// Limit is what a team may use at a time; 0: any.
type Limit struct{ Cpus, Gpus float64 }

// CapToLimits lowers the tasks of demands that together want more than their team's limit lets run. The most urgent ones
// keep theirs. Where a team's demands want less, nothing changes: the work that waits behind a limit still tells how soon what may run is needed.
func CapToLimits(demands []Demand, horizon float64, limit func(team int) Limit) {
	byTeam := map[int][]*Demand{}
	for i := range demands {
		if d := &demands[i]; d.Team != NoTeam {
			byTeam[d.Team] = append(byTeam[d.Team], d)
		}
	}
	for team, list := range byTeam {
		slices.SortStableFunc(list, func(a, b *Demand) int { return cmp.Compare(a.WithinS, b.WithinS) })
		left := limit(team)
		for _, d := range list {
			left.Cpus = d.capTo(left.Cpus, d.Cpus, horizon)
			left.Gpus = d.capTo(left.Gpus, d.Gpus, horizon)
		}
	}
}

// allTaken is what is left of a limit once it is used up; 0 would be no limit.
const allTaken = 1e-9

// capTo lowers a demand's tasks to what is left of a limit, and returns what is left beside them.
func (d *Demand) capTo(left, each, horizon float64) float64 {
	if left <= 0 || each <= 0 {
		return left
	}
	if most := math.Floor(left/each + 1e-6); d.wanted(horizon) > most {
		d.Tasks = int(most)
	}
	return max(allTaken, left-d.wanted(horizon)*each)
}

// Machine is a machine that is there or on its way.
type Machine struct {
	Pool
	Cpus, Gpus, Mem float64
	Usable          bool // counts as capacity
}

// Fits tells whether a demand's tasks may run on a pool's machines.
func (d *Demand) Fits(p Pool, cpus, gpus, mem float64) bool {
	return (d.Spot || !p.Spot) && (p.Spot || !d.Idle) && (d.Zone < 0 || d.Zone == p.Zone) &&
		(len(d.Types) == 0 || slices.Contains(d.Types, p.Type)) &&
		d.Cpus <= cpus && d.Gpus <= gpus && d.Mem <= mem
}

// wanted is how many tasks should run at once for the work to be through in time.
func (d *Demand) wanted(horizon float64) float64 {
	n := float64(d.Tasks)
	if d.WithinS > 0 && horizon > 0 {
		n = min(n, math.Ceil(d.Work/(horizon*d.WithinS)))
	}
	return n
}

// perMachine is how many tasks of a demand fit on an empty machine.
func (d *Demand) perMachine(cpus, gpus, mem float64) float64 {
	n := math.Inf(1)
	for _, x := range [...][2]float64{{cpus, d.Cpus}, {gpus, d.Gpus}, {mem, d.Mem}} {
		if x[1] > 0 {
			n = min(n, math.Floor(x[0]/x[1]+1e-6))
		}
	}
	return max(n, 0)
}

// ScaleOut is a wish for machines of a pool.
type ScaleOut struct {
	Pool
	Count int
}

// Plan is what should be there beyond what is, and what is not needed.
type Plan struct {
	ScaleOuts []ScaleOut
	// Urgent is how many machines are rented for more than idle-time work.
	Urgent int
	// Surplus is how many whole machines of each pool are not needed.
	Surplus map[Pool]float64
}

// targetUtilization is the free part of a machine below which nothing is left of it.
const targetUtilization = 1e-9

// rank puts the demands that may run on the fewest kinds of machine first.
func (d *Demand) rank() int {
	r := 0
	if d.Idle {
		r += 8 // what is left
	}
	if d.Spot {
		r += 4
	}
	if d.Zone < 0 {
		r += 2
	}
	if len(d.Types) == 0 {
		r++
	}
	return r
}

// Decide compares demands with machines. The demands that may run on the
// fewest kinds of machine take theirs first. horizon is the part of a demand's
// allowed time that its work may take.
func Decide(demands []Demand, machines []Machine, offers []Offer, horizon float64) Plan {
	ranked := make([]*Demand, len(demands))
	for i := range demands {
		ranked[i] = &demands[i]
	}
	slices.SortStableFunc(ranked, func(a, b *Demand) int { return cmp.Compare(a.rank(), b.rank()) })
	left := make([]float64, len(machines)) // free part of each machine
	for i := range left {
		left[i] = 1
	}
	plan := Plan{Surplus: map[Pool]float64{}}
	rented := map[Pool]float64{} // free part of what is being rented, summed
	counts := map[Pool]int{}
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Price/a.Cpus, b.Price/b.Cpus), cmp.Compare(a.Owned, b.Owned))
	})
	// cheap machines first, so that what is spare is dear
	var order [2][]int // spot machines, and ordinary ones
	for i := range machines {
		switch m := &machines[i]; {
		case !m.Usable:
		case m.Spot:
			order[0] = append(order[0], i)
		default:
			order[1] = append(order[1], i)
		}
	}
	for _, demand := range ranked {
		need := demand.wanted(horizon)
		for k := range order {
			if k == 0 && !demand.Spot || k == 1 && demand.Idle {
				continue
			}
			// Each kind of work begins with the first machine that still has something free:
			// otherwise thousands of them look at all machines that those before have filled.
			for len(order[k]) > 0 && left[order[k][0]] <= targetUtilization {
				order[k] = order[k][1:]
			}
			for _, i := range order[k] {
				machine := &machines[i]
				if need <= 0 {
					break
				}
				if left[i] <= targetUtilization || !demand.Fits(machine.Pool, machine.Cpus, machine.Gpus, machine.Mem) {
					continue
				}
				per := demand.perMachine(machine.Cpus, machine.Gpus, machine.Mem)
				if per < 1 {
					continue
				}
				n := min(need, per*left[i])
				left[i] -= n / per
				need -= n
			}
		}
		for need > 0.05 {
			best := -1
			for i := range offers {
				o := &offers[i]
				if o.Blocked || !demand.Fits(o.Pool, o.Cpus, o.Gpus, o.Mem) || demand.perMachine(o.Cpus, o.Gpus, o.Mem) < 1 {
					continue
				}
				if best < 0 || o.Price/o.Cpus < 0.99*offers[best].Price/offers[best].Cpus ||
					(o.Price/o.Cpus <= offers[best].Price/offers[best].Cpus && o.Owned < offers[best].Owned) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			offer := &offers[best]
			per := demand.perMachine(offer.Cpus, offer.Gpus, offer.Mem)
			if rented[offer.Pool] <= 1e-6 {
				counts[offer.Pool]++
				if !demand.Idle {
					plan.Urgent++
				}
				offer.Owned++
				rented[offer.Pool] = 1
			}
			n := min(need, per*rented[offer.Pool])
			rented[offer.Pool] -= n / per
			need -= n
		}
	}
	for i, m := range machines {
		if m.Usable {
			plan.Surplus[m.Pool] += left[i]
		}
	}
	for _, o := range offers {
		if n := counts[o.Pool]; n > 0 {
			plan.ScaleOuts = append(plan.ScaleOuts, ScaleOut{o.Pool, n})
		}
	}
	return plan
}

// IdleRetention is how long an idle machine is kept: long where booting another
// would take a good part of the time that jobs have, short where it would not.
func IdleRetention(boot, tightest float64) time.Duration {
	if boot <= 0 {
		boot = 30
	}
	keep := boot / 6
	if tightest > 0 && tightest < 3*boot {
		keep = 20 * boot
	}
	return time.Duration(keep * float64(time.Second))
}
