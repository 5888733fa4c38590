// Package controller is a controller's core. One goroutine owns all
// scheduling state; everything else posts to it. What the state service holds
// is the truth, and the core works out again and again how what is differs from
// what is wanted.
package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller/dispatch"
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

// Controller is one controller.
type Controller struct {
	cfg     *config.Settings
	store   StateStore
	cloud   Cloud
	workers WorkerLink
	log     *slog.Logger
	timing  Timing

	inbox chan func()
	done  chan struct{}

	// all below belongs to the core's goroutine
	cache                  *storage.Cache
	loaded                 bool
	loadFailed             bool   // the records could not be read yet: no answer
	foreignLayout          bool   // the records are of a layout that this version does not read
	highestRevision        uint64 // the highest revision seen, own commits included
	incarnation            uint64
	sessionLease           uint64
	workerStates           map[int32]*workerState
	jobStates              map[*storage.Job]*jobState
	ownedShards            []uint64 // by shard: the version under which it is owned, 0: not
	cycleRequested         bool
	nextCycleAt            time.Time // no cycle before
	commitInFlight         bool
	completedJobs          []*storage.Job           // jobs that the latest plan calls done
	inDoubt                *protocol.Txn            // sent with unknown outcome: repeated until it is known
	plannedTasks           int                      // tasks that the latest plan places
	lastTxnOps             int                      // changes of the latest transaction
	firstGroup             int                      // the group that the next plan begins with
	idleWorkPlaced         bool                     // idle-time work is placed on this controller's machines
	pendingUpdates         map[int32]*pendingUpdate // by machine
	waitingByShard         []int                    // by shard: tasks that waited when last planned
	uncontacted            []*storage.Machine
	leaderVersion          uint64 // of the leader's key
	leaderSince            time.Time
	awaitedRevision        uint64 // no cycle before the follow got here
	heldReplies            []heldReply
	storeFailingSince      time.Time // the state service has not answered well since
	revisionWaiters        []revisionWaiter
	leaderWriteInFlight    bool
	gateWriteInFlight      bool
	fleetWriteInFlight     bool
	limitsLowered          bool // the state service has refused something for its size
	rateLowered            bool // the rate to come is kept to
	dependencyFailedTurn   int
	descriptionWrites      uint64 // long descriptions written by this process
	planBuffers            planBuffers
	oversizedGroup         *storage.MachineGroup // its record would be over the limit: it is parted next
	shardWriteInFlight     bool
	membersChangedAt       time.Time        // when membership last changed
	ownershipHistory       []shardOwnership // by shard
	ownershipLoaded        bool
	zones                  []zoneState          // by zone
	brokenConnections      map[string]time.Time // by controller: its connection broke off while it was heard
	startedAt              time.Time            // when this process did
	leaseSeenAt            map[string]time.Time // by controller: when its hold was last seen
	memberRevision         uint64               // the revision with which this controller's record was last written
	memberWriteInFlight    bool                 // it is being written
	leader                 leaderState
	directCommands         int
	onDemandNeededAt       time.Time // when a job that may not use spot machines was last open
	overloadActive         bool      // a flood is dealt with
	alpha                  float64
	readBarrier            barrier
	peers                  map[string]peerState
	disconnectedPeers      map[string]time.Time // controllers whose connection ended, until they are heard again
	anyWorkerHeardAt       time.Time            // when any worker was last heard
	ownershipSince         time.Time            // when this controller last took over a shard
	placedSinceTakeover    bool                 // it has placed tasks since
	counters               logCounters
	notReady               atomic.Bool // reaches no worker
	lastProbeAt            time.Time
	nextProbe              int
	storeServedAt          time.Time // when the state service last served this controller
	cacheCurrentAt         time.Time // the cache holds all that was committed until then
	digest                 digestState
	unverified             unverifiedRenewals
	terminations           map[int32]*termination // by machine with a cancelled job's task
	cancellationsLearnedAt map[string]time.Time   // by cancelled job whose record doesn't tell when: this process has known since
	wasLeader              bool                   // as last noted
	manyUnresponsive       bool                   // too many workers are mute for it to be their own fault
	workerReachedAt        time.Time              // when a worker last answered stops
	lastLoopAt             time.Time              // when the core's loop last did
	changesUsed            uint64                 // changes made, when last looked at
	changesUsedAt          time.Time
	changeRate             float64   // changes that this controller makes a second
	resumedAt              time.Time // when this controller last woke from a standstill
	leaseRenewedAt         time.Time // when the latest renewal of the hold that worked was sent
	summary                publishedSummary
	metrics                *Metrics
	operatorSettings       OperatorSettings
	settingsVersion        uint64
	recentPreemptions      []EvictionView
	preemptionsSeen        map[string]uint64
	readModel              *readModel // nil: off

	// Layout, set before Run, is the latest layout of the records that this controller reads. With
	// the plain one it does as the version before did: for tests of both side by side.
	Layout int
	// Frames is the level of the peers' frames that this controller reads, set likewise; 0: no words.
	Frames int

	// OnLogLevel, if set before Run, takes up a log level that operators choose.
	OnLogLevel func(string)
}

