package standin

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

	"dykeledge/internal/bookkeeping"
	"dykeledge/internal/config"
	"dykeledge/internal/coordination"
	"dykeledge/internal/protocol"
	"dykeledge/internal/transport"
)

// Node is one controller of the played deployment.
type Node struct {
	Name  string
	Link  *StoreLink
	Core  *coordination.Controller
	world *World
	stop  context.CancelFunc
	gone  atomic.Bool
	cuts  atomic.Uint32
	still atomic.Int64 // stands still until then
}

// Cuts are what a node is cut off from.
type Cuts uint32

// What a node can be cut off from. With NoAnswers, its requests to the state service
// are carried out and the answers are lost.
const (
	NoState Cuts = 1 << iota
	NoWorkers
	NoUsers
	NoCloud
	NoAnswers
	AllCut = NoState | NoWorkers | NoUsers | NoCloud
)

// Cut sets what a node is cut off from.
func (n *Node) Cut(c Cuts) { n.cuts.Store(uint32(c)) }

func (n *Node) dead() bool      { return n.gone.Load() }
func (n *Node) cut(c Cuts) bool { return Cuts(n.cuts.Load())&c != 0 }

// StandStill stops a node for a while; its clocks run on, and so does the world.
func (n *Node) StandStill(d time.Duration) {
	n.still.Store(time.Now().Add(d).UnixNano())
	// The core answers a stranger's report by itself, and stands still meanwhile.
	go n.Core.Beat(n.world.ctx, &protocol.Report{Machine: "nobody"}, func(int, any) { n.pause() })
}

