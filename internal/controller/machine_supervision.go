package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// superviseMachines looks for machines that are silent, sick or taken, and returns them.
// lost are returned first: what was cancelled can't be stopped there.
func (c *Controller) superviseMachines(ctx context.Context, now time.Time, lost []string) {
	workers := c.cfg.Deployment.Workers
	// A worker heartbeats every ReportS, give or take a quarter. A dead machine's work
	// waits until two probes have got no answer and the cloud has taken it back.
	quiet := seconds(1.25*workers.HeartbeatS + 0.6)
	silent, mute, total := 0, 0, 0
	for _, machine := range c.cache.Machines {
		if machine.Gone || !c.ownsShard(machine.Shard) {
			continue
		}
		v := c.workerState(machine)
		if v.Incarnation == 0 && machine.Incarnation == 0 {
			continue
		}
		total++
		if c.unresponsive(v, now) {
			mute++
		}
		if c.silenceOf(v.heard, now) > quiet {
			silent++
			c.sendDirect(machine, true) // a probe that also shows the worker the present token
		}
	}
	// Many silent machines at once speak for a fault on this side.
	many := func(n int) bool { return n >= 3 && n*10 > total*4 }
	suspectSelf := many(silent)
	c.workers.manyUnresponsive = many(mute)
	names := lost
	lastUp := c.lastUp()
	for _, other := range c.cache.Machines {
		if other.Gone || !c.ownsShard(other.Shard) {
			continue
		}
		worker := c.workerState(other)
		if len(other.Tasks) > 0 {
			worker.emptySince = time.Time{}
		} else if worker.emptySince.IsZero() {
			worker.emptySince = now
		}
		if other.Returning {
			if !worker.terminated && !slices.Contains(lost, other.Name) {
				names = append(names, other.Name)
			}
			continue
		}
		c.judgeHealth(other, worker, now)
		var why string
		limit := unreachableLimit(workers, suspectSelf)
		if serves(other) && c.zoneUnreachable(other.Zone) && c.hasControllerInside(other.Zone) {
			limit = max(limit, unreachableZoneLimit(workers))
		}
		silent := c.silenceOf(maxTime(worker.heard, c.zoneState(other.Zone).reachableSince), now)
		switch {
		case other.Draining && len(other.Tasks) == 0:
			why = "drained"
		case (worker.unhealthy || other.Unhealthy) && len(other.Tasks) == 0, worker.unhealthy && len(worker.failures) > 1:
			why = "sick"
		case c.silenceOf(worker.since, now) > 5*time.Second && c.neverCame(other, lastUp[other.Type], now):
			why = reasonNeverUp
		case (worker.Incarnation != 0 || other.Incarnation != 0) && silent > limit && now.Sub(worker.since) > limit && worker.missedProbes >= 2:
			why = "silent"
		case c.unresponsive(worker, now) && c.silenceOf(worker.heartbeatAt, now) > unresponsiveLimit(workers, c.workers.manyUnresponsive) && now.Sub(worker.since) > unresponsiveLimit(workers, c.workers.manyUnresponsive):
			why = "mute"
		}
		if why != "" {
			c.returnMachine(other, why)
		}
	}
	c.scaleIn(ctx, names)
}

// unreachableLimit is how long a machine must be silent to be returned. A controller that may itself be
// the one that is cut off waits for the workers' leases; what was cancelled has its own deadline (stops.go).
func unreachableLimit(w config.Workers, suspectSelf bool) time.Duration {
	if suspectSelf {
		return seconds(3 * w.LeaseS)
	}
	return max(seconds(2*w.HeartbeatS+0.5), 4*time.Second)
}

// unresponsive tells whether a machine's worker answers what it is asked, but heartbeats to nobody who tells of it: its lease is not
// renewed, and what is started there ends with it, again and again. One that was never heard may still boot, and one that
// answers nothing is silent, not mute: in a zone that is cut off it may be kept for long.
func (c *Controller) unresponsive(v *workerState, now time.Time) bool {
	after := unresponsiveAfter(c.cfg.Deployment.Workers)
	return v.Incarnation != 0 && c.silenceOf(v.heard, now) <= after && c.silenceOf(v.heartbeatAt, now) > after
}

