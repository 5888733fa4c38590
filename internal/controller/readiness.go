package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// largeMachineCount is the number of machines at or above which a simultaneous loss of all heartbeats
	// is unlikely to be caused by the machines.
	largeMachineCount = 8
	// minMachinesForReadiness is the minimum number of owned machines for a controller to become not ready when
	// all are silent.
	minMachinesForReadiness = 2
	// readinessProbeInterval is the time between two probes of a worker by a controller that is not ready.
	readinessProbeInterval = time.Second
	// recoveryHeartbeatAge is the maximum age of the latest worker heartbeat for a controller to become ready
	// again.
	recoveryHeartbeatAge = time.Second
	// probeTimeout bounds the time that a probed worker has to respond.
	probeTimeout = 900 * time.Millisecond
	// probeStride is the number of eligible machines that the search passes for each probe, so that it does
	// not always select the same one.
	probeStride = 3
)

// checkReadiness gives up shards and leadership if this controller receives no heartbeat from any worker
// although it owns machines. A controller that reaches nothing but the state service keeps its session lease,
// so no other controller would take over its workers before their leases expire.
func (c *Controller) checkReadiness(ctx context.Context, now time.Time) {
	if c.session.lease == 0 || c.storeFailing() {
		return
	}
	if c.session.notReady.Load() {
		c.checkRecovery(ctx, now)
		return
	}
	machines := c.bootedOwnedMachines()
	limit := c.silenceLimit(machines)
	if machines >= minMachinesForReadiness && c.silenceOf(c.workers.lastWorkerMessageAt, now) > limit && now.Sub(c.shards.takenOverAt) > limit && c.anotherControllerReady() {
		c.log.Info("no worker heartbeats received, giving up shards", "machines", machines)
		c.setNotReady(ctx, true)
	}
}

// checkRecovery probes workers. The controller becomes ready again when a worker responds, or when no other
// controller is ready.
func (c *Controller) checkRecovery(ctx context.Context, now time.Time) {
	if now.Sub(c.session.lastProbeAt) > readinessProbeInterval {
		c.session.lastProbeAt = now
		c.probeWorker()
	}
	if now.Sub(c.workers.lastWorkerMessageAt) < recoveryHeartbeatAge || !c.anotherControllerReady() {
		c.setNotReady(ctx, false)
	}
}

// silenceLimit returns how long all workers must be silent before the fault is assumed to be on this
// controller's side. Every worker sends a heartbeat within 1.25 times HeartbeatS; a few workers may be dead
// or hang, but not many at once.
func (c *Controller) silenceLimit(machines int) time.Duration {
	heartbeatS := c.cfg.Deployment.Workers.HeartbeatS
	if machines >= largeMachineCount {
		return max(seconds(1.25*heartbeatS+1), 2500*time.Millisecond)
	}
	return max(seconds(2*heartbeatS+1.5), 4*time.Second)
}

// bootedOwnedMachines returns the number of machines in this controller's shards that have come up.
func (c *Controller) bootedOwnedMachines() int {
	machines := 0
	for machine := range c.machinesInService() {
		if machine.Incarnation > 0 && c.ownsShard(machine.Shard) {
			machines++
		}
	}
	return machines
}

// anotherControllerReady reports whether another live controller is ready and could take over this controller's work.
func (c *Controller) anotherControllerReady() bool {
	for name, member := range c.cache.Members {
		if name != c.cfg.MemberName && !member.NotReady {
			return true
		}
	}
	return false
}

// setNotReady writes to the member record whether this controller is ready. A leader that becomes not ready
// gives up leadership in the same transaction.
func (c *Controller) setNotReady(ctx context.Context, notReady bool) {
	c.session.notReady.Store(notReady)
	c.log.Info("readiness changed", "ready", !notReady)
	var txn protocol.Txn
	if notReady && c.isLeader() {
		txn = c.leaderTxn()
		txn.Then = []protocol.Change{{Delete: storage.LeaderKey}}
	}
	c.writeMember(ctx, txn, notReady, func(ok bool) {
		if !ok {
			c.session.notReady.Store(!notReady) // the next tick retries
		}
	})
}

// probeWorker probes one worker; a response counts as a heartbeat for the readiness of this controller.
func (c *Controller) probeWorker() {
	for machine := range c.machinesInService() {
		if machine.Addr == "" || machine.Incarnation == 0 {
			continue
		}
		c.session.nextProbe++
		if c.session.nextProbe%probeStride != 0 {
			continue
		}
		c.probeHeartbeat(machine, func(answered bool) {
			if answered {
				c.workers.lastWorkerMessageAt = time.Now()
			}
		})
		return
	}
}

// probeHeartbeat requests a worker's heartbeat without commands and without a fencing token. Any HTTP
// response counts as an answer.
func (c *Controller) probeHeartbeat(m *storage.Machine, then func(answered bool)) {
	addr, incarnation := m.Addr, m.Incarnation
	go func() {
		_, status, err := c.workerLink.Command(addr, protocol.DirectCommands{Incarnation: incarnation, Commands: []protocol.Command{}}, probeTimeout)
		c.post(func() { then(err == nil && status != 0) })
	}()
}
