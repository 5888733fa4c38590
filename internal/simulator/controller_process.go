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
	stalledUntil    atomic.Int64 // in nanoseconds since the epoch

	// HeartbeatMeter meters the workers' connections to a controller that speaks HTTP.
	HeartbeatMeter Meter
}

// Cuts are what a controller is partitioned from.
type Cuts uint32

// What a controller can be partitioned from. With NoAnswers, its requests to the state service
// are carried out and the answers are lost.
const (
	NoState Cuts = 1 << iota
	NoWorkers
	NoUsers
	NoCloud
	NoAnswers
	NoPeers
	AllCut = NoState | NoWorkers | NoUsers | NoCloud
)

// zonePartitions is what a controller in a partitioned zone can't reach; it reaches the workers there.
const zonePartitions = NoState | NoUsers | NoCloud

// Cut sets what a controller is partitioned from.
func (p *ControllerProcess) Cut(c Cuts) { p.partitions.Store(uint32(c)) }

// IsCut tells whether a controller is partitioned from any of these.
func (p *ControllerProcess) IsCut(c Cuts) bool { return p.isPartitionedFrom(c) }

func (p *ControllerProcess) isPartitionedFrom(c Cuts) bool { return Cuts(p.partitions.Load())&c != 0 }

// Ended tells whether a controller was killed.
func (p *ControllerProcess) Ended() bool { return p.ended() }

func (p *ControllerProcess) ended() bool { return p.killed.Load() }

// Stall stops a controller for a while; its clocks run on, and so does the simulation.
func (p *ControllerProcess) Stall(d time.Duration) {
	p.stalledUntil.Store(time.Now().Add(d).UnixNano())
	// The core answers an unknown worker's heartbeat at once: it is blocked by that answer for as long.
	go p.Core.HandleHeartbeat(p.simulation.ctx, &protocol.Heartbeat{Machine: "nobody"}, func(int, any) { p.waitWhileStalled() })
}

// waitWhileStalled waits while the controller is stalled.
func (p *ControllerProcess) waitWhileStalled() {
	for {
		left := time.Until(time.Unix(0, p.stalledUntil.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// stalledThrough waits while the controller is stalled, and tells whether a call that began
// at a time has run out of its time meanwhile.
func (p *ControllerProcess) stalledThrough(began time.Time, within time.Duration) bool {
	p.waitWhileStalled()
	return time.Since(began) > within
}
