package schedule

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
)

// This file owns how much waits against what the machines can do.

// Wait is a job's waiting work.
type Wait struct {
	Slack    float64 // seconds until it must have its room in order to be in time
	Work     float64 // seconds of a CPU
	Ordinary bool    // may not use spot machines
}

// WaitOf is a job's waiting work; ok: it has an aim that it can still meet.
func WaitOf(now time.Time, j *bookkeeping.Job, left int, allow time.Duration, late bool) (w Wait, ok bool) {
	slack := j.At.Add(allow).Sub(now).Seconds() - finishMargin*j.Estimate - finishGap.Seconds()
	return Wait{slack, float64(left) * j.Cpus * max(j.Estimate, 1), !j.Spot}, allow > 0 && !late && slack > 0
}

// Room is what machines have for work, in CPUs.
type Room struct {
	All, Ordinary float64
	// Busy is how many seconds it takes on average until a machine's tasks have ended.
	Busy float64
}

// FloodFrom is how many times what the machines can do in time must wait for a flood to be
// dealt with: what is just over their measure the order by latest start brings in time better.
const FloodFrom = 1.5

// hasty is how many seconds beyond what machines are busy for a job must be able to wait to
// be counted.
const hasty = 10

// Load is how many times what the machines can do in time waits, with the earliest first: above
// 1 no order brings all in time. It sorts the work.
func Load(waits []Wait, room Room) float64 {
	slices.SortFunc(waits, func(a, b Wait) int { return cmp.Compare(a.Slack, b.Slack) })
	all, ordinary, load := room.Busy*room.All, room.Busy*room.Ordinary, 0.0
	for _, w := range waits {
		all += w.Work
		if w.Ordinary {
			ordinary += w.Work
		}
		if w.Slack < room.Busy+hasty {
			continue // late by itself: that tells nothing of the room
		}
		load = max(load, all/max(1, room.All*w.Slack))
		if w.Ordinary {
			load = max(load, ordinary/max(1, room.Ordinary*w.Slack))
		}
	}
	return load
}
