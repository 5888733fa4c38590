package simulator

import (
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// network is what lies between the parts of a simulation: partitions, and hooks that delay, repeat and lose messages. A
// hook that is not set changes nothing; tests set them before the simulation begins.
type network struct {
	isolatedZone   string                // the zone that is partitioned from all others
	heldHeartbeats []*protocol.Heartbeat // for the next leader

	// Delay is how long a message takes between two zones of controllers and workers that speak HTTP.
	Delay func(from, to string) time.Duration
	// Late delays transactions; their sender learns nothing.
	Late func(controller string, t protocol.Txn) time.Duration
	// LostAnswers has a transaction carried out at once and its answer lost.
	LostAnswers func(controller string, t protocol.Txn) bool
	// LateCommands delays direct commands; their sender learns nothing.
	LateCommands func(machine string, commands protocol.DirectCommands) time.Duration
	// LateAnswers delays the answer to a direct command, which was carried out.
	LateAnswers func(machine string) time.Duration
	// LateHeartbeats delays heartbeats; their sender learns nothing.
	LateHeartbeats func(machine string) time.Duration
	// CopiedHeartbeats has a copy of a heartbeat arrive again, so much later; 0: none.
	CopiedHeartbeats func(machine string) time.Duration
	// KeptHeartbeats has a copy of a heartbeat kept back, which every controller gets as the next leader begins.
	KeptHeartbeats func(machine string) bool
	// LateScaleOuts delays rental requests; their sender learns nothing.
	LateScaleOuts func() time.Duration
}

// separates tells whether the partition is between a controller and a machine.
func (n *network) separates(process *ControllerProcess, machine *Machine) bool {
	return n.isolatedZone != "" && (process.Zone == n.isolatedZone) != (machine.Zone == n.isolatedZone)
}

// isIsolated tells whether a zone is the one that is partitioned from all others.
func (n *network) isIsolated(zone string) bool { return zone != "" && zone == n.isolatedZone }

// heartbeatDelays asks the hooks what becomes of a heartbeat, and keeps it back for the next leader where they say so.
func (n *network) heartbeatDelays(heartbeat *protocol.Heartbeat) (delay, copyAfter time.Duration) {
	if n.LateHeartbeats != nil {
		delay = n.LateHeartbeats(heartbeat.Machine)
	}
	if n.CopiedHeartbeats != nil {
		copyAfter = n.CopiedHeartbeats(heartbeat.Machine)
	}
	if n.KeptHeartbeats != nil && n.KeptHeartbeats(heartbeat.Machine) {
		n.heldHeartbeats = append(n.heldHeartbeats, heartbeat)
	}
	return delay, copyAfter
}

// takeHeldHeartbeats returns the heartbeats that were kept back for the next leader.
func (n *network) takeHeldHeartbeats() []*protocol.Heartbeat {
	kept := n.heldHeartbeats
	n.heldHeartbeats = nil
	return kept
}

// commandDelay asks the hook how long direct commands take to arrive.
func (n *network) commandDelay(machine *Machine, commands protocol.DirectCommands) time.Duration {
	if machine == nil || n.LateCommands == nil {
		return 0
	}
	return n.LateCommands(machine.Name, commands)
}

// answerDelay asks the hook how long the answer to direct commands takes.
func (n *network) answerDelay(machine *Machine) time.Duration {
	if n.LateAnswers == nil {
		return 0
	}
	return n.LateAnswers(machine.Name)
}

// PartitionZone partitions a zone from everything outside; "" ends that. What is inside goes on among itself.
func (sim *Simulation) PartitionZone(zone string) {
	sim.mu.Lock()
	sim.isolatedZone = zone
	processes := slices.Clone(sim.controllers)
	sim.mu.Unlock()
	for _, process := range processes {
		if process.Cut(0); process.Zone == zone {
			process.Cut(zonePartitions)
		}
	}
}

func (sim *Simulation) partitionedZone() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.isolatedZone
}

// ZonesPartitioned tells whether a partition is between two zones.
func (sim *Simulation) ZonesPartitioned(a, b string) bool {
	isolated := sim.partitionedZone()
	return a != b && isolated != "" && (a == isolated || b == isolated)
}

// waitZoneDelay waits for as long as a message takes between two zones.
func (sim *Simulation) waitZoneDelay(from, to string) {
	if sim.Delay != nil {
		time.Sleep(sim.Delay(from, to))
	}
}

// Copies of heartbeats are delivered to a new leader as it begins, and again until it has taken shards.
const (
	heldDeliveryRounds   = 20
	heldDeliveryInterval = 30 * time.Millisecond
)

// deliverHeldHeartbeats delivers what was kept back for the next leader to every controller.
func (sim *Simulation) deliverHeldHeartbeats() {
	kept, processes := sim.takeHeldHeartbeats(), slices.Clone(sim.controllers)
	go func() {
		for range heldDeliveryRounds {
			for _, process := range processes {
				for _, heartbeat := range kept {
					if !process.ended() && !process.isPartitionedFrom(NoWorkers) {
						sim.CopiesToNext.Add(1)
						process.handleHeartbeat(sim.ctx, heartbeat, func(int, any) {})
					}
				}
			}
			time.Sleep(heldDeliveryInterval)
		}
	}()
}
