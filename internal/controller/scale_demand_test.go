package controller

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dykeledge/internal/controller/autoscale"
)

// TestSpreadServiceDemandPerZone guards against demand that ignores the zone limit of spread jobs: replicas
// waited for minutes next to free machines in a zone that already held half of them, because the total
// capacity was sufficient and none was provisioned elsewhere.
func TestSpreadServiceDemandPerZone(t *testing.T) {
	controller := newZonesCore(t, 1)
	controller.leader.init()
	controller.cache.Types[0].Zones = []int{0, 1, 2}
	placeService(t, controller, "job-000010", 6, "a0", "a0", "a0")
	needed := map[int]int{}
	for _, demand := range controller.demands(time.Now()) {
		if !demand.Spot {
			needed[demand.Zone] += demand.Tasks
		}
	}
	if a := controller.cache.Zones.Find("a"); needed[a] != 3 || needed[-1] != 0 || needed[0]+needed[1]+needed[2] != 6 {
		t.Errorf("demanded tasks by zone: %v, want 3 in zone a and 6 in all zones", needed)
	}
}

// demandedCpus returns the CPUs that the demands need at once, computed as in autoscale.Decide.
func demandedCpus(demands []autoscale.Demand) float64 {
	cpus := 0.0
	for _, demand := range demands {
		cpus += min(float64(demand.Tasks), math.Ceil(demand.TaskSeconds/(targetTimeFraction*demand.CompleteWithinS))) * demand.Cpus
	}
	return cpus
}

// TestDemandsStayWithinTeamLimits guards against bounding demand by the team's limit for each job alone: a
// team at its limit with many jobs had several times the machines provisioned that it could use.
func TestDemandsStayWithinTeamLimits(t *testing.T) {
	for _, test := range []struct {
		name             string
		limit            float64
		jobs, running    int     // jobs of six tasks of 4 CPUs each; running tasks of the first job
		minCpus, maxCpus float64 // bounds of the demand in CPUs; the job of newCore has two waiting tasks of 4 CPUs
	}{
		{"no limit", 0, 5, 0, 120, 128},
		{"one job within the limit", 40, 1, 0, 24, 32},
		{"several jobs share the limit", 40, 5, 0, 37, 40},
		{"running tasks count", 40, 5, 4, 37, 40},
		{"usage above the limit", 12, 5, 4, 9, 12},
		{"rest of the limit below one task", 19, 5, 4, 16, 19},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newZonesCore(t, 4)
			controller.leader.init()
			controller.cache.Teams[0].CpusMax = test.limit
			for i := range test.jobs {
				var machines []string
				if i == 0 {
					machines = []string{"a0", "b0", "c0", "a1"}[:test.running]
				}
				job := placeService(t, controller, fmt.Sprintf("job-%06d", 10+i), 6, machines...)
				job.Spread = false
				controller.cache.TeamUsage[job.Team].Add(job, float64(len(machines)))
			}
			if got := demandedCpus(controller.demands(time.Now())); got < test.minCpus || got > test.maxCpus {
				t.Errorf("demand of %v CPUs, want %v to %v", got, test.minCpus, test.maxCpus)
			}
		})
	}
}
