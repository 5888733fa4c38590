package simulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

var (
	overlappingPairs     = flag.Int("pairs", 24, "simulations of two faults at once that TestOverlappingFaults runs")
	firstOverlappingPair = flag.Int("from", 0, "the first of them")
)

// faultKind is one of two overlapping faults. It lasts until healAll.
type faultKind struct {
	name   string
	inject func(sim *Simulation, h *hooks)
}

// someMachines changes some of the machines.
func someMachines(f func(*Machine)) func(*Simulation, *hooks) {
	return func(sim *Simulation, _ *hooks) {
		for _, m := range sim.Machines() {
			if sim.Random.IntN(3) == 0 {
				sim.Set(m, f)
			}
		}
	}
}

func theLeader(sim *Simulation) int { return max(0, sim.Leader()) }

var overlappingFaultKinds = []faultKind{
	{"the leader loses state and peers", func(sim *Simulation, _ *hooks) { sim.Controller(theLeader(sim)).Cut(NoState | NoPeers) }},
	{"another loses state and peers", func(sim *Simulation, _ *hooks) { sim.Controller((theLeader(sim) + 1) % 3).Cut(NoState | NoPeers) }},
	{"old heartbeats", func(_ *Simulation, h *hooks) { h.copies.Store(true) }},
	{"heartbeats delayed", func(_ *Simulation, h *hooks) { h.heartbeats.Store(true) }},
	{"the leader ends", func(sim *Simulation, _ *hooks) { sim.Kill(theLeader(sim)) }},
	{"deaf machines", someMachines(DeafMachine(true))},
	{"machines partitioned", someMachines(CutOff(true))},
	{"machines that hang", someMachines(HangingMachine(true))},
	{"slow state service", func(_ *Simulation, h *hooks) { h.slow.Store(true) }},
	{"refused alone, then all for long", func(sim *Simulation, _ *hooks) {
		sim.Store.Deny(sim.Controller(theLeader(sim)).Name, true)
		time.Sleep(sim.randomDuration(100*time.Millisecond, 3*time.Second))
		sim.Store.SetDown(true)
		time.Sleep(sim.randomDuration(0, 45*time.Second))
	}},
	{"late transactions", func(_ *Simulation, h *hooks) { h.late.Store(true) }},
	{"commands delayed", func(_ *Simulation, h *hooks) { h.commands.Store(true) }},
	{"answers delayed", func(_ *Simulation, h *hooks) { h.answers.Store(true) }},
	{"all end, back at once", func(sim *Simulation, _ *hooks) { sim.Again(sim.randomDuration(0, time.Second), 0, 1, 2) }},
	{"all end, one is back", func(sim *Simulation, _ *hooks) {
		for i := range 3 {
			if !sim.Controller(i).ended() {
				sim.Kill(i)
			}
		}
		time.Sleep(sim.randomDuration(0, time.Second))
		sim.Start(sim.Random.IntN(3))
	}},
	{"a controller flaps", func(sim *Simulation, _ *hooks) {
		for range 4 {
			sim.Again(sim.randomDuration(0, time.Second), sim.Random.IntN(3))
			time.Sleep(sim.randomDuration(0, 3*time.Second))
		}
	}},
	{"a controller stalls", func(sim *Simulation, _ *hooks) {
		sim.Controller(sim.Random.IntN(3)).Stall(sim.randomDuration(time.Second, 15*time.Second))
	}},
	{"a zone is partitioned", func(sim *Simulation, _ *hooks) { sim.PartitionZone(sim.Settings.Deployment.Zones[sim.Random.IntN(3)]) }},
	{"mute machines", someMachines(MuteMachine(true))},
	{"heartbeats kept for the next leader", func(_ *Simulation, h *hooks) { h.keep.Store(true) }},
	{"answers lost at once", func(_ *Simulation, h *hooks) { h.lost.Store(true) }},
	{"cancelled now, machines hang", func(sim *Simulation, h *hooks) { h.cancelAll(sim, true) }},
	{"cancelled now", func(sim *Simulation, h *hooks) { h.cancelAll(sim, false) }},
	{"cancelled at the end", func(_ *Simulation, h *hooks) { h.atEnd.Store(true) }},
	{"close looks", func(sim *Simulation, _ *hooks) { sim.SetCloseLooks(true) }},
	{"odd requests", func(sim *Simulation, h *hooks) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, j := range h.cancelled {
			go sim.OddRequests(j)
		}
	}},
	{"one-task jobs", func(sim *Simulation, _ *hooks) {
		for i := range 60 {
			want := JobSpec{Team: sim.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: 3 * time.Second}
			if i%4 == 1 {
				want.CancelAfter = sim.randomDuration(time.Millisecond, 3*time.Second)
			}
			sim.User(want)
			time.Sleep(250 * time.Millisecond)
		}
	}},
	{"machines up at once, more work", func(sim *Simulation, h *hooks) {
		for i := range 4 {
			h.add(sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[i].Name, Tasks: 3, Cpus: 6, Run: 20 * time.Minute, CancelAfter: sim.randomDuration(15*time.Second, 40*time.Second)}))
		}
	}},
	{"arrays bound to a zone lose machines", func(sim *Simulation, _ *hooks) {
		sim.User(JobSpec{Team: "green", Tasks: 5, Cpus: 4, Run: 20 * time.Second, Zone: "b"})
		time.Sleep(7 * time.Second)
		for _, m := range sim.Machines() {
			if m.Zone == "b" && sim.Random.IntN(2) == 0 {
				sim.Die(m)
			}
		}
	}},
	{"leaders end one after the other", func(sim *Simulation, _ *hooks) {
		for range 4 {
			sim.Again(sim.randomDuration(0, 2*time.Second), theLeader(sim))
			time.Sleep(3 * time.Second)
		}
	}},
}

