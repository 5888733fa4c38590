package baseline

import (
	"testing"

	"dykeledge/internal/storage"
)

// The learner must tell what is asked for all the time from a flood, whenever that begins.
func TestEstimator(t *testing.T) {
	classQueue, queue := storage.ClassQueue{Team: 0, Class: 0}, storage.ClassQueue{Team: 1, Class: 1}
	// Jobs of 10 seconds of a CPU each.
	ask := func(work float64) storage.Arrivals { return storage.Arrivals{Jobs: work / 10, Work: work} }
	type phase struct {
		windows int
		a, b    float64 // work a second
		every   int     // it comes in one of so many windows, all at once; 0: in each
	}
	for _, x := range []struct {
		name       string
		record     Rates
		phases     []phase
		least, top float64 // what is usual for a in the end
	}{
		{name: "nothing is usual before there was time to learn", phases: []phase{{5, 10, 10, 0}}},
		{name: "what all submit at the opening counts little", phases: []phase{{1, 100, 100, 0}, {5, 10, 10, 0}}, least: 9, top: 11},
		{name: "a flood in the first minute", phases: []phase{{4, 10, 10, 0}, {20, 80, 10, 0}}, least: 9, top: 12},
		{name: "eight times as much for eight minutes", record: Rates{classQueue: 10, queue: 10}, phases: []phase{{50, 80, 10, 0}}, least: 10, top: 12.5},
		{name: "and twenty times as much is no more usual", record: Rates{classQueue: 10, queue: 10}, phases: []phase{{50, 200, 10, 0}}, least: 10, top: 12.5},
		{name: "what lasts for hours becomes usual", record: Rates{classQueue: 10, queue: 10}, phases: []phase{{1440, 80, 10, 0}}, least: 75, top: 85},
		{name: "a class that rests is not forgotten", record: Rates{classQueue: 10, queue: 10}, phases: []phase{{3000, 0, 10, 0}}, least: 8, top: 10},
		{name: "one that asks for less in time has less", record: Rates{classQueue: 10, queue: 10}, phases: []phase{{2500, 2, 10, 0}}, least: 1.5, top: 2.5},
		{name: "a class that comes as a flood has no more than others have", record: Rates{queue: 10}, phases: []phase{{12, 500, 10, 0}}, least: 5, top: 11},
		{name: "a job now and then", phases: []phase{{600, 40, 10, 4}}, least: 7, top: 20},
	} {
		t.Run(x.name, func(t *testing.T) {
			estimator := New(x.record)
			for _, p := range x.phases {
				for i := range p.windows {
					if len(x.record) > 0 && p.a > 0 && i%7 == 6 {
						estimator = New(estimator.Baseline()) // a successor goes on from the record
					}
					asked := map[storage.ClassQueue]storage.Arrivals{classQueue: ask(p.a * Step.Seconds()), queue: ask(p.b * Step.Seconds())}
					if p.every > 0 && i%p.every != 0 {
						delete(asked, classQueue)
					}
					estimator.Window(Step, asked)
				}
			}
			if u := estimator.Baseline()[classQueue]; u < x.least || u > x.top {
				t.Errorf("usual %.1f, want %.1f to %.1f", u, x.least, x.top)
			}
			if u := estimator.Baseline(); len(x.phases) > 1 && len(u) > 0 && estimator.Differs(u) {
				t.Error("it differs from itself")
			}
		})
	}
}
