package simulator

import (
	"strings"
	"sync/atomic"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// counters count what has happened in a simulation, so that a test can tell whether a fault came about at all.
type counters struct {
	// Started counts tasks that started.
	Started int
	// LeaseKills counts tasks that were killed because their worker's lease ran out.
	LeaseKills int
	// StartsAfterCancel counts tasks that started after their job's user was told that it is cancelled.
	StartsAfterCancel int
	// RanAgain counts tasks that started although they had completed.
	RanAgain int
	// AnswersLost counts transactions that took effect and whose answer was lost, by the first key's kind.
	AnswersLost map[string]int
	// LateDone and LateDenied count transactions that were applied late, and refused then.
	LateDone, LateDenied atomic.Int32
	// Copies counts copies of heartbeats that arrived again.
	Copies atomic.Int32
	// CopiesToNext counts copies of heartbeats that were delivered to a controller as a new leader began.
	CopiesToNext atomic.Int32
	// Looks counts the answers to close looks.
	Looks atomic.Int32
}

func newCounters() counters {
	return counters{AnswersLost: map[string]int{}}
}

// taskStarted counts a task that starts.
func (c *counters) taskStarted(t *taskAttempt) {
	c.Started++
	if !t.job.cancelConfirmedAt.IsZero() {
		c.StartsAfterCancel++
	}
	if t.job.done[t.index] {
		c.RanAgain++
	}
}

// leaseExpired counts the tasks that a worker kills as its lease runs out.
func (c *counters) leaseExpired(tasks int) { c.LeaseKills += tasks }

// answerLost counts a transaction that took effect and whose answer is lost.
func (c *counters) answerLost(txn protocol.Txn) {
	first := txn.Then[0]
	kind, _, _ := strings.Cut(strings.TrimPrefix(first.Put+first.Delete, storage.Root), "/")
	c.AnswersLost[kind]++
}

// lateTransaction counts a transaction that was applied late.
func (c *counters) lateTransaction(applied bool) {
	if applied {
		c.LateDone.Add(1)
	} else {
		c.LateDenied.Add(1)
	}
}

// Stats are counts of what has happened.
type Stats struct {
	Started, LeaseKills    int
	Requests, Writes, Over int // of the state service
}

// Stats counts what has happened so far.
func (sim *Simulation) Stats() Stats {
	sim.Store.mu.Lock()
	stats := Stats{Requests: sim.Store.Requests, Writes: sim.Store.Writes, Over: sim.Store.OverRate}
	sim.Store.mu.Unlock()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	stats.Started, stats.LeaseKills = sim.Started, sim.LeaseKills
	return stats
}
