package controller

import "time"

// Everything that this controller concludes from silence goes through this file and
// stall_detection.go. A controller that stalled while its clocks ran on finds every timer due and
// everything last heard long ago, although it was itself that did not listen.

// reachability is when this controller itself was running, and whom it hears: peers and zones.
// It is written by this file, stall_detection.go, peers.go and zones.go.
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

const (
	// reconnectGrace is how long after a stall peers' connections may break off without meaning
	// anything: deadlines that passed meanwhile close them, and both sides dial again.
	reconnectGrace = 3 * time.Second

	// lostAfter is how long a controller whose connection broke off may stay unheard, or may be
	// refused by the state service, before its shards and its leadership are given to others.
	// It may be alive: what it commits then fails on the records' versions, so a wrong
	// guess costs only a pause.
	lostAfter = 1200 * time.Millisecond

	// fewOtherMembers are so few other controllers that the loss of all of them is likely to be theirs.
	fewOtherMembers = 2
)

// silenceOf is how long something last heard at a time has been silent, as far as
// this controller was running to hear it.
func (c *Controller) silenceOf(at, now time.Time) time.Duration {
	return now.Sub(maxTime(at, c.reachability.resumedAt))
}

// memberLost reports whether a controller's process seems to have ended, or says itself that the
// state service refuses it. A lost connection is a hint for as long as the controller's session lease may
// outlive it: a controller whose record is still there later has renewed its session lease, whatever became
// of the connection. And a controller that loses most of several others at once is more likely to be
// isolated itself, or a filter stands between all.
func (c *Controller) memberLost(member string, now time.Time) bool {
	if c.memberDenied(member, now) {
		return true
	}
	if now.Sub(c.reachability.resumedAt) < reconnectGrace {
		return false
	}
	maxAge := lostAfter + c.timing.SessionLease + time.Second
	if !c.reachability.seemsLost(member, maxAge, now) {
		return false
	}
	lost, others := 0, 0
	for name := range c.cache.Members {
		if name == c.cfg.MemberName {
			continue
		}
		others++
		if c.reachability.seemsLost(name, maxAge, now) {
			lost++
		}
	}
	return others <= fewOtherMembers || 2*lost <= others+1
}

// seemsLost reports whether a member's connection ended longer than lostAfter and less than
// maxAge ago.
func (r *reachability) seemsLost(member string, maxAge time.Duration, now time.Time) bool {
	at, ok := r.disconnected[member]
	if !ok {
		return false
	}
	age := now.Sub(at)
	return age > lostAfter && age < maxAge
}

// memberDenied reports whether a controller says that the state service does not serve it, while
// it serves this one: its session lease would keep its shards for seconds more.
func (c *Controller) memberDenied(member string, now time.Time) bool {
	peer, ok := c.reachability.peers[member]
	return ok && c.storeHealth.served(now) && peer.fresh(now) && !peer.deniedSince.IsZero() && now.Sub(peer.deniedSince) > lostAfter
}

// isolatedFromStore reports whether the state service refuses this controller while it serves
// another: then users are better off elsewhere. In an outage nobody is served,
// and a controller that stays ready can take requests the moment it ends.
func (c *Controller) isolatedFromStore(now time.Time) bool {
	if c.silenceOf(c.storeHealth.servedAt, now) < peerFresh {
		return false
	}
	for _, peer := range c.reachability.peers {
		if peer.heartbeat.StateOK && peer.fresh(now) {
			return true
		}
	}
	return false
}
