package controller

import (
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// jobState is the state that this controller keeps of a job in addition to the records.
type jobState struct {
	requeuedAt              map[int]time.Time   // by task: when it was queued again
	failures                int                 // failed attempts since the last success
	suspectAttempts         int                 // tries that failed after repeated failures; each doubles the backoff
	retryAt                 time.Time           // no task is placed before this time
	capacityShortSince      time.Time           // when the job first lacked capacity
	relocating              dispatch.AttemptRef // the replica that was last commanded to leave a draining machine
	relocatedAt             time.Time
	awaitingPreemptionSince time.Time // when it last began to wait for capacity that it preempts instead of using free capacity
	firstPlacedAt           time.Time // when the first task was placed
	lastPlacedAt            time.Time // when the latest task was placed
	terminatedTasks         int       // tasks terminated by command
	preemptedTasks          int
	failedMachines          map[int32]bool // machines on which it failed without a success, except unhealthy ones
}

// jobState returns the state of a job and creates it on first use.
func (c *Controller) jobState(job *storage.Job) *jobState {
	state := c.jobStates[job]
	if state == nil {
		state = &jobState{requeuedAt: map[int]time.Time{}, failedMachines: map[int32]bool{}}
		c.jobStates[job] = state
	}
	return state
}
