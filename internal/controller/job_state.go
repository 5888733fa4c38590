package controller

import (
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// jobState is what this controller knows of a job beyond the records.
type jobState struct {
	requeuedAt      map[int]time.Time // by task: waiting again since
	failures        int               // failures without a success
	suspectTries    int               // tries since it became suspect
	backoff         time.Time         // it is not tried again before
	shortSince      time.Time         // short of room since
	relocating      dispatch.Ref      // the replica that was last commanded to leave a draining machine
	relocatedAt     time.Time
	hopesSince      time.Time // leaves free room alone for room that it evicts since
	firstPlacedAt   time.Time // first task placed
	lastPlacedAt    time.Time // latest task placed
	terminatedTasks int       // tasks terminated by command
	preemptedTasks  int
	failedOn        map[int32]bool // machines that it failed on without a success, unhealthy ones aside
}

// jobState is a job's state here, made when it is first asked for.
func (c *Controller) jobState(job *storage.Job) *jobState {
	state := c.jobStates[job]
	if state == nil {
		state = &jobState{requeuedAt: map[int]time.Time{}, failedOn: map[int32]bool{}}
		c.jobStates[job] = state
	}
	return state
}
