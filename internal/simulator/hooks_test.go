package simulator

import (
	"sync"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
)

// hooks switch the delays, losses and copies of a simulation on and off, while it runs.
type hooks struct {
	mu                                                                   sync.Mutex
	cancelled                                                            []*Job // long jobs that are cancelled sooner or later
	copies, heartbeats, slow, late, commands, answers, lost, keep, atEnd atomic.Bool
}

// install sets the simulation's hooks, all off.
func (h *hooks) install(sim *Simulation) {
	some := func(on *atomic.Bool, part float64, least, most time.Duration) time.Duration {
		if !on.Load() || sim.Random.Float64() >= part {
			return 0
		}
		return sim.randomDuration(least, most)
	}
	sim.CopiedHeartbeats = func(string) time.Duration { return some(&h.copies, 0.3, 2*time.Second, 25*time.Second) }
	sim.LateHeartbeats = func(string) time.Duration { return some(&h.heartbeats, 0.1, time.Second, 8*time.Second) }
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

// randomDuration is a time from a shortest one to below a longest one.
func (sim *Simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.Random.Float64()*float64(most-least))
}

// healAll ends every fault.
func healAll(sim *Simulation, h *hooks) {
	for _, on := range []*atomic.Bool{&h.copies, &h.heartbeats, &h.slow, &h.late, &h.commands, &h.answers, &h.lost, &h.keep, &h.atEnd} {
		on.Store(false)
	}
	sim.PartitionZone("")
	sim.SetCloseLooks(false)
	heal(sim)
}

// add notes a job that is cancelled.
func (h *hooks) add(j *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = append(h.cancelled, j)
}

// cancelAll has the users of all jobs that run for long cancel them now, and up to eight of their machines hang.
func (h *hooks) cancelAll(sim *Simulation, hang bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, j := range h.cancelled {
		sim.CancelNow(j)
		for _, m := range sim.machinesOf(j) {
			if n++; hang && n <= 8 {
				sim.Set(m, HangingMachine(true))
			}
		}
	}
}
