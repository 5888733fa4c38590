package autoscale

import "testing"

// The demands of a team together need no more at once than its limit, the most urgent served first. A demand
// within the limit is not changed: tasks that the limit keeps waiting still count as work to be completed in
// time.
func TestCapToLimits(t *testing.T) {
	const horizon = 0.5
	demand := func(team, tasks int, work, withinS float64) Demand {
		return Demand{Team: team, Tasks: tasks, TaskSeconds: work, CompleteWithinS: withinS, Cpus: 2}
	}
	for _, test := range []struct {
		name    string
		demands []Demand
		limit   Limit
		want    []int
	}{
		{"no limit", []Demand{demand(NoTeam, 50, 1000, 10)}, Limit{Cpus: 10}, []int{50}},
		{"demand within the limit", []Demand{demand(0, 50, 20, 10)}, Limit{Cpus: 10}, []int{50}},
		{"one demand above the limit", []Demand{demand(0, 50, 1000, 10)}, Limit{Cpus: 10}, []int{5}},
		{"the more urgent keeps its tasks", []Demand{demand(0, 50, 1000, 90), demand(0, 3, 1000, 10)}, Limit{Cpus: 10}, []int{2, 3}},
		{"the more urgent uses up the limit", []Demand{demand(0, 50, 1000, 90), demand(0, 9, 1000, 10)}, Limit{Cpus: 10}, []int{0, 5}},
		{"teams have their own limits", []Demand{demand(0, 50, 1000, 10), demand(1, 50, 1000, 10)}, Limit{Cpus: 10}, []int{5, 5}},
		{"limit on accelerators", []Demand{{Team: 0, Tasks: 50, TaskSeconds: 1000, CompleteWithinS: 10, Cpus: 2, Gpus: 1}}, Limit{Cpus: 100, Gpus: 3}, []int{3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			CapToLimits(test.demands, horizon, func(int) Limit { return test.limit })
			for i, demand := range test.demands {
				if demand.Tasks != test.want[i] {
					t.Errorf("demand %d has %d tasks, want %d", i, demand.Tasks, test.want[i])
				}
			}
		})
	}
}
