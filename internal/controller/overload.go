package controller

import (
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// This file owns what is done about overloads: every controller compares what is open with the
// baseline, which the leader learns (baseline_learning.go).

const (
	// floorMargin is how much more than its baseline a queue is given before others get more than
	// that: fetches and heartbeats take time beside the estimates, and what a lost machine ran comes
	// again.
	floorMargin = 1.5
	// overloadFactor is how many times its baseline a queue must have open to be overloaded.
	overloadFactor = 3
	// reserveOnDemandFraction is the part of its floor from which a queue leaves on-demand machines to an
	// overload of what may use no others; where there are no spot machines to be had it must not starve.
	reserveOnDemandFraction = 0.5
)

// A job's size counts against it only for a while. The largest of a class must begin within four
// minutes, and half of them must be served: those that step behind for as long as an overload lasts
// never were, where it lasts for the rest of the day.
const (
	firstTaskDueAfter = 150 * time.Second // then one of its tasks goes first, if none was placed
	overdueAfter      = 4 * time.Minute   // then it has its turn, if it has missed its latest objective
)

// queueLoads is how the teams' classes, each a queue, stand.
type queueLoads struct {
	queues schedule.QueueStates
	// overloaded tells whether any has far more open than its baseline, onDemandOverloaded whether
	// one of those has work that may not use spot machines.
	overloaded, onDemandOverloaded bool
	// meanBusyS estimates how many seconds what runs will take on average.
	meanBusyS float64
}

// queueLoads is what the queues may have before others, and what they hold, from the open jobs.
func (c *Controller) queueLoads(now time.Time) queueLoads {
	loads := queueLoads{queues: make(schedule.QueueStates, storage.ClassQueueCount(len(c.cache.Teams)))}
	usedByAll := 0.0
	for _, job := range c.cache.Jobs {
		if job == nil || job.PlacedCount == 0 && !job.Open() {
			continue
		}
		used := float64(job.PlacedCount) * job.Size
		loads.meanBusyS += used * job.Estimate / 2
		usedByAll += used
		addToQueue(loads.queues.Ensure(storage.ClassQueueOf(job)), job, used, c.waitedTooLong(job, now))
	}
	loads.meanBusyS /= max(1, usedByAll)
	loads.compareWithBaseline(c.cache.Baseline.Cpus)
	if loads.onDemandOverloaded {
		loads.reserveOnDemand(c.cache.Baseline.Cpus)
	}
	return loads
}

// addToQueue counts a job of which some tasks run.
func addToQueue(queue *schedule.QueueState, job *storage.Job, used float64, late bool) {
	open := used
	if !job.Suspect {
		open += float64(job.Waiting()) * job.Size
	}
	queue.Used += used
	queue.Open += open
	if !job.Spot {
		queue.OpenOnDemand += open
	}
	if late {
		queue.Late += used
	}
}

// compareWithBaseline finds the queues' floors and which are overloaded.
func (l *queueLoads) compareWithBaseline(baselineCpus map[storage.ClassQueue]float64) {
	for name, cpus := range baselineCpus {
		queue := l.queues.At(name)
		if queue == nil {
			continue
		}
		queue.Baseline, queue.Floor = cpus, floorMargin*cpus
		queue.Overloaded = queue.Open > overloadFactor*cpus
		l.overloaded = l.overloaded || queue.Overloaded
		l.onDemandOverloaded = l.onDemandOverloaded || queue.OpenOnDemand > overloadFactor*cpus
	}
}

// reserveOnDemand has queues that have enough leave on-demand machines to what may use no others.
func (l *queueLoads) reserveOnDemand(baselineCpus map[storage.ClassQueue]float64) {
	for name := range baselineCpus {
		if queue := l.queues.At(name); queue != nil {
			queue.LeavesOnDemand = queue.Used >= reserveOnDemandFraction*queue.Floor
		}
	}
}

// detectOverload tells whether there is an overload and far more work of some shards waits than can
// be in time; with what there is capacity for, the order needs no floors. It lasts, in active, until
// no queue is overloaded any more: what is late by then waits for no objective, but goes small first still.
func (c *Controller) detectOverload(loads queueLoads, jobs []*storage.Job, capacity schedule.Capacity, active *bool, now time.Time) bool {
	if !loads.overloaded || *active {
		*active = loads.overloaded
		return loads.overloaded
	}
	waits := c.planner.buffers.waitingWork[:0]
	for _, job := range jobs {
		if job == nil || job.Suspect || job.Waiting() == 0 {
			continue
		}
		allowed, late := c.objectiveLeft(job, now)
		if work, ok := schedule.WaitingWorkOf(now, job, job.Waiting(), allowed, late); ok {
			waits = append(waits, work)
		}
	}
	c.planner.buffers.waitingWork = waits
	capacity.Busy = loads.meanBusyS
	*active = schedule.LoadFactor(waits, capacity) > schedule.OverloadFactor
	return *active
}

// logOverload logs that an overload begins or ends, and how the queues stand.
func (c *Controller) logOverload(loads queueLoads, active bool) {
	c.log.Info("overload changed", "active", active, "on_demand", loads.onDemandOverloaded)
	for name := range c.cache.Baseline.Cpus {
		queue := loads.queues.Ensure(name)
		c.log.Info("queue state", "team", c.cache.Teams[name.Team].Name, "class", c.cache.Classes.Name(name.Class),
			"baseline_cpus", c.cache.Baseline.Cpus[name], "open_cpus", queue.Open, "used_cpus", queue.Used)
	}
}

// waitedTooLong tells whether a job has waited too long and has missed its latest objective, if it
// has one. From then on it has its turn whatever else is asked, in a part of the capacity.
func (c *Controller) waitedTooLong(j *storage.Job, now time.Time) bool {
	if now.Sub(j.ReadyAt) < overdueAfter {
		return false
	}
	last, late := c.objectiveLeft(j, now)
	return last == 0 || late
}