// pause waits while the node stands still.
func (n *Node) pause() {
	for {
		left := time.Until(time.Unix(0, n.still.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// overslept waits while the node stands still, and tells whether a call that began
// at a time has run out of its time meanwhile.
func (n *Node) overslept(began time.Time, within time.Duration) bool {
	n.pause()
	return time.Since(began) > within
}

// task is an attempt on a machine.
type task struct {
	job     *Job
	index   int
	attempt uint64
	state   string
	cause   string
	saved   bool
	ends    time.Time // of the present state
}

// Machine is a rented machine with its worker.
type Machine struct {
	Name, Zone, Type string
	Spot             bool
	Addr             string
	up               bool
	gone             bool
	hang             bool
	sick             bool
	cut              bool // its reports and answers get lost
	notice           time.Time
	session, seq     uint64
	token            uint64
	tasks            []*task
	leaseFrom        time.Time
	node             int
	poke             chan struct{}
	rented           time.Time
}

// Job is a submitted job and what really became of it.
type Job struct {
	Spec      map[string]any
	ID, Team  string
	Tasks     int
	Run       time.Duration
	Cpus      float64
	Spot      bool
	Broken    bool // fails on every machine
	done      map[int]bool
	on        map[int]*Machine
	cancelled time.Time // when its user was told
	told      protocol.JobStatus
	accepted  bool
	lastDone  time.Time
	awaits    []*Job
	asked     bool // its user has asked to cancel it
}

// Dice is seeded randomness that many goroutines may use.
type Dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

// IntN is a number from 0 to below n.
func (d *Dice) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// Float64 is a number from 0 to below 1.
func (d *Dice) Float64() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64()
}

// World is a played deployment. It notes every broken rule.
type World struct {
	T0       time.Time
	Cfg      *config.Settings
	Store    *Store
	Rand     *Dice
	mu       sync.Mutex
	nodes    []*Node
	machines map[string]*Machine
	jobs     map[string]*Job
	order    []string
	charters map[string][]string
	names    int
	Cap      int // machines that can be rented in all
	broken   []string
	Started  int
	// LeaseKills counts tasks that were killed because their worker's lease ran out.
	LeaseKills int
	Late       func(node string, t protocol.Txn) time.Duration
	// LateCommands delays direct commands; their sender learns nothing.
	LateCommands func(m string, cmd protocol.DirectCommands) time.Duration
	LateReports  func(m string) time.Duration
	// LateRentals delays rental requests; their sender learns nothing.
	LateRentals func() time.Duration
	// Boot, if set, is how long a rented machine takes to come up; 0: it never does.
	Boot func() time.Duration
	// ListLag, if set, is how old the machine list is.
	ListLag func() time.Duration
	// After is called when a node's transaction was applied, before the node learns of it.
	After   func(i int, t protocol.Txn)
	Catalog protocol.Catalog
	ctx     context.Context
	Log     *slog.Logger
	Kills   atomic.Int32 // nodes killed
	// CloudCalls and CloudOver count the cloud's requests, and those over its rate,
	// where the store enforces its own.
	CloudCalls, CloudOver int
	// Old are the nodes that start as the version before, which knows no gate.
	Old       map[int]bool
	cloudRate bucket
}

// NewWorld plays a deployment until ctx ends.
func NewWorld(ctx context.Context, cfg *config.Settings, seed uint64) *World {
	w := &World{T0: time.Now(), Cfg: cfg, Store: NewStore(), Rand: &Dice{r: rand.New(rand.NewPCG(seed, 7))},
		machines: map[string]*Machine{}, jobs: map[string]*Job{}, charters: map[string][]string{}, Cap: 6, ctx: ctx,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Catalog: protocol.Catalog{Types: []protocol.MachineType{{Name: "t16", Cpus: 16, MemGB: 64, CacheGB: 30, FetchGBs: 0.5,
			Price: 1, SpotPrice: 0.3, BootS: 10, Zones: cfg.Deployment.Zones}}}}
	w.Store.Check = w.checkRecords()
	return w
}

// checkRecords makes a check that no task is ever in two machines' records, and no
// machine in two fleet records.
func (w *World) checkRecords() func(protocol.Txn) {
	placed := map[int]map[string]string{} // by rack: machine by task
	fleets := map[string]string{}         // by machine
	return func(t protocol.Txn) {
		w.mu.Lock()
		defer w.mu.Unlock()
		var changed []int
		for _, c := range t.Then {
			if strings.HasPrefix(c.Put, bookkeeping.FleetKey("")) {
				f, err := bookkeeping.DecodeFleet(c.Value)
				if err != nil {
					w.fault("record %s cannot be read", c.Put)
				}
				for _, m := range f.Machines {
					if k, ok := fleets[m.Name]; ok && k != c.Put {
						w.fault("records: machine %s is in %s and %s", m.Name, k, c.Put)
					}
					fleets[m.Name] = c.Put
				}
			}
			rack, ok := bookkeeping.RackOf(c.Put)
			if !ok {
				continue
			}
			r, err := bookkeeping.DecodeRack(c.Value)
			if err != nil {
				w.fault("record %s cannot be read", c.Put)
			}
			tasks := map[string]string{}
			for _, m := range r.Machines {
				for _, p := range m.Tasks {
					for i := 0; i+3 < len(p.Numbers); i += 4 {
						name := protocol.TaskName(p.Job, int(p.Numbers[i]))
						if other, twice := tasks[name]; twice {
							w.fault("records: %s is on %s and %s", name, other, m.Name)
						}
						tasks[name] = m.Name
					}
				}
			}
			placed[rack] = tasks
			changed = append(changed, rack)
		}
		for _, rack := range changed {
			for other, tasks := range placed {
				for name, m := range placed[rack] {
					if o, twice := tasks[name]; other != rack && twice {
						w.fault("records: %s is on %s and %s", name, m, o)
					}
				}
			}
		}
	}
}

// Running is how many tasks are on machines now.
func (w *World) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range w.jobs {
		n += len(j.on)
	}
	return n
}

// Broken lists the rules that were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.broken)
}

func (w *World) fault(format string, a ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%.1f s: ", time.Since(w.T0).Seconds())+fmt.Sprintf(format, a...))
}

// Start starts node i, anew if it ran before.
func (w *World) Start(i int) {
	cfg := *w.Cfg
	name := fmt.Sprintf("n%d", i)
	cfg.NodeName = name
	cfg.Known = nil
	for k := range cfg.Deployment.Nodes {
		if k != i {
			cfg.Known = append(cfg.Known, config.Peer{NodeName: fmt.Sprintf("n%d", k)})
		}
	}
	cfg.Zone = cfg.Deployment.Zones[i%len(cfg.Deployment.Zones)]
	ctx, cancel := context.WithCancel(w.ctx)
	n := &Node{Name: name, world: w, stop: cancel}
	n.Link = &StoreLink{store: w.Store, node: n, Late: func(t protocol.Txn) time.Duration {
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
		n.Link.budget = transport.NewStateBudget(&cfg.Deployment)
	}
	cloud := &cloudLink{w: w, n: n}
	if w.Store.Limited {
		cloud.budget = transport.CloudBudget(&cfg.Deployment)
	}
	n.Core = coordination.New(&cfg, n.Link, cloud, &workerLink{w, n}, w.Log.With("node", name), coordination.DefaultTimes())
	w.mu.Lock()
	if w.Old[i] {
		n.Core.Layout = bookkeeping.LayoutPlain
	}
	for len(w.nodes) <= i {
		w.nodes = append(w.nodes, nil)
	}
	w.nodes[i] = n
	w.mu.Unlock()
	go n.Core.Run(ctx)
}

// Talk lets the nodes hear one another's pulses.
func (w *World) Talk() {
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			w.mu.Lock()
			nodes := slices.Clone(w.nodes)
			w.mu.Unlock()
			for _, from := range nodes {
				for _, to := range nodes {
					if from != to && !from.dead() && !to.dead() && from.still.Load() < time.Now().UnixNano() {
						go to.Core.HearPulse(from.Name, from.Core.Pulse())
					}
				}
			}
		}
	}()
}

