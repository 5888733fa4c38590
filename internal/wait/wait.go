// Package wait provides sleeps that end early when a context ends.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package wait

import (
	"context"
	"time"
)

// For sleeps for duration and reports whether it elapsed; false means that ctx ended first. A duration of 0 or less
// elapses at once, unless ctx has already ended.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until sleeps until moment and reports whether it was reached; false means that ctx ended first. A moment in the
// past counts as reached, unless ctx has already ended.
func Until(ctx context.Context, moment time.Time) bool {
	return For(ctx, time.Until(moment))
}
