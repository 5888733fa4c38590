package simulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// TestGPUCluster plays services of top priority over arrays that save, on machines whose accelerators bind,
// with images that take as long as a boot, one team and so one shard, three small controllers: bursts, a
// zone that is partitioned and goes on inside, dead and taken machines, owners that end, an end of all in an outage. All
// rules hold, services are back within a minute and a half, and no array is starved.
func TestGPUCluster(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cfg := settings()
				deployment := &cfg.Deployment
				deployment.Teams = []config.Team{{Name: "gpu"}}
				deployment.Workers = config.Workers{HeartbeatS: 1, LeaseS: 11, GangWaitS: 45, GangPeerS: 5, CancelS: 41}
				deployment.State = config.State{RPS: 150, WriteRPS: 25, ValueKB: 8, TxnOps: 8}
				deployment.Cloud = config.Cloud{RPS: 6, ListLagS: 3}
				deployment.Objectives = []config.Objective{{Kind: "wait", Class: "serve", WithinS: 40, Share: 0.92},
					{Kind: "finished", Class: "sweep", WithinS: 180, Share: 0.9}, {Kind: "finished", Class: "sweep", WithinS: 300, Share: 0.95}}
				sim := NewSimulation(ctx, cfg, 500+seed)
				sim.Catalog.Types = []protocol.MachineType{{Name: "g8", Cpus: 48, Gpus: 8, MemGB: 384, CacheGB: 50, FetchGBs: 0.25,
					Price: 21.54, SpotPrice: 6.58, BootS: 45, Zones: deployment.Zones}}
				sim.Boot = func() time.Duration { return time.Duration(27+sim.Random.IntN(40)) * time.Second }
				sim.CapacityOf = 60
				sim.Store.Limit(deployment.State.RPS, deployment.State.WriteRPS)
				sim.Store.MaxValue, sim.Store.MaxOps = 8<<10, 8
				sim.cloudRate = bucket{rate: deployment.Cloud.RPS, burst: 2 * deployment.Cloud.RPS}
				for i := range 3 {
					sim.Start(i)
				}
				sim.PeerDelay()
				time.Sleep(2 * time.Second)
				var services, arrays []*Job
				serve := func() {
					n := []int{3, 3, 6, 8}[sim.Random.IntN(4)]
					img := sim.Random.IntN(6)
					services = append(services, sim.User(JobSpec{Team: "gpu", Class: "serve", Shape: "daemon", Urgency: "production", Tasks: n, Cpus: 4, Gpus: 1,
						MemGB: 29, Image: fmt.Sprint("serve-", img), ImageGB: float64(4 + 2*img), NoSpot: true, Scatter: true}))
				}
				sweep := func() {
					img := sim.Random.IntN(8)
					arrays = append(arrays, sim.User(JobSpec{Team: "gpu", Class: "sweep", Urgency: "low", Tasks: 8 + sim.Random.IntN(30), Cpus: 5, Gpus: 1, MemGB: 36,
						Image: fmt.Sprint("sweep-", img), ImageGB: float64(3 + img), Run: time.Duration(30+sim.Random.IntN(60)) * time.Second, CheckpointS: 15}))
				}
				for range 8 {
					serve()
					sweep()
				}
				for i := range 26 {
					time.Sleep(10 * time.Second)
					sweep()
					if i%4 == 0 {
						serve()
					}
					machines := sim.Machines()
					switch i {
					case 11: // a burst while a zone is partitioned with what it runs, and the owner ends
						for range 6 {
							serve()
						}
						sim.PartitionZone(deployment.Zones[sim.Random.IntN(3)])
						sim.Again(5*time.Second, int(seed)%3)
						time.Sleep(30 * time.Second)
						sim.PartitionZone("")
					case 16:
						for k, m := range machines {
							if k%7 == 0 {
								sim.Die(m)
							}
							if m.Spot && k%3 == 0 {
								sim.Set(m, PreemptionNotice(time.Duration(sim.Random.IntN(20))*time.Second))
							}
						}
					case 20: // an end of all within an outage
						sim.Store.SetDown(true)
						time.Sleep(4 * time.Second)
						sim.Again(5*time.Second, 0, 1, 2)
						time.Sleep(12 * time.Second)
						sim.Store.SetDown(false)
					}
				}
				time.Sleep(100 * time.Second)
				up, want := 0, 0
				for _, j := range services {
					want += j.Tasks
					up += sim.On(j)
				}
				sim.awaitAll(t, arrays, 400)
				for _, b := range sim.BrokenRules() {
					t.Error(b)
				}
				t.Logf("%d of %d replicas up, arrays done after %v, %d starts, %d changes, %d killed by leases", up, want, time.Since(sim.StartTime), sim.Started, sim.Store.Writes, sim.LeaseKills)
				if up < want*95/100 {
					t.Errorf("%d of %d replicas are up", up, want)
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
