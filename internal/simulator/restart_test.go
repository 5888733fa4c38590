package simulator

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// restartCases are restarts after which processes are back within a second.
var restartCases = []struct {
	name  string
	setup func(sim *Simulation, downtime time.Duration)
	fault func(sim *Simulation, downtime time.Duration)
}{
	{"one controller five times in ten seconds", nil, func(sim *Simulation, downtime time.Duration) {
		for range 5 {
			sim.Restart(downtime, 1)
			time.Sleep(2 * time.Second)
		}
	}},
	{"all controllers, and again during the election", nil, func(sim *Simulation, downtime time.Duration) {
		sim.Restart(downtime, 0, 1, 2)
		time.Sleep(150 * time.Millisecond)
		sim.Restart(downtime, 0, 1, 2)
		time.Sleep(900 * time.Millisecond)
		sim.Restart(downtime, 0, 1)
	}},
	{"the committing controller, between a commit and its answer", func(sim *Simulation, downtime time.Duration) {
		var commits atomic.Int32
		sim.AfterTransaction = func(i int, txn protocol.Txn) {
			if slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return strings.Contains(c.Put, "/rack/") }) && commits.Add(1)%9 == 0 && commits.Load() < 50 {
				sim.Kill(i)
				go func() { time.Sleep(downtime); sim.Start(i) }()
			}
		}
	}, nil},
	{"during an outage of the state service", nil, func(sim *Simulation, downtime time.Duration) {
		sim.Store.SetDown(true)
		sim.Restart(downtime+3*time.Second, 0, 1, 2)
		sim.Store.SetDown(false)
		sim.Restart(downtime, 2)
	}},
	{"with late transactions and heartbeats", func(sim *Simulation, _ time.Duration) {
		sim.LateTransactions = func(string, protocol.Txn) time.Duration {
			if sim.Random.IntN(12) == 0 {
				return time.Duration(500+sim.Random.IntN(6000)) * time.Millisecond
			}
			return 0
		}
		sim.LateHeartbeats = func(string) time.Duration {
			if sim.Random.IntN(30) == 0 {
				return time.Duration(1000+sim.Random.IntN(20000)) * time.Millisecond
			}
			return 0
		}
	}, func(sim *Simulation, downtime time.Duration) {
		for i := range 6 {
			sim.Restart(downtime, i%3)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
}

// TestQuickRestarts restarts controllers under the same name within a second, while the session leases of
// the previous processes have not expired and their late transactions are still being applied: one
// controller repeatedly, the leader, or the owner right after a commit is applied, also during an election
// or an outage of the state service. No rule may be broken, no attempt may be used twice, and shards may
// not keep changing owner.
func TestQuickRestarts(t *testing.T) {
	for round, downtime := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		for _, test := range restartCases {
			t.Run(fmt.Sprintf("%v/%s", downtime, test.name), func(t *testing.T) {
				var ownerChanges atomic.Int32
				runMixedLoad(t, 700+uint64(round), func(sim *Simulation) {
					sim.Settings.Deployment.Workers.CancelS = 36
					sim.ExchangePeerHeartbeats()
					previousCheck := sim.Store.AfterApply
					sim.Store.AfterApply = func(txn protocol.Txn) {
						previousCheck(txn)
						if slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return strings.Contains(c.Put, "/share/") }) {
							ownerChanges.Add(1)
						}
					}
					if test.setup != nil {
						test.setup(sim, downtime)
					}
				}, func(sim *Simulation) {
					time.Sleep(5 * time.Second)
					if test.fault != nil {
						test.fault(sim, downtime)
					}
					time.Sleep(20 * time.Second)
					if n := ownerChanges.Load(); n > 40 {
						t.Errorf("shards changed owner %d times, want at most 40", n)
					}
				}, nil)
			})
		}
	}
}

// TestAttemptCheckFindsReuse checks that the simulator's record check reports an attempt that returns to a
// machine group's record after it has left it. In the lists of attempts, 0 is a record without the task.
func TestAttemptCheckFindsReuse(t *testing.T) {
	for _, test := range []struct {
		attempts []uint64
		reused   bool
	}{{[]uint64{5, 5, 0, 6}, false}, {[]uint64{5, 0, 5}, true}, {[]uint64{5, 6, 5}, true}} {
		var a attemptHistory
		found := 0
		for _, attempt := range test.attempts {
			r := storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m"}}}
			if attempt > 0 {
				r.Machines[0].Tasks = []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{0, attempt, 0, 0}}}
			}
			found += len(a.note(protocol.Txn{Then: []protocol.Change{{Put: storage.GroupKey(1), Value: storage.EncodeGroup(&r, false)}}}))
		}
		if (found > 0) != test.reused {
			t.Errorf("attempts %v: %d reported as reused", test.attempts, found)
		}
	}
}
