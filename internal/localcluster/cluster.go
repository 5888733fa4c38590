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
	"dykeledge/internal/wait"
)

// Options say what cluster to run.
type Options struct {
	Program  string       // the controller
	Features string       // its features file, "" for none
	Machines int          // that can be rented in all
	Up       int          // of these, up at the start
	Seed     uint64       // of the machines' boot times, prices and faults
	Speed    float64      // how many times as fast as stated machines come up, fetch and work
	Dir      string       // for settings and logs
	Faults   *Schedule    // nil: none
	Log      *slog.Logger // of faults and of controllers' ends

	// Deployment is what is played; the zero value stands for Settings().
	Deployment config.Deployment
	// Catalog is what the cloud rents; without types it stands for Catalog of the deployment's zones.
	Catalog protocol.Catalog
	// Addresses tells where things listen; its fields may be nil.
	Addresses Addresses
	// Delay, if set, is how long a message takes between two zones.
	Delay func(from, to string) time.Duration
	// SharedTicker is for some hundred workers and more: see simulator.Simulation.
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
	all       sync.WaitGroup // ends with the context
	servers   sync.WaitGroup // end with their listeners
	cancel    context.CancelFunc
}

// Settings returns the deployment that a local cluster plays unless Options name another.
func Settings() config.Deployment {
	return config.Deployment{Controllers: 3, Zones: []string{"a", "b", "c"}, ClockSkewMs: 50,
		Teams:     []config.Team{{Name: "red", Cpus: 64, CpusMax: 256}, {Name: "blue", Cpus: 64, Gpus: 4}, {Name: "green", Cpus: 16}, {Name: "guest"}},
		Workers:   config.Workers{HeartbeatS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 4, CancelS: 45},
		State:     config.State{RPS: 400, WriteRPS: 200, ValueKB: 64, TxnOps: 16},
		Cloud:     config.Cloud{RPS: 5, ListLagS: 3},
		Resources: config.Resources{CPU: 1, MemMB: 256, MaxConnections: 2000}}
}

// Catalog returns what the cloud of a local cluster rents unless Options name another.
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

// readyAskedEvery is the time between two questions whether the cluster takes requests.
const readyAskedEvery = 200 * time.Millisecond

// Start starts a cluster, which runs until ctx ends or Stop is called; Stop must be called in any case.
// An error says what could not be started; then nothing runs.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	cluster := &Cluster{Dir: options.Dir, cancel: cancel}
	if err := cluster.start(ctx, options); err != nil {
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
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
	release, err := c.chooseAddresses(ctx, &options)
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
	simulation := simulator.NewSimulation(ctx, &config.Settings{Deployment: *deployment}, options.Seed)
	simulation.Catalog, simulation.CapacityOf, simulation.Speed, simulation.Log, simulation.Delay = options.Catalog, options.Machines, options.Speed, options.Log, options.Delay
	simulation.LateBoots, simulation.NeverBoots = lateBoots, neverBoots
	simulation.Store.Limit(deployment.State.RPS, deployment.State.WriteRPS)
	simulation.Store.MaxValue, simulation.Store.MaxOps = int(deployment.State.ValueKB*1024), deployment.State.TxnOps
	simulation.LimitCloud(deployment.Cloud.RPS)
	workerAddress := options.Addresses.Worker
	if workerAddress == nil {
		workerAddress = simulator.AnyPort
	}
	c.Simulation, c.ports = simulation, simulation.ServeWorkers(workerAddress)
	if options.SharedTicker {
		simulation.SharedTicker = true
		c.all.Go(simulation.RunTicker)
	}
}

