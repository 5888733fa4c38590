package controller

import (
	"time"

	"dykeledge/internal/storage"
)

// A machine that is not up costs money and takes the place of another until it is returned. Most
// are up after 1.5 times their type's boot time; one that is not when bootPatience times that has
// passed is given up if a machine that was requested after it is up. While the cloud brings up
// nothing, all come late together: giving them up then would request, pay and return for ever, so
// they are waited for twice as long, but count as capacity no more.
const (
	bootPatience     = 2.2
	bootPatienceMost = 2 * bootPatience
	// minBootS is the least boot time, in seconds, by which lateness is judged.
	minBootS = 10
	// minBootLeftS is the least time, in seconds, that a machine which is not up still takes.
	minBootLeftS = 3
)

// lastUp is when the latest machine of each type that has come up was provisioned, in Unix seconds.
func (c *Controller) lastUp() []int64 {
	lastUp := make([]int64, len(c.cache.Types))
	for _, machine := range c.cache.Machines {
		if !machine.Gone && c.cameUp(machine) {
			lastUp[machine.Type] = max(lastUp[machine.Type], machine.ProvisionedAt)
		}
	}
	return lastUp
}

// cameUp tells whether a machine's worker was ever heard, as far as this controller knows.
func (c *Controller) cameUp(m *storage.Machine) bool {
	v := c.workers.states[m.Index]
	return m.Incarnation > 0 || v != nil && v.Incarnation > 0
}

// booting tells whether a machine comes up and may then take tasks.
func (c *Controller) booting(m *storage.Machine, v *workerState, now time.Time) bool {
	if c.cameUp(m) || m.Returning || m.Draining || v.terminated || c.workers.pendingUpdates[m.Index].blocksPlacement() {
		return false
	}
	return !c.reachability.zoneUnreachable(m.Zone) && !c.overdue(m, bootPatience, now)
}

// bootLeft estimates how many seconds a machine that comes up still takes: most are up after about
// their type's boot time, and the longer one is late, the later it may be.
func (c *Controller) bootLeft(m *storage.Machine, v *workerState, now time.Time) float64 {
	left := c.cache.Types[m.Type].BootS - c.bootAge(m, v, now).Seconds()
	return max(minBootLeftS, left, minBootLeftS-left/2)
}

// overdue tells whether a machine takes more than some times its type's boot time.
func (c *Controller) overdue(m *storage.Machine, times float64, now time.Time) bool {
	if c.cameUp(m) {
		return false
	}
	return c.bootAge(m, c.workers.states[m.Index], now) > seconds(times*max(c.cache.Types[m.Type].BootS, minBootS))
}

// bootAge is how long ago a machine was provisioned, as far as this controller knows.
func (c *Controller) bootAge(m *storage.Machine, v *workerState, now time.Time) time.Duration {
	switch {
	case m.ProvisionedAt > 0: // whoever owned it since
		return now.Sub(time.Unix(m.ProvisionedAt, 0))
	case v != nil:
		return now.Sub(v.since)
	}
	return 0
}

// neverCame tells whether a machine is to be given up since it does not come up.
func (c *Controller) neverCame(m *storage.Machine, lastUp int64, now time.Time) bool {
	return c.overdue(m, bootPatience, now) && (m.ProvisionedAt <= lastUp || c.overdue(m, bootPatienceMost, now))
}
