// Package emulator runs a cluster on one machine: three controllers as real processes, and
// around them, in this process, the state service, the cloud, the workers and the load
// balancer, which are the stand-ins of the tests in real time over HTTP on loopback ports.
package emulator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/standin"
)

const nodes = 3

// Options say what cluster to run.
type Options struct {
	Program  string // the controller
	Features string // its features file, "" for none
	Machines int    // that can be rented in all
	Seed     uint64
	Speed    float64 // how many times as fast as stated machines come up, fetch and work
	Dir      string  // for settings and logs
	Faults   *Schedule
	Log      *slog.Logger
}

// Cluster is a running cluster.
type Cluster struct {
	World   *standin.World
	Users   string   // the load balancer
	Uploads string   // where descriptions of jobs are put
	Nodes   []string // the controllers' peer_listen
	Dir     string

	procs  []*process
	ports  *standin.WorkerPorts
	files  []*os.File
	lns    []net.Listener
	all    sync.WaitGroup
	cancel context.CancelFunc
}

// Settings is the deployment that the emulator plays.
func Settings() config.Deployment {
	return config.Deployment{Nodes: nodes, Zones: []string{"a", "b", "c"}, ClockOffMs: 50,
		Teams:     []config.Team{{Name: "red", Cpus: 64, CpusMax: 256}, {Name: "blue", Cpus: 64, Gpus: 4}, {Name: "green", Cpus: 16}, {Name: "guest"}},
		Workers:   config.Workers{ReportS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 4, CancelS: 45},
		State:     config.State{RPS: 400, WriteRPS: 200, ValueKB: 64, TxnOps: 16},
		Cloud:     config.Cloud{RPS: 5, ListLagS: 3},
		Resources: config.Resources{CPU: 1, MemMB: 256, MaxConnections: 2000}}
}

// Catalog is what the emulator's cloud rents.
func Catalog(zones []string) protocol.Catalog {
	return protocol.Catalog{Types: []protocol.MachineType{
		{Name: "c8", Cpus: 8, MemGB: 32, CacheGB: 40, FetchGBs: 0.5, Price: 0.4, SpotPrice: 0.14, BootS: 12, Zones: zones},
		{Name: "c32", Cpus: 32, MemGB: 128, CacheGB: 120, FetchGBs: 1, Price: 1.5, SpotPrice: 0.5, BootS: 16, Zones: zones},
		{Name: "g4", Cpus: 32, Gpus: 4, MemGB: 192, CacheGB: 200, FetchGBs: 1, Price: 6, SpotPrice: 2.2, BootS: 25, Zones: zones[:2]},
	}}
}

// Of the machines that are rented, so many come late, and so many never.
const (
	lateBoots  = 0.03
	neverBoots = 0.01
)

