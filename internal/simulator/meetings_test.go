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
	meetings    = flag.Int("meetings", 24, "worlds of two troubles at once that TestMeetings plays")
	meetingFrom = flag.Int("meeting", 0, "the first of them")
)

// trouble is one side of a meeting. It lasts until the world is healed.
type trouble struct {
	name string
	do   func(w *World, h *hooks)
}

// hooks switch what a world holds up on and off, while it plays.
type hooks struct {
	mu                                                                sync.Mutex
	doomed                                                            []*Job // long jobs that are called off sooner or later
	copies, reports, slow, late, commands, answers, lost, keep, atEnd atomic.Bool
}

// install sets the world's hooks, all off.
func (h *hooks) install(w *World) {
	some := func(on *atomic.Bool, part float64, least, most time.Duration) time.Duration {
		if !on.Load() || w.Rand.Float64() >= part {
			return 0
		}
		return w.upTo(least, most)
	}
	w.CopiedReports = func(string) time.Duration { return some(&h.copies, 0.3, 2*time.Second, 25*time.Second) }
	w.LateReports = func(string) time.Duration { return some(&h.reports, 0.1, time.Second, 8*time.Second) }
	w.Store.Slow = func(string) time.Duration { return some(&h.slow, 0.5, 0, 1500*time.Millisecond) }
	w.Late = func(string, protocol.Txn) time.Duration { return some(&h.late, 0.15, 2*time.Second, 12*time.Second) }
	w.LateCommands = func(string, protocol.DirectCommands) time.Duration {
		return some(&h.commands, 0.3, time.Second, 8*time.Second)
	}
	w.KeptReports = func(string) bool { return h.keep.Load() && w.Rand.IntN(3) == 0 }
	w.LostAnswers = func(string, protocol.Txn) bool { return h.lost.Load() && w.Rand.IntN(3) == 0 }
	w.AtEnd = func(j *Job) {
		if h.atEnd.Load() && w.Rand.IntN(3) == 0 {
			w.CallOff(j)
		}
	}
	w.LateAnswers = func(string) time.Duration { return some(&h.answers, 0.3, time.Second, 4*time.Second) }
}

// upTo is a time from a shortest one to below a longest one.
func (w *World) upTo(least, most time.Duration) time.Duration {
	return least + time.Duration(w.Rand.Float64()*float64(most-least))
}

// aMachine changes some of the machines.
func aMachine(f func(*Machine)) func(*World, *hooks) {
	return func(w *World, _ *hooks) {
		for _, m := range w.Machines() {
			if w.Rand.IntN(3) == 0 {
				w.Set(m, f)
			}
		}
	}
}

func theLeader(w *World) int { return max(0, w.Leader()) }

