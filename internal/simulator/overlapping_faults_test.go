package simulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

var (
	overlappingSimulations     = flag.Int("pairs", 24, "number of simulations that TestOverlappingFaults runs; each overlaps several pairs of faults")
	firstOverlappingSimulation = flag.Int("from", 0, "number of the first simulation that TestOverlappingFaults runs")
)

// faultKind is one kind of fault to overlap with another. Its effect lasts until healAll.
type faultKind struct {
	name   string
	inject func(sim *Simulation, h *faultHooks)
}

// changeSomeMachines returns a fault that applies a change to each machine with a probability of one
// third.
func changeSomeMachines(change func(*Machine)) func(*Simulation, *faultHooks) {
	return func(sim *Simulation, _ *faultHooks) {
		for _, m := range sim.Machines() {
			if sim.Random.IntN(3) == 0 {
				sim.UpdateMachine(m, change)
			}
		}
	}
}

// leaderOrFirst returns the number of the leader, or 0 if there is none.
func leaderOrFirst(sim *Simulation) int { return max(0, sim.Leader()) }

// overlappingFaultKinds are the faults that TestOverlappingFaults combines.
var overlappingFaultKinds = []faultKind{
	{"the leader loses the state service and its peers", func(sim *Simulation, _ *faultHooks) {
		sim.Controller(leaderOrFirst(sim)).SetPartitions(NoState | NoPeers)
	}},
	{"another controller loses the state service and its peers", func(sim *Simulation, _ *faultHooks) {
		sim.Controller((leaderOrFirst(sim) + 1) % 3).SetPartitions(NoState | NoPeers)
	}},
	{"heartbeats are delivered again later", func(_ *Simulation, h *faultHooks) { h.duplicateHeartbeats.Store(true) }},
	{"heartbeats are delayed", func(_ *Simulation, h *faultHooks) { h.delayHeartbeats.Store(true) }},
	{"the leader is killed", func(sim *Simulation, _ *faultHooks) { sim.Kill(leaderOrFirst(sim)) }},
	{"machines receive nothing from controllers", changeSomeMachines(InboundPartition(true))},
	{"machines are partitioned", changeSomeMachines(MachinePartition(true))},
	{"machines hang", changeSomeMachines(HangingMachine(true))},
	{"the state service is slow", func(_ *Simulation, h *faultHooks) { h.slowStore.Store(true) }},
	{"the leader is refused, then an outage of the state service", func(sim *Simulation, _ *faultHooks) {
		sim.Store.RefuseController(sim.Controller(leaderOrFirst(sim)).Name, true)
		time.Sleep(sim.randomDuration(100*time.Millisecond, 3*time.Second))
		sim.Store.SetDown(true)
		time.Sleep(sim.randomDuration(0, 45*time.Second))
	}},
	{"transactions are applied late", func(_ *Simulation, h *faultHooks) { h.delayTransactions.Store(true) }},
	{"direct commands are delayed", func(_ *Simulation, h *faultHooks) { h.delayCommands.Store(true) }},
	{"answers to direct commands are delayed", func(_ *Simulation, h *faultHooks) { h.delayAnswers.Store(true) }},
	{"all controllers restart", func(sim *Simulation, _ *faultHooks) { sim.Restart(sim.randomDuration(0, time.Second), 0, 1, 2) }},
	{"all controllers are killed, one restarts", func(sim *Simulation, _ *faultHooks) {
		for i := range 3 {
			if !sim.Controller(i).ended() {
				sim.Kill(i)
			}
		}
		time.Sleep(sim.randomDuration(0, time.Second))
		sim.Start(sim.Random.IntN(3))
	}},
	{"random controllers restart repeatedly", func(sim *Simulation, _ *faultHooks) {
		for range 4 {
			sim.Restart(sim.randomDuration(0, time.Second), sim.Random.IntN(3))
			time.Sleep(sim.randomDuration(0, 3*time.Second))
		}
	}},
	{"a controller stalls", func(sim *Simulation, _ *faultHooks) {
		sim.Controller(sim.Random.IntN(3)).Stall(sim.randomDuration(time.Second, 15*time.Second))
	}},
	{"a zone is partitioned", func(sim *Simulation, _ *faultHooks) {
		sim.PartitionZone(sim.Settings.Deployment.Zones[sim.Random.IntN(3)])
	}},
	{"machines reach no controller", changeSomeMachines(OutboundPartition(true))},
	{"heartbeats are delivered again to the next leader", func(_ *Simulation, h *faultHooks) { h.keepHeartbeats.Store(true) }},
	{"answers of the state service are lost", func(_ *Simulation, h *faultHooks) { h.loseAnswers.Store(true) }},
	{"long-running jobs are cancelled, their machines hang", func(sim *Simulation, h *faultHooks) { h.cancelAll(sim, true) }},
	{"long-running jobs are cancelled", func(sim *Simulation, h *faultHooks) { h.cancelAll(sim, false) }},
	{"jobs are cancelled as their last task completes", func(_ *Simulation, h *faultHooks) { h.cancelAtEnd.Store(true) }},
	{"users query all controllers at once", func(sim *Simulation, _ *faultHooks) { sim.SetQueryAllAfterAnswers(true) }},
	{"conflicting and invalid submissions", func(sim *Simulation, h *faultHooks) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, j := range h.jobsToCancel {
			go sim.OddRequests(j)
		}
	}},
	{"single-task jobs", func(sim *Simulation, _ *faultHooks) {
		for i := range 60 {
			spec := JobSpec{Team: sim.Settings.Deployment.Teams[i%4].Name, Tasks: 1, Cpus: 1, RunTime: 3 * time.Second}
			if i%4 == 1 {
				spec.CancelAfter = sim.randomDuration(time.Millisecond, 3*time.Second)
			}
			sim.StartUser(spec)
			time.Sleep(250 * time.Millisecond)
		}
	}},
	{"more long-running jobs", func(sim *Simulation, h *faultHooks) {
		for i := range 4 {
			h.addJobToCancel(sim.StartUser(JobSpec{Team: sim.Settings.Deployment.Teams[i].Name, Tasks: 3, Cpus: 6, RunTime: 20 * time.Minute, CancelAfter: sim.randomDuration(15*time.Second, 40*time.Second)}))
		}
	}},
	{"an array bound to a zone loses machines", func(sim *Simulation, _ *faultHooks) {
		sim.StartUser(JobSpec{Team: "green", Tasks: 5, Cpus: 4, RunTime: 20 * time.Second, Zone: "b"})
		time.Sleep(7 * time.Second)
		for _, m := range sim.Machines() {
			if m.Zone == "b" && sim.Random.IntN(2) == 0 {
				sim.FailMachine(m)
			}
		}
	}},
	{"one leader after another restarts", func(sim *Simulation, _ *faultHooks) {
		for range 4 {
			sim.Restart(sim.randomDuration(0, 2*time.Second), leaderOrFirst(sim))
			time.Sleep(3 * time.Second)
		}
	}},
	{"direct commands are delivered again later", func(_ *Simulation, h *faultHooks) { h.duplicateCommands.Store(true) }},
}

