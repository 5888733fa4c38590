package autoscale

import (
	"cmp"
	"math"
	"slices"
)

// Limit is what a team may use at a time, in CPUs and accelerators; 0: any.
type Limit struct{ Cpus, Gpus float64 }

// limitUsedUp is what is left of a limit once it is used up; 0 would be no limit.
const limitUsedUp = 1e-9

// CapToLimits lowers the tasks of demands that together want more than their team's limit lets run. The
// most urgent ones keep theirs. Where a team's demands want less, nothing changes: the work that waits
// behind a limit still tells how soon what may run is needed. horizon is as for Decide; limit is asked
// for each team of the demands.
func CapToLimits(demands []Demand, horizon float64, limit func(team int) Limit) {
	byTeam := map[int][]*Demand{}
	for i := range demands {
		if demand := &demands[i]; demand.Team != NoTeam {
			byTeam[demand.Team] = append(byTeam[demand.Team], demand)
		}
	}
	for team, ofTeam := range byTeam {
		slices.SortStableFunc(ofTeam, func(a, b *Demand) int { return cmp.Compare(a.WithinS, b.WithinS) })
		left := limit(team)
		for _, demand := range ofTeam {
			left.Cpus = demand.capTo(left.Cpus, demand.Cpus, horizon)
			left.Gpus = demand.capTo(left.Gpus, demand.Gpus, horizon)
		}
	}
}

// capTo lowers a demand's tasks, which take each of a resource, to what is left of its limit. It returns
// what is left beside them.
func (d *Demand) capTo(left, each, horizon float64) float64 {
	if left <= 0 || each <= 0 {
		return left
	}
	if most := math.Floor(left/each + tolerance); d.wanted(horizon) > most {
		d.Tasks = int(most)
	}
	return max(limitUsedUp, left-d.wanted(horizon)*each)
}
