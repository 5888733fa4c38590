// Package coordination is a controller's core. One goroutine owns all
// scheduling state; everything else posts to it. What the state service holds
// is the truth, and the core works out again and again how what is differs from
// what is wanted.
package coordination

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/coordination/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// StateStore is the state service as the core needs it.
type StateStore interface {
	Revision(ctx context.Context) (uint64, error)
	List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error)
	Txn(ctx context.Context, t protocol.Txn, haste protocol.Haste) (rev uint64, failed []string, err error)
	// Pace is how long it takes until the budget allows a transaction of n changes.
	Pace(n int) time.Duration
	// SetPart tells which part of the machines this node commits for, whether it leads,
	// and how many changes a second it and the others make (below 0: not known).
	SetPart(part float64, leads bool, used, others float64)
	// SetLimit sets the rate of changes that all nodes together may make.
	SetLimit(changes float64)
	// Spent is how many changes this node has made.
	Spent() uint64
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64, timeout time.Duration) error
	Follow(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error)
}

// Cloud rents machines.
type Cloud interface {
	Catalog(ctx context.Context) (*protocol.Catalog, error)
	Rent(ctx context.Context, r protocol.Rental) ([]string, error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context, after string) (protocol.MachineList, error)
}

// WorkerLink reaches workers directly.
type WorkerLink interface {
	Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Report, int, error)
}

// Timing are the core's own timings.
type Timing struct {
	SessionLease       time.Duration // how long a node's hold lasts without renewal
	CommitInterval     time.Duration // least time between two commits
	WatchInterval      time.Duration // least time between two follows
	Tick               time.Duration
	HeartbeatReplyWait time.Duration // how long the answer to a report may wait for a commit
	RebalanceInterval  time.Duration // how often the leader moves machines between shares
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

// Controller is one node.
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
	cache               *storage.Cache
	loaded              bool
	unread              bool   // the records could not be read yet: no answer
	foreignLayout       bool   // the records are of a layout that this version does not read
	highestRevision     uint64 // the highest revision seen, own commits included
	incarnation         uint64
	sessionLease        uint64
	views               map[int32]*machineView
	jobs                map[*storage.Job]*jobView
	ownedShards         []uint64 // by share: the version under which it is owned, 0: not
	dirty               bool
	next                time.Time // no cycle before
	inflight            bool
	finishing           []*storage.Job  // jobs that the latest plan calls done
	inDoubt             *protocol.Txn   // sent with unknown outcome: repeated until it is known
	planned             int             // tasks that the latest plan places
	lastOps             int             // changes of the latest transaction
	firstGroup          int             // the rack that the next plan begins with
	idleRuns            bool            // idle-time work is placed on this node's machines
	edits               map[int32]*edit // by machine
	waitingByShard      []int           // by share: tasks that waited when last planned
	toGreet             []*storage.Machine
	leaderVersion       uint64 // of the leader's key
	leaderSince         time.Time
	waitRev             uint64 // no cycle before the follow got here
	held                []heldReply
	storeFailingSince   time.Time // the state service has not answered well since
	waiters             []revWaiter
	leaderWriteInFlight bool
	gateBusy            bool
	workingOff          bool
	lowered             bool // the state service has refused something for its size
	lowRate             bool // the rate to come is kept to
	doomTurn            int
	tries               uint64 // long descriptions written by this process
	scratch             scratch
	oversizedGroup      *storage.MachineGroup // its record would be over the limit: it is parted next
	shardWriteInFlight  bool
	membersChangedAt    time.Time        // when membership last changed
	ownershipHistory    []shardOwnership // by share
	ownershipLoaded     bool
	zones               []zone               // by zone
	brokenConnections   map[string]time.Time // by node: its connection broke off while it was heard
	startedAt           time.Time            // when this process did
	leaseSeenAt         map[string]time.Time // by node: when its hold was last seen
	memberRevision      uint64               // the revision with which this node's record was last written
	memberWriteInFlight bool                 // it is being written
	leader              leaderState
	directs             int
	ordinaryAt          time.Time // when a job that may not use spot machines was last open
	flooded             bool      // a flood is dealt with
	alpha               float64
	barriers            barrier
	peers               map[string]peerState
	disconnectedPeers   map[string]time.Time // nodes whose connection ended, until they are heard again
	heardAny            time.Time            // when any worker was last heard
	ownershipSince      time.Time            // when this node last took over a share
	placedSinceTakeover bool                 // it has placed tasks since
	tallies             tallies
	notReady            atomic.Bool // reaches no worker
	lastProbeAt         time.Time
	nextProbe           int
	storeServedAt       time.Time // when the state service last served this node
	cacheCurrentAt      time.Time // the cache holds all that was committed until then
	words               words
	blind               blind
	stopping            map[int32]*stopping  // by machine with a cancelled job's task
	learned             map[string]time.Time // by cancelled job whose record doesn't tell when: this process has known since
	wasLeader           bool                 // as last noted
	manyMute            bool                 // too many workers are mute for it to be their own fault
	reachedAt           time.Time            // when a worker last answered stops
	lastLoopAt          time.Time            // when the core's loop last did
	spent               uint64               // changes made, when last looked at
	spentAt             time.Time
	pace                float64   // changes that this node makes a second
	resumedAt           time.Time // when this node last woke from a standstill
	leaseRenewedAt      time.Time // when the latest renewal of the hold that worked was sent
	summary             publishedSummary
	metrics             *Metrics
	operator            OperatorSettings
	settingsAt          uint64
	evictions           []EvictionView
	evictSeen           map[string]uint64
	viewing             *viewing // nil: off

	// Layout, set before Run, is the latest layout of the records that this node reads. With
	// the plain one it does as the version before did: for tests of both side by side.
	Layout int
	// Frames is the level of the peers' frames that this node reads, set likewise; 0: no words.
	Frames int

	// OnLogLevel, if set before Run, takes up a log level that operators choose.
	OnLogLevel func(string)
}

