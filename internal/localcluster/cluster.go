// Package localcluster runs a cluster on one machine: the controllers as real processes, and
// around them, in this process, the state service, the cloud, the workers and the load
// balancer, which are the stand-ins of the tests in real time over HTTP on loopback ports.
package localcluster

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
	"dykeledge/internal/simulator"
)

// Options say what cluster to run.
type Options struct {
	Program  string // the controller
	Features string // its features file, "" for none
	Machines int    // that can be rented in all
	Up       int    // of these, up at the start
	Seed     uint64
	Speed    float64 // how many times as fast as stated machines come up, fetch and work
	Dir      string  // for settings and logs
	Faults   *Schedule
	Log      *slog.Logger

	// Deployment is what is played; the zero value stands for Settings().
	Deployment config.Deployment
	// Catalog is what the cloud rents; without types it stands for Catalog of the deployment's zones.
	Catalog protocol.Catalog
	// Addresses tells where things listen; its fields may be nil.
	Addresses Addresses
	// Delay, if set, is how long a message takes between two zones.
	Delay func(from, to string) time.Duration
	// SharedTicker is for some hundred workers and more: see simulator.World.
	SharedTicker bool
}

// Addresses tells where things of a cluster listen, all of them on loopback. What is nil gets ports from the system.
type Addresses struct {
	Worker     func(number int) string
	Controller func(i int) (public, peer string)
}

// ControllerMeters count what passes between one controller and what is around it.
type ControllerMeters struct {
	State, Cloud, Peers simulator.Meter // Peers: of connections that this controller has opened
	Requests            *simulator.StateRequests
}

// Cluster is a running cluster.
type Cluster struct {
	Simulation   *simulator.Simulation
	Users        string   // the load balancer
	Uploads      string   // where descriptions of jobs are put
	Controllers  []string // the controllers' peer_listen
	Dir          string
	Meters       []*ControllerMeters // by controller
	LoadBalancer simulator.Meter     // users' connections to the load balancer

	public    []string // the controllers' public_addr
	processes []*process
	ports     *simulator.WorkerPorts
	files     []*os.File
	listeners []net.Listener
	all       sync.WaitGroup
	cancel    context.CancelFunc
}

