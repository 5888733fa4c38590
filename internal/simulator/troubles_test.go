package simulator

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// standAfter lets a node stand still the moment that such a transaction of its own was
// applied, before it learns of that, a few times in all.
func standAfter(w *World, key string, d time.Duration) *atomic.Int32 {
	var n atomic.Int32
	w.After = func(i int, x protocol.Txn) {
		for _, c := range x.Then {
			if strings.Contains(c.Put, key) && time.Since(w.T0) > 4*time.Second && n.Add(1) <= 4 {
				w.Kills.Add(1)
				w.Node(i).StandStill(d)
				return
			}
		}
	}
	return &n
}

// TestStandstills: a node stands still while its clocks run on, and goes on as if
// nothing had happened: shorter than its hold, about as long, and far longer.
func TestStandstills(t *testing.T) {
	for _, d := range []time.Duration{2, 4, 5, 6, 9, 14, 45} {
		d *= time.Second
		cases := []struct {
			name  string
			setup func(w *World)
			fault func(w *World)
		}{
			{"one after the other", nil, func(w *World) {
				for i := range 3 {
					time.Sleep(5 * time.Second)
					w.Node(i).StandStill(d)
					time.Sleep(d)
				}
			}},
			{"two at once", nil, func(w *World) {
				time.Sleep(6 * time.Second)
				w.Node(0).StandStill(d)
				w.Node(1).StandStill(d)
			}},
			{"during a takeover", nil, func(w *World) {
				time.Sleep(6 * time.Second)
				w.Kill(0)
				time.Sleep(4800 * time.Millisecond)
				w.Node(1).StandStill(d)
				time.Sleep(300 * time.Millisecond)
				w.Node(2).StandStill(d / 2)
				time.Sleep(d)
				w.Start(0)
			}},
			{"between a commit and its launches", func(w *World) { standAfter(w, "/rack/", d) }, nil},
			{"between a machine's record and what follows", func(w *World) { standAfter(w, "/fleet/", d) }, nil},
			{"while shares are given away", func(w *World) { standAfter(w, "/share/", d) }, func(w *World) {
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

// heal ends what troubles nodes, machines and the state service.
func heal(w *World) {
	w.Store.SetDown(false)
	for i := range 3 {
		w.Store.Refuse(fmt.Sprintf("n%d", i), false)
		if w.Node(i).dead() {
			w.Start(i)
		} else {
			w.Node(i).Cut(0)
		}
	}
	for _, m := range w.Machines() {
		w.Set(m, func(m *Machine) { m.hang, m.cut, m.deaf, m.mute = false, false, false, false })
	}
}

// TestTroubles overlaps troubles by seed: cuts by direction and neighbour, refusals,
// standstills, deaths, late machines and lagging lists.
func TestTroubles(t *testing.T) {
	troubles := []func(w *World, i int){
		func(w *World, i int) { w.Node(i).Cut(AllCut) },
		func(w *World, i int) { w.Node(i).Cut(NoState) },
		func(w *World, i int) { w.Node(i).Cut(NoWorkers) },
		func(w *World, i int) { w.Node(i).Cut(NoUsers | NoWorkers) },
		func(w *World, i int) { w.Node(i).Cut(NoAnswers) },
		func(w *World, i int) { w.Node(i).Cut(NoCloud) },
		func(w *World, i int) { w.Store.Refuse(fmt.Sprintf("n%d", i), true) },
		func(w *World, i int) { w.Node(i).StandStill(time.Duration(1000+w.Rand.IntN(14000)) * time.Millisecond) },
		func(w *World, i int) { w.Kill(i) },
		func(w *World, _ int) { w.Store.SetDown(true) },
		func(w *World, _ int) {
			if ms := w.Machines(); len(ms) > 2 {
				w.Set(ms[w.Rand.IntN(len(ms))], Hang(true))
			}
		},
		func(w *World, _ int) {
			if ms := w.Machines(); len(ms) > 2 {
				w.Set(ms[w.Rand.IntN(len(ms))], CutOff(true))
			}
		},
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playDay(t, 100+seed, func(w *World) {
				if seed%2 == 1 {
					w.Talk() // hints must make no difference to the rules
				}
				// Troubles overlap for up to half a minute, and a machine that hangs with what
				// was cancelled can't be emptied before: deployments allow 36 s and more.
				w.Cfg.Deployment.Workers.CancelS = 36
				w.Cap = 12
				w.Boot = func() time.Duration {
					switch w.Rand.IntN(4) {
					case 0:
						return 0
					case 1:
						return time.Duration(20+w.Rand.IntN(40)) * time.Second
					}
					return time.Duration(5+w.Rand.IntN(10)) * time.Second
				}
				w.ListLag = func() time.Duration { return time.Duration(w.Rand.IntN(10000)) * time.Millisecond }
				w.User(Want{Team: "grey", Tasks: 4, Cpus: 2, Run: 5 * time.Second, Broken: true, CancelAfter: 100 * time.Second})
			}, func(w *World) {
				for range 5 {
					time.Sleep(time.Duration(1000+w.Rand.IntN(5000)) * time.Millisecond)
					for range 1 + w.Rand.IntN(3) {
						troubles[w.Rand.IntN(len(troubles))](w, w.Rand.IntN(3))
						time.Sleep(time.Duration(w.Rand.IntN(4000)) * time.Millisecond)
					}
					time.Sleep(time.Duration(1000+w.Rand.IntN(12000)) * time.Millisecond)
					heal(w)
				}
			}, nil)
		})
	}
}

// An owner fell silent in an outage of the state service. Nobody could take over, the
// other nodes sent its workers back to it, and 1460 tasks were killed by their leases.
func TestLeasesOutliveASilentOwnerInAnOutage(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			playDay(t, 7, func(w *World) { w.Cfg.Deployment.Workers.CancelS = 36 }, func(w *World) {
				time.Sleep(8 * time.Second)
				w.Store.SetDown(true)
				time.Sleep(3 * time.Second)
				if w.LeaseKills > 0 {
					t.Error("tasks were killed before the owner fell silent: the case proves nothing")
				}
				w.Node(i).StandStill(20 * time.Second)
				time.Sleep(20 * time.Second)
				w.Store.SetDown(false)
			}, func(w *World) {
				if w.LeaseKills > 0 {
					t.Errorf("%d tasks were killed by their leases", w.LeaseKills)
				}
			})
		})
	}
}
