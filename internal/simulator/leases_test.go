package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// killed is whether tasks are killed by their leases.
type killed int

const (
	_ killed = iota // never
	may
	must
)

// endIn ends all controllers, begins an outage, and starts them again in it.
func endIn(sim *Simulation, outage, again time.Duration) {
	eachController(sim.Kill)
	sim.Store.SetDown(true)
	time.Sleep(5 * time.Second)
	eachController(sim.Start)
	if again > 0 {
		time.Sleep(again - 5*time.Second)
		eachController(sim.Kill)
		time.Sleep(5 * time.Second)
		eachController(sim.Start)
		time.Sleep(outage - again - 5*time.Second)
	} else {
		time.Sleep(outage - 5*time.Second)
	}
	sim.Store.SetDown(false)
}

// All controllers ended 2 s before an outage of 20 s: nobody knew the workers' token, every
// heartbeat was refused, and 4225 tasks were killed by their leases. Now restarted controllers keep the
// leases up, but not for so long that a task outlives its job's cancellation, whose last witness ended.
func TestLeasesOverAnEndOfAllControllers(t *testing.T) {
	for _, test := range []struct {
		name          string
		lease, cancel float64
		outage, again time.Duration
		cancelled     bool // a job, whose tasks no controller can reach any more
		killed        killed
	}{
		{name: "short", lease: 10, cancel: 40, outage: 8 * time.Second},
		{name: "longer than a lease", lease: 10, cancel: 40, outage: 22 * time.Second},
		{name: "longer than a lease, a job was cancelled just before", lease: 10, cancel: 40, outage: 22 * time.Second, cancelled: true, killed: may},
		{name: "longer than cancel_s", lease: 10, cancel: 40, outage: 60 * time.Second, killed: must},
		{name: "longer than cancel_s, a job was cancelled just before", lease: 10, cancel: 40, outage: 60 * time.Second, cancelled: true, killed: must},
		{name: "twice in one outage", lease: 10, cancel: 40, outage: 30 * time.Second, again: 12 * time.Second, cancelled: true, killed: may},
		{name: "leases that leave no time", lease: 14, cancel: 28, outage: 60 * time.Second, cancelled: true, killed: must},
	} {
		t.Run(test.name, func(t *testing.T) {
			ran := 0
			playDay(t, 5, func(sim *Simulation) {
				sim.Settings.Deployment.Workers.LeaseS, sim.Settings.Deployment.Workers.CancelS = test.lease, test.cancel
				sim.PeerDelay()
			}, func(sim *Simulation) {
				time.Sleep(9 * time.Second)
				if test.cancelled {
					cancelUnseen(t, sim, func() {})
				}
				ran = sim.Running()
				endIn(sim, test.outage, test.again)
			}, func(sim *Simulation) {
				if ran == 0 {
					t.Error("no task ran when the controllers ended: the case proves nothing")
				}
				if test.killed != may && (sim.LeaseKills > 0) != (test.killed == must) {
					t.Errorf("%d tasks were killed by their leases, must be: %v", sim.LeaseKills, test.killed == must)
				}
			})
		})
	}
}

// cancelUnseen has a job cancelled, whose user is told, and partitions all controllers from the workers
// before any of them has sent a stop.
func cancelUnseen(t *testing.T, sim *Simulation, then func()) {
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
				then()
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
func TestCancelledTasksEndInAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{15 * time.Second, 70 * time.Second} {
		for seed := range uint64(8) {
			read, ends := seed%2 == 0, int(seed/2) // there is no controller 3: none ends
			t.Run(fmt.Sprintf("%v/others have read it %v/controller %d ends", outage, read, ends), func(t *testing.T) {
				playDay(t, seed, func(sim *Simulation) {
					sim.Settings.Deployment.Workers.CancelS = 36
					sim.PeerDelay()
				}, func(sim *Simulation) {
					time.Sleep(4 * time.Second)
					cancelUnseen(t, sim, func() { sim.Store.SetDown(!read) })
					time.Sleep(200 * time.Millisecond)
					sim.Store.SetDown(true)
					for i := range 3 {
						sim.Controller(i).Cut(0)
					}
					time.Sleep(4 * time.Second)
					if ends < 3 {
						sim.Kill(ends)
					}
					time.Sleep(outage)
					sim.Store.SetDown(false)
					if ends < 3 {
						sim.Start(ends)
					}
				}, nil)
			})
		}
	}
}
