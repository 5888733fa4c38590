package simulator

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// standAfter lets a controller stand still the moment that such a transaction of its own was
// applied, before it learns of that, a few times in all.
func standAfter(w *Simulation, key string, d time.Duration) *atomic.Int32 {
	var n atomic.Int32
	w.After = func(i int, x protocol.Txn) {
		for _, c := range x.Then {
			if strings.Contains(c.Put, key) && time.Since(w.StartTime) > 4*time.Second && n.Add(1) <= 4 {
				w.KillCount.Add(1)
				w.Controller(i).Stall(d)
				return
			}
		}
	}
	return &n
}

// TestStalls: a controller stands still while its clocks run on, and goes on as if
// nothing had happened: shorter than its hold, about as long, and far longer.
func TestStalls(t *testing.T) {
	for _, duration := range []time.Duration{2, 4, 5, 6, 9, 14, 45} {
		duration *= time.Second
		cases := []struct {
			name  string
			setup func(sim *Simulation)
			fault func(simulation *Simulation)
		}{
			{"one after the other", nil, func(w *Simulation) {
				for i := range 3 {
					time.Sleep(5 * time.Second)
					w.Controller(i).Stall(duration)
					time.Sleep(duration)
				}
			}},
			{"two at once", nil, func(w *Simulation) {
				time.Sleep(6 * time.Second)
				w.Controller(0).Stall(duration)
				w.Controller(1).Stall(duration)
			}},
			{"during a takeover", nil, func(w *Simulation) {
				time.Sleep(6 * time.Second)
				w.Kill(0)
				time.Sleep(4800 * time.Millisecond)
				w.Controller(1).Stall(duration)
				time.Sleep(300 * time.Millisecond)
				w.Controller(2).Stall(duration / 2)
				time.Sleep(duration)
				w.Start(0)
			}},
			{"between a commit and its launches", func(w *Simulation) { standAfter(w, "/rack/", duration) }, nil},
			{"between a machine's record and what follows", func(w *Simulation) { standAfter(w, "/fleet/", duration) }, nil},
			{"while shares are given away", func(w *Simulation) { standAfter(w, "/share/", duration) }, func(w *Simulation) {
				for i := range 3 {
					time.Sleep(7 * time.Second)
					w.Kill(i)
					time.Sleep(time.Second)
					w.Start(i)
				}
			}},
		}
		for _, c := range cases {
			t.Run(fmt.Sprintf("%v/%s", duration, c.name), func(t *testing.T) { playDay(t, 11, c.setup, c.fault, nil) })
		}
	}
}

// heal ends what troubles controllers, machines and the state service.
func heal(sim *Simulation) {
	sim.Store.SetDown(false)
	for i := range 3 {
		sim.Store.Deny(fmt.Sprintf("n%d", i), false)
		if sim.Controller(i).ended() {
			sim.Start(i)
		} else {
			sim.Controller(i).Cut(0)
		}
	}
	for _, m := range sim.Machines() {
		sim.Set(m, func(m *Machine) {
			m.hanging, m.partitioned, m.deafToController, m.silentToControllers = false, false, false, false
		})
	}
}

// TestFaults overlaps troubles by seed: cuts by direction and neighbour, refusals,
// standstills, deaths, late machines and lagging lists.
func TestFaults(t *testing.T) {
	troubles := []func(sim *Simulation, i int){
		func(w *Simulation, i int) { w.Controller(i).Cut(AllCut) },
		func(w *Simulation, i int) { w.Controller(i).Cut(NoState) },
		func(w *Simulation, i int) { w.Controller(i).Cut(NoWorkers) },
		func(w *Simulation, i int) { w.Controller(i).Cut(NoUsers | NoWorkers) },
		func(w *Simulation, i int) { w.Controller(i).Cut(NoAnswers) },
		func(w *Simulation, i int) { w.Controller(i).Cut(NoCloud) },
		func(w *Simulation, i int) { w.Store.Deny(fmt.Sprintf("n%d", i), true) },
		func(w *Simulation, i int) {
			w.Controller(i).Stall(time.Duration(1000+w.Random.IntN(14000)) * time.Millisecond)
		},
		func(w *Simulation, i int) { w.Kill(i) },
		func(w *Simulation, _ int) { w.Store.SetDown(true) },
		func(w *Simulation, _ int) {
			if ms := w.Machines(); len(ms) > 2 {
				w.Set(ms[w.Random.IntN(len(ms))], HangingMachine(true))
			}
		},
		func(w *Simulation, _ int) {
			if ms := w.Machines(); len(ms) > 2 {
				w.Set(ms[w.Random.IntN(len(ms))], CutOff(true))
			}
		},
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, 100+seed, func(simulation *Simulation) {
				if seed%2 == 1 {
					simulation.PeerDelay() // hints must make no difference to the rules
				}
				// Troubles overlap for up to half a minute, and a machine that hangs with what
				// was cancelled can't be emptied before: deployments allow 36 s and more.
				simulation.Settings.Deployment.Workers.CancelS = 36
				simulation.CapacityOf = 12
				simulation.Boot = func() time.Duration {
					switch simulation.Random.IntN(4) {
					case 0:
						return 0
					case 1:
						return time.Duration(20+simulation.Random.IntN(40)) * time.Second
					}
					return time.Duration(5+simulation.Random.IntN(10)) * time.Second
				}
				simulation.ListLag = func() time.Duration { return time.Duration(simulation.Random.IntN(10000)) * time.Millisecond }
				simulation.User(JobSpec{Team: "grey", Tasks: 4, Cpus: 2, Run: 5 * time.Second, Broken: true, CancelAfter: 100 * time.Second})
			}, func(w *Simulation) {
				for range 5 {
					time.Sleep(time.Duration(1000+w.Random.IntN(5000)) * time.Millisecond)
					for range 1 + w.Random.IntN(3) {
						troubles[w.Random.IntN(len(troubles))](w, w.Random.IntN(3))
						time.Sleep(time.Duration(w.Random.IntN(4000)) * time.Millisecond)
					}
					time.Sleep(time.Duration(1000+w.Random.IntN(12000)) * time.Millisecond)
					heal(w)
				}
			}, nil)
		})
	}
}

// An owner fell silent in an outage of the state service. Nobody could take over, the
// other controllers sent its workers back to it, and 1460 tasks were killed by their leases.
func TestLeasesOutliveASilentOwnerInAnOutage(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			playDay(t, 7, func(w *Simulation) { w.Settings.Deployment.Workers.CancelS = 36 }, func(w *Simulation) {
				time.Sleep(8 * time.Second)
				w.Store.SetDown(true)
				time.Sleep(3 * time.Second)
				if w.LeaseKills > 0 {
					t.Error("tasks were killed before the owner fell silent: the case proves nothing")
				}
				w.Controller(i).Stall(20 * time.Second)
				time.Sleep(20 * time.Second)
				w.Store.SetDown(false)
			}, func(w *Simulation) {
				if w.LeaseKills > 0 {
					t.Errorf("%d tasks were killed by their leases", w.LeaseKills)
				}
			})
		})
	}
}
