package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/transport"
)

// ControllerProcess is one controller of the played deployment.
type ControllerProcess struct {
	Name            string
	Zone            string
	Link            *StoreLink
	Core            *controller.Controller
	simulation      *Simulation
	stop            context.CancelFunc
	handleHeartbeat func(ctx context.Context, r *protocol.Heartbeat, reply func(status int, body any))
	gone            atomic.Bool
	cuts            atomic.Uint32
	stalledUntil    atomic.Int64 // stands still until then

	// HeartbeatMeter meters the workers' connections to a controller that speaks HTTP.
	HeartbeatMeter Meter
}

// Cuts are what a controller is cut off from.
type Cuts uint32

// What a controller can be cut off from. With NoAnswers, its requests to the state service
// are carried out and the answers are lost.
const (
	NoState Cuts = 1 << iota
	NoWorkers
	NoUsers
	NoCloud
	NoAnswers
	NoPeers
	AllCut = NoState | NoWorkers | NoUsers | NoCloud
)

// Cut sets what a controller is cut off from.
func (n *ControllerProcess) Cut(c Cuts) { n.cuts.Store(uint32(c)) }

// Ended tells whether a controller was killed.
func (n *ControllerProcess) Ended() bool { return n.gone.Load() }

func (n *ControllerProcess) ended() bool { return n.gone.Load() }

// IsCut tells whether a controller is cut off from any of these.
func (n *ControllerProcess) IsCut(c Cuts) bool { return n.cut(c) }

func (n *ControllerProcess) cut(c Cuts) bool { return Cuts(n.cuts.Load())&c != 0 }

// Stall stops a controller for a while; its clocks run on, and so does the world.
func (n *ControllerProcess) Stall(d time.Duration) {
	n.stalledUntil.Store(time.Now().Add(d).UnixNano())
	// The core answers a stranger's report by itself, and stands still meanwhile.
	go n.Core.HandleHeartbeat(n.simulation.ctx, &protocol.Heartbeat{Machine: "nobody"}, func(int, any) { n.pause() })
}

// partitionZone is what a controller in a zone that is cut off is cut off from; it reaches the workers there.
const partitionZone = NoState | NoUsers | NoCloud

// PartitionZone cuts a zone off from everything, "" ends that: what is inside goes on among itself.
func (w *Simulation) PartitionZone(zone string) {
	w.mu.Lock()
	w.isolated = zone
	nodes := slices.Clone(w.controllers)
	w.mu.Unlock()
	for _, n := range nodes {
		if n.Cut(0); n.Zone == zone {
			n.Cut(partitionZone)
		}
	}
}

func (w *Simulation) zonePartitioned() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isolated
}

func (w *Simulation) cutOff(zone string) bool { return zone != "" && zone == w.zonePartitioned() }

// partitioned tells whether a zone's cut is between a controller and a machine. The world is locked.
func (w *Simulation) partitioned(n *ControllerProcess, m *Machine) bool {
	return w.isolated != "" && (n.Zone == w.isolated) != (m.Zone == w.isolated)
}

