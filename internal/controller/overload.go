package controller

import (
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/storage"
)

// This file detects overloads: every controller compares the open work with the baseline, which the
// leader learns (baseline_learning.go).

const (
	// floorMargin is the ratio of a queue's floor to its baseline. Each queue is given its floor
	// before any queue gets more than its floor. The ratio is above 1 because image fetches and
	// heartbeats take time in addition to the estimates, and the work of lost machines is repeated.
	floorMargin = 1.5
	// overloadFactor is the ratio of open work to the baseline above which a queue is overloaded.
	overloadFactor = 3
	// reserveOnDemandFraction is the fraction of its floor that a queue must use before it leaves
	// on-demand machines to overloaded work that must not use spot machines. Below it a queue may
	// use them, so that it does not starve where no spot machines are available.
	reserveOnDemandFraction = 0.5
)

// During an overload, large jobs are placed after small ones, but only for a limited time. The
// largest jobs of a class must begin within four minutes, and half of them must be served; in an
// overload that lasts for the rest of the day they would otherwise never be served.
const (
	firstTaskDueAfter = 150 * time.Second // waiting time after which a job's first task is placed before others
	overdueAfter      = 4 * time.Minute   // waiting time after which a job that can meet no objective is placed regardless of its size
)

// queueLoads is the load of the class queues (one for each class of a team).
type queueLoads struct {
	queues schedule.QueueStates
	// overloaded reports whether any queue's open work exceeds overloadFactor times its baseline,
	// onDemandOverloaded whether any queue's open work that must not use spot machines alone does.
	overloaded, onDemandOverloaded bool
	// meanBusyS estimates how many more seconds placed work will run on average.
	meanBusyS float64
}

// queueLoads computes the load and the floor of each queue from the open jobs and those with placed
// tasks.
func (c *Controller) queueLoads(now time.Time) queueLoads {
	loads := queueLoads{queues: make(schedule.QueueStates, storage.ClassQueueCount(len(c.cache.Teams)))}
	usedByAll := 0.0
	for _, job := range c.cache.Jobs {
		if job == nil || job.PlacedCount == 0 && !job.Open() {
			continue
		}
		used := float64(job.PlacedCount) * job.TaskSize
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

// addToQueue adds a job, whose placed tasks use the given number of CPUs, to its queue.
func addToQueue(queue *schedule.QueueState, job *storage.Job, used float64, late bool) {
	open := used
	if !job.Suspect {
		open += float64(job.Waiting()) * job.TaskSize
	}
	queue.Used += used
	queue.Open += open
	if !job.Spot {
		queue.OpenOnDemand += open
	}
	if late {
		queue.UsedByOverdue += used
	}
}

// compareWithBaseline sets the queues' floors and determines which queues are overloaded.
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

// reserveOnDemand makes queues that are close enough to their floors leave on-demand machines to
// work that must not use spot machines.
func (l *queueLoads) reserveOnDemand(baselineCpus map[storage.ClassQueue]float64) {
	for name := range baselineCpus {
		if queue := l.queues.At(name); queue != nil {
			queue.AvoidsOnDemand = queue.Used >= reserveOnDemandFraction*queue.Floor
		}
	}
}

// detectOverload reports whether there is an overload: some queue's open work exceeds overloadFactor
// times its baseline, and far more work of the given jobs waits than can finish in time. As long as
// the capacity suffices, placement needs no floors. An overload, once active, lasts until no queue is
// overloaded any more. Work that is late by then has no objective left to meet, but small jobs
// still go first.
func (c *Controller) detectOverload(loads queueLoads, jobs []*storage.Job, capacity schedule.Capacity, active *bool, now time.Time) bool {
	if !loads.overloaded || *active {
		*active = loads.overloaded
		return loads.overloaded
	}
	waitingWork := c.planner.buffers.waitingWork[:0]
	for _, job := range jobs {
		if job == nil || job.Suspect || job.Waiting() == 0 {
			continue
		}
		allowed, late := c.objectiveLeft(job, now)
		if work, ok := schedule.WaitingWorkOf(now, job, job.Waiting(), allowed, late); ok {
			waitingWork = append(waitingWork, work)
		}
	}
	c.planner.buffers.waitingWork = waitingWork
	capacity.BusyS = loads.meanBusyS
	*active = schedule.LoadFactor(waitingWork, capacity) > schedule.OverloadFactor
	return *active
}

// logOverload logs the start or end of an overload and the state of each queue that has a baseline.
func (c *Controller) logOverload(loads queueLoads, active bool) {
	c.log.Info("overload changed", "active", active, "on_demand", loads.onDemandOverloaded)
	for name := range c.cache.Baseline.Cpus {
		queue := loads.queues.Ensure(name)
		c.log.Info("queue state", "team", c.cache.Teams[name.Team].Name, "class", c.cache.Classes.Name(name.Class),
			"baseline_cpus", c.cache.Baseline.Cpus[name], "open_cpus", queue.Open, "used_cpus", queue.Used)
	}
}

// waitedTooLong reports whether a job has waited for overdueAfter and can meet no objective any
// more, or has none. From then on it may use the part of an overloaded queue's capacity that is set
// aside for such jobs (schedule.Input.Overdue).
func (c *Controller) waitedTooLong(job *storage.Job, now time.Time) bool {
	if now.Sub(job.ReadyAt) < overdueAfter {
		return false
	}
	last, late := c.objectiveLeft(job, now)
	return last == 0 || late
}
