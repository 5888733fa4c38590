package transport

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// newTestBudget returns the budget of one of five controllers with a limit of 80 changes per second.
func newTestBudget() *StateBudget {
	return NewStateBudget(&config.Deployment{Controllers: 5, State: config.State{RPS: 200, WriteRPS: 80, TxnOps: 12}})
}

// Guards against submissions waiting for the budget behind the controller's own changes: after an outage
// they waited 4.5 s and were then rejected. Users' changes must be admitted first, and those that can't
// be admitted must be rejected at once.
func TestUserChangesPrecedeBackgroundChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stateBudget := newTestBudget()
		for stateBudget.Pace(12) == 0 {
			if err := stateBudget.Admit(t.Context(), 12, protocol.BackgroundRequest); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		var accepted, rejected atomic.Int32
		var waitGroup sync.WaitGroup
		for range 100 {
			waitGroup.Go(func() {
				err := stateBudget.Admit(t.Context(), 1, protocol.UserRequest)
				switch waited := time.Since(began); {
				case err == nil && waited <= maxUserWait+10*time.Millisecond:
					accepted.Add(1)
				case errors.Is(err, protocol.ErrRefused) && waited == 0:
					rejected.Add(1)
				default:
					t.Errorf("admitted or rejected too late, after %v: %v", waited, err)
				}
			})
		}
		waitGroup.Wait()
		if accepted.Load() < 15 || rejected.Load() < 60 {
			t.Errorf("%d submissions accepted, %d rejected at once; want at least 15 and 60", accepted.Load(), rejected.Load())
		}
		if stateBudget.Pace(12) == 0 {
			t.Error("background changes do not wait until the budget is refilled")
		}
		short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		if err := stateBudget.Admit(short, 12, protocol.BackgroundRequest); !errors.Is(err, protocol.ErrRefused) {
			t.Errorf("background changes with a budget below 0: %v, want ErrRefused", err)
		}
		if err := stateBudget.Admit(t.Context(), 3, protocol.UrgentRequest); err != nil {
			t.Errorf("urgent changes: %v", err)
		}
	})
}

// TestRateSharesStayBelowServiceRate checks that the shares of all controllers together stay below the
// service's rate limit for any distribution of the machines.
func TestRateSharesStayBelowServiceRate(t *testing.T) {
	for _, test := range []struct {
		name       string
		ownedParts []float64 // by controller: fraction of the machines and shards that it owns
	}{
		{"equal parts", []float64{0.2, 0.2, 0.2, 0.2, 0.2}},
		{"one owns everything", []float64{1, 0, 0, 0, 0}},
		{"two own everything", []float64{0.6, 0.4, 0, 0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum := 0.0
			for i, part := range test.ownedParts {
				budget := newTestBudget()
				budget.SetRateShare(part, i == 0, 0, -1)
				sum += budget.changes.rate
			}
			if sum > 80 || sum < 60 {
				t.Errorf("shares add up to %.1f changes per second, want 60 to 80", sum)
			}
		})
	}
}

// Guards against controllers that own no shards rejecting submissions in an overload of small jobs while
// the owners leave most of the rate unused.
func TestUnusedRateIsRedistributed(t *testing.T) {
	cases := []struct {
		name     string
		ownRates []float64 // by controller: changes per second, of 80
		minRates []float64 // by controller: the least rate that it may use
		maxTotal float64   // most changes per second for all controllers together
	}{
		{"all idle", []float64{0, 0, 0, 0, 0}, []float64{14, 14, 14, 14, 14}, 72},
		{"one is overloaded", []float64{5, 5, 5, 2.5, 2.5}, []float64{15, 15, 15, 12, 12}, 72},
		{"the overloaded one uses more", []float64{5, 5, 5, 2.5, 40}, []float64{7, 7, 7, 5, 42}, 72},
		{"all at their limit", []float64{20, 20, 20, 6, 6}, []float64{19, 19, 19, 5, 5}, 75},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			totalRate := 0.0
			for _, used := range test.ownRates {
				totalRate += used
			}
			allowedTotal := 0.0
			for i, used := range test.ownRates {
				budget := newTestBudget()
				budget.SetRateShare(0, false, used, totalRate-used)
				if allowedTotal += budget.changes.rate; budget.changes.rate < test.minRates[i] {
					t.Errorf("controller %d may make %.1f changes per second, want at least %.1f", i, budget.changes.rate, test.minRates[i])
				}
				if budget.SetRateShare(0, false, used, -1); budget.changes.rate > 3 {
					t.Errorf("controller %d may make %.1f changes per second although the others' rates are not known", i, budget.changes.rate)
				}
			}
			if allowedTotal > test.maxTotal {
				t.Errorf("controllers together may make %.1f changes per second, want at most %.0f", allowedTotal, test.maxTotal)
			}
		})
	}
}