var meetingTroubles = []trouble{
	{"the leader loses state and peers", func(w *World, _ *hooks) { w.Node(theLeader(w)).Cut(NoState | NoPeers) }},
	{"another loses state and peers", func(w *World, _ *hooks) { w.Node((theLeader(w) + 1) % 3).Cut(NoState | NoPeers) }},
	{"old reports", func(_ *World, h *hooks) { h.copies.Store(true) }},
	{"reports held up", func(_ *World, h *hooks) { h.reports.Store(true) }},
	{"the leader ends", func(w *World, _ *hooks) { w.Kill(theLeader(w)) }},
	{"deaf machines", aMachine(Deaf(true))},
	{"machines cut off", aMachine(CutOff(true))},
	{"machines that hang", aMachine(Hang(true))},
	{"slow state service", func(_ *World, h *hooks) { h.slow.Store(true) }},
	{"refused alone, then all for long", func(w *World, _ *hooks) {
		w.Store.Refuse(w.Node(theLeader(w)).Name, true)
		time.Sleep(w.upTo(100*time.Millisecond, 3*time.Second))
		w.Store.SetDown(true)
		time.Sleep(w.upTo(0, 45*time.Second))
	}},
	{"late transactions", func(_ *World, h *hooks) { h.late.Store(true) }},
	{"commands held up", func(_ *World, h *hooks) { h.commands.Store(true) }},
	{"answers held up", func(_ *World, h *hooks) { h.answers.Store(true) }},
	{"all end, back at once", func(w *World, _ *hooks) { w.Again(w.upTo(0, time.Second), 0, 1, 2) }},
	{"all end, one is back", func(w *World, _ *hooks) {
		for i := range 3 {
			if !w.Node(i).dead() {
				w.Kill(i)
			}
		}
		time.Sleep(w.upTo(0, time.Second))
		w.Start(w.Rand.IntN(3))
	}},
	{"a node flaps", func(w *World, _ *hooks) {
		for range 4 {
			w.Again(w.upTo(0, time.Second), w.Rand.IntN(3))
			time.Sleep(w.upTo(0, 3*time.Second))
		}
	}},
	{"a node stands still", func(w *World, _ *hooks) { w.Node(w.Rand.IntN(3)).StandStill(w.upTo(time.Second, 15*time.Second)) }},
	{"a zone is cut off", func(w *World, _ *hooks) { w.CutZone(w.Cfg.Deployment.Zones[w.Rand.IntN(3)]) }},
	{"mute machines", aMachine(Mute(true))},
	{"reports kept for the next leader", func(_ *World, h *hooks) { h.keep.Store(true) }},
	{"answers lost at once", func(_ *World, h *hooks) { h.lost.Store(true) }},
	{"called off now, machines hang", func(w *World, h *hooks) { h.callOff(w, true) }},
	{"called off now", func(w *World, h *hooks) { h.callOff(w, false) }},
	{"called off at the end", func(_ *World, h *hooks) { h.atEnd.Store(true) }},
	{"close looks", func(w *World, _ *hooks) { w.SetCloseLooks(true) }},
	{"odd requests", func(w *World, h *hooks) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, j := range h.doomed {
			go w.OddRequests(j)
		}
	}},
	{"one-task jobs", func(w *World, h *hooks) {
		for i := range 60 {
			x := Want{Team: w.Cfg.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: 3 * time.Second}
			if i%4 == 1 {
				x.CancelAfter = w.upTo(time.Millisecond, 3*time.Second)
			}
			w.User(x)
			time.Sleep(250 * time.Millisecond)
		}
	}},
	{"machines up at once, more work", func(w *World, h *hooks) {
		for i := range 4 {
			h.add(w.User(Want{Team: w.Cfg.Deployment.Teams[i].Name, Tasks: 3, Cpus: 6, Run: 20 * time.Minute, CancelAfter: w.upTo(15*time.Second, 40*time.Second)}))
		}
	}},
	{"arrays bound to a zone lose machines", func(w *World, h *hooks) {
		j := w.User(Want{Team: "green", Tasks: 5, Cpus: 4, Run: 20 * time.Second, Zone: "b"})
		time.Sleep(7 * time.Second)
		for _, m := range w.Machines() {
			if m.Zone == "b" && w.Rand.IntN(2) == 0 {
				w.Die(m)
			}
		}
		_ = j
	}},
	{"leaders end one after the other", func(w *World, _ *hooks) {
		for range 4 {
			w.Again(w.upTo(0, 2*time.Second), theLeader(w))
			time.Sleep(3 * time.Second)
		}
	}},
}

// add notes a job that is called off.
func (h *hooks) add(j *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.doomed = append(h.doomed, j)
}

// callOff has the users of all jobs that run for long cancel them now, and up to eight of their machines hang.
func (h *hooks) callOff(w *World, hang bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, j := range h.doomed {
		w.CallOff(j)
		for _, m := range w.machinesOf(j) {
			if n++; hang && n <= 8 {
				w.Set(m, Hang(true))
			}
		}
	}
}

