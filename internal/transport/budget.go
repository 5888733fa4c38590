// Package transport holds the servers and clients of a controller and the
// budgets that keep it under the rates of the services it calls.
package transport

import (
	"context"
	"sync"
	"time"
)

// Budget is a token bucket. Callers that matter more may dig deeper into it.
type Budget struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	have  float64
	last  time.Time
}

// NewBudget allows rate a second, with bursts worth burst.
func NewBudget(rate, burst float64) *Budget {
	return &Budget{rate: rate, burst: burst, have: burst, last: time.Now()}
}

// Take takes n if at least keep would stay; otherwise it returns how long to wait.
func (b *Budget) Take(n, keep float64) time.Duration {
	d, _ := b.Reserve(n, keep, 0)
	return d
}

// Delay is how long it takes until n can be taken with keep left.
func (b *Budget) Delay(n, keep float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	return b.until(n + keep)
}

// Reserve takes n now and tells how long to wait until it counts, with keep left;
// it takes nothing when that is longer than within. Unlike with Wait, those that
// come later see what those before them took.
func (b *Budget) Reserve(n, keep float64, within time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	d := b.until(n + keep)
	if d > within {
		return d, false
	}
	b.have -= n
	return d, true
}

// SetRate changes the rate.
func (b *Budget) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.rate = rate
}

// Drain empties the budget for a while: the service has said that it is too much.
func (b *Budget) Drain(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.have = min(b.have, -b.rate*d.Seconds())
}

func (b *Budget) fill() {
	now := time.Now()
	b.have = min(b.burst, b.have+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

func (b *Budget) until(n float64) time.Duration {
	if need := min(n, b.burst); b.have < need {
		return time.Duration((need-b.have)/b.rate*float64(time.Second)) + time.Millisecond
	}
	return 0
}

// Debit takes n whatever is left: for what must not wait.
func (b *Budget) Debit(n float64) {
	b.mu.Lock()
	b.have -= n
	b.mu.Unlock()
}

// Wait waits until n can be taken with keep left.
func (b *Budget) Wait(ctx context.Context, n, keep float64) error {
	for {
		d := b.Take(n, keep)
		if d == 0 {
			return nil
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}
