package simulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
)

// isolationCase is one case of TestDeniedControllerThenOutage.
type isolationCase struct {
	workers         config.Workers
	deniedBefore    time.Duration // time from the refusal of one controller to the outage
	cancelledBefore time.Duration // time from the first cancellation to the outage
	outageFactor    float64       // length of the outage as a multiple of cancel_s
	oldControllers  int           // controllers of the previous version: no cancellation digests, no time in the cancellation's record
}

// runIsolated has the state service refuse one controller (the leader, or with odd seeds the controller
// after it), has the others confirm cancellations, and then begins an outage and injects a fault. The
// workers keep sending heartbeats to the refused controller. It returns how many tasks of the cancelled
// jobs were on machines when the cancellations were confirmed, and how many tasks were killed by expired
// leases until the end of the outage.
func runIsolated(t *testing.T, seed uint64, c isolationCase, inject func(sim *Simulation, denied int)) (cancelledTasks, killedTasks int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		sim, jobs := c.begin(ctx, seed)
		denied := max(0, sim.Leader())
		if seed%2 == 1 { // a shard owner that is not the leader
			denied = (denied + 1) % 3
		}
		sim.Store.RefuseController(sim.Controller(denied).Name, true)
		cancelledTasks = c.cancelAtOthers(t, sim, jobs[:4], denied)
		sim.Store.SetDown(true)
		inject(sim, denied)
		time.Sleep(seconds(c.outageFactor * c.workers.CancelS))
		killedTasks = sim.Stats().LeaseKills
		sim.Store.SetDown(false)
		eachController(func(i int) {
			sim.Store.RefuseController(controllerName(i), false)
			if sim.Controller(i).ended() {
				sim.Start(i)
			}
			sim.Controller(i).SetPartitions(0)
		})
		time.Sleep(75 * time.Second)
		for _, j := range jobs[4:] {
			if sim.RunningTasksOf(j) < j.Tasks {
				shards, err := sim.Controller(denied).Core.ShardViews(ctx)
				t.Errorf("%s of team %s is %s with %d of %d tasks on machines 75 s after the end of the faults; shards %+v, error %v", j.ID, j.Team, sim.ReportedStatus(j), sim.RunningTasksOf(j), j.Tasks, shards, err)
			}
		}
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
	})
	return cancelledTasks, killedTasks
}

// begin starts a simulation with eight jobs that run for an hour, longer than the case takes.
func (c isolationCase) begin(ctx context.Context, seed uint64) (*Simulation, []*Job) {
	cfg := testSettings()
	cfg.Deployment.Workers = c.workers
	sim := NewSimulation(ctx, cfg, seed)
	sim.Capacity = 20
	sim.PreviousVersion = map[int]bool{}
	for i := range c.oldControllers {
		sim.PreviousVersion[(int(seed)+i)%3] = true
	}
	eachController(sim.Start)
	sim.ExchangePeerHeartbeats()
	for i := range 9 {
		sim.AddMachine(cfg.Deployment.Zones[i%3], false)
	}
	time.Sleep(8 * time.Second)
	var jobs []*Job
	for i := range 8 {
		jobs = append(jobs, sim.StartUser(JobSpec{Team: cfg.Deployment.Teams[i%4].Name, Tasks: 3, Cpus: 2, RunTime: time.Hour}))
	}
	time.Sleep(10 * time.Second)
	return sim, jobs
}

// cancelAtOthers cancels the jobs through the controllers that are not denied, the first one
// cancelledBefore ahead of the outage. It returns how many tasks of the jobs whose cancellation was
// confirmed were on machines then.
func (c isolationCase) cancelAtOthers(t *testing.T, sim *Simulation, jobs []*Job, denied int) (tasks int) {
	t.Helper()
	if c.deniedBefore > c.cancelledBefore {
		time.Sleep(c.deniedBefore - c.cancelledBefore)
	}
	confirmed := 0
	for k, j := range jobs {
		if sim.CancelAt(j, (denied+1+k%2)%3) {
			confirmed++
			tasks += sim.RunningTasksOf(j)
		}
		time.Sleep(c.cancelledBefore / 4)
	}
	if confirmed == 0 {
		t.Error("no cancellation was confirmed: the case checks nothing")
	}
	if c.deniedBefore < c.cancelledBefore { // the last cancellation precedes the outage by deniedBefore
		time.Sleep(c.deniedBefore)
	}
	return tasks
}

