package simulator

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// stallAfterCommit stalls a controller for d right after one of its transactions that writes a key
// containing keyPart is applied, before the controller receives the answer. It does so four times at most,
// and not in the first 4 s of the simulation.
func stallAfterCommit(sim *Simulation, keyPart string, d time.Duration) {
	var stalls atomic.Int32
	sim.AfterTransaction = func(i int, txn protocol.Txn) {
		for _, c := range txn.Then {
			if strings.Contains(c.Put, keyPart) && time.Since(sim.StartTime) > 4*time.Second && stalls.Add(1) <= 4 {
				sim.KillCount.Add(1)
				sim.Controller(i).Stall(d)
				return
			}
		}
	}
}

// TestStalls stalls controllers while their clocks run on, for less than a session lease, about as long,
// and far longer. A stalled controller resumes as if no time had passed.
func TestStalls(t *testing.T) {
	for _, duration := range []time.Duration{2, 4, 5, 6, 9, 14, 45} {
		duration *= time.Second
		cases := []struct {
			name  string
			setup func(sim *Simulation)
			fault func(sim *Simulation)
		}{
			{"one controller after another", nil, func(sim *Simulation) {
				for i := range 3 {
					time.Sleep(5 * time.Second)
					sim.Controller(i).Stall(duration)
					time.Sleep(duration)
				}
			}},
			{"two controllers at once", nil, func(sim *Simulation) {
				time.Sleep(6 * time.Second)
				sim.Controller(0).Stall(duration)
				sim.Controller(1).Stall(duration)
			}},
			{"during a takeover", nil, func(sim *Simulation) {
				time.Sleep(6 * time.Second)
				sim.Kill(0)
				time.Sleep(4800 * time.Millisecond)
				sim.Controller(1).Stall(duration)
				time.Sleep(300 * time.Millisecond)
				sim.Controller(2).Stall(duration / 2)
				time.Sleep(duration)
				sim.Start(0)
			}},
			{"between the commit of a placement and its launches", func(sim *Simulation) { stallAfterCommit(sim, "/rack/", duration) }, nil},
			{"after the commit of a fleet record", func(sim *Simulation) { stallAfterCommit(sim, "/fleet/", duration) }, nil},
			{"after the commit of a shard's new owner", func(sim *Simulation) { stallAfterCommit(sim, "/share/", duration) }, func(sim *Simulation) {
				for i := range 3 {
					time.Sleep(7 * time.Second)
					sim.Kill(i)
					time.Sleep(time.Second)
					sim.Start(i)
				}
			}},
		}
		for _, c := range cases {
			t.Run(fmt.Sprintf("%v/%s", duration, c.name), func(t *testing.T) { runMixedLoad(t, 11, c.setup, c.fault, nil) })
		}
	}
}

// healComponents ends the faults of the controllers, the machines and the state service, and restarts the
// controllers that have ended.
func healComponents(sim *Simulation) {
	sim.Store.SetDown(false)
	for i := range 3 {
		sim.Store.RefuseController(fmt.Sprintf("n%d", i), false)
		if sim.Controller(i).ended() {
			sim.Start(i)
		} else {
			sim.Controller(i).SetPartitions(0)
		}
	}
	for _, m := range sim.Machines() {
		sim.UpdateMachine(m, func(m *Machine) {
			m.hanging, m.partitioned, m.inboundPartitioned, m.outboundPartitioned = false, false, false, false
		})
	}
}

