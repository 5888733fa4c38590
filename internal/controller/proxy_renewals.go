package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file renews the leases of workers on machines that other controllers own, while the state
// service does not answer. No controller can take over a shard then: if its owner is silent, or
// every controller has ended, the workers' leases would expire and end their tasks, thousands at a
// time. Nothing depends on the expiry of a worker's lease, since a task is removed from a group's
// record only on proof that it has ended, with one exception: a controller may have confirmed a
// cancellation to the user and ended before it could terminate the tasks. They must have ended
// within cancel_s, and then only the expiry of the lease ends them. Proxy renewals are therefore
// limited in time. And since a living owner may not have read the latest cancellations, a controller
// that has them sends the kill commands itself.

// renewsAsProxy reports whether this controller renews the lease of a worker on another owner's
// machine: the owner has ended and its shard has no new owner yet, or both the owner and the state
// service are silent. Without this, after all controllers had ended, the restarted ones redirected
// workers to owners that had ended, and the workers' leases had expired by the time they had tried
// every other controller.
func (c *Controller) renewsAsProxy(machine *storage.Machine, now time.Time) bool {
	shard := &c.cache.Shards[machine.Shard]
	if shard.Member == "" || machine.Returning || !c.mayRenewLeases(now) {
		return false
	}
	if member := c.cache.Members[shard.Member]; member == nil || member.Incarnation != shard.Incarnation {
		return true
	}
	return shard.Member != c.cfg.MemberName &&
		c.silenceOf(c.storeHealth.servedAt, now) > peerFreshPeriod &&
		c.ownerSilent(shard.Member, now)
}

// ownerSilent reports whether no recent peer heartbeat of a shard's owner has arrived. A heartbeat
// without a revision comes from a process of the same name that was restarted in the outage and has
// read no records: it owns nothing, so the owner counts as silent.
func (c *Controller) ownerSilent(member string, now time.Time) bool {
	peer := c.reachability.peers[member]
	return c.silenceOf(peer.receivedAt, now) > peerFreshPeriod || peer.heartbeat.Revision == 0
}

// unverifiedRenewals holds the lease renewals that this controller made before it had read any record.
type unverifiedRenewals struct {
	startedAt    time.Time            // when this process started
	lastRenewals map[string]time.Time // by machine name: when its lease was last renewed
}

// renewUnverified answers the heartbeat of a worker that has tasks, under the fencing token in the
// heartbeat itself, before this controller has read the records. It reports false if the lease may
// not be renewed. It does not renew the same worker's lease twice within a third of lease_s: a worker
// stays with a controller that answers, while another one may have read the records by now.
func (c *Controller) renewUnverified(heartbeat *protocol.Heartbeat, now time.Time) (protocol.HeartbeatResponse, bool) {
	retryInterval := seconds(c.cfg.Deployment.Workers.LeaseS / 3)
	renewedAt := c.cancellations.unverified.lastRenewals[heartbeat.Machine]
	knownUntil := c.cancellationsKnownUntil(heartbeat, now)
	if !heartbeat.HasTasks() || !c.recentEnough(knownUntil, now) || !c.allRestarted(now) || now.Sub(renewedAt) < retryInterval {
		return protocol.HeartbeatResponse{}, false
	}
	c.cancellations.unverified.lastRenewals[heartbeat.Machine] = now
	c.metrics.unverifiedRenewals.Inc()
	return protocol.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: []protocol.Command{}}, true
}

// allRestarted reports whether every other controller sends peer heartbeats and has read no records
// either, so that all of them have restarted. A controller that has read the records should answer
// the worker instead. A silent one may have confirmed cancellations until now that the controller
// which last answered the worker had not read.
func (c *Controller) allRestarted(now time.Time) bool {
	for _, known := range c.cfg.KnownPeers {
		peer, ok := c.reachability.peers[known.MemberName]
		if !ok || now.Sub(peer.receivedAt) >= peerFreshPeriod || peer.heartbeat.Revision > 0 {
			return false
		}
	}
	return true
}
