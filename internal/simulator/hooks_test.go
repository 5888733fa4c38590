package simulator

import (
	"sync"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
)

// faultHooks switches the simulation's message faults (delays, losses and duplicates) on and off while it
// runs.
type faultHooks struct {
	mu           sync.Mutex
	jobsToCancel []*Job // long-running jobs that are cancelled during the test
	duplicateHeartbeats, delayHeartbeats, slowStore, delayTransactions, delayCommands,
	delayAnswers, loseAnswers, keepHeartbeats, cancelAtEnd, duplicateCommands atomic.Bool
}

// install sets the simulation's hooks, with all faults switched off.
func (h *faultHooks) install(sim *Simulation) {
	delayIfOn := func(on *atomic.Bool, probability float64, shortest, longest time.Duration) time.Duration {
		if !on.Load() || sim.Random.Float64() >= probability {
			return 0
		}
		return sim.randomDuration(shortest, longest)
	}
	sim.HeartbeatDuplicateDelay = func(string) time.Duration {
		return delayIfOn(&h.duplicateHeartbeats, 0.3, 2*time.Second, 25*time.Second)
	}
	sim.LateHeartbeats = func(string) time.Duration { return delayIfOn(&h.delayHeartbeats, 0.1, time.Second, 8*time.Second) }
	sim.Store.RequestDelay = func(string) time.Duration { return delayIfOn(&h.slowStore, 0.5, 0, 1500*time.Millisecond) }
	sim.LateTransactions = func(string, protocol.Txn) time.Duration {
		return delayIfOn(&h.delayTransactions, 0.15, 2*time.Second, 12*time.Second)
	}
	sim.LateCommands = func(string, protocol.DirectCommands) time.Duration {
		return delayIfOn(&h.delayCommands, 0.3, time.Second, 8*time.Second)
	}
	sim.CommandDuplicateDelay = func(string, protocol.DirectCommands) time.Duration {
		return delayIfOn(&h.duplicateCommands, 0.5, 2*time.Second, 45*time.Second)
	}
	sim.HoldHeartbeat = func(string) bool { return h.keepHeartbeats.Load() && sim.Random.IntN(3) == 0 }
	sim.LostAnswers = func(string, protocol.Txn) bool { return h.loseAnswers.Load() && sim.Random.IntN(3) == 0 }
	sim.OnJobDone = func(j *Job) {
		if h.cancelAtEnd.Load() && sim.Random.IntN(3) == 0 {
			sim.CancelNow(j)
		}
	}
	sim.LateAnswers = func(string) time.Duration { return delayIfOn(&h.delayAnswers, 0.3, time.Second, 4*time.Second) }
}

// randomDuration returns a random duration from shortest up to, but not including, longest.
func (sim *Simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(sim.Random.Float64()*float64(longest-shortest))
}

// healAll ends every fault.
func healAll(sim *Simulation, h *faultHooks) {
	for _, on := range []*atomic.Bool{&h.duplicateHeartbeats, &h.delayHeartbeats, &h.slowStore, &h.delayTransactions,
		&h.delayCommands, &h.delayAnswers, &h.loseAnswers, &h.keepHeartbeats, &h.cancelAtEnd, &h.duplicateCommands} {
		on.Store(false)
	}
	sim.PartitionZone("")
	sim.SetQueryAllAfterAnswers(false)
	healComponents(sim)
}

// addJobToCancel records a long-running job that is cancelled during the test.
func (h *faultHooks) addJobToCancel(j *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobsToCancel = append(h.jobsToCancel, j)
}

// cancelAll has the users of all recorded jobs cancel them now. If hang is set, up to eight of the
// machines that run their tasks hang.
func (h *faultHooks) cancelAll(sim *Simulation, hang bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	machines := 0
	for _, j := range h.jobsToCancel {
		sim.CancelNow(j)
		for _, m := range sim.machinesOf(j) {
			if machines++; hang && machines <= 8 {
				sim.UpdateMachine(m, HangingMachine(true))
			}
		}
	}
}
