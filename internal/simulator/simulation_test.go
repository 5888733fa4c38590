package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

func settings() *config.Settings {
	s := &config.Settings{MemberName: "n0", Zone: "a", PublicAddr: "10.0.0.1:1", PeerListen: "10.0.0.1:2"}
	s.Deployment = config.Deployment{Controllers: 3, Zones: []string{"a", "b", "c"},
		Teams:     []config.Team{{Name: "red", CpusMax: 40}, {Name: "blue", Cpus: 16}, {Name: "green"}, {Name: "grey"}},
		Workers:   config.Workers{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 12},
		State:     config.State{RPS: 500, WriteRPS: 200, ValueKB: 32, TxnOps: 12},
		Cloud:     config.Cloud{RPS: 10, ListLagS: 5},
		Resources: config.Resources{CPU: 1, MemMB: 100, MaxConnections: 500}}
	return s
}

// load submits a mixed load and returns its jobs.
func load(sim *Simulation) []*Job {
	var jobs []*Job
	wants := []JobSpec{
		{Team: "red", Tasks: 12, Cpus: 4, Run: 6 * time.Second},
		{Team: "blue", Tasks: 5, Cpus: 8, Run: 8 * time.Second, NoSpot: true, Urgency: "high"},
		{Team: "green", Tasks: 9, Cpus: 2, Run: 5 * time.Second, Scatter: true},
		{Team: "grey", Tasks: 4, Cpus: 4, Run: 7 * time.Second, Together: true, CheckpointS: 2},
		{Team: "red", Tasks: 3, Cpus: 4, Run: 60 * time.Second, CancelAfter: 9 * time.Second},
		{Team: "grey", Tasks: 2, Cpus: 4, Run: 50 * time.Second, CancelAfter: 200 * time.Millisecond},
		{Team: "blue", Tasks: 6, Cpus: 4, Run: 5 * time.Second, Zone: "b", Urgency: "low"},
		{Team: "green", Tasks: 8, Cpus: 4, Run: 6 * time.Second, Urgency: "production"},
	}
	for round := range 2 {
		first := len(jobs)
		for _, x := range wants {
			jobs = append(jobs, sim.User(x))
			time.Sleep(time.Duration(sim.Random.IntN(1500)) * time.Millisecond)
		}
		// A pipeline over teams and shards with a diamond, one that hangs on a cancelled job,
		// and a last job that comes when the others are over.
		a := sim.User(JobSpec{Team: "green", Tasks: 3, Cpus: 2, Run: 3 * time.Second, Urgency: "low", Dependencies: jobs[first+2 : first+3]})
		b := sim.User(JobSpec{Team: "red", Tasks: 4, Cpus: 1, Run: 4 * time.Second, Urgency: "low", Dependencies: []*Job{a}})
		c := sim.User(JobSpec{Team: "grey", Tasks: 2, Cpus: 2, Run: 2 * time.Second, NoSpot: true, CheckpointS: 2, Dependencies: []*Job{a}})
		d := sim.User(JobSpec{Team: "green", Tasks: 2, Cpus: 1, Run: 2 * time.Second, Urgency: "high", Due: 60, Dependencies: []*Job{b, c}})
		x := sim.User(JobSpec{Team: "blue", Tasks: 2, Cpus: 1, Run: 2 * time.Second, Dependencies: []*Job{b, jobs[first+4]}})
		y := sim.User(JobSpec{Team: "grey", Tasks: 2, Cpus: 1, Run: 2 * time.Second, Urgency: "high", Dependencies: []*Job{x, d}})
		z := sim.User(JobSpec{Team: "red", Tasks: 3, Cpus: 1, Run: 3 * time.Second, CancelAfter: time.Duration(2+9*round) * time.Second, Dependencies: []*Job{a}})
		late := sim.User(JobSpec{Team: "blue", Tasks: 2, Cpus: 1, Run: 2 * time.Second, Dependencies: []*Job{z, jobs[first+5]}})
		jobs = append(jobs, a, b, c, d, x, y, z, late)
	}
	return jobs
}