// faultPairs are all ordered pairs of two faults, in an order in which few simulations in a row have much of everything.
func faultPairs() (out [][2]faultKind) {
	n := len(overlappingFaultKinds)
	for d := 1; d < n; d++ {
		for i := range n {
			out = append(out, [2]faultKind{overlappingFaultKinds[i], overlappingFaultKinds[(i+d*7)%n]})
		}
	}
	return out
}

// overlapCounts count what came about in the simulations of TestOverlappingFaults.
type overlapCounts struct {
	copies, copiesToNext, looks, answersLost, lateDone, lateDenied, kills, cancellations int
}

// add counts what came about in a simulation that is over.
func (c *overlapCounts) add(sim *Simulation, cancelled []*Job) {
	c.copies += int(sim.Copies.Load())
	c.copiesToNext += int(sim.CopiesToNext.Load())
	c.looks += int(sim.Looks.Load())
	c.lateDone += int(sim.LateDone.Load())
	c.lateDenied += int(sim.LateDenied.Load())
	c.kills += int(sim.KillCount.Load())
	for _, n := range sim.AnswersLost {
		c.answersLost += n
	}
	for _, j := range cancelled {
		if sim.Told(j) == protocol.Cancelled {
			c.cancellations++
		}
	}
}

// check fails the test if any of what it counts did not come about.
func (c *overlapCounts) check(t *testing.T) {
	t.Helper()
	for what, n := range map[string]int{"copies": c.copies, "copies for the next leader": c.copiesToNext, "close looks": c.looks, "answers lost": c.answersLost,
		"late transactions": c.lateDone + c.lateDenied, "ends of controllers": c.kills, "cancellations": c.cancellations} {
		if n == 0 {
			t.Errorf("no %s came about: the simulations prove nothing", what)
		}
	}
}

// TestOverlappingFaults overlaps faults two and two, each pair in its turn, over a load with long tasks, jobs whose tasks end far
// apart, and many cancellations. More of them:
//
//	go test ./internal/simulator -timeout 2h -run TestOverlappingFaults -pairs 1000
func TestOverlappingFaults(t *testing.T) {
	var counts overlapCounts
	all := faultPairs()
	for seed := *firstOverlappingPair; seed < *firstOverlappingPair+*overlappingPairs; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &hooks{}
			playDay(t, 7000+uint64(seed), func(sim *Simulation) {
				sim.Settings.Deployment.Workers.CancelS = 36
				sim.CapacityOf = 16
				if seed%3 == 0 {
					sim.Boot = func() time.Duration { return sim.randomDuration(300*time.Millisecond, 2*time.Second) }
				}
				h.install(sim)
				sim.PeerDelay()
			}, func(sim *Simulation) {
				far := sim.submitFarApart()
				for round := range pairsPerSimulation {
					sim.playPair(t, all[(pairsPerSimulation*seed+round)%len(all)], h)
				}
				sim.checkAllServed(t)
				sim.awaitAll(t, append(far, h.cancelled...), 200)
			}, func(sim *Simulation) { counts.add(sim, h.cancelled) })
		})
	}
	t.Logf("%d of %d pairs; %+v", min(pairsPerSimulation**overlappingPairs, len(all)), len(all), counts)
	if *overlappingPairs >= leastCountedPairs {
		counts.check(t)
	}
}

const (
	pairsPerSimulation = 3
	leastCountedPairs  = 24 // with fewer simulations, some of what is counted may not come about
)

// submitFarApart submits jobs whose tasks end far apart.
func (sim *Simulation) submitFarApart() (far []*Job) {
	for k := range 3 {
		far = append(far, sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1,
			Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
	}
	return far
}

// playPair lets two faults overlap, with jobs that are cancelled meanwhile, and ends them.
func (sim *Simulation) playPair(t *testing.T, pair [2]faultKind, h *hooks) {
	t.Helper()
	first, second := pair[0], pair[1]
	t.Logf("%v: %s, %s", time.Since(sim.StartTime), first.name, second.name)
	for range 4 {
		h.add(sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[sim.Random.IntN(4)].Name, Tasks: 2, Cpus: 1, Run: 20 * time.Minute,
			CancelAfter: sim.randomDuration(time.Second, 25*time.Second)}))
	}
	time.Sleep(sim.randomDuration(3*time.Second, 9*time.Second))
	first.inject(sim, h)
	time.Sleep(sim.randomDuration(0, 6*time.Second))
	second.inject(sim, h)
	time.Sleep(sim.randomDuration(time.Second, 20*time.Second))
	healAll(sim, h)
}

// checkAllServed checks, once all faults are over, that nothing waits beside capacity and that every user is answered.
func (sim *Simulation) checkAllServed(t *testing.T) {
	t.Helper()
	sim.watchWaitingBesideCapacity(t, 95*time.Second)
	for _, j := range sim.Unanswered(time.Now().Add(-75 * time.Second)) {
		t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
	}
}
