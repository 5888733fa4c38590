package baseline

import (
	"math"
	"slices"
	"time"

	"dykeledge/internal/storage"
)

const (
	// WindowLength is the length of a window: the arrivals of a window are evaluated together.
	WindowLength = 10 * time.Second
	// minEstimateWindows is the number of windows before the first estimate. The estimate uses their
	// median, so that neither the burst of submissions when a deployment opens nor an overload that
	// starts soon afterwards distorts it.
	minEstimateWindows = 6
	// maxEstimateWindows is the number of windows before a class queue with few jobs gets its first
	// estimate.
	maxEstimateWindows = 30
	// smoothingTime is the time constant with which the arrival rate is averaged before it is compared
	// with the baseline.
	smoothingTime = time.Minute
	// settlingTime sets how fast the baseline follows the arrival rate: it doubles in 28 minutes of an
	// overload, regardless of the overload's size, and halves in 83 minutes below the baseline.
	settlingTime = 30 * time.Minute
	// baselineQuantile is the fraction of the time in which a class queue's demand does not exceed its
	// baseline.
	baselineQuantile = 0.75
	// idleFraction is the fraction of its baseline below which a class queue counts as idle and its
	// baseline is kept, so that a class that is active only at night keeps its baseline during the day.
	idleFraction = 0.05
	// minRecordChange is the fraction by which a class queue's baseline must differ from its recorded
	// rate for the record to be rewritten.
	minRecordChange = 0.05
)

// Rates holds the work that arrives in each class queue, in CPU-seconds per second.
type Rates map[storage.ClassQueue]float64

// Estimator estimates the baselines of class queues. It runs on the leader; the next leader restores it
// from the record.
type Estimator struct {
	queues   map[storage.ClassQueue]*queueEstimate
	restored bool // it was restored from a record
}

// queueEstimate is the state of the estimate of one class queue.
type queueEstimate struct {
	jobRates      []float64        // jobs per second in each window, until the first estimate
	totalArrivals storage.Arrivals // sum over the windows until the first estimate
	rate          float64          // smoothed arrival rate in CPU-seconds per second
	baseline      float64          // in CPU-seconds per second; 0: no estimate yet
}

// New returns an estimator restored from a record. With an empty record it starts without estimates.
func New(record Rates) *Estimator {
	e := &Estimator{queues: map[storage.ClassQueue]*queueEstimate{}, restored: len(record) > 0}
	for queue, rate := range record {
		e.queues[queue] = &queueEstimate{rate: rate, baseline: rate}
	}
	return e
}

// AddWindow adds the arrivals of one time window. A window whose length is not positive is ignored.
func (e *Estimator) AddWindow(duration time.Duration, arrivals map[storage.ClassQueue]storage.Arrivals) {
	seconds := duration.Seconds()
	if seconds <= 0 {
		return
	}
	for queue := range arrivals {
		if e.queues[queue] == nil {
			e.queues[queue] = &queueEstimate{}
		}
	}
	for queue, estimate := range e.queues {
		if estimate.baseline == 0 {
			e.addInitialWindow(estimate, arrivals[queue], seconds)
		} else {
			estimate.adjust(arrivals[queue], seconds)
		}
	}
}

// adjust moves a baseline towards the arrival rate after a window. Upward steps are larger than downward
// ones, so that the baseline settles at the quantile of the arrival rate. The size of a step does not
// depend on the rate, so a large overload moves the baseline no faster than a small one.
func (q *queueEstimate) adjust(arrivals storage.Arrivals, seconds float64) {
	arrivalRate := arrivals.Work / seconds
	q.rate += min(1, seconds/smoothingTime.Seconds()) * (arrivalRate - q.rate)
	settlingFraction := seconds / settlingTime.Seconds()
	switch {
	case q.rate < idleFraction*q.baseline:
	case q.rate > q.baseline:
		q.baseline *= math.Exp(baselineQuantile * settlingFraction)
	default:
		q.baseline *= math.Exp((baselineQuantile - 1) * settlingFraction)
	}
}

// addInitialWindow adds a window of a class queue without a baseline and makes the first estimate once
// there are enough windows. An overload changes how many jobs arrive but not the work of a job, so the
// estimate is the median job rate multiplied by the mean work per job.
func (e *Estimator) addInitialWindow(estimate *queueEstimate, arrivals storage.Arrivals, seconds float64) {
	estimate.totalArrivals.Jobs += arrivals.Jobs
	estimate.totalArrivals.Work += arrivals.Work
	estimate.jobRates = append(estimate.jobRates, arrivals.Jobs/seconds)
	if len(estimate.jobRates) < minEstimateWindows {
		return
	}
	rate := typicalJobRate(estimate.jobRates) * (estimate.totalArrivals.Work / max(estimate.totalArrivals.Jobs, 1))
	if rate == 0 {
		estimate.dropOldestWindow()
		return
	}
	if meanBaseline := e.meanBaseline(); e.restored && meanBaseline > 0 {
		// A class that first appears after a record was restored may start with an overload, so its first
		// baseline is limited to the mean of the known baselines. adjust raises it if the demand lasts.
		rate = min(rate, meanBaseline)
	}
	estimate.rate = rate
	estimate.baseline = rate
	estimate.jobRates = nil
}

// dropOldestWindow makes room for another window once maxEstimateWindows are kept.
func (q *queueEstimate) dropOldestWindow() {
	q.jobRates = q.jobRates[max(0, len(q.jobRates)+1-maxEstimateWindows):]
}

// typicalJobRate returns the median of the job rates. A class queue with few jobs has a median of 0; for
// it, the result is the mean without the largest rate once there are maxEstimateWindows.
func typicalJobRate(rates []float64) float64 {
	sorted := slices.Sorted(slices.Values(rates))
	median := sorted[len(sorted)/2]
	if median != 0 || len(sorted) < maxEstimateWindows {
		return median
	}
	mean := 0.0
	for _, rate := range sorted[:len(sorted)-1] {
		mean += rate / float64(len(sorted)-1)
	}
	return mean
}

// meanBaseline returns the mean of the baselines; 0 if there are none.
func (e *Estimator) meanBaseline() float64 {
	sum, count := 0.0, 0
	for _, estimate := range e.queues {
		if estimate.baseline > 0 {
			sum += estimate.baseline
			count++
		}
	}
	return sum / float64(max(1, count))
}

// Baseline returns the baselines of the class queues that have one.
func (e *Estimator) Baseline() Rates {
	rates := Rates{}
	for queue, estimate := range e.queues {
		if estimate.baseline > 0 {
			rates[queue] = estimate.baseline
		}
	}
	return rates
}

// DiffersFrom reports whether the baselines differ from a record so much that it should be rewritten.
func (e *Estimator) DiffersFrom(record Rates) bool {
	for queue, rate := range e.Baseline() {
		if math.Abs(rate-record[queue]) > minRecordChange*record[queue] {
			return true
		}
	}
	return false
}
