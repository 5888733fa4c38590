package simulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
)

// isolationDay is one course of the overlapping faults that users named before all others.
type isolationDay struct {
	workers       config.Workers
	refused       time.Duration // the leader alone is refused so long before the outage
	cancellations time.Duration // the first of the jobs is cancelled so long before the outage
	outage        float64       // times cancel_s
	old           int           // so many controllers are of the version before: no digests, no time in the cancellation's record
}

// playIsolated has the state service refuse the leader alone, other controllers confirm cancellations, and then the
// state service refuse everybody, while the workers keep sending heartbeats to the old leader. It returns how many
// tasks of cancelled jobs were on machines as the outage began, and those killed by their leases.
func playIsolated(t *testing.T, seed uint64, day isolationDay, then func(sim *Simulation, lead int)) (cancelled, killed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		sim, jobs := day.begin(ctx, seed)
		lead := max(0, sim.Leader())
		if seed%2 == 1 { // an owner that does not lead
			lead = (lead + 1) % 3
		}
		sim.Store.Deny(sim.Controller(lead).Name, true)
		cancelled = day.cancelAtOthers(t, sim, jobs[:4], lead)
		sim.Store.SetDown(true)
		then(sim, lead)
		time.Sleep(seconds(day.outage * day.workers.CancelS))
		killed = sim.Stats().LeaseKills
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
				shards, err := sim.Controller(lead).Core.ShardViews(ctx)
				t.Errorf("%s of %s is %s with %d of %d tasks on machines 75 s after all is over: %+v, %v", j.ID, j.Team, sim.Told(j), sim.On(j), j.Tasks, shards, err)
			}
		}
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
	})
	return cancelled, killed
}

// begin starts a simulation in which eight jobs run for as long as the course takes.
func (d isolationDay) begin(ctx context.Context, seed uint64) (*Simulation, []*Job) {
	cfg := settings()
	cfg.Deployment.Workers = d.workers
	sim := NewSimulation(ctx, cfg, seed)
	sim.CapacityOf = 20
	sim.Old = map[int]bool{}
	for i := range d.old {
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
func (d isolationDay) cancelAtOthers(t *testing.T, sim *Simulation, jobs []*Job, lead int) (tasks int) {
	t.Helper()
	if d.refused > d.cancellations {
		time.Sleep(d.refused - d.cancellations)
	}
	confirmed := 0
	for k, j := range jobs {
		if sim.CancelAt(j, (lead+1+k%2)%3) {
			confirmed++
			tasks += sim.On(j)
		}
		time.Sleep(d.cancellations / 4)
	}
	if confirmed == 0 {
		t.Error("no cancellation was confirmed: the case proves nothing")
	}
	if d.refused < d.cancellations { // the last of them before
		time.Sleep(d.refused)
	}
	return tasks
}

// others calls f for all controllers beside one.
func others(lead int, f func(i int)) {
	for i := range 3 {
		if i != lead {
			f(i)
		}
	}
}

// isolationOutcomes are what becomes of the controllers that are not refused alone, as the outage begins.
var isolationOutcomes = []struct {
	name string
	do   func(sim *Simulation, lead int)
}{
	{"they live on", func(*Simulation, int) {}},
	{"they are killed", func(sim *Simulation, lead int) { others(lead, sim.Kill) }},
	{"they stall", func(sim *Simulation, lead int) {
		others(lead, func(i int) { sim.Controller(i).Stall(100 * time.Second) })
	}},
	{"they lose peers and workers", func(sim *Simulation, lead int) {
		others(lead, func(i int) { sim.Controller(i).Cut(NoPeers | NoWorkers) })
	}},
	{"they lose their workers", func(sim *Simulation, lead int) { others(lead, func(i int) { sim.Controller(i).Cut(NoWorkers) }) }},
	{"the leader loses its peers", func(sim *Simulation, lead int) {
		sim.Controller(lead).Cut(NoPeers)
		others(lead, func(i int) { sim.Controller(i).Cut(NoWorkers) })
	}},
	{"all end, one is back within a second", func(sim *Simulation, lead int) {
		time.Sleep(3 * time.Second)
		for i := range 3 {
			sim.Kill(i)
		}
		time.Sleep(300 * time.Millisecond)
		sim.Start(lead)
	}},
}

// TestOneDeniedThenAll: an owner that the state service refuses alone goes on answering its workers.
// What others confirm as cancelled it can't read, and if they can't reach the workers either, nobody stops
// those tasks: before owners were bound too, they ran on for as long as the outage lasted.
func TestOneDeniedThenAll(t *testing.T) {
	cancelled, seed := 0, uint64(0)
	for _, workers := range []config.Workers{
		{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 40},
		{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 30, GangPeerS: 4, CancelS: 46.5},
	} {
		for _, then := range isolationOutcomes {
			for _, day := range []isolationDay{
				{refused: 200 * time.Millisecond, cancellations: 150 * time.Millisecond, outage: 2},
				{refused: time.Second, cancellations: 600 * time.Millisecond, outage: 1.2},
				{refused: 3 * time.Second, cancellations: 3 * time.Second, outage: 4},
				{refused: 20 * time.Second, cancellations: 300 * time.Millisecond, outage: 1.5},
				{refused: time.Second, cancellations: time.Second, outage: 1.4, old: 1},
				{refused: 3 * time.Second, cancellations: 2 * time.Second, outage: 1.4, old: 2},
			} {
				day.workers = workers
				seed++
				t.Run(fmt.Sprintf("lease %v/%s/%v before, %d old", workers.LeaseS, then.name, day.refused, day.old), func(t *testing.T) {
					d, killed := playIsolated(t, seed, day, then.do)
					cancelled += d
					t.Logf("%d tasks of cancelled jobs as the outage began, %d killed by leases", d, killed)
				})
			}
		}
	}
	if cancelled == 0 {
		t.Error("no task of a cancelled job ever ran: nothing is proved")
	}
}
