package controller

import "time"

// stallThreshold is how late the loop must come round for it to count as a stall:
// several ticks. A starved processor looks the same from inside, and is.
const stallThreshold = time.Second

// detectStall notices a stall. The core's loop calls it before anything else each
// time it comes round, so nothing is concluded from what is old only because of it.
func (c *Controller) detectStall(now time.Time) {
	last := c.reachability.lastLoopAt
	c.reachability.lastLoopAt = now
	if last.IsZero() || now.Sub(last) < c.timing.Tick+stallThreshold {
		return
	}
	c.log.Info("this process stalled", "stalled_s", now.Sub(last).Round(10*time.Millisecond).Seconds(), "session_lease_certain", c.leaseCertain(now))
	c.metrics.stalls.Inc()
	c.reachability.resumedAt = now
	// What was idle or spare before says nothing about now.
	clear(c.leader.surplusSince)
	clear(c.leader.emptyMachines)
	clear(c.leader.unrecorded)
}

// stalledSince reports whether this controller stalled after a time: what it worked out
// before may be older than what another controller has said since.
func (r *reachability) stalledSince(at time.Time) bool { return r.resumedAt.After(at) }

// leaseCertain reports whether this controller's session lease is certain to last still. When it is not,
// another controller may own its shards or lead already. What is conditional on records
// fails by itself then; what is not must wait.
func (c *Controller) leaseCertain(now time.Time) bool {
	return c.session.lease != 0 && now.Sub(c.session.leaseRenewedAt) < c.timing.SessionLease
}
