package controller

import (
	"context"
	"maps"
	"time"

	"dykeledge/internal/controller/baseline"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// In this file the leader estimates the baseline demand of each team's classes and stores it in the state
// service.

const (
	// baselineWriteInterval is the minimum time between two writes of the baseline record.
	baselineWriteInterval = time.Minute
	// maxWindowSteps limits the length of a window, in multiples of baseline.WindowLength. A window that took as
	// long or longer is not used for the estimate: this controller stalled, and arrivals that it then reads all
	// at once are not an overload.
	maxWindowSteps = 3
	// baselineFillPercent is the part of the record size limit, in percent, that the baseline record may
	// fill.
	baselineFillPercent = 80
)

// baselineLearning holds the leader's baseline estimator and the progress of its input and output.
type baselineLearning struct {
	estimator     *baseline.Estimator
	lastArrivals  map[storage.ClassQueue]storage.Arrivals // arrival counters of the cache at the end of the last window
	windowStart   time.Time
	writtenAt     time.Time
	writeInFlight bool
}

// start resets the estimator to a recorded baseline; the first window begins now.
func (l *baselineLearning) start(recorded map[storage.ClassQueue]float64, arrivals map[storage.ClassQueue]storage.Arrivals, now time.Time) {
	*l = baselineLearning{
		estimator:     baseline.New(recorded),
		lastArrivals:  maps.Clone(arrivals),
		windowStart:   now,
		writeInFlight: l.writeInFlight,
	}
}

// observeWindow passes the arrivals since the last window to the estimator once baseline.WindowLength has passed.
// Windows in which this controller stalled or could not read the state service are skipped: arrivals that are
// read all at once after a pause are not an overload.
func (l *baselineLearning) observeWindow(arrivals map[storage.ClassQueue]storage.Arrivals, storeFailing bool, now time.Time) {
	duration := now.Sub(l.windowStart)
	if duration < baseline.WindowLength {
		return
	}
	if duration < maxWindowSteps*baseline.WindowLength && !storeFailing {
		l.estimator.AddWindow(duration, arrivalsSince(l.lastArrivals, arrivals))
	}
	l.lastArrivals, l.windowStart = maps.Clone(arrivals), now
}

// arrivalsSince returns the arrivals of each class queue between two readings of the counters.
func arrivalsSince(before, now map[storage.ClassQueue]storage.Arrivals) map[storage.ClassQueue]storage.Arrivals {
	arrived := map[storage.ClassQueue]storage.Arrivals{}
	for queue, n := range now {
		if last := before[queue]; n.Jobs > last.Jobs {
			arrived[queue] = storage.Arrivals{Jobs: n.Jobs - last.Jobs, Work: n.Work - last.Work}
		}
	}
	return arrived
}

// writeDue reports whether the estimate should be written to the baseline record now.
func (l *baselineLearning) writeDue(recorded *storage.Baseline, now time.Time) bool {
	if l.writeInFlight || now.Sub(l.writtenAt) < baselineWriteInterval && recorded.Version > 0 {
		return false
	}
	return l.estimator.DiffersFrom(recorded.Cpus)
}

// learnBaseline updates the leader's baseline estimate and stores it. A new leader continues from the record:
// the estimate of an earlier leader survives a restart of all controllers, and an overload that lasts across
// the restart is not taken for the baseline.
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
	c.commitOutsideCycle(ctx, txn, protocol.BackgroundRequest, func(bool) { learning.writeInFlight = false })
}
