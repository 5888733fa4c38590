package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// killExpectation states whether a test case expects tasks to be killed by expired leases.
type killExpectation int

const (
	_ killExpectation = iota // no task may be killed
	mayKill
	mustKill
)

// restartAllInOutage ends all controllers, begins an outage of the state service, and starts the
// controllers again 5 s later. If secondRestart is above 0, it restarts them once more, so long after the
// outage began.
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

// TestLeasesAcrossRestartOfAllControllers restarts all controllers in an outage of the state service. When
// all controllers had ended 2 s before an outage of 20 s, none of the new processes had the workers'
// fencing token: every heartbeat was refused, and 4225 tasks were killed by their expired leases.
// Restarted controllers must renew the leases, but only for so long that no task outlives cancel_s after
// its job's cancellation, even if every controller that had read the cancellation has ended.
func TestLeasesAcrossRestartOfAllControllers(t *testing.T) {
	for _, test := range []struct {
		name                  string
		lease, cancel         float64
		outage, secondRestart time.Duration
		cancelled             bool // a job is cancelled just before, and no controller can reach its tasks any more
		kills                 killExpectation
	}{
		{name: "outage shorter than a lease", lease: 10, cancel: 40, outage: 8 * time.Second},
		{name: "outage longer than a lease", lease: 10, cancel: 40, outage: 22 * time.Second},
		{name: "outage longer than a lease, a job was cancelled just before", lease: 10, cancel: 40, outage: 22 * time.Second, cancelled: true, kills: mayKill},
		{name: "outage longer than cancel_s", lease: 10, cancel: 40, outage: 60 * time.Second, kills: mustKill},
		{name: "outage longer than cancel_s, a job was cancelled just before", lease: 10, cancel: 40, outage: 60 * time.Second, cancelled: true, kills: mustKill},
		{name: "two restarts in one outage", lease: 10, cancel: 40, outage: 30 * time.Second, secondRestart: 12 * time.Second, cancelled: true, kills: mayKill},
		{name: "cancel_s leaves no time for unverified renewals", lease: 14, cancel: 28, outage: 60 * time.Second, cancelled: true, kills: mustKill},
	} {
		t.Run(test.name, func(t *testing.T) {
			runningTasks := 0
			runMixedLoad(t, 5, func(sim *Simulation) {
				sim.Settings.Deployment.Workers.LeaseS, sim.Settings.Deployment.Workers.CancelS = test.lease, test.cancel
				sim.ExchangePeerHeartbeats()
			}, func(sim *Simulation) {
				time.Sleep(9 * time.Second)
				if test.cancelled {
					cancelAndCutWorkers(t, sim, func() {})
				}
				runningTasks = sim.RunningTasks()
				restartAllInOutage(sim, test.outage, test.secondRestart)
			}, func(sim *Simulation) {
				if runningTasks == 0 {
					t.Error("no task ran when the controllers ended: the case checks nothing")
				}
				if test.kills != mayKill && (sim.LeaseKills > 0) != (test.kills == mustKill) {
					t.Errorf("%d tasks were killed by expired leases, want any: %v", sim.LeaseKills, test.kills == mustKill)
				}
			})
		})
	}
}

// cancelAndCutWorkers runs a job and has its user cancel it. As the cancellation is committed, it
// partitions all controllers from the workers, before any of them has sent a command to terminate the
// tasks, and calls onCommit. It returns when the user has received the confirmation.
func cancelAndCutWorkers(t *testing.T, sim *Simulation, onCommit func()) {
	t.Helper()
	job := sim.StartUser(JobSpec{Team: "grey", Tasks: 3, Cpus: 1, RunTime: 200 * time.Second, Urgency: "high"})
	for range 400 { // the job waits for capacity while machines boot
		if time.Sleep(100 * time.Millisecond); sim.RunningTasksOf(job) == 3 {
			break
		}
	}
	sim.AfterTransaction = func(_ int, tx protocol.Txn) {
		for _, c := range tx.Then {
			if c.Put == storage.JobKey(job.ID) && strings.Contains(string(c.Value), `"cancelled"`) {
				for i := range 3 {
					sim.Controller(i).SetPartitions(NoWorkers)
				}
				onCommit()
			}
		}
	}
	sim.CancelNow(job)
	for range 2000 {
		time.Sleep(5 * time.Millisecond)
		if sim.ReportedStatus(job) == protocol.Cancelled {
			break
		}
	}
	sim.AfterTransaction = nil
	if sim.ReportedStatus(job) != protocol.Cancelled || sim.RunningTasksOf(job) == 0 {
		t.Errorf("the job's last reported status is %q, %d of its tasks are on machines: the case checks nothing", sim.ReportedStatus(job), sim.RunningTasksOf(job))
	}
}

// TestCancelledTasksEndInOutage begins an outage of the state service just after a job is cancelled, one
// shorter and one longer than cancel_s. The job's tasks must end in time, whether or not the other
// controllers have read the cancellation, and whichever controller is killed.
func TestCancelledTasksEndInOutage(t *testing.T) {
	for _, outage := range []time.Duration{15 * time.Second, 70 * time.Second} {
		for seed := range uint64(8) {
			othersRead, killed := seed%2 == 0, int(seed/2) // controller 3 does not exist: no controller is killed
			t.Run(fmt.Sprintf("%v/others have read the cancellation %v/controller %d is killed", outage, othersRead, killed), func(t *testing.T) {
				runMixedLoad(t, seed, func(sim *Simulation) {
					sim.Settings.Deployment.Workers.CancelS = 36
					sim.ExchangePeerHeartbeats()
				}, func(sim *Simulation) {
					time.Sleep(4 * time.Second)
					cancelAndCutWorkers(t, sim, func() { sim.Store.SetDown(!othersRead) })
					time.Sleep(200 * time.Millisecond)
					sim.Store.SetDown(true)
					for i := range 3 {
						sim.Controller(i).SetPartitions(0)
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
