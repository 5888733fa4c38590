package transport

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// StateBudget keeps one controller under its part of the state service's rates.
type StateBudget struct {
	reqs, writes *Budget
	reserve      float64       // kept for what must not wait
	limit        atomic.Uint64 // changes a second for all controllers, as bits of a float64
	members      float64
	changesUsed  atomic.Uint64 // changes so far
}

// userWait is how long a user's change may wait for the budget; what would wait
// longer is refused at once, and the user told to come back.
const userWait = 600 * time.Millisecond

// NewStateBudget gives every controller the same part, until SetRateShare.
func NewStateBudget(d *config.Deployment) *StateBudget {
	n := float64(max(1, d.Controllers))
	fair := 0.9 * d.State.RPS / n
	b := &StateBudget{reqs: NewBudget(min(1.5*fair, 0.9*d.State.RPS), fair), reserve: 4, members: n}
	b.SetLimit(d.State.WriteRPS)
	b.writes = NewBudget(b.total()/n, max(b.total()/n, float64(min(d.State.TxnOps, 12))+b.reserve))
	return b
}

// SetRateShare sets this controller's part of the rate of changes: a little for every controller,
// some for the leader, and most in proportion to what the controller commits for. What the
// controllers together leave unused each may use evenly: used is what this controller makes of it
// in changes a second and others what the others do, below 0 if that is not known.
func (b *StateBudget) SetRateShare(part float64, leads bool, used, others float64) {
	r := 0.16/b.members + 0.7*part
	if leads {
		r += 0.07
	}
	r *= b.total()
	if others >= 0 {
		r = max(r, used+(lendable*b.total()-used-others)/b.members)
	}
	b.writes.SetRate(r)
}

// SetLimit sets the rate of changes for all controllers; SetRateShare parts it.
func (b *StateBudget) SetLimit(rate float64) { b.limit.Store(math.Float64bits(rate)) }

func (b *StateBudget) total() float64 { return math.Float64frombits(b.limit.Load()) }

// lendable is the part of the rate up to which controllers lend one another what they do not use.
const lendable = 0.9

// ChangesUsed is how many changes this controller has made.
func (b *StateBudget) ChangesUsed() uint64 { return b.changesUsed.Load() }

// Pace is how long it takes until a transaction of n changes may go out.
func (b *StateBudget) Pace(n int) time.Duration {
	return max(b.writes.Delay(float64(n), b.reserve), b.reqs.Delay(1, b.reserve))
}

// StepBack is called when the service says that all controllers together were too fast:
// each steps back for a moment of its own. It returns how long.
func (b *StateBudget) StepBack() time.Duration {
	wait := time.Duration(100+rand.IntN(200)) * time.Millisecond
	b.writes.Drain(wait)
	return wait
}

// Request waits until a request without changes may go out.
func (b *StateBudget) Request(ctx context.Context) error {
	if err := b.reqs.Wait(ctx, 1, b.reserve); err != nil {
		return fmt.Errorf("%w: %w", protocol.ErrRefused, err)
	}
	return nil
}

// Owe counts a request that must not wait.
func (b *StateBudget) Owe() { b.reqs.Debit(1) }

// Admit waits until a transaction of n changes may go out.
func (b *StateBudget) Admit(ctx context.Context, n int, haste protocol.RequestPriority) error {
	switch haste {
	case protocol.UrgentRequest:
		b.Owe()
		b.writes.Debit(float64(n))
		b.changesUsed.Add(uint64(n))
		return nil
	case protocol.UserRequest:
		// After an outage all users come at once: their changes go ahead of the
		// controller's own, on credit.
		wait, ok := b.writes.Reserve(float64(n), -b.total()/b.members, userWait)
		if !ok {
			return fmt.Errorf("%w: the budget allows it in %v", protocol.ErrRefused, wait)
		}
		b.Owe()
		b.changesUsed.Add(uint64(n))
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", protocol.ErrRefused, ctx.Err())
		case <-t.C:
			return nil
		}
	}
	if err := b.Request(ctx); err != nil {
		return err
	}
	if err := b.writes.Wait(ctx, float64(n), b.reserve); err != nil {
		return fmt.Errorf("%w: %w", protocol.ErrRefused, err)
	}
	b.changesUsed.Add(uint64(n))
	return nil
}
