package autoscale

import (
	"cmp"
	"math"
	"slices"
)

// Limit is what a team may use at a time, in CPUs and accelerators; 0: any.
type Limit struct{ Cpus, Gpus float64 }

// exhaustedLimit is what is left of a limit once it is used up; 0 would be no limit.
const exhaustedLimit = 1e-9

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
	for team, teamDemands := range byTeam {
		slices.SortStableFunc(teamDemands, func(a, b *Demand) int { return cmp.Compare(a.WithinS, b.WithinS) })
		remaining := limit(team)
		for _, demand := range teamDemands {
			remaining.Cpus = demand.capTasks(remaining.Cpus, demand.Cpus, horizon)
			remaining.Gpus = demand.capTasks(remaining.Gpus, demand.Gpus, horizon)
		}
	}
}

// capTasks lowers a demand's tasks, which take each of a resource, to what is left of its limit. It returns
// what is left beside them.
func (d *Demand) capTasks(remaining, perTask, horizon float64) float64 {
	if remaining <= 0 || perTask <= 0 {
		return remaining
	}
	if maxTasks := math.Floor(remaining/perTask + tolerance); d.concurrentTasks(horizon) > maxTasks {
		d.Tasks = int(maxTasks)
	}
	return max(exhaustedLimit, remaining-d.concurrentTasks(horizon)*perTask)
}
