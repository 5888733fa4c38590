package simulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

var (
	overlappingSimulations     = flag.Int("pairs", 24, "simulations of two faults at once that TestOverlappingFaults runs")
	firstOverlappingSimulation = flag.Int("from", 0, "the first of them")
)

// faultKind is one of two overlapping faults. It lasts until healAll.
type faultKind struct {
	name   string
	inject func(sim *Simulation, h *faultHooks)
}

// changeSomeMachines changes some of the machines.
func changeSomeMachines(change func(*Machine)) func(*Simulation, *faultHooks) {
	return func(sim *Simulation, _ *faultHooks) {
		for _, m := range sim.Machines() {
			if sim.Random.IntN(3) == 0 {
				sim.Set(m, change)
			}
		}
	}
}

func leaderOrFirst(sim *Simulation) int { return max(0, sim.Leader()) }

var overlappingFaultKinds = []faultKind{
	{"the leader loses state and peers", func(sim *Simulation, _ *faultHooks) { sim.Controller(leaderOrFirst(sim)).Cut(NoState | NoPeers) }},
	{"another loses state and peers", func(sim *Simulation, _ *faultHooks) {
		sim.Controller((leaderOrFirst(sim) + 1) % 3).Cut(NoState | NoPeers)
	}},
	{"old heartbeats", func(_ *Simulation, h *faultHooks) { h.duplicateHeartbeats.Store(true) }},
	{"heartbeats delayed", func(_ *Simulation, h *faultHooks) { h.delayHeartbeats.Store(true) }},
	{"the leader ends", func(sim *Simulation, _ *faultHooks) { sim.Kill(leaderOrFirst(sim)) }},
	{"deaf machines", changeSomeMachines(DeafMachine(true))},
	{"machines partitioned", changeSomeMachines(CutOff(true))},
	{"machines that hang", changeSomeMachines(HangingMachine(true))},
	{"slow state service", func(_ *Simulation, h *faultHooks) { h.slowStore.Store(true) }},
	{"refused alone, then all for long", func(sim *Simulation, _ *faultHooks) {
		sim.Store.Deny(sim.Controller(leaderOrFirst(sim)).Name, true)
		time.Sleep(sim.randomDuration(100*time.Millisecond, 3*time.Second))
		sim.Store.SetDown(true)
		time.Sleep(sim.randomDuration(0, 45*time.Second))
	}},
	{"late transactions", func(_ *Simulation, h *faultHooks) { h.delayTransactions.Store(true) }},
	{"commands delayed", func(_ *Simulation, h *faultHooks) { h.delayCommands.Store(true) }},
	{"answers delayed", func(_ *Simulation, h *faultHooks) { h.delayAnswers.Store(true) }},
	{"all end, back at once", func(sim *Simulation, _ *faultHooks) { sim.Again(sim.randomDuration(0, time.Second), 0, 1, 2) }},
	{"all end, one is back", func(sim *Simulation, _ *faultHooks) {
		for i := range 3 {
			if !sim.Controller(i).ended() {
				sim.Kill(i)
			}
		}
		time.Sleep(sim.randomDuration(0, time.Second))
		sim.Start(sim.Random.IntN(3))
	}},
	{"a controller flaps", func(sim *Simulation, _ *faultHooks) {
		for range 4 {
			sim.Again(sim.randomDuration(0, time.Second), sim.Random.IntN(3))
			time.Sleep(sim.randomDuration(0, 3*time.Second))
		}
	}},
	{"a controller stalls", func(sim *Simulation, _ *faultHooks) {
		sim.Controller(sim.Random.IntN(3)).Stall(sim.randomDuration(time.Second, 15*time.Second))
	}},
	{"a zone is partitioned", func(sim *Simulation, _ *faultHooks) {
		sim.PartitionZone(sim.Settings.Deployment.Zones[sim.Random.IntN(3)])
	}},
	{"mute machines", changeSomeMachines(MuteMachine(true))},
	{"heartbeats kept for the next leader", func(_ *Simulation, h *faultHooks) { h.keepHeartbeats.Store(true) }},
	{"answers lost at once", func(_ *Simulation, h *faultHooks) { h.loseAnswers.Store(true) }},
	{"cancelled now, machines hang", func(sim *Simulation, h *faultHooks) { h.cancelAll(sim, true) }},
	{"cancelled now", func(sim *Simulation, h *faultHooks) { h.cancelAll(sim, false) }},
	{"cancelled at the end", func(_ *Simulation, h *faultHooks) { h.cancelAtEnd.Store(true) }},
	{"close looks", func(sim *Simulation, _ *faultHooks) { sim.SetCloseLooks(true) }},
	{"odd requests", func(sim *Simulation, h *faultHooks) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, j := range h.jobsToCancel {
			go sim.OddRequests(j)
		}
	}},
	{"one-task jobs", func(sim *Simulation, _ *faultHooks) {
		for i := range 60 {
			spec := JobSpec{Team: sim.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, Run: 3 * time.Second}
			if i%4 == 1 {
				spec.CancelAfter = sim.randomDuration(time.Millisecond, 3*time.Second)
			}
			sim.User(spec)
			time.Sleep(250 * time.Millisecond)
		}
	}},
	{"machines up at once, more work", func(sim *Simulation, h *faultHooks) {
		for i := range 4 {
			h.addJobToCancel(sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[i].Name, Tasks: 3, Cpus: 6, Run: 20 * time.Minute, CancelAfter: sim.randomDuration(15*time.Second, 40*time.Second)}))
		}
	}},
	{"arrays bound to a zone lose machines", func(sim *Simulation, _ *faultHooks) {
		sim.User(JobSpec{Team: "green", Tasks: 5, Cpus: 4, Run: 20 * time.Second, Zone: "b"})
		time.Sleep(7 * time.Second)
		for _, m := range sim.Machines() {
			if m.Zone == "b" && sim.Random.IntN(2) == 0 {
				sim.Die(m)
			}
		}
	}},
	{"leaders end one after the other", func(sim *Simulation, _ *faultHooks) {
		for range 4 {
			sim.Again(sim.randomDuration(0, 2*time.Second), leaderOrFirst(sim))
			time.Sleep(3 * time.Second)
		}
	}},
}

