package simulator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestCancelledTasksEndAcrossRestartsInOutage restarts all controllers in an outage of the state service that is
// longer than cancel_s, just after a job is cancelled whose tasks no controller can reach. A restarted controller
// counted from its own start for how long it may renew leases, so tasks ran on after cancel_s if a lease had been
// renewed without the cancellation before the restart.
func TestCancelledTasksEndAcrossRestartsInOutage(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(sim *Simulation)
	}{
		// The controller that confirmed the cancellation is unreachable; the others, which do not have it, renew the
		// leases for as long as their information may be old.
		{"stale-renewals", func(sim *Simulation) {
			sim.Controller(0).SetPartitions(AllPartitions | NoPeers)
			sim.Controller(1).SetPartitions(0)
			sim.Controller(2).SetPartitions(0)
			time.Sleep(22 * time.Second)
			sim.Restart(time.Second, 0, 1, 2)
		}},
		// Each generation of controllers renews the leases for the whole window after its start.
		{"twice", func(sim *Simulation) {
			sim.Restart(time.Second, 0, 1, 2)
			time.Sleep(17 * time.Second)
			sim.Restart(time.Second, 0, 1, 2)
		}},
		// Both of these, and a third generation.
		{"stale-renewals-then-thrice", func(sim *Simulation) {
			sim.Controller(0).SetPartitions(AllPartitions | NoPeers)
			sim.Controller(1).SetPartitions(0)
			sim.Controller(2).SetPartitions(0)
			for range 3 {
				time.Sleep(8 * time.Second)
				sim.Restart(time.Second, 0, 1, 2)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runMixedLoad(t, 5, func(sim *Simulation) {
				sim.Settings.Deployment.Workers.LeaseS, sim.Settings.Deployment.Workers.CancelS = 10, 40
				sim.ExchangePeerHeartbeats()
			}, func(sim *Simulation) {
				time.Sleep(9 * time.Second)
				cancelAtFirstAsOutageBegins(t, sim)
				test.fault(sim)
				time.Sleep(60 * time.Second)
				sim.Store.SetDown(false)
			}, nil)
		})
	}
}

// cancelAtFirstAsOutageBegins runs a job and cancels it at controller 0. As the cancellation is committed, the state
// service goes down, so that no other controller reads it, and all controllers are partitioned from the workers.
func cancelAtFirstAsOutageBegins(t *testing.T, sim *Simulation) {
	t.Helper()
	job := sim.StartUser(JobSpec{Team: "grey", Tasks: 3, Cpus: 1, RunTime: 200 * time.Second, Urgency: "high"})
	for range 400 { // the job waits for capacity while machines boot
		if time.Sleep(100 * time.Millisecond); sim.RunningTasksOf(job) == 3 {
			break
		}
	}
	sim.AfterTransaction = func(_ int, txn protocol.Txn) {
		for _, change := range txn.Then {
			if change.Put == storage.JobKey(job.ID) && strings.Contains(string(change.Value), `"cancelled"`) {
				eachController(func(i int) { sim.Controller(i).SetPartitions(NoWorkers) })
				sim.Store.SetDown(true)
			}
		}
	}
	confirmed := sim.CancelAt(job, 0)
	sim.AfterTransaction = nil
	if !confirmed || sim.RunningTasksOf(job) == 0 {
		t.Errorf("cancellation confirmed: %v, %d tasks on machines: the case checks nothing", confirmed, sim.RunningTasksOf(job))
	}
}

// TestManyCancellationsWhileOneControllerIsRefused has the state service refuse one controller for over a minute
// while more jobs are cancelled than a digest lists, and then every controller. The refused controller cannot confirm
// that it has the others' cancellations, but it owns no shard: cancelled tasks must end in time, and in an outage in
// which all controllers run and are in contact, no lease may expire.
func TestManyCancellationsWhileOneControllerIsRefused(t *testing.T) {
	const cancellations = protocol.MaxCancellations + 16 // one a second
	synctest.Test(t, func(t *testing.T) {
		c := isolationCase{workers: config.Workers{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 40}}
		sim, jobs := c.begin(simulationContext(t), 3)
		refused := max(0, sim.Leader())
		sim.Store.RefuseController(sim.Controller(refused).Name, true)
		confirmed := 0
		for confirmed < cancellations {
			job := sim.StartUser(JobSpec{Team: "red", Tasks: 1, Cpus: 0.1, RunTime: time.Hour})
			time.Sleep(900 * time.Millisecond)
			if sim.CancelAt(job, (refused+1)%3) {
				confirmed++
			}
			time.Sleep(100 * time.Millisecond)
		}
		before := sim.Stats().LeaseKills
		sim.Store.SetDown(true)
		time.Sleep(2 * seconds(c.workers.CancelS))
		if kills := sim.Stats().LeaseKills - before; kills > 0 {
			t.Errorf("%d tasks were killed by expired leases in the outage, want none", kills)
		}
		sim.Store.SetDown(false)
		sim.Store.RefuseController(sim.Controller(refused).Name, false)
		time.Sleep(75 * time.Second)
		for _, job := range jobs {
			if running := sim.RunningTasksOf(job); running < job.Tasks {
				t.Errorf("%d of %d tasks of %s run after the outage", running, job.Tasks, job.ID)
			}
		}
		for _, rule := range sim.BrokenRules() {
			t.Error(rule)
		}
	})
}
