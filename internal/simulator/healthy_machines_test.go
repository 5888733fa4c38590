package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
)

// TestTasksSurviveOnHealthyMachines ends controllers while every machine is well. Tasks died all the same: their
// workers' leases expired, because no controller that was left could or might renew them.
func TestTasksSurviveOnHealthyMachines(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds uint64 // number of simulations
		fault func(sim *Simulation)
	}{
		{"all-controllers-away-for-8s", 16, func(sim *Simulation) { sim.Restart(8*time.Second, 0, 1, 2) }},
		{"controller-ends-in-long-outage", 1, func(sim *Simulation) {
			sim.Store.SetDown(true)
			time.Sleep(5 * time.Second)
			sim.Kill(1)
			time.Sleep(70 * time.Second)
			sim.Store.SetDown(false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				synctest.Test(t, func(t *testing.T) { runOnHealthyMachines(t, seed, test.fault) })
			}
		})
	}
}

// runOnHealthyMachines injects a fault that no machine is affected by, and fails if a lease expires.
func runOnHealthyMachines(t *testing.T, seed uint64, fault func(sim *Simulation)) {
	t.Helper()
	c := isolationCase{workers: config.Workers{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 40}}
	sim, jobs := c.begin(simulationContext(t), seed)
	wanted := 0
	for _, job := range jobs {
		wanted += job.Tasks
	}
	for range 120 { // machines boot
		if sim.RunningTasks() == wanted {
			break
		}
		time.Sleep(time.Second)
	}
	running := sim.RunningTasks()
	fault(sim)
	time.Sleep(30 * time.Second)
	if kills := sim.Stats().LeaseKills; running < wanted || kills > 0 {
		t.Errorf("seed %d: %d of %d tasks ran before the fault, %d were killed by expired leases, want none", seed, running, wanted, kills)
	}
	for _, rule := range sim.BrokenRules() {
		t.Error(rule)
	}
}
