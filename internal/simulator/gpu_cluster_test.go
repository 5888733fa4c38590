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

// TestGPUCluster runs services of top priority beside arrays that save checkpoints, on machines whose GPUs
// are the scarce resource and with images that take as long to fetch as a machine to boot. One team, and
// so one shard, is served by three controllers with low limits. The faults are bursts of submissions, a
// partitioned zone that keeps running inside, dead and preempted machines, ends of shard owners, and the
// end of all controllers during an outage of the state service. No rule may be broken, 95 % of the service
// replicas must run 100 s after the last submission, and every array must complete.
func TestGPUCluster(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runGPUCluster(t, seed) })
		})
	}
}

// gpuCluster is a simulated cluster with the services and arrays submitted to it.
type gpuCluster struct {
	*Simulation
	services, arrays []*Job
	timeline         *replicaTimeline
}

// runGPUCluster runs TestGPUCluster with one seed.
func runGPUCluster(t *testing.T, seed uint64) {
	t.Helper()
	ctx := simulationContext(t)
	cluster := newGPUCluster(ctx, seed)
	for range 8 {
		cluster.submitService()
		cluster.submitArray()
	}
	for i := range 26 {
		time.Sleep(10 * time.Second)
		cluster.submitArray()
		if i%4 == 0 {
			cluster.submitService()
		}
		switch i {
		case 11:
			cluster.partitionZoneDuringBurst(int(seed) % 3)
		case 16:
			cluster.loseMachines()
		case 20: // all controllers end during an outage of the state service
			cluster.Store.SetDown(true)
			time.Sleep(4 * time.Second)
			cluster.Restart(5*time.Second, 0, 1, 2)
			time.Sleep(12 * time.Second)
			cluster.Store.SetDown(false)
		}
	}
	time.Sleep(100 * time.Second)
	running, expected := 0, 0
	for _, j := range cluster.services {
		expected += j.Tasks
		running += cluster.RunningTasksOf(j)
	}
	if running < expected*95/100 {
		t.Log(cluster.timeline.explain())
	}
	cluster.awaitAll(t, cluster.arrays, 400)
	for _, b := range cluster.BrokenRules() {
		t.Error(b)
	}
	t.Logf("%d of %d replicas running, arrays done after %v, %d task starts, %d writes, %d tasks killed by expired leases",
		running, expected, time.Since(cluster.StartTime), cluster.Started, cluster.Store.Writes, cluster.LeaseKills)
	if running < expected*95/100 {
		t.Errorf("%d of %d service replicas are running, want at least 95 %%", running, expected)
	}
}

// newGPUCluster starts three controllers under low limits of the state service and the cloud, with one
// team and machines of eight GPUs.
func newGPUCluster(ctx context.Context, seed uint64) *gpuCluster {
	cfg := testSettings()
	deployment := &cfg.Deployment
	deployment.Teams = []config.Team{{Name: "gpu"}}
	deployment.Workers = config.Workers{HeartbeatS: 1, LeaseS: 11, GangWaitS: 45, GangPeerS: 5, CancelS: 41}
	deployment.State = config.State{RPS: 150, WriteRPS: 25, ValueKB: 8, TxnOps: 8}
	deployment.Cloud = config.Cloud{RPS: 6, ListLagS: 3}
	deployment.Objectives = []config.Objective{{Kind: "wait", Class: "serve", WithinS: 40, Share: 0.92},
		{Kind: "finished", Class: "sweep", WithinS: 180, Share: 0.9}, {Kind: "finished", Class: "sweep", WithinS: 300, Share: 0.95}}
	cluster := &gpuCluster{Simulation: NewSimulation(ctx, cfg, 500+seed)}
	logger, kept := newRecentLog()
	cluster.Log = logger
	cluster.timeline = cluster.watchReplicas(kept)
	cluster.Catalog.Types = []protocol.MachineType{{Name: "g8", Cpus: 48, Gpus: 8, MemGB: 384, CacheGB: 50, FetchGBs: 0.25,
		Price: 21.54, SpotPrice: 6.58, BootS: 45, Zones: deployment.Zones}}
	cluster.BootTimeOf = func() time.Duration { return time.Duration(27+cluster.Random.IntN(40)) * time.Second }
	cluster.Capacity = 60
	cluster.Store.LimitRates(deployment.State.RPS, deployment.State.WriteRPS)
	cluster.Store.MaxValueBytes, cluster.Store.MaxChanges = 8<<10, 8
	cluster.LimitCloud(deployment.Cloud.RPS)
	eachController(cluster.Start)
	cluster.ExchangePeerHeartbeats()
	time.Sleep(2 * time.Second)
	return cluster
}

// submitService submits a service of three to eight replicas.
func (c *gpuCluster) submitService() {
	replicas := []int{3, 3, 6, 8}[c.Random.IntN(4)]
	image := c.Random.IntN(6)
	c.services = append(c.services, c.StartUser(JobSpec{Team: "gpu", Class: "serve", Shape: "daemon", Urgency: "production", Tasks: replicas, Cpus: 4, Gpus: 1,
		MemGB: 29, Image: fmt.Sprint("serve-", image), ImageGB: float64(4 + 2*image), NoSpot: true, Scatter: true}))
	c.timeline.add(c.services[len(c.services)-1])
}

// submitArray submits an array whose tasks save checkpoints.
func (c *gpuCluster) submitArray() {
	image := c.Random.IntN(8)
	c.arrays = append(c.arrays, c.StartUser(JobSpec{Team: "gpu", Class: "sweep", Urgency: "low", Tasks: 8 + c.Random.IntN(30), Cpus: 5, Gpus: 1, MemGB: 36,
		Image: fmt.Sprint("sweep-", image), ImageGB: float64(3 + image), RunTime: time.Duration(30+c.Random.IntN(60)) * time.Second, CheckpointS: 15}))
}

// partitionZoneDuringBurst submits six services while a random zone is partitioned from everything
// outside, and restarts one controller meanwhile.
func (c *gpuCluster) partitionZoneDuringBurst(killed int) {
	for range 6 {
		c.submitService()
	}
	c.PartitionZone(c.Settings.Deployment.Zones[c.Random.IntN(3)])
	c.Restart(5*time.Second, killed)
	time.Sleep(30 * time.Second)
	c.PartitionZone("")
}

// loseMachines makes every seventh machine die, and has the cloud preempt some of the spot machines.
func (c *gpuCluster) loseMachines() {
	for i, m := range c.Machines() {
		if i%7 == 0 {
			c.FailMachine(m)
		}
		if m.Spot && i%3 == 0 {
			c.UpdateMachine(m, PreemptionNotice(time.Duration(c.Random.IntN(20))*time.Second))
		}
	}
}