// chooseAddresses chooses where the controllers will listen. Ports that the system chose are held until release.
func (c *Cluster) chooseAddresses(ctx context.Context, options *Options) (release func(), err error) {
	count := options.Deployment.Controllers
	c.public, c.Controllers = make([]string, count), make([]string, count)
	var held []net.Listener
	release = func() {
		for _, ln := range held {
			_ = ln.Close() // nobody was served
		}
	}
	for i := range count {
		if options.Addresses.Controller != nil {
			c.public[i], c.Controllers[i] = options.Addresses.Controller(i)
			continue
		}
		for _, address := range []*string{&c.public[i], &c.Controllers[i]} {
			ln, err := listenOnLoopback(ctx)
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
	loadBalancer := simulator.NewLoadBalancer()
	zones := options.Deployment.Zones
	for i := range options.Deployment.Controllers {
		controller := c.Simulation.Connect(i, fmt.Sprintf("n%d", i+1), zones[i%len(zones)], c.public[i])
		loadBalancer.AddController(controller, c.public[i])
		c.Meters = append(c.Meters, &ControllerMeters{})
	}
	for i := range options.Deployment.Controllers {
		settings, err := c.startServices(ctx, i, options)
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
	if c.Users, err = c.serve(ctx, &c.LoadBalancer, loadBalancer.Serve); err != nil {
		return nil, err
	}
	if c.Uploads, err = c.serve(ctx, nil, c.Simulation.ServeUploads); err != nil {
		return nil, err
	}
	loadBalancer.Run(ctx)
	return files, nil
}

// startServices starts what one controller calls, and returns the controller's settings.
func (c *Cluster) startServices(ctx context.Context, index int, options *Options) (*config.Settings, error) {
	simulation, process, meters := c.Simulation, c.Simulation.Controller(index), c.Meters[index]
	settings := &config.Settings{MemberName: process.Name, Zone: process.Zone, PublicAddr: c.public[index], PeerListen: c.Controllers[index], Deployment: options.Deployment}
	link := simulation.Store.Open(process)
	meters.Requests = &link.Requests
	var err error
	if settings.External.State, err = c.serve(ctx, &meters.State, func(ln net.Listener) error { return simulator.ServeState(link, ln) }); err != nil {
		return nil, err
	}
	if settings.External.Cloud, err = c.serve(ctx, &meters.Cloud, func(ln net.Listener) error { return simulation.ServeCloud(process, ln) }); err != nil {
		return nil, err
	}
	for otherIndex := range options.Deployment.Controllers {
		if otherIndex == index {
			continue
		}
		other := simulation.Controller(otherIndex)
		way := simulator.Direction{Meter: &meters.Peers, Held: func() bool {
			return process.IsCut(simulator.NoPeers) || other.IsCut(simulator.NoPeers) || simulation.ZonesPartitioned(process.Zone, other.Zone)
		}}
		if options.Delay != nil {
			way.Delay = func() time.Duration { return options.Delay(process.Zone, other.Zone) }
		}
		address, err := c.serve(ctx, nil, func(ln net.Listener) error { return simulator.Relay(ln, c.Controllers[otherIndex], way) })
		if err != nil {
			return nil, err
		}
		settings.Known = append(settings.Known, config.Peer{MemberName: other.Name, Zone: other.Zone, Address: address})
	}
	return settings, nil
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
		controller := &process{name: name, program: options.Program, args: []string{"--config", file}, output: out, log: options.Log}
		if options.Features != "" {
			controller.args = append(controller.args, "--features", options.Features)
		}
		c.processes = append(c.processes, controller)
	}
	for _, controller := range c.processes {
		c.all.Go(func() {
			runtime.LockOSThread() // a process that ends with its parent does so with the thread that began it
			controller.run(ctx)
		})
	}
	return nil
}

// serve serves on a loopback port until the cluster stops; what passes there is counted where there is a meter.
func (c *Cluster) serve(ctx context.Context, meter *simulator.Meter, serve func(net.Listener) error) (string, error) {
	ln, err := listenOnLoopback(ctx)
	if err != nil {
		return "", err
	}
	if meter != nil {
		ln = meter.Listen(ln)
	}
	c.listeners = append(c.listeners, ln)
	c.servers.Go(func() { _ = serve(ln) }) // it ends as its listener is closed, and says so
	return ln.Addr().String(), nil
}

// listenOnLoopback listens on a loopback port that the system chooses.
func listenOnLoopback(ctx context.Context) (net.Listener, error) {
	var listenConfig net.ListenConfig
	return listenConfig.Listen(ctx, "tcp4", "127.0.0.1:0")
}

// Ready waits until the load balancer finds a controller that takes requests, as ask tells of an address.
// An error says that ctx has ended before.
func (c *Cluster) Ready(ctx context.Context, ask func(addr string) bool) error {
	for !ask(c.Users) {
		if !wait.For(ctx, readyAskedEvery) {
			return errors.New("no controller became ready: see the logs in " + c.Dir)
		}
	}
	return nil
}

// Pids returns the ids of the controllers' processes, 0 for one that does not run now. It may be called
// by any goroutine.
func (c *Cluster) Pids() []int {
	out := make([]int, len(c.processes))
	for i, p := range c.processes {
		out[i] = p.pid()
	}
	return out
}

// Ends returns how many times a controller ended that nobody had asked to. It may be called by any goroutine.
func (c *Cluster) Ends() int {
	n := 0
	for _, p := range c.processes {
		p.mu.Lock()
		n += p.unasked
		p.mu.Unlock()
	}
	return n
}

// Stop ends all that was started and waits for it. It is called once.
func (c *Cluster) Stop() {
	c.cancel()
	c.all.Wait()
	for _, ln := range c.listeners {
		_ = ln.Close() // nobody is served any more
	}
	c.servers.Wait()
	if c.ports != nil {
		_ = c.ports.Close() // likewise
	}
	for _, f := range c.files {
		_ = f.Close() // the processes have ended
	}
}