// eachOther calls f for each controller except the denied one.
func eachOther(denied int, f func(i int)) {
	for i := range 3 {
		if i != denied {
			f(i)
		}
	}
}

// isolationFaults are the faults that are injected as the outage begins. In their names, the others are
// the controllers that the state service did not refuse before the outage.
var isolationFaults = []struct {
	name   string
	inject func(sim *Simulation, denied int)
}{
	{"the others keep running", func(*Simulation, int) {}},
	{"the others are killed", func(sim *Simulation, denied int) { eachOther(denied, sim.Kill) }},
	{"the others stall", func(sim *Simulation, denied int) {
		eachOther(denied, func(i int) { sim.Controller(i).Stall(100 * time.Second) })
	}},
	{"the others lose peers and workers", func(sim *Simulation, denied int) {
		eachOther(denied, func(i int) { sim.Controller(i).SetPartitions(NoPeers | NoWorkers) })
	}},
	{"the others lose their workers", func(sim *Simulation, denied int) {
		eachOther(denied, func(i int) { sim.Controller(i).SetPartitions(NoWorkers) })
	}},
	{"the denied controller loses its peers, the others their workers", func(sim *Simulation, denied int) {
		sim.Controller(denied).SetPartitions(NoPeers)
		eachOther(denied, func(i int) { sim.Controller(i).SetPartitions(NoWorkers) })
	}},
	{"all are killed, the denied one restarts within a second", func(sim *Simulation, denied int) {
		time.Sleep(3 * time.Second)
		for i := range 3 {
			sim.Kill(i)
		}
		time.Sleep(300 * time.Millisecond)
		sim.Start(denied)
	}},
}

// TestDeniedControllerThenOutage checks that tasks of cancelled jobs end although the state service
// refuses their shard's owner, and then every controller. The owner keeps answering its workers, but can't
// read the cancellations that other controllers confirm; if those can't reach the workers, nobody
// terminates the tasks. Before the limits on lease renewals also applied to such an owner, these tasks ran
// for as long as the outage lasted.
func TestDeniedControllerThenOutage(t *testing.T) {
	cancelledTasks, seed := 0, uint64(0)
	for _, workers := range []config.Workers{
		{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 40},
		{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 30, GangPeerS: 4, CancelS: 46.5},
	} {
		for _, fault := range isolationFaults {
			for _, c := range []isolationCase{
				{deniedBefore: 200 * time.Millisecond, cancelledBefore: 150 * time.Millisecond, outageFactor: 2},
				{deniedBefore: time.Second, cancelledBefore: 600 * time.Millisecond, outageFactor: 1.2},
				{deniedBefore: 3 * time.Second, cancelledBefore: 3 * time.Second, outageFactor: 4},
				{deniedBefore: 20 * time.Second, cancelledBefore: 300 * time.Millisecond, outageFactor: 1.5},
				{deniedBefore: time.Second, cancelledBefore: time.Second, outageFactor: 1.4, oldControllers: 1},
				{deniedBefore: 3 * time.Second, cancelledBefore: 2 * time.Second, outageFactor: 1.4, oldControllers: 2},
			} {
				c.workers = workers
				seed++
				t.Run(fmt.Sprintf("lease %v/%s/denied %v before, %d of the previous version", workers.LeaseS, fault.name, c.deniedBefore, c.oldControllers), func(t *testing.T) {
					cancelled, killed := runIsolated(t, seed, c, fault.inject)
					cancelledTasks += cancelled
					t.Logf("%d tasks on machines when their jobs were cancelled, %d tasks killed by expired leases", cancelled, killed)
				})
			}
		}
	}
	if cancelledTasks == 0 {
		t.Error("no task of a cancelled job was on a machine: the test checks nothing")
	}
}
