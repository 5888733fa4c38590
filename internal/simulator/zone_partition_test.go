package simulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// TestCancelledInAPartitionedZone cancels a job just after the zone of its machines' owner was cut off, with four in
// ten machines and more: the owner inside keeps up their leases, and the one outside suspects itself. With its limit
// of three leases alone, here longer than cancel_s, the job's tasks ran on; so would they on machines that are kept
// since services run on them. The services go on, and run everywhere once the cut is over.
func TestCancelledInAPartitionedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute) }()
		cfg := settings()
		cfg.Deployment.Teams = []config.Team{{Name: "red"}}
		cfg.Deployment.Workers = config.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 30, GangPeerS: 4, CancelS: 45}
		w := NewSimulation(ctx, cfg, 9)
		w.CapacityOf = 40
		for i := range 3 {
			w.Start(i)
		}
		w.PeerDelay()
		time.Sleep(12 * time.Second)
		owner := w.Owner(0)
		service := w.User(JobSpec{Team: "red", Shape: "daemon", Urgency: "production", Tasks: 8, Cpus: 4, NoSpot: true, Scatter: true})
		doomed := w.User(JobSpec{Team: "red", Tasks: 30, Cpus: 4, Run: 300 * time.Second, NoSpot: true, CancelAfter: 15 * time.Second})
		for i := range 14 {
			zone := w.Controller(owner).Zone
			if i%2 == 1 {
				zone = w.Controller((owner + 1) % 3).Zone
			}
			w.AddMachine(zone, false)
		}
		time.Sleep(12 * time.Second)
		w.PartitionZone(w.Controller(owner).Zone)
		if w.On(service) < 8 || w.On(doomed) < 20 {
			t.Fatalf("%d replicas and %d tasks run when the zone is cut off: the case proves nothing", w.On(service), w.On(doomed))
		}
		time.Sleep(60 * time.Second)
		w.PartitionZone("")
		time.Sleep(60 * time.Second)
		if w.Told(doomed) != protocol.Cancelled || w.On(doomed) > 0 || w.On(service) < 8 {
			t.Errorf("the job is %s with %d tasks on machines, %d of 8 replicas run", w.Told(doomed), w.On(doomed), w.On(service))
		}
		for _, b := range w.BrokenRules() {
			t.Error(b)
		}
	})
}