// pause waits while the controller stands still.
func (n *ControllerProcess) pause() {
	for {
		left := time.Until(time.Unix(0, n.stalledUntil.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// stalledThrough waits while the controller stands still, and tells whether a call that began
// at a time has run out of its time meanwhile.
func (n *ControllerProcess) stalledThrough(began time.Time, within time.Duration) bool {
	n.pause()
	return time.Since(began) > within
}

// Job is a submitted job and what really became of it.
type Job struct {
	Spec      map[string]any
	ID, Team  string
	Class     string
	At        time.Time // first submitted
	Tasks     int
	Run       time.Duration
	Cpus      float64
	Spot      bool
	Broken    bool // fails on every machine
	done      map[int]bool
	began     map[[2]uint64]bool    // by task and attempt
	saved     map[int]time.Duration // by task: progress in its checkpoint
	on        map[int]*Machine
	cancelled time.Time // when its user was told
	told      protocol.JobStatus
	accepted  bool
	lastDone  time.Time
	awaits    []*Job
	asked     bool // its user has asked to cancel it
	runs      []time.Duration
	answered  time.Time // when its user last had an answer
}

// Source is seeded randomness that many goroutines may use.
type Source struct {
	mu sync.Mutex
	r  *rand.Rand
}

// IntN is a number from 0 to below n.
func (d *Source) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// Float64 is a number from 0 to below 1.
func (d *Source) Float64() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64()
}

// Simulation is a played deployment. It notes every broken rule.
type Simulation struct {
	StartTime    time.Time
	Settings     *config.Settings
	Store        *Store
	Random       *Source
	mu           sync.Mutex
	controllers  []*ControllerProcess
	machines     map[string]*Machine
	jobs         map[string]*Job
	order        []string
	requestNames map[string][]string
	names        int
	CapacityOf   int // machines that can be rented in all
	brokenRules  []string
	Started      int
	// LeaseKills counts tasks that were killed because their worker's lease ran out.
	LeaseKills int
	Late       func(node string, t protocol.Txn) time.Duration
	// LateDone and LateDenied count transactions that were applied late, and refused then.
	LateDone, LateDenied atomic.Int32
	// LateCommands delays direct commands; their sender learns nothing.
	LateCommands   func(m string, cmd protocol.DirectCommands) time.Duration
	LateHeartbeats func(m string) time.Duration
	// CopiedHeartbeats has a copy of a heartbeat arrive again, so much later; 0: none. Copies counts them.
	CopiedHeartbeats func(m string) time.Duration
	Copies           atomic.Int32
	// KeptHeartbeats has a copy of a heartbeat kept back, which every controller gets as the next leader begins. CopiesToNext counts those.
	KeptHeartbeats func(m string) bool
	CopiesToNext   atomic.Int32
	kept           []*protocol.Heartbeat
	lastLeader     storage.LeaderRecord
	IsLeader       atomic.Int32 // times that leadership was taken
	// LostAnswers has a transaction carried out at once and its answer lost. AnswersLost counts those that took effect, by the first key's kind.
	LostAnswers func(node string, t protocol.Txn) bool
	AnswersLost map[string]int
	// AtEnd, if set, is called as the last task of a job completes.
	AtEnd func(j *Job)
	// CloseLooks has users ask at all controllers at once as soon as they were told something. Looks counts the answers.
	CloseLooks bool
	Looks      atomic.Int32
	// StartsAfterCancel counts tasks that started after their job's user was told that it is cancelled.
	StartsAfterCancel int
	// RanAgain counts tasks that started although they had completed.
	RanAgain int
	// LateAnswers holds up the answer to a direct command, which was carried out.
	LateAnswers func(m string) time.Duration
	// LateScaleOuts delays rental requests; their sender learns nothing.
	LateScaleOuts func() time.Duration
	// Boot, if set, is how long a rented machine takes to come up; 0: it never does.
	Boot func() time.Duration
	// ListLag, if set, is how old the machine list is.
	ListLag func() time.Duration
	// After is called when a controller's transaction was applied, before the controller learns of it.
	After     func(i int, t protocol.Txn)
	Catalog   protocol.Catalog
	ctx       context.Context
	Log       *slog.Logger
	KillCount atomic.Int32 // controllers killed
	// CloudCalls and CloudOver count the cloud's requests, and those over its rate,
	// where the store enforces its own.
	CloudCalls, CloudOver int
	// Old are the controllers that start as the version before, which knows no gate.
	Old       map[int]bool
	cloudRate bucket
	cloudDown bool
	Views     bool // the controllers keep a read model
	// LateBoots and NeverBoots are the parts of the rented machines that take four times as long
	// as usual to come up, and that never do.
	LateBoots, NeverBoots float64
	costSpent             float64
	isolated              string // the zone that is cut off
	sendOddRequest        int    // odd requests made
	// Speed, if above 0, is how many times as fast as stated machines come up, fetch and work.
	Speed float64
	// Listen, if set, tells the address at which a new machine's worker will listen.
	Listen func(m *Machine) string
	// SharedTicker has one goroutine, RunTicker, run the tasks of all machines.
	SharedTicker bool
	// Launched, if set, is called for each launch that a worker takes up, with the world locked.
	Launched func(j *Job, index int)
	// Delay, if set, is how long a message takes between two zones of controllers and workers that speak HTTP.
	Delay    func(from, to string) time.Duration
	Commands Meter              // the workers' ports
	used     map[string]float64 // by team: the CPUs of its running tasks
	limits   map[string]float64 // by team whose entry was changed: the CPUs that it may use; 0: any
}

// NewSimulation plays a deployment until ctx ends.
func NewSimulation(ctx context.Context, cfg *config.Settings, seed uint64) *Simulation {
	w := &Simulation{StartTime: time.Now(), Settings: cfg, Store: NewStore(), Random: &Source{r: rand.New(rand.NewPCG(seed, 7))},
		machines: map[string]*Machine{}, jobs: map[string]*Job{}, requestNames: map[string][]string{}, AnswersLost: map[string]int{}, CapacityOf: 6, ctx: ctx,
		used: map[string]float64{}, limits: map[string]float64{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Catalog: protocol.Catalog{Types: []protocol.MachineType{{Name: "t16", Cpus: 16, MemGB: 64, CacheGB: 30, FetchGBs: 0.5,
			Price: 1, SpotPrice: 0.3, BootS: 10, Zones: cfg.Deployment.Zones}}}}
	w.Store.Check = newRecordCheck(w).note
	return w
}

// newLeader delivers what was kept back for the next leader to every controller, as it begins. The world is locked.
func (w *Simulation) newLeader(raw []byte) {
	var leaderRecord storage.LeaderRecord
	if json.Unmarshal(raw, &leaderRecord) != nil || leaderRecord == w.lastLeader {
		return
	}
	w.lastLeader = leaderRecord
	w.IsLeader.Add(1)
	kept, nodes := w.kept, slices.Clone(w.controllers)
	w.kept = nil
	go func() {
		for range 20 { // as it begins, and when it has taken shards
			for _, n := range nodes {
				for _, r := range kept {
					if !n.ended() && !n.cut(NoWorkers) {
						w.CopiesToNext.Add(1)
						n.handleHeartbeat(w.ctx, r, func(int, any) {})
					}
				}
			}
			time.Sleep(30 * time.Millisecond)
		}
	}()
}

// Running is how many tasks are on machines now.
func (w *Simulation) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range w.jobs {
		n += len(j.on)
	}
	return n
}

// BrokenRules lists the rules that were broken.
func (w *Simulation) BrokenRules() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.brokenRules)
}

func (w *Simulation) injectFault(format string, a ...any) {
	w.brokenRules = append(w.brokenRules, fmt.Sprintf("%.1f s: ", time.Since(w.StartTime).Seconds())+fmt.Sprintf(format, a...))
}

// Start starts controller i, anew if it ran before.
func (w *Simulation) Start(i int) {
	cfg := *w.Settings
	name := fmt.Sprintf("n%d", i)
	cfg.MemberName = name
	cfg.Known = nil
	for k := range cfg.Deployment.Controllers {
		if k != i {
			cfg.Known = append(cfg.Known, config.Peer{MemberName: fmt.Sprintf("n%d", k), Zone: cfg.Deployment.Zones[k%len(cfg.Deployment.Zones)]})
		}
	}
	cfg.Zone = cfg.Deployment.Zones[i%len(cfg.Deployment.Zones)]
	ctx, cancel := context.WithCancel(w.ctx)
	process := &ControllerProcess{Name: name, Zone: cfg.Zone, simulation: w, stop: cancel}
	if cfg.Zone == w.zonePartitioned() {
		process.Cut(partitionZone)
	}
	process.Link = &StoreLink{store: w.Store, controller: process, Late: func(t protocol.Txn) time.Duration {
		if w.Late == nil {
			return 0
		}
		return w.Late(name, t)
	}, After: func(t protocol.Txn) {
		if w.After != nil {
			w.After(i, t)
		}
	}}
	if w.Store.Limited {
		process.Link.budget = transport.NewStateBudget(&cfg.Deployment)
	}
	cloud := &cloudLink{simulation: w, controller: process}
	if w.Store.Limited {
		cloud.budget = transport.CloudBudget(&cfg.Deployment)
	}
	process.Core = controller.New(&cfg, process.Link, cloud, &workerLink{w, process}, w.Log.With("node", name), controller.DefaultTiming())
	process.handleHeartbeat = process.Core.HandleHeartbeat
	if w.Views {
		process.Core.EnableView()
	}
	w.mu.Lock()
	if w.Old[i] {
		process.Core.Layout, process.Core.Frames = storage.LayoutPlain, 0
	}
	for len(w.controllers) <= i {
		w.controllers = append(w.controllers, nil)
	}
	w.controllers[i] = process
	w.mu.Unlock()
	go process.Core.Run(ctx)
}

// PeerDelay lets the controllers hear one another's peer heartbeats.
func (w *Simulation) PeerDelay() {
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			w.mu.Lock()
			nodes := slices.Clone(w.controllers)
			w.mu.Unlock()
			for _, from := range nodes {
				for _, to := range nodes {
					if from != to && (from.Zone == to.Zone || !w.cutOff(from.Zone) && !w.cutOff(to.Zone)) && !from.ended() && !to.ended() && from.stalledUntil.Load() < time.Now().UnixNano() &&
						!from.cut(NoPeers) && !to.cut(NoPeers) {
						go to.Core.ReceivePeerHeartbeat(from.Name, from.Core.PeerHeartbeat())
						if word, ok := from.Core.CancellationDigest(to.Name); ok {
							go to.Core.ReceiveCancellationDigest(from.Name, word)
						}
					}
				}
			}
		}
	}()
}