// Settings is the deployment that the emulator plays.
func Settings() config.Deployment {
	return config.Deployment{Controllers: 3, Zones: []string{"a", "b", "c"}, ClockSkewMs: 50,
		Teams:     []config.Team{{Name: "red", Cpus: 64, CpusMax: 256}, {Name: "blue", Cpus: 64, Gpus: 4}, {Name: "green", Cpus: 16}, {Name: "guest"}},
		Workers:   config.Workers{HeartbeatS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 4, CancelS: 45},
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

func (c *Cluster) start(ctx context.Context, options Options) error {
	if len(options.Deployment.Zones) == 0 {
		options.Deployment = Settings()
	}
	if len(options.Catalog.Types) == 0 {
		options.Catalog = Catalog(options.Deployment.Zones)
	}
	if options.Faults != nil {
		if err := options.Faults.fits(&options.Deployment); err != nil {
			return err
		}
	}
	c.startSimulation(ctx, &options)
	release, err := c.chooseAddresses(&options)
	if err != nil {
		return err
	}
	files, err := c.startAround(ctx, &options)
	release() // as late as can be: a controller listens there next, and starts again if it finds a port taken
	if err != nil {
		return err
	}
	if err := c.startControllers(ctx, &options, files); err != nil {
		return err
	}
	for i := range options.Up {
		c.Simulation.AddMachine(options.Deployment.Zones[i%len(options.Deployment.Zones)], true)
	}
	if options.Faults != nil {
		c.all.Go(func() { options.Faults.play(ctx, c, options.Log) })
	}
	return nil
}

// startSimulation makes the state service, the cloud and the workers' ports.
func (c *Cluster) startSimulation(ctx context.Context, options *Options) {
	deployment := &options.Deployment
	sim := simulator.NewSimulation(ctx, &config.Settings{Deployment: *deployment}, options.Seed)
	sim.Catalog, sim.CapacityOf, sim.Speed, sim.Log, sim.Delay = options.Catalog, options.Machines, options.Speed, options.Log, options.Delay
	sim.LateBoots, sim.NeverBoots = lateBoots, neverBoots
	sim.Store.Limit(deployment.State.RPS, deployment.State.WriteRPS)
	sim.Store.MaxValue, sim.Store.MaxOps = int(deployment.State.ValueKB*1024), deployment.State.TxnOps
	sim.LimitCloud(deployment.Cloud.RPS)
	workerAddress := options.Addresses.Worker
	if workerAddress == nil {
		workerAddress = simulator.AnyPort
	}
	c.Simulation, c.ports = sim, sim.ServeWorkers(workerAddress)
	if options.SharedTicker {
		sim.SharedTicker = true
		c.all.Go(sim.RunTicker)
	}
}

// chooseAddresses chooses where the controllers will listen. Ports that the system chose are held until release.
func (c *Cluster) chooseAddresses(options *Options) (release func(), err error) {
	n := options.Deployment.Controllers
	c.public, c.Controllers = make([]string, n), make([]string, n)
	var held []net.Listener
	release = func() {
		for _, ln := range held {
			_ = ln.Close() // nobody was served
		}
	}
	for i := range n {
		if options.Addresses.Controller != nil {
			c.public[i], c.Controllers[i] = options.Addresses.Controller(i)
			continue
		}
		for _, address := range []*string{&c.public[i], &c.Controllers[i]} {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				release()
				return nil, err
			}
			held = append(held, ln)
			*address = ln.Addr().String()
		}
	}
	return release, nil
}

// startAround starts what is around the controllers, and writes their settings files.
func (c *Cluster) startAround(ctx context.Context, options *Options) (files []string, err error) {
	front := simulator.NewLoadBalancer()
	zones := options.Deployment.Zones
	for i := range options.Deployment.Controllers {
		n := c.Simulation.Connect(i, fmt.Sprintf("n%d", i+1), zones[i%len(zones)], c.public[i])
		front.AddController(n, c.public[i])
		c.Meters = append(c.Meters, &ControllerMeters{})
	}
	for i := range options.Deployment.Controllers {
		settings, err := c.settings(i, options)
		if err != nil {
			return nil, err
		}
		raw, err := toml.Marshal(settings)
		if err != nil {
			return nil, err
		}
		file := filepath.Join(options.Dir, settings.MemberName+".toml")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	if c.Users, err = c.serve(&c.LoadBalancer, front.Serve); err != nil {
		return nil, err
	}
	if c.Uploads, err = c.serve(nil, c.Simulation.ServeUploads); err != nil {
		return nil, err
	}
	front.Run(ctx)
	return files, nil
}

// settings starts what one controller calls, and returns its settings.
func (c *Cluster) settings(i int, options *Options) (*config.Settings, error) {
	sim, process, meters := c.Simulation, c.Simulation.Controller(i), c.Meters[i]
	configSettings := &config.Settings{MemberName: process.Name, Zone: process.Zone, PublicAddr: c.public[i], PeerListen: c.Controllers[i], Deployment: options.Deployment}
	link := sim.Store.Open(process)
	meters.Requests = &link.Requests
	var err error
	if configSettings.External.State, err = c.serve(&meters.State, func(ln net.Listener) error { return simulator.ServeState(link, ln) }); err != nil {
		return nil, err
	}
	if configSettings.External.Cloud, err = c.serve(&meters.Cloud, func(ln net.Listener) error { return sim.ServeCloud(process, ln) }); err != nil {
		return nil, err
	}
	for k := range options.Deployment.Controllers {
		if k == i {
			continue
		}
		other := sim.Controller(k)
		way := simulator.Direction{Meter: &meters.Peers, Held: func() bool {
			return process.IsCut(simulator.NoPeers) || other.IsCut(simulator.NoPeers) || sim.ZonesPartitioned(process.Zone, other.Zone)
		}}
		if options.Delay != nil {
			way.Delay = func() time.Duration { return options.Delay(process.Zone, other.Zone) }
		}
		address, err := c.serve(nil, func(ln net.Listener) error { return simulator.Relay(ln, c.Controllers[k], way) })
		if err != nil {
			return nil, err
		}
		configSettings.Known = append(configSettings.Known, config.Peer{MemberName: other.Name, Zone: other.Zone, Address: address})
	}
	return configSettings, nil
}

// startControllers starts the controllers' processes.
func (c *Cluster) startControllers(ctx context.Context, options *Options, files []string) error {
	for i, file := range files {
		name := c.Simulation.Controller(i).Name
		out, err := os.OpenFile(filepath.Join(options.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return err
		}
		c.files = append(c.files, out)
		p := &process{name: name, program: options.Program, args: []string{"--config", file}, output: out, log: options.Log}
		if options.Features != "" {
			p.args = append(p.args, "--features", options.Features)
		}
		c.processes = append(c.processes, p)
	}
	for _, p := range c.processes {
		c.all.Go(func() {
			runtime.LockOSThread() // a process that ends with its parent does so with the thread that began it
			p.run(ctx)
		})
	}
	return nil
}

// serve serves on a loopback port until the cluster stops; what passes there is counted where there is a meter.
func (c *Cluster) serve(meter *simulator.Meter, f func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if meter != nil {
		ln = meter.Listen(ln)
	}
	c.listeners = append(c.listeners, ln)
	go func() { _ = f(ln) }() // ends with its listener
	return ln.Addr().String(), nil
}

// Ready waits until the load balancer would find a controller that takes requests.
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
	out := make([]int, len(c.processes))
	for i, p := range c.processes {
		out[i] = p.pid()
	}
	return out
}

// Ends is how many times a controller ended that nobody had asked to.
func (c *Cluster) Ends() int {
	n := 0
	for _, p := range c.processes {
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
	for _, ln := range c.listeners {
		_ = ln.Close() // nobody is served any more
	}
	if c.ports != nil {
		_ = c.ports.Close() // likewise
	}
	for _, f := range c.files {
		_ = f.Close() // the processes have ended
	}
}