type machineView struct {
	*dispatch.View
	since    time.Time                 // known to this owner since
	heard    time.Time                 // last message of its worker
	reported time.Time                 // last report proper: what it is asked for renews no lease
	notice   time.Time                 // when the cloud takes it; zero: not announced
	images   []int                     // most recently used last
	failed   map[*storage.Job]*failing // since it last completed anything
	sick     bool
	probes   int                        // unanswered in a row
	started  map[dispatch.Ref]time.Time // seen running since
	idle     time.Time                  // empty since
	speed    float64                    // measured run time over estimate, smoothed
	returned bool                       // the cloud confirmed that it is gone
}

type jobView struct {
	queued   map[int]time.Time // by task: waiting again since
	fails    int               // failures without a success
	rounds   int               // tries since it became suspect
	backoff  time.Time
	asked    time.Time    // short of room since
	moving   dispatch.Ref // the replica that was told last to leave a machine which is drained
	movedAt  time.Time
	hopes    time.Time // leaves free room alone for room that it evicts since
	began    time.Time // first task placed
	full     time.Time // latest task placed
	victim   int       // tasks stopped by command
	evicted  int
	machines map[int32]bool // that it failed on without a success, sick ones aside
}

type heldReply struct {
	machine string
	report  *protocol.Report
	until   time.Time
	reply   func(int, any)
}

type revWaiter struct {
	rev uint64
	ch  chan struct{}
}

// New makes a controller.
func New(cfg *config.Settings, state StateStore, cloud Cloud, workers WorkerLink, log *slog.Logger, times Timing) *Controller {
	c := &Controller{
		cfg: cfg, store: state, cloud: cloud, workers: workers, log: log, timing: times,
		inbox: make(chan func(), 1024), done: make(chan struct{}), cache: storage.NewCache(cfg),
		views: map[int32]*machineView{}, jobs: map[*storage.Job]*jobView{}, peers: map[string]peerState{}, disconnectedPeers: map[string]time.Time{}, alpha: DefaultAlpha,
	}
	c.ownershipHistory, c.brokenConnections = make([]shardOwnership, c.cache.NumShards), map[string]time.Time{}
	c.leaseSeenAt, c.startedAt = map[string]time.Time{}, time.Now()
	c.ownedShards, c.waitingByShard, c.edits = make([]uint64, c.cache.NumShards), make([]int, c.cache.NumShards), map[int32]*edit{}
	c.Layout, c.Frames = storage.LayoutTeams, protocol.FramesWord
	c.metrics, c.operator, c.evictSeen = NewMetrics(), DefaultOperatorSettings(), map[string]uint64{}
	c.metrics.Registry.MustRegister(gauges{c})
	c.blind = blind{since: time.Now(), renewed: map[string]time.Time{}}
	c.stopping = map[int32]*stopping{}
	c.words = words{told: map[string]uint64{}, heard: map[string]time.Time{}}
	c.leader.init()
	return c
}

