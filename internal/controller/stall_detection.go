package controller

import "time"

// reachability is when this controller itself was running, and whom it hears: peers and zones.
// It is written by this file, peers.go and zones.go.
type reachability struct {
	lastLoopAt        time.Time            // when the loop last came round
	resumedAt         time.Time            // when this controller last resumed after a stall
	peers             map[string]peerState // by member
	disconnected      map[string]time.Time // members whose connection ended, until they are heard again
	brokenConnections map[string]time.Time // by member: its connection broke off while it was heard
	leaseSeenAt       map[string]time.Time // by member: when its session lease was last seen
	zones             []zoneState          // by zone
}

func newReachability() reachability {
	return reachability{
		peers:             map[string]peerState{},
		disconnected:      map[string]time.Time{},
		brokenConnections: map[string]time.Time{},
		leaseSeenAt:       map[string]time.Time{},
	}
}

// Everything that this controller concludes from silence goes through this file. A controller
// that stood still while its clocks ran on finds every timer due and everything
// last heard long ago, although it was the one that was away.

// stallThreshold is how late the loop must come round for it to count as a standstill:
// several ticks. A starved processor looks the same from inside, and is.
const stallThreshold = time.Second

// reconnectGrace is how long after a standstill peers' connections may break off without
// meaning anything: deadlines that passed meanwhile close them, and both sides dial anew.
const reconnectGrace = 3 * time.Second

// detectStall notices a standstill. The core's loop calls it before anything else each
// time it comes round, so nothing is concluded from what is old only because of it.
func (c *Controller) detectStall(now time.Time) {
	last := c.reachability.lastLoopAt
	c.reachability.lastLoopAt = now
	if last.IsZero() || now.Sub(last) < c.timing.Tick+stallThreshold {
		return
	}
	c.log.Info("this node stood still", "for", now.Sub(last).Round(10*time.Millisecond).Seconds(), "hold_in_question", !c.leaseCertain(now))
	c.metrics.stalls.Inc()
	c.reachability.resumedAt = now
	// What was idle or spare before says nothing about now.
	clear(c.leader.surplusSince)
	clear(c.leader.emptyMachines)
	clear(c.leader.unrecorded)
}

// silenceOf is how long something last heard at a time has been silent, as far as
// this controller was there to hear it.
func (c *Controller) silenceOf(at, now time.Time) time.Duration {
	return now.Sub(maxTime(at, c.reachability.resumedAt))
}

// stalledSince tells whether this controller stood still after a time: what it worked out
// before may be older than what another controller has said since.
func (c *Controller) stalledSince(at time.Time) bool { return c.reachability.resumedAt.After(at) }

// leaseCertain tells whether this controller's hold is certain to last still. When it is not,
// another controller may own its shards or lead already. What is conditional on records
// fails by itself then; what is not must wait.
func (c *Controller) leaseCertain(now time.Time) bool {
	return c.session.lease != 0 && now.Sub(c.session.leaseRenewedAt) < c.timing.SessionLease
}

// lostAfter is how long a controller whose connection broke off may stay unheard, or may be
// refused by the state service, before its shards and its lead are given to others.
// It may be alive: what it commits then fails on the records' versions, so a wrong
// guess costs only a pause.
const lostAfter = 1200 * time.Millisecond

// memberLost tells whether a controller's process seems to have ended, or says itself that the
// state service refuses it. Its end is a hint for as long as its hold may outlive it: a
// controller whose key is still there later has renewed its hold, whatever became of the
// connection. And a controller that loses most of several others at once is more likely to be
// apart itself, or a filter stands between all.
func (c *Controller) memberLost(node string, now time.Time) bool {
	if c.memberDenied(node, now) {
		return true
	}
	if now.Sub(c.reachability.resumedAt) < reconnectGrace {
		return false
	}
	seems := func(at time.Time) bool {
		return now.Sub(at) > lostAfter && now.Sub(at) < lostAfter+c.timing.SessionLease+time.Second
	}
	at, ok := c.reachability.disconnected[node]
	if !ok || !seems(at) {
		return false
	}
	gone, others := 0, 0
	for name := range c.cache.Members {
		if name == c.cfg.MemberName {
			continue
		}
		others++
		if at, ok := c.reachability.disconnected[name]; ok && seems(at) {
			gone++
		}
	}
	return others <= 2 || 2*gone <= others+1
}

// memberDenied tells whether a controller says that the state service does not serve it, while
// it serves this one: its hold would keep its shards for seconds more.
func (c *Controller) memberDenied(node string, now time.Time) bool {
	p, ok := c.reachability.peers[node]
	return ok && c.servedByStore(now) && now.Sub(p.heardAt) < peerFresh && !p.deniedSince.IsZero() && now.Sub(p.deniedSince) > lostAfter
}

// isolatedFromStore tells whether the state service refuses this controller while it serves
// another: then users are better off elsewhere. In an outage nobody is served,
// and a controller that stays ready can take requests the moment it ends.
func (c *Controller) isolatedFromStore(now time.Time) bool {
	if c.silenceOf(c.storeHealth.servedAt, now) < peerFresh {
		return false
	}
	for _, p := range c.reachability.peers {
		if p.heartbeat.StateOK && now.Sub(p.heardAt) < peerFresh {
			return true
		}
	}
	return false
}
