package simulator

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

var (
	overlappingFaults     = flag.Int("meetings", 24, "worlds of two troubles at once that TestMeetings plays")
	overlappingFaultsFrom = flag.Int("meeting", 0, "the first of them")
)

// faultKind is one side of a meeting. It lasts until the world is healed.
type faultKind struct {
	name   string
	inject func(w *Simulation, h *hooks)
}

// hooks switch what a world holds up on and off, while it plays.
type hooks struct {
	mu                                                                sync.Mutex
	dependencyFailed                                                  []*Job // long jobs that are called off sooner or later
	copies, reports, slow, late, commands, answers, lost, keep, atEnd atomic.Bool
}

// install sets the world's hooks, all off.
func (h *hooks) install(sim *Simulation) {
	some := func(on *atomic.Bool, part float64, least, most time.Duration) time.Duration {
		if !on.Load() || sim.Random.Float64() >= part {
			return 0
		}
		return sim.advanceTo(least, most)
	}
	sim.CopiedHeartbeats = func(string) time.Duration { return some(&h.copies, 0.3, 2*time.Second, 25*time.Second) }
	sim.LateHeartbeats = func(string) time.Duration { return some(&h.reports, 0.1, time.Second, 8*time.Second) }
	sim.Store.Slow = func(string) time.Duration { return some(&h.slow, 0.5, 0, 1500*time.Millisecond) }
	sim.Late = func(string, protocol.Txn) time.Duration { return some(&h.late, 0.15, 2*time.Second, 12*time.Second) }
	sim.LateCommands = func(string, protocol.DirectCommands) time.Duration {
		return some(&h.commands, 0.3, time.Second, 8*time.Second)
	}
	sim.KeptHeartbeats = func(string) bool { return h.keep.Load() && sim.Random.IntN(3) == 0 }
	sim.LostAnswers = func(string, protocol.Txn) bool { return h.lost.Load() && sim.Random.IntN(3) == 0 }
	sim.AtEnd = func(j *Job) {
		if h.atEnd.Load() && sim.Random.IntN(3) == 0 {
			sim.CancelNow(j)
		}
	}
	sim.LateAnswers = func(string) time.Duration { return some(&h.answers, 0.3, time.Second, 4*time.Second) }
}

// advanceTo is a time from a shortest one to below a longest one.
func (w *Simulation) advanceTo(least, most time.Duration) time.Duration {
	return least + time.Duration(w.Random.Float64()*float64(most-least))
}

// aMachine changes some of the machines.
func aMachine(f func(*Machine)) func(*Simulation, *hooks) {
	return func(w *Simulation, _ *hooks) {
		for _, m := range w.Machines() {
			if w.Random.IntN(3) == 0 {
				w.Set(m, f)
			}
		}
	}
}

func theLeader(w *Simulation) int { return max(0, w.Leader()) }

