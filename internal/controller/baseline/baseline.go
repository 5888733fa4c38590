// Package baseline learns what the classes of the teams usually ask for, as pure functions: so
// that a flood of one class can be told from what the others ask for all the time. See
// "Floods" in docs/design.md.
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
	// firstWindows is how many windows the first guess takes: their median, so that neither
	// what all users submit when a deployment opens nor a flood that begins soon counts.
	firstWindows = 6
	// longWindows is how many are looked at before a queue with few jobs is guessed.
	longWindows = 30
	// smooth is over how long the asked rate is averaged before it is compared.
	smooth = time.Minute
	// settle is how long it takes until what is asked anew has become usual: it doubles in
	// 28 minutes of a flood, however large that is, and halves in 83 of less.
	settle = 30 * time.Minute
	// quantile is the part of the time in which a queue asks for no more than its usual.
	quantile = 0.75
	// idle is the part of its usual below which a queue is taken to be at rest: a class that
	// works by night is not forgotten by day.
	idle = 0.05
	// changed is by how much a queue must differ from its record for the record to be
	// written anew.
	changed = 0.05
)

// Rates are by queue how much work arrives a second, in seconds of a CPU.
type Rates map[storage.ClassQueue]float64

// Estimator follows what queues ask for. It belongs to the leader; its successor goes on from
// the record that it has left.
type Estimator struct {
	queues map[storage.ClassQueue]*queueEstimate
	known  bool // it began with a record
}

type queueEstimate struct {
	first    []float64        // jobs a second in the windows so far, until there is a first guess
	all      storage.Arrivals // in all of them
	rate     float64          // asked, smoothed
	baseline float64
}

// New is a learner that goes on from a record; with none it begins anew.
func New(record Rates) *Estimator {
	l := &Estimator{queues: map[storage.ClassQueue]*queueEstimate{}, known: len(record) > 0}
	for x, u := range record {
		l.queues[x] = &queueEstimate{rate: u, baseline: u}
	}
	return l
}

// Window takes in what queues asked for in a window of time.
func (l *Estimator) Window(duration time.Duration, asked map[storage.ClassQueue]storage.Arrivals) {
	s := duration.Seconds()
	if s <= 0 {
		return
	}
	for x := range asked {
		if l.queues[x] == nil {
			l.queues[x] = &queueEstimate{}
		}
	}
	for classQueue, baselineQueueEstimate := range l.queues {
		if baselineQueueEstimate.baseline == 0 {
			l.guess(baselineQueueEstimate, asked[classQueue], s)
			continue
		}
		now := asked[classQueue].Work / s
		baselineQueueEstimate.rate += min(1, s/smooth.Seconds()) * (now - baselineQueueEstimate.rate)
		switch part := s / settle.Seconds(); {
		case baselineQueueEstimate.rate < idle*baselineQueueEstimate.baseline:
		case baselineQueueEstimate.rate > baselineQueueEstimate.baseline:
			baselineQueueEstimate.baseline *= math.Exp(quantile * part)
		default:
			baselineQueueEstimate.baseline *= math.Exp((quantile - 1) * part)
		}
	}
}

// guess takes a window of a queue of which nothing is known. A flood changes how many jobs come
// but not what a job is, so the guess is the usual number of jobs with the mean work of one.
func (l *Estimator) guess(baselineQueueEstimate *queueEstimate, asked storage.Arrivals, s float64) {
	baselineQueueEstimate.all.Jobs, baselineQueueEstimate.all.Work = baselineQueueEstimate.all.Jobs+asked.Jobs, baselineQueueEstimate.all.Work+asked.Work
	if baselineQueueEstimate.first = append(baselineQueueEstimate.first, asked.Jobs/s); len(baselineQueueEstimate.first) < firstWindows {
		return
	}
	w := slices.Sorted(slices.Values(baselineQueueEstimate.first))
	u := w[len(w)/2]
	if u == 0 && len(w) >= longWindows {
		// A queue with few jobs has none in most windows: then the mean but for the largest.
		for _, x := range w[:len(w)-1] {
			u += x / float64(len(w)-1)
		}
	}
	u *= baselineQueueEstimate.all.Work / max(baselineQueueEstimate.all.Jobs, 1)
	if u == 0 {
		baselineQueueEstimate.first = baselineQueueEstimate.first[max(0, len(baselineQueueEstimate.first)+1-longWindows):]
		return
	}
	if mean := l.mean(); l.known && mean > 0 {
		// A class that comes when others are known may come as a flood: it is not given
		// more than they have on average before it has lasted.
		u = min(u, mean)
	}
	baselineQueueEstimate.rate, baselineQueueEstimate.baseline, baselineQueueEstimate.first = u, u, nil
}

func (l *Estimator) mean() float64 {
	sum, k := 0.0, 0
	for _, n := range l.queues {
		if n.baseline > 0 {
			sum, k = sum+n.baseline, k+1
		}
	}
	return sum / float64(max(1, k))
}

// Baseline is what is known by now.
func (l *Estimator) Baseline() Rates {
	out := Rates{}
	for x, n := range l.queues {
		if n.baseline > 0 {
			out[x] = n.baseline
		}
	}
	return out
}

// Differs tells whether a record is so far from what is known that it should be written anew.
func (l *Estimator) Differs(record Rates) bool {
	for x, u := range l.Baseline() {
		if math.Abs(u-record[x]) > changed*record[x] {
			return true
		}
	}
	return false
}
