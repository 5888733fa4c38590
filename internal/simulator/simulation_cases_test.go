package simulator

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// simulationCase is a fault that TestSimulation injects into a mixed load.
type simulationCase struct {
	name  string
	setup func(sim *Simulation)
	fault func(sim *Simulation)
}

// simulationCases are the cases of TestSimulation.
var simulationCases = []simulationCase{
	{name: "no fault"},
	{name: "each controller is killed and restarts", fault: func(sim *Simulation) {
		for i := range 3 {
			time.Sleep(6 * time.Second)
			sim.Kill(i)
			time.Sleep(4 * time.Second)
			sim.Start(i)
		}
	}},
	{name: "all controllers are killed and restart", fault: func(sim *Simulation) {
		time.Sleep(8 * time.Second)
		for i := range 3 {
			sim.Kill(i)
		}
		time.Sleep(5 * time.Second)
		for i := range 3 {
			sim.Start(i)
		}
	}},
	{name: "two of three controllers are killed", fault: func(sim *Simulation) {
		time.Sleep(5 * time.Second)
		sim.Kill(1)
		sim.Kill(2)
	}},
	{name: "an outage of the state service", fault: func(sim *Simulation) {
		time.Sleep(7 * time.Second)
		sim.Store.SetDown(true)
		time.Sleep(20 * time.Second)
		sim.Store.SetDown(false)
	}},
	{name: "an outage while all controllers restart", fault: func(sim *Simulation) {
		time.Sleep(7 * time.Second)
		sim.Store.SetDown(true)
		for i := range 3 {
			sim.Kill(i)
		}
		time.Sleep(3 * time.Second)
		for i := range 3 {
			sim.Start(i)
		}
		time.Sleep(9 * time.Second)
		sim.Store.SetDown(false)
	}},
	{name: "one controller alone is refused by the state service", fault: func(sim *Simulation) {
		time.Sleep(6 * time.Second)
		sim.Store.RefuseController("n0", true)
		time.Sleep(25 * time.Second)
		sim.Store.RefuseController("n0", false)
	}},
	{name: "a controller is partitioned for 20 s", fault: func(sim *Simulation) {
		time.Sleep(6 * time.Second)
		sim.Controller(0).SetPartitions(AllPartitions)
		time.Sleep(20 * time.Second)
		sim.Controller(0).SetPartitions(0)
	}},
	{name: "a controller reaches the state service but nothing else", fault: func(sim *Simulation) {
		time.Sleep(6 * time.Second)
		sim.Controller(0).SetPartitions(NoWorkers | NoUsers | NoCloud)
		time.Sleep(40 * time.Second)
		sim.Controller(0).SetPartitions(0)
	}},
	// A new owner that learned from its own commit that a shard is its own had not yet received what the
	// previous owner committed just before, and placed tasks twice.
	{name: "live peers are considered lost while watches lag", setup: func(sim *Simulation) {
		sim.Store.WatchDelay = func(string) time.Duration { return time.Duration(sim.Random.IntN(1200)) * time.Millisecond }
		go func() {
			for i := range 500 {
				sim.StartUser(JobSpec{Team: []string{"red", "blue", "green", "grey"}[i%4], Tasks: 1, Cpus: 1, RunTime: 2 * time.Second})
				time.Sleep(80 * time.Millisecond)
			}
		}()
	}, fault: func(sim *Simulation) {
		for i := range 12 {
			time.Sleep(3 * time.Second)
			suspected := sim.Controller(i % 3)
			for k := range 3 {
				if observer := sim.Controller(k); observer != suspected {
					observer.Core.PeerDisconnected(suspected.Name)
				}
			}
			time.Sleep(2500 * time.Millisecond)
			for k := range 3 {
				sim.Controller(k).Core.ReceivePeerHeartbeat(suspected.Name, protocol.PeerHeartbeat{StateOK: true})
			}
		}
	}},
	{name: "transactions are applied late", setup: func(sim *Simulation) {
		sim.LateTransactions = func(_ string, txn protocol.Txn) time.Duration {
			if placesTasks(txn) && sim.Random.IntN(6) == 0 {
				return time.Duration(500+sim.Random.IntN(6000)) * time.Millisecond
			}
			return 0
		}
	}},
	{name: "transactions are applied late and controllers are killed", setup: func(sim *Simulation) {
		sim.LateTransactions = func(string, protocol.Txn) time.Duration {
			if sim.Random.IntN(8) == 0 {
				return time.Duration(500+sim.Random.IntN(9000)) * time.Millisecond
			}
			return 0
		}
	}, fault: func(sim *Simulation) {
		for i := range 6 {
			time.Sleep(5 * time.Second)
			sim.Kill(i % 3)
			time.Sleep(2 * time.Second)
			sim.Start(i % 3)
		}
	}},
	{name: "controllers are killed between the commit of a placement and its launches", setup: func(sim *Simulation) { killAfterCommit(sim, placesTasks) }},
	{name: "controllers are killed between the commit of a victim set and its terminations", setup: func(sim *Simulation) { killAfterCommit(sim, writesVictimSet) }},
	{name: "rental requests are carried out late", setup: func(sim *Simulation) {
		sim.LateScaleOuts = func() time.Duration {
			return time.Duration(sim.Random.IntN(3)*sim.Random.IntN(20000)) * time.Millisecond
		}
	}},
	{name: "direct commands arrive late", setup: func(sim *Simulation) {
		sim.LateCommands = func(string, protocol.DirectCommands) time.Duration {
			if sim.Random.IntN(2) == 0 {
				return time.Duration(2000+sim.Random.IntN(20000)) * time.Millisecond
			}
			return 0
		}
	}},
	// A worker that had cleared an attempt started it again when the launch in a direct command arrived, which was sent
	// before the one in the answer to a heartbeat.
	{name: "launches arrive after their tasks have ended", setup: func(sim *Simulation) {
		sim.LateCommands = func(_ string, commands protocol.DirectCommands) time.Duration {
			isLaunch := func(c protocol.Command) bool { return c.Op == protocol.OpLaunch }
			if slices.ContainsFunc(commands.Commands, isLaunch) {
				return 1900 * time.Millisecond
			}
			return 0
		}
		go func() {
			for i := range 40 {
				sim.StartUser(JobSpec{Team: []string{"red", "blue", "green", "grey"}[i%4], Tasks: 1, Cpus: 1, RunTime: 200 * time.Millisecond})
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}},
	{name: "heartbeats arrive late", setup: func(sim *Simulation) {
		sim.LateHeartbeats = func(string) time.Duration {
			if sim.Random.IntN(12) == 0 {
				return time.Duration(2000+sim.Random.IntN(15000)) * time.Millisecond
			}
			return 0
		}
	}},
	{name: "a worker hangs and resumes", fault: func(sim *Simulation) {
		time.Sleep(6 * time.Second)
		for _, m := range sim.Machines()[:2] {
			sim.UpdateMachine(m, HangingMachine(true))
			time.Sleep(4 * time.Second)
			sim.UpdateMachine(m, HangingMachine(false))
		}
		m := sim.Machines()[0]
		sim.UpdateMachine(m, HangingMachine(true))
		time.Sleep(20 * time.Second)
		sim.UpdateMachine(m, HangingMachine(false))
	}},
	{name: "a worker is partitioned for longer than its lease", fault: func(sim *Simulation) {
		time.Sleep(6 * time.Second)
		m := sim.Machines()[0]
		sim.UpdateMachine(m, MachinePartition(true))
		time.Sleep(13 * time.Second)
		sim.UpdateMachine(m, MachinePartition(false))
	}},
	{name: "a machine dies, one fails its tasks, one is preempted", fault: func(sim *Simulation) {
		time.Sleep(6 * time.Second)
		ms := sim.Machines()
		sim.FailMachine(ms[0])
		sim.UpdateMachine(ms[1], UnhealthyMachine(true))
		sim.UpdateMachine(ms[2], PreemptionNotice(8*time.Second))
	}},
	{name: "a job fails on every machine", setup: func(sim *Simulation) {
		sim.StartUser(JobSpec{Team: "blue", Tasks: 6, Cpus: 4, RunTime: 5 * time.Second, AlwaysFails: true, Urgency: "high"})
	}},
}

// placesTasks reports whether a transaction writes a machine group's record with tasks.
func placesTasks(txn protocol.Txn) bool {
	for _, c := range txn.Then {
		if _, ok := storage.GroupOf(c.Put); ok {
			r, _ := storage.DecodeGroup(c.Value)
			if slices.ContainsFunc(r.Machines, func(m storage.GroupMachine) bool { return len(m.Tasks) > 0 }) {
				return true
			}
		}
	}
	return false
}

// writesVictimSet reports whether a transaction writes a victim set.
func writesVictimSet(txn protocol.Txn) bool {
	for _, c := range txn.Then {
		if strings.Contains(c.Put, "/evict/") {
			return true
		}
	}
	return false
}

// killAfterCommit kills a controller right after one of its transactions that match is applied, four times
// in all, and starts it again 4 s later.
func killAfterCommit(sim *Simulation, matches func(protocol.Txn) bool) {
	var kills atomic.Int32
	sim.AfterTransaction = func(i int, txn protocol.Txn) {
		if matches(txn) && kills.Add(1) <= 4 {
			sim.Kill(i)
			go func() {
				time.Sleep(4 * time.Second)
				sim.Start(i)
			}()
		}
	}
}
