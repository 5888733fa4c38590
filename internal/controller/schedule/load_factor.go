package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/storage"
)

// This file owns how much waits against what the machines can do.

// WaitingWork is a job's waiting work.
type WaitingWork struct {
	Slack    float64 // seconds until it must have its room in order to be in time
	Work     float64 // seconds of a CPU
	OnDemand bool    // may not use spot machines
}

// WaitingWorkOf is a job's waiting work; ok: it has an aim that it can still meet.
func WaitingWorkOf(now time.Time, j *storage.Job, left int, allow time.Duration, late bool) (w WaitingWork, ok bool) {
	slack := slackOf(now, j, j.ReadyAt.Add(allow))
	return WaitingWork{slack, workOf(j, left), !j.Spot}, allow > 0 && !late && slack > 0
}

// slackOf is how many seconds a job has until it must have its room in order to be done by due.
func slackOf(now time.Time, j *storage.Job, due time.Time) float64 {
	return due.Sub(now).Seconds() - finishMargin*j.Estimate - finishGap.Seconds()
}

// workOf is the work of so many of a job's tasks, in seconds of a CPU.
func workOf(j *storage.Job, tasks int) float64 {
	return float64(tasks) * j.Size * max(j.Estimate, 1)
}

// Capacity is what machines have for work, in CPUs.
type Capacity struct {
	All, OnDemand float64
	// Busy is how many seconds it takes on average until a machine's tasks have ended.
	Busy float64
}

// OverloadFactor is how many times what the machines can do in time must wait for a flood to be
// dealt with: what is just over their measure the order by latest start brings in time better.
const OverloadFactor = 1.5

// minSlackS is how many seconds beyond what machines are busy for a job must be able to wait to
// be counted.
const minSlackS = 10

// LoadFactor is how many times what the machines can do in time waits, with the earliest first: above
// 1 no order brings all in time. It sorts the work.
func LoadFactor(waits []WaitingWork, room Capacity) float64 {
	slices.SortFunc(waits, func(a, b WaitingWork) int { return cmp.Compare(a.Slack, b.Slack) })
	all, ordinary, load := room.Busy*room.All, room.Busy*room.OnDemand, 0.0
	for _, w := range waits {
		all += w.Work
		if w.OnDemand {
			ordinary += w.Work
		}
		if w.Slack < room.Busy+minSlackS {
			continue // late by itself: that tells nothing of the room
		}
		load = max(load, all/max(1, room.All*w.Slack))
		if w.OnDemand {
			load = max(load, ordinary/max(1, room.OnDemand*w.Slack))
		}
	}
	return load
}
