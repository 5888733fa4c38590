package coordination

import "time"

// Everything that this node concludes from silence goes through this file. A node
// that stood still while its clocks ran on finds every timer due and everything
// last heard long ago, although it was the one that was away.

// stoodStill is how late the loop must come round for it to count as a standstill:
// several ticks. A starved processor looks the same from inside, and is.
const stoodStill = time.Second

// hearAgain is how long after a standstill peers' connections may break off without
// meaning anything: deadlines that passed meanwhile close them, and both sides dial anew.
const hearAgain = 3 * time.Second

// comeRound notices a standstill. The core's loop calls it before anything else each
// time it comes round, so nothing is concluded from what is old only because of it.
func (c *Controller) comeRound(now time.Time) {
	last := c.cameRound
	c.cameRound = now
	if last.IsZero() || now.Sub(last) < c.times.Tick+stoodStill {
		return
	}
	c.log.Info("this node stood still", "for", now.Sub(last).Round(10*time.Millisecond).Seconds(), "hold_in_question", !c.holds(now))
	c.metrics.standstills.Inc()
	c.awake = now
	// What was idle or spare before says nothing about now.
	clear(c.lead.spareFrom)
	clear(c.lead.empty)
	clear(c.lead.unrecorded)
}

// silentFor is how long something last heard at a time has been silent, as far as
// this node was there to hear it.
func (c *Controller) silentFor(at, now time.Time) time.Duration {
	return now.Sub(maxTime(at, c.awake))
}

// sleptSince tells whether this node stood still after a time: what it worked out
// before may be older than what another node has said since.
func (c *Controller) sleptSince(at time.Time) bool { return c.awake.After(at) }

// holds tells whether this node's hold is certain to last still. When it is not,
// another node may own its shares or lead already. What is conditional on records
// fails by itself then; what is not must wait.
func (c *Controller) holds(now time.Time) bool {
	return c.lease != 0 && now.Sub(c.renewed) < c.times.Hold
}

// lostFor is how long a node whose connection broke off may stay unheard, or may be
// refused by the state service, before its shares and its lead are given to others.
// It may be alive: what it commits then fails on the records' versions, so a wrong
// guess costs only a pause.
const lostFor = 1200 * time.Millisecond

// lost tells whether a node's process seems to have ended, or says itself that the
// state service refuses it. Its end is a hint for as long as its hold may outlive it: a
// node whose key is still there later has renewed its hold, whatever became of the
// connection. And a node that loses most of several others at once is more likely to be
// apart itself, or a filter stands between all.
func (c *Controller) lost(node string, now time.Time) bool {
	if c.refused(node, now) {
		return true
	}
	if now.Sub(c.awake) < hearAgain {
		return false
	}
	seems := func(at time.Time) bool {
		return now.Sub(at) > lostFor && now.Sub(at) < lostFor+c.times.Hold+time.Second
	}
	at, ok := c.lostPeers[node]
	if !ok || !seems(at) {
		return false
	}
	gone, others := 0, 0
	for name := range c.cache.Nodes {
		if name == c.cfg.NodeName {
			continue
		}
		others++
		if at, ok := c.lostPeers[name]; ok && seems(at) {
			gone++
		}
	}
	return others <= 2 || 2*gone <= others+1
}

// refused tells whether a node says that the state service does not serve it, while
// it serves this one: its hold would keep its shares for seconds more.
func (c *Controller) refused(node string, now time.Time) bool {
	p, ok := c.peers[node]
	return ok && c.served(now) && now.Sub(p.at) < peerFresh && !p.refused.IsZero() && now.Sub(p.refused) > lostFor
}

// served tells whether the state service has answered this node well just now.
func (c *Controller) served(now time.Time) bool {
	return c.badSince.IsZero() && now.Sub(c.goodAt) < peerFresh
}

// alone tells whether the state service refuses this node while it serves
// another: then users are better off elsewhere. In an outage nobody is served,
// and a node that stays ready can take requests the moment it ends.
func (c *Controller) alone(now time.Time) bool {
	if c.silentFor(c.goodAt, now) < peerFresh {
		return false
	}
	for _, p := range c.peers {
		if p.pulse.StateOK && now.Sub(p.at) < peerFresh {
			return true
		}
	}
	return false
}
