package simulator

import (
	"sync/atomic"
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

// beginOutageAtTokenRaise submits jobs with short and long tasks until a transaction raises the fencing token of a machine. The state service
// goes down before any other controller reads it. It returns the index of the controller that committed it.
func (sim *Simulation) beginOutageAtTokenRaise(t *testing.T) int {
	t.Helper()
	var owner atomic.Int32
	owner.Store(-1)
	tokens := map[string]uint64{} // by machine, as last committed
	sim.AfterTransaction = func(i int, txn protocol.Txn) {
		for _, change := range txn.Then {
			if _, ok := storage.GroupOf(change.Put); ok && owner.Load() < 0 && raisesToken(tokens, change.Value) {
				owner.Store(int32(i))
				sim.Store.SetDown(true)
			}
		}
	}
	runTimes := []time.Duration{200 * time.Millisecond, time.Hour, time.Hour}
	for i := range 120 {
		sim.StartUser(JobSpec{Team: sim.Settings.Deployment.Teams[i%4].Name, Tasks: len(runTimes), Cpus: 0.1, RunTime: time.Hour, TaskRunTimes: runTimes})
		if time.Sleep(sim.randomDuration(300*time.Millisecond, 1100*time.Millisecond)); owner.Load() >= 0 {
			break
		}
	}
	sim.AfterTransaction = nil
	if owner.Load() < 0 {
		t.Fatal("no transaction raised a fencing token: the case checks nothing")
	}
	return int(owner.Load())
}

// raisesToken reports whether a group's record raises the fencing token of a machine that tokens has, and notes the
// record's tokens.
func raisesToken(tokens map[string]uint64, value []byte) (raised bool) {
	record, err := storage.DecodeGroup(value)
	if err != nil {
		return false
	}
	for _, machine := range record.Machines {
		before, known := tokens[machine.Name]
		raised = raised || known && machine.FencingToken > before
		tokens[machine.Name] = machine.FencingToken
	}
	return raised
}
