// Package controller is the core of a controller process. It follows the state service, which holds the
// authoritative state, and repeatedly compares the actual state with the desired state to plan changes. One
// goroutine owns all scheduling state; all other goroutines post work to it. docs/ARCHITECTURE.md shows the
// components and the path of a request through them.
package controller

import (
	"context"
	"log/slog"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Controller is one controller process. The goroutine of Run owns all of its state; other goroutines hand
// work over with post or call. Each field group below is written only by the files that the comment of its
// type names.
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
	readModel     *readModel // nil: the read model is disabled
}

// mailbox passes work to the goroutine that owns the state.
type mailbox struct {
	inbox chan func()
	done  chan struct{} // closed when Run returns
}

// Options are optional settings; they may be changed only before Run.
type Options struct {
	// Layout is the latest record layout that this controller reads and writes. With the plain layout it
	// behaves like the previous version, for tests that run both versions side by side.
	Layout int
	// Frames is the version of the peer frames that this controller reads; 0: no cancellation digests.
	Frames int
	// OnLogLevel is called with the log level that operators set; nil: the level is not changed.
	OnLogLevel func(string)
}

// New returns a controller with an empty cache. It starts no goroutines and sends no requests before Run.
func New(cfg *config.Settings, store StateStore, cloud Cloud, workers WorkerLink, log *slog.Logger, timing Timing) *Controller {
	now := time.Now()
	cache := storage.NewCache(cfg)
	controller := &Controller{
		environment: environment{
			cfg: cfg, store: store, cloud: cloud, workerLink: workers,
			log: log, timing: timing, metrics: NewMetrics(),
		},
		mailbox:       mailbox{inbox: make(chan func(), inboxSize), done: make(chan struct{})},
		Options:       Options{Layout: storage.LayoutTeams, Frames: protocol.FrameLevelCancellationDigest},
		cache:         cache,
		jobStates:     map[*storage.Job]*jobState{},
		session:       sessionState{startedAt: now},
		shards:        newShardOwnerships(cache.NumShards),
		workers:       newWorkerRegistry(),
		cancellations: newCancellationTracker(now),
		reachability:  newReachability(),
		planner:       plannerState{alpha: DefaultAlpha},
		operator:      operatorState{settings: DefaultOperatorSettings(), recordedVictimSets: map[string]uint64{}},
	}
	controller.metrics.Registry.MustRegister(gauges{controller})
	controller.leader.init()
	return controller
}

// inboxSize is the number of work items that may be queued before post blocks.
const inboxSize = 1024

// DefaultAlpha is the weight of lost work against waiting time in the ranking of preemptions (section 5.1 of
// the paper that docs/design.md cites).
const DefaultAlpha = 0.31

// Run runs the controller until ctx ends. The goroutines that it starts end with ctx, too.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	c.cache.ForcePlainLayout = c.Layout < storage.LayoutPacked
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

// runDueCycle runs the cycle of planning and committing if it is requested and due and no other work is
// queued. If it is due later, the timer is set and its channel returned.
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

// post queues work for the goroutine that owns the state and does not wait for its completion.
func (c *Controller) post(work func()) {
	select {
	case c.inbox <- work:
	case <-c.done:
	}
}

// call runs work on the goroutine that owns the state and waits for its completion. If ctx ends first, the
// work may still run.
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

// requestCycle requests a planning cycle; it runs once the next transaction may be sent.
func (c *Controller) requestCycle() { c.commits.cycleRequested = true }

// tick runs each reconciliation loop once. The order matters where a loop uses what an earlier one has found.
func (c *Controller) tick(ctx context.Context) {
	now := time.Now()
	c.flushHeldReplies(now, false)
	c.publish(now)
	if !c.follower.loaded {
		return
	}
	c.cache.PruneFinalJobs()
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
	c.updateView(now, false)
	c.requestCycle()
}

// deleteEndedJobStates deletes the state of jobs that have ended and have no placed task.
func (c *Controller) deleteEndedJobStates() {
	for job := range c.jobStates {
		if !job.Open() && job.PlacedCount == 0 {
			delete(c.jobStates, job)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
