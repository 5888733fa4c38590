package simulator

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// baselineCPUs returns the recorded baseline demand of a class over all teams, in CPUs.
func (sim *Simulation) baselineCPUs(class string) (cpus float64) {
	var r storage.BaselineRecord
	raw, _ := sim.Store.Value(storage.BaselineKey)
	_ = json.Unmarshal(raw, &r) // without a record the baseline demand is 0
	for _, l := range r.Queues {
		if l.Class == class {
			cpus += l.Cpus
		}
	}
	return cpus
}

// killThirdOfMachines makes a third of the machines die, and lets no further machine be rented.
func killThirdOfMachines(sim *Simulation) {
	for i, m := range sim.Machines() {
		if i%3 == 0 {
			sim.FailMachine(m)
		}
	}
	sim.Capacity = 0
}

// TestOverload raises the demand of one class of a team to twenty times its usual one, far more than the
// machines can run, while another class of the team and one of another team demand what they always do.
// These must hardly be affected, whichever controllers restart meanwhile; in an earlier version the
// overload took precedence within its team once its jobs were older. After a restart of all controllers,
// the overload must not have become the baseline demand.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		name      string
		minServed float64 // part of each class's jobs that must be done at the end
		fault     func(sim *Simulation)
	}{
		{"a third of the machines die", 0.35, killThirdOfMachines},
		{"each controller restarts, one after another", 0.5, func(sim *Simulation) {
			eachController(func(i int) { sim.Kill(i); time.Sleep(6 * time.Second); sim.Start(i); time.Sleep(6 * time.Second) })
		}},
		{"all controllers restart, and a third of the machines die", 0.35, func(sim *Simulation) {
			eachController(sim.Kill)
			killThirdOfMachines(sim)
			time.Sleep(5 * time.Second)
			eachController(sim.Start)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runOverload(t, test.minServed, test.fault) })
		})
	}
}

// runOverload injects a fault during an overload. At the end, at least the part minServed of every class's
// jobs must be done.
func runOverload(t *testing.T, minServed float64, fault func(sim *Simulation)) {
	t.Helper()
	ctx := simulationContext(t)
	cfg := testSettings()
	cfg.Deployment.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	cfg.Deployment.Workers.CancelS = 36
	for _, class := range []string{"steady", "overload"} {
		cfg.Deployment.Objectives = append(cfg.Deployment.Objectives, config.Objective{Kind: "finished", Class: class, WithinS: 60, Share: 0.95})
	}
	sim := NewSimulation(ctx, cfg, 3)
	eachController(sim.Start)
	sim.ExchangePeerHeartbeats()
	sim.Capacity = 18
	for i := range sim.Capacity {
		sim.AddMachine(cfg.Deployment.Zones[i%3], false)
	}
	baselineBefore := sim.submitOverload(fault)
	for _, served := range sim.Served(60 * time.Second) {
		inTime := float64(served.InTime) / float64(served.Accepted)
		t.Logf("%v", served)
		if served.Class == "steady" && (served.DoneFraction() < 0.97 || inTime < 0.9) || served.DoneFraction() < minServed {
			t.Errorf("%v", served)
		}
	}
	if baselineAfter := sim.baselineCPUs("overload"); baselineBefore == 0 || baselineAfter > 1.5*baselineBefore {
		t.Errorf("baseline demand of the overloading class: %.0f CPUs before the overload, %.0f after it, want above 0 and at most 1.5 times as much", baselineBefore, baselineAfter)
	}
	for _, b := range sim.BrokenRules() {
		t.Error(b)
	}
}

// submitOverload submits jobs of all classes, and returns the baseline demand of the overloading class
// from before the overload. The steady classes demand 96 of 288 CPUs, the overloading class 48 and then
// twenty times that.
func (sim *Simulation) submitOverload(fault func(sim *Simulation)) (baselineBefore float64) {
	const overloadStart, overloadEnd, duration = 80, 160, 260 // in seconds
	for second := range duration {
		if second%2 == 0 && second < duration-60 {
			for _, team := range []string{"red", "blue"} {
				sim.StartUser(JobSpec{Team: team, Class: "steady", Tasks: 2 + sim.Random.IntN(5), Cpus: 2, RunTime: time.Duration(8+sim.Random.IntN(8)) * time.Second})
			}
		}
		for range (1 + 19*min(1, second/overloadStart)*(1-min(1, second/overloadEnd))) * (1 - second%2) {
			sim.StartUser(JobSpec{Team: "red", Class: "overload", Tasks: 1 + sim.Random.IntN(7), Cpus: 2, RunTime: time.Duration(4+sim.Random.IntN(16)) * time.Second})
		}
		if second == overloadStart {
			baselineBefore = sim.baselineCPUs("overload")
		}
		if second == overloadStart+30 {
			go fault(sim)
		}
		time.Sleep(time.Second)
	}
	return baselineBefore
}