// TestRandomFaults injects overlapping faults that the seed chooses: partitions of a controller from one
// or several neighbours or in one direction, refusals by the state service, stalls, ends of controllers,
// machines that boot late or never, and an outdated machine list.
func TestRandomFaults(t *testing.T) {
	faults := []func(sim *Simulation, i int){
		func(sim *Simulation, i int) { sim.Controller(i).SetPartitions(AllPartitions) },
		func(sim *Simulation, i int) { sim.Controller(i).SetPartitions(NoState) },
		func(sim *Simulation, i int) { sim.Controller(i).SetPartitions(NoWorkers) },
		func(sim *Simulation, i int) { sim.Controller(i).SetPartitions(NoUsers | NoWorkers) },
		func(sim *Simulation, i int) { sim.Controller(i).SetPartitions(NoStateAnswers) },
		func(sim *Simulation, i int) { sim.Controller(i).SetPartitions(NoCloud) },
		func(sim *Simulation, i int) { sim.Store.RefuseController(fmt.Sprintf("n%d", i), true) },
		func(sim *Simulation, i int) {
			sim.Controller(i).Stall(time.Duration(1000+sim.Random.IntN(14000)) * time.Millisecond)
		},
		func(sim *Simulation, i int) { sim.Kill(i) },
		func(sim *Simulation, _ int) { sim.Store.SetDown(true) },
		func(sim *Simulation, _ int) {
			if ms := sim.Machines(); len(ms) > 2 {
				sim.UpdateMachine(ms[sim.Random.IntN(len(ms))], HangingMachine(true))
			}
		},
		func(sim *Simulation, _ int) {
			if ms := sim.Machines(); len(ms) > 2 {
				sim.UpdateMachine(ms[sim.Random.IntN(len(ms))], MachinePartition(true))
			}
		},
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runMixedLoad(t, 100+seed, func(sim *Simulation) {
				if seed%2 == 1 {
					sim.ExchangePeerHeartbeats() // the rules must hold with and without peer heartbeats
				}
				// Faults overlap for up to 30 s, and cancelled tasks on a machine that hangs can't be
				// terminated before it resumes. Deployments set cancel_s to 36 s or more.
				sim.Settings.Deployment.Workers.CancelS = 36
				sim.Capacity = 12
				sim.BootTimeOf = func() time.Duration {
					switch sim.Random.IntN(4) {
					case 0:
						return 0
					case 1:
						return time.Duration(20+sim.Random.IntN(40)) * time.Second
					}
					return time.Duration(5+sim.Random.IntN(10)) * time.Second
				}
				sim.ListLag = func() time.Duration { return time.Duration(sim.Random.IntN(10000)) * time.Millisecond }
				sim.StartUser(JobSpec{Team: "grey", Tasks: 4, Cpus: 2, RunTime: 5 * time.Second, AlwaysFails: true, CancelAfter: 100 * time.Second})
			}, func(sim *Simulation) {
				for range 5 {
					time.Sleep(time.Duration(1000+sim.Random.IntN(5000)) * time.Millisecond)
					for range 1 + sim.Random.IntN(3) {
						faults[sim.Random.IntN(len(faults))](sim, sim.Random.IntN(3))
						time.Sleep(time.Duration(sim.Random.IntN(4000)) * time.Millisecond)
					}
					time.Sleep(time.Duration(1000+sim.Random.IntN(12000)) * time.Millisecond)
					healComponents(sim)
				}
			}, nil)
		})
	}
}

// TestLeasesSurviveStalledOwnerInOutage checks that no task is killed when a controller stalls during an
// outage of the state service. In the fault that this test guards against, no controller could take over
// the stalled owner's shards, the other controllers redirected its workers to it, and 1460 tasks were
// killed by their expired leases.
func TestLeasesSurviveStalledOwnerInOutage(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			runMixedLoad(t, 7, func(sim *Simulation) { sim.Settings.Deployment.Workers.CancelS = 36 }, func(sim *Simulation) {
				time.Sleep(8 * time.Second)
				sim.Store.SetDown(true)
				time.Sleep(3 * time.Second)
				if sim.LeaseKills > 0 {
					t.Error("tasks were killed by expired leases before the owner stalled: the stall can't be shown to be harmless")
				}
				sim.Controller(i).Stall(20 * time.Second)
				time.Sleep(20 * time.Second)
				sim.Store.SetDown(false)
			}, func(sim *Simulation) {
				if sim.LeaseKills > 0 {
					t.Errorf("%d tasks were killed by expired leases, want none", sim.LeaseKills)
				}
			})
		})
	}
}
