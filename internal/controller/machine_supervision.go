package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// returnReason is why a machine is returned to the cloud, as logs tell it.
type returnReason string

const (
	reasonFailed       returnReason = "failed" // says the cloud
	reasonNotNeeded    returnReason = "not needed"
	reasonDrained      returnReason = "drained"
	reasonUnhealthy    returnReason = "unhealthy"
	reasonNeverUp      returnReason = "never came up"
	reasonSilent       returnReason = "silent"
	reasonUnresponsive returnReason = "unresponsive"
)

const (
	// silentProbes is how many probes in a row a silent machine must have left unanswered to be returned.
	silentProbes = 2
	// newOwnerGrace is how long an owner must have known a machine to conclude that it never came up.
	newOwnerGrace = 5 * time.Second
)

// superviseMachines looks for machines that are silent, unhealthy or drained, and returns them.
// The machines named by lost are returned first: what was cancelled can't be stopped there.
func (c *Controller) superviseMachines(ctx context.Context, now time.Time, lost []string) {
	suspectSelf := c.probeSilentMachines(now)
	names := lost
	lastUp := c.lastUp()
	for _, machine := range c.cache.Machines {
		if machine.Gone || !c.ownsShard(machine.Shard) {
			continue
		}
		worker := c.workerState(machine)
		worker.noteEmpty(len(machine.Tasks) == 0, now)
		if machine.Returning {
			if !worker.terminated && !slices.Contains(lost, machine.Name) {
				names = append(names, machine.Name)
			}
			continue
		}
		c.judgeHealth(machine, worker, now)
		if reason := c.reasonToReturn(machine, worker, suspectSelf, lastUp[machine.Type], now); reason != "" {
			c.returnMachine(machine, reason)
		}
	}
	c.scaleIn(ctx, names)
}

// probeSilentMachines asks silent machines' workers for a heartbeat, and tells whether so many are
// silent at once that the fault may be on this side.
func (c *Controller) probeSilentMachines(now time.Time) (suspectSelf bool) {
	quiet := probeAfter(c.cfg.Deployment.Workers)
	silent, unresponsive, total := 0, 0, 0
	for _, machine := range c.cache.Machines {
		if machine.Gone || !c.ownsShard(machine.Shard) {
			continue
		}
		worker := c.workerState(machine)
		if worker.Incarnation == 0 && machine.Incarnation == 0 {
			continue
		}
		total++
		if c.unresponsive(worker, now) {
			unresponsive++
		}
		if c.silenceOf(worker.heard, now) > quiet {
			silent++
			c.sendDirect(machine, true) // a probe that also shows the worker the present token
		}
	}
	c.workers.manyUnresponsive = tooManyAtOnce(unresponsive, total)
	return tooManyAtOnce(silent, total)
}

// tooManyAtOnce tells whether so many of all machines show a fault at once that it is more likely
// on this side.
func tooManyAtOnce(faulty, total int) bool { return faulty >= 3 && faulty*10 > total*4 }

// reasonToReturn tells why a machine is to be returned; empty: it is kept.
func (c *Controller) reasonToReturn(machine *storage.Machine, worker *workerState, suspectSelf bool, lastUp int64, now time.Time) returnReason {
	workers := c.cfg.Deployment.Workers
	silenceLimit := unreachableLimit(workers, suspectSelf)
	if serves(machine) && c.reachability.zoneUnreachable(machine.Zone) && c.hasControllerInside(machine.Zone) {
		silenceLimit = max(silenceLimit, unreachableZoneLimit(workers))
	}
	silence := c.silenceOf(maxTime(worker.heard, c.zoneState(machine.Zone).reachableSince), now)
	everHeard := worker.Incarnation != 0 || machine.Incarnation != 0
	known := now.Sub(worker.since)
	heartbeatLimit := unresponsiveLimit(workers, c.workers.manyUnresponsive)
	empty := len(machine.Tasks) == 0
	switch {
	case machine.Draining && empty:
		return reasonDrained
	case (worker.unhealthy || machine.Unhealthy) && empty, worker.unhealthy && len(worker.failures) > 1:
		return reasonUnhealthy
	case c.silenceOf(worker.since, now) > newOwnerGrace && c.neverCame(machine, lastUp, now):
		return reasonNeverUp
	case everHeard && silence > silenceLimit && known > silenceLimit && worker.missedProbes >= silentProbes:
		return reasonSilent
	case c.unresponsive(worker, now) && c.silenceOf(worker.heartbeatAt, now) > heartbeatLimit && known > heartbeatLimit:
		return reasonUnresponsive
	}
	return ""
}

