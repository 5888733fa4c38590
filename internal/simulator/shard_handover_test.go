package simulator

import (
	"testing"
	"time"
)

// TestShardsSpreadAfterRestartOfAllControllers checks how soon the shards are distributed after all
// controllers restart. In the fault that this test guards against, the first controller to restart took
// every shard and kept them until the membership had not changed for 8 s: it had 1235 machines, and could
// not keep up with them.
func TestShardsSpreadAfterRestartOfAllControllers(t *testing.T) {
	for _, test := range []struct {
		name       string
		startDelay time.Duration // between the starts of two controllers
		spreadSoon bool
	}{
		{"the others restart a moment later", 400 * time.Millisecond, true},
		{"the others restart when the first has had all shards for seconds", 6 * time.Second, false},
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
					t.Errorf("%d controllers own shards 2.5 s later, want all three: %v", n, test.spreadSoon)
				}
				time.Sleep(10 * time.Second)
				if n := sim.ownerCount(t); n != 3 {
					t.Errorf("%d controllers own shards at the end, want 3", n)
				}
			}, nil)
		})
	}
}

// ownerCount returns how many controllers own shards.
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
