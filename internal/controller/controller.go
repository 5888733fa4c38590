// Package controller is the core of a controller: it follows the state service, which holds the
// truth, and works out again and again how what is differs from what is desired. One goroutine
// owns all scheduling state; everything else posts work to it. docs/ARCHITECTURE.md shows the
// parts and the way of a request through them.
package controller

import (
	"context"
	"log/slog"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Controller is one controller process. Run's goroutine owns all of its state; every other
// goroutine hands work over with post or call. Each part below is written only by the files
// that its type's comment names.
type Controller struct {
	environment
	mailbox
	Options

	cache     *storage.Cache
	jobStates map[*storage.Job]*jobState

	session       sessionState
	follower      stateFollower
	commits       commitQueue
	storeHealth   storeHealth
	shards        shardOwnerships
	leadership    leadership
	leader        leaderState
	workers       workerRegistry
	cancellations cancellationTracker
	reachability  reachability
	planner       plannerState
	gates         gateState
	operator      operatorState
	summary       publishedSummary
	readModel     *readModel // nil: switched off
}

// mailbox hands work to the goroutine that owns the state.
type mailbox struct {
	inbox chan func()
	done  chan struct{} // closed when Run returns
}

// Options are set before Run, if at all.
type Options struct {
	// Layout is the latest layout of the records that this controller reads. With the plain
	// one it does as the version before did: for tests of both side by side.
	Layout int
	// Frames is the level of the peers' frames that this controller reads; 0: no cancellation digests.
	Frames int
	// OnLogLevel takes up a log level that operators choose; nil: nobody does.
	OnLogLevel func(string)
}

// New makes a controller with an empty cache. It does nothing before Run.
func New(cfg *config.Settings, store StateStore, cloud Cloud, workers WorkerLink, log *slog.Logger, timing Timing) *Controller {
	now := time.Now()
	cache := storage.NewCache(cfg)
	controller := &Controller{
		environment: environment{
			cfg: cfg, store: store, cloud: cloud, workerLink: workers,
			log: log, timing: timing, metrics: NewMetrics(),
		},
		mailbox:       mailbox{inbox: make(chan func(), inboxSize), done: make(chan struct{})},
		Options:       Options{Layout: storage.LayoutTeams, Frames: protocol.FramesCancellationDigest},
		cache:         cache,
		jobStates:     map[*storage.Job]*jobState{},
		session:       sessionState{startedAt: now},
		shards:        newShardOwnerships(cache.NumShards),
		workers:       newWorkerRegistry(),
		cancellations: newCancellationTracker(now),
		reachability:  newReachability(),
		planner:       plannerState{alpha: DefaultAlpha},
		operator:      operatorState{settings: DefaultOperatorSettings(), preemptionsSeen: map[string]uint64{}},
	}
	controller.metrics.Registry.MustRegister(gauges{controller})
	controller.leader.init()
	return controller
}

// inboxSize is how much work may wait for the goroutine that owns the state before post blocks.
const inboxSize = 1024

// DefaultAlpha weighs lost work against time waited when preemptions are ranked:
// the value that the paper chose in its sweep (section 5.1).
const DefaultAlpha = 0.31

// Run is the controller's life. It returns when ctx ends; the goroutines that it starts end with
// ctx, too.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	c.cache.ForcePlain = c.Layout < storage.LayoutPacked
	go c.keepSessionLease(ctx)
	go c.followLoop(ctx)
	go c.catalogLoop(ctx)
	tick := time.NewTicker(c.timing.Tick)
	defer tick.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		cycleDue := c.runDueCycle(ctx, timer)
		do := func() {}
		select {
		case <-ctx.Done():
			return
		case do = <-c.inbox:
		case <-cycleDue:
		case <-tick.C:
			do = func() { c.tick(ctx) }
		}
		c.detectStall(time.Now())
		do()
	}
}

// runDueCycle runs the cycle of planning and committing if it is requested, due, and nothing else
// waits. If it is only due later, the timer is set, and its channel returned.
func (c *Controller) runDueCycle(ctx context.Context, timer *time.Timer) <-chan time.Time {
	if !c.commits.cycleRequested || c.commits.inFlight || len(c.inbox) > 0 {
		return nil
	}
	wait := time.Until(c.commits.nextCycleAt)
	if wait <= 0 {
		c.cycle(ctx)
		return nil
	}
	timer.Reset(wait)
	return timer.C
}

// post hands work to the goroutine that owns the state. It does not wait for it.
func (c *Controller) post(work func()) {
	select {
	case c.inbox <- work:
	case <-c.done:
	}
}

// call has work done by the goroutine that owns the state, and waits for it. If ctx ends first,
// the work may still be done.
func (c *Controller) call(ctx context.Context, work func()) error {
	finished := make(chan struct{})
	c.post(func() {
		work()
		close(finished)
	})
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return context.Canceled
	}
}

// requestCycle has the next transaction planned as soon as one may go out.
func (c *Controller) requestCycle() { c.commits.cycleRequested = true }

// tick runs each loop over desired state once. Their order matters where one goes by what
// another has just found.
func (c *Controller) tick(ctx context.Context) {
	now := time.Now()
	c.flushHeldReplies(now, false)
	c.publish(now)
	if !c.follower.loaded {
		return
	}
	c.cache.Sweep()
	c.deleteEndedJobStates()
	c.checkReadiness(ctx, now)
	c.repairMemberRecord(ctx)
	c.acquireLeadership(ctx)
	c.assignShards(ctx)
	c.openLayoutGate(ctx)
	c.splitOversizedFleets(ctx)
	c.superviseZones(now)
	c.superviseMachines(ctx, now, c.superviseTerminations(now))
	c.relocateReplicas(now)
	c.autoscaleAsLeader(ctx, now)
	c.learnBaseline(ctx, now)
	c.flushPendingUpdates(ctx)
	c.contactWorkers()
	c.updateRateShare()
	c.logCounters(now)
	c.showView(now, false)
	c.requestCycle()
}

// deleteEndedJobStates drops what is known of jobs that are over and have no task placed.
func (c *Controller) deleteEndedJobStates() {
	for job := range c.jobStates {
		if !job.Open() && job.PlacedCount == 0 {
			delete(c.jobStates, job)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
