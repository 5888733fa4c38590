// Package wait lets a goroutine pause without outliving its context.
//
// docs/ARCHITECTURE.md says which programs and packages there are.
package wait

import (
	"context"
	"time"
)

// For waits for a duration and tells whether it passed in whole: false means that ctx ended
// before. A duration of 0 or less passes at once, unless ctx has already ended.
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

// Until waits until a moment and tells whether it came: false means that ctx ended before. A moment
// in the past has come, unless ctx has already ended.
func Until(ctx context.Context, moment time.Time) bool {
	return For(ctx, time.Until(moment))
}