var overlappingFaultKinds = []faultKind{
	{"the leader loses state and peers", func(w *Simulation, _ *hooks) { w.Controller(theLeader(w)).Cut(NoState | NoPeers) }},
	{"another loses state and peers", func(w *Simulation, _ *hooks) { w.Controller((theLeader(w) + 1) % 3).Cut(NoState | NoPeers) }},
	{"old reports", func(_ *Simulation, h *hooks) { h.copies.Store(true) }},
	{"reports held up", func(_ *Simulation, h *hooks) { h.reports.Store(true) }},
	{"the leader ends", func(w *Simulation, _ *hooks) { w.Kill(theLeader(w)) }},
	{"deaf machines", aMachine(DeafMachine(true))},
	{"machines cut off", aMachine(CutOff(true))},
	{"machines that hang", aMachine(HangingMachine(true))},
	{"slow state service", func(_ *Simulation, h *hooks) { h.slow.Store(true) }},
	{"refused alone, then all for long", func(w *Simulation, _ *hooks) {
		w.Store.Deny(w.Controller(theLeader(w)).Name, true)
		time.Sleep(w.advanceTo(100*time.Millisecond, 3*time.Second))
		w.Store.SetDown(true)
		time.Sleep(w.advanceTo(0, 45*time.Second))
	}},
	{"late transactions", func(_ *Simulation, h *hooks) { h.late.Store(true) }},
	{"commands held up", func(_ *Simulation, h *hooks) { h.commands.Store(true) }},
	{"answers held up", func(_ *Simulation, h *hooks) { h.answers.Store(true) }},
	{"all end, back at once", func(w *Simulation, _ *hooks) { w.Again(w.advanceTo(0, time.Second), 0, 1, 2) }},
	{"all end, one is back", func(w *Simulation, _ *hooks) {
		for i := range 3 {
			if !w.Controller(i).ended() {
				w.Kill(i)
			}
		}
		time.Sleep(w.advanceTo(0, time.Second))
		w.Start(w.Random.IntN(3))
	}},
	{"a node flaps", func(w *Simulation, _ *hooks) {
		for range 4 {
			w.Again(w.advanceTo(0, time.Second), w.Random.IntN(3))
			time.Sleep(w.advanceTo(0, 3*time.Second))
		}
	}},
	{"a node stands still", func(w *Simulation, _ *hooks) {
		w.Controller(w.Random.IntN(3)).Stall(w.advanceTo(time.Second, 15*time.Second))
	}},
	{"a zone is cut off", func(w *Simulation, _ *hooks) { w.PartitionZone(w.Settings.Deployment.Zones[w.Random.IntN(3)]) }},
	{"mute machines", aMachine(MuteMachine(true))},
	{"reports kept for the next leader", func(_ *Simulation, h *hooks) { h.keep.Store(true) }},
	{"answers lost at once", func(_ *Simulation, h *hooks) { h.lost.Store(true) }},
	{"called off now, machines hang", func(w *Simulation, h *hooks) { h.callOff(w, true) }},
	{"called off now", func(w *Simulation, h *hooks) { h.callOff(w, false) }},
	{"called off at the end", func(_ *Simulation, h *hooks) { h.atEnd.Store(true) }},
	{"close looks", func(w *Simulation, _ *hooks) { w.SetCloseLooks(true) }},
	{"odd requests", func(w *Simulation, h *hooks) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, j := range h.dependencyFailed {
			go w.OddRequests(j)
		}
	}},
	{"one-task jobs", func(w *Simulation, h *hooks) {
		for i := range 60 {
			x := JobSpec{Team: w.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: 3 * time.Second}
			if i%4 == 1 {
				x.CancelAfter = w.advanceTo(time.Millisecond, 3*time.Second)
			}
			w.User(x)
			time.Sleep(250 * time.Millisecond)
		}
	}},
	{"machines up at once, more work", func(w *Simulation, h *hooks) {
		for i := range 4 {
			h.add(w.User(JobSpec{Team: w.Settings.Deployment.Teams[i].Name, Tasks: 3, Cpus: 6, Run: 20 * time.Minute, CancelAfter: w.advanceTo(15*time.Second, 40*time.Second)}))
		}
	}},
	{"arrays bound to a zone lose machines", func(w *Simulation, h *hooks) {
		j := w.User(JobSpec{Team: "green", Tasks: 5, Cpus: 4, Run: 20 * time.Second, Zone: "b"})
		time.Sleep(7 * time.Second)
		for _, m := range w.Machines() {
			if m.Zone == "b" && w.Random.IntN(2) == 0 {
				w.Die(m)
			}
		}
		_ = j
	}},
	{"leaders end one after the other", func(w *Simulation, _ *hooks) {
		for range 4 {
			w.Again(w.advanceTo(0, 2*time.Second), theLeader(w))
			time.Sleep(3 * time.Second)
		}
	}},
}

// add notes a job that is called off.
func (h *hooks) add(j *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dependencyFailed = append(h.dependencyFailed, j)
}

// cancelJob has the users of all jobs that run for long cancel them now, and up to eight of their machines hang.
func (h *hooks) callOff(w *Simulation, hang bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, j := range h.dependencyFailed {
		w.CancelNow(j)
		for _, m := range w.machinesOf(j) {
			if n++; hang && n <= 8 {
				w.Set(m, HangingMachine(true))
			}
		}
	}
}

// faultPairs are all ordered pairs of two troubles, in an order in which few worlds in a row have much of everything.
func faultPairs() (out [][2]faultKind) {
	n := len(overlappingFaultKinds)
	for d := 1; d < n; d++ {
		for i := range n {
			out = append(out, [2]faultKind{overlappingFaultKinds[i], overlappingFaultKinds[(i+d*7)%n]})
		}
	}
	return out
}

