// Package controller is a controller's core. One goroutine owns all
// scheduling state; everything else posts to it. What the state service holds
// is the truth, and the core works out again and again how what is differs from
// what is wanted.
package controller

import (
	"context"
	"log/slog"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// StateStore is the state service as the core needs it.
type StateStore interface {
	Revision(ctx context.Context) (uint64, error)
	List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error)
	Txn(ctx context.Context, t protocol.Txn, haste protocol.RequestPriority) (rev uint64, failed []string, err error)
	// Pace is how long it takes until the budget allows a transaction of n changes.
	Pace(n int) time.Duration
	// SetRateShare tells which part of the machines this controller commits for, whether it leads,
	// and how many changes a second it and the others make (below 0: not known).
	SetRateShare(part float64, leads bool, used, others float64)
	// SetLimit sets the rate of changes that all controllers together may make.
	SetLimit(changes float64)
	// ChangesUsed is how many changes this controller has made.
	ChangesUsed() uint64
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64, timeout time.Duration) error
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error)
}

// Cloud rents machines.
type Cloud interface {
	Catalog(ctx context.Context) (*protocol.Catalog, error)
	ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error)
	ScaleIn(ctx context.Context, names []string) error
	List(ctx context.Context, after string) (protocol.MachineList, error)
}

// WorkerLink reaches workers directly.
type WorkerLink interface {
	Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error)
}

// Timing are the core's own timings.
type Timing struct {
	SessionLease       time.Duration // how long a controller's hold lasts without renewal
	CommitInterval     time.Duration // least time between two commits
	WatchInterval      time.Duration // least time between two follows
	Tick               time.Duration
	HeartbeatReplyWait time.Duration // how long the answer to a heartbeat may wait for a commit
	RebalanceInterval  time.Duration // how often the leader moves machines between shards
	AutoscaleInterval  time.Duration // how often the leader decides what to rent
}

// DefaultTiming suit machines with a tenth of a core.
func DefaultTiming() Timing {
	return Timing{
		SessionLease: 3 * time.Second, CommitInterval: 40 * time.Millisecond, WatchInterval: 60 * time.Millisecond,
		Tick: 250 * time.Millisecond, HeartbeatReplyWait: 700 * time.Millisecond,
		RebalanceInterval: 500 * time.Millisecond, AutoscaleInterval: time.Second,
	}
}

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

// environment is what a controller is given to work with. It does not change after New, but
// for the rebalance interval in timing, which operators may set.
type environment struct {
	cfg        *config.Settings
	store      StateStore
	cloud      Cloud
	workerLink WorkerLink
	log        *slog.Logger
	timing     Timing
	metrics    *Metrics
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
	c := &Controller{
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
	c.metrics.Registry.MustRegister(gauges{c})
	c.leader.init()
	return c
}

// inboxSize is how much work may wait for the goroutine that owns the state before post blocks.
const inboxSize = 1024

// DefaultAlpha weighs lost work against time waited when evictions are ranked:
// the value that the paper chose in its sweep (section 5.1).
const DefaultAlpha = 0.31

// Run is the controller's life; it ends with ctx.
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
		var wake <-chan time.Time
		if c.commits.cycleRequested && !c.commits.inFlight && len(c.inbox) == 0 {
			if d := time.Until(c.commits.nextCycleAt); d <= 0 {
				c.cycle(ctx)
			} else {
				timer.Reset(d)
				wake = timer.C
			}
		}
		do := func() {}
		select {
		case <-ctx.Done():
			return
		case do = <-c.inbox:
		case <-wake:
		case <-tick.C:
			do = func() { c.tick(ctx) }
		}
		c.detectStall(time.Now())
		do()
	}
}

// post hands work to the core.
func (c *Controller) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// call runs f in the core and waits for it.
func (c *Controller) call(ctx context.Context, f func()) error {
	ch := make(chan struct{})
	c.post(func() { f(); close(ch) })
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return context.Canceled
	}
}

func (c *Controller) requestCycle() { c.commits.cycleRequested = true }

func (c *Controller) tick(ctx context.Context) {
	now := time.Now()
	c.flushHeldReplies(now, false)
	c.publish(now)
	if !c.follower.loaded {
		return
	}
	c.cache.Sweep()
	for j := range c.jobStates {
		if !j.Open() && j.PlacedCount == 0 {
			delete(c.jobStates, j)
		}
	}
	c.checkReadiness(ctx, now)
	c.repairMemberRecord(ctx)
	c.acquireLeadership(ctx)
	c.assignShards(ctx)
	c.openGate(ctx)
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
