package controller

import "time"

// conflictReportAge is how long all transactions of the cycle must have conflicted before it is logged.
const conflictReportAge = 10 * time.Second

// conflictTracker records since when every transaction of the cycle has conflicted. A single conflict is
// normal: a record has changed after it was planned. If they go on, no task of this controller's shards
// starts or ends.
type conflictTracker struct {
	since    time.Time // the first conflict after the latest success; zero: none
	loggedAt time.Time
}

// note records a conflict.
func (t *conflictTracker) note(now time.Time) {
	if t.since.IsZero() {
		t.since = now
	}
}

// clear records that a transaction was committed or that there was nothing to commit.
func (t *conflictTracker) clear() { t.since = time.Time{} }

// age returns for how long every transaction has conflicted; 0 if the latest did not.
func (t *conflictTracker) age(now time.Time) time.Duration {
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}

// reportDue reports whether the conflicts should be logged now, and if so records it. They are logged once
// per conflictReportAge.
func (t *conflictTracker) reportDue(now time.Time) bool {
	if t.age(now) < conflictReportAge || now.Sub(t.loggedAt) < conflictReportAge {
		return false
	}
	t.loggedAt = now
	return true
}