// faultPairs returns all ordered pairs of two different faults, in an order in which a few consecutive
// simulations cover most kinds of faults.
func faultPairs() (out [][2]faultKind) {
	n := len(overlappingFaultKinds)
	for offset := 1; offset < n; offset++ {
		for i := range n {
			out = append(out, [2]faultKind{overlappingFaultKinds[i], overlappingFaultKinds[(i+offset*7)%n]})
		}
	}
	return out
}

// overlapCounts counts events in the simulations of TestOverlappingFaults.
type overlapCounts struct {
	duplicates, duplicatesToNextLeader, duplicateCommands, closeLooks, answersLost, lateApplied, lateRefused, kills, cancellations int
}

// add adds the events of a simulation that has ended.
func (c *overlapCounts) add(sim *Simulation, cancelled []*Job) {
	c.duplicates += int(sim.DuplicateHeartbeats.Load())
	c.duplicatesToNextLeader += int(sim.DuplicatesToNewLeader.Load())
	c.duplicateCommands += int(sim.DuplicateCommands.Load())
	c.closeLooks += int(sim.QueryAllAnswers.Load())
	c.lateApplied += int(sim.LateTxnsApplied.Load())
	c.lateRefused += int(sim.LateTxnsRejected.Load())
	c.kills += int(sim.KillCount.Load())
	for _, n := range sim.AnswersLost {
		c.answersLost += n
	}
	for _, j := range cancelled {
		if sim.ReportedStatus(j) == protocol.Cancelled {
			c.cancellations++
		}
	}
}

