package simulator

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// baselineCPUs is what the records say is usual for a class.
func (sim *Simulation) baselineCPUs(class string) (cpus float64) {
	var r storage.BaselineRecord
	raw, _ := sim.Store.Value(storage.BaselineKey)
	_ = json.Unmarshal(raw, &r) // none: nothing is usual
	for _, l := range r.Queues {
		if l.Class == class {
			cpus += l.Cpus
		}
	}
	return cpus
}

// killThirdOfMachines has a third of the machines die, and no other rented.
func killThirdOfMachines(sim *Simulation) {
	for i, m := range sim.Machines() {
		if i%3 == 0 {
			sim.Die(m)
		}
	}
	sim.CapacityOf = 0
}

// TestOverload lets one class of a team ask for ten times what the fleet can run, beside
// another class of the same team and one of another that ask for what they always do. Those
// must hardly notice, whoever ends meanwhile: before, within a team the overload went first as
// soon as it was older. And the overload must not have become the usual after an end of all controllers.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		name      string
		minServed float64 // of the overload that must be done in the end
		fault     func(sim *Simulation)
	}{
		{"a third of the machines die", 0.35, killThirdOfMachines},
		{"owner and leader end, one after the other", 0.5, func(sim *Simulation) {
			eachController(func(i int) { sim.Kill(i); time.Sleep(6 * time.Second); sim.Start(i); time.Sleep(6 * time.Second) })
		}},
		{"all controllers end, and a third of the machines", 0.35, func(sim *Simulation) {
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

// runOverload plays a fault during an overload; so large a part of it must be done in the end.
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
	sim.PeerDelay()
	sim.CapacityOf = 18
	for i := range sim.CapacityOf {
		sim.AddMachine(cfg.Deployment.Zones[i%3], false)
	}
	baselineBefore := sim.submitOverload(fault)
	for _, served := range sim.Served(60 * time.Second) {
		inTime := float64(served.InTime) / float64(served.Due)
		t.Logf("%v", served)
		if served.Class == "steady" && (served.Part() < 0.97 || inTime < 0.9) || served.Part() < minServed {
			t.Errorf("%v", served)
		}
	}
	if baselineAfter := sim.baselineCPUs("overload"); baselineBefore == 0 || baselineAfter > 1.5*baselineBefore {
		t.Errorf("usual of the overload %.0f CPUs before, %.0f after", baselineBefore, baselineAfter)
	}
	for _, b := range sim.BrokenRules() {
		t.Error(b)
	}
}

// submitOverload submits jobs of all classes, and returns what was usual for the overloading one before. The steady
// classes ask for 96 of 288 CPUs, the overloading one for 48 and then for twenty times that.
func (sim *Simulation) submitOverload(fault func(sim *Simulation)) (baselineBefore float64) {
	const overloadStart, overloadEnd, duration = 80, 160, 260 // in seconds
	for second := range duration {
		if second%2 == 0 && second < duration-60 {
			for _, team := range []string{"red", "blue"} {
				sim.User(JobSpec{Team: team, Class: "steady", Tasks: 2 + sim.Random.IntN(5), Cpus: 2, Run: time.Duration(8+sim.Random.IntN(8)) * time.Second})
			}
		}
		for range (1 + 19*min(1, second/overloadStart)*(1-min(1, second/overloadEnd))) * (1 - second%2) {
			sim.User(JobSpec{Team: "red", Class: "overload", Tasks: 1 + sim.Random.IntN(7), Cpus: 2, Run: time.Duration(4+sim.Random.IntN(16)) * time.Second})
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