// DefaultAlpha weighs lost work against time waited when evictions are ranked:
// the value that the paper chose in its sweep (section 5.1).
const DefaultAlpha = 0.31

// Run is the node's life; it ends with ctx.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	c.cache.Plain = c.Layout < storage.LayoutPacked
	go c.keepSessionLease(ctx)
	go c.followLoop(ctx)
	go c.catalogLoop(ctx)
	tick := time.NewTicker(c.timing.Tick)
	defer tick.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var wake <-chan time.Time
		if c.dirty && !c.inflight && len(c.inbox) == 0 {
			if d := time.Until(c.next); d <= 0 {
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

func (c *Controller) kick() { c.dirty = true }

func (c *Controller) tick(ctx context.Context) {
	now := time.Now()
	c.flushHeld(now, false)
	c.publish(now)
	if !c.loaded {
		return
	}
	c.cache.Sweep()
	for j := range c.jobs {
		if !j.Open() && j.NPlaced == 0 {
			delete(c.jobs, j)
		}
	}
	c.checkReadiness(ctx, now)
	c.repairMemberRecord(ctx)
	c.acquireLeadership(ctx)
	c.assignShards(ctx)
	c.openGate(ctx)
	c.workOff(ctx)
	c.watchZones(now)
	c.watchMachines(ctx, now, c.watchStops(now))
	c.moveReplicas(now)
	c.autoscaleAsLeader(ctx, now)
	c.learn(ctx, now)
	c.flushEdits(ctx)
	c.greet()
	c.setPart()
	c.tell(now)
	c.showView(now, false)
	c.kick()
}

// setPart tells the state service's client how much of its rate this node may
// use: in proportion to the machines that it commits for, which every node knows.
func (c *Controller) setPart() {
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
	// A share with few machines yet still has to place its first work.
	part := float64(shares) / float64(len(c.ownedShards))
	if all > 0 {
		part = (part + 3*float64(mine)/float64(all)) / 4
	}
	now := time.Now()
	if dt := now.Sub(c.spentAt).Seconds(); dt > 0 {
		spent := c.store.Spent()
		c.pace += min(1, dt) * (float64(spent-c.spent)/dt - c.pace) // over about a second
		c.spent, c.spentAt = spent, now
	}
	c.store.SetPart(part, c.isLeader(), c.pace, c.othersChanges(now))
}

// ownsShard tells whether this process owns a share. The follow must have come as far
// as the record that says so: a leader that gives a share to itself learns of it
// from its own commit, before it has seen what the former owner committed last.
func (c *Controller) ownsShard(share int) bool {
	s := &c.cache.Shards[share]
	return s.Version > 0 && c.cache.Revision >= s.Version && c.incarnation > 0 && s.Member == c.cfg.MemberName && s.Incarnation == c.incarnation
}

func (c *Controller) isLeader() bool {
	l := &c.cache.Leader
	return l.Version > 0 && c.incarnation > 0 && l.Member == c.cfg.MemberName && l.Incarnation == c.incarnation
}

func (c *Controller) view(m *storage.Machine) *machineView {
	v := c.views[m.Index]
	if v == nil {
		now := time.Now()
		v = &machineView{View: dispatch.NewView(), since: now, heard: now, reported: reportedAnew(c.cfg.Deployment.Workers, now), idle: now,
			images: slices.Clone(m.Images), started: map[dispatch.Ref]time.Time{}, speed: 1, failed: map[*storage.Job]*failing{}}
		c.views[m.Index] = v
	}
	return v
}

// hasEnded tells whether an attempt is proved to be gone.
func (v *machineView) hasEnded(ref dispatch.Ref) bool {
	_, ok := v.Gone[ref]
	return ok
}

func (c *Controller) jobView(j *storage.Job) *jobView {
	v := c.jobs[j]
	if v == nil {
		v = &jobView{queued: map[int]time.Time{}, machines: map[int32]bool{}}
		c.jobs[j] = v
	}
	return v
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
