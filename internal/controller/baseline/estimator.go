package baseline

import (
	"math"
	"slices"
	"time"

	"dykeledge/internal/storage"
)

const (
	// Step is how long a window is whose work is looked at as one.
	Step = 10 * time.Second
	// minEstimateWindows is how many windows the first estimate takes: their median, so that neither
	// what all users submit when a deployment opens nor an overload that starts soon counts.
	minEstimateWindows = 6
	// maxEstimateWindows is how many windows are looked at before a class queue with few jobs gets its first
	// estimate.
	maxEstimateWindows = 30
	// smoothingTime is the time over which the asked rate is averaged before it is compared.
	smoothingTime = time.Minute
	// settlingTime is how fast the baseline follows what is asked: it doubles in 28 minutes of an
	// overload, however large that is, and halves in 83 minutes of less.
	settlingTime = 30 * time.Minute
	// baselineQuantile is the part of the time in which a class queue asks for no more than its baseline.
	baselineQuantile = 0.75
	// idleFraction is the part of its baseline below which a class queue is taken to be at rest: a class
	// that works by night is not forgotten by day.
	idleFraction = 0.05
	// minRecordChange is the part of its recorded rate by which a class queue must differ from it for the record
	// to be written anew.
	minRecordChange = 0.05
)

// Rates are by class queue how much work arrives a second, in CPU-seconds.
type Rates map[storage.ClassQueue]float64

// Estimator follows what class queues ask for. It belongs to the leader; its successor goes on from
// the record that it has left.
type Estimator struct {
	queues   map[storage.ClassQueue]*queueEstimate
	restored bool // it went on from a record
}

// queueEstimate is what is known of a class queue.
type queueEstimate struct {
	jobRates      []float64        // jobs a second in the windows so far, until there is a first estimate
	totalArrivals storage.Arrivals // in all of them
	rate          float64          // asked, smoothed, in CPU-seconds a second
	baseline      float64          // in CPU-seconds a second; 0: there is no estimate yet
}

// New returns an estimator that goes on from a record; with none it starts from nothing.
func New(record Rates) *Estimator {
	e := &Estimator{queues: map[storage.ClassQueue]*queueEstimate{}, restored: len(record) > 0}
	for queue, rate := range record {
		e.queues[queue] = &queueEstimate{rate: rate, baseline: rate}
	}
	return e
}

// Window takes in what class queues asked for in a window of time. A window without length tells
// nothing.
func (e *Estimator) Window(duration time.Duration, arrivals map[storage.ClassQueue]storage.Arrivals) {
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

// adjust moves a baseline towards what was asked for in a window: up by steps that are longer than those
// down, so that it comes to rest at the quantile of what is asked. The steps do not grow with what is
// asked, so a large overload moves it no faster than a small one.
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

// addInitialWindow takes in a window of a class queue without a baseline, and makes the first estimate once there
// are enough. An overload changes how many jobs come but not what a job is, so the estimate is the
// median rate of jobs with the mean work of one.
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
		// A class that comes when others are known may come as an overload: it is not given
		// more than they have on average before it has lasted.
		rate = min(rate, meanBaseline)
	}
	estimate.rate = rate
	estimate.baseline = rate
	estimate.jobRates = nil
}

// dropOldestWindow makes place for another window where longWindows are kept.
func (q *queueEstimate) dropOldestWindow() {
	q.jobRates = q.jobRates[max(0, len(q.jobRates)+1-maxEstimateWindows):]
}

// typicalJobRate is the median of rates of jobs. A class queue with few jobs has none in most windows:
// of such, once there are longWindows, it is the mean but for the largest.
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

// meanBaseline is the meanBaseline of the baselines; 0 if there are none.
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

// Baseline is what is known by now: the baselines of class queues that have one.
func (e *Estimator) Baseline() Rates {
	rates := Rates{}
	for queue, estimate := range e.queues {
		if estimate.baseline > 0 {
			rates[queue] = estimate.baseline
		}
	}
	return rates
}

// Differs tells whether a record is so far from what is known that it should be written anew.
func (e *Estimator) Differs(record Rates) bool {
	for queue, rate := range e.Baseline() {
		if math.Abs(rate-record[queue]) > minRecordChange*record[queue] {
			return true
		}
	}
	return false
}
