package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
)

// TestLargeSimulation runs hundreds of machines and thousands of tasks against a state service and a cloud
// that refuse requests over their rate limits. Meanwhile many machines die at once, the shards of an ended
// controller are taken over, and all controllers restart. With one record per machine, a finished task
// took 2 writes, more than the state service allows at this size.
func TestLargeSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const controllers, initialMachines, rentableMachines = 5, 120, 260
		ctx := simulationContext(t)
		cfg := testSettings()
		cfg.Deployment.Controllers = controllers
		cfg.Deployment.Teams = []config.Team{{Name: "red"}, {Name: "blue", Cpus: 200}, {Name: "green"}, {Name: "grey", CpusMax: 1200}, {Name: "teal"}}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 30, GangPeerS: 4, CancelS: 36}
		cfg.Deployment.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 12}
		sim := NewSimulation(ctx, cfg, 3)
		sim.Capacity = rentableMachines
		sim.Store.LimitRates(cfg.Deployment.State.RPS, cfg.Deployment.State.WriteRPS)
		sim.LimitCloud(cfg.Deployment.Cloud.RPS)
		for i := range controllers {
			sim.Start(i)
		}
		for i := range initialMachines {
			sim.AddMachine(cfg.Deployment.Zones[i%3], false)
		}
		jobs, tasks := sim.submitLargeLoad()
		sim.awaitAll(t, jobs, 120)
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
		t.Logf("%d tasks, %d task starts, %d writes, %d requests, %d over the rate limit, %v", tasks, sim.Started, sim.Store.Writes, sim.Store.Requests, sim.Store.OverRate, time.Since(sim.StartTime))
		if writesPerTask := float64(sim.Store.Writes) / float64(tasks); writesPerTask > 1 {
			t.Errorf("%.2f writes per task, want at most 1", writesPerTask)
		}
		if overRate := float64(sim.Store.OverRate) / float64(sim.Store.Requests); overRate > 0.02 {
			t.Errorf("%.3f of the requests to the state service were over its rate limit, want at most 0.02", overRate)
		}
		t.Logf("%d requests to the cloud, %d over its rate limit", sim.CloudRequests, sim.CloudOverRate)
		if sim.CloudRequests == 0 || sim.CloudOverRate*20 > sim.CloudRequests {
			t.Errorf("%d of %d requests to the cloud were over its rate limit, want some requests and at most 5 %% over", sim.CloudOverRate, sim.CloudRequests)
		}
	})
}

// submitLargeLoad submits 110 jobs. Meanwhile an eighth of the machines die, one controller is down for 6
// s so that its shards are taken over, and all controllers restart. It returns the jobs and the number of
// their tasks.
func (sim *Simulation) submitLargeLoad() (jobs []*Job, tasks int) {
	deployment := &sim.Settings.Deployment
	for i := range 110 {
		jobSpec := JobSpec{Team: deployment.Teams[i%5].Name, Tasks: 20 + sim.Random.IntN(50), Cpus: 4, RunTime: time.Duration(8+sim.Random.IntN(10)) * time.Second}
		switch {
		case i%9 == 0:
			jobSpec.Urgency, jobSpec.Cpus, jobSpec.NoSpot = "high", 2, true
		case i%14 == 0:
			jobSpec.CancelAfter = 10 * time.Second
		}
		tasks += jobSpec.Tasks
		jobs = append(jobs, sim.StartUser(jobSpec))
		time.Sleep(400 * time.Millisecond)
		switch i {
		case 50:
			for k, m := range sim.Machines() {
				if k%8 == 0 {
					sim.FailMachine(m)
				}
			}
		case 70:
			sim.Kill(0)
			go func() { time.Sleep(6 * time.Second); sim.Start(0) }()
		case 95:
			for k := range deployment.Controllers {
				sim.Kill(k)
			}
			time.Sleep(6 * time.Second)
			for k := range deployment.Controllers {
				sim.Start(k)
			}
		}
	}
	return jobs, tasks
}

// TestGuestTeamOverload has a guest team overload the home teams: idle-time work for all machines, one
// array of thousands of tasks, and hundreds of single-task jobs within 40 s, while two controllers
// restart. In the fault that this test guards against, controllers without shards refused the guest team's
// jobs for lack of a rate that other controllers left unused, and the home teams' jobs waited behind
// idle-time work.
func TestGuestTeamOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const controllers = 5
		ctx := simulationContext(t)
		cfg := testSettings()
		cfg.Deployment.Controllers = controllers
		cfg.Deployment.Teams = []config.Team{{Name: "red"}, {Name: "blue", Cpus: 200}, {Name: "guest"}}
		cfg.Deployment.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 12}
		sim := NewSimulation(ctx, cfg, 3)
		sim.Capacity = 80
		sim.Store.LimitRates(cfg.Deployment.State.RPS, cfg.Deployment.State.WriteRPS)
		sim.LimitCloud(cfg.Deployment.Cloud.RPS)
		for i := range controllers {
			sim.Start(i)
		}
		sim.ExchangePeerHeartbeats()
		for i := range 60 {
			sim.AddMachine(cfg.Deployment.Zones[i%3], i%2 == 0)
		}
		time.Sleep(3 * time.Second)
		idleArray := sim.StartUser(JobSpec{Team: "guest", Urgency: "low", Tasks: 400, Cpus: 4, RunTime: 60 * time.Second, CheckpointS: 10})
		largeArray := sim.StartUser(JobSpec{Team: "guest", Urgency: "low", Tasks: 3000, Cpus: 0.5, RunTime: 3 * time.Second})
		time.Sleep(5 * time.Second)
		writesBefore := sim.Store.Writes
		var homeJobs, singleTaskJobs []*Job
		for i := range 800 {
			singleTaskJobs = append(singleTaskJobs, sim.StartUser(JobSpec{Team: "guest", Urgency: "low", Tasks: 1, Cpus: 0.25, RunTime: 30 * time.Second}))
			if i%40 == 0 {
				homeJobs = append(homeJobs, sim.StartUser(JobSpec{Team: []string{"red", "blue"}[i/40%2], Tasks: 10, Cpus: 4, RunTime: 10 * time.Second}))
			}
			if i == 300 || i == 600 {
				sim.Kill(i / 300)
				go func() { time.Sleep(6 * time.Second); sim.Start(i / 300) }()
			}
			time.Sleep(50 * time.Millisecond)
		}
		sim.awaitAll(t, homeJobs, 60)
		t.Logf("jobs of the home teams done after %v", time.Since(sim.StartTime))
		sim.awaitAll(t, append(singleTaskJobs, largeArray), 200)
		t.Logf("jobs of the guest team done after %v; %.2f writes per single-task job, those of all other jobs included; %d of %d requests over the rate limit, %d idle-time tasks on machines",
			time.Since(sim.StartTime), float64(sim.Store.Writes-writesBefore)/800, sim.Store.OverRate, sim.Store.Requests, sim.RunningTasksOf(idleArray))
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
		if writesPerJob := float64(sim.Store.Writes-writesBefore) / 800; writesPerJob > 5 {
			t.Errorf("%.2f writes per single-task job, want at most 5", writesPerJob)
		}
		if sim.Store.OverRate*50 > sim.Store.Requests {
			t.Errorf("%d of %d requests to the state service were over its rate limit, want at most 2 %%", sim.Store.OverRate, sim.Store.Requests)
		}
	})
}
