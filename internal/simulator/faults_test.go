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
	for _, d := range []time.Duration{2, 4, 5, 6, 9, 14, 45} {
		d *= time.Second
		cases := []struct {
			name  string
			setup func(w *Simulation)
			fault func(w *Simulation)
		}{
			{"one after the other", nil, func(w *Simulation) {
				for i := range 3 {
					time.Sleep(5 * time.Second)
					w.Controller(i).Stall(d)
					time.Sleep(d)
				}
			}},
			{"two at once", nil, func(w *Simulation) {
				time.Sleep(6 * time.Second)
				w.Controller(0).Stall(d)
				w.Controller(1).Stall(d)
			}},
			{"during a takeover", nil, func(w *Simulation) {
				time.Sleep(6 * time.Second)
				w.Kill(0)
				time.Sleep(4800 * time.Millisecond)
				w.Controller(1).Stall(d)
				time.Sleep(300 * time.Millisecond)
				w.Controller(2).Stall(d / 2)
				time.Sleep(d)
				w.Start(0)
			}},
			{"between a commit and its launches", func(w *Simulation) { standAfter(w, "/rack/", d) }, nil},
			{"between a machine's record and what follows", func(w *Simulation) { standAfter(w, "/fleet/", d) }, nil},
			{"while shares are given away", func(w *Simulation) { standAfter(w, "/share/", d) }, func(w *Simulation) {
				for i := range 3 {
					time.Sleep(7 * time.Second)
					w.Kill(i)
					time.Sleep(time.Second)
					w.Start(i)
				}
			}},
		}
		for _, c := range cases {
			t.Run(fmt.Sprintf("%v/%s", d, c.name), func(t *testing.T) { playDay(t, 11, c.setup, c.fault, nil) })
		}
	}
}

// heal ends what troubles controllers, machines and the state service.
func heal(w *Simulation) {
	w.Store.SetDown(false)
	for i := range 3 {
		w.Store.Deny(fmt.Sprintf("n%d", i), false)
		if w.Controller(i).ended() {
			w.Start(i)
		} else {
			w.Controller(i).Cut(0)
		}
	}
	for _, m := range w.Machines() {
		w.Set(m, func(m *Machine) {
			m.hanging, m.partitioned, m.deafToController, m.silentToControllers = false, false, false, false
		})
	}
}

// TestFaults overlaps troubles by seed: cuts by direction and neighbour, refusals,
// standstills, deaths, late machines and lagging lists.
func TestFaults(t *testing.T) {
	troubles := []func(w *Simulation, i int){
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
			playDay(t, 100+seed, func(w *Simulation) {
				if seed%2 == 1 {
					w.PeerDelay() // hints must make no difference to the rules
				}
				// Troubles overlap for up to half a minute, and a machine that hangs with what
				// was cancelled can't be emptied before: deployments allow 36 s and more.
				w.Settings.Deployment.Workers.CancelS = 36
				w.CapacityOf = 12
				w.Boot = func() time.Duration {
					switch w.Random.IntN(4) {
					case 0:
						return 0
					case 1:
						return time.Duration(20+w.Random.IntN(40)) * time.Second
					}
					return time.Duration(5+w.Random.IntN(10)) * time.Second
				}
				w.ListLag = func() time.Duration { return time.Duration(w.Random.IntN(10000)) * time.Millisecond }
				w.User(JobSpec{Team: "grey", Tasks: 4, Cpus: 2, Run: 5 * time.Second, Broken: true, CancelAfter: 100 * time.Second})
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
