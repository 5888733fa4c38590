package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// returnReason is the reason in logs for returning a machine to the cloud.
type returnReason string

const (
	reasonFailed       returnReason = "failed" // as reported by the cloud
	reasonNotNeeded    returnReason = "not needed"
	reasonDrained      returnReason = "drained"
	reasonUnhealthy    returnReason = "unhealthy"
	reasonNeverUp      returnReason = "never came up"
	reasonSilent       returnReason = "silent"
	reasonUnresponsive returnReason = "unresponsive"
)

const (
	// minMissedProbes is how many probes in a row a silent machine must have missed to be returned.
	minMissedProbes = 2
	// newOwnerGrace is how long an owner must have tracked a machine to conclude that it never came up.
	newOwnerGrace = 5 * time.Second
)

// superviseMachines returns this controller's machines that are silent, unresponsive, unhealthy,
// drained or never came up. The machines named by toReturn are returned first: their cancelled tasks
// are not proved to have ended.
func (c *Controller) superviseMachines(ctx context.Context, now time.Time, toReturn []string) {
	suspectSelf := c.probeSilentMachines(now)
	names := toReturn
	lastUp := c.lastUp()
	for _, machine := range c.cache.Machines {
		if machine.Gone || !c.ownsShard(machine.Shard) {
			continue
		}
		worker := c.workerState(machine)
		worker.noteEmpty(len(machine.Tasks) == 0, now)
		if machine.Returning {
			if !worker.terminated && !slices.Contains(toReturn, machine.Name) {
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

// probeSilentMachines probes the workers of silent machines, and reports whether so many are silent
// at once that the fault may be this controller's.
func (c *Controller) probeSilentMachines(now time.Time) (suspectSelf bool) {
	probeDelay := probeAfter(c.cfg.Deployment.Workers)
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
		if c.silenceOf(worker.lastMessageAt, now) > probeDelay {
			silent++
			c.sendDirect(machine, true) // the probe also shows the worker the current fencing token
		}
	}
	c.workers.manyUnresponsive = tooManyAtOnce(unresponsive, total)
	return tooManyAtOnce(silent, total)
}

// tooManyAtOnce reports whether so many of all machines show a fault at once that its cause is more
// likely this controller: at least three, and more than 40 %.
func tooManyAtOnce(faulty, total int) bool { return faulty >= 3 && faulty*10 > total*4 }

// reasonToReturn returns the reason for returning a machine to the cloud, or "" if it is kept.
func (c *Controller) reasonToReturn(machine *storage.Machine, worker *workerState, suspectSelf bool, lastUp int64, now time.Time) returnReason {
	workers := c.cfg.Deployment.Workers
	silenceLimit := unreachableLimit(workers, suspectSelf)
	if hasServiceReplicas(machine) && c.reachability.zoneUnreachable(machine.Zone) && c.hasControllerInside(machine.Zone) {
		silenceLimit = max(silenceLimit, unreachableZoneLimit(workers))
	}
	silence := c.silenceOf(maxTime(worker.lastMessageAt, c.zoneState(machine.Zone).reachableSince), now)
	everHeard := worker.Incarnation != 0 || machine.Incarnation != 0
	trackedFor := now.Sub(worker.trackedSince)
	heartbeatLimit := unresponsiveLimit(workers, c.workers.manyUnresponsive)
	empty := len(machine.Tasks) == 0
	switch {
	case machine.Draining && empty:
		return reasonDrained
	case (worker.unhealthy || machine.Unhealthy) && empty, worker.unhealthy && len(worker.failures) > 1:
		return reasonUnhealthy
	case c.silenceOf(worker.trackedSince, now) > newOwnerGrace && c.bootFailed(machine, lastUp, now):
		return reasonNeverUp
	case everHeard && silence > silenceLimit && trackedFor > silenceLimit && worker.missedProbes >= minMissedProbes:
		return reasonSilent
	case c.unresponsive(worker, now) && c.silenceOf(worker.heartbeatAt, now) > heartbeatLimit && trackedFor > heartbeatLimit:
		return reasonUnresponsive
	}
	return ""
}

// noteEmpty records since when a machine has had no tasks.
func (w *workerState) noteEmpty(empty bool, now time.Time) {
	if !empty {
		w.emptySince = time.Time{}
	} else if w.emptySince.IsZero() {
		w.emptySince = now
	}
}

// returnMachine queues the update that marks a machine as being returned to the cloud.
func (c *Controller) returnMachine(machine *storage.Machine, reason returnReason) {
	if c.storeFailing() || c.workers.pendingUpdates[machine.Index] != nil && c.workers.pendingUpdates[machine.Index].returning {
		return
	}
	c.log.Info("returning machine", "machine", machine.Name, "reason", string(reason), "tasks", len(machine.Tasks))
	if reason == reasonNeverUp {
		c.metrics.bootFailedMachines.Inc() // once per machine, however long its update takes
	}
	c.pendingUpdate(machine).returning = true
}

// probeAfter returns how long a worker must be silent to be probed: it sends a heartbeat every
// HeartbeatS seconds, with a quarter of jitter. The tasks of a failed machine wait until two probes
// have had no answer and the cloud has confirmed the machine's return.
func probeAfter(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 0.6) }

// unreachableLimit returns how long a machine must be silent to be returned. A controller that may
// be cut off itself waits until the workers' leases have expired, since it would otherwise return all
// of its machines. Without that suspicion two heartbeat intervals suffice: with more, the tasks of a
// lost machine would only run again later. Cancelled tasks have their own deadline (terminations.go).
func unreachableLimit(w config.Workers, suspectSelf bool) time.Duration {
	if suspectSelf {
		return seconds(3 * w.LeaseS)
	}
	return max(seconds(2*w.HeartbeatS+0.5), 4*time.Second)
}

// unresponsive reports whether a machine's worker answers direct commands, but sends no heartbeats to
// this controller: its lease is not renewed, and every task started there ends when the lease expires.
// A machine whose worker never sent anything may still be booting. One that answers nothing is silent,
// not unresponsive: in an unreachable zone it may be kept for long.
func (c *Controller) unresponsive(worker *workerState, now time.Time) bool {
	after := unresponsiveAfter(c.cfg.Deployment.Workers)
	return worker.Incarnation != 0 && c.silenceOf(worker.lastMessageAt, now) <= after && c.silenceOf(worker.heartbeatAt, now) > after
}

// updateHeartbeatTime updates heartbeatAt from a worker's message. A worker's new incarnation while it
// is unresponsive means that its lease expired although it answers direct commands, so no controller
// renewed the lease: if few are unresponsive, the machine is returned at once, before its group moves
// to another shard.
func (c *Controller) updateHeartbeatTime(machine *storage.Machine, worker *workerState, heartbeat *protocol.Heartbeat, reply bool, now time.Time) {
	workers := c.cfg.Deployment.Workers
	switch {
	case !reply:
		worker.heartbeatAt = now
	case c.silenceOf(worker.lastMessageAt, now) > unresponsiveAfter(workers):
		worker.heartbeatAt = maxTime(worker.heartbeatAt, heartbeatBaseline(workers, now)) // it hung or was cut off, and may send heartbeats again
	case worker.Incarnation != 0 && heartbeat.Incarnation > worker.Incarnation && c.unresponsive(worker, now) && !c.workers.manyUnresponsive:
		c.returnMachine(machine, reasonUnresponsive)
	}
}

// unresponsiveAfter returns the time without a heartbeat after which a worker is unresponsive. It is
// at least half of a lease: a worker that received a new fencing token within that time does not send
// its next heartbeat early.
func unresponsiveAfter(w config.Workers) time.Duration {
	return max(seconds(2*w.HeartbeatS+1), seconds(w.LeaseS/2))
}

// firstHeartbeatLimit returns how long a worker may take for its first heartbeat to a new owner, which
// contacts it at once. It is short because groups move, and an unresponsive machine would otherwise
// count as responsive with each new owner again.
func firstHeartbeatLimit(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 1) }

// heartbeatBaseline returns the value of heartbeatAt with which this controller starts to wait for a
// worker's heartbeat: the worker is unresponsive after firstHeartbeatLimit.
func heartbeatBaseline(w config.Workers, now time.Time) time.Time {
	return now.Add(firstHeartbeatLimit(w) - unresponsiveAfter(w))
}

// unresponsiveLimit returns the time without a heartbeat after which an unresponsive machine is
// returned: its tasks have ended with its lease, and it is idle. If many are unresponsive at once,
// the cause may be temporary and not theirs, and the limit is longer.
func unresponsiveLimit(w config.Workers, many bool) time.Duration {
	if many {
		return seconds(3 * w.LeaseS)
	}
	return seconds(2 * w.LeaseS)
}
