package controller

import (
	"context"
	"maps"
	"time"

	"dykeledge/internal/controller/baseline"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what is done about floods: the leader learns what is usual and keeps it in
// the state service; every controller compares what is open with that.

const (
	// floorMargin is how much more than its usual a queue is given before others get more
	// than that: fetches and heartbeats take time beside the estimates, and what a lost machine
	// ran comes again.
	floorMargin = 1.5
	// overloadFactor is how many times its usual a queue must have open for it to be a flood.
	overloadFactor = 3
	// reserveOnDemandFrom is the part of its floor from which a queue leaves ordinary machines to a flood of
	// what may use no others; where there are no spot machines to be had it must not starve.
	reserveOnDemandFrom = 0.5
	// baselineWriteInterval is the least time between two records of what is usual.
	baselineWriteInterval = time.Minute
)

// baselineLearning is the leader's learner, and what it has taken in.
type baselineLearning struct {
	estimator     *baseline.Estimator
	lastArrivals  map[storage.ClassQueue]storage.Arrivals // the cache's when last looked at
	at            time.Time
	writtenAt     time.Time
	writeInFlight bool
}

// learnBaseline is the leader's loop over what is usual. A new leader goes on from the record: what
// an earlier one had learned outlives an end of all controllers, and a flood that runs on over
// it is not taken for the usual.
func (c *Controller) learnBaseline(ctx context.Context, now time.Time) {
	learning := &c.leader.baseline
	if !c.isLeader() || !c.cache.Packed() || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	if learning.estimator == nil {
		*learning = baselineLearning{estimator: baseline.New(c.cache.Baseline.Cpus), lastArrivals: maps.Clone(c.cache.Arrivals), at: now, writeInFlight: learning.writeInFlight}
		return
	}
	if duration := now.Sub(learning.at); duration >= baseline.Step {
		asked := map[storage.ClassQueue]storage.Arrivals{}
		for x, n := range c.cache.Arrivals {
			if s := learning.lastArrivals[x]; n.Jobs > s.Jobs {
				asked[x] = storage.Arrivals{Jobs: n.Jobs - s.Jobs, Work: n.Work - s.Work}
			}
		}
		// What is read at once after a pause is no flood: a window in which this controller stood
		// still or read nothing is left out.
		if duration < 3*baseline.Step && !c.storeFailing() {
			learning.estimator.Window(duration, asked)
		}
		learning.lastArrivals, learning.at = maps.Clone(c.cache.Arrivals), now
	}
	if learning.writeInFlight || now.Sub(learning.writtenAt) < baselineWriteInterval && c.cache.Baseline.Version > 0 || !learning.estimator.Differs(c.cache.Baseline.Cpus) {
		return
	}
	learning.writeInFlight, learning.writtenAt = true, now
	c.commitAside(ctx, protocol.Txn{
		If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version},
			{Key: storage.BaselineKey, Version: c.cache.Baseline.Version}},
		Then: []protocol.Change{{Put: storage.BaselineKey, Value: storage.Encode(c.cache.BaselineRecordOf(learning.estimator.Baseline(), c.valueLimit()*8/10))}},
	}, protocol.BackgroundRequest, func(bool) { learning.writeInFlight = false })
}

// queueLoads is how the classes of the teams stand.
type queueLoads struct {
	queues schedule.QueueStates
	// overloaded tells whether any has far more open than is usual for it, ordinary whether one of
	// those has work that may not use spot machines.
	overloaded, onDemandOverloaded bool
	// meanBusyS is how many seconds what runs will take on average, as a guess.
	meanBusyS float64
}

// queueLoads is what the classes of the teams may have before others, and what they hold, from
// the open jobs.
func (c *Controller) queueLoads(now time.Time) queueLoads {
	loads := queueLoads{queues: make(schedule.QueueStates, storage.ClassQueueCount(len(c.cache.Teams)))}
	all := 0.0
	for _, job := range c.cache.Jobs {
		if job == nil || job.PlacedCount == 0 && !job.Open() {
			continue
		}
		queueState := loads.queues.Ensure(storage.ClassQueueOf(job))
		used := float64(job.PlacedCount) * job.Size
		open := used
		if !job.Suspect {
			open += float64(job.Waiting()) * job.Size
		}
		loads.meanBusyS, all = loads.meanBusyS+used*job.Estimate/2, all+used
		queueState.Used += used
		queueState.Open += open
		if !job.Spot {
			queueState.OpenOnDemand += open
		}
		if c.waitedTooLong(job, now) {
			queueState.Late += used
		}
	}
	loads.meanBusyS /= max(1, all)
	for x, u := range c.cache.Baseline.Cpus {
		if l := loads.queues.At(x); l != nil {
			l.Baseline, l.Floor = u, floorMargin*u
			l.Overloaded = l.Open > overloadFactor*u
			loads.overloaded = loads.overloaded || l.Overloaded
			loads.onDemandOverloaded = loads.onDemandOverloaded || l.OpenOnDemand > overloadFactor*u
		}
	}
	if loads.onDemandOverloaded {
		for x := range c.cache.Baseline.Cpus {
			if l := loads.queues.At(x); l != nil {
				l.LeavesOnDemand = l.Used >= reserveOnDemandFrom*l.Floor
			}
		}
	}
	return loads
}

// detectOverload tells whether there is a flood and far more work of some shards waits than can be
// in time; with what there is room for, the order needs no floors. It stays, in dealt, until
// no queue floods any more: what is late by then waits for no aim, but goes small first still.
func (c *Controller) detectOverload(loads queueLoads, jobs []*storage.Job, room schedule.Capacity, dealt *bool, now time.Time) bool {
	if !loads.overloaded || *dealt {
		*dealt = loads.overloaded
		return loads.overloaded
	}
	c.planner.buffers.waits = c.planner.buffers.waits[:0]
	for _, j := range jobs {
		if j == nil || j.Suspect || j.Waiting() == 0 {
			continue
		}
		allow, late := c.objectiveLeft(j, now)
		if w, ok := schedule.WaitingWorkOf(now, j, j.Waiting(), allow, late); ok {
			c.planner.buffers.waits = append(c.planner.buffers.waits, w)
		}
	}
	room.Busy = loads.meanBusyS
	*dealt = schedule.LoadFactor(c.planner.buffers.waits, room) > schedule.OverloadFactor
	return *dealt
}

// logOverload logs that a flood begins or ends.
func (c *Controller) logOverload(f queueLoads, on bool) {
	c.log.Info("flood", "on", on, "ordinary", f.onDemandOverloaded)
	for x := range c.cache.Baseline.Cpus {
		l := f.queues.Ensure(x)
		c.log.Info("lane", "team", c.cache.Teams[x.Team].Name, "class", c.cache.Classes.Name(x.Class), "usual", c.cache.Baseline.Cpus[x], "open", l.Open, "used", l.Used)
	}
}

// A job's size counts against it only for a while. The largest of a class must begin within four minutes, and half
// of them must be served: those that step behind for as long as a flood lasts never were, where it
// lasts for the rest of the day.
const (
	beginAfter = 150 * time.Second // then one of its tasks goes first, if none was placed
	turnAfter  = 4 * time.Minute   // then it has its turn, if it has missed its latest aim
)

// waitedTooLong tells whether a job has waited too long and has missed its latest aim, if it has
// one. From then on it has its turn whatever else is asked, in a part of the room.
func (c *Controller) waitedTooLong(j *storage.Job, now time.Time) bool {
	if now.Sub(j.ReadyAt) < turnAfter {
		return false
	}
	last, late := c.objectiveLeft(j, now)
	return last == 0 || late
}
