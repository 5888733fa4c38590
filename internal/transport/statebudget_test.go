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

// After an outage submissions waited 4.5 s for what a controller's own work had left of the
// budget, and were refused then. They go ahead of it, and what cannot is refused at once.
func TestUsersGoAheadOnCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stateBudget := NewStateBudget(&config.Deployment{Controllers: 5, State: config.State{RPS: 200, WriteRPS: 80, TxnOps: 12}})
		for stateBudget.Pace(12) == 0 {
			if err := stateBudget.Admit(t.Context(), 12, protocol.BackgroundRequest); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		var taken, refused atomic.Int32
		var waitGroup sync.WaitGroup
		for range 100 {
			waitGroup.Go(func() {
				err := stateBudget.Admit(t.Context(), 1, protocol.UserRequest)
				switch waited := time.Since(began); {
				case err == nil && waited <= userWait+10*time.Millisecond:
					taken.Add(1)
				case errors.Is(err, protocol.ErrRefused) && waited == 0:
					refused.Add(1)
				default:
					t.Errorf("after %v: %v", waited, err)
				}
			})
		}
		waitGroup.Wait()
		if taken.Load() < 15 || refused.Load() < 60 {
			t.Errorf("%d submissions taken, %d refused at once", taken.Load(), refused.Load())
		}
		if stateBudget.Pace(12) == 0 {
			t.Error("the node's own work does not pay the credit back")
		}
		short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		if err := stateBudget.Admit(short, 12, protocol.BackgroundRequest); !errors.Is(err, protocol.ErrRefused) {
			t.Errorf("the node's own work in debt: %v", err)
		}
		if err := stateBudget.Admit(t.Context(), 3, protocol.UrgentRequest); err != nil {
			t.Errorf("what must not wait: %v", err)
		}
	})
}

// The parts of all controllers together stay under the service's rate, whoever leads and
// however the machines are spread.
func TestPartsAddUp(t *testing.T) {
	for _, parts := range [][]float64{{0.2, 0.2, 0.2, 0.2, 0.2}, {1, 0, 0, 0, 0}, {0.6, 0.4, 0, 0, 0}} {
		sum := 0.0
		for i, p := range parts {
			b := NewStateBudget(&config.Deployment{Controllers: len(parts), State: config.State{RPS: 200, WriteRPS: 80, TxnOps: 12}})
			b.SetRateShare(p, i == 0, 0, -1)
			sum += b.writes.rate
		}
		if sum > 80 || sum < 60 {
			t.Errorf("parts %v: %.1f changes a second of 80", parts, sum)
		}
	}
}

// In a flood of small jobs controllers that own nothing refused submissions, while the owners
// left most of the rate unused.
func TestUnusedRateIsLent(t *testing.T) {
	cases := []struct {
		name string
		used []float64 // by controller: changes a second, of 80
		want []float64 // at least
		most float64   // all together, as far as they use more than before
	}{
		{"all idle", []float64{0, 0, 0, 0, 0}, []float64{14, 14, 14, 14, 14}, 72},
		{"one is flooded", []float64{5, 5, 5, 2.5, 2.5}, []float64{15, 15, 15, 12, 12}, 72},
		{"what the flooded one uses grows", []float64{5, 5, 5, 2.5, 40}, []float64{7, 7, 7, 5, 42}, 72},
		{"all at their limit", []float64{20, 20, 20, 6, 6}, []float64{19, 19, 19, 5, 5}, 75},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			sum := 0.0
			for _, u := range x.used {
				sum += u
			}
			all := 0.0
			for i, u := range x.used {
				b := NewStateBudget(&config.Deployment{Controllers: 5, State: config.State{RPS: 200, WriteRPS: 80, TxnOps: 12}})
				b.SetRateShare(0, false, u, sum-u)
				if all += b.writes.rate; b.writes.rate < x.want[i] {
					t.Errorf("node %d may make %.1f changes a second, want %.1f", i, b.writes.rate, x.want[i])
				}
				if b.SetRateShare(0, false, u, -1); b.writes.rate > 3 {
					t.Errorf("node %d borrows %.1f although it does not hear the others", i, b.writes.rate)
				}
			}
			if all > x.most {
				t.Errorf("%.1f changes a second together, of %.0f", all, x.most)
			}
		})
	}
}