// noteUnresponsive takes from a worker's message what it says of its heartbeats. A lease that runs out while the worker answers whatever it is
// asked was kept up by nobody: where few are mute their machines are returned then, before a group moves on with them.
func (c *Controller) noteUnresponsive(m *storage.Machine, v *workerState, r *protocol.Heartbeat, reply bool, now time.Time) {
	switch {
	case !reply:
		v.heartbeatAt = now
	case c.silenceOf(v.heard, now) > unresponsiveAfter(c.cfg.Deployment.Workers):
		v.heartbeatAt = maxTime(v.heartbeatAt, heartbeatBaseline(c.cfg.Deployment.Workers, now)) // it hung, or was cut off: it may report now
	case v.Incarnation != 0 && r.Incarnation > v.Incarnation && c.unresponsive(v, now) && !c.workers.manyUnresponsive:
		c.returnMachine(m, "mute")
	}
}

// unresponsiveAfter is how long a worker may take for a heartbeat proper, firstHeartbeatLimit how long it has for its first one to a new
// owner, which it is shown at once: groups move on, and each new owner would trust a mute machine anew. A worker that was shown
// another token within half a lease does not report before its time.
func unresponsiveAfter(w config.Workers) time.Duration {
	return max(seconds(2*w.HeartbeatS+1), seconds(w.LeaseS/2))
}

func firstHeartbeatLimit(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 1) }

// heartbeatBaseline is what counts as a worker's last report from when this controller begins to wait for one.
func heartbeatBaseline(w config.Workers, now time.Time) time.Time {
	return now.Add(firstHeartbeatLimit(w) - unresponsiveAfter(w))
}

// unresponsiveLimit is how long a machine must be mute to be returned: its tasks went with its lease, and it stands idle. Many at
// once may hear nobody for a while for another reason.
func unresponsiveLimit(w config.Workers, many bool) time.Duration {
	if many {
		return seconds(3 * w.LeaseS)
	}
	return seconds(2 * w.LeaseS)
}

// A machine that is not up costs money and takes the place of another until it is
// returned. Most are up after 1.5 times their usual boot time; one that is not when
// bootPatience times has passed is given up if a machine rented after it is up. While
// the cloud brings up nothing, all come late together: giving them up then would rent,
// pay and return for ever, so they are waited for twice as long, but count as capacity no more.
const (
	bootPatience     = 2.2
	bootPatienceMost = 2 * bootPatience
)

// lastUp is when the latest machine of each type was rented that has come up.
func (c *Controller) lastUp() []int64 {
	out := make([]int64, len(c.cache.Types))
	for _, m := range c.cache.Machines {
		if !m.Gone && c.cameUp(m) {
			out[m.Type] = max(out[m.Type], m.ProvisionedAt)
		}
	}
	return out
}

// cameUp tells whether a machine's worker was ever heard, as far as this controller knows.
func (c *Controller) cameUp(m *storage.Machine) bool {
	v := c.workers.states[m.Index]
	return m.Incarnation > 0 || v != nil && v.Incarnation > 0
}

// booting tells whether a machine comes up and may then take tasks.
func (c *Controller) booting(m *storage.Machine, v *workerState, now time.Time) bool {
	return !c.cameUp(m) && !c.zoneUnreachable(m.Zone) && !m.Returning && !m.Draining && !v.terminated && !c.workers.pendingUpdates[m.Index].blocksPlacement() && !c.overdue(m, bootPatience, now)
}

// bootLeft is how many seconds a machine that comes up still takes, as a guess: most are up after
// about their usual boot time, and the longer one is late, the later it may be.
func (c *Controller) bootLeft(m *storage.Machine, v *workerState, now time.Time) float64 {
	left := c.cache.Types[m.Type].BootS - c.bootAge(m, v, now).Seconds()
	return max(3, left, 3-left/2)
}

// overdue tells whether a machine takes more than some times its usual boot time.
func (c *Controller) overdue(m *storage.Machine, times float64, now time.Time) bool {
	if c.cameUp(m) {
		return false
	}
	return c.bootAge(m, c.workers.states[m.Index], now) > seconds(times*max(c.cache.Types[m.Type].BootS, 10))
}

// bootAge is how long ago a machine was rented, as far as this controller knows.
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

// pendingUpdate is what should change of a machine's record, tasks aside. Its owner does so
// with its next transaction, the leader on its own for machines of other owners.
type pendingUpdate struct {
	returning bool
	draining  *bool
}

// blocksPlacement tells whether nothing more may be placed on the machine.
func (e *pendingUpdate) blocksPlacement() bool {
	return e != nil && (e.returning || e.draining != nil && *e.draining)
}