// Start starts a cluster. It runs until ctx ends; Stop ends it and waits.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{Dir: o.Dir, cancel: cancel}
	if err := c.start(ctx, o); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, o Options) error {
	d := Settings()
	w := standin.NewWorld(ctx, &config.Settings{Deployment: d}, o.Seed)
	w.Catalog, w.Cap, w.Speed, w.Log = Catalog(d.Zones), o.Machines, o.Speed, o.Log
	w.LateBoots, w.NeverBoots = lateBoots, neverBoots
	w.Store.Limit(d.State.RPS, d.State.WriteRPS)
	w.Store.MaxValue, w.Store.MaxOps = int(d.State.ValueKB*1024), d.State.TxnOps
	w.LimitCloud(d.Cloud.RPS)
	c.World, c.ports = w, w.ServeWorkers()

	public, peer := make([]string, nodes), make([]string, nodes)
	for i := range nodes {
		for _, a := range []*string{&public[i], &peer[i]} {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return err
			}
			*a = ln.Addr().String()
			defer ln.Close() // kept until all ports are known; a controller listens there next
		}
	}
	front := standin.NewFront()
	var files []string
	for i := range nodes {
		n := w.Connect(i, fmt.Sprintf("n%d", i+1), public[i])
		front.AddNode(n, public[i])
	}
	for i := range nodes {
		n := w.Node(i)
		s := config.Settings{NodeName: n.Name, Zone: d.Zones[i], PublicAddr: public[i], PeerListen: peer[i], Deployment: d}
		var err error
		if s.External.State, err = c.serve(func(ln net.Listener) error { return standin.ServeState(w.Store.Open(n), ln) }); err != nil {
			return err
		}
		if s.External.Cloud, err = c.serve(func(ln net.Listener) error { return w.ServeCloud(n, ln) }); err != nil {
			return err
		}
		for k := range nodes {
			if k == i {
				continue
			}
			held := func() bool { return n.IsCut(standin.NoPeers) || w.Node(k).IsCut(standin.NoPeers) }
			addr, err := c.serve(func(ln net.Listener) error { return standin.Relay(ln, peer[k], held) })
			if err != nil {
				return err
			}
			s.Known = append(s.Known, config.Peer{NodeName: w.Node(k).Name, Zone: d.Zones[k], Address: addr})
		}
		raw, err := toml.Marshal(s)
		if err != nil {
			return err
		}
		file := filepath.Join(o.Dir, n.Name+".toml")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
		files = append(files, file)
	}
	var err error
	if c.Users, err = c.serve(front.Serve); err != nil {
		return err
	}
	if c.Uploads, err = c.serve(w.ServeUploads); err != nil {
		return err
	}
	c.Nodes = peer
	front.Run(ctx)
	for i := range nodes {
		name := w.Node(i).Name
		out, err := os.OpenFile(filepath.Join(o.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return err
		}
		c.files = append(c.files, out)
		p := &process{name: name, program: o.Program, args: []string{"--config", files[i]}, output: out, log: o.Log}
		if o.Features != "" {
			p.args = append(p.args, "--features", o.Features)
		}
		c.procs = append(c.procs, p)
	}
	// The ports are given back only now, as late as can be: see the deferred calls. The
	// processes start a moment later and again if they find one taken.
	for _, p := range c.procs {
		c.all.Go(func() {
			runtime.LockOSThread() // a process that ends with its parent does so with the thread that began it
			if sleepUntil(ctx, time.Now().Add(50*time.Millisecond)) {
				p.run(ctx)
			}
		})
	}
	if o.Faults != nil {
		c.all.Go(func() { o.Faults.play(ctx, c, o.Log) })
	}
	return nil
}

// serve serves on a loopback port until the cluster stops.
func (c *Cluster) serve(f func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.lns = append(c.lns, ln)
	go func() { _ = f(ln) }() // ends with its listener
	return ln.Addr().String(), nil
}

// Ready waits until the load balancer would find a node that takes requests.
func (c *Cluster) Ready(ctx context.Context, ask func(addr string) bool) error {
	for !ask(c.Users) {
		if !sleepUntil(ctx, time.Now().Add(200*time.Millisecond)) {
			return errors.New("no controller became ready: see the logs in " + c.Dir)
		}
	}
	return nil
}

// Pids are the controllers' processes, 0 for one that does not run now.
func (c *Cluster) Pids() []int {
	out := make([]int, len(c.procs))
	for i, p := range c.procs {
		out[i] = p.pid()
	}
	return out
}

// Ends is how many times a controller ended that nobody had asked to.
func (c *Cluster) Ends() int {
	n := 0
	for _, p := range c.procs {
		p.mu.Lock()
		n += p.Ends
		p.mu.Unlock()
	}
	return n
}

// Stop ends all that was started and waits for it.
func (c *Cluster) Stop() {
	c.cancel()
	c.all.Wait()
	for _, ln := range c.lns {
		_ = ln.Close() // nobody is served any more
	}
	if c.ports != nil {
		_ = c.ports.Close() // likewise
	}
	for _, f := range c.files {
		_ = f.Close() // the processes have ended
	}
}
