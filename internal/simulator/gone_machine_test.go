package simulator

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// isRecorded reports whether a fleet record lists a machine.
func (sim *Simulation) isRecorded(name string) bool {
	sim.Store.mu.Lock()
	defer sim.Store.mu.Unlock()
	for _, item := range sim.Store.page(storage.FleetKey(""), "", 1000).Items {
		fleet, err := storage.DecodeFleet(item.Value)
		if err == nil && slices.ContainsFunc(fleet.Machines, func(m storage.FleetMachine) bool { return m.Name == name }) {
			return true
		}
	}
	return false
}

// A heartbeat of a machine that was gone, delivered to a leader that had never read its record, made the leader record
// it again: it counted as a machine, and tasks were placed on it, until it was found silent.
func TestLateHeartbeatOfGoneMachineIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		sim := NewSimulation(ctx, testSettings(), 7)
		eachController(sim.Start)
		sim.ExchangePeerHeartbeats()
		gone := sim.AddMachine("a", false)
		for range 100 {
			if time.Sleep(100 * time.Millisecond); sim.isRecorded(gone.Name) {
				break
			}
		}
		if !sim.isRecorded(gone.Name) {
			t.Fatal("the machine was never recorded: the test checks nothing")
		}
		sim.mu.Lock()
		late := gone.nextHeartbeat()
		sim.mu.Unlock()
		sim.FailMachine(gone)
		for range 120 {
			if time.Sleep(time.Second); !sim.isRecorded(gone.Name) {
				break
			}
		}
		if sim.isRecorded(gone.Name) {
			t.Fatal("the machine is still recorded 120 s after its end")
		}
		sim.Restart(time.Second, 0, 1, 2)
		time.Sleep(5 * time.Second)
		eachController(func(i int) { sim.Controller(i).handleHeartbeat(ctx, late, func(int, any) {}) })
		for range 30 {
			if time.Sleep(time.Second); sim.isRecorded(gone.Name) {
				t.Fatal("the machine is recorded again")
			}
		}
	})
}

// Guards against a duplicate of the transaction that enrolled a machine: the leader's record and the absence of the fleet's
// key, its conditions, hold again once the machine is gone.
func TestDuplicateEnrollmentOfGoneMachineIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := NewSimulation(simulationContext(t), testSettings(), 7)
		var watched atomic.Pointer[Machine]
		var enrollment atomic.Pointer[protocol.Txn]
		sim.AfterTransaction = func(_ int, txn protocol.Txn) {
			machine := watched.Load()
			if machine != nil && slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return c.Put == storage.FleetKey(machine.Name) }) {
				enrollment.CompareAndSwap(nil, &txn)
			}
		}
		eachController(sim.Start)
		sim.ExchangePeerHeartbeats()
		for range 6 { // every shard has a group with room
			sim.AddMachine("a", false)
			time.Sleep(2 * time.Second)
		}
		gone := sim.AddMachine("a", false)
		watched.Store(gone)
		time.Sleep(5 * time.Second)
		if enrollment.Load() == nil {
			t.Fatal("the machine was never recorded: the test checks nothing")
		}
		sim.FailMachine(gone)
		for range 120 {
			if time.Sleep(time.Second); !sim.isRecorded(gone.Name) {
				break
			}
		}
		sim.Store.mu.Lock()
		_, _, err := sim.Store.apply(*enrollment.Load())
		sim.Store.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		if sim.isRecorded(gone.Name) {
			t.Error("the machine is recorded again")
		}
		time.Sleep(2 * time.Minute)
		if sim.isRecorded(gone.Name) {
			t.Error("the machine is still recorded after two minutes")
		}
	})
}
