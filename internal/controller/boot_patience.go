package controller

import (
	"time"

	"dykeledge/internal/storage"
)

// A machine that is not up costs money and takes the place of another until it is returned. Most
// are up after 1.5 times their type's boot time; one that is not when bootTimeoutFactor times that has
// passed is given up if a machine that was requested after it is up. While the cloud brings up
// nothing, all come late together: giving them up then would request, pay and return for ever, so
// they are waited for twice as long, but count as capacity no more.
const (
	bootTimeoutFactor    = 2.2
	maxBootTimeoutFactor = 2 * bootTimeoutFactor
	// minBootS is the least boot time, in seconds, by which lateness is judged.
	minBootS = 10
	// minRemainingBootS is the least time, in seconds, that a machine which is not up still takes.
	minRemainingBootS = 3
)

// lastUp is when the latest machine of each type that has come up was provisioned, in Unix seconds.
func (c *Controller) lastUp() []int64 {
	lastUp := make([]int64, len(c.cache.Types))
	for _, machine := range c.cache.Machines {
		if !machine.Gone && c.hasBooted(machine) {
			lastUp[machine.Type] = max(lastUp[machine.Type], machine.ProvisionedAt)
		}
	}
	return lastUp
}

// hasBooted tells whether a machine's worker was ever heard, as far as this controller knows.
func (c *Controller) hasBooted(m *storage.Machine) bool {
	worker := c.workers.states[m.Index]
	return m.Incarnation > 0 || worker != nil && worker.Incarnation > 0
}

// booting tells whether a machine comes up and may then take tasks.
func (c *Controller) booting(m *storage.Machine, worker *workerState, now time.Time) bool {
	if c.hasBooted(m) || m.Returning || m.Draining || worker.terminated || c.workers.pendingUpdates[m.Index].blocksPlacement() {
		return false
	}
	return !c.reachability.zoneUnreachable(m.Zone) && !c.bootOverdue(m, bootTimeoutFactor, now)
}

// bootLeft estimates how many seconds a machine that comes up still takes: most are up after about
// their type's boot time, and the longer one is late, the later it may be.
func (c *Controller) bootLeft(m *storage.Machine, worker *workerState, now time.Time) float64 {
	left := c.cache.Types[m.Type].BootS - c.bootAge(m, worker, now).Seconds()
	return max(minRemainingBootS, left, minRemainingBootS-left/2)
}

// bootOverdue tells whether a machine takes more than some times its type's boot time.
func (c *Controller) bootOverdue(m *storage.Machine, factor float64, now time.Time) bool {
	if c.hasBooted(m) {
		return false
	}
	return c.bootAge(m, c.workers.states[m.Index], now) > seconds(factor*max(c.cache.Types[m.Type].BootS, minBootS))
}

// bootAge is how long ago a machine was provisioned, as far as this controller knows.
func (c *Controller) bootAge(m *storage.Machine, worker *workerState, now time.Time) time.Duration {
	switch {
	case m.ProvisionedAt > 0: // whoever owned it since
		return now.Sub(time.Unix(m.ProvisionedAt, 0))
	case worker != nil:
		return now.Sub(worker.since)
	}
	return 0
}

// neverCame tells whether a machine is to be given up since it does not come up.
func (c *Controller) neverCame(m *storage.Machine, lastUp int64, now time.Time) bool {
	return c.bootOverdue(m, bootTimeoutFactor, now) && (m.ProvisionedAt <= lastUp || c.bootOverdue(m, maxBootTimeoutFactor, now))
}
