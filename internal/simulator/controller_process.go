package simulator

import (
	"context"
	"sync/atomic"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

// ControllerProcess is one controller of the simulated deployment.
type ControllerProcess struct {
	Name            string
	Zone            string
	Link            *StoreLink
	Core            *controller.Controller
	simulation      *Simulation
	stop            context.CancelFunc
	handleHeartbeat func(ctx context.Context, r *protocol.Heartbeat, reply func(status int, body any))
	killed          atomic.Bool
	partitions      atomic.Uint32
	stalledUntil    atomic.Int64 // nanoseconds since the Unix epoch

	// HeartbeatMeter measures the workers' connections to a controller that is reached over HTTP.
	HeartbeatMeter Meter
}

// Partitions is a set of services that a controller is partitioned from.
type Partitions uint32

// The services that a controller can be partitioned from. With NoStateAnswers, its requests to the state service are
// carried out, but their answers are lost.
const (
	NoState Partitions = 1 << iota
	NoWorkers
	NoUsers
	NoCloud
	NoStateAnswers
	NoPeers
	AllPartitions = NoState | NoWorkers | NoUsers | NoCloud
)

// zonePartitions is what a controller in a partitioned zone cannot reach. It still reaches the workers of its zone.
const zonePartitions = NoState | NoUsers | NoCloud

// SetPartitions sets what a controller is partitioned from; 0 ends all partitions.
func (p *ControllerProcess) SetPartitions(c Partitions) { p.partitions.Store(uint32(c)) }

// IsPartitionedFrom reports whether a controller is partitioned from any of the given services.
func (p *ControllerProcess) IsPartitionedFrom(c Partitions) bool { return p.isPartitionedFrom(c) }

func (p *ControllerProcess) isPartitionedFrom(c Partitions) bool {
	return Partitions(p.partitions.Load())&c != 0
}

// Ended reports whether a controller was killed.
func (p *ControllerProcess) Ended() bool { return p.ended() }

func (p *ControllerProcess) ended() bool { return p.killed.Load() }

// Stall stops a controller for a time, while its clocks and the simulation run on.
func (p *ControllerProcess) Stall(d time.Duration) {
	p.stalledUntil.Store(time.Now().Add(d).UnixNano())
	// The controller's core answers the heartbeat of an unknown worker at once, so sending the answer blocks it for
	// the time of the stall.
	go p.Core.HandleHeartbeat(p.simulation.ctx, &protocol.Heartbeat{Machine: "nobody"}, func(int, any) { p.waitWhileStalled() })
}

// waitWhileStalled returns once the controller is not stalled.
func (p *ControllerProcess) waitWhileStalled() {
	for {
		left := time.Until(time.Unix(0, p.stalledUntil.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// stalledThrough waits until the controller is not stalled, and then reports whether a call that began at a time
// has exceeded its time-out.
func (p *ControllerProcess) stalledThrough(began time.Time, within time.Duration) bool {
	p.waitWhileStalled()
	return time.Since(began) > within
}