// check fails the test if an event that is counted did not occur.
func (c *overlapCounts) check(t *testing.T) {
	t.Helper()
	for event, n := range map[string]int{"duplicate heartbeats": c.duplicates, "duplicate heartbeats to a new leader": c.duplicatesToNextLeader, "duplicate direct commands": c.duplicateCommands, "answers to queries at all controllers": c.closeLooks, "lost answers of the state service": c.answersLost,
		"late transactions": c.lateApplied + c.lateRefused, "killed controllers": c.kills, "cancellations": c.cancellations} {
		if n == 0 {
			t.Errorf("no %s occurred: the simulations check nothing", event)
		}
	}
}

// TestOverlappingFaults injects pairs of overlapping faults, each pair in turn, into a load with
// long-running jobs, jobs whose tasks end at different times, and many cancellations. To run more
// simulations:
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
				sim.Capacity = 16
				if number%3 == 0 {
					sim.BootTimeOf = func() time.Duration { return sim.randomDuration(300*time.Millisecond, 2*time.Second) }
				}
				h.install(sim)
				sim.ExchangePeerHeartbeats()
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
	t.Logf("%d of %d pairs of faults; counts %+v", min(pairsPerSimulation**overlappingSimulations, len(all)), len(all), counts)
	if *overlappingSimulations >= minSimulationsForCounts {
		counts.check(t)
	}
}

const (
	pairsPerSimulation      = 3
	minSimulationsForCounts = 24 // with fewer simulations, some of the counted events may not occur
)

// submitSpreadJobs submits jobs whose tasks end at different times.
func (sim *Simulation) submitSpreadJobs() (jobs []*Job) {
	for k := range 3 {
		jobs = append(jobs, sim.StartUser(JobSpec{Team: sim.Settings.Deployment.Teams[k].Name, Tasks: 2 + k%2, Cpus: 1,
			TaskRunTimes: []time.Duration{2 * time.Second, 50 * time.Second, 25 * time.Second}}))
	}
	return jobs
}

// runFaultPair submits jobs that are cancelled during the faults, injects two faults one shortly after the
// other, and ends them.
func (sim *Simulation) runFaultPair(t *testing.T, pair [2]faultKind, h *faultHooks) {
	t.Helper()
	first, second := pair[0], pair[1]
	t.Logf("at %v: %s; %s", time.Since(sim.StartTime), first.name, second.name)
	for range 4 {
		h.addJobToCancel(sim.StartUser(JobSpec{Team: sim.Settings.Deployment.Teams[sim.Random.IntN(4)].Name, Tasks: 2, Cpus: 1, RunTime: 20 * time.Minute,
			CancelAfter: sim.randomDuration(time.Second, 25*time.Second)}))
	}
	time.Sleep(sim.randomDuration(3*time.Second, 9*time.Second))
	first.inject(sim, h)
	time.Sleep(sim.randomDuration(0, 6*time.Second))
	second.inject(sim, h)
	time.Sleep(sim.randomDuration(time.Second, 20*time.Second))
	healAll(sim, h)
}

// checkAllServed checks, after the end of all faults, that no job keeps waiting while a machine has
// capacity for it, and that every user is answered.
func (sim *Simulation) checkAllServed(t *testing.T) {
	t.Helper()
	sim.checkNoWaitBesideCapacity(t, 95*time.Second)
	for _, j := range sim.Unanswered(time.Now().Add(-75 * time.Second)) {
		t.Errorf("users of %s have had no answer for 75 s after the end of the faults", j.ID)
	}
}