func (e *pendingUpdate) differs(m *storage.Machine) bool {
	return (e.returning && !m.Returning) || (e.draining != nil && *e.draining != m.Draining)
}

func (c *Controller) pendingUpdate(m *storage.Machine) *pendingUpdate {
	e := c.workers.pendingUpdates[m.Index]
	if e == nil {
		e = &pendingUpdate{}
		c.workers.pendingUpdates[m.Index] = e
		c.requestCycle()
	}
	return e
}

// reasonNeverUp is the reason for giving up a machine that did not come up.
const reasonNeverUp = "never came up"

// returnMachine marks a machine as being returned.
func (c *Controller) returnMachine(m *storage.Machine, why string) {
	if c.storeFailing() || c.workers.pendingUpdates[m.Index] != nil && c.workers.pendingUpdates[m.Index].returning {
		return
	}
	c.log.Info("returning machine", "machine", m.Name, "why", why, "tasks", len(m.Tasks))
	if why == reasonNeverUp {
		c.metrics.neverUpMachines.Inc() // once a machine, however long its edit takes
	}
	c.pendingUpdate(m).returning = true
}

// setDraining marks a machine to be emptied, or gives it back to use.
func (c *Controller) setDraining(m *storage.Machine, on bool) {
	c.log.Info("draining machine", "machine", m.Name, "on", on, "tasks", len(m.Tasks))
	c.pendingUpdate(m).draining = &on
}

// flushPendingUpdates forgets edits that are done or of no concern to this controller, and as
// the leader commits those of other owners' machines.
func (c *Controller) flushPendingUpdates(ctx context.Context) {
	racks := map[*storage.MachineGroup]bool{}
	for i, e := range c.workers.pendingUpdates {
		m := c.cache.Machines[i]
		switch {
		case m.Gone || !e.differs(m):
			delete(c.workers.pendingUpdates, i)
		case c.ownsShard(m.Shard): // goes with the next transaction
		case !c.isLeader():
			delete(c.workers.pendingUpdates, i)
		default:
			racks[m.Group] = true
		}
	}
	if len(racks) == 0 || c.leader.editing {
		return
	}
	txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}}
	var done []int32
	for group := range racks {
		if len(txn.Then) >= c.limits().TxnOps/2 {
			break
		}
		record := c.cache.GroupRecordOf(group, group.UnsavedCompletions(), func(m *storage.Machine) (storage.GroupMachine, bool) {
			x := c.cache.GroupMachineOf(m, m.Tasks)
			if e := c.workers.pendingUpdates[m.Index]; e != nil {
				e.applyTo(&x)
				done = append(done, m.Index)
			}
			return x, true
		})
		raw := storage.EncodeGroup(record, c.cache.Packed())
		if len(raw) > c.valueLimit() {
			continue // its owner parts it first
		}
		key := storage.GroupKey(group.ID)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: group.Version})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: raw})
	}
	if len(txn.Then) == 0 {
		return
	}
	c.leader.editing = true
	c.commitAside(ctx, txn, protocol.BackgroundRequest, func(bool) {
		c.leader.editing = false
		for _, i := range done {
			delete(c.workers.pendingUpdates, i) // what still has to change is found again
		}
	})
}

func (e *pendingUpdate) applyTo(x *storage.GroupMachine) {
	x.Returning = x.Returning || e.returning
	if e.draining != nil {
		x.Draining = *e.draining
	}
}

// scaleIn asks the cloud to take machines back. Its 200 is the proof that
// they are gone with all that is on them; the cycle then drops their records.
func (c *Controller) scaleIn(ctx context.Context, names []string) {
	if len(names) == 0 || c.leader.returning {
		return
	}
	names = names[:min(len(names), protocol.MaxScaleIn)]
	c.leader.returning = true
	go func() {
		err := c.cloud.ScaleIn(ctx, names)
		c.post(func() {
			c.leader.returning = false
			if err != nil {
				c.log.Info("return failed", "machines", len(names), "err", err)
				return
			}
			now := time.Now()
			for _, n := range names {
				machine := c.cache.Machine(n)
				if machine == nil || !c.ownsShard(machine.Shard) {
					continue
				}
				v := c.workerState(machine)
				v.terminated = true
				for _, p := range machine.Tasks {
					ref := dispatch.RefOf(p)
					if _, ok := v.Gone[ref]; !ok {
						v.Gone[ref] = dispatch.Lost
						c.noteOutcome(machine, v, ref, dispatch.Lost, now)
					}
				}
			}
			c.requestCycle()
		})
	}()
}
