package simulator

import (
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// network holds the faults of the network between the parts of a simulation: a zone partition, and hooks that
// delay, duplicate and lose messages. A hook that is nil changes nothing. Tests set the hooks before the simulation
// begins.
type network struct {
	isolatedZone   string                // the zone that is partitioned from all others; "" if none is
	heldHeartbeats []*protocol.Heartbeat // to be delivered after the next change of leadership
	heldCommands   []executedCommands    // to be delivered again when a controller starts or leadership changes

	// ZoneDelay returns how long a message takes between two zones, for workers and controllers that communicate over
	// HTTP.
	ZoneDelay func(from, to string) time.Duration
	// LateTransactions returns the delay of a transaction. The sender of a delayed transaction gets no answer.
	LateTransactions func(controller string, t protocol.Txn) time.Duration
	// TransactionDuplicateDelay returns the delay after which a duplicate of a transaction that was applied and answered
	// arrives; 0: there is no duplicate.
	TransactionDuplicateDelay func(controller string, t protocol.Txn) time.Duration
	// LostAnswers reports whether a transaction is applied at once, but its answer is lost.
	LostAnswers func(controller string, t protocol.Txn) bool
	// LateCommands returns the delay of direct commands. The sender of delayed commands gets no answer.
	LateCommands func(machine string, commands protocol.DirectCommands) time.Duration
	// CommandDuplicateDelay returns the delay after which a duplicate of direct commands that were executed and answered
	// arrives; 0: there is no duplicate.
	CommandDuplicateDelay func(machine string, commands protocol.DirectCommands) time.Duration
	// HoldCommands reports whether a duplicate of direct commands that were executed and answered is held until a
	// controller starts or leadership changes.
	HoldCommands func(machine string) bool
	// LateAnswers returns the delay of the answer to direct commands, which were executed.
	LateAnswers func(machine string) time.Duration
	// LateHeartbeats returns the delay of a heartbeat. The sender of a delayed heartbeat gets no answer.
	LateHeartbeats func(machine string) time.Duration
	// HeartbeatDuplicateDelay returns the delay after which a duplicate of a heartbeat arrives; 0: there is no duplicate.
	HeartbeatDuplicateDelay func(machine string) time.Duration
	// HoldHeartbeat reports whether a duplicate of a heartbeat is held until the next change of leadership, when
	// it is delivered to every controller.
	HoldHeartbeat func(machine string) bool
	// LateScaleOuts returns the delay of a scale-out request. The sender of a delayed request gets no answer.
	LateScaleOuts func() time.Duration
}

// separates reports whether the zone partition lies between a controller and a machine.
func (n *network) separates(process *ControllerProcess, machine *Machine) bool {
	return n.isolatedZone != "" && (process.Zone == n.isolatedZone) != (machine.Zone == n.isolatedZone)
}

// isIsolated reports whether a zone is the one that is partitioned from all others.
func (n *network) isIsolated(zone string) bool { return zone != "" && zone == n.isolatedZone }

// heartbeatDelays returns the delays of a heartbeat and its duplicate, 0 if there are none. If the hook demands it,
// the heartbeat is also held for delivery after the next change of leadership.
func (n *network) heartbeatDelays(heartbeat *protocol.Heartbeat) (delay, copyAfter time.Duration) {
	if n.LateHeartbeats != nil {
		delay = n.LateHeartbeats(heartbeat.Machine)
	}
	if n.HeartbeatDuplicateDelay != nil {
		copyAfter = n.HeartbeatDuplicateDelay(heartbeat.Machine)
	}
	if n.HoldHeartbeat != nil && n.HoldHeartbeat(heartbeat.Machine) {
		n.heldHeartbeats = append(n.heldHeartbeats, heartbeat)
	}
	return delay, copyAfter
}

// takeHeldHeartbeats removes and returns the held heartbeats.
func (n *network) takeHeldHeartbeats() []*protocol.Heartbeat {
	kept := n.heldHeartbeats
	n.heldHeartbeats = nil
	return kept
}

// commandDelay returns the delay of direct commands to a machine.
func (n *network) commandDelay(machine *Machine, commands protocol.DirectCommands) time.Duration {
	if machine == nil || n.LateCommands == nil {
		return 0
	}
	return n.LateCommands(machine.Name, commands)
}

// answerDelay returns the delay of the answer to direct commands.
func (n *network) answerDelay(machine *Machine) time.Duration {
	if n.LateAnswers == nil {
		return 0
	}
	return n.LateAnswers(machine.Name)
}

// PartitionZone partitions a zone from all others, the state service, the users and the cloud; "" ends the
// partition. Within the zone, messages still arrive.
func (sim *Simulation) PartitionZone(zone string) {
	sim.mu.Lock()
	sim.isolatedZone = zone
	processes := slices.Clone(sim.controllers)
	sim.mu.Unlock()
	for _, process := range processes {
		if process.SetPartitions(0); process.Zone == zone {
			process.SetPartitions(zonePartitions)
		}
	}
}

func (sim *Simulation) partitionedZone() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.isolatedZone
}

// ZonesPartitioned reports whether a partition lies between two zones.
func (sim *Simulation) ZonesPartitioned(a, b string) bool {
	isolated := sim.partitionedZone()
	return a != b && isolated != "" && (a == isolated || b == isolated)
}

// waitZoneDelay waits for as long as a message takes between two zones.
func (sim *Simulation) waitZoneDelay(from, to string) {
	if sim.ZoneDelay != nil {
		time.Sleep(sim.ZoneDelay(from, to))
	}
}

// Held heartbeats are delivered to each controller several times after a change of leadership, until the new leader
// has taken over shards.
const (
	heldDeliveryRounds   = 20
	heldDeliveryInterval = 30 * time.Millisecond
)

// deliverHeldHeartbeats delivers the held heartbeats to every controller.
func (sim *Simulation) deliverHeldHeartbeats() {
	kept, processes := sim.takeHeldHeartbeats(), slices.Clone(sim.controllers)
	go func() {
		for range heldDeliveryRounds {
			for _, process := range processes {
				for _, heartbeat := range kept {
					if !process.ended() && !process.isPartitionedFrom(NoWorkers) {
						sim.DuplicatesToNewLeader.Add(1)
						process.handleHeartbeat(sim.ctx, heartbeat, func(int, any) {})
					}
				}
			}
			time.Sleep(heldDeliveryInterval)
		}
	}()
}
