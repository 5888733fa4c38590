package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
)

// TestLargeJobsBecomeOverdue guards against overloads in which the largest jobs of a class were
// placed after all others until they had waited for ten minutes: in a simulated day that lasted
// seven minutes they were never placed.
func TestLargeJobsBecomeOverdue(t *testing.T) {
	for _, test := range []struct {
		name    string
		age     time.Duration
		withinS float64 // the class's objective, 0: none
		want    bool
	}{
		{"late, but has not waited long enough", 2 * time.Minute, 60, false},
		{"can still be in time", overdueAfter + time.Second, 600, false},
		{"late", overdueAfter + time.Second, 60, true},
		{"has no objective", overdueAfter + time.Second, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCore(t)
			if test.withinS > 0 {
				c.cfg.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: test.withinS}}
			}
			now := time.Now()
			job := c.cache.Job("job-000001")
			job.ReadyAt, job.Submitted = now.Add(-test.age), now.Add(-test.age)
			if got := c.waitedTooLong(job, now); got != test.want {
				t.Errorf("waited too long: %v, want %v", got, test.want)
			}
		})
	}
}
