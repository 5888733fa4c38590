package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// largeMachineCount are too many to fall silent together by themselves.
	largeMachineCount = 8
	// minMachinesForReadiness is how many machines a controller must own to judge itself by their silence.
	minMachinesForReadiness = 2
	// readinessProbeInterval is how often a controller that is not ready probes a worker.
	readinessProbeInterval = time.Second
	// recoveryHeartbeatAge is how recently a worker must have been heard for a controller to be ready again.
	recoveryHeartbeatAge = time.Second
	// probeTimeout bounds how long a worker that is asked may take.
	probeTimeout = 900 * time.Millisecond
	// probeStride is how many eligible machines the search for one to probe counts for each probe,
	// so that not always the same one is asked.
	probeStride = 3
)

// checkReadiness gives up shards and leadership when this controller reaches no worker although it
// owns machines: a controller cut off from everything but the state service keeps its session
// lease, and nobody else would take its workers before their leases run out.
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
	if machines >= minMachinesForReadiness && c.silenceOf(c.workers.anyHeardAt, now) > limit && now.Sub(c.shards.takenOverAt) > limit && c.othersReady() {
		c.log.Info("no worker is heard, giving up shards", "machines", machines)
		c.setNotReady(ctx, true)
	}
}

// checkRecovery probes workers until one answers, or until no other controller is left.
func (c *Controller) checkRecovery(ctx context.Context, now time.Time) {
	if now.Sub(c.session.lastProbeAt) > readinessProbeInterval {
		c.session.lastProbeAt = now
		c.probeWorker()
	}
	if now.Sub(c.workers.anyHeardAt) < recoveryHeartbeatAge || !c.othersReady() {
		c.setNotReady(ctx, false)
	}
}

// silenceLimit is how long all workers must be silent for the fault to be on this side. Every
// worker heartbeats within 1.25 times HeartbeatS: a few may be dead or hang, but not many at once.
func (c *Controller) silenceLimit(machines int) time.Duration {
	heartbeatS := c.cfg.Deployment.Workers.HeartbeatS
	if machines >= largeMachineCount {
		return max(seconds(1.25*heartbeatS+1), 2500*time.Millisecond)
	}
	return max(seconds(2*heartbeatS+1.5), 4*time.Second)
}

// bootedOwnedMachines is how many machines of this controller's shards have come up.
func (c *Controller) bootedOwnedMachines() int {
	machines := 0
	for machine := range c.machinesInService() {
		if machine.Incarnation > 0 && c.ownsShard(machine.Shard) {
			machines++
		}
	}
	return machines
}

// othersReady tells whether another living controller could do this controller's work.
func (c *Controller) othersReady() bool {
	for name, member := range c.cache.Members {
		if name != c.cfg.MemberName && !member.NotReady {
			return true
		}
	}
	return false
}

// setNotReady tells the others whether this controller can do its work; a leader that can't gives
// up leadership with the same transaction.
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
			c.session.notReady.Store(!notReady) // tried again with the next tick
		}
	})
}

// probeWorker asks some worker for its heartbeat.
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
				c.workers.anyHeardAt = time.Now()
			}
		})
		return
	}
}

// probeHeartbeat asks a worker for its heartbeat, under a token that commands nothing: whatever
// comes back is an answer.
func (c *Controller) probeHeartbeat(m *storage.Machine, then func(answered bool)) {
	addr, incarnation := m.Addr, m.Incarnation
	go func() {
		_, status, err := c.workerLink.Command(addr, protocol.DirectCommands{Incarnation: incarnation, Commands: []protocol.Command{}}, probeTimeout)
		c.post(func() { then(err == nil && status != 0) })
	}()
}
