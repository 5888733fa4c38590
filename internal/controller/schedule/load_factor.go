package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/storage"
)

// This file compares the work that waits with what the machines can do in time.

const (
	// OverloadFactor is the LoadFactor from which on a class queue that asks for far more than its
	// baseline is treated as overloaded: what is just over 1 the order by latest start brings in time
	// better.
	OverloadFactor = 1.5
	// minSlackS is how many seconds beyond what machines are busy for a job must be able to wait to
	// be counted.
	minSlackS = 10
	// finishDelay is how much later than its tasks end a job is done: fetch, heartbeats, records.
	finishDelay = 5 * time.Second
	// estimateMargin is the factor by which run-time estimates are taken to be too low.
	estimateMargin = 1.2
	// minEstimateS is the least run time, in seconds, that a task's work is counted with.
	minEstimateS = 1
)

// WaitingWork is a job's waiting work.
type WaitingWork struct {
	Slack    float64 // seconds until it must have its capacity in order to be in time
	Work     float64 // CPU-seconds
	OnDemand bool    // may not use spot machines
}

// WaitingWorkOf is the work of a job of which so many tasks are left to start. The job should be done
// within allow of Job.ReadyAt, 0 if it has no deadline; late tells that it has missed it. ok tells
// whether it has a deadline that it can still meet.
func WaitingWorkOf(now time.Time, job *storage.Job, left int, allow time.Duration, late bool) (waiting WaitingWork, ok bool) {
	slack := slackSeconds(now, job, job.ReadyAt.Add(allow))
	waiting = WaitingWork{Slack: slack, Work: workOfTasks(job, left), OnDemand: !job.Spot}
	return waiting, allow > 0 && !late && slack > 0
}

// slackSeconds is how many seconds a job has until it must have its capacity in order to meet its deadline.
func slackSeconds(now time.Time, job *storage.Job, deadline time.Time) float64 {
	return deadline.Sub(now).Seconds() - estimateMargin*job.Estimate - finishDelay.Seconds()
}

// workOfTasks is the work of so many of a job's tasks, in CPU-seconds.
func workOfTasks(job *storage.Job, tasks int) float64 {
	return float64(tasks) * job.Size * max(job.Estimate, minEstimateS)
}

// Capacity is what machines have for work: All and OnDemand in CPUs, those of on-demand machines being
// part of all.
type Capacity struct {
	All, OnDemand float64
	// Busy is how many seconds it takes on average until a machine's tasks have ended.
	Busy float64
}

// LoadFactor is how many times what the machines can do in time waits, with the earliest first: above
// 1 no order brings all in time; 0 means that nothing waits. It sorts waits by slack.
func LoadFactor(waits []WaitingWork, capacity Capacity) float64 {
	slices.SortFunc(waits, func(a, b WaitingWork) int { return cmp.Compare(a.Slack, b.Slack) })
	// CPU-seconds up to each job: what runs, and what waits and has no more slack.
	allWork := capacity.Busy * capacity.All
	onDemandWork := capacity.Busy * capacity.OnDemand
	load := 0.0
	for _, waiting := range waits {
		allWork += waiting.Work
		if waiting.OnDemand {
			onDemandWork += waiting.Work
		}
		if waiting.Slack < capacity.Busy+minSlackS {
			continue // late by itself: that tells nothing of the capacity
		}
		load = max(load, allWork/max(1, capacity.All*waiting.Slack))
		if waiting.OnDemand {
			load = max(load, onDemandWork/max(1, capacity.OnDemand*waiting.Slack))
		}
	}
	return load
}