// Kill ends node i without any notice.
func (w *World) Kill(i int) {
	n := w.Node(i)
	w.Kills.Add(1)
	n.gone.Store(true)
	n.stop()
}

// Node returns node i as it runs now.
func (w *World) Node(i int) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// AddMachine brings a machine up at once.
func (w *World) AddMachine(zone string, spot bool) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.newMachine(zone, spot)
	w.boot(m, 0)
	return m
}

func (w *World) newMachine(zone string, spot bool) *Machine {
	w.names++
	m := &Machine{Name: fmt.Sprintf("host-%06d", w.names), Zone: zone, Type: "t16", Spot: spot,
		Addr: fmt.Sprintf("10.1.0.%d:9000", w.names), poke: make(chan struct{}, 1), rented: time.Now()}
	w.machines[m.Name] = m
	return m
}

func (w *World) boot(m *Machine, after time.Duration) {
	go func() {
		time.Sleep(after)
		w.mu.Lock()
		if m.gone {
			w.mu.Unlock()
			return
		}
		m.up, m.session, m.leaseFrom = true, 1, time.Now()
		w.mu.Unlock()
		go w.tasksLoop(m)
		w.reportLoop(m)
	}()
}

// Die stops a machine with all that is on it.
func (w *World) Die(m *Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(m)
}

func (w *World) remove(m *Machine) {
	m.gone = true
	for _, t := range m.tasks {
		w.leave(m, t)
	}
	m.tasks = nil
}