// awaitAll waits until all users were told that their jobs are over.
func (w *Simulation) awaitAll(t *testing.T, jobs []*Job, seconds int) {
	t.Helper()
	isOpen := func(j *Job) bool { return !w.Told(j).Final() }
	for range seconds {
		time.Sleep(time.Second)
		if !slices.ContainsFunc(jobs, isOpen) {
			return
		}
	}
	for _, j := range jobs {
		if isOpen(j) {
			shares, _ := w.Controller(0).Core.ShardViews(w.ctx)
			t.Errorf("%s of %s is still %q after %v, %d tasks on machines; shares %+v", j.ID, j.Team, w.Told(j), time.Since(w.StartTime), w.On(j), shares)
			for _, m := range w.Machines() {
				t.Logf("%s in %s, spot %v: %d tasks", m.Name, m.Zone, m.Spot, len(m.tasks))
			}
		}
	}
}

// TestSimulation plays a deployment through faults and checks every rule of the protocol.
func TestSimulation(t *testing.T) {
	launches := func(x protocol.Txn) bool {
		for _, c := range x.Then {
			if _, ok := storage.GroupOf(c.Put); ok {
				r, _ := storage.DecodeGroup(c.Value)
				if slices.ContainsFunc(r.Machines, func(m storage.GroupMachine) bool { return len(m.Tasks) > 0 }) {
					return true
				}
			}
		}
		return false
	}
	evicts := func(x protocol.Txn) bool {
		for _, c := range x.Then {
			if strings.Contains(c.Put, "/evict/") {
				return true
			}
		}
		return false
	}
	// killAfter kills a controller the moment that such a transaction of its own was
	// applied, four times in all, and starts it anew 4 s later.
	killAfter := func(w *Simulation, such func(protocol.Txn) bool) {
		var kills atomic.Int32
		w.After = func(i int, x protocol.Txn) {
			if such(x) && kills.Add(1) <= 4 {
				w.Kill(i)
				go func() {
					time.Sleep(4 * time.Second)
					w.Start(i)
				}()
			}
		}
	}
	cases := []struct {
		name  string
		setup func(sim *Simulation)
		fault func(simulation *Simulation)
	}{
		{name: "quiet"},
		{name: "a node is killed and comes back", fault: func(w *Simulation) {
			for i := range 3 {
				time.Sleep(6 * time.Second)
				w.Kill(i)
				time.Sleep(4 * time.Second)
				w.Start(i)
			}
		}},
		{name: "all nodes are killed", fault: func(w *Simulation) {
			time.Sleep(8 * time.Second)
			for i := range 3 {
				w.Kill(i)
			}
			time.Sleep(5 * time.Second)
			for i := range 3 {
				w.Start(i)
			}
		}},
		{name: "one node alone serves", fault: func(w *Simulation) {
			time.Sleep(5 * time.Second)
			w.Kill(1)
			w.Kill(2)
		}},
		{name: "an outage of the state service", fault: func(w *Simulation) {
			time.Sleep(7 * time.Second)
			w.Store.SetDown(true)
			time.Sleep(20 * time.Second)
			w.Store.SetDown(false)
		}},
		{name: "an outage while all nodes restart", fault: func(w *Simulation) {
			time.Sleep(7 * time.Second)
			w.Store.SetDown(true)
			for i := range 3 {
				w.Kill(i)
			}
			time.Sleep(3 * time.Second)
			for i := range 3 {
				w.Start(i)
			}
			time.Sleep(9 * time.Second)
			w.Store.SetDown(false)
		}},
		{name: "one node alone is refused by the state service", fault: func(w *Simulation) {
			time.Sleep(6 * time.Second)
			w.Store.Deny("n0", true)
			time.Sleep(25 * time.Second)
			w.Store.Deny("n0", false)
		}},
		{name: "a node is cut off and comes back", fault: func(w *Simulation) {
			time.Sleep(6 * time.Second)
			w.Controller(0).Cut(AllCut)
			time.Sleep(20 * time.Second)
			w.Controller(0).Cut(0)
		}},
		{name: "a node reaches the state service but nothing else", fault: func(w *Simulation) {
			time.Sleep(6 * time.Second)
			w.Controller(0).Cut(NoWorkers | NoUsers | NoCloud)
			time.Sleep(40 * time.Second)
			w.Controller(0).Cut(0)
		}},
		// A new owner that learnt of its shard from its own commit had not yet seen
		// what the former owner committed just before, and placed tasks twice.
		{name: "peers are taken for dead while nodes follow slowly", setup: func(w *Simulation) {
			w.Store.Lag = func(string) time.Duration { return time.Duration(w.Random.IntN(1200)) * time.Millisecond }
			go func() {
				for i := range 500 {
					w.User(JobSpec{Team: []string{"red", "blue", "green", "grey"}[i%4], Tasks: 1, Cpus: 1, Run: 2 * time.Second})
					time.Sleep(80 * time.Millisecond)
				}
			}()
		}, fault: func(simulatorSimulation *Simulation) {
			for i := range 12 {
				time.Sleep(3 * time.Second)
				gone := simulatorSimulation.Controller(i % 3)
				for k := range 3 {
					if n := simulatorSimulation.Controller(k); n != gone {
						n.Core.PeerDisconnected(gone.Name)
					}
				}
				time.Sleep(2500 * time.Millisecond)
				for k := range 3 {
					simulatorSimulation.Controller(k).Core.ReceivePeerHeartbeat(gone.Name, protocol.PeerHeartbeat{StateOK: true})
				}
			}
		}},
		{name: "transactions are applied late", setup: func(w *Simulation) {
			w.Late = func(_ string, x protocol.Txn) time.Duration {
				if launches(x) && w.Random.IntN(6) == 0 {
					return time.Duration(500+w.Random.IntN(6000)) * time.Millisecond
				}
				return 0
			}
		}},
		{name: "transactions are applied late and nodes are killed", setup: func(w *Simulation) {
			w.Late = func(_ string, x protocol.Txn) time.Duration {
				if w.Random.IntN(8) == 0 {
					return time.Duration(500+w.Random.IntN(9000)) * time.Millisecond
				}
				return 0
			}
		}, fault: func(w *Simulation) {
			for i := range 6 {
				time.Sleep(5 * time.Second)
				w.Kill(i % 3)
				time.Sleep(2 * time.Second)
				w.Start(i % 3)
			}
		}},
		{name: "nodes are killed between record and launch", setup: func(w *Simulation) { killAfter(w, launches) }},
		{name: "nodes are killed between the evicted set and the stops", setup: func(w *Simulation) { killAfter(w, evicts) }},
		{name: "rentals are carried out late", setup: func(w *Simulation) {
			w.LateScaleOuts = func() time.Duration { return time.Duration(w.Random.IntN(3)*w.Random.IntN(20000)) * time.Millisecond }
		}},
		{name: "direct commands arrive late", setup: func(w *Simulation) {
			w.LateCommands = func(string, protocol.DirectCommands) time.Duration {
				if w.Random.IntN(2) == 0 {
					return time.Duration(2000+w.Random.IntN(20000)) * time.Millisecond
				}
				return 0
			}
		}},
		{name: "reports arrive late", setup: func(w *Simulation) {
			w.LateHeartbeats = func(string) time.Duration {
				if w.Random.IntN(12) == 0 {
					return time.Duration(2000+w.Random.IntN(15000)) * time.Millisecond
				}
				return 0
			}
		}},
		{name: "a worker hangs and resumes", fault: func(w *Simulation) {
			time.Sleep(6 * time.Second)
			for _, m := range w.Machines()[:2] {
				w.Set(m, HangingMachine(true))
				time.Sleep(4 * time.Second)
				w.Set(m, HangingMachine(false))
			}
			m := w.Machines()[0]
			w.Set(m, HangingMachine(true))
			time.Sleep(20 * time.Second)
			w.Set(m, HangingMachine(false))
		}},
		{name: "a worker loses its session", fault: func(w *Simulation) {
			time.Sleep(6 * time.Second)
			m := w.Machines()[0]
			w.Set(m, CutOff(true))
			time.Sleep(13 * time.Second)
			w.Set(m, CutOff(false))
		}},
		{name: "machines die, are taken and fail their tasks", fault: func(w *Simulation) {
			time.Sleep(6 * time.Second)
			ms := w.Machines()
			w.Die(ms[0])
			w.Set(ms[1], UnhealthyMachine(true))
			w.Set(ms[2], PreemptionNotice(8*time.Second))
		}},
		{name: "a job fails everywhere", setup: func(w *Simulation) {
			w.User(JobSpec{Team: "blue", Tasks: 6, Cpus: 4, Run: 5 * time.Second, Broken: true, Urgency: "high"})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			playDay(t, 5, c.setup, c.fault, func(w *Simulation) {
				if w.After != nil && w.KillCount.Load() == 0 {
					t.Error("no such transaction came, nothing was killed")
				}
			})
		})
	}
}

