package controller

import (
	"net/http"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// This file decides whether this controller's information on cancellations is recent enough for it
// to renew workers' leases.

// leaseMargin is the part of the time limits below that is reserved for the delays of heartbeats and
// their answers, and for clock drift.
const leaseMargin = 1500 * time.Millisecond

// maxCancellationInfoAge returns how old a controller's information on cancellations may be when it
// renews a worker's lease. A lease renewed then expires within cancel_s of any cancellation it missed.
func maxCancellationInfoAge(w config.Workers) time.Duration {
	return seconds(w.CancelS-w.LeaseS) - leaseMargin
}

// unverifiedRenewalWindow returns how long after its start a controller that has read no records may
// renew workers' leases; if it is not above 0, it may not at all. A worker whose lease has not
// expired was answered at most lease_s earlier by a controller that had the records and had
// terminated what was cancelled until then. Any task it could not terminate was cancelled later, and
// must have ended within cancel_s of its cancellation. One case remains open: all controllers end
// while one of them renews leases without complete information; see "Known and open" in
// docs/ROADMAP.md.
func unverifiedRenewalWindow(w config.Workers) time.Duration {
	return seconds(w.CancelS-2*w.LeaseS) - leaseMargin
}

// cancellationsCompleteUntil returns the time up to which this controller has every cancellation that
// any controller has confirmed: by its cache, or by the digests of all other controllers.
func (c *Controller) cancellationsCompleteUntil(now time.Time) time.Time {
	completeAt := now
	include := func(member string) {
		if member != c.cfg.MemberName {
			completeAt = minTime(completeAt, c.cancellations.digest.completeUntil[member])
		}
	}
	for _, known := range c.cfg.KnownPeers {
		include(known.MemberName)
	}
	for name := range c.cache.Members {
		include(name)
	}
	return maxTime(c.follower.cacheCurrentAt, completeAt)
}

// mayRenewLeases reports whether this controller may renew a worker's lease: its information on
// cancellations must be no older than maxCancellationInfoAge. A cancellation missing from it was
// confirmed later, so the last lease renewed without it expires within cancel_s of that cancellation. A
// controller that has read no records is bound by unverifiedRenewalWindow, counted from its start.
func (c *Controller) mayRenewLeases(now time.Time) bool {
	workers := c.cfg.Deployment.Workers
	if !c.follower.loaded {
		return now.Sub(c.cancellations.unverified.startedAt) <= unverifiedRenewalWindow(workers)
	}
	return now.Sub(c.cancellationsCompleteUntil(now)) <= maxCancellationInfoAge(workers)
}

// answerRenewal answers a worker's heartbeat, which renews its lease; every such answer goes through
// here. If this controller may not renew leases, it answers 503, and the worker tries another
// controller.
func (c *Controller) answerRenewal(machine string, response protocol.HeartbeatResponse, reply heartbeatReply) {
	now := time.Now()
	if c.mayRenewLeases(now) {
		reply(http.StatusOK, response)
		return
	}
	c.metrics.refusedHeartbeats.Inc()
	c.log.Debug("worker lease not renewed: information on cancellations is too old", "machine", machine,
		"known_age_s", now.Sub(c.cancellationsCompleteUntil(now)).Seconds())
	reply(http.StatusServiceUnavailable, errNotOwner)
}
