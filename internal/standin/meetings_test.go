package standin

import (
	"flag"
	"fmt"
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
	copies, reports, slow, late, commands, answers atomic.Bool
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
}

// healAll ends every trouble.
func healAll(w *World, h *hooks) {
	for _, on := range []*atomic.Bool{&h.copies, &h.reports, &h.slow, &h.late, &h.commands, &h.answers} {
		on.Store(false)
	}
	w.CutZone("")
	heal(w)
}

// TestMeetings overlaps troubles two and two, drawn by seed, over a load with long tasks, jobs whose tasks end far
// apart, and many cancellations. More of them:
//
//	go test ./internal/standin -timeout 2h -run TestMeetings -meetings 1000
func TestMeetings(t *testing.T) {
	var copies, done, refused, kills, cancelled atomic.Int32
	for seed := *meetingFrom; seed < *meetingFrom+*meetings; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var doomed []*Job
			h := &hooks{}
			playDay(t, 7000+uint64(seed), func(w *World) {
				w.Cfg.Deployment.Workers.CancelS = 36
				w.Cap = 16
				h.install(w)
				w.Talk()
			}, func(w *World) {
				var far []*Job
				for k := range 3 {
					far = append(far, w.User(Want{Team: w.Cfg.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1, Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
				}
				for round := range 3 {
					a := meetingTroubles[w.Rand.IntN(len(meetingTroubles))]
					b := meetingTroubles[w.Rand.IntN(len(meetingTroubles))]
					t.Logf("%v: %s, %s", time.Since(w.T0), a.name, b.name)
					for range 4 {
						doomed = append(doomed, w.User(Want{Team: w.Cfg.Deployment.Teams[w.Rand.IntN(4)].Name, Tasks: 2, Cpus: 1, Run: 20 * time.Minute,
							CancelAfter: w.upTo(time.Second, 25*time.Second)}))
					}
					time.Sleep(w.upTo(3*time.Second, 9*time.Second))
					a.do(w, h)
					time.Sleep(w.upTo(0, 6*time.Second))
					b.do(w, h)
					time.Sleep(w.upTo(time.Second, 20*time.Second))
					healAll(w, h)
					if round == 2 {
						time.Sleep(75 * time.Second)
						for _, j := range w.Unanswered(time.Now().Add(-75 * time.Second)) {
							t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
						}
						w.awaitAll(t, append(far, doomed...), 200)
					}
				}
			}, func(w *World) {
				copies.Add(w.Copies.Load())
				done.Add(w.LateDone.Load())
				refused.Add(w.LateRefused.Load())
				kills.Add(w.Kills.Load())
				for _, j := range doomed {
					if w.Told(j) == protocol.Cancelled {
						cancelled.Add(1)
					}
				}
			})
		})
	}
	t.Logf("%d copies of reports, %d transactions applied late and %d refused late, %d ends of nodes, %d cancellations",
		copies.Load(), done.Load(), refused.Load(), kills.Load(), cancelled.Load())
	if *meetings >= 24 && (copies.Load() == 0 || done.Load()+refused.Load() == 0 || kills.Load() == 0 || cancelled.Load() == 0) {
		t.Error("some troubles never came about: the worlds prove nothing")
	}
}