// playDay plays a mixed load through a fault, and checks every rule.
func playDay(t *testing.T, seed uint64, setup, fault, check func(sim *Simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		simulation := NewSimulation(ctx, settings(), seed)
		if setup != nil {
			setup(simulation)
		}
		for i := range 3 {
			simulation.Start(i)
		}
		for _, z := range simulation.Settings.Deployment.Zones {
			simulation.AddMachine(z, false)
		}
		simulation.AddMachine("a", true)
		time.Sleep(3 * time.Second)
		over := make(chan struct{})
		go func() {
			defer close(over)
			if fault != nil {
				fault(simulation)
			}
		}()
		jobs := load(simulation)
		simulation.awaitAll(t, jobs, 300)
		<-over
		time.Sleep(35 * time.Second) // cancelled tasks must be gone by now
		for _, b := range simulation.BrokenRules() {
			t.Error(b)
		}
		if simulation.Started == 0 {
			t.Error("no task was started")
		}
		if check != nil {
			check(simulation)
		}
		t.Logf("done after %v, %d starts, %d writes", time.Since(simulation.StartTime), simulation.Started, simulation.Store.Writes)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestUpgrade rolls the controllers from the version before to this one, through crashes, a controller
// that comes back old and the leader's end at every step of the gate, and lowers the state
// service's limits at some time afterwards without notice.
func TestUpgrade(t *testing.T) {
	// There are never two processes of one name.
	again := func(w *Simulation, i int) {
		if !w.Controller(i).ended() {
			w.Kill(i)
		}
		w.Start(i)
	}
	isGate := func(x protocol.Txn) bool {
		return slices.ContainsFunc(x.Then, func(c protocol.Change) bool { return c.Put == storage.LayoutKey })
	}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var gate, lowered atomic.Bool
			playDay(t, 300+seed, func(sim *Simulation) {
				sim.Settings.Deployment.State.Next = &config.StateNext{WriteRPS: 56, ValueKB: 2, TxnOps: 4}
				sim.Old = map[int]bool{0: true, 1: true, 2: true}
				sim.Store.Limit(sim.Settings.Deployment.State.RPS, sim.Settings.Deployment.State.WriteRPS)
				sim.Store.MaxValue, sim.Store.MaxOps = 32<<10, 12
				sim.cloudRate = bucket{rate: sim.Settings.Deployment.Cloud.RPS, burst: 2 * sim.Settings.Deployment.Cloud.RPS}
				var kills atomic.Int32
				records := sim.Store.Check
				sim.Store.Check = func(txn protocol.Txn) { // whoever learns of it
					records(txn)
					var l storage.LayoutRecord
					if isGate(txn) && json.Unmarshal(txn.Then[0].Value, &l) == nil && l.Version >= storage.LayoutPacked {
						gate.Store(true)
						if len(txn.Then) != 2 || !strings.HasPrefix(txn.Then[1].Put, storage.Root+"machine/") {
							t.Error("the version before would become ready on packed records")
						}
						sim.mu.Lock()
						if len(sim.Old) > 0 {
							sim.violation("the gate opens while old nodes serve")
						}
						sim.mu.Unlock()
					}
				}
				sim.After = func(i int, x protocol.Txn) {
					if !isGate(x) {
						return
					}
					if seed%3 == 1 && kills.Add(1) <= 3 {
						sim.Kill(i)
						go func() { time.Sleep(3 * time.Second); again(sim, i) }()
					}
				}
				if seed%4 == 3 {
					sim.Late = func(string, protocol.Txn) time.Duration {
						if sim.Random.IntN(10) == 0 {
							return time.Duration(500+sim.Random.IntN(9000)) * time.Millisecond
						}
						return 0
					}
				}
			}, func(simulation *Simulation) {
				time.Sleep(time.Duration(2000+simulation.Random.IntN(4000)) * time.Millisecond)
				if seed%2 == 1 { // dies before its turn and comes back old
					simulation.Kill(2)
					time.Sleep(2 * time.Second)
					again(simulation, 2)
				}
				for i := range 3 {
					simulation.Kill(i)
					time.Sleep(time.Duration(1000+simulation.Random.IntN(3000)) * time.Millisecond)
					simulation.mu.Lock()
					delete(simulation.Old, i)
					simulation.mu.Unlock()
					again(simulation, i)
					time.Sleep(time.Duration(1000+simulation.Random.IntN(5000)) * time.Millisecond)
				}
				time.Sleep(time.Duration(simulation.Random.IntN(8000)) * time.Millisecond)
				for range 1000 {
					if time.Sleep(100 * time.Millisecond); gate.Load() {
						break
					}
				}
				simulation.Store.Shrink(2<<10, 4, 56)
				lowered.Store(true)
				if seed%5 == 0 {
					for i := range 3 {
						simulation.Kill(i)
					}
					time.Sleep(2 * time.Second)
					for i := range 3 {
						again(simulation, i)
					}
				}
			}, func(w *Simulation) {
				if !gate.Load() || !lowered.Load() {
					t.Error("the gate did not open")
				}
				if w.Store.TooLarge > 0 {
					t.Errorf("%d transactions were over the lower limits", w.Store.TooLarge)
				}
			})
		})
	}
}

// TestSettingsSpread: a change is taken up by all controllers, and by one that starts later.
func TestSettingsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := NewSimulation(ctx, settings(), 5)
		sim.Start(0)
		sim.Start(1)
		time.Sleep(2 * time.Second)
		_, v, err := sim.Controller(0).Core.Settings(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err = sim.Controller(0).Core.ChangeSettings(ctx, v, []byte(`{"alpha":0.7}`)); err != nil {
			t.Fatal(err)
		}
		if _, _, err = sim.Controller(1).Core.ChangeSettings(ctx, v, []byte(`{"alpha":0.9}`)); !errors.Is(err, controller.ErrVersion) {
			t.Fatalf("a change of an old version: %v", err)
		}
		sim.Start(2)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			if s, _, err := sim.Controller(i).Core.Settings(ctx); err != nil || s.Alpha != 0.7 {
				t.Errorf("node %d: %+v, %v", i, s, err)
			}
		}
		sim.Store.SetDown(true)
		short, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		if _, _, err := sim.Controller(0).Core.ChangeSettings(short, 1, []byte(`{"alpha":0.1}`)); !errors.Is(err, controller.ErrUnavailable) {
			t.Errorf("in an outage: %v", err)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
