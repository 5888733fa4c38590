package transport

import (
	"context"
	"sync"
	"time"
)

// Budget is a token bucket: it is refilled at a rate and holds at most a burst. Callers of lower
// importance leave a reserve for the others. The level may fall below 0; later callers then wait
// until the debt is refilled. The unit of amounts depends on the use: requests, or changes in the state service.
type Budget struct {
	mu         sync.Mutex
	rate       float64 // units per second
	burst      float64 // units
	level      float64 // units available at refilledAt
	refilledAt time.Time
}

// NewBudget returns a full budget of rate units per second, with bursts of up to burst units.
func NewBudget(rate, burst float64) *Budget {
	return &Budget{rate: rate, burst: burst, level: burst, refilledAt: time.Now()}
}

// Take takes amount and returns 0 if at least reserve remains afterwards. Otherwise it takes nothing and
// returns the time until that is the case.
func (b *Budget) Take(amount, reserve float64) time.Duration {
	wait, _ := b.Reserve(amount, reserve, 0)
	return wait
}

// Delay returns the time until amount can be taken so that reserve remains.
func (b *Budget) Delay(amount, reserve float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.timeToLevel(amount + reserve)
}

// Reserve takes amount at once and returns the time that the caller must wait before it uses it, so that
// reserve remains. If that time is longer than maxWait, it takes nothing and returns false. Unlike with
// Wait, callers that wait have already taken their amounts, which later callers take into account.
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

// SetRate sets the rate, in units per second.
func (b *Budget) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.rate = rate
}

// Drain lowers the level so that it takes at least duration to return to 0. It is used when the service
// has rejected a request for its rate.
func (b *Budget) Drain(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.level = min(b.level, -b.rate*duration.Seconds())
}

// refill adds the units for the time since the last refill.
func (b *Budget) refill() {
	now := time.Now()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// timeToLevel returns the time until the budget reaches level, or its burst if that is lower.
func (b *Budget) timeToLevel(level float64) time.Duration {
	if need := min(level, b.burst); b.level < need {
		return time.Duration((need-b.level)/b.rate*float64(time.Second)) + time.Millisecond
	}
	return 0
}

// Debit takes amount whatever the level is, for requests that must not wait.
func (b *Budget) Debit(amount float64) {
	b.mu.Lock()
	b.level -= amount
	b.mu.Unlock()
}

// Wait waits until amount can be taken so that reserve remains, and takes it.
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

// sleep waits for duration. If the context is done before, it returns the context's error.
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
