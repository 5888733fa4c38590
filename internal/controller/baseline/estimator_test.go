package baseline

import (
	"testing"

	"dykeledge/internal/storage"
)

// The estimator must distinguish usual demand from an overload, whenever the overload starts.
func TestEstimator(t *testing.T) {
	const workPerJob = 10 // CPU-seconds
	queue, otherQueue := storage.ClassQueue{Team: 0, Class: 0}, storage.ClassQueue{Team: 1, Class: 1}
	arrivals := func(rate float64) storage.Arrivals {
		work := rate * WindowLength.Seconds()
		return storage.Arrivals{Jobs: work / workPerJob, Work: work}
	}
	type phase struct {
		windows      int
		rate         float64 // CPU-seconds per second of the queue
		otherRate    float64 // CPU-seconds per second of the other queue
		everyWindows int     // the queue's work arrives in one of this many windows; 0: in each
	}
	both := Rates{queue: 10, otherQueue: 10}
	for _, test := range []struct {
		name                     string
		record                   Rates
		phases                   []phase
		minBaseline, maxBaseline float64 // bounds of the queue's final baseline
	}{
		{name: "no baseline before there are enough windows", phases: []phase{{5, 10, 10, 0}}},
		{name: "a burst of submissions when the deployment opens hardly changes the baseline", phases: []phase{{1, 100, 100, 0}, {5, 10, 10, 0}}, minBaseline: 9, maxBaseline: 11},
		{name: "an overload in the first minute", phases: []phase{{4, 10, 10, 0}, {20, 80, 10, 0}}, minBaseline: 9, maxBaseline: 12},
		{name: "eightfold overload for eight minutes", record: both, phases: []phase{{50, 80, 10, 0}}, minBaseline: 10, maxBaseline: 12.5},
		{name: "a twentyfold overload raises the baseline no further", record: both, phases: []phase{{50, 200, 10, 0}}, minBaseline: 10, maxBaseline: 12.5},
		{name: "an overload that lasts for hours becomes the baseline", record: both, phases: []phase{{1440, 80, 10, 0}}, minBaseline: 75, maxBaseline: 85},
		{name: "an idle class keeps its baseline", record: both, phases: []phase{{3000, 0, 10, 0}}, minBaseline: 8, maxBaseline: 10},
		{name: "lower demand lowers the baseline over time", record: both, phases: []phase{{2500, 2, 10, 0}}, minBaseline: 1.5, maxBaseline: 2.5},
		{name: "a new class that starts with an overload gets at most the mean of the others", record: Rates{otherQueue: 10}, phases: []phase{{12, 500, 10, 0}}, minBaseline: 5, maxBaseline: 11},
		{name: "jobs in every fourth window only", phases: []phase{{600, 40, 10, 4}}, minBaseline: 7, maxBaseline: 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimator := New(test.record)
			for _, phase := range test.phases {
				for i := range phase.windows {
					if len(test.record) > 0 && phase.rate > 0 && i%7 == 6 {
						estimator = New(estimator.Baseline()) // the next leader restores the record
					}
					asked := map[storage.ClassQueue]storage.Arrivals{queue: arrivals(phase.rate), otherQueue: arrivals(phase.otherRate)}
					if phase.everyWindows > 0 && i%phase.everyWindows != 0 {
						delete(asked, queue)
					}
					estimator.AddWindow(WindowLength, asked)
				}
			}
			learned := estimator.Baseline()
			if rate := learned[queue]; rate < test.minBaseline || rate > test.maxBaseline {
				t.Errorf("baseline %.1f, want %.1f to %.1f", rate, test.minBaseline, test.maxBaseline)
			}
			if len(test.phases) > 1 && len(learned) > 0 && estimator.DiffersFrom(learned) {
				t.Error("DiffersFrom reports a difference from its own baselines")
			}
		})
	}
}
