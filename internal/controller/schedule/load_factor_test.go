package schedule

import (
	"math"
	"testing"
)

// A burst that all have time for is no reason for another order.
func TestLoadFactor(t *testing.T) {
	capacity := Capacity{All: 100, OnDemand: 10, Busy: 5}
	for _, test := range []struct {
		name  string
		waits []WaitingWork
		want  float64
	}{
		{"nothing waits", nil, 0},
		{"all have time", []WaitingWork{{60, 2000, false}, {20, 500, false}}, 0.5},
		{"the later ones have none", []WaitingWork{{30, 1000, false}, {60, 10500, false}}, 2},
		{"the earliest have none, whatever the order of the list", []WaitingWork{{100, 100, false}, {30, 5500, false}}, 2},
		{"one that is late by itself", []WaitingWork{{2, 500, false}, {50, 1500, false}}, 0.5},
		{"but its work counts", []WaitingWork{{2, 9400, false}, {50, 100, false}}, 2},
		{"on-demand machines are short", []WaitingWork{{40, 750, true}}, 2},
		{"spot machines would do", []WaitingWork{{40, 1500, false}}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := LoadFactor(test.waits, capacity); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("load %.2f, want %.2f", got, test.want)
			}
		})
	}
}
