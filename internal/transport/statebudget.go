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

// How the state service's rates are divided. Rates are in requests or changes a second; the parts are
// of the whole rate, which all controllers share.
const (
	usableRequestFraction = 0.9 // the part of the rate of requests that is divided
	requestOvercommit     = 1.5 // times its even part of that a controller may use: not all are busy at once
	urgentReserve         = 4   // requests, and changes, that are kept for what must not wait
	largestTxnChanges     = 12  // changes; a budget holds at least one such transaction

	evenFraction          = 0.16 // divided evenly among the controllers
	leaderFraction        = 0.07 // for the leader on top
	ownedFraction         = 0.7  // divided by what each controller commits for
	redistributedFraction = 0.9  // up to which controllers lend one another what they do not use
)

// maxUserWait is how long a user's change may wait for the budget; what would wait
// longer is refused at once, and the user told to come back.
const maxUserWait = 600 * time.Millisecond

// How long a controller steps back when the service is overloaded: a random time, so that controllers
// do not come back together.
const (
	minBackoff      = 100 * time.Millisecond
	backoffJitterMs = 200 // milliseconds on top, at random
)

// StateBudget keeps one controller under its part of the state service's rates.
type StateBudget struct {
	requests    *Budget       // in requests
	changes     *Budget       // in changes
	reserve     float64       // requests and changes kept for what must not wait
	limit       atomic.Uint64 // changes a second for all controllers, as bits of a float64
	controllers float64
	changesUsed atomic.Uint64 // changes so far
}

// NewStateBudget gives every controller the same part, until SetRateShare.
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

// SetRateShare sets this controller's part of the rate of changes: a little for every controller,
// some for the leader, and most in proportion to what the controller commits for (part, from 0 to 1).
// What the controllers together leave unused each may use evenly: used is what this controller makes
// of it in changes a second and others what the others do, below 0 if that is not known.
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

// SetLimit sets the rate of changes for all controllers, in changes a second; SetRateShare divides it.
func (b *StateBudget) SetLimit(rate float64) { b.limit.Store(math.Float64bits(rate)) }

// totalRate is the rate of changes for all controllers, in changes a second.
func (b *StateBudget) totalRate() float64 { return math.Float64frombits(b.limit.Load()) }

// ChangesUsed is how many changes this controller has made.
func (b *StateBudget) ChangesUsed() uint64 { return b.changesUsed.Load() }

// Pace is how long it takes until a transaction of some changes may go out.
func (b *StateBudget) Pace(changes int) time.Duration {
	return max(b.changes.Delay(float64(changes), b.reserve), b.requests.Delay(1, b.reserve))
}

// StepBack is called when the service says that all controllers together were too fast:
// each steps back for a moment of its own. It returns how long.
func (b *StateBudget) StepBack() time.Duration {
	wait := minBackoff + time.Duration(rand.IntN(backoffJitterMs))*time.Millisecond
	b.changes.Drain(wait)
	return wait
}

// Request waits until a request without changes may go out.
func (b *StateBudget) Request(ctx context.Context) error {
	return notExecuted(b.requests.Wait(ctx, 1, b.reserve))
}

// Owe counts a request that must not wait.
func (b *StateBudget) Owe() { b.requests.Debit(1) }

// Admit waits until a transaction of some changes may go out. Errors wrap protocol.ErrRefused.
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
	b.Owe()
	b.changes.Debit(float64(changes))
	b.changesUsed.Add(uint64(changes))
}

// admitUser lets a user's changes go ahead of the controller's own, on credit: after an outage all
// users come at once.
func (b *StateBudget) admitUser(ctx context.Context, changes int) error {
	credit := b.totalRate() / b.controllers
	wait, ok := b.changes.Reserve(float64(changes), -credit, maxUserWait)
	if !ok {
		return fmt.Errorf("%w: the budget allows it in %v", protocol.ErrRefused, wait)
	}
	b.Owe()
	b.changesUsed.Add(uint64(changes))
	return notExecuted(sleep(ctx, wait))
}

func (b *StateBudget) admitBackground(ctx context.Context, changes int) error {
	if err := b.Request(ctx); err != nil {
		return err
	}
	if err := b.changes.Wait(ctx, float64(changes), b.reserve); err != nil {
		return notExecuted(err)
	}
	b.changesUsed.Add(uint64(changes))
	return nil
}

// notExecuted says of an error, if it is one, that the request was not sent because of it.
func notExecuted(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", protocol.ErrRefused, err)
}
