package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
)

// The largest jobs of a class that floods stepped behind the others until ten minutes had gone by: on a day of seven
// minutes they had no turn.
func TestSizeCountsOnlyForAWhile(t *testing.T) {
	for _, x := range []struct {
		name   string
		age    time.Duration
		within float64 // the class's aim, in seconds
		want   bool
	}{
		{"late, but young", 2 * time.Minute, 60, false},
		{"can be in time", turnAfter + time.Second, 600, false},
		{"late", turnAfter + time.Second, 60, true},
		{"has no aim", turnAfter + time.Second, 0, true},
	} {
		c := newCore(t)
		if x.within > 0 {
			c.cfg.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: x.within}}
		}
		now := time.Now()
		j := c.cache.Job("job-000001")
		j.ReadyAt, j.Submitted = now.Add(-x.age), now.Add(-x.age)
		if got := c.waitedTooLong(j, now); got != x.want {
			t.Errorf("%s: has its turn %v, want %v", x.name, got, x.want)
		}
	}
}
