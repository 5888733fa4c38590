// Package usual learns what the classes of the teams usually ask for, as pure functions: so
// that a flood of one class can be told from what the others ask for all the time. See
// "Floods" in docs/design.md.
package usual

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
	// longWindows is how many are looked at before a lane with few jobs is guessed.
	longWindows = 30
	// smooth is over how long the asked rate is averaged before it is compared.
	smooth = time.Minute
	// settle is how long it takes until what is asked anew has become usual: it doubles in
	// 28 minutes of a flood, however large that is, and halves in 83 of less.
	settle = 30 * time.Minute
	// quantile is the part of the time in which a lane asks for no more than its usual.
	quantile = 0.75
	// idle is the part of its usual below which a lane is taken to be at rest: a class that
	// works by night is not forgotten by day.
	idle = 0.05
	// changed is by how much a lane must differ from its record for the record to be
	// written anew.
	changed = 0.05
)

// Rates are by lane how much work arrives a second, in seconds of a CPU.
type Rates map[storage.Lane]float64

// Learner follows what lanes ask for. It belongs to the leader; its successor goes on from
// the record that it has left.
type Learner struct {
	lanes map[storage.Lane]*lane
	known bool // it began with a record
}

type lane struct {
	first []float64     // jobs a second in the windows so far, until there is a first guess
	all   storage.Asked // in all of them
	rate  float64       // asked, smoothed
	usual float64
}

// New is a learner that goes on from a record; with none it begins anew.
func New(record Rates) *Learner {
	l := &Learner{lanes: map[storage.Lane]*lane{}, known: len(record) > 0}
	for x, u := range record {
		l.lanes[x] = &lane{rate: u, usual: u}
	}
	return l
}

// Window takes in what lanes asked for in a window of time.
func (l *Learner) Window(d time.Duration, asked map[storage.Lane]storage.Asked) {
	s := d.Seconds()
	if s <= 0 {
		return
	}
	for x := range asked {
		if l.lanes[x] == nil {
			l.lanes[x] = &lane{}
		}
	}
	for x, n := range l.lanes {
		if n.usual == 0 {
			l.guess(n, asked[x], s)
			continue
		}
		now := asked[x].Work / s
		n.rate += min(1, s/smooth.Seconds()) * (now - n.rate)
		switch part := s / settle.Seconds(); {
		case n.rate < idle*n.usual:
		case n.rate > n.usual:
			n.usual *= math.Exp(quantile * part)
		default:
			n.usual *= math.Exp((quantile - 1) * part)
		}
	}
}

// guess takes a window of a lane of which nothing is known. A flood changes how many jobs come
// but not what a job is, so the guess is the usual number of jobs with the mean work of one.
func (l *Learner) guess(n *lane, asked storage.Asked, s float64) {
	n.all.Jobs, n.all.Work = n.all.Jobs+asked.Jobs, n.all.Work+asked.Work
	if n.first = append(n.first, asked.Jobs/s); len(n.first) < firstWindows {
		return
	}
	w := slices.Sorted(slices.Values(n.first))
	u := w[len(w)/2]
	if u == 0 && len(w) >= longWindows {
		// A lane with few jobs has none in most windows: then the mean but for the largest.
		for _, x := range w[:len(w)-1] {
			u += x / float64(len(w)-1)
		}
	}
	u *= n.all.Work / max(n.all.Jobs, 1)
	if u == 0 {
		n.first = n.first[max(0, len(n.first)+1-longWindows):]
		return
	}
	if mean := l.mean(); l.known && mean > 0 {
		// A class that comes when others are known may come as a flood: it is not given
		// more than they have on average before it has lasted.
		u = min(u, mean)
	}
	n.rate, n.usual, n.first = u, u, nil
}

func (l *Learner) mean() float64 {
	sum, k := 0.0, 0
	for _, n := range l.lanes {
		if n.usual > 0 {
			sum, k = sum+n.usual, k+1
		}
	}
	return sum / float64(max(1, k))
}

// Usual is what is known by now.
func (l *Learner) Usual() Rates {
	out := Rates{}
	for x, n := range l.lanes {
		if n.usual > 0 {
			out[x] = n.usual
		}
	}
	return out
}

// Differs tells whether a record is so far from what is known that it should be written anew.
func (l *Learner) Differs(record Rates) bool {
	for x, u := range l.Usual() {
		if math.Abs(u-record[x]) > changed*record[x] {
			return true
		}
	}
	return false
}
