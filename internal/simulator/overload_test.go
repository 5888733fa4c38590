package simulator

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// baselineOf is what the records say is usual for a class.
func (w *Simulation) baselineOf(class string) (cpus float64) {
	var r storage.BaselineRecord
	raw, _ := w.Store.Value(storage.BaselineKey)
	_ = json.Unmarshal(raw, &r) // none: nothing is usual
	for _, l := range r.Queues {
		if l.Class == class {
			cpus += l.Cpus
		}
	}
	return cpus
}

// TestOverload lets one class of a team ask for ten times what the fleet can run, beside
// another class of the same team and one of another that ask for what they always do. Those
// must hardly notice, whoever ends meanwhile: before, within a team the flood went first as
// soon as it was older. And the flood must not have become the usual after an end of all controllers.
func TestOverload(t *testing.T) {
	each := func(f func(int)) {
		for i := range 3 {
			f(i)
		}
	}
	lose := func(w *Simulation) {
		for i, m := range w.Machines() {
			if i%3 == 0 {
				w.Die(m)
			}
		}
		w.CapacityOf = 0
	}
	for _, x := range []struct {
		name  string
		part  float64 // of the flood that must be done in the end
		fault func(sim *Simulation)
	}{
		{"a third of the machines die", 0.35, lose},
		{"owner and leader end, one after the other", 0.5, func(w *Simulation) {
			each(func(i int) { w.Kill(i); time.Sleep(6 * time.Second); w.Start(i); time.Sleep(6 * time.Second) })
		}},
		{"all nodes end, and a third of the machines", 0.35, func(w *Simulation) {
			each(w.Kill)
			lose(w)
			time.Sleep(5 * time.Second)
			each(w.Start)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cfg := settings()
				cfg.Deployment.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
				cfg.Deployment.Workers.CancelS = 36
				for _, class := range []string{"steady", "flood"} {
					cfg.Deployment.Objectives = append(cfg.Deployment.Objectives, config.Objective{Kind: "finished", Class: class, WithinS: 60, Share: 0.95})
				}
				simulation := NewSimulation(ctx, cfg, 3)
				each(simulation.Start)
				simulation.PeerDelay()
				simulation.CapacityOf = 18
				for i := range simulation.CapacityOf {
					simulation.AddMachine(cfg.Deployment.Zones[i%3], false)
				}
				// The steady classes ask for 96 of 288 CPUs, the flood for 48 and then for twenty times that.
				const begins, ends, over = 80, 160, 260
				var before float64
				for s := range over {
					if s%2 == 0 && s < over-60 {
						for _, team := range []string{"red", "blue"} {
							simulation.User(JobSpec{Team: team, Class: "steady", Tasks: 2 + simulation.Random.IntN(5), Cpus: 2, Run: time.Duration(8+simulation.Random.IntN(8)) * time.Second})
						}
					}
					for range (1 + 19*min(1, s/begins)*(1-min(1, s/ends))) * (1 - s%2) {
						simulation.User(JobSpec{Team: "red", Class: "flood", Tasks: 1 + simulation.Random.IntN(7), Cpus: 2, Run: time.Duration(4+simulation.Random.IntN(16)) * time.Second})
					}
					if s == begins {
						before = simulation.baselineOf("flood")
					}
					if s == begins+30 {
						go x.fault(simulation)
					}
					time.Sleep(time.Second)
				}
				for _, s := range simulation.Served(60 * time.Second) {
					in := float64(s.InTime) / float64(s.Due)
					t.Logf("%v", s)
					if s.Class == "steady" && (s.Part() < 0.97 || in < 0.9) || s.Part() < x.part {
						t.Errorf("%v", s)
					}
				}
				if after := simulation.baselineOf("flood"); before == 0 || after > 1.5*before {
					t.Errorf("usual of the flood %.0f CPUs before, %.0f after", before, after)
				}
				for _, b := range simulation.BrokenRules() {
					t.Error(b)
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
