package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what a controller does for the workers of machines that others own, while the
// state service does not answer. Nobody can take a shard over then: if its owner is silent, or every
// controller has ended, the workers' tasks would be killed by their leases, thousands at a time. Nobody
// relies on a lease's end: a task leaves a group only on proof, so a lease that lasts longer breaks no
// rule but one. A job's user may have been told that it is cancelled by a controller that ended before it
// could terminate the tasks: they must be gone within cancel_s, and then the lease is all that ends them.
// So renewals for others have an end; and since a living owner may not have read what was cancelled
// just before, a controller that knows of it sends the kill commands.

// renewsAsProxy reports whether this controller keeps up the lease of another owner's machine: that owner
// has ended and nobody has its shard yet, or neither it nor the state service is heard. After an end of
// all controllers workers were sent on to dead owners, and by the time they had tried every other
// controller their leases had run out.
func (c *Controller) renewsAsProxy(machine *storage.Machine, now time.Time) bool {
	shard := &c.cache.Shards[machine.Shard]
	if shard.Member == "" || machine.Returning || !c.mayRenewLeases(now) {
		return false
	}
	if member := c.cache.Members[shard.Member]; member == nil || member.Incarnation != shard.Incarnation {
		return true
	}
	return shard.Member != c.cfg.MemberName &&
		c.silenceOf(c.storeHealth.servedAt, now) > peerFresh &&
		c.ownerSilent(shard.Member, now)
}

// ownerSilent reports whether a shard's owner is not heard. What is heard under the owner's name may be
// its successor, restarted in the outage, which has read nothing: that one owns nothing.
func (c *Controller) ownerSilent(member string, now time.Time) bool {
	peer := c.reachability.peers[member]
	return c.silenceOf(peer.heardAt, now) > peerFresh || peer.heartbeat.Revision == 0
}

// unverifiedRenewals is a controller's part of keeping up leases before it has read any record.
type unverifiedRenewals struct {
	since   time.Time            // when this process began
	renewed map[string]time.Time // by machine
}

// renewUnverified answers the heartbeat of a worker whose tasks would be lost, under the fencing token
// that the worker itself names. Not twice in a row: a worker stays with a controller that answers, and
// another may know its records by now.
func (c *Controller) renewUnverified(heartbeat *protocol.Heartbeat, now time.Time) (protocol.HeartbeatResponse, bool) {
	retryInterval := seconds(c.cfg.Deployment.Workers.LeaseS / 3)
	renewedAt := c.cancellations.unverified.renewed[heartbeat.Machine]
	if len(heartbeat.Tasks) == 0 || !c.mayRenewLeases(now) || !c.allRestarted(now) || now.Sub(renewedAt) < retryInterval {
		return protocol.HeartbeatResponse{}, false
	}
	c.cancellations.unverified.renewed[heartbeat.Machine] = now
	c.metrics.unverifiedRenewals.Inc()
	return protocol.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []protocol.Command{}}, true
}

// allRestarted reports whether every other controller is heard and has read no records either: all have
// ended. Where one has read them, the worker is better off there; and one that is silent may have confirmed
// cancellations until now, which the controller that answered the worker last could not know.
func (c *Controller) allRestarted(now time.Time) bool {
	for _, known := range c.cfg.Known {
		peer, ok := c.reachability.peers[known.MemberName]
		if !ok || now.Sub(peer.heardAt) >= peerFresh || peer.heartbeat.Revision > 0 {
			return false
		}
	}
	return true
}