// noteEmpty notes since when a machine has been empty.
func (v *workerState) noteEmpty(empty bool, now time.Time) {
	if !empty {
		v.emptySince = time.Time{}
	} else if v.emptySince.IsZero() {
		v.emptySince = now
	}
}

// returnMachine marks a machine as being returned.
func (c *Controller) returnMachine(m *storage.Machine, reason returnReason) {
	if c.storeFailing() || c.workers.pendingUpdates[m.Index] != nil && c.workers.pendingUpdates[m.Index].returning {
		return
	}
	c.log.Info("returning machine", "machine", m.Name, "reason", string(reason), "tasks", len(m.Tasks))
	if reason == reasonNeverUp {
		c.metrics.neverUpMachines.Inc() // once a machine, however long its update takes
	}
	c.pendingUpdate(m).returning = true
}

// probeAfter is how long a worker must be silent to be probed: it heartbeats every HeartbeatS,
// give or take a quarter. A dead machine's work waits until two probes have got no answer and the
// cloud has taken it back.
func probeAfter(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 0.6) }

// unreachableLimit is how long a machine must be silent to be returned. A controller that may
// itself be the one that is cut off waits for the workers' leases; what was cancelled has its own
// deadline (terminations.go).
func unreachableLimit(w config.Workers, suspectSelf bool) time.Duration {
	if suspectSelf {
		return seconds(3 * w.LeaseS)
	}
	return max(seconds(2*w.HeartbeatS+0.5), 4*time.Second)
}

// unresponsive tells whether a machine's worker answers what it is asked, but heartbeats to no
// controller that tells of it: its lease is not renewed, and what is started there ends with it,
// again and again. One that was never heard may still boot, and one that answers nothing is
// silent, not unresponsive: in a zone that is cut off it may be kept for long.
func (c *Controller) unresponsive(v *workerState, now time.Time) bool {
	after := unresponsiveAfter(c.cfg.Deployment.Workers)
	return v.Incarnation != 0 && c.silenceOf(v.heard, now) <= after && c.silenceOf(v.heartbeatAt, now) > after
}

// noteUnresponsive takes from a worker's message what it says of its heartbeats. A lease that runs
// out while the worker answers whatever it is asked was kept up by nobody: where few are
// unresponsive their machines are returned then, before a group moves on with them.
func (c *Controller) noteUnresponsive(m *storage.Machine, v *workerState, r *protocol.Heartbeat, reply bool, now time.Time) {
	workers := c.cfg.Deployment.Workers
	switch {
	case !reply:
		v.heartbeatAt = now
	case c.silenceOf(v.heard, now) > unresponsiveAfter(workers):
		v.heartbeatAt = maxTime(v.heartbeatAt, heartbeatBaseline(workers, now)) // it hung, or was cut off: it may report now
	case v.Incarnation != 0 && r.Incarnation > v.Incarnation && c.unresponsive(v, now) && !c.workers.manyUnresponsive:
		c.returnMachine(m, reasonUnresponsive)
	}
}

// unresponsiveAfter is how long a worker may take for a heartbeat that nobody asked for. A worker
// that was shown another token within half a lease does not report before its time.
func unresponsiveAfter(w config.Workers) time.Duration {
	return max(seconds(2*w.HeartbeatS+1), seconds(w.LeaseS/2))
}

// firstHeartbeatLimit is how long a worker may take for its first heartbeat to a new owner, which
// it is shown at once: groups move on, and each new owner would trust an unresponsive machine again.
func firstHeartbeatLimit(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 1) }

// heartbeatBaseline is what counts as a worker's last report from when this controller begins to wait for one.
func heartbeatBaseline(w config.Workers, now time.Time) time.Time {
	return now.Add(firstHeartbeatLimit(w) - unresponsiveAfter(w))
}

// unresponsiveLimit is how long a machine must be unresponsive to be returned: its tasks ended with
// its lease, and it stands idle. Many at once may hear nobody for a while for another reason.
func unresponsiveLimit(w config.Workers, many bool) time.Duration {
	if many {
		return seconds(3 * w.LeaseS)
	}
	return seconds(2 * w.LeaseS)
}
