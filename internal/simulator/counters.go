package simulator

import (
	"strings"
	"sync/atomic"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// counters counts events of a simulation, so that a test can check whether the fault that it guards against
// occurred.
type counters struct {
	// Started counts task starts.
	Started int
	// LeaseKills counts tasks that were killed because their worker's lease expired.
	LeaseKills int
	// StartsAfterCancel counts task starts after the cancellation of the job was confirmed to its user.
	StartsAfterCancel int
	// StartsAfterDone counts task starts after the task had completed.
	StartsAfterDone int
	// AnswersLost counts transactions that were applied and whose answer was lost, by the kind of their first key.
	AnswersLost map[string]int
	// LateTxnsApplied counts late transactions that were applied, LateTxnsRejected those that were refused.
	LateTxnsApplied, LateTxnsRejected atomic.Int32
	// DuplicateTxns counts duplicates of transactions that were applied a second time, by the kind of their first key.
	DuplicateTxns map[string]int
	// DuplicateHeartbeats counts duplicate heartbeats that arrived.
	DuplicateHeartbeats atomic.Int32
	// DuplicatesToNewLeader counts held heartbeats that were delivered to a controller after a change of leadership.
	DuplicatesToNewLeader atomic.Int32
	// DuplicateCommands counts duplicates of direct commands that arrived at a worker.
	DuplicateCommands atomic.Int32
	// HeldDuplicateCommands counts duplicates that were held until a controller started or leadership changed.
	HeldDuplicateCommands atomic.Int32
	// DuplicateCommandsExecuted counts duplicates whose fencing token and incarnation were still valid.
	DuplicateCommandsExecuted atomic.Int32
	// QueryAllAnswers counts the answers with a job state that QueryAllControllers checked.
	QueryAllAnswers atomic.Int32
}

func newCounters() counters {
	return counters{AnswersLost: map[string]int{}, DuplicateTxns: map[string]int{}}
}

// taskStarted counts a task start.
func (c *counters) taskStarted(t *taskAttempt) {
	c.Started++
	if !t.job.cancelConfirmedAt.IsZero() {
		c.StartsAfterCancel++
	}
	if t.job.done[t.index] {
		c.StartsAfterDone++
	}
}

// leaseExpired counts the tasks that a worker kills because its lease expired.
func (c *counters) leaseExpired(tasks int) { c.LeaseKills += tasks }

// kindOf returns the kind of a transaction's first key.
func kindOf(txn protocol.Txn) string {
	first := txn.Then[0]
	kind, _, _ := strings.Cut(strings.TrimPrefix(first.Put+first.Delete, storage.Root), "/")
	return kind
}

// answerLost counts a transaction that was applied and whose answer is lost.
func (c *counters) answerLost(txn protocol.Txn) {
	c.AnswersLost[kindOf(txn)]++
}

// lateTransaction counts a late transaction by whether it was applied.
func (c *counters) lateTransaction(applied bool) {
	if applied {
		c.LateTxnsApplied.Add(1)
	} else {
		c.LateTxnsRejected.Add(1)
	}
}

// Stats holds counts of events.
type Stats struct {
	Started, LeaseKills        int
	Requests, Writes, OverRate int // at the state service; OverRate were refused because of the rate limit
}

// Stats returns the counts so far.
func (sim *Simulation) Stats() Stats {
	sim.Store.mu.Lock()
	stats := Stats{Requests: sim.Store.Requests, Writes: sim.Store.Writes, OverRate: sim.Store.OverRate}
	sim.Store.mu.Unlock()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	stats.Started, stats.LeaseKills = sim.Started, sim.LeaseKills
	return stats
}
