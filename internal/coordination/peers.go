package coordination

import (
	"context"
	"sync/atomic"
	"time"

	"dykeledge/internal/protocol"
)

// peer is what a controller last heard of another. Nothing is decided on it
// alone that could break a rule.
type peer struct {
	pulse   protocol.Pulse
	at      time.Time
	refused time.Time // says since then that the state service does not serve it
}

const peerFresh = 2 * time.Second

// outline is what other goroutines may read without asking the core.
type outline struct {
	pulse       atomic.Pointer[protocol.Pulse]
	needs       atomic.Pointer[[]protocol.ShardDemand]
	incarnation atomic.Uint64
	word        atomic.Pointer[protocol.Word]
	readers     atomic.Pointer[map[string]uint64] // how far the caches of those are that read words
}

func (c *Controller) publish(now time.Time) {
	p := protocol.Pulse{StateOK: !c.alone(now) && c.badSince.IsZero() && now.Sub(c.goodAt) < 3*time.Second, Revision: c.cache.Revision,
		Changes: uint32(1000 * c.pace)}
	for s := range c.ownedShards {
		if c.ownedShards[s] > 0 && s < 64 {
			p.OwnedShards |= 1 << s
		}
	}
	c.outline.pulse.Store(&p)
	c.outline.word.Store(c.word(now))
	c.outline.readers.Store(c.readers())
	c.outline.incarnation.Store(c.incarnation)
	var needs []protocol.ShardDemand
	for j, jv := range c.jobs {
		if j.Open() && j.Priority.Top() && !jv.asked.IsZero() && c.wanting(j) > 0 && len(needs) < 16 {
			needs = append(needs, protocol.ShardDemand{Shard: uint32(j.Shard), OnDemand: !j.Spot, Cpus: float64(c.wanting(j)) * j.Size})
		}
	}
	c.outline.needs.Store(&needs)
}

// othersChanges is how many changes a second the other living nodes make, below 0 if
// one of them is not heard: it may make as many as it likes.
func (c *Controller) othersChanges(now time.Time) float64 {
	sum := 0.0
	for name := range c.cache.Nodes {
		if name == c.cfg.NodeName {
			continue
		}
		p, ok := c.peers[name]
		if !ok || now.Sub(p.at) > peerFresh {
			return -1
		}
		sum += float64(p.pulse.Changes) / 1000
	}
	return sum
}

// Pulse is what this node tells the others of itself.
func (c *Controller) Pulse() protocol.Pulse {
	if p := c.outline.pulse.Load(); p != nil {
		return *p
	}
	return protocol.Pulse{}
}

// ShardDemands is what this node's top-priority work lacks.
func (c *Controller) ShardDemands() []protocol.ShardDemand {
	if n := c.outline.needs.Load(); n != nil {
		return *n
	}
	return nil
}

// Incarnation is this process's own number, 0 before it is a member.
func (c *Controller) Incarnation() uint64 { return c.outline.incarnation.Load() }

// HearPulse takes another node's pulse.
func (c *Controller) HearPulse(node string, p protocol.Pulse) {
	c.post(func() {
		now := time.Now()
		heard := peer{pulse: p, at: now}
		if !p.StateOK {
			if heard.refused = c.peers[node].refused; heard.refused.IsZero() {
				heard.refused = now
			}
		}
		c.peers[node] = heard
		delete(c.lostPeers, node)
	})
}

// ReceiveShardDemands makes a leader look at once for machines that can move.
func (c *Controller) ReceiveShardDemands(string, protocol.ShardDemands) {
	c.post(func() {
		if now := time.Now(); c.loaded && c.leads() && now.Sub(c.lead.movedAt) >= c.times.MoveEvery/2 {
			c.moveRoom(context.Background(), now)
		}
	})
}

// LosePeer forgets a node whose connection has ended.
func (c *Controller) LosePeer(node string) {
	c.post(func() {
		now := time.Now()
		if now.Sub(c.peers[node].at) < peerFresh {
			c.broke[node] = now // not for its silence
		}
		delete(c.peers, node)
		c.lostPeers[node] = now
	})
}
