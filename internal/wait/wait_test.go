package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, test := range []struct {
		name       string
		duration   time.Duration
		contextEnd time.Duration // time-out of the context; 0 if it has ended before the call
		want       bool
		took       time.Duration
	}{
		{"passes", time.Minute, time.Hour, true, time.Minute},
		{"context ends first", time.Minute, time.Second, false, time.Second},
		{"context has already ended", time.Minute, 0, false, 0},
		{"zero duration", 0, time.Hour, true, 0},
		{"negative duration", -time.Second, time.Hour, true, 0},
		{"negative duration and context has already ended", -time.Second, 0, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.contextEnd)
				defer cancel()
				began := time.Now()
				if got := For(ctx, test.duration); got != test.want {
					t.Errorf("For: %v, want %v", got, test.want)
				}
				if took := time.Since(began); took != test.took {
					t.Errorf("took %v, want %v", took, test.took)
				}
			})
		})
	}
}

func TestUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if !Until(t.Context(), began.Add(time.Minute)) || time.Since(began) != time.Minute {
			t.Errorf("Until a minute ahead returned after %v", time.Since(began))
		}
		if !Until(t.Context(), began) {
			t.Error("Until a moment in the past: false, want true")
		}
	})
}
