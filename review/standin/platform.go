//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file starts a small deployment: controllers as processes with the command of the deploy file, and the
// stand-ins around them. It watches the rules of PROTOCOL from outside.

// node is one controller.
type node struct {
	name, zone, public, peer, config string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// job is a submission, as users send it.
type job struct {
	ID         string   `json:"id"`
	Class      string   `json:"jobclass"`
	Crew       string   `json:"crew"`
	Shape      string   `json:"shape"`
	Urgency    string   `json:"urgency"`
	Shards     int      `json:"shards"`
	CPUs       float64  `json:"cpus"`
	GPUs       float64  `json:"accelerators"`
	RAMGb      float64  `json:"ramGb"`
	Kit        string   `json:"kit"`
	PullGb     float64  `json:"pullGb"`
	Hulls      []string `json:"hulls"`
	Berth      *string  `json:"berth"`
	Together   bool     `json:"together"`
	Scatter    bool     `json:"scatter"`
	Loaners    bool     `json:"loaners"`
	ExpectedS  float64  `json:"expectedS"`
	MarkEveryS float64  `json:"markEveryS"`
	MarkCostS  float64  `json:"markCostS"`
	DueS       *float64 `json:"dueS"`
	Awaits     []string `json:"awaits,omitempty"`

	run   time.Duration // of each task
	fails bool          // every task fails
}

// presence is a task on a machine, from having its image until it ends there.
type presence struct {
	machine string
	try     uint64
	from    time.Time
	berth   string
}

type platform struct {
	rec     *record
	dir     string
	program string
	state   *stateService
	cloud   *cloud
	nodes   []*node
	lease   time.Duration
	reportS float64
	cancelS float64
	zones   []string

	mu       sync.Mutex
	specs    map[string]*job
	done     map[string]bool          // by task
	progress map[string]time.Duration // saved, by task
	on       map[string][]presence    // by task
	starts   map[string]int           // by job
	told     map[string]time.Time     // when the user was told that the job is cancelled
	broken   []string
}

// options are the settings of a deployment, as on the pages.
type options struct {
	objectives               []string // TOML
	zones                    []string
	teams                    []string
	reportS, leaseS, cancelS float64
	clockOffMs               float64
	limits                   stateLimits
	next                     *stateLimits // announced in the settings as state.next
	cloudRPS, listLagS       float64
	cpu, memMB               float64
	sockets                  int
	hull                     machineType
	capacity, machinesUp     int
	loanersUp                bool
}

// freePort returns an address that is free now, on a loopback address of this process's own, so that no other
// process takes it until the controller listens there.
func freePort() string {
	own := fmt.Sprintf("127.%d.%d.1:0", 64+os.Getpid()/250%100, 1+os.Getpid()%250)
	listener, err := net.Listen("tcp4", own)
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func listen() (net.Listener, string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener, listener.Addr().String()
}

func newPlatform(rec *record, program string, o options) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, dir: dir, program: program, state: newState(rec, o.limits), zones: o.zones,
		lease: time.Duration(o.leaseS * float64(time.Second)), reportS: o.reportS, cancelS: o.cancelS,
		specs: map[string]*job{}, done: map[string]bool{}, progress: map[string]time.Duration{}, on: map[string][]presence{},
		starts: map[string]int{}, told: map[string]time.Time{}}
	p.cloud = &cloud{p: p, rec: rec, rate: bucket{o.cloudRPS, 2 * o.cloudRPS, time.Now()}, types: []machineType{o.hull}, capacity: o.capacity,
		machines: map[string]*machine{}, charters: map[string][]string{}, lag: time.Duration(o.listLagS * float64(time.Second))}
	stateListener, stateAddr := listen()
	cloudListener, cloudAddr := listen()
	go p.state.serve(stateListener)
	go p.cloud.serve(cloudListener)
	for i := range 3 {
		p.nodes = append(p.nodes, &node{name: fmt.Sprintf("lifthand-%d", i), zone: o.zones[i%len(o.zones)], public: freePort(), peer: freePort()})
	}
	for _, n := range p.nodes {
		n.config = filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(n.config, []byte(p.settings(n, o, stateAddr, cloudAddr)), 0o600); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// settings returns the settings file of a controller in the form of DEPLOY.
func (p *platform) settings(n *node, o options, state, cloud string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nzone = %q\npublic_addr = %q\npeer_listen = %q\n", n.name, n.zone, n.public, n.peer)
	for _, other := range p.nodes {
		if other != n {
			fmt.Fprintf(&b, "\n[[known]]\nnode_name = %q\nzone = %q\naddress = %q\n", other.name, other.zone, other.peer)
		}
	}
	fmt.Fprintf(&b, "\n[external]\ncloud = %q\nstate = %q\n", cloud, state)
	zones, _ := json.Marshal(o.zones)
	fmt.Fprintf(&b, "\n[deployment]\nnodes = %d\nzones = %s\nclock_off_ms = %.1f\n", len(p.nodes), zones, o.clockOffMs)
	for _, team := range o.teams {
		fmt.Fprintf(&b, "\n[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n", team)
	}
	for _, aim := range o.objectives {
		fmt.Fprintf(&b, "\n[[deployment.objectives]]\n%s\n", aim)
	}
	fmt.Fprintf(&b, "\n[deployment.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s = %.2f\n", o.reportS, o.leaseS, o.cancelS)
	fmt.Fprintf(&b, "\n[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n", o.limits.rps, o.limits.writeRPS, o.limits.valueKB, o.limits.txnOps)
	if o.next != nil {
		fmt.Fprintf(&b, "\n[deployment.state.next]\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n", o.next.writeRPS, o.next.valueKB, o.next.txnOps)
	}
	fmt.Fprintf(&b, "\n[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", o.cloudRPS, o.listLagS)
	fmt.Fprintf(&b, "\n[deployment.resources]\ncpu = %.3f\nmem_mb = %.1f\nmax_connections = %d\n", o.cpu, o.memMB, o.sockets)
	return b.String()
}

func (p *platform) nodeIndex(name string) int {
	for i, n := range p.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// startNode starts a controller's process.
func (p *platform) startNode(n *node) error {
	logFile, err := os.OpenFile(filepath.Join(p.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	started := make(chan error)
	n.exited = make(chan struct{})
	exited := n.exited
	go func() {
		runtime.LockOSThread() // the process is killed when the thread that started it ends
		cmd := exec.Command(p.program, "--config", n.config)
		level := os.Getenv("REVIEW_LOG")
		if level == "" {
			level = "info"
		}
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
		cmd.Stderr = logFile
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		n.cmd = cmd
		started <- err
		if err == nil {
			_ = cmd.Wait()
			p.rec.log("%s ended", n.name)
		}
		_ = logFile.Close()
		close(exited)
	}()
	err = <-started
	p.rec.log("%s started", n.name)
	return err
}

// kill ends a controller's process without a signal that it could handle, and waits until it is gone.
func (p *platform) kill(n *node) {
	p.rec.say("kill -9 %s", n.name)
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// start starts the controllers and waits until all of them are ready.
func (p *platform) start() error {
	for _, n := range p.nodes {
		if err := p.startNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range p.nodes {
		for !p.ready(n) {
			if time.Now().After(deadline) {
				return errors.New("controllers are not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (p *platform) ready(n *node) bool {
	status, _ := p.request(n, http.MethodGet, "/ready", nil, time.Second)
	return status == 200
}

// stop ends all processes that were started.
func (p *platform) stop() {
	for _, n := range p.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("kept", p.dir)
	}
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}

// request sends one request of a user to a controller. Status 0: no answer.
func (p *platform) request(n *node, method, path string, body []byte, timeout time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+n.public+path, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := userClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	var answer map[string]any
	_ = json.Unmarshal(raw, &answer)
	return response.StatusCode, answer
}

// submit uploads a job's description and submits it until it is accepted or refused, for up to 60 s.
func (p *platform) submit(n *node, j *job) error {
	p.mu.Lock()
	p.specs[j.ID] = j
	p.mu.Unlock()
	raw, _ := json.Marshal(j)
	deadline := time.Now().Add(60 * time.Second)
	for try := 0; ; try++ {
		status, answer := p.request(n, http.MethodPost, "/v2/runs", raw, 5*time.Second)
		if !strings.HasPrefix(j.Class, "quiet") || status != 201 {
			p.rec.log("user: submit %s (%d tasks, %d awaited) to %s: %d %v", j.ID, j.Shards, len(j.Awaits), n.name, status, answer)
		}
		switch {
		case status == 200 || status == 201:
			return nil
		case status == 400 || status == 422:
			return fmt.Errorf("submission of %s refused: %d %v", j.ID, status, answer)
		case time.Now().After(deadline):
			return fmt.Errorf("submission of %s not accepted", j.ID)
		}
		time.Sleep(time.Second)
		n = p.nodes[(p.nodeIndex(n.name)+1)%len(p.nodes)]
	}
}

// poll asks for a job's state. It returns "" if there is no answer, or another than 200.
func (p *platform) poll(n *node, id string) (status string, done, running int) {
	code, answer := p.request(n, http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	if code != 200 {
		return "", code, 0
	}
	status, _ = answer["status"].(string)
	d, _ := answer["done"].(float64)
	r, _ := answer["running"].(float64)
	return status, int(d), int(r)
}

// await polls until a job has a status.
func (p *platform) await(id, want string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := 0; ; i++ {
		status, done, running := p.poll(p.nodes[i%len(p.nodes)], id)
		if status == want {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is %q (done %d, running %d), not %s, after %v", id, status, done, running, want, within)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// cancel repeats a cancellation until it is answered with 200.
func (p *platform) cancel(nodes []*node, id string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := 0; ; i++ {
		n := nodes[i%len(nodes)]
		code, answer := p.request(n, http.MethodPost, "/v2/runs/"+id+"/cancel", nil, 5*time.Second)
		p.rec.say("user: cancel %s at %s: %d %v", id, n.name, code, answer)
		if code == 200 {
			if answer["status"] == "cancelled" {
				p.mu.Lock()
				p.told[id] = time.Now()
				p.mu.Unlock()
			}
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("cancellation of %s not answered", id)
		}
		time.Sleep(time.Second)
	}
}

func (p *platform) spec(id string) job {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.specs[id]; j != nil {
		return *j
	}
	return job{}
}

func (p *platform) taskDone(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done[task]
}

func (p *platform) complete(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done[task] = true
}

// runLeft returns how long a task still has to run.
func (p *platform) runLeft(task string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	return p.specs[id].run - p.progress[task]
}

func (p *platform) save(task string, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progress[task] += ran
}

// started notes that a task has begun to run on a machine, and checks the rules on starts.
func (p *platform) started(m *machine, t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, _, _ := strings.Cut(t.name, "/")
	p.starts[id]++
	if spec := p.specs[id]; !strings.HasPrefix(spec.Class, "quiet") {
		p.rec.log("%s runs %s try %d", m.name, t.name, t.try)
	}
	for _, other := range p.on[t.name] {
		p.breakRule("ran_twice: %s try %d starts on %s while try %d is on %s, since %.3f s", t.name, t.try, m.name, other.try, other.machine, time.Since(other.from).Seconds())
	}
	for _, needed := range p.specs[id].Awaits {
		for i := range p.specs[needed].Shards {
			if !p.done[fmt.Sprintf("%s/%d", needed, i)] {
				p.breakRule("too_early: %s starts before %s is done", t.name, needed)
				break
			}
		}
	}
	p.checkPlace(m, p.specs[id], t)
	p.on[t.name] = append(p.on[t.name], presence{m.name, t.try, time.Now(), m.berth})
}

// checkPlace checks wrong_place. The caller holds the mutex.
func (p *platform) checkPlace(m *machine, spec *job, t *task) {
	if spec.Berth != nil && *spec.Berth != m.berth || m.loaner && !spec.Loaners {
		p.breakRule("wrong_place: %s starts on %s in %s (loaner %v)", t.name, m.name, m.berth, m.loaner)
	}
	inZone, elsewhere := 1, 0
	for i := range spec.Shards {
		name := fmt.Sprintf("%s/%d", spec.ID, i)
		for _, place := range p.on[name] {
			if place.berth == m.berth && name != t.name {
				inZone++
			} else if place.berth != m.berth {
				elsewhere++
			}
		}
	}
	if spec.Together && elsewhere > 0 || spec.Scatter && inZone > (spec.Shards+1)/2 {
		p.breakRule("wrong_place: %s starts in %s with %d there and %d elsewhere (together %v, scatter %v)", t.name, m.berth, inZone, elsewhere, spec.Together, spec.Scatter)
	}
}

// left notes that a task is no longer on a machine.
func (p *platform) left(m *machine, t *task, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, _, _ := strings.Cut(t.name, "/")
	if spec := p.specs[id]; !strings.HasPrefix(spec.Class, "quiet") {
		p.rec.log("%s: %s try %d ends: %s", m.name, t.name, t.try, why)
	}
	kept := p.on[t.name][:0]
	for _, other := range p.on[t.name] {
		if other.machine != m.name || other.try != t.try {
			kept = append(kept, other)
		}
	}
	p.on[t.name] = kept
}

// breakRule notes a broken rule. The caller holds the mutex.
func (p *platform) breakRule(format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
	p.rec.say("RULE BROKEN "+format, args...)
}

// checkCancelled checks ran_cancelled for all jobs whose users were told.
func (p *platform) checkCancelled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for task, places := range p.on {
		id, _, _ := strings.Cut(task, "/")
		at, ok := p.told[id]
		if late := time.Since(at).Seconds() - p.cancelS; ok && len(places) > 0 && late > 0 {
			p.breakRule("ran_cancelled: %s is on %s %.1f s after its user was told, %.1f s more than cancel_s", task, places[0].machine, time.Since(at).Seconds(), late)
			delete(p.told, id)
		}
	}
}

// where returns the machines that run tasks of a job, with the number of tasks.
func (p *platform) where(id string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := map[string]int{}
	for task, places := range p.on {
		if strings.HasPrefix(task, id+"/") {
			for _, place := range places {
				found[place.machine]++
			}
		}
	}
	return found
}

// owner returns the controller that owns a team's part of the work, by the records' key of that part, and
// whether it is known. Only the choice of the process to end depends on it, no verdict.
func (p *platform) owner(part int) (*node, bool) {
	var record struct {
		Name string `json:"n"`
	}
	if json.Unmarshal(p.state.value(fmt.Sprintf("dykeledge/share/%d", part)), &record) != nil {
		return nil, false
	}
	if i := p.nodeIndex(record.Name); i >= 0 {
		return p.nodes[i], true
	}
	return nil, false
}

func (p *platform) verdict() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.broken) > 0 {
		p.rec.say("verdict: broken, %d times", len(p.broken))
		return 1
	}
	p.rec.say("verdict: held")
	return 0
}
