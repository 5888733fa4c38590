package controller

import (
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
	"time"
)

type jobState struct {
	requeuedAt      map[int]time.Time // by task: waiting again since
	failures        int               // failures without a success
	suspectTries    int               // tries since it became suspect
	backoff         time.Time
	shortSince      time.Time    // short of room since
	relocating      dispatch.Ref // the replica that was told last to leave a machine which is drained
	relocatedAt     time.Time
	hopesSince      time.Time // leaves free room alone for room that it evicts since
	firstPlacedAt   time.Time // first task placed
	lastPlacedAt    time.Time // latest task placed
	terminatedTasks int       // tasks stopped by command
	preemptedTasks  int
	failedOn        map[int32]bool // that it failed on without a success, sick ones aside
}

func (c *Controller) jobState(j *storage.Job) *jobState {
	v := c.jobStates[j]
	if v == nil {
		v = &jobState{requeuedAt: map[int]time.Time{}, failedOn: map[int32]bool{}}
		c.jobStates[j] = v
	}
	return v
}
