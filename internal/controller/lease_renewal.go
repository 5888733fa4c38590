package controller

import (
	"net/http"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// This file decides whether this controller's information on cancellations is recent enough for it
// to renew workers' leases.

const (
	// leaseMargin is the part of the time limits below that is reserved for the delays of heartbeats and
	// their answers, and for clock drift.
	leaseMargin = 1500 * time.Millisecond
	// maxUnmarkedInfoAge is how old a controller's information on cancellations may be when it renews a
	// worker's lease without a renewal marker. A watch alone may be a second old.
	maxUnmarkedInfoAge = 2 * time.Second
)

// maxCancellationInfoAge returns how old a controller's information on cancellations may be when it
// renews a worker's lease. A lease renewed then expires within cancel_s of any cancellation it missed.
func maxCancellationInfoAge(w config.Workers) time.Duration {
	return seconds(w.CancelS-w.LeaseS) - leaseMargin
}

// unverifiedRenewalWindow returns how long after its start a controller that has read no records may
// renew the leases of workers without a renewal marker; if it is not above 0, it may not at all.
func unverifiedRenewalWindow(w config.Workers) time.Duration {
	return seconds(w.CancelS-2*w.LeaseS) - max(leaseMargin, maxUnmarkedInfoAge)
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

// cancellationsKnownUntil returns the time up to which every cancellation was known to this controller, or
// to the controller that last renewed the lease of the heartbeat's worker. A controller that has read
// no records knows none itself. It relies on the renewal marker in the heartbeat; it may have been set
// by a controller whose clock differs. Without a marker, the lease was last renewed, at most lease_s before
// this process started, by a controller whose information was no older than maxUnmarkedInfoAge. However
// many such controllers renew a lease one after the other, all rely on the same time.
func (c *Controller) cancellationsKnownUntil(heartbeat *protocol.Heartbeat, now time.Time) time.Time {
	if c.follower.loaded {
		return c.cancellationsCompleteUntil(now)
	}
	if markerMs, marked := heartbeat.RenewalMarker(); marked {
		return minTime(now, localTime(markerMs, now).Add(-maxClockDifference(c.cfg.Deployment)))
	}
	workers := c.cfg.Deployment.Workers
	return c.cancellations.unverified.startedAt.Add(unverifiedRenewalWindow(workers) - maxCancellationInfoAge(workers))
}

// mayRenewLeases reports whether this controller, which has read the records, may renew a worker's lease:
// its information on cancellations must be no older than maxCancellationInfoAge. A cancellation missing
// from it was confirmed later, so the last lease renewed without it expires within cancel_s of that
// cancellation.
func (c *Controller) mayRenewLeases(now time.Time) bool {
	return c.recentEnough(c.cancellationsCompleteUntil(now), now)
}

// recentEnough reports whether a lease may be renewed if all cancellations up to knownUntil are known.
func (c *Controller) recentEnough(knownUntil, now time.Time) bool {
	return now.Sub(knownUntil) <= maxCancellationInfoAge(c.cfg.Deployment.Workers)
}

// answerRenewal answers a worker's heartbeat, which renews its lease; every such answer goes through
// here. If this controller may not renew the lease, it answers 503, and the worker tries another
// controller.
func (c *Controller) answerRenewal(heartbeat *protocol.Heartbeat, response protocol.HeartbeatResponse, reply heartbeatReply) {
	now := time.Now()
	knownUntil := c.cancellationsKnownUntil(heartbeat, now)
	if c.recentEnough(knownUntil, now) {
		response.Commands = append(response.Commands, c.markerCommands(heartbeat, response.Commands, knownUntil, now)...)
		c.logCommands(heartbeat.Machine, "answer", response.FencingToken, heartbeat.Incarnation, response.Commands)
		reply(http.StatusOK, response)
		return
	}
	c.metrics.refusedHeartbeats.Inc()
	c.log.Debug("worker lease not renewed: information on cancellations is too old", "machine", heartbeat.Machine,
		"known_age_s", now.Sub(knownUntil).Seconds())
	reply(http.StatusServiceUnavailable, errNotOwner)
}

// markerCommands returns the commands that set, replace or remove the renewal marker of a worker whose lease
// is renewed now. commands are the others in the same answer; all cancellations up to knownUntil are
// known. A marker is needed where that is long ago: a controller that restarts without the records can't
// tell otherwise. An older marker than needed is on the safe side, so it is replaced only after half a
// lease, and removed only once it states less than no marker at all.
func (c *Controller) markerCommands(heartbeat *protocol.Heartbeat, commands []protocol.Command, knownUntil, now time.Time) []protocol.Command {
	lease := seconds(c.cfg.Deployment.Workers.LeaseS)
	markerMs, marked := heartbeat.RenewalMarker()
	switch {
	case !c.follower.loaded && marked:
		return nil
	case c.follower.loaded && now.Sub(knownUntil) <= maxUnmarkedInfoAge:
		if marked && now.Sub(localTime(markerMs, now)) > lease {
			return heartbeat.ClearRenewalMarkers()
		}
		return nil
	case marked && c.isMarkedAs(markerMs, knownUntil, lease/2):
		return nil
	case !heartbeat.HasTasks() && len(commands) == 0:
		return nil // no task runs until its lease expires
	}
	c.metrics.renewalMarkers.Inc()
	c.log.Debug("renewal marker set", "machine", heartbeat.Machine, "known_age_s", now.Sub(knownUntil).Seconds())
	return append(heartbeat.ClearRenewalMarkers(), protocol.RenewalMarkerCommand(knownUntil))
}

// isMarkedAs reports whether a marker states the given time, as far as clocks agree, or one that is earlier by
// at most tolerance.
func (c *Controller) isMarkedAs(markerMs int64, knownUntil time.Time, tolerance time.Duration) bool {
	earlierBy := time.Duration(knownUntil.UnixMilli()-markerMs) * time.Millisecond
	return earlierBy >= -maxClockDifference(c.cfg.Deployment) && earlierBy <= tolerance
}
