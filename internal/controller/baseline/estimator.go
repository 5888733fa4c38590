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
	// firstWindows is how many windows the first estimate takes: their median, so that neither
	// what all users submit when a deployment opens nor an overload that starts soon counts.
	firstWindows = 6
	// longWindows is how many windows are looked at before a class queue with few jobs gets its first
	// estimate.
	longWindows = 30
	// smoothing is the time over which the asked rate is averaged before it is compared.
	smoothing = time.Minute
	// settling is how fast the baseline follows what is asked: it doubles in 28 minutes of an
	// overload, however large that is, and halves in 83 minutes of less.
	settling = 30 * time.Minute
	// quantile is the part of the time in which a class queue asks for no more than its baseline.
	quantile = 0.75
	// idleFraction is the part of its baseline below which a class queue is taken to be at rest: a class
	// that works by night is not forgotten by day.
	idleFraction = 0.05
	// minChange is the part of its recorded rate by which a class queue must differ from it for the record
	// to be written anew.
	minChange = 0.05
)

// Rates are by class queue how much work arrives a second, in CPU-seconds.
type Rates map[storage.ClassQueue]float64

// Estimator follows what class queues ask for. It belongs to the leader; its successor goes on from
// the record that it has left.
type Estimator struct {
	queues     map[storage.ClassQueue]*queueEstimate
	fromRecord bool // it went on from a record
}

// queueEstimate is what is known of a class queue.
type queueEstimate struct {
	jobRates []float64        // jobs a second in the windows so far, until there is a first estimate
	total    storage.Arrivals // in all of them
	rate     float64          // asked, smoothed, in CPU-seconds a second
	baseline float64          // in CPU-seconds a second; 0: there is no estimate yet
}

// New returns an estimator that goes on from a record; with none it starts from nothing.
func New(record Rates) *Estimator {
	e := &Estimator{queues: map[storage.ClassQueue]*queueEstimate{}, fromRecord: len(record) > 0}
	for queue, rate := range record {
		e.queues[queue] = &queueEstimate{rate: rate, baseline: rate}
	}
	return e
}

// Window takes in what class queues asked for in a window of time. A window without length tells
// nothing.
func (e *Estimator) Window(duration time.Duration, asked map[storage.ClassQueue]storage.Arrivals) {
	seconds := duration.Seconds()
	if seconds <= 0 {
		return
	}
	for queue := range asked {
		if e.queues[queue] == nil {
			e.queues[queue] = &queueEstimate{}
		}
	}
	for queue, estimate := range e.queues {
		if estimate.baseline == 0 {
			e.collect(estimate, asked[queue], seconds)
		} else {
			estimate.follow(asked[queue], seconds)
		}
	}
}

// follow moves a baseline towards what was asked for in a window: up by steps that are longer than those
// down, so that it comes to rest at the quantile of what is asked. The steps do not grow with what is
// asked, so a large overload moves it no faster than a small one.
func (q *queueEstimate) follow(asked storage.Arrivals, seconds float64) {
	askedRate := asked.Work / seconds
	q.rate += min(1, seconds/smoothing.Seconds()) * (askedRate - q.rate)
	part := seconds / settling.Seconds()
	switch {
	case q.rate < idleFraction*q.baseline:
	case q.rate > q.baseline:
		q.baseline *= math.Exp(quantile * part)
	default:
		q.baseline *= math.Exp((quantile - 1) * part)
	}
}

// collect takes in a window of a class queue without a baseline, and makes the first estimate once there
// are enough. An overload changes how many jobs come but not what a job is, so the estimate is the
// median rate of jobs with the mean work of one.
func (e *Estimator) collect(estimate *queueEstimate, asked storage.Arrivals, seconds float64) {
	estimate.total.Jobs += asked.Jobs
	estimate.total.Work += asked.Work
	estimate.jobRates = append(estimate.jobRates, asked.Jobs/seconds)
	if len(estimate.jobRates) < firstWindows {
		return
	}
	rate := typicalJobRate(estimate.jobRates) * (estimate.total.Work / max(estimate.total.Jobs, 1))
	if rate == 0 {
		estimate.dropOldest()
		return
	}
	if mean := e.mean(); e.fromRecord && mean > 0 {
		// A class that comes when others are known may come as an overload: it is not given
		// more than they have on average before it has lasted.
		rate = min(rate, mean)
	}
	estimate.rate = rate
	estimate.baseline = rate
	estimate.jobRates = nil
}

// dropOldest makes place for another window where longWindows are kept.
func (q *queueEstimate) dropOldest() {
	q.jobRates = q.jobRates[max(0, len(q.jobRates)+1-longWindows):]
}

// typicalJobRate is the median of rates of jobs. A class queue with few jobs has none in most windows:
// of such, once there are longWindows, it is the mean but for the largest.
func typicalJobRate(rates []float64) float64 {
	sorted := slices.Sorted(slices.Values(rates))
	median := sorted[len(sorted)/2]
	if median != 0 || len(sorted) < longWindows {
		return median
	}
	mean := 0.0
	for _, rate := range sorted[:len(sorted)-1] {
		mean += rate / float64(len(sorted)-1)
	}
	return mean
}

// mean is the mean of the baselines; 0 if there are none.
func (e *Estimator) mean() float64 {
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
		if math.Abs(rate-record[queue]) > minChange*record[queue] {
			return true
		}
	}
	return false
}
