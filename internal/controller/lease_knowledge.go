package controller

import (
	"net/http"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// This file owns whether this controller knows enough of what was cancelled to renew workers' leases.

// leaseMargin is what is left for heartbeats, answers and clocks that drift apart.
const leaseMargin = 1500 * time.Millisecond

// maxKnowledgeAge is how old a controller's knowledge of what was cancelled may be when it renews a lease.
func maxKnowledgeAge(w config.Workers) time.Duration {
	return seconds(w.CancelS-w.LeaseS) - leaseMargin
}

// unverifiedRenewalWindow is how long after its start a controller that has read no records may renew
// leases; not at all if it is not above 0. A worker whose lease still runs was answered at most lease_s
// before by a controller that knew its records, and that had terminated what was cancelled until then.
// What it could not terminate was cancelled later, and must be gone within cancel_s of that. An end of
// all controllers while one of them renewed without knowing all is what this leaves open: see "Known
// and open" in docs/ROADMAP.md.
func unverifiedRenewalWindow(w config.Workers) time.Duration {
	return seconds(w.CancelS-2*w.LeaseS) - leaseMargin
}

// cancellationsKnownAt is until when this controller knows every cancellation that any controller has confirmed.
func (c *Controller) cancellationsKnownAt(now time.Time) time.Time {
	vouched := now
	include := func(member string) {
		if member != c.cfg.MemberName {
			vouched = minTime(vouched, c.cancellations.digest.vouchedUntil[member])
		}
	}
	for _, known := range c.cfg.Known {
		include(known.MemberName)
	}
	for name := range c.cache.Members {
		include(name)
	}
	return maxTime(c.follower.cacheCurrentAt, vouched)
}

// mayRenewLeases reports whether this controller knows enough to renew a worker's lease: every cancellation
// that was confirmed until some time ago. One that it does not know was confirmed after that, so the last
// lease that it renews ends within cancel_s of it. A controller that has read no records goes by its start.
func (c *Controller) mayRenewLeases(now time.Time) bool {
	workers := c.cfg.Deployment.Workers
	if !c.follower.loaded {
		return now.Sub(c.cancellations.unverified.since) <= unverifiedRenewalWindow(workers)
	}
	return now.Sub(c.cancellationsKnownAt(now)) <= maxKnowledgeAge(workers)
}

// answerRenewal answers a worker's heartbeat, which renews its lease: every such answer passes here. A
// controller that does not know enough for it sends the worker on, to one that may.
func (c *Controller) answerRenewal(machine string, response protocol.HeartbeatResponse, reply heartbeatReply) {
	now := time.Now()
	if c.mayRenewLeases(now) {
		reply(http.StatusOK, response)
		return
	}
	c.metrics.uncertainHeartbeats.Inc()
	c.log.Debug("lease not renewed: recent cancellations are not known", "machine", machine,
		"known_age_s", now.Sub(c.cancellationsKnownAt(now)).Seconds())
	reply(http.StatusServiceUnavailable, errNotOwner)
}
