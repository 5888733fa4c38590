package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
)

const (
	// peerFresh is how long what was heard of a peer, or of the state service, counts as current.
	peerFresh = 2 * time.Second
	// storeOKWindow is how long after an answer of the state service this controller says that it is served.
	storeOKWindow = 3 * time.Second
	// maxPublishedShards is how many shards a peer heartbeat has bits for.
	maxPublishedShards = 64
	// maxShardDemands is how many of the top-priority jobs that lack room are published.
	maxShardDemands = 16
)

// peerState is what a controller last heard of another. Nothing is decided on it
// alone that could break a rule.
type peerState struct {
	heartbeat   protocol.PeerHeartbeat
	heardAt     time.Time
	deniedSince time.Time // says since then that the state service does not serve it
}

// fresh reports whether a peer was heard a moment ago.
func (p peerState) fresh(now time.Time) bool { return now.Sub(p.heardAt) < peerFresh }

// publishedSummary is what other goroutines may read without asking the core.
type publishedSummary struct {
	heartbeat     atomic.Pointer[protocol.PeerHeartbeat]
	shardDemands  atomic.Pointer[[]protocol.ShardDemand]
	incarnation   atomic.Uint64
	digest        atomic.Pointer[protocol.CancellationDigest]
	digestReaders atomic.Pointer[map[string]uint64] // how far the caches of those are that read digests
}

// publish brings up to date what other goroutines read.
func (c *Controller) publish(now time.Time) {
	heartbeat := c.currentPeerHeartbeat(now)
	c.summary.heartbeat.Store(&heartbeat)
	c.summary.digest.Store(c.currentDigest(now))
	c.summary.digestReaders.Store(c.digestReaders())
	c.summary.incarnation.Store(c.session.incarnation)
	demands := c.currentShardDemands()
	c.summary.shardDemands.Store(&demands)
}

// currentPeerHeartbeat is what the others are to hear of this controller now.
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

// currentShardDemands are the needs of top-priority jobs that are short of room.
func (c *Controller) currentShardDemands() []protocol.ShardDemand {
	var demands []protocol.ShardDemand
	for job, state := range c.jobStates {
		if !job.Open() || !job.Priority.Top() || state.shortSince.IsZero() || len(demands) >= maxShardDemands {
			continue
		}
		if wanted := c.wantedTasks(job); wanted > 0 {
			demands = append(demands, protocol.ShardDemand{Shard: uint32(job.Shard), OnDemand: !job.Spot, Cpus: float64(wanted) * job.Size})
		}
	}
	return demands
}

// othersChangeRate is how many changes a second the other living controllers make, below 0 if
// one of them is not heard: it may make as many as it likes.
func (c *Controller) othersChangeRate(now time.Time) float64 {
	sum := 0.0
	for name := range c.cache.Members {
		if name == c.cfg.MemberName {
			continue
		}
		peer, ok := c.reachability.peers[name]
		if !ok || now.Sub(peer.heardAt) > peerFresh {
			return -1
		}
		sum += float64(peer.heartbeat.ChangeRateMilli) / 1000
	}
	return sum
}

// PeerHeartbeat is what this controller sends to the others about itself.
func (c *Controller) PeerHeartbeat() protocol.PeerHeartbeat {
	if heartbeat := c.summary.heartbeat.Load(); heartbeat != nil {
		return *heartbeat
	}
	return protocol.PeerHeartbeat{}
}

// ShardDemands is what this controller's top-priority work lacks.
func (c *Controller) ShardDemands() []protocol.ShardDemand {
	if demands := c.summary.shardDemands.Load(); demands != nil {
		return *demands
	}
	return nil
}

// Incarnation is this process's own number, 0 before it is a member.
func (c *Controller) Incarnation() uint64 { return c.summary.incarnation.Load() }

// ReceivePeerHeartbeat takes another controller's peer heartbeat.
func (c *Controller) ReceivePeerHeartbeat(member string, heartbeat protocol.PeerHeartbeat) {
	c.post(func() { c.reachability.hearPeer(member, heartbeat, time.Now()) })
}

// hearPeer notes a peer's heartbeat.
func (r *reachability) hearPeer(member string, heartbeat protocol.PeerHeartbeat, now time.Time) {
	heard := peerState{heartbeat: heartbeat, heardAt: now}
	if !heartbeat.StateOK {
		heard.deniedSince = r.peers[member].deniedSince
		if heard.deniedSince.IsZero() {
			heard.deniedSince = now
		}
	}
	r.peers[member] = heard
	delete(r.disconnected, member)
}

// ReceiveShardDemands makes a leader look at once for machines that can move.
func (c *Controller) ReceiveShardDemands(string, protocol.ShardDemands) {
	c.post(func() {
		now := time.Now()
		if c.follower.loaded && c.isLeader() && now.Sub(c.leader.movedAt) >= c.timing.RebalanceInterval/2 {
			c.rebalance(context.Background(), now)
		}
	})
}

// PeerDisconnected forgets a controller whose connection has ended.
func (c *Controller) PeerDisconnected(member string) {
	c.post(func() { c.reachability.losePeer(member, time.Now()) })
}

// losePeer notes that a peer's connection has ended.
func (r *reachability) losePeer(member string, now time.Time) {
	if r.peers[member].fresh(now) {
		r.brokenConnections[member] = now // not for its silence
	}
	delete(r.peers, member)
	r.disconnected[member] = now
}
