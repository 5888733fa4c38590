package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// killExpectation is whether tasks are killExpectation by their leases.
type killExpectation int

const (
	_ killExpectation = iota // never
	mayKill
	mustKill
)

// restartAllInOutage ends all controllers, begins an outage, and starts them again in it.
func restartAllInOutage(sim *Simulation, outage, secondRestart time.Duration) {
	eachController(sim.Kill)
	sim.Store.SetDown(true)
	time.Sleep(5 * time.Second)
	eachController(sim.Start)
	if secondRestart > 0 {
		time.Sleep(secondRestart - 5*time.Second)
		eachController(sim.Kill)
		time.Sleep(5 * time.Second)
		eachController(sim.Start)
		time.Sleep(outage - secondRestart - 5*time.Second)
	} else {
		time.Sleep(outage - 5*time.Second)
	}
	sim.Store.SetDown(false)
}

// All controllers ended 2 s before an outage of 20 s: nobody knew the workers' token, every
// heartbeat was refused, and 4225 tasks were killed by their leases. Now restarted controllers keep the
// leases up, but not for so long that a task outlives its job's cancellation, whose last witness ended.
func TestLeasesAcrossRestartOfAllControllers(t *testing.T) {
	for _, test := range []struct {
		name                  string
		lease, cancel         float64
		outage, secondRestart time.Duration
		cancelled             bool // a job, whose tasks no controller can reach any more
		kills                 killExpectation
	}{
		{name: "short", lease: 10, cancel: 40, outage: 8 * time.Second},
		{name: "longer than a lease", lease: 10, cancel: 40, outage: 22 * time.Second},
		{name: "longer than a lease, a job was cancelled just before", lease: 10, cancel: 40, outage: 22 * time.Second, cancelled: true, kills: mayKill},
		{name: "longer than cancel_s", lease: 10, cancel: 40, outage: 60 * time.Second, kills: mustKill},
		{name: "longer than cancel_s, a job was cancelled just before", lease: 10, cancel: 40, outage: 60 * time.Second, cancelled: true, kills: mustKill},
		{name: "twice in one outage", lease: 10, cancel: 40, outage: 30 * time.Second, secondRestart: 12 * time.Second, cancelled: true, kills: mayKill},
		{name: "leases that leave no time", lease: 14, cancel: 28, outage: 60 * time.Second, cancelled: true, kills: mustKill},
	} {
		t.Run(test.name, func(t *testing.T) {
			runningTasks := 0
			runMixedLoad(t, 5, func(sim *Simulation) {
				sim.Settings.Deployment.Workers.LeaseS, sim.Settings.Deployment.Workers.CancelS = test.lease, test.cancel
				sim.PeerDelay()
			}, func(sim *Simulation) {
				time.Sleep(9 * time.Second)
				if test.cancelled {
					cancelAndCutWorkers(t, sim, func() {})
				}
				runningTasks = sim.Running()
				restartAllInOutage(sim, test.outage, test.secondRestart)
			}, func(sim *Simulation) {
				if runningTasks == 0 {
					t.Error("no task ran when the controllers ended: the case proves nothing")
				}
				if test.kills != mayKill && (sim.LeaseKills > 0) != (test.kills == mustKill) {
					t.Errorf("%d tasks were killed by their leases, must be: %v", sim.LeaseKills, test.kills == mustKill)
				}
			})
		})
	}
}

// cancelAndCutWorkers has a job cancelled, whose user is told, and partitions all controllers from the workers
// before any of them has sent a stop.
func cancelAndCutWorkers(t *testing.T, sim *Simulation, onCommit func()) {
	t.Helper()
	job := sim.User(JobSpec{Team: "grey", Tasks: 3, Cpus: 1, Run: 200 * time.Second, Urgency: "high"})
	for range 400 { // where machines are still coming up it waits for room first
		if time.Sleep(100 * time.Millisecond); sim.On(job) == 3 {
			break
		}
	}
	sim.After = func(_ int, tx protocol.Txn) {
		for _, c := range tx.Then {
			if c.Put == storage.JobKey(job.ID) && strings.Contains(string(c.Value), `"cancelled"`) {
				for i := range 3 {
					sim.Controller(i).Cut(NoWorkers)
				}
				onCommit()
			}
		}
	}
	sim.CancelNow(job)
	for range 2000 {
		time.Sleep(5 * time.Millisecond)
		if sim.Told(job) == protocol.Cancelled {
			break
		}
	}
	sim.After = nil
	if sim.Told(job) != protocol.Cancelled || sim.On(job) == 0 {
		t.Errorf("its user was told %q, %d tasks are on machines: the case proves nothing", sim.Told(job), sim.On(job))
	}
}

// An outage longer than cancel_s begins just as a job was cancelled: whatever of that its
// owner has read, and whoever ends, the job's tasks must end.
func TestCancelledTasksEndInOutage(t *testing.T) {
	for _, outage := range []time.Duration{15 * time.Second, 70 * time.Second} {
		for seed := range uint64(8) {
			othersRead, killed := seed%2 == 0, int(seed/2) // there is no controller 3: none ends
			t.Run(fmt.Sprintf("%v/others have read it %v/controller %d ends", outage, othersRead, killed), func(t *testing.T) {
				runMixedLoad(t, seed, func(sim *Simulation) {
					sim.Settings.Deployment.Workers.CancelS = 36
					sim.PeerDelay()
				}, func(sim *Simulation) {
					time.Sleep(4 * time.Second)
					cancelAndCutWorkers(t, sim, func() { sim.Store.SetDown(!othersRead) })
					time.Sleep(200 * time.Millisecond)
					sim.Store.SetDown(true)
					for i := range 3 {
						sim.Controller(i).Cut(0)
					}
					time.Sleep(4 * time.Second)
					if killed < 3 {
						sim.Kill(killed)
					}
					time.Sleep(outage)
					sim.Store.SetDown(false)
					if killed < 3 {
						sim.Start(killed)
					}
				}, nil)
			})
		}
	}
}
