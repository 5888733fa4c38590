package controller

import "time"

// stallThreshold is how late a round of the core's loop must begin to count as a stall: several ticks.
// A process that gets no processor time can't be told from a stalled one, and counts as stalled.
const stallThreshold = time.Second

// detectStall records a stall of this process. The core's loop calls it first in each round, so that
// no conclusion is drawn from information that is old only because of the stall.
func (c *Controller) detectStall(now time.Time) {
	last := c.reachability.lastLoopAt
	c.reachability.lastLoopAt = now
	if last.IsZero() || now.Sub(last) < c.timing.Tick+stallThreshold {
		return
	}
	c.log.Info("process stall detected", "stalled_s", now.Sub(last).Round(10*time.Millisecond).Seconds(), "session_lease_certain", c.leaseCertain(now))
	c.metrics.stalls.Inc()
	c.reachability.resumedAt = now
	// The leader scales in surplus and empty machines and enrolls unrecorded ones by how long it has
	// observed them; observations from before the stall are out of date. Silence needs no reset:
	// silenceOf counts it from resumedAt.
	clear(c.leader.surplusSince)
	clear(c.leader.emptyMachines)
	clear(c.leader.unrecorded)
}

// stalledSince reports whether this controller resumed from a stall after the given time. Results
// computed before the stall may be older than answers that another controller has given since.
func (r *reachability) stalledSince(at time.Time) bool { return r.resumedAt.After(at) }

// leaseCertain reports whether this controller's session lease has certainly not expired. Otherwise
// another controller may own its shards or be the leader already. Transactions that are conditional on
// records then fail by themselves; actions that are not must wait.
func (c *Controller) leaseCertain(now time.Time) bool {
	return c.session.lease != 0 && now.Sub(c.session.leaseRenewedAt) < c.timing.SessionLease
}
