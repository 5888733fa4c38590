package simulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
)

// isolationCase is one course of the overlapping faults that users named before all others.
type isolationCase struct {
	workers         config.Workers
	deniedBefore    time.Duration // the leader alone is refused so long before the outage
	cancelledBefore time.Duration // the first of the jobs is cancelled so long before the outage
	outageFactor    float64       // times cancel_s
	oldControllers  int           // so many controllers are of the version before: no digests, no time in the cancellation's record
}

// runIsolated has the state service refuse the leader alone, other controllers confirm cancellations, and then the
// state service refuse everybody, while the workers keep sending heartbeats to the old leader. It returns how many
// tasks of cancelled jobs were on machines as the outage began, and those killed by their leases.
func runIsolated(t *testing.T, seed uint64, c isolationCase, inject func(sim *Simulation, denied int)) (cancelledTasks, killedTasks int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		sim, jobs := c.begin(ctx, seed)
		denied := max(0, sim.Leader())
		if seed%2 == 1 { // an owner that does not lead
			denied = (denied + 1) % 3
		}
		sim.Store.Deny(sim.Controller(denied).Name, true)
		cancelledTasks = c.cancelAtOthers(t, sim, jobs[:4], denied)
		sim.Store.SetDown(true)
		inject(sim, denied)
		time.Sleep(seconds(c.outageFactor * c.workers.CancelS))
		killedTasks = sim.Stats().LeaseKills
		sim.Store.SetDown(false)
		eachController(func(i int) {
			sim.Store.Deny(controllerName(i), false)
			if sim.Controller(i).ended() {
				sim.Start(i)
			}
			sim.Controller(i).Cut(0)
		})
		time.Sleep(75 * time.Second)
		for _, j := range jobs[4:] {
			if sim.On(j) < j.Tasks {
				shards, err := sim.Controller(denied).Core.ShardViews(ctx)
				t.Errorf("%s of %s is %s with %d of %d tasks on machines 75 s after all is over: %+v, %v", j.ID, j.Team, sim.Told(j), sim.On(j), j.Tasks, shards, err)
			}
		}
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
	})
	return cancelledTasks, killedTasks
}

// begin starts a simulation in which eight jobs run for as long as the course takes.
func (c isolationCase) begin(ctx context.Context, seed uint64) (*Simulation, []*Job) {
	cfg := testSettings()
	cfg.Deployment.Workers = c.workers
	sim := NewSimulation(ctx, cfg, seed)
	sim.CapacityOf = 20
	sim.Old = map[int]bool{}
	for i := range c.oldControllers {
		sim.Old[(int(seed)+i)%3] = true
	}
	eachController(sim.Start)
	sim.PeerDelay()
	for i := range 9 {
		sim.AddMachine(cfg.Deployment.Zones[i%3], false)
	}
	time.Sleep(8 * time.Second)
	var jobs []*Job
	for i := range 8 {
		jobs = append(jobs, sim.User(JobSpec{Team: cfg.Deployment.Teams[i%4].Name, Tasks: 3, Cpus: 2, Run: time.Hour}))
	}
	time.Sleep(10 * time.Second)
	return sim, jobs
}

// cancelAtOthers has the controllers beside one confirm cancellations, as long before the outage as the course says, and
// returns how many of the jobs' tasks were on machines then.
func (c isolationCase) cancelAtOthers(t *testing.T, sim *Simulation, jobs []*Job, denied int) (tasks int) {
	t.Helper()
	if c.deniedBefore > c.cancelledBefore {
		time.Sleep(c.deniedBefore - c.cancelledBefore)
	}
	confirmed := 0
	for k, j := range jobs {
		if sim.CancelAt(j, (denied+1+k%2)%3) {
			confirmed++
			tasks += sim.On(j)
		}
		time.Sleep(c.cancelledBefore / 4)
	}
	if confirmed == 0 {
		t.Error("no cancellation was confirmed: the case proves nothing")
	}
	if c.deniedBefore < c.cancelledBefore { // the last of them before
		time.Sleep(c.deniedBefore)
	}
	return tasks
}

// eachOther calls f for all controllers beside one.
func eachOther(denied int, f func(i int)) {
	for i := range 3 {
		if i != denied {
			f(i)
		}
	}
}

// isolationFaults are what becomes of the controllers that are not refused alone, as the outage begins.
var isolationFaults = []struct {
	name   string
	inject func(sim *Simulation, denied int)
}{
	{"they live on", func(*Simulation, int) {}},
	{"they are killed", func(sim *Simulation, denied int) { eachOther(denied, sim.Kill) }},
	{"they stall", func(sim *Simulation, denied int) {
		eachOther(denied, func(i int) { sim.Controller(i).Stall(100 * time.Second) })
	}},
	{"they lose peers and workers", func(sim *Simulation, denied int) {
		eachOther(denied, func(i int) { sim.Controller(i).Cut(NoPeers | NoWorkers) })
	}},
	{"they lose their workers", func(sim *Simulation, denied int) { eachOther(denied, func(i int) { sim.Controller(i).Cut(NoWorkers) }) }},
	{"the leader loses its peers", func(sim *Simulation, denied int) {
		sim.Controller(denied).Cut(NoPeers)
		eachOther(denied, func(i int) { sim.Controller(i).Cut(NoWorkers) })
	}},
	{"all end, one is back within a second", func(sim *Simulation, denied int) {
		time.Sleep(3 * time.Second)
		for i := range 3 {
			sim.Kill(i)
		}
		time.Sleep(300 * time.Millisecond)
		sim.Start(denied)
	}},
}

// TestDeniedControllerThenOutage: an owner that the state service refuses alone goes on answering its workers.
// What others confirm as cancelled it can't read, and if they can't reach the workers either, nobody stops
// those tasks: before owners were bound too, they ran on for as long as the outage lasted.
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
				t.Run(fmt.Sprintf("lease %v/%s/%v before, %d old", workers.LeaseS, fault.name, c.deniedBefore, c.oldControllers), func(t *testing.T) {
					cancelled, killed := runIsolated(t, seed, c, fault.inject)
					cancelledTasks += cancelled
					t.Logf("%d tasks of cancelled jobs as the outage began, %d killed by leases", cancelled, killed)
				})
			}
		}
	}
	if cancelledTasks == 0 {
		t.Error("no task of a cancelled job ever ran: nothing is proved")
	}
}
