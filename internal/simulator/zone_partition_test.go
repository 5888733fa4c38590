package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// TestCancelledJobEndsInPartitionedZone cancels a job just after the zone of its shard's owner is
// partitioned together with more than 40 % of the machines. The owner inside the zone renews the leases of
// the workers there. The owner outside takes its own isolation for the more likely cause and returns
// silent machines only after three leases, here longer than cancel_s; with this limit alone, the job's
// tasks would run for too long. So would tasks on machines that are kept because replicas of a service run
// on them. The service must keep running, and all its replicas must run once the partition has ended.
func TestCancelledJobEndsInPartitionedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := simulationContext(t)
		cfg := testSettings()
		cfg.Deployment.Teams = []config.Team{{Name: "red"}}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 30, GangPeerS: 4, CancelS: 45}
		sim := NewSimulation(ctx, cfg, 9)
		sim.Capacity = 40
		for i := range 3 {
			sim.Start(i)
		}
		sim.ExchangePeerHeartbeats()
		time.Sleep(12 * time.Second)
		owner := sim.ShardOwner(0)
		service := sim.StartUser(JobSpec{Team: "red", Shape: "daemon", Urgency: "production", Tasks: 8, Cpus: 4, NoSpot: true, Scatter: true})
		cancelledJob := sim.StartUser(JobSpec{Team: "red", Tasks: 30, Cpus: 4, RunTime: 300 * time.Second, NoSpot: true, CancelAfter: 15 * time.Second})
		for i := range 14 {
			zone := sim.Controller(owner).Zone
			if i%2 == 1 {
				zone = sim.Controller((owner + 1) % 3).Zone
			}
			sim.AddMachine(zone, false)
		}
		time.Sleep(12 * time.Second)
		sim.PartitionZone(sim.Controller(owner).Zone)
		if sim.RunningTasksOf(service) < 8 || sim.RunningTasksOf(cancelledJob) < 20 {
			t.Fatalf("%d service replicas and %d tasks run when the zone is partitioned, want 8 and at least 20: the test checks nothing", sim.RunningTasksOf(service), sim.RunningTasksOf(cancelledJob))
		}
		time.Sleep(60 * time.Second)
		sim.PartitionZone("")
		time.Sleep(60 * time.Second)
		if sim.ReportedStatus(cancelledJob) != protocol.Cancelled || sim.RunningTasksOf(cancelledJob) > 0 || sim.RunningTasksOf(service) < 8 {
			t.Errorf("the cancelled job is %s with %d tasks on machines, %d of 8 service replicas run", sim.ReportedStatus(cancelledJob), sim.RunningTasksOf(cancelledJob), sim.RunningTasksOf(service))
		}
		for _, b := range sim.BrokenRules() {
			t.Error(b)
		}
	})
}
