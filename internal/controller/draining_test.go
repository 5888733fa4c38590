package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/storage"
)

// A machine was being drained, with a task on it that ran for an hour. It counted as capacity, so nothing was provisioned for
// what waited, and as drained, so that nothing was placed on it.
func TestADrainedMachineThatIsNeededIsGivenBack(t *testing.T) {
	for _, test := range []struct {
		name  string
		waits int // tasks of 2 CPUs, beside 4 on the machine of 8 that is not drained
		since time.Duration
		limit float64 // the team's
		large bool    // a job of 4 CPUs waits too, and a third machine has 2 free, and a fourth
		age   time.Duration
		back  bool
	}{
		{"nothing waits", 0, time.Minute, 0, false, 0, false},
		{"waits for a moment", 1, 0, 0, false, 0, false},
		{"waits for a while", 1, stuckAfter + time.Second, 0, false, 0, true},
		{"waits for its team's limit", 1, stuckAfter + time.Second, 10, false, 0, false},
		{"by the sums there is capacity, but it fits on no other", 0, 0, 0, true, restoreAfter + time.Second, true},
		{"it may not wait for long", 0, 0, 0, true, restoreAfter - time.Second, false},
		{"nor may its team have more", 0, 0, 22, true, restoreAfter + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newRebalancerCore(t, config.Deployment{Controllers: 1, Zones: []string{"a"},
				Teams: []config.Team{{Name: "red", CpusMax: test.limit}}}, 64)
			spec := storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}
			putJob(t, controller, "job-000000", "red", 5+test.waits, 0, spec)
			if test.large {
				putLargeJobs(t, controller, spec, test.age)
			}
			putRecord(t, controller, storage.FleetKey("m0"), storage.FleetRecord{Type: "t", Zone: "a", Machines: []storage.FleetMachine{{Name: "m0"}, {Name: "m1"}}})
			putRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{
				{Name: "m0", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{0, 1, 0, 0, 1, 1, 0, 0, 2, 1, 0, 0, 3, 1, 0, 0}}}},
				{Name: "m1", Incarnation: 1, Draining: true, Tasks: []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{4, 1, 0, 0}}}}}})
			now := time.Now()
			controller.leader.stuckSince = now.Add(-test.since)
			controller.drainSurplus(now, autoscale.Plan{}, 0)
			update := controller.workers.pendingUpdates[controller.cache.Machine("m1").Index]
			if back := update != nil && update.draining != nil && !*update.draining; back != test.back {
				t.Errorf("given back: %v, want %v", back, test.back)
			}
		})
	}
}

// putLargeJobs adds a job of 4 CPUs that waits, and two machines of 8 on which 6 are used.
func putLargeJobs(t *testing.T, c *Controller, spec storage.SpecRecord, age time.Duration) {
	t.Helper()
	spec.Cpus = 4
	putJob(t, c, "job-000001", "red", 1, age, spec)
	spec.Cpus = 6
	putJob(t, c, "job-000002", "red", 2, 0, spec)
	putRecord(t, c, storage.FleetKey("m2"), storage.FleetRecord{Type: "t", Zone: "a", Machines: []storage.FleetMachine{{Name: "m2", Group: 1}, {Name: "m3", Group: 1}}})
	putRecord(t, c, storage.GroupKey(1), storage.GroupRecord{Machines: []storage.GroupMachine{
		{Name: "m2", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000002", Numbers: []uint64{0, 1, 0, 0}}}},
		{Name: "m3", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000002", Numbers: []uint64{1, 1, 0, 0}}}}}})
}
