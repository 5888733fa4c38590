package simulator

import (
	"testing"
	"time"
)

// After an end of all controllers the first one that was back took every shard and kept them until
// membership had been quiet for 8 s: 1235 machines on one controller, which could not keep up.
func TestShardsSpreadAfterRestartOfAllControllers(t *testing.T) {
	for _, test := range []struct {
		name       string
		startDelay time.Duration // between the first controller and the others
		spreadSoon bool
	}{
		{"the others are back a moment later", 400 * time.Millisecond, true},
		{"the others are back when the first has settled", 6 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runMixedLoad(t, 3, nil, func(sim *Simulation) {
				time.Sleep(8 * time.Second)
				for i := range 3 {
					sim.Kill(i)
				}
				time.Sleep(3 * time.Second)
				sim.Start(1)
				time.Sleep(test.startDelay)
				sim.Start(0)
				time.Sleep(test.startDelay)
				sim.Start(2)
				time.Sleep(2500 * time.Millisecond)
				if n := sim.ownerCount(t); (n == 3) != test.spreadSoon {
					t.Errorf("%d controllers own shards 2.5 s later, soon one each: %v", n, test.spreadSoon)
				}
				time.Sleep(10 * time.Second)
				if n := sim.ownerCount(t); n != 3 {
					t.Errorf("%d controllers own shards in the end", n)
				}
			}, nil)
		})
	}
}

// ownerCount counts the controllers that own shards.
func (sim *Simulation) ownerCount(t *testing.T) int {
	t.Helper()
	shards, err := sim.Controller(1).Core.ShardViews(sim.ctx)
	if err != nil {
		t.Error(err)
	}
	owners := map[string]bool{}
	for _, s := range shards {
		owners[s.Owner] = true
	}
	return len(owners)
}
