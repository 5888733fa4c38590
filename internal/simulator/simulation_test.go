package simulator

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
)

// testSettings returns the settings of a deployment with three controllers, three zones and four teams.
func testSettings() *config.Settings {
	s := &config.Settings{MemberName: "n0", Zone: "a", PublicAddr: "10.0.0.1:1", PeerListen: "10.0.0.1:2"}
	s.Deployment = config.Deployment{Controllers: 3, Zones: []string{"a", "b", "c"},
		Teams:     []config.Team{{Name: "red", CpusMax: 40}, {Name: "blue", Cpus: 16}, {Name: "green"}, {Name: "grey"}},
		Workers:   config.Workers{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 12},
		State:     config.State{RPS: 500, WriteRPS: 200, ValueKB: 32, TxnOps: 12},
		Cloud:     config.Cloud{RPS: 10, ListLagS: 5},
		Resources: config.Resources{CPU: 1, MemMB: 100, MaxConnections: 500}}
	return s
}

// simulationContext returns a context for a simulation that ends with the test. What was started with it
// then has a minute of virtual time to end before the test's synctest bubble does.
func simulationContext(t *testing.T) context.Context {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return t.Context()
}

// eachController calls f for each of the three controllers.
func eachController(f func(i int)) {
	for i := range 3 {
		f(i)
	}
}

// submitMixedLoad submits jobs of different shapes and urgencies, with and without dependencies, and
// returns them.
func submitMixedLoad(sim *Simulation) []*Job {
	var jobs []*Job
	specs := []JobSpec{
		{Team: "red", Tasks: 12, Cpus: 4, RunTime: 6 * time.Second},
		{Team: "blue", Tasks: 5, Cpus: 8, RunTime: 8 * time.Second, NoSpot: true, Urgency: "high"},
		{Team: "green", Tasks: 9, Cpus: 2, RunTime: 5 * time.Second, Scatter: true},
		{Team: "grey", Tasks: 4, Cpus: 4, RunTime: 7 * time.Second, Together: true, CheckpointS: 2},
		{Team: "red", Tasks: 3, Cpus: 4, RunTime: 60 * time.Second, CancelAfter: 9 * time.Second},
		{Team: "grey", Tasks: 2, Cpus: 4, RunTime: 50 * time.Second, CancelAfter: 200 * time.Millisecond},
		{Team: "blue", Tasks: 6, Cpus: 4, RunTime: 5 * time.Second, Zone: "b", Urgency: "low"},
		{Team: "green", Tasks: 8, Cpus: 4, RunTime: 6 * time.Second, Urgency: "production"},
	}
	for round := range 2 {
		first := len(jobs)
		for _, spec := range specs {
			jobs = append(jobs, sim.StartUser(spec))
			time.Sleep(time.Duration(sim.Random.IntN(1500)) * time.Millisecond)
		}
		// Jobs that depend on one another across teams and shards: a diamond, one that needs a cancelled
		// job, and a last job that becomes ready after the others.
		root := sim.StartUser(JobSpec{Team: "green", Tasks: 3, Cpus: 2, RunTime: 3 * time.Second, Urgency: "low", Dependencies: jobs[first+2 : first+3]})
		left := sim.StartUser(JobSpec{Team: "red", Tasks: 4, Cpus: 1, RunTime: 4 * time.Second, Urgency: "low", Dependencies: []*Job{root}})
		right := sim.StartUser(JobSpec{Team: "grey", Tasks: 2, Cpus: 2, RunTime: 2 * time.Second, NoSpot: true, CheckpointS: 2, Dependencies: []*Job{root}})
		joined := sim.StartUser(JobSpec{Team: "green", Tasks: 2, Cpus: 1, RunTime: 2 * time.Second, Urgency: "high", DueS: 60, Dependencies: []*Job{left, right}})
		needsCancelled := sim.StartUser(JobSpec{Team: "blue", Tasks: 2, Cpus: 1, RunTime: 2 * time.Second, Dependencies: []*Job{left, jobs[first+4]}})
		last := sim.StartUser(JobSpec{Team: "grey", Tasks: 2, Cpus: 1, RunTime: 2 * time.Second, Urgency: "high", Dependencies: []*Job{needsCancelled, joined}})
		cancelled := sim.StartUser(JobSpec{Team: "red", Tasks: 3, Cpus: 1, RunTime: 3 * time.Second, CancelAfter: time.Duration(2+9*round) * time.Second, Dependencies: []*Job{root}})
		needsTwoCancelled := sim.StartUser(JobSpec{Team: "blue", Tasks: 2, Cpus: 1, RunTime: 2 * time.Second, Dependencies: []*Job{cancelled, jobs[first+5]}})
		jobs = append(jobs, root, left, right, joined, needsCancelled, last, cancelled, needsTwoCancelled)
	}
	return jobs
}

