package transport

import (
	"context"
	"sync"
	"time"
)

// Budget is a token bucket: it fills at a rate and holds up to a burst. Callers that matter more may
// dig deeper into it; the level may even be below 0, a debt that later callers wait for. The unit of
// amounts is what the owner counts: requests, or changes in the state service.
type Budget struct {
	mu         sync.Mutex
	rate       float64 // units a second
	burst      float64 // units
	level      float64 // units to be had at filledAt
	refilledAt time.Time
}

// NewBudget allows rate units a second, with bursts of up to burst units. It begins full.
func NewBudget(rate, burst float64) *Budget {
	return &Budget{rate: rate, burst: burst, level: burst, refilledAt: time.Now()}
}

// Take takes amount if at least keep would stay; otherwise it returns how long to wait.
func (b *Budget) Take(amount, reserve float64) time.Duration {
	wait, _ := b.Reserve(amount, reserve, 0)
	return wait
}

// Delay is how long it takes until amount can be taken with keep left.
func (b *Budget) Delay(amount, reserve float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.timeToLevel(amount + reserve)
}

// Reserve takes amount now and tells how long to wait until it counts, with keep left; it takes
// nothing when that is longer than within. Unlike with Wait, those that come later see what those
// before them took.
func (b *Budget) Reserve(amount, reserve float64, maxWait time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	wait := b.timeToLevel(amount + reserve)
	if wait > maxWait {
		return wait, false
	}
	b.level -= amount
	return wait, true
}

// SetRate changes the rate, in units a second.
func (b *Budget) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.rate = rate
}

// Drain empties the budget for a while: the service has said that it is too much.
func (b *Budget) Drain(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.level = min(b.level, -b.rate*duration.Seconds())
}

// refill adds what has come since it was last called.
func (b *Budget) refill() {
	now := time.Now()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// timeToLevel is how long it takes until the level is reached, or the burst if that is lower.
func (b *Budget) timeToLevel(level float64) time.Duration {
	if need := min(level, b.burst); b.level < need {
		return time.Duration((need-b.level)/b.rate*float64(time.Second)) + time.Millisecond
	}
	return 0
}

// Debit takes amount whatever is left: for what must not wait.
func (b *Budget) Debit(amount float64) {
	b.mu.Lock()
	b.level -= amount
	b.mu.Unlock()
}

// Wait waits until amount can be taken with keep left, and takes it.
func (b *Budget) Wait(ctx context.Context, amount, reserve float64) error {
	for {
		wait := b.Take(amount, reserve)
		if wait == 0 {
			return nil
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// sleep waits for a time, or until the context ends: then it returns why.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
