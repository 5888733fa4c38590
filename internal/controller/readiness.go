package controller

import (
	"context"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"time"
)

// checkReadiness gives up shards and lead when this controller reaches no worker although it
// owns machines: a controller cut off from everything but the state service keeps its
// hold, and nobody else would take its workers before their leases run out.
func (c *Controller) checkReadiness(ctx context.Context, now time.Time) {
	if c.session.lease == 0 || c.storeFailing() {
		return
	}
	// Every worker heartbeats within 1.25 times ReportS: a few may be dead or hang, but
	// when many are all silent for longer, the fault is on this side.
	report := c.cfg.Deployment.Workers.HeartbeatS
	quiet := max(seconds(2*report+1.5), 4*time.Second)
	if c.session.notReady.Load() {
		if now.Sub(c.session.lastProbeAt) > time.Second {
			c.session.lastProbeAt = now
			c.probeWorker()
		}
		if now.Sub(c.workers.anyHeardAt) < time.Second || !c.othersReady() {
			c.setNotReady(ctx, false)
		}
		return
	}
	machines := 0
	for _, m := range c.cache.Machines {
		if !m.Gone && !m.Returning && m.Incarnation > 0 && c.ownsShard(m.Shard) {
			machines++
		}
	}
	if machines >= manyMachinesCount {
		quiet = max(seconds(1.25*report+1), 2500*time.Millisecond)
	}
	if machines >= 2 && c.silenceOf(c.workers.anyHeardAt, now) > quiet && now.Sub(c.shards.takenOverAt) > quiet && c.othersReady() {
		c.log.Info("no worker is heard, giving up shares", "machines", machines)
		c.setNotReady(ctx, true)
	}
}

// othersReady tells whether another living controller could do this controller's work.
func (c *Controller) othersReady() bool {
	for name, n := range c.cache.Members {
		if name != c.cfg.MemberName && !n.NotReady {
			return true
		}
	}
	return false
}

// manyMachinesCount are too many to fall silent together by themselves.
const manyMachinesCount = 8

func (c *Controller) setNotReady(ctx context.Context, unfit bool) {
	c.session.notReady.Store(unfit)
	c.log.Info("fitness changes", "unfit", unfit)
	var t protocol.Txn
	if unfit && c.isLeader() {
		t.If = []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}
		t.Then = []protocol.Change{{Delete: storage.LeaderKey}}
	}
	c.writeMember(ctx, t, unfit, func(ok bool) {
		if !ok {
			c.session.notReady.Store(!unfit) // tried again with the next look
		}
	})
}

// probeWorker asks some worker for its heartbeat, with a token that commands nothing.
func (c *Controller) probeWorker() {
	for _, machine := range c.cache.Machines {
		if machine.Gone || machine.Returning || machine.Addr == "" || machine.Incarnation == 0 {
			continue
		}
		if c.session.nextProbe++; c.session.nextProbe%3 != 0 {
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

// probeTimeout bounds how long a worker that is asked may take.
const probeTimeout = 900 * time.Millisecond

// probeHeartbeat asks a worker for its heartbeat, under a token that commands nothing: whatever comes back is an answer.
func (c *Controller) probeHeartbeat(m *storage.Machine, then func(answered bool)) {
	addr, session := m.Addr, m.Incarnation
	go func() {
		_, status, err := c.workerLink.Command(addr, protocol.DirectCommands{Incarnation: session, Commands: []protocol.Command{}}, probeTimeout)
		c.post(func() { then(err == nil && status != 0) })
	}()
}
