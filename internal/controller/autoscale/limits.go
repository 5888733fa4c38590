package autoscale

import (
	"cmp"
	"math"
	"slices"
)

// Limit is how much a team may use at a time, in CPUs and accelerators; 0: unlimited.
type Limit struct{ Cpus, Gpus float64 }

// exhaustedLimit is the remainder of a limit that is used up; 0 would mean unlimited.
const exhaustedLimit = 1e-9

// CapToLimits reduces the task counts of demands that together need more at once than their team's limit
// allows. The demands with the lowest CompleteWithinS are served first. A demand that needs no more at
// once than the remaining limit is not changed: tasks that the limit keeps waiting still count as work to
// be completed in time. horizon is as for Decide; limit returns the limit of a team.
func CapToLimits(demands []Demand, horizon float64, limit func(team int) Limit) {
	byTeam := map[int][]*Demand{}
	for i := range demands {
		if demand := &demands[i]; demand.Team != NoTeam {
			byTeam[demand.Team] = append(byTeam[demand.Team], demand)
		}
	}
	for team, teamDemands := range byTeam {
		slices.SortStableFunc(teamDemands, func(a, b *Demand) int { return cmp.Compare(a.CompleteWithinS, b.CompleteWithinS) })
		remaining := limit(team)
		for _, demand := range teamDemands {
			remaining.Cpus = demand.capTasks(remaining.Cpus, demand.Cpus, horizon)
			remaining.Gpus = demand.capTasks(remaining.Gpus, demand.Gpus, horizon)
		}
	}
}

// capTasks reduces a demand's tasks, each of which uses perTask of a resource, to what the remaining limit
// allows, and returns the limit less what the demand uses at once.
func (d *Demand) capTasks(remaining, perTask, horizon float64) float64 {
	if remaining <= 0 || perTask <= 0 {
		return remaining
	}
	if maxTasks := math.Floor(remaining/perTask + tolerance); d.concurrentTasks(horizon) > maxTasks {
		d.Tasks = int(maxTasks)
	}
	return max(exhaustedLimit, remaining-d.concurrentTasks(horizon)*perTask)
}
