package controller

import (
	"fmt"
	"math"
	"testing"
	"time"

	"dykeledge/internal/controller/autoscale"
)

// Replicas waited for minutes beside free machines in a zone that had its half already: by the sums there was
// capacity, and nothing was provisioned elsewhere.
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
		t.Errorf("capacity asked for by zone: %v", needed)
	}
}

// demandedCpus is for how many CPUs demands ask at once, as autoscale.Decide counts them.
func demandedCpus(demands []autoscale.Demand) float64 {
	cpus := 0.0
	for _, demand := range demands {
		cpus += min(float64(demand.Tasks), math.Ceil(demand.Work/(targetTimeFraction*demand.WithinS))) * demand.Cpus
	}
	return cpus
}

// Scaling out went by each job's own part of its team's limit: once limits bound, a team with many jobs had several
// times the machines provisioned that it could use.
func TestDemandsStayWithinTeamLimits(t *testing.T) {
	for _, test := range []struct {
		name             string
		limit            float64
		jobs, running    int     // of six tasks of 4 CPUs each
		minCpus, maxCpus float64 // CPUs that are asked for; the core's own job has two small tasks that wait
	}{
		{"no limit", 0, 5, 0, 120, 128},
		{"one job under the limit", 40, 1, 0, 24, 32},
		{"many jobs share it", 40, 5, 0, 37, 40},
		{"what runs counts", 40, 5, 4, 37, 40},
		{"more runs than may", 12, 5, 4, 9, 12},
		{"less than a task is left", 19, 5, 4, 16, 19},
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
				controller.cache.Used[job.Team].Add(job, float64(len(machines)))
			}
			if got := demandedCpus(controller.demands(time.Now())); got < test.minCpus || got > test.maxCpus {
				t.Errorf("%v CPUs are asked for, want %v to %v", got, test.minCpus, test.maxCpus)
			}
		})
	}
}