type workerState struct {
	*dispatch.Worker
	since        time.Time                 // known to this owner since
	heard        time.Time                 // last message of its worker
	heartbeatAt  time.Time                 // last report proper: what it is asked for renews no lease
	preemptedAt  time.Time                 // when the cloud takes it; zero: not announced
	images       []int                     // most recently used last
	failures     map[*storage.Job]*failing // since it last completed anything
	unhealthy    bool
	missedProbes int                        // unanswered in a row
	started      map[dispatch.Ref]time.Time // seen running since
	emptySince   time.Time                  // empty since
	slowdown     float64                    // measured run time over estimate, smoothed
	terminated   bool                       // the cloud confirmed that it is gone
}

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

type heldReply struct {
	machine   string
	heartbeat *protocol.Heartbeat
	until     time.Time
	reply     func(int, any)
}

type revisionWaiter struct {
	rev uint64
	ch  chan struct{}
}

// New makes a controller.
func New(cfg *config.Settings, state StateStore, cloud Cloud, workers WorkerLink, log *slog.Logger, times Timing) *Controller {
	controller := &Controller{
		cfg: cfg, store: state, cloud: cloud, workers: workers, log: log, timing: times,
		inbox: make(chan func(), 1024), done: make(chan struct{}), cache: storage.NewCache(cfg),
		workerStates: map[int32]*workerState{}, jobStates: map[*storage.Job]*jobState{}, peers: map[string]peerState{}, disconnectedPeers: map[string]time.Time{}, alpha: DefaultAlpha,
	}
	controller.ownershipHistory, controller.brokenConnections = make([]shardOwnership, controller.cache.NumShards), map[string]time.Time{}
	controller.leaseSeenAt, controller.startedAt = map[string]time.Time{}, time.Now()
	controller.ownedShards, controller.waitingByShard, controller.pendingUpdates = make([]uint64, controller.cache.NumShards), make([]int, controller.cache.NumShards), map[int32]*pendingUpdate{}
	controller.Layout, controller.Frames = storage.LayoutTeams, protocol.FramesCancellationDigest
	controller.metrics, controller.operatorSettings, controller.preemptionsSeen = NewMetrics(), DefaultOperatorSettings(), map[string]uint64{}
	controller.metrics.Registry.MustRegister(gauges{controller})
	controller.unverified = unverifiedRenewals{since: time.Now(), renewed: map[string]time.Time{}}
	controller.terminations = map[int32]*termination{}
	controller.digest = digestState{gossiped: map[string]uint64{}, vouchedUntil: map[string]time.Time{}}
	controller.leader.init()
	return controller
}

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
		if c.cycleRequested && !c.commitInFlight && len(c.inbox) == 0 {
			if d := time.Until(c.nextCycleAt); d <= 0 {
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

func (c *Controller) requestCycle() { c.cycleRequested = true }

func (c *Controller) tick(ctx context.Context) {
	now := time.Now()
	c.flushHeldReplies(now, false)
	c.publish(now)
	if !c.loaded {
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

// updateRateShare tells the state service's client how much of its rate this controller may
// use: in proportion to the machines that it commits for, which every controller knows.
func (c *Controller) updateRateShare() {
	mine, all := 0, 0
	for _, m := range c.cache.Machines {
		if !m.Gone {
			all++
			if c.ownsShard(m.Shard) {
				mine++
			}
		}
	}
	shares := 0
	for s := range c.ownedShards {
		if c.ownsShard(s) {
			shares++
		}
	}
	// A shard with few machines yet still has to place its first work.
	part := float64(shares) / float64(len(c.ownedShards))
	if all > 0 {
		part = (part + 3*float64(mine)/float64(all)) / 4
	}
	now := time.Now()
	if dt := now.Sub(c.changesUsedAt).Seconds(); dt > 0 {
		spent := c.store.ChangesUsed()
		c.changeRate += min(1, dt) * (float64(spent-c.changesUsed)/dt - c.changeRate) // over about a second
		c.changesUsed, c.changesUsedAt = spent, now
	}
	c.store.SetRateShare(part, c.isLeader(), c.changeRate, c.othersChangeRate(now))
}

// ownsShard tells whether this process owns a shard. The follow must have come as far
// as the record that says so: a leader that gives a shard to itself learns of it
// from its own commit, before it has seen what the former owner committed last.
func (c *Controller) ownsShard(share int) bool {
	s := &c.cache.Shards[share]
	return s.Version > 0 && c.cache.Revision >= s.Version && c.incarnation > 0 && s.Member == c.cfg.MemberName && s.Incarnation == c.incarnation
}

func (c *Controller) isLeader() bool {
	l := &c.cache.Leader
	return l.Version > 0 && c.incarnation > 0 && l.Member == c.cfg.MemberName && l.Incarnation == c.incarnation
}

func (c *Controller) workerState(m *storage.Machine) *workerState {
	v := c.workerStates[m.Index]
	if v == nil {
		now := time.Now()
		v = &workerState{Worker: dispatch.NewWorker(), since: now, heard: now, heartbeatAt: heartbeatBaseline(c.cfg.Deployment.Workers, now), emptySince: now,
			images: slices.Clone(m.Images), started: map[dispatch.Ref]time.Time{}, slowdown: 1, failures: map[*storage.Job]*failing{}}
		c.workerStates[m.Index] = v
	}
	return v
}

// hasEnded tells whether an attempt is proved to be gone.
func (v *workerState) hasEnded(ref dispatch.Ref) bool {
	_, ok := v.Gone[ref]
	return ok
}

func (c *Controller) jobState(j *storage.Job) *jobState {
	v := c.jobStates[j]
	if v == nil {
		v = &jobState{requeuedAt: map[int]time.Time{}, failedOn: map[int32]bool{}}
		c.jobStates[j] = v
	}
	return v
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
