package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestLeasesSurviveTokenRaisedAsOutageBegins guards against leases that expire because an owner raised a machine's fencing
// token as an outage began and then ended: the other controllers know only the lower token.
func TestLeasesSurviveTokenRaisedAsOutageBegins(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			c := isolationCase{workers: config.Workers{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 40}}
			sim, _ := c.begin(simulationContext(t), seed)
			time.Sleep(20 * time.Second)
			owner := sim.beginOutageAtTokenRaise(t)
			time.Sleep(2 * time.Second)
			before := sim.Stats().LeaseKills
			sim.Kill(owner)
			time.Sleep(20 * time.Second)
			if kills := sim.Stats().LeaseKills - before; kills > 0 {
				t.Errorf("seed %d: %d tasks were killed by expired leases, want none", seed, kills)
			}
			sim.Store.SetDown(false)
			time.Sleep(30 * time.Second)
			for _, rule := range sim.BrokenRules() {
				t.Error(rule)
			}
		})
	}
}

// beginOutageAtTokenRaise submits jobs with short and long tasks until a transaction raises the fencing token of a machine.
// The state service goes down before any controller reads it. It returns the index of the controller that committed it.
func (sim *Simulation) beginOutageAtTokenRaise(t *testing.T) int {
	t.Helper()
	store := sim.Store
	raisedIn := noShard           // shard of the machine, guarded by the store's mutex
	tokens := map[string]uint64{} // by machine, as last committed
	store.mu.Lock()
	previousCheck := store.AfterApply
	store.AfterApply = func(txn protocol.Txn) {
		previousCheck(txn)
		if raisedIn == noShard {
			raisedIn = shardOfRaisedToken(tokens, txn)
			store.down = raisedIn != noShard
		}
	}
	store.mu.Unlock()
	runTimes := []time.Duration{200 * time.Millisecond, time.Hour, time.Hour}
	for i := range 120 {
		sim.StartUser(JobSpec{Team: sim.Settings.Deployment.Teams[i%4].Name, Tasks: len(runTimes), Cpus: 0.1, RunTime: time.Hour, TaskRunTimes: runTimes})
		time.Sleep(sim.randomDuration(300*time.Millisecond, 1100*time.Millisecond))
		store.mu.Lock()
		shard := raisedIn
		store.mu.Unlock()
		if shard != noShard {
			return sim.ShardOwner(shard)
		}
	}
	t.Fatal("no transaction raised a fencing token: the case checks nothing")
	return -1
}

// noShard stands for no shard.
const noShard = -1

// shardOfRaisedToken returns the shard of a machine whose fencing token a transaction raises above the one in tokens, or
// noShard. It notes the tokens that the transaction writes.
func shardOfRaisedToken(tokens map[string]uint64, txn protocol.Txn) int {
	shard := noShard
	for _, change := range txn.Then {
		if _, ok := storage.GroupOf(change.Put); !ok {
			continue
		}
		record, err := storage.DecodeGroup(change.Value)
		if err != nil {
			continue
		}
		for _, machine := range record.Machines {
			if before, known := tokens[machine.Name]; known && machine.FencingToken > before {
				shard = record.Shard
			}
			tokens[machine.Name] = machine.FencingToken
		}
	}
	return shard
}
