package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/storage"
)

// This file compares the waiting work with the work that the machines can complete in time.

const (
	// OverloadFactor is the LoadFactor above which class queues whose demand is far above their baseline
	// are treated as overloaded. At load factors just above 1, more jobs meet their deadlines in the order
	// by latest start than if some are deferred.
	OverloadFactor = 1.5
	// minSlackS is how many seconds more than Capacity.BusyS a job must be able to wait for LoadFactor to
	// compare the work up to its latest start with the capacity.
	minSlackS = 10
	// finishDelay is the time that a job needs besides the run time of its tasks, from getting its
	// capacity until it is done: image fetch, heartbeats and record writes.
	finishDelay = 5 * time.Second
	// estimateMargin is the factor by which run-time estimates are assumed to be too low.
	estimateMargin = 1.2
	// minEstimateS is the minimum run time, in seconds, with which a task's work is counted.
	minEstimateS = 1
)

// WaitingWork is the waiting work of a job.
type WaitingWork struct {
	SlackS   float64 // seconds within which it must get its capacity to meet its deadline
	Work     float64 // CPU-seconds
	OnDemand bool    // may not use spot machines
}

// WaitingWorkOf returns the work of the tasks of a job that are left to start. The job should be done within
// allowed of Job.ReadyAt, 0 if it has no deadline; late is true if it has missed the deadline. ok reports
// whether the job has a deadline that it can still meet.
func WaitingWorkOf(now time.Time, job *storage.Job, tasksLeft int, allowed time.Duration, late bool) (waiting WaitingWork, ok bool) {
	slack := slackSeconds(now, job, job.ReadyAt.Add(allowed))
	waiting = WaitingWork{SlackS: slack, Work: workOfTasks(job, tasksLeft), OnDemand: !job.Spot}
	return waiting, allowed > 0 && !late && slack > 0
}

// slackSeconds returns how many seconds a job can wait for its capacity and still meet its deadline.
func slackSeconds(now time.Time, job *storage.Job, deadline time.Time) float64 {
	return deadline.Sub(now).Seconds() - estimateMargin*job.Estimate - finishDelay.Seconds()
}

// workOfTasks returns the work of a number of a job's tasks, in CPU-seconds.
func workOfTasks(job *storage.Job, tasks int) float64 {
	return float64(tasks) * job.TaskSize * max(job.Estimate, minEstimateS)
}

// Capacity is the capacity of machines in CPUs. OnDemand is the part of All that is on on-demand machines.
type Capacity struct {
	All, OnDemand float64
	// BusyS is the average time in seconds until the tasks on the machines have ended.
	BusyS float64
}

// LoadFactor returns the ratio of the running and waiting work to the work that the machines can complete in
// time, for the worst latest start: the work that must start by then is compared with the capacity until
// then. Above 1, no order completes all work in time; 0 means that no work waits that could be in time. It
// sorts waits by slack.
func LoadFactor(waits []WaitingWork, capacity Capacity) float64 {
	slices.SortFunc(waits, func(a, b WaitingWork) int { return cmp.Compare(a.SlackS, b.SlackS) })
	// CPU-seconds of the running work and of the waiting work with no more slack than the current job.
	allWork := capacity.BusyS * capacity.All
	onDemandWork := capacity.BusyS * capacity.OnDemand
	load := 0.0
	for _, waiting := range waits {
		allWork += waiting.Work
		if waiting.OnDemand {
			onDemandWork += waiting.Work
		}
		if waiting.SlackS < capacity.BusyS+minSlackS {
			continue // late regardless of the capacity
		}
		load = max(load, allWork/max(1, capacity.All*waiting.SlackS))
		if waiting.OnDemand {
			load = max(load, onDemandWork/max(1, capacity.OnDemand*waiting.SlackS))
		}
	}
	return load
}