// faultPairs are all ordered pairs of two faults, in an order in which few simulations in a row have much of everything.
func faultPairs() (out [][2]faultKind) {
	n := len(overlappingFaultKinds)
	for offset := 1; offset < n; offset++ {
		for i := range n {
			out = append(out, [2]faultKind{overlappingFaultKinds[i], overlappingFaultKinds[(i+offset*7)%n]})
		}
	}
	return out
}

// overlapCounts count what came about in the simulations of TestOverlappingFaults.
type overlapCounts struct {
	duplicates, duplicatesToNextLeader, closeLooks, answersLost, lateApplied, lateRefused, kills, cancellations int
}

// add counts what came about in a simulation that is over.
func (c *overlapCounts) add(sim *Simulation, cancelled []*Job) {
	c.duplicates += int(sim.Copies.Load())
	c.duplicatesToNextLeader += int(sim.CopiesToNext.Load())
	c.closeLooks += int(sim.Looks.Load())
	c.lateApplied += int(sim.LateDone.Load())
	c.lateRefused += int(sim.LateDenied.Load())
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
	for event, n := range map[string]int{"copies": c.duplicates, "copies for the next leader": c.duplicatesToNextLeader, "close looks": c.closeLooks, "answers lost": c.answersLost,
		"late transactions": c.lateApplied + c.lateRefused, "ends of controllers": c.kills, "cancellations": c.cancellations} {
		if n == 0 {
			t.Errorf("no %s came about: the simulations prove nothing", event)
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
	for number := *firstOverlappingSimulation; number < *firstOverlappingSimulation+*overlappingSimulations; number++ {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			h := &faultHooks{}
			runMixedLoad(t, 7000+uint64(number), func(sim *Simulation) {
				sim.Settings.Deployment.Workers.CancelS = 36
				sim.CapacityOf = 16
				if number%3 == 0 {
					sim.Boot = func() time.Duration { return sim.randomDuration(300*time.Millisecond, 2*time.Second) }
				}
				h.install(sim)
				sim.PeerDelay()
			}, func(sim *Simulation) {
				spreadJobs := sim.submitSpreadJobs()
				for round := range pairsPerSimulation {
					sim.runFaultPair(t, all[(pairsPerSimulation*number+round)%len(all)], h)
				}
				sim.checkAllServed(t)
				sim.awaitAll(t, append(spreadJobs, h.jobsToCancel...), 200)
			}, func(sim *Simulation) { counts.add(sim, h.jobsToCancel) })
		})
	}
	t.Logf("%d of %d pairs; %+v", min(pairsPerSimulation**overlappingSimulations, len(all)), len(all), counts)
	if *overlappingSimulations >= minSimulationsForCounts {
		counts.check(t)
	}
}

const (
	pairsPerSimulation      = 3
	minSimulationsForCounts = 24 // with fewer simulations, some of what is counted may not come about
)

// submitSpreadJobs submits jobs whose tasks end far apart.
func (sim *Simulation) submitSpreadJobs() (jobs []*Job) {
	for k := range 3 {
		jobs = append(jobs, sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1,
			Runs: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
	}
	return jobs
}

// runFaultPair lets two faults overlap, with jobs that are cancelled meanwhile, and ends them.
func (sim *Simulation) runFaultPair(t *testing.T, pair [2]faultKind, h *faultHooks) {
	t.Helper()
	first, second := pair[0], pair[1]
	t.Logf("%v: %s, %s", time.Since(sim.StartTime), first.name, second.name)
	for range 4 {
		h.addJobToCancel(sim.User(JobSpec{Team: sim.Settings.Deployment.Teams[sim.Random.IntN(4)].Name, Tasks: 2, Cpus: 1, Run: 20 * time.Minute,
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
	sim.checkNoWaitBesideCapacity(t, 95*time.Second)
	for _, j := range sim.Unanswered(time.Now().Add(-75 * time.Second)) {
		t.Errorf("%s has had no answer for 75 s after all is over", j.ID)
	}
}
