package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// workerRegistry holds the state of the workers on machines whose shards this controller owns, and
// the messages and updates in flight for them. It is written by the files that handle heartbeats,
// direct commands, machine supervision and pending updates.
type workerRegistry struct {
	states              map[int32]*workerState   // by machine index
	pendingUpdates      map[int32]*pendingUpdate // by machine index
	heldReplies         []heldReply              // heartbeats whose answer waits for a commit
	uncontacted         []*storage.Machine       // taken over, and their workers not contacted yet
	directCommands      int                      // number in flight, at most maxDirectCommands
	lastWorkerMessageAt time.Time                // when a message of any worker last arrived
	killsAnsweredAt     time.Time                // when a worker on another owner's machine last answered kill commands
	manyUnresponsive    bool                     // so many workers are unresponsive that a common cause is likely
}

func newWorkerRegistry() workerRegistry {
	return workerRegistry{states: map[int32]*workerState{}, pendingUpdates: map[int32]*pendingUpdate{}}
}

// workerState holds the state of the worker on a machine that this controller owns.
type workerState struct {
	*dispatch.Worker
	trackedSince  time.Time                           // when this owner began to track the worker
	lastMessageAt time.Time                           // when the last message of the worker arrived
	heartbeatAt   time.Time                           // when the last heartbeat arrived; a reply to a direct command renews no lease
	preemptionAt  time.Time                           // when the cloud preempts the machine; zero: not announced
	images        []int                               // indexes of the images on the machine, most recently used last
	failures      map[*storage.Job]*jobFailureHistory // since a task last completed on the machine
	unhealthy     bool                                // the machine fails its tasks
	missedProbes  int                                 // direct commands and probes without an answer in a row
	started       map[dispatch.AttemptRef]time.Time   // when each attempt was first seen running
	emptySince    time.Time                           // since when no task is placed on the machine; zero: it has tasks
	slowdown      float64                             // ratio of measured to estimated run time, smoothed
	// unplacedRunning holds the attempts of the latest heartbeat that run although the records do not place them there.
	unplacedRunning map[dispatch.AttemptName]bool
	terminated      bool // the cloud confirmed that the machine is gone
}

// workerState returns the state of a machine's worker, and creates it if there is none.
func (c *Controller) workerState(machine *storage.Machine) *workerState {
	worker := c.workers.states[machine.Index]
	if worker == nil {
		now := time.Now()
		worker = &workerState{
			Worker:        dispatch.NewWorker(),
			trackedSince:  now,
			lastMessageAt: now,
			heartbeatAt:   heartbeatBaseline(c.cfg.Deployment.Workers, now),
			emptySince:    now,
			images:        slices.Clone(machine.Images),
			started:       map[dispatch.AttemptRef]time.Time{},
			slowdown:      1,
			failures:      map[*storage.Job]*jobFailureHistory{},
		}
		c.workers.states[machine.Index] = worker
	}
	return worker
}

// hasEnded reports whether an attempt is proved to have ended.
func (w *workerState) hasEnded(ref dispatch.AttemptRef) bool {
	_, ok := w.Gone[ref]
	return ok
}
