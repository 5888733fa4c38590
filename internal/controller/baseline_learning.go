package controller

import (
	"context"
	"maps"
	"time"

	"dykeledge/internal/controller/baseline"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file has the leader learn the baseline of each team's classes, and keep it in the state service.

const (
	// baselineWriteInterval is the least time between two records of the baseline.
	baselineWriteInterval = time.Minute
	// maxWindowSteps is how many steps long a window may be to be learned from.
	maxWindowSteps = 3
	// baselineFillPercent is how much of the value limit the baseline's record may fill.
	baselineFillPercent = 80
)

// baselineLearning is the leader's estimator, and what it has taken in.
type baselineLearning struct {
	estimator     *baseline.Estimator
	lastArrivals  map[storage.ClassQueue]storage.Arrivals // the cache's when last looked at
	windowStart   time.Time
	writtenAt     time.Time
	writeInFlight bool
}

// start goes on from a recorded baseline.
func (l *baselineLearning) start(recorded map[storage.ClassQueue]float64, arrivals map[storage.ClassQueue]storage.Arrivals, now time.Time) {
	*l = baselineLearning{
		estimator:     baseline.New(recorded),
		lastArrivals:  maps.Clone(arrivals),
		windowStart:   now,
		writeInFlight: l.writeInFlight,
	}
}

// observeWindow takes in what has arrived since the last window, once a step has passed. What is read
// at once after a pause is no overload: a window in which this controller stalled or read nothing is
// left out.
func (l *baselineLearning) observeWindow(arrivals map[storage.ClassQueue]storage.Arrivals, storeFailing bool, now time.Time) {
	duration := now.Sub(l.windowStart)
	if duration < baseline.Step {
		return
	}
	if duration < maxWindowSteps*baseline.Step && !storeFailing {
		l.estimator.Window(duration, arrivalsSince(l.lastArrivals, arrivals))
	}
	l.lastArrivals, l.windowStart = maps.Clone(arrivals), now
}

// arrivalsSince is what has arrived beyond what had before.
func arrivalsSince(before, now map[storage.ClassQueue]storage.Arrivals) map[storage.ClassQueue]storage.Arrivals {
	arrived := map[storage.ClassQueue]storage.Arrivals{}
	for queue, n := range now {
		if last := before[queue]; n.Jobs > last.Jobs {
			arrived[queue] = storage.Arrivals{Jobs: n.Jobs - last.Jobs, Work: n.Work - last.Work}
		}
	}
	return arrived
}

// writeDue tells whether what was learned is to be recorded.
func (l *baselineLearning) writeDue(recorded *storage.Baseline, now time.Time) bool {
	if l.writeInFlight || now.Sub(l.writtenAt) < baselineWriteInterval && recorded.Version > 0 {
		return false
	}
	return l.estimator.Differs(recorded.Cpus)
}

// learnBaseline is the leader's loop over the baseline. A new leader goes on from the record: what
// an earlier one had learned outlives an end of all controllers, and an overload that lasts over it
// is not taken for the baseline.
func (c *Controller) learnBaseline(ctx context.Context, now time.Time) {
	learning := &c.leader.baseline
	if !c.isLeader() || !c.cache.Packed() || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	if learning.estimator == nil {
		learning.start(c.cache.Baseline.Cpus, c.cache.Arrivals, now)
		return
	}
	learning.observeWindow(c.cache.Arrivals, c.storeFailing(), now)
	if !learning.writeDue(&c.cache.Baseline, now) {
		return
	}
	learning.writeInFlight, learning.writtenAt = true, now
	record := c.cache.BaselineRecordOf(learning.estimator.Baseline(), c.valueLimit()*baselineFillPercent/100)
	txn := c.leaderTxn()
	txn.If = append(txn.If, protocol.Condition{Key: storage.BaselineKey, Version: c.cache.Baseline.Version})
	txn.Then = []protocol.Change{{Put: storage.BaselineKey, Value: storage.Encode(record)}}
	c.commitAside(ctx, txn, protocol.BackgroundRequest, func(bool) { learning.writeInFlight = false })
}