// Kill ends controller i without any notice.
func (w *Simulation) Kill(i int) {
	n := w.Controller(i)
	w.KillCount.Add(1)
	n.gone.Store(true)
	n.stop()
}

// Again ends controllers and starts them anew a moment later.
func (w *Simulation) Again(back time.Duration, nodes ...int) {
	for _, i := range nodes {
		if !w.Controller(i).ended() {
			w.Kill(i)
		}
	}
	time.Sleep(back)
	for _, i := range nodes {
		if w.Controller(i).ended() {
			w.Start(i)
		}
	}
}

// Owner is the controller that owns a shard, -1 if nobody does.
func (w *Simulation) Owner(share int) int {
	for i := range w.Settings.Deployment.Controllers {
		v, err := w.Controller(i).Core.ShardViews(w.ctx)
		if err == nil && share < len(v) && v[share].Owner == w.Controller(i).Name {
			return i
		}
	}
	return -1
}

// Leader is the controller that leads, -1 if nobody is known to.
func (w *Simulation) Leader() int {
	raw, ok := w.Store.Value(storage.LeaderKey)
	var l storage.LeaderRecord
	if !ok || json.Unmarshal(raw, &l) != nil {
		return -1
	}
	return slices.IndexFunc(w.controllers, func(n *ControllerProcess) bool { return n.Name == l.Member })
}

// Controller returns controller i as it runs now.
func (w *Simulation) Controller(i int) *ControllerProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.controllers[i]
}

// Machines lists the machines that are there, by name.
func (w *Simulation) Machines() []*Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Machine
	for _, m := range w.machines {
		if !m.gone && m.up {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Stats are counts of what has happened.
type Stats struct {
	Started, LeaseKills    int
	Requests, Writes, Over int // of the state service
}

// Stats counts what has happened so far.
func (w *Simulation) Stats() Stats {
	w.Store.mu.Lock()
	s := Stats{Requests: w.Store.Requests, Writes: w.Store.Writes, Over: w.Store.OverRate}
	w.Store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Started, s.LeaseKills = w.Started, w.LeaseKills
	return s
}
