package controller

import (
	"time"

	"dykeledge/internal/storage"
)

// secondsSinceReady returns the time, in seconds, from when a job became ready until at; -1 if at is not set, that
// is, this controller did not see the event.
func (s *jobState) secondsSinceReady(job *storage.Job, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(job.ReadyAt).Round(100 * time.Millisecond).Seconds()
}
