package schedule

import (
	"math"
	"testing"
)

// A burst of jobs that can all be completed in time must not count as an overload.
func TestLoadFactor(t *testing.T) {
	capacity := Capacity{All: 100, OnDemand: 10, BusyS: 5}
	for _, test := range []struct {
		name  string
		waits []WaitingWork
		want  float64
	}{
		{"nothing waits", nil, 0},
		{"all jobs can meet their deadlines", []WaitingWork{{60, 2000, false}, {20, 500, false}}, 0.5},
		{"the later job can't meet its deadline", []WaitingWork{{30, 1000, false}, {60, 10500, false}}, 2},
		{"the earlier job can't meet its deadline, in any order of the list", []WaitingWork{{100, 100, false}, {30, 5500, false}}, 2},
		{"a job that is late regardless of capacity", []WaitingWork{{2, 500, false}, {50, 1500, false}}, 0.5},
		{"the work of a late job counts", []WaitingWork{{2, 9400, false}, {50, 100, false}}, 2},
		{"on-demand machines are short", []WaitingWork{{40, 750, true}}, 2},
		{"spot machines suffice", []WaitingWork{{40, 1500, false}}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := LoadFactor(test.waits, capacity); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("load factor %.2f, want %.2f", got, test.want)
			}
		})
	}
}
