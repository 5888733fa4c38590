package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what a controller does for the workers of machines that others own, while the
// state service does not answer. Nobody can take a shard over then: if its owner is silent,
// or every controller has ended, the workers' tasks would be killed by their leases, thousands
// at a time. Nobody relies on a lease's end: a task leaves a group only on proof, so a lease that
// lasts longer breaks no rule but one. A job's user may have been told that it is cancelled
// by a controller that ended before it could stop the tasks: they must be gone within cancel_s, and
// then the lease is all that ends them. So renewals for others have an end; and since an owner
// that lives may not have read what was cancelled just before, whoever knows of it sends the stops.

// leaseMargin is what is left for heartbeats, answers and clocks that drift apart.
const leaseMargin = 1500 * time.Millisecond

// renewsAsProxy tells whether this controller keeps up the lease of another owner's machine: that owner
// has ended and nobody has its shard yet, or neither it nor the state service is heard. After an
// end of all controllers workers were sent on to dead owners, and a round of the others later their
// leases had run out.
func (c *Controller) renewsAsProxy(m *storage.Machine, now time.Time) bool {
	s := &c.cache.Shards[m.Shard]
	if s.Member == "" || m.Returning || !c.mayRenewLeases(now) {
		return false
	}
	if n := c.cache.Members[s.Member]; n == nil || n.Incarnation != s.Incarnation {
		return true
	}
	// What is heard under the owner's name may be its successor, restarted in the outage: that owns nothing.
	p := c.reachability.peers[s.Member]
	return s.Member != c.cfg.MemberName && c.silenceOf(c.storeHealth.servedAt, now) > peerFresh && (c.silenceOf(p.heardAt, now) > peerFresh || p.heartbeat.Revision == 0)
}

// unverifiedRenewals is a controller's part of keeping up leases before it has read any record.
type unverifiedRenewals struct {
	since   time.Time            // when this process began
	renewed map[string]time.Time // by machine
}

// renewUnverified answers the report of a worker whose tasks would be lost, under the token that the
// worker itself names. Not twice in a row: a worker stays with a controller that answers, and
// another may know its records by now.
func (c *Controller) renewUnverified(r *protocol.Heartbeat, now time.Time) (protocol.HeartbeatResponse, bool) {
	w := c.cfg.Deployment.Workers
	if len(r.Tasks) == 0 || !c.mayRenewLeases(now) || !c.allRestarted(now) ||
		now.Sub(c.cancellations.unverified.renewed[r.Machine]) < seconds(w.LeaseS/3) {
		return protocol.HeartbeatResponse{}, false
	}
	c.cancellations.unverified.renewed[r.Machine] = now
	c.metrics.unverifiedRenewals.Inc()
	return protocol.HeartbeatResponse{FencingToken: r.FencingToken, Commands: []protocol.Command{}}, true
}

// allRestarted tells whether every other controller is heard and has read no records either: all have ended. Where one
// has read them, the worker is better off there; and one that is silent may have confirmed cancellations
// until now, which whoever answered the worker last could not know.
func (c *Controller) allRestarted(now time.Time) bool {
	for _, k := range c.cfg.Known {
		if p, ok := c.reachability.peers[k.MemberName]; !ok || now.Sub(p.heardAt) >= peerFresh || p.heartbeat.Revision > 0 {
			return false
		}
	}
	return true
}
