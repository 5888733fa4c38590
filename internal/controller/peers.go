package controller

import (
	"context"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
)

// peerState is what a controller last heard of another. Nothing is decided on it
// alone that could break a rule.
type peerState struct {
	heartbeat   protocol.PeerHeartbeat
	heardAt     time.Time
	deniedSince time.Time // says since then that the state service does not serve it
}

const peerFresh = 2 * time.Second

// publishedSummary is what other goroutines may read without asking the core.
type publishedSummary struct {
	heartbeat     atomic.Pointer[protocol.PeerHeartbeat]
	shardDemands  atomic.Pointer[[]protocol.ShardDemand]
	incarnation   atomic.Uint64
	digest        atomic.Pointer[protocol.CancellationDigest]
	digestReaders atomic.Pointer[map[string]uint64] // how far the caches of those are that read words
}

func (c *Controller) publish(now time.Time) {
	peerHeartbeat := protocol.PeerHeartbeat{StateOK: !c.isolatedFromStore(now) && c.storeHealth.failingSince.IsZero() && now.Sub(c.storeHealth.servedAt) < 3*time.Second, Revision: c.cache.Revision,
		ChangeRateMilli: uint32(1000 * c.storeHealth.changeRate)}
	for s := range c.shards.owned {
		if c.shards.owned[s] > 0 && s < 64 {
			peerHeartbeat.OwnedShards |= 1 << s
		}
	}
	c.summary.heartbeat.Store(&peerHeartbeat)
	c.summary.digest.Store(c.currentDigest(now))
	c.summary.digestReaders.Store(c.digestReaders())
	c.summary.incarnation.Store(c.session.incarnation)
	var needs []protocol.ShardDemand
	for j, jv := range c.jobStates {
		if j.Open() && j.Priority.Top() && !jv.shortSince.IsZero() && c.wantedTasks(j) > 0 && len(needs) < 16 {
			needs = append(needs, protocol.ShardDemand{Shard: uint32(j.Shard), OnDemand: !j.Spot, Cpus: float64(c.wantedTasks(j)) * j.Size})
		}
	}
	c.summary.shardDemands.Store(&needs)
}

// othersChangeRate is how many changes a second the other living controllers make, below 0 if
// one of them is not heard: it may make as many as it likes.
func (c *Controller) othersChangeRate(now time.Time) float64 {
	sum := 0.0
	for name := range c.cache.Members {
		if name == c.cfg.MemberName {
			continue
		}
		p, ok := c.reachability.peers[name]
		if !ok || now.Sub(p.heardAt) > peerFresh {
			return -1
		}
		sum += float64(p.heartbeat.ChangeRateMilli) / 1000
	}
	return sum
}

// PeerHeartbeat is what this controller tells the others of itself.
func (c *Controller) PeerHeartbeat() protocol.PeerHeartbeat {
	if p := c.summary.heartbeat.Load(); p != nil {
		return *p
	}
	return protocol.PeerHeartbeat{}
}

// ShardDemands is what this controller's top-priority work lacks.
func (c *Controller) ShardDemands() []protocol.ShardDemand {
	if n := c.summary.shardDemands.Load(); n != nil {
		return *n
	}
	return nil
}

// Incarnation is this process's own number, 0 before it is a member.
func (c *Controller) Incarnation() uint64 { return c.summary.incarnation.Load() }

// ReceivePeerHeartbeat takes another controller's peer heartbeat.
func (c *Controller) ReceivePeerHeartbeat(node string, p protocol.PeerHeartbeat) {
	c.post(func() {
		now := time.Now()
		heard := peerState{heartbeat: p, heardAt: now}
		if !p.StateOK {
			if heard.deniedSince = c.reachability.peers[node].deniedSince; heard.deniedSince.IsZero() {
				heard.deniedSince = now
			}
		}
		c.reachability.peers[node] = heard
		delete(c.reachability.disconnected, node)
	})
}

// ReceiveShardDemands makes a leader look at once for machines that can move.
func (c *Controller) ReceiveShardDemands(string, protocol.ShardDemands) {
	c.post(func() {
		if now := time.Now(); c.follower.loaded && c.isLeader() && now.Sub(c.leader.movedAt) >= c.timing.RebalanceInterval/2 {
			c.rebalance(context.Background(), now)
		}
	})
}

// PeerDisconnected forgets a controller whose connection has ended.
func (c *Controller) PeerDisconnected(node string) {
	c.post(func() {
		now := time.Now()
		if now.Sub(c.reachability.peers[node].heardAt) < peerFresh {
			c.reachability.brokenConnections[node] = now // not for its silence
		}
		delete(c.reachability.peers, node)
		c.reachability.disconnected[node] = now
	})
}