// awaitAll waits until the users of all jobs have received a final status.
func (sim *Simulation) awaitAll(t *testing.T, jobs []*Job, timeoutSeconds int) {
	t.Helper()
	isOpen := func(j *Job) bool { return !sim.ReportedStatus(j).Final() }
	for range timeoutSeconds {
		time.Sleep(time.Second)
		if !slices.ContainsFunc(jobs, isOpen) {
			return
		}
	}
	for _, j := range jobs {
		if isOpen(j) {
			shards, _ := sim.Controller(0).Core.ShardViews(sim.ctx)
			t.Errorf("%s of team %s is still %q after %v, with %d tasks on machines; shards %+v", j.ID, j.Team, sim.ReportedStatus(j), time.Since(sim.StartTime), sim.RunningTasksOf(j), shards)
			for _, m := range sim.Machines() {
				t.Logf("%s in %s, spot %v: %d tasks", m.Name, m.Zone, m.Spot, len(m.tasks))
			}
		}
	}
}

// TestSimulation runs a deployment through the simulationCases and checks every rule of the protocol.
func TestSimulation(t *testing.T) {
	for _, c := range simulationCases {
		t.Run(c.name, func(t *testing.T) {
			runMixedLoad(t, 5, c.setup, c.fault, func(sim *Simulation) {
				if sim.AfterTransaction != nil && sim.KillCount.Load() == 0 {
					t.Error("no transaction matched, so no controller was killed or stalled: the case checks nothing")
				}
			})
		})
	}
}

// runMixedLoad runs a mixed load during a fault and checks every rule. setup is called before the
// controllers start, fault while the jobs are submitted, and check at the end; each may be nil.
func runMixedLoad(t *testing.T, seed uint64, setup, fault, check func(sim *Simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		sim := NewSimulation(ctx, testSettings(), seed)
		if setup != nil {
			setup(sim)
		}
		for i := range 3 {
			sim.Start(i)
		}
		for _, z := range sim.Settings.Deployment.Zones {
			sim.AddMachine(z, false)
		}
		sim.AddMachine("a", true)
		time.Sleep(3 * time.Second)
		faultDone := make(chan struct{})
		go func() {
			defer close(faultDone)
			if fault != nil {
				fault(sim)
			}
		}()
		jobs := submitMixedLoad(sim)
		sim.awaitAll(t, jobs, 300)
		<-faultDone
		time.Sleep(35 * time.Second) // cancelled tasks must be gone by now
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
		if sim.Started == 0 {
			t.Error("no task was started")
		}
		if check != nil {
			check(sim)
		}
		t.Logf("done after %v, %d task starts, %d writes", time.Since(sim.StartTime), sim.Started, sim.Store.Writes)
	})
}

// TestSettingsPropagate checks that a change of the operators' settings reaches all controllers, also one
// that starts later, and that a change is refused with an old version or in an outage of the state
// service.
func TestSettingsPropagate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		sim := NewSimulation(ctx, testSettings(), 5)
		sim.Start(0)
		sim.Start(1)
		time.Sleep(2 * time.Second)
		_, version, err := sim.Controller(0).Core.Settings(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err = sim.Controller(0).Core.ChangeSettings(ctx, version, []byte(`{"alpha":0.7}`)); err != nil {
			t.Fatal(err)
		}
		if _, _, err = sim.Controller(1).Core.ChangeSettings(ctx, version, []byte(`{"alpha":0.9}`)); !errors.Is(err, controller.ErrVersionConflict) {
			t.Fatalf("change with an old version: error %v, want ErrVersionConflict", err)
		}
		sim.Start(2)
		time.Sleep(2 * time.Second)
		for i := range 3 {
			if s, _, err := sim.Controller(i).Core.Settings(ctx); err != nil || s.Alpha != 0.7 {
				t.Errorf("controller %d: settings %+v, error %v; want alpha 0.7", i, s, err)
			}
		}
		sim.Store.SetDown(true)
		shortCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		if _, _, err := sim.Controller(0).Core.ChangeSettings(shortCtx, 1, []byte(`{"alpha":0.1}`)); !errors.Is(err, controller.ErrStoreUnavailable) {
			t.Errorf("change during an outage: error %v, want ErrStoreUnavailable", err)
		}
	})
}
