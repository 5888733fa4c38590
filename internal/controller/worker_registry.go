package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/storage"
)

// workerRegistry is what this controller knows of the workers of machines whose shards it
// owns, and what is under way to them. It is written by the files that handle heartbeats,
// direct commands, machine supervision and pending updates.
type workerRegistry struct {
	states           map[int32]*workerState   // by machine
	pendingUpdates   map[int32]*pendingUpdate // by machine
	heldReplies      []heldReply              // heartbeats whose answer waits for a commit
	uncontacted      []*storage.Machine       // taken over, and not shown the new owner yet
	directCommands   int                      // under way now, at most maxDirectCommands
	anyHeardAt       time.Time                // when any worker was last heard
	reachedAt        time.Time                // when a worker last answered kill commands
	manyUnresponsive bool                     // too many workers are unresponsive for it to be their own fault
}

func newWorkerRegistry() workerRegistry {
	return workerRegistry{states: map[int32]*workerState{}, pendingUpdates: map[int32]*pendingUpdate{}}
}

// workerState is what this owner knows of the worker on a machine.
type workerState struct {
	*dispatch.Worker
	since        time.Time                 // known to this owner since
	heard        time.Time                 // last message of its worker
	heartbeatAt  time.Time                 // last heartbeat of its own accord: a reply to a direct command renews no lease
	preemptedAt  time.Time                 // when the cloud takes it; zero: not announced
	images       []int                     // most recently used last
	failures     map[*storage.Job]*failing // since it last completed anything
	unhealthy    bool
	missedProbes int                        // unanswered in a row
	started      map[dispatch.Ref]time.Time // seen running since
	emptySince   time.Time                  // no task is placed on it since
	slowdown     float64                    // measured run time over estimate, smoothed
	terminated   bool                       // the cloud confirmed that it is gone
}

// workerState is a machine's worker state, made when it is first asked for.
func (c *Controller) workerState(machine *storage.Machine) *workerState {
	worker := c.workers.states[machine.Index]
	if worker == nil {
		now := time.Now()
		worker = &workerState{
			Worker:      dispatch.NewWorker(),
			since:       now,
			heard:       now,
			heartbeatAt: heartbeatBaseline(c.cfg.Deployment.Workers, now),
			emptySince:  now,
			images:      slices.Clone(machine.Images),
			started:     map[dispatch.Ref]time.Time{},
			slowdown:    1,
			failures:    map[*storage.Job]*failing{},
		}
		c.workers.states[machine.Index] = worker
	}
	return worker
}

// hasEnded reports whether an attempt is proved to be gone.
func (w *workerState) hasEnded(ref dispatch.Ref) bool {
	_, ok := w.Gone[ref]
	return ok
}