// pairs are all ordered pairs of two troubles, in an order in which few worlds in a row have much of everything.
func pairs() (out [][2]trouble) {
	n := len(meetingTroubles)
	for d := 1; d < n; d++ {
		for i := range n {
			out = append(out, [2]trouble{meetingTroubles[i], meetingTroubles[(i+d*7)%n]})
		}
	}
	return out
}

// healAll ends every trouble.
func healAll(w *World, h *hooks) {
	for _, on := range []*atomic.Bool{&h.copies, &h.reports, &h.slow, &h.late, &h.commands, &h.answers, &h.lost, &h.keep, &h.atEnd} {
		on.Store(false)
	}
	w.CutZone("")
	w.SetCloseLooks(false)
	heal(w)
}

// TestMeetings overlaps troubles two and two, each pair in its turn, over a load with long tasks, jobs whose tasks end far
// apart, and many cancellations. More of them:
//
//	go test ./internal/simulator -timeout 2h -run TestMeetings -meetings 1000
func TestMeetings(t *testing.T) {
	var copies, next, looks, lost, done, refused, kills, cancelled atomic.Int32
	all := pairs()
	for seed := *meetingFrom; seed < *meetingFrom+*meetings; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &hooks{}
			playDay(t, 7000+uint64(seed), func(w *World) {
				w.Cfg.Deployment.Workers.CancelS = 36
				w.Cap = 16
				if seed%3 == 0 {
					w.Boot = func() time.Duration { return w.upTo(300*time.Millisecond, 2*time.Second) }
				}
				h.install(w)
				w.Talk()
			}, func(w *World) {
				var far []*Job
				for k := range 3 {
					far = append(far, w.User(Want{Team: w.Cfg.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1, Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
				}
				for round := range 3 {
					met := all[(3*seed+round)%len(all)]
					a, b := met[0], met[1]
					t.Logf("%v: %s, %s", time.Since(w.T0), a.name, b.name)
					for range 4 {
						h.add(w.User(Want{Team: w.Cfg.Deployment.Teams[w.Rand.IntN(4)].Name, Tasks: 2, Cpus: 1, Run: 20 * time.Minute,
							CancelAfter: w.upTo(time.Second, 25*time.Second)}))
					}
					time.Sleep(w.upTo(3*time.Second, 9*time.Second))
					a.do(w, h)
					time.Sleep(w.upTo(0, 6*time.Second))
					b.do(w, h)
					time.Sleep(w.upTo(time.Second, 20*time.Second))
					healAll(w, h)
					if round == 2 {
						w.watchBeside(t, 95*time.Second)
						for _, j := range w.Unanswered(time.Now().Add(-75 * time.Second)) {
							t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
						}
						w.awaitAll(t, append(far, h.doomed...), 200)
					}
				}
			}, func(w *World) {
				copies.Add(w.Copies.Load())
				done.Add(w.LateDone.Load())
				refused.Add(w.LateRefused.Load())
				kills.Add(w.Kills.Load())
				next.Add(w.CopiesToNext.Load())
				looks.Add(w.Looks.Load())
				for _, n := range w.AnswersLost {
					lost.Add(int32(n))
				}
				for _, j := range h.doomed {
					if w.Told(j) == protocol.Cancelled {
						cancelled.Add(1)
					}
				}
			})
		})
	}
	t.Logf("%d of %d pairs; %d copies of reports, %d for the next leader, %d close looks, %d answers lost at once, %d transactions applied late and %d refused late, %d ends of nodes, %d cancellations",
		min(3**meetings, len(all)), len(all), copies.Load(), next.Load(), looks.Load(), lost.Load(), done.Load(), refused.Load(), kills.Load(), cancelled.Load())
	if *meetings < 24 {
		return
	}
	for what, n := range map[string]int32{"copies": copies.Load(), "copies for the next leader": next.Load(), "close looks": looks.Load(), "answers lost": lost.Load(),
		"late transactions": done.Load() + refused.Load(), "ends of nodes": kills.Load(), "cancellations": cancelled.Load()} {
		if n == 0 {
			t.Errorf("no %s came about: the worlds prove nothing", what)
		}
	}
}
