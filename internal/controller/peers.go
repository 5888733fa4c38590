package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
)

const (
	// peerFreshPeriod is how long after a peer's last heartbeat, or the state service's last answer, the peer
	// or the service counts as available.
	peerFreshPeriod = 2 * time.Second
	// storeOKWindow is how long after an answer of the state service this controller's peer heartbeats
	// report that the service answers it.
	storeOKWindow = 3 * time.Second
	// maxPublishedShards is the number of shards in a peer heartbeat's bit set of owned shards.
	maxPublishedShards = 64
	// maxShardDemands limits the number of top-priority jobs whose lack of capacity is published.
	maxShardDemands = 16
)

// peerState holds the last peer heartbeat of another controller. It is a hint: no decision whose
// correctness matters rests on it alone.
type peerState struct {
	heartbeat         protocol.PeerHeartbeat
	receivedAt        time.Time // when the heartbeat arrived
	storeRefusesSince time.Time // since when its heartbeats report that the state service refuses it; zero: they don't
}

// fresh reports whether the peer's last heartbeat arrived less than peerFreshPeriod ago.
func (p peerState) fresh(now time.Time) bool { return now.Sub(p.receivedAt) < peerFreshPeriod }

// publishedSummary holds copies of the core's state that other goroutines may read without a call to
// the core.
type publishedSummary struct {
	heartbeat     atomic.Pointer[protocol.PeerHeartbeat]
	shardDemands  atomic.Pointer[[]protocol.ShardDemand]
	incarnation   atomic.Uint64
	digest        atomic.Pointer[protocol.CancellationDigest]
	digestReaders atomic.Pointer[map[string]uint64] // by member that reads digests: its cache's revision
}

// publish updates the published summary.
func (c *Controller) publish(now time.Time) {
	heartbeat := c.currentPeerHeartbeat(now)
	c.summary.heartbeat.Store(&heartbeat)
	c.summary.digest.Store(c.currentDigest(now))
	c.summary.digestReaders.Store(c.digestReaders())
	c.summary.incarnation.Store(c.session.incarnation)
	demands := c.currentShardDemands()
	c.summary.shardDemands.Store(&demands)
}

// currentPeerHeartbeat returns the peer heartbeat that describes this controller now.
func (c *Controller) currentPeerHeartbeat(now time.Time) protocol.PeerHeartbeat {
	health := &c.storeHealth
	heartbeat := protocol.PeerHeartbeat{
		StateOK:         !c.isolatedFromStore(now) && health.failingSince.IsZero() && now.Sub(health.servedAt) < storeOKWindow,
		Revision:        c.cache.Revision,
		ChangeRateMilli: uint32(1000 * health.changeRate),
	}
	for shard, version := range c.shards.owned {
		if version > 0 && shard < maxPublishedShards {
			heartbeat.OwnedShards |= 1 << shard
		}
	}
	return heartbeat
}

// currentShardDemands returns the demand of this controller's top-priority jobs that lack capacity.
func (c *Controller) currentShardDemands() []protocol.ShardDemand {
	var demands []protocol.ShardDemand
	for job, state := range c.jobStates {
		if !job.Open() || !job.Priority.IsTop() || state.capacityShortSince.IsZero() || len(demands) >= maxShardDemands {
			continue
		}
		if wanted := c.wantedTasks(job); wanted > 0 {
			demands = append(demands, protocol.ShardDemand{Shard: uint32(job.Shard), OnDemand: !job.Spot, Cpus: float64(wanted) * job.TaskSize})
		}
	}
	return demands
}

// othersChangeRate returns how many changes per second the other members make at the state service.
// It is -1 if one of them has sent no recent peer heartbeat, since its rate is then unknown.
func (c *Controller) othersChangeRate(now time.Time) float64 {
	sum := 0.0
	for name := range c.cache.Members {
		if name == c.cfg.MemberName {
			continue
		}
		peer, ok := c.reachability.peers[name]
		if !ok || now.Sub(peer.receivedAt) > peerFreshPeriod {
			return -1
		}
		sum += float64(peer.heartbeat.ChangeRateMilli) / 1000
	}
	return sum
}

// PeerHeartbeat returns the peer heartbeat to send to the other controllers.
func (c *Controller) PeerHeartbeat() protocol.PeerHeartbeat {
	if heartbeat := c.summary.heartbeat.Load(); heartbeat != nil {
		return *heartbeat
	}
	return protocol.PeerHeartbeat{}
}

// ShardDemands returns the published capacity demand of this controller's top-priority jobs.
func (c *Controller) ShardDemands() []protocol.ShardDemand {
	if demands := c.summary.shardDemands.Load(); demands != nil {
		return *demands
	}
	return nil
}

// Incarnation returns this process's incarnation, 0 before it is a member.
func (c *Controller) Incarnation() uint64 { return c.summary.incarnation.Load() }

// ReceivePeerHeartbeat stores a peer heartbeat received from another controller.
func (c *Controller) ReceivePeerHeartbeat(member string, heartbeat protocol.PeerHeartbeat) {
	c.post(func() { c.reachability.storePeerHeartbeat(member, heartbeat, time.Now()) })
}

// storePeerHeartbeat stores a peer's heartbeat, and since when the peer has been refused by the state
// service.
func (r *reachability) storePeerHeartbeat(member string, heartbeat protocol.PeerHeartbeat, now time.Time) {
	state := peerState{heartbeat: heartbeat, receivedAt: now}
	if !heartbeat.StateOK {
		state.storeRefusesSince = r.peers[member].storeRefusesSince
		if state.storeRefusesSince.IsZero() {
			state.storeRefusesSince = now
		}
	}
	r.peers[member] = state
	delete(r.disconnected, member)
}

// ReceiveShardDemands runs a rebalancing pass at once on the leader, unless one ran less than half of
// the rebalancing interval ago. The demands themselves are not read here.
func (c *Controller) ReceiveShardDemands(string, protocol.ShardDemands) {
	c.post(func() {
		now := time.Now()
		if c.follower.loaded && c.isLeader() && now.Sub(c.leader.movedAt) >= c.timing.RebalanceInterval/2 {
			c.rebalance(context.Background(), now)
		}
	})
}

// PeerDisconnected records that the connection to another controller has ended.
func (c *Controller) PeerDisconnected(member string) {
	c.post(func() { c.reachability.notePeerDisconnected(member, time.Now()) })
}

// notePeerDisconnected deletes a peer's state and records that its connection has ended.
func (r *reachability) notePeerDisconnected(member string, now time.Time) {
	if r.peers[member].fresh(now) {
		r.brokenConnections[member] = now // the connection did not end because the peer was silent
	}
	delete(r.peers, member)
	r.disconnected[member] = now
}
