package controller

import "time"

// Every conclusion that this controller draws from silence goes through this file and
// stall_detection.go. After a stall of its own process, every timer is due and every last message is
// old, although only this process did not handle messages.

// reachability holds when this controller itself was running, and which peers and zones it receives
// messages from. It is written by this file, stall_detection.go, peers.go and zones.go.
type reachability struct {
	lastLoopAt        time.Time            // when the core's loop last began a round
	resumedAt         time.Time            // when this controller last resumed after a stall
	peers             map[string]peerState // by member
	disconnected      map[string]time.Time // by member: when its connection ended; deleted at its next peer heartbeat
	brokenConnections map[string]time.Time // by member: when its connection ended although peer heartbeats were recent
	memberSeenAt      map[string]time.Time // by member: when its record, which its session lease keeps, was last seen
	zones             []zoneState          // by zone index
}

func newReachability() reachability {
	return reachability{
		peers:             map[string]peerState{},
		disconnected:      map[string]time.Time{},
		brokenConnections: map[string]time.Time{},
		memberSeenAt:      map[string]time.Time{},
	}
}

const (
	// reconnectGrace is the time after a stall during which ended peer connections are ignored:
	// deadlines that passed during the stall close them, and both sides dial again.
	reconnectGrace = 3 * time.Second

	// memberLostAfter is how long a controller may stay disconnected, or refused by the state service,
	// before its shards and its leadership are given to others. It may be alive: its commits then fail on
	// the records' versions, so a wrong conclusion only interrupts work in its shards briefly.
	memberLostAfter = 1200 * time.Millisecond

	// fewOtherMembers is the number of other controllers up to which the loss of all of them is more
	// likely to be their failure than this controller's isolation.
	fewOtherMembers = 2
)

// silenceOf returns the time since a message that arrived at the given time, not counting the time
// before this controller last resumed from a stall.
func (c *Controller) silenceOf(at, now time.Time) time.Duration {
	return now.Sub(maxTime(at, c.reachability.resumedAt))
}

// memberLost reports whether a controller seems to have ended, or reports itself that the state service
// refuses it. An ended connection counts only for as long as the controller's session lease may outlast
// its process: if the member record is still there later, the controller has renewed its session lease
// and is alive, whatever happened to the connection. And if the connections to most of several others
// end at once, it is more likely that this controller is isolated, or that the network filters traffic
// between all of them.
func (c *Controller) memberLost(member string, now time.Time) bool {
	if c.storeRefusesMember(member, now) {
		return true
	}
	if now.Sub(c.reachability.resumedAt) < reconnectGrace {
		return false
	}
	maxAge := memberLostAfter + c.timing.SessionLease + time.Second
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

// seemsLost reports whether a member's connection ended more than memberLostAfter and less than maxAge
// ago.
func (r *reachability) seemsLost(member string, maxAge time.Duration, now time.Time) bool {
	at, ok := r.disconnected[member]
	if !ok {
		return false
	}
	age := now.Sub(at)
	return age > memberLostAfter && age < maxAge
}

// storeRefusesMember reports whether a controller's peer heartbeats show that the state service refuses
// it, while the service answers this one. Without this check, its session lease would keep its shards
// for seconds longer.
func (c *Controller) storeRefusesMember(member string, now time.Time) bool {
	peer, ok := c.reachability.peers[member]
	return ok && c.storeHealth.served(now) && peer.fresh(now) && !peer.storeRefusesSince.IsZero() && now.Sub(peer.storeRefusesSince) > memberLostAfter
}

// isolatedFromStore reports whether the state service does not answer this controller while it answers
// another, to which users' requests should then go. In an outage it answers no controller, and one
// that stays ready can accept requests as soon as the outage ends.
func (c *Controller) isolatedFromStore(now time.Time) bool {
	if c.silenceOf(c.storeHealth.servedAt, now) < peerFreshPeriod {
		return false
	}
	for _, peer := range c.reachability.peers {
		if peer.heartbeat.StateOK && peer.fresh(now) {
			return true
		}
	}
	return false
}
