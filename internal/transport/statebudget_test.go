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

// newTestBudget is the budget of one of five controllers under 80 changes a second.
func newTestBudget() *StateBudget {
	return NewStateBudget(&config.Deployment{Controllers: 5, State: config.State{RPS: 200, WriteRPS: 80, TxnOps: 12}})
}

// After an outage submissions waited 4.5 s for what a controller's own work had left of the
// budget, and were refused then. They go ahead of it, and what cannot is refused at once.
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
					t.Errorf("after %v: %v", waited, err)
				}
			})
		}
		waitGroup.Wait()
		if accepted.Load() < 15 || rejected.Load() < 60 {
			t.Errorf("%d submissions taken, %d refused at once", accepted.Load(), rejected.Load())
		}
		if stateBudget.Pace(12) == 0 {
			t.Error("the controller's own work does not pay the credit back")
		}
		short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		if err := stateBudget.Admit(short, 12, protocol.BackgroundRequest); !errors.Is(err, protocol.ErrRefused) {
			t.Errorf("the controller's own work in debt: %v", err)
		}
		if err := stateBudget.Admit(t.Context(), 3, protocol.UrgentRequest); err != nil {
			t.Errorf("what must not wait: %v", err)
		}
	})
}

// The parts of all controllers together stay under the service's rate, whoever leads and
// however the machines are spread.
func TestRateSharesStayBelowServiceRate(t *testing.T) {
	for _, test := range []struct {
		name       string
		ownedParts []float64 // by controller: of what is committed
	}{
		{"all alike", []float64{0.2, 0.2, 0.2, 0.2, 0.2}},
		{"one has everything", []float64{1, 0, 0, 0, 0}},
		{"two have everything", []float64{0.6, 0.4, 0, 0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum := 0.0
			for i, part := range test.ownedParts {
				budget := newTestBudget()
				budget.SetRateShare(part, i == 0, 0, -1)
				sum += budget.changes.rate
			}
			if sum > 80 || sum < 60 {
				t.Errorf("%.1f changes a second of 80", sum)
			}
		})
	}
}

// In an overload of small jobs controllers that own nothing refused submissions, while the owners
// left most of the rate unused.
func TestUnusedRateIsRedistributed(t *testing.T) {
	cases := []struct {
		name     string
		ownRates []float64 // by controller: changes a second, of 80
		minRates []float64 // at least
		maxTotal float64   // all together, as far as they use more than before
	}{
		{"all idle", []float64{0, 0, 0, 0, 0}, []float64{14, 14, 14, 14, 14}, 72},
		{"one is overloaded", []float64{5, 5, 5, 2.5, 2.5}, []float64{15, 15, 15, 12, 12}, 72},
		{"what the overloaded one uses grows", []float64{5, 5, 5, 2.5, 40}, []float64{7, 7, 7, 5, 42}, 72},
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
					t.Errorf("controller %d may make %.1f changes a second, want %.1f", i, budget.changes.rate, test.minRates[i])
				}
				if budget.SetRateShare(0, false, used, -1); budget.changes.rate > 3 {
					t.Errorf("controller %d borrows %.1f although it does not hear the others", i, budget.changes.rate)
				}
			}
			if allowedTotal > test.maxTotal {
				t.Errorf("%.1f changes a second together, of %.0f", allowedTotal, test.maxTotal)
			}
		})
	}
}
