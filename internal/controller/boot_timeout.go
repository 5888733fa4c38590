package controller

import (
	"time"

	"dykeledge/internal/storage"
)

// A machine that has not come up costs money and takes the place of another until it is returned. Most
// machines are up after 1.5 times the boot time of their type. After bootTimeoutFactor times the boot time a
// machine no longer counts as capacity, and it is given up if a machine of its type that was provisioned at
// the same time or later is up. While the cloud brings up no machines at all, giving machines up so early would
// lead to machines being requested, paid for and returned without end, so each is waited for twice as long
// (maxBootTimeoutFactor).
const (
	bootTimeoutFactor    = 2.2
	maxBootTimeoutFactor = 2 * bootTimeoutFactor
	// minBootS is the shortest boot time, in seconds, that a boot timeout is computed from.
	minBootS = 10
	// minRemainingBootS is the lower bound, in seconds, of the estimated remaining boot time.
	minRemainingBootS = 3
)

// lastUp returns for each machine type when the most recently provisioned machine that came up was
// provisioned, in Unix seconds; 0: no machine of the type has come up.
func (c *Controller) lastUp() []int64 {
	lastUp := make([]int64, len(c.cache.Types))
	for _, machine := range c.cache.Machines {
		if !machine.Gone && c.hasBooted(machine) {
			lastUp[machine.Type] = max(lastUp[machine.Type], machine.ProvisionedAt)
		}
	}
	return lastUp
}

// hasBooted reports whether the worker of a machine has ever sent a heartbeat, according to the records and
// to this controller's own state.
func (c *Controller) hasBooted(m *storage.Machine) bool {
	worker := c.workers.states[m.Index]
	return m.Incarnation > 0 || worker != nil && worker.Incarnation > 0
}

// booting reports whether a machine has not come up yet, is within its boot timeout, and may take tasks once it
// is up.
func (c *Controller) booting(m *storage.Machine, worker *workerState, now time.Time) bool {
	if c.hasBooted(m) || m.Returning || m.Draining || worker.terminated || c.workers.pendingUpdates[m.Index].blocksPlacement() {
		return false
	}
	return !c.reachability.zoneUnreachable(m.Zone) && !c.bootOverdue(m, bootTimeoutFactor, now)
}

// remainingBootS estimates the remaining boot time of a machine in seconds. Most machines are up after about the
// boot time of their type; beyond that, the estimate grows with the delay.
func (c *Controller) remainingBootS(m *storage.Machine, worker *workerState, now time.Time) float64 {
	left := c.cache.Types[m.Type].BootSeconds - c.bootAge(m, worker, now).Seconds()
	return max(minRemainingBootS, left, minRemainingBootS-left/2)
}

// bootOverdue reports whether a machine has not come up within factor times the boot time of its type.
func (c *Controller) bootOverdue(m *storage.Machine, factor float64, now time.Time) bool {
	if c.hasBooted(m) {
		return false
	}
	return c.bootAge(m, c.workers.states[m.Index], now) > seconds(factor*max(c.cache.Types[m.Type].BootSeconds, minBootS))
}

// bootAge returns the time since a machine was provisioned. If that is not recorded, it is the time since
// this controller first tracked the machine's worker.
func (c *Controller) bootAge(m *storage.Machine, worker *workerState, now time.Time) time.Duration {
	switch {
	case m.ProvisionedAt > 0: // independent of which controllers owned it since
		return now.Sub(time.Unix(m.ProvisionedAt, 0))
	case worker != nil:
		return now.Sub(worker.trackedSince)
	}
	return 0
}

// bootFailed reports whether a machine that does not come up has to be given up. lastUp is when the most recently
// provisioned machine of its type that came up was provisioned, in Unix seconds (see Controller.lastUp).
func (c *Controller) bootFailed(m *storage.Machine, lastUp int64, now time.Time) bool {
	return c.bootOverdue(m, bootTimeoutFactor, now) && (m.ProvisionedAt <= lastUp || c.bootOverdue(m, maxBootTimeoutFactor, now))
}
