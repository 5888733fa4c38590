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

// The division of the state service's rate limits, which apply to all controllers together. Rates are in
// requests or changes per second; fractions refer to the limit for all controllers.
const (
	usableRequestFraction = 0.9 // the part of the request rate limit that is divided
	requestOvercommit     = 1.5 // factor on a controller's even share of it: not all controllers are busy at the same time
	urgentReserve         = 4   // requests, and changes, that are reserved for urgent ones
	largestTxnChanges     = 12  // the burst allows a transaction with this many changes, if the state service does

	evenFraction          = 0.16 // divided evenly among the controllers
	leaderFraction        = 0.07 // added to the leader's share
	ownedFraction         = 0.7  // divided by the machines and shards that each controller owns
	redistributedFraction = 0.9  // limit for all controllers when each also uses a part of what the others leave unused
)

// maxUserWait is the longest time that a user's change may wait for the budget. A change that would wait
// longer is rejected at once, and the user is told to repeat it later.
const maxUserWait = 600 * time.Millisecond

// The back-off after the state service has rejected a request for its rate. It is random, so that the
// controllers do not resume at the same time.
const (
	minBackoff      = 100 * time.Millisecond
	backoffJitterMs = 200 // upper bound of the random part, in milliseconds
)

// StateBudget keeps one controller within its share of the state service's rate limits.
type StateBudget struct {
	requests    *Budget       // in requests
	changes     *Budget       // in changes
	reserve     float64       // requests, and changes, reserved for urgent ones
	limit       atomic.Uint64 // changes per second for all controllers, as the bits of a float64
	controllers float64
	changesUsed atomic.Uint64 // number of changes so far
}

// NewStateBudget returns a budget with an even share of the rate limits. SetRateShare changes the share
// of the rate of changes.
func NewStateBudget(deployment *config.Deployment) *StateBudget {
	controllers := float64(max(1, deployment.Controllers))
	requestLimit := usableRequestFraction * deployment.State.RPS
	evenRequests := requestLimit / controllers
	b := &StateBudget{
		requests:    NewBudget(min(requestOvercommit*evenRequests, requestLimit), evenRequests),
		reserve:     urgentReserve,
		controllers: controllers,
	}
	b.SetLimit(deployment.State.WriteRPS)
	evenChanges := b.totalRate() / controllers
	txnChanges := float64(min(deployment.State.TxnOps, largestTxnChanges))
	b.changes = NewBudget(evenChanges, max(evenChanges, txnChanges+b.reserve))
	return b
}

// SetRateShare sets this controller's share of the rate of changes. A small part of the limit is divided
// evenly among the controllers, a part is added for the leader, and most is divided in proportion to the
// machines and shards that each controller owns (ownedPart, from 0 to 1). In addition each controller may
// use an even part of what all leave unused: its share is at least ownRate, the rate at which it makes
// changes, plus that part. othersRate is the rate of all other controllers, below 0 if it is not known;
// nothing is added then. Rates are in changes per second.
func (b *StateBudget) SetRateShare(ownedPart float64, isLeader bool, ownRate, othersRate float64) {
	rate := evenFraction/b.controllers + ownedFraction*ownedPart
	if isLeader {
		rate += leaderFraction
	}
	rate *= b.totalRate()
	if othersRate >= 0 {
		unused := redistributedFraction*b.totalRate() - ownRate - othersRate
		rate = max(rate, ownRate+unused/b.controllers)
	}
	b.changes.SetRate(rate)
}

// SetLimit sets the rate limit for the changes of all controllers, in changes per second. It changes
// this controller's rate with the next SetRateShare.
func (b *StateBudget) SetLimit(rate float64) { b.limit.Store(math.Float64bits(rate)) }

// totalRate returns the rate limit for the changes of all controllers, in changes per second.
func (b *StateBudget) totalRate() float64 { return math.Float64frombits(b.limit.Load()) }

// ChangesUsed returns the number of changes that this budget has admitted.
func (b *StateBudget) ChangesUsed() uint64 { return b.changesUsed.Load() }

// Pace returns the time until a transaction with the given number of changes may be sent.
func (b *StateBudget) Pace(changes int) time.Duration {
	return max(b.changes.Delay(float64(changes), b.reserve), b.requests.Delay(1, b.reserve))
}

// BackOff reduces the budget of changes for a random back-off time after the service has rejected a
// request because all controllers together exceed its rate. It returns that time.
func (b *StateBudget) BackOff() time.Duration {
	wait := minBackoff + time.Duration(rand.IntN(backoffJitterMs))*time.Millisecond
	b.changes.Drain(wait)
	return wait
}

// WaitForRequest waits until a request without changes may be sent.
func (b *StateBudget) WaitForRequest(ctx context.Context) error {
	return notExecuted(b.requests.Wait(ctx, 1, b.reserve))
}

// ChargeRequest charges a request that must not wait.
func (b *StateBudget) ChargeRequest() { b.requests.Debit(1) }

// Admit waits until a transaction with the given number of changes may be sent. Errors wrap
// protocol.ErrRefused.
func (b *StateBudget) Admit(ctx context.Context, changes int, priority protocol.RequestPriority) error {
	switch priority {
	case protocol.UrgentRequest:
		b.admitUrgent(changes)
		return nil
	case protocol.UserRequest:
		return b.admitUser(ctx, changes)
	}
	return b.admitBackground(ctx, changes)
}

func (b *StateBudget) admitUrgent(changes int) {
	b.ChargeRequest()
	b.changes.Debit(float64(changes))
	b.changesUsed.Add(uint64(changes))
}

// admitUser admits a user's changes before the controller's own, even if the budget falls below 0: after
// an outage all users send requests at the same time.
func (b *StateBudget) admitUser(ctx context.Context, changes int) error {
	credit := b.totalRate() / b.controllers
	wait, ok := b.changes.Reserve(float64(changes), -credit, maxUserWait)
	if !ok {
		return fmt.Errorf("%w: the state service's rate limit allows the change only in %v", protocol.ErrRefused, wait)
	}
	b.ChargeRequest()
	b.changesUsed.Add(uint64(changes))
	return notExecuted(sleep(ctx, wait))
}

func (b *StateBudget) admitBackground(ctx context.Context, changes int) error {
	if err := b.WaitForRequest(ctx); err != nil {
		return err
	}
	if err := b.changes.Wait(ctx, float64(changes), b.reserve); err != nil {
		return notExecuted(err)
	}
	b.changesUsed.Add(uint64(changes))
	return nil
}

// notExecuted wraps an error because of which a request was not sent with protocol.ErrRefused. It returns
// nil for nil.
func notExecuted(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", protocol.ErrRefused, err)
}
