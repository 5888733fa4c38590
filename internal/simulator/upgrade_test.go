package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// upgradeRun is one run of TestUpgrade.
type upgradeRun struct {
	seed     uint64
	gateOpen atomic.Bool // packed records may be written
	kills    atomic.Int32
}

// TestUpgrade upgrades the controllers one after another from the previous version to this one.
// Controllers end, one may restart as the previous version, and the leader may end at each step of the
// layout gate. After the gate has opened, the state service's limits are lowered without notice.
func TestUpgrade(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			u := &upgradeRun{seed: seed}
			lowered := false
			runMixedLoad(t, 300+seed, func(sim *Simulation) { u.prepare(t, sim) }, func(sim *Simulation) {
				u.rollOut(sim)
				u.awaitGate()
				sim.Store.LowerLimits(2<<10, 4, 56)
				lowered = true
				u.restartAll(sim)
			}, func(sim *Simulation) {
				if !u.gateOpen.Load() || !lowered {
					t.Error("the layout gate did not open")
				}
				if sim.Store.TooLargeTxns > 0 {
					t.Errorf("%d transactions were over the lowered size limits, want none", sim.Store.TooLargeTxns)
				}
			})
		})
	}
}

// restartController kills controller i if it runs, and starts it: there are never two processes of one
// name.
func restartController(sim *Simulation, i int) {
	if !sim.Controller(i).ended() {
		sim.Kill(i)
	}
	sim.Start(i)
}

// writesLayout reports whether a transaction writes the layout record.
func writesLayout(txn protocol.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return c.Put == storage.LayoutKey })
}

// prepare has all controllers start as the previous version, and installs the check of the layout gate.
func (u *upgradeRun) prepare(t *testing.T, sim *Simulation) {
	t.Helper()
	deployment := &sim.Settings.Deployment
	deployment.State.Next = &config.StateNext{WriteRPS: 56, ValueKB: 2, TxnOps: 4}
	sim.PreviousVersion = map[int]bool{0: true, 1: true, 2: true}
	sim.Store.LimitRates(deployment.State.RPS, deployment.State.WriteRPS)
	sim.Store.MaxValueBytes, sim.Store.MaxChanges = 32<<10, 12
	sim.LimitCloud(deployment.Cloud.RPS)
	previousCheck := sim.Store.AfterApply
	sim.Store.AfterApply = func(txn protocol.Txn) { // also sees transactions whose sender gets no answer
		previousCheck(txn)
		u.checkGate(t, sim, txn)
	}
	sim.AfterTransaction = func(i int, txn protocol.Txn) {
		if writesLayout(txn) && u.seed%3 == 1 && u.kills.Add(1) <= 3 {
			sim.Kill(i)
			go func() { time.Sleep(3 * time.Second); restartController(sim, i) }()
		}
	}
	if u.seed%4 == 3 {
		sim.LateTransactions = func(string, protocol.Txn) time.Duration {
			if sim.Random.IntN(10) == 0 {
				return time.Duration(500+sim.Random.IntN(9000)) * time.Millisecond
			}
			return 0
		}
	}
}

// checkGate checks a transaction that opens the layout gate: no controller of the previous version may be
// serving, and the barrier key in the transaction keeps one from becoming ready later.
func (u *upgradeRun) checkGate(t *testing.T, sim *Simulation, txn protocol.Txn) {
	t.Helper()
	var layout storage.LayoutRecord
	if !writesLayout(txn) || json.Unmarshal(txn.Then[0].Value, &layout) != nil || layout.Version < storage.LayoutPacked {
		return
	}
	u.gateOpen.Store(true)
	if len(txn.Then) != 2 || !strings.HasPrefix(txn.Then[1].Put, storage.Root+"machine/") {
		t.Error("the transaction that opens the layout gate writes no barrier key: the previous version would become ready on packed records")
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.PreviousVersion) > 0 {
		sim.addViolation("the layout gate opens while controllers of the previous version serve")
	}
}

// rollOut replaces the controllers one after another by this version.
func (u *upgradeRun) rollOut(sim *Simulation) {
	time.Sleep(time.Duration(2000+sim.Random.IntN(4000)) * time.Millisecond)
	if u.seed%2 == 1 { // ends before its turn and restarts as the previous version
		sim.Kill(2)
		time.Sleep(2 * time.Second)
		restartController(sim, 2)
	}
	for i := range 3 {
		sim.Kill(i)
		time.Sleep(time.Duration(1000+sim.Random.IntN(3000)) * time.Millisecond)
		sim.mu.Lock()
		delete(sim.PreviousVersion, i)
		sim.mu.Unlock()
		restartController(sim, i)
		time.Sleep(time.Duration(1000+sim.Random.IntN(5000)) * time.Millisecond)
	}
	time.Sleep(time.Duration(sim.Random.IntN(8000)) * time.Millisecond)
}

// awaitGate waits until the layout gate is open, for 100 s at most.
func (u *upgradeRun) awaitGate() {
	for range 1000 {
		if time.Sleep(100 * time.Millisecond); u.gateOpen.Load() {
			return
		}
	}
}

// restartAll restarts all controllers at once in some of the runs.
func (u *upgradeRun) restartAll(sim *Simulation) {
	if u.seed%5 != 0 {
		return
	}
	for i := range 3 {
		sim.Kill(i)
	}
	time.Sleep(2 * time.Second)
	for i := range 3 {
		restartController(sim, i)
	}
}