// Set changes a machine: hang, sick, cut or a spot notice.
func (w *World) Set(m *Machine, f func(*Machine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(m)
}

// Hang, Sick, CutOff and Notice are changes for Set.
func Hang(on bool) func(*Machine)   { return func(m *Machine) { m.hang = on } }
func Sick(on bool) func(*Machine)   { return func(m *Machine) { m.sick = on } }
func CutOff(on bool) func(*Machine) { return func(m *Machine) { m.cut = on } }
func Notice(d time.Duration) func(*Machine) {
	return func(m *Machine) { m.notice = time.Now().Add(d) }
}

// Machines lists the machines that are there, by name.
func (w *World) Machines() []*Machine {
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

func (w *World) leave(m *Machine, t *task) {
	if t.job != nil && t.job.on[t.index] == m && t.state != protocol.Exited && t.state != protocol.Fetching {
		delete(t.job.on, t.index)
	}
}

// start checks every rule about starting a task.
func (w *World) start(m *Machine, t *task) {
	w.Started++
	j := t.job
	if o := j.on[t.index]; o != nil && o != m {
		w.fault("ran_twice: %s/%d on %s and %s", j.ID, t.index, o.Name, m.Name)
	}
	j.on[t.index] = m
	for _, o := range j.awaits {
		if len(o.done) < o.Tasks || o.told == protocol.Cancelled {
			w.fault("too_early: %s/%d starts before %s is done", j.ID, t.index, o.ID)
		}
	}
	if m.Spot && !j.Spot {
		w.fault("wrong_place: %s/%d on a spot machine", j.ID, t.index)
	}
	if z := j.Spec["berth"]; z != nil && z != m.Zone {
		w.fault("wrong_place: %s/%d in zone %s", j.ID, t.index, m.Zone)
	}
	inZone, total := 0, 0
	for i, o := range j.on {
		if i == t.index {
			continue
		}
		total++
		if o.Zone == m.Zone {
			inZone++
		}
	}
	if j.Spec["together"] == true && inZone != total {
		w.fault("wrong_place: %s/%d is apart from its job", j.ID, t.index)
	}
	if j.Spec["scatter"] == true && inZone+1 > (j.Tasks+1)/2 {
		w.fault("wrong_place: %s has too many tasks in %s", j.ID, m.Zone)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > seconds(w.Cfg.Deployment.Workers.CancelS) {
		w.fault("ran_cancelled: %s/%d starts", j.ID, t.index)
	}
	used := 0.0
	for _, o := range w.jobs {
		if o.Team == j.Team {
			used += float64(len(o.on)) * o.Cpus
		}
	}
	for _, team := range w.Cfg.Deployment.Teams {
		if team.Name == j.Team && team.CpusMax > 0 && used > team.CpusMax+1e-6 {
			w.fault("quota: %s uses %.1f of %.1f", j.Team, used, team.CpusMax)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// tasksLoop runs what is on a machine.
func (w *World) tasksLoop(m *Machine) {
	for w.ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		if m.gone {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if !m.notice.IsZero() && now.After(m.notice) {
			w.remove(m)
			w.mu.Unlock()
			return
		}
		for _, t := range m.tasks {
			if t.job != nil && t.state != protocol.Exited && !t.job.cancelled.IsZero() &&
				now.Sub(t.job.cancelled) > seconds(w.Cfg.Deployment.Workers.CancelS)+time.Second {
				w.fault("ran_cancelled: %s/%d is still on %s", t.job.ID, t.index, m.Name)
				t.job.cancelled = now
			}
		}
		if m.hang {
			w.mu.Unlock()
			continue
		}
		if now.Sub(m.leaseFrom) > seconds(w.Cfg.Deployment.Workers.LeaseS) {
			for _, t := range m.tasks {
				w.leave(m, t)
				w.LeaseKills++
			}
			m.tasks, m.session, m.leaseFrom = nil, m.session+1, now
			m.wake()
		}
		for _, t := range m.tasks {
			if t.state == protocol.Exited || now.Before(t.ends) {
				continue
			}
			switch t.state {
			case protocol.Fetching:
				t.state, t.ends = protocol.Runs, now.Add(t.job.Run)
				w.start(m, t)
				if m.sick || t.job.Broken {
					t.ends = now.Add(300 * time.Millisecond)
				}
			case protocol.Runs:
				w.leave(m, t)
				t.state, t.cause = protocol.Exited, protocol.CauseDone
				if m.sick || t.job.Broken {
					t.cause = protocol.CauseError
				} else {
					t.job.done[t.index] = true
					t.job.lastDone = now
				}
			case protocol.Saving:
				w.leave(m, t)
				t.state, t.cause, t.saved = protocol.Exited, protocol.CauseStopped, true
			}
			m.wake()
		}
		w.mu.Unlock()
	}
}

func (m *Machine) wake() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

func (w *World) report(m *Machine) *protocol.Report {
	m.seq++
	r := &protocol.Report{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Session: m.session, Seq: m.seq, Token: m.token}
	if !m.notice.IsZero() {
		left := time.Until(m.notice).Seconds()
		r.NoticeS = &left
	}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: protocol.TaskName(t.job.ID, t.index), Attempt: t.attempt,
			State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// execute carries out commands as a worker does.
func (w *World) execute(m *Machine, cmds []protocol.Command) {
	for _, c := range cmds {
		id, index, _ := protocol.SplitTask(c.Task)
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.job.ID == id && t.index == index && t.attempt == c.Attempt })
		switch c.Op {
		case protocol.Launch:
			if i >= 0 {
				continue
			}
			j := w.jobs[id]
			if j == nil {
				continue
			}
			t := &task{job: j, index: index, attempt: c.Attempt, state: protocol.Fetching, ends: time.Now().Add(time.Second)}
			used := j.Cpus
			for _, o := range m.tasks {
				if o.state != protocol.Exited {
					used += o.job.Cpus
					if o.job == j && o.index == index {
						t.state, t.cause = protocol.Exited, protocol.CauseBusy
					}
				}
			}
			if used > 16 && t.state != protocol.Exited {
				t.state, t.cause = protocol.Exited, protocol.CauseNoRoom
			}
			m.tasks = append(m.tasks, t)
			m.wake()
		case protocol.Kill:
			if i < 0 || m.tasks[i].state == protocol.Exited {
				continue
			}
			t := m.tasks[i]
			save, _ := t.job.Spec["markCostS"].(float64)
			if mark, _ := t.job.Spec["markEveryS"].(float64); t.state == protocol.Runs && mark > 0 && c.GraceS >= save {
				t.state, t.ends = protocol.Saving, time.Now().Add(seconds(save))
			} else if t.state != protocol.Saving || c.GraceS == 0 {
				w.leave(m, t)
				t.state, t.cause = protocol.Exited, protocol.CauseStopped
			}
			m.wake()
		case protocol.Clear:
			if i >= 0 && m.tasks[i].state == protocol.Exited {
				m.tasks = slices.Delete(m.tasks, i, i+1)
				m.wake()
			}
		}
	}
}

func (w *World) reportLoop(m *Machine) {
	every := seconds(w.Cfg.Deployment.Workers.ReportS)
	for w.ctx.Err() == nil {
		w.mu.Lock()
		if m.gone {
			w.mu.Unlock()
			return
		}
		if m.hang {
			w.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		r := w.report(m)
		sent := time.Now()
		at := m.node % len(w.nodes)
		node := w.nodes[at]
		cut := m.cut
		delay := time.Duration(0)
		if w.LateReports != nil {
			delay = w.LateReports(m.Name)
		}
		w.mu.Unlock()
		status, body := 0, any(nil)
		ch := make(chan struct{}, 1)
		if delay > 0 {
			go func() {
				time.Sleep(delay)
				if n := w.Node(at); !n.dead() {
					n.Core.Beat(w.ctx, r, func(int, any) {})
				}
			}()
		}
		switch {
		case cut || delay > 0 || node.cut(NoWorkers):
			time.Sleep(4 * time.Second)
		case !node.dead():
			node.Core.Beat(w.ctx, r, func(s int, b any) {
				raw, _ := json.Marshal(b)
				status = s
				var a protocol.ReportAnswer
				var red protocol.Redirect
				if s == 200 {
					_ = json.Unmarshal(raw, &a)
					body = a
				} else {
					_ = json.Unmarshal(raw, &red)
					body = red
				}
				ch <- struct{}{}
			})
			t := time.NewTimer(4 * time.Second)
			select {
			case <-ch:
				time.Sleep(time.Millisecond)
			case <-t.C:
				status = 0
			}
			t.Stop()
		}
		w.mu.Lock()
		wait := time.Second
		switch {
		case m.gone || m.hang:
		case status == 200:
			a := body.(protocol.ReportAnswer)
			if r.Session == m.session && a.Token >= m.token {
				m.leaseFrom = sent
				m.token = max(m.token, a.Token)
				w.execute(m, a.Commands)
			}
			wait = every*3/4 + time.Duration(w.Rand.IntN(int(every)/2))
		case status == 421:
			name := body.(protocol.Redirect).Node
			i := slices.IndexFunc(w.nodes, func(n *Node) bool { return n.Name == name })
			if i >= 0 && i != m.node%len(w.nodes) {
				m.node = i
				wait = 100 * time.Millisecond
			} else {
				m.node++
			}
		default:
			m.node++
		}
		w.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-m.poke:
			t.Stop()
			time.Sleep(max(0, 500*time.Millisecond-time.Since(sent)))
			if status != 200 && status != 421 {
				time.Sleep(time.Second)
			}
		case <-w.ctx.Done():
			t.Stop()
			return
		}
	}
}

type workerLink struct {
	w *World
	n *Node
}

// Command sends commands straight to a worker.
func (l *workerLink) Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Report, int, error) {
	time.Sleep(time.Millisecond)
	l.n.pause()
	began := time.Now()
	w := l.w
	w.mu.Lock()
	var m *Machine
	for _, x := range w.machines {
		if x.Addr == addr && x.up && !x.gone {
			m = x
		}
	}
	do := func() (*protocol.Report, int) {
		status := 409
		if cmd.Token >= m.token && cmd.Session == m.session {
			m.token = cmd.Token
			w.execute(m, cmd.Commands)
			status = 200
		}
		m.wake()
		return w.report(m), status
	}
	if m != nil && w.LateCommands != nil {
		if d := w.LateCommands(m.Name, cmd); d > 0 {
			w.mu.Unlock()
			go func() {
				time.Sleep(d)
				w.mu.Lock()
				defer w.mu.Unlock()
				if !m.gone {
					do()
				}
			}()
			time.Sleep(timeout)
			return nil, 0, protocol.ErrUnknown
		}
	}
	if m == nil || m.hang || m.cut || l.n.cut(NoWorkers) || l.n.dead() {
		hung := m != nil && m.hang && !l.n.cut(NoWorkers)
		w.mu.Unlock()
		if hung { // it executes them when it resumes
			go func() {
				for w.ctx.Err() == nil {
					time.Sleep(300 * time.Millisecond)
					w.mu.Lock()
					if m.gone || !m.hang {
						if !m.gone {
							do()
						}
						w.mu.Unlock()
						return
					}
					w.mu.Unlock()
				}
			}()
		}
		time.Sleep(timeout)
		return nil, 0, protocol.ErrUnknown
	}
	r, status := do()
	w.mu.Unlock()
	time.Sleep(time.Millisecond)
	if l.n.overslept(began, timeout) {
		return nil, 0, protocol.ErrUnknown
	}
	return r, status, nil
}

type cloudLink struct {
	w      *World
	n      *Node
	budget *transport.Budget // nil: none
}

// cloudTimeout is how long a node waits for the cloud.
const cloudTimeout = 10 * time.Second

func (l *cloudLink) wait() error {
	l.n.pause()
	time.Sleep(50 * time.Millisecond)
	if l.budget != nil {
		if err := l.budget.Wait(l.w.ctx, 1, 0); err != nil {
			return protocol.ErrRefused
		}
		l.w.mu.Lock()
		l.w.CloudCalls++
		over := !l.w.cloudRate.take(1)
		if over {
			l.w.CloudOver++
		}
		l.w.mu.Unlock()
		if over {
			return protocol.ErrRefused
		}
	}
	if l.n.dead() || l.n.cut(NoCloud) {
		time.Sleep(5 * time.Second)
		return protocol.ErrUnknown
	}
	return nil
}

// Catalog returns the machine types.
func (l *cloudLink) Catalog(context.Context) (*protocol.Catalog, error) {
	if err := l.wait(); err != nil {
		return nil, err
	}
	c := l.w.Catalog
	return &c, nil
}

// Rent rents machines; now and then the answer gets lost.
func (l *cloudLink) Rent(_ context.Context, r protocol.Rental) ([]string, error) {
	if err := l.wait(); err != nil {
		return nil, err
	}
	w := l.w
	if w.LateRentals != nil {
		if d := w.LateRentals(); d > 0 {
			go func() {
				time.Sleep(d)
				_, _ = w.rent(r) // nobody waits for it any more
			}()
			time.Sleep(2 * time.Second)
			return nil, protocol.ErrUnknown
		}
	}
	began := time.Now()
	names, err := w.rent(r)
	if l.n.overslept(began, cloudTimeout) {
		return nil, protocol.ErrUnknown
	}
	return names, err
}

func (w *World) rent(r protocol.Rental) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if names, ok := w.charters[r.Name]; ok {
		return names, nil
	}
	have := 0
	for _, m := range w.machines {
		if !m.gone {
			have++
		}
	}
	n := min(r.Count, w.Cap-have)
	if n <= 0 {
		return nil, protocol.ErrNoCapacity
	}
	var names []string
	for range n {
		m := w.newMachine(r.Zone, r.Spot)
		names = append(names, m.Name)
		boot := seconds(5 + 10*w.Rand.Float64())
		if w.Boot != nil {
			boot = w.Boot()
		}
		if boot > 0 {
			w.boot(m, boot)
		}
	}
	w.charters[r.Name] = names
	if w.Rand.IntN(4) == 0 {
		return nil, protocol.ErrUnknown
	}
	return names, nil
}

// Return takes machines back.
func (l *cloudLink) Return(_ context.Context, names []string) error {
	if err := l.wait(); err != nil {
		return err
	}
	began := time.Now()
	l.w.mu.Lock()
	for _, n := range names {
		if m := l.w.machines[n]; m != nil && !m.gone {
			l.w.remove(m)
		}
	}
	l.w.mu.Unlock()
	if l.n.overslept(began, cloudTimeout) {
		return protocol.ErrUnknown
	}
	return nil
}

// List lists the machines, as they were a while ago.
func (l *cloudLink) List(_ context.Context, after string) (protocol.MachineList, error) {
	var out protocol.MachineList
	if err := l.wait(); err != nil {
		return out, err
	}
	lag := seconds(l.w.Cfg.Deployment.Cloud.ListLagS)
	if l.w.ListLag != nil {
		lag = l.w.ListLag()
	}
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	for _, m := range l.w.machines {
		if m.Name > after && !m.gone && time.Since(m.rented) > lag {
			st := "booting"
			if m.up {
				st = "running"
			}
			out.Machines = append(out.Machines, protocol.Listed{ID: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
				Spot: m.Spot, Status: st, AgeS: time.Since(m.rented).Seconds()})
		}
	}
	slices.SortFunc(out.Machines, func(a, b protocol.Listed) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}
