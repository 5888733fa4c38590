package simulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
)

// TestLargeSimulation plays hundreds of machines and thousands of tasks against a state
// service and a cloud that refuse what is over their rates, through a wave of lost machines, a
// takeover and the restart of all controllers. One record a machine took 2 changes a
// finished task, more than the service allows at this size.
func TestLargeSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, up, rentable = 5, 120, 260
		ctx, cancel := context.WithCancel(t.Context())
		cfg := settings()
		cfg.Deployment.Controllers = nodes
		cfg.Deployment.Teams = []config.Team{{Name: "red"}, {Name: "blue", Cpus: 200}, {Name: "green"}, {Name: "grey", CpusMax: 1200}, {Name: "teal"}}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 30, GangPeerS: 4, CancelS: 36}
		cfg.Deployment.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 12}
		w := NewSimulation(ctx, cfg, 3)
		w.CapacityOf = rentable
		w.Store.Limit(cfg.Deployment.State.RPS, cfg.Deployment.State.WriteRPS)
		w.cloudRate = bucket{rate: cfg.Deployment.Cloud.RPS, burst: 2 * cfg.Deployment.Cloud.RPS}
		for i := range nodes {
			w.Start(i)
		}
		for i := range up {
			w.AddMachine(cfg.Deployment.Zones[i%3], false)
		}
		var jobs []*Job
		tasks := 0
		for i := range 110 {
			x := JobSpec{Team: cfg.Deployment.Teams[i%5].Name, Tasks: 20 + w.Random.IntN(50), Cpus: 4, Run: time.Duration(8+w.Random.IntN(10)) * time.Second}
			switch {
			case i%9 == 0:
				x.Urgency, x.Cpus, x.NoSpot = "high", 2, true
			case i%14 == 0:
				x.CancelAfter = 10 * time.Second
			}
			tasks += x.Tasks
			jobs = append(jobs, w.User(x))
			time.Sleep(400 * time.Millisecond)
			switch i {
			case 50:
				for k, m := range w.Machines() {
					if k%8 == 0 {
						w.Die(m)
					}
				}
			case 70:
				w.Kill(0)
				go func() { time.Sleep(6 * time.Second); w.Start(0) }()
			case 95:
				for k := range nodes {
					w.Kill(k)
				}
				time.Sleep(6 * time.Second)
				for k := range nodes {
					w.Start(k)
				}
			}
		}
		w.awaitAll(t, jobs, 120)
		for _, b := range w.BrokenRules() {
			t.Error(b)
		}
		t.Logf("%d tasks, %d starts, %d changes, %d requests, %d over the rate, %v", tasks, w.Started, w.Store.Writes, w.Store.Requests, w.Store.OverRate, time.Since(w.StartTime))
		if perTask := float64(w.Store.Writes) / float64(tasks); perTask > 1 {
			t.Errorf("%.2f changes a task", perTask)
		}
		if part := float64(w.Store.OverRate) / float64(w.Store.Requests); part > 0.02 {
			t.Errorf("%.3f of the requests were over the rate", part)
		}
		t.Logf("%d calls of the cloud, %d over its rate", w.CloudCalls, w.CloudOver)
		if w.CloudCalls == 0 || w.CloudOver*20 > w.CloudCalls {
			t.Errorf("%d of %d calls of the cloud were over its rate", w.CloudOver, w.CloudCalls)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestGuestsOverload lets a guest team flood the home teams: idle-time work for the whole
// fleet, one array of thousands of tasks and hundreds of single ones within 40 s, while
// two controllers end. Controllers without shards refused the guests for want of a rate that
// others left unused, and the home teams waited behind idle-time work.
func TestGuestsOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 5
		ctx, cancel := context.WithCancel(t.Context())
		cfg := settings()
		cfg.Deployment.Controllers = nodes
		cfg.Deployment.Teams = []config.Team{{Name: "red"}, {Name: "blue", Cpus: 200}, {Name: "guest"}}
		cfg.Deployment.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 12}
		w := NewSimulation(ctx, cfg, 3)
		w.CapacityOf = 80
		w.Store.Limit(cfg.Deployment.State.RPS, cfg.Deployment.State.WriteRPS)
		w.cloudRate = bucket{rate: cfg.Deployment.Cloud.RPS, burst: 2 * cfg.Deployment.Cloud.RPS}
		for i := range nodes {
			w.Start(i)
		}
		w.PeerDelay()
		for i := range 60 {
			w.AddMachine(cfg.Deployment.Zones[i%3], i%2 == 0)
		}
		time.Sleep(3 * time.Second)
		idle := w.User(JobSpec{Team: "guest", Urgency: "low", Tasks: 400, Cpus: 4, Run: 60 * time.Second, CheckpointS: 10})
		giant := w.User(JobSpec{Team: "guest", Urgency: "low", Tasks: 3000, Cpus: 0.5, Run: 3 * time.Second})
		time.Sleep(5 * time.Second)
		before := w.Store.Writes
		var home, singles []*Job
		for i := range 800 {
			singles = append(singles, w.User(JobSpec{Team: "guest", Urgency: "low", Tasks: 1, Cpus: 0.25, Run: 30 * time.Second}))
			if i%40 == 0 {
				home = append(home, w.User(JobSpec{Team: []string{"red", "blue"}[i/40%2], Tasks: 10, Cpus: 4, Run: 10 * time.Second}))
			}
			if i == 300 || i == 600 {
				w.Kill(i / 300)
				go func() { time.Sleep(6 * time.Second); w.Start(i / 300) }()
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.awaitAll(t, home, 60)
		t.Logf("home teams done after %v", time.Since(w.StartTime))
		w.awaitAll(t, append(singles, giant), 200)
		t.Logf("guests done after %v; %.2f changes a single job with all others, %d of %d requests over the rate, %d of the idle-time tasks on machines",
			time.Since(w.StartTime), float64(w.Store.Writes-before)/800, w.Store.OverRate, w.Store.Requests, w.On(idle))
		for _, b := range w.BrokenRules() {
			t.Error(b)
		}
		if each := float64(w.Store.Writes-before) / 800; each > 5 {
			t.Errorf("%.2f changes a single job", each)
		}
		if w.Store.OverRate*50 > w.Store.Requests {
			t.Errorf("%d of %d requests were over the rate", w.Store.OverRate, w.Store.Requests)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
