package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/storage"
)

// TestNeededDrainingMachineReturnsToService guards against work that waits while a draining
// machine runs a task for an hour: the machine counted as capacity, so nothing was provisioned for
// the work, and as draining, so nothing was placed on it.
func TestNeededDrainingMachineReturnsToService(t *testing.T) {
	for _, test := range []struct {
		name        string
		waiting     int           // waiting tasks of 2 CPUs; 4 others fill the machine of 8 CPUs that is not draining
		stuckFor    time.Duration // how long work has been stuck
		limit       float64       // CPU limit of the team
		large       bool          // a job of 4 CPUs waits too; a third and a fourth machine have 2 CPUs free each
		largeJobAge time.Duration // how long the large job has waited
		returned    bool          // whether the machine is returned to service
	}{
		{"nothing waits", 0, time.Minute, 0, false, 0, false},
		{"work waits for a moment", 1, 0, 0, false, 0, false},
		{"work waits for longer than stuckAfter", 1, stuckAfter + time.Second, 0, false, 0, true},
		{"work waits for its team's limit", 1, stuckAfter + time.Second, 10, false, 0, false},
		{"the sums show enough capacity, but the job fits on no other machine", 0, 0, 0, true, restoreAfter + time.Second, true},
		{"the job has not waited for restoreAfter", 0, 0, 0, true, restoreAfter - time.Second, false},
		{"the job's team is at its limit", 0, 0, 22, true, restoreAfter + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newRebalancerCore(t, config.Deployment{Controllers: 1, Zones: []string{"a"},
				Teams: []config.Team{{Name: "red", CpusMax: test.limit}}}, 64)
			spec := storage.SpecRecord{Class: "c", Priority: 1, Cpus: 2, Mem: 1, Image: "i", Spot: true, Estimate: 3600}
			putJob(t, controller, "job-000000", "red", 5+test.waiting, 0, spec)
			if test.large {
				putLargeJobs(t, controller, spec, test.largeJobAge)
			}
			putRecord(t, controller, storage.FleetKey("m0"), storage.FleetRecord{Type: "t", Zone: "a", Machines: []storage.FleetMachine{{Name: "m0"}, {Name: "m1"}}})
			putRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{
				{Name: "m0", Incarnation: 1, Tasks: []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{0, 1, 0, 0, 1, 1, 0, 0, 2, 1, 0, 0, 3, 1, 0, 0}}}},
				{Name: "m1", Incarnation: 1, Draining: true, Tasks: []storage.PlacedTasks{{Job: "job-000000", Numbers: []uint64{4, 1, 0, 0}}}}}})
			now := time.Now()
			controller.leader.workStuckSince = now.Add(-test.stuckFor)
			controller.drainSurplus(now, autoscale.Plan{}, 0)
			update := controller.workers.pendingUpdates[controller.cache.Machine("m1").Index]
			if returned := update != nil && update.draining != nil && !*update.draining; returned != test.returned {
				t.Errorf("returned to service: %v, want %v", returned, test.returned)
			}
		})
	}
}

// putLargeJobs adds a waiting job of 4 CPUs, and two machines of 8 CPUs of which 6 are used.
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