// healAll ends every trouble.
func healAll(w *Simulation, h *hooks) {
	for _, on := range []*atomic.Bool{&h.copies, &h.reports, &h.slow, &h.late, &h.commands, &h.answers, &h.lost, &h.keep, &h.atEnd} {
		on.Store(false)
	}
	w.PartitionZone("")
	w.SetCloseLooks(false)
	heal(w)
}

// TestOverlappingFaults overlaps troubles two and two, each pair in its turn, over a load with long tasks, jobs whose tasks end far
// apart, and many cancellations. More of them:
//
//	go test ./internal/simulator -timeout 2h -run TestOverlappingFaults -meetings 1000
func TestOverlappingFaults(t *testing.T) {
	var copies, next, looks, lost, done, refused, kills, cancelled atomic.Int32
	all := faultPairs()
	for seed := *overlappingFaultsFrom; seed < *overlappingFaultsFrom+*overlappingFaults; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulatorHooks := &hooks{}
			playDay(t, 7000+uint64(seed), func(w *Simulation) {
				w.Settings.Deployment.Workers.CancelS = 36
				w.CapacityOf = 16
				if seed%3 == 0 {
					w.Boot = func() time.Duration { return w.advanceTo(300*time.Millisecond, 2*time.Second) }
				}
				simulatorHooks.install(w)
				w.PeerDelay()
			}, func(sim *Simulation) {
				var far []*Job
				for k := range 3 {
					far = append(far, sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1, Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
				}
				for round := range 3 {
					met := all[(3*seed+round)%len(all)]
					faultKind, simulatorFaultKind := met[0], met[1]
					t.Logf("%v: %s, %s", time.Since(sim.StartTime), faultKind.name, simulatorFaultKind.name)
					for range 4 {
						simulatorHooks.add(sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[sim.Random.IntN(4)].Name, Tasks: 2, Cpus: 1, Run: 20 * time.Minute,
							CancelAfter: sim.advanceTo(time.Second, 25*time.Second)}))
					}
					time.Sleep(sim.advanceTo(3*time.Second, 9*time.Second))
					faultKind.inject(sim, simulatorHooks)
					time.Sleep(sim.advanceTo(0, 6*time.Second))
					simulatorFaultKind.inject(sim, simulatorHooks)
					time.Sleep(sim.advanceTo(time.Second, 20*time.Second))
					healAll(sim, simulatorHooks)
					if round == 2 {
						sim.watchWaitingBesideCapacity(t, 95*time.Second)
						for _, j := range sim.Unanswered(time.Now().Add(-75 * time.Second)) {
							t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
						}
						sim.awaitAll(t, append(far, simulatorHooks.dependencyFailed...), 200)
					}
				}
			}, func(simulation *Simulation) {
				copies.Add(simulation.Copies.Load())
				done.Add(simulation.LateDone.Load())
				refused.Add(simulation.LateDenied.Load())
				kills.Add(simulation.KillCount.Load())
				next.Add(simulation.CopiesToNext.Load())
				looks.Add(simulation.Looks.Load())
				for _, n := range simulation.AnswersLost {
					lost.Add(int32(n))
				}
				for _, j := range simulatorHooks.dependencyFailed {
					if simulation.Told(j) == protocol.Cancelled {
						cancelled.Add(1)
					}
				}
			})
		})
	}
	t.Logf("%d of %d pairs; %d copies of reports, %d for the next leader, %d close looks, %d answers lost at once, %d transactions applied late and %d refused late, %d ends of nodes, %d cancellations",
		min(3**overlappingFaults, len(all)), len(all), copies.Load(), next.Load(), looks.Load(), lost.Load(), done.Load(), refused.Load(), kills.Load(), cancelled.Load())
	if *overlappingFaults < 24 {
		return
	}
	for what, n := range map[string]int32{"copies": copies.Load(), "copies for the next leader": next.Load(), "close looks": looks.Load(), "answers lost": lost.Load(),
		"late transactions": done.Load() + refused.Load(), "ends of nodes": kills.Load(), "cancellations": cancelled.Load()} {
		if n == 0 {
			t.Errorf("no %s came about: the worlds prove nothing", what)
		}
	}
}
