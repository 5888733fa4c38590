package controller

import (
	"time"

	"dykeledge/internal/storage"
)

// sinceReady is how long after a job became ready something was, in seconds; -1: it was not
// seen here.
func (s *jobState) sinceReady(job *storage.Job, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(job.ReadyAt).Round(100 * time.Millisecond).Seconds()
}
