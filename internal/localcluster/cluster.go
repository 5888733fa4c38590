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

// Options configure a local cluster.
type Options struct {
	Program         string       // path of the controller program
	Features        string       // path of the controllers' features file; empty: none
	Machines        int          // number of machines that the cloud can rent out
	MachinesAtStart int          // number of machines that run at the start
	Seed            uint64       // seed for boot times, prices and faults of the machines
	Speed           float64      // factor by which machines boot, fetch images and run tasks faster than stated
	Dir             string       // directory for settings files and logs
	Faults          *Schedule    // faults to inject; nil: none
	Log             *slog.Logger // receives faults and exits of controller processes

	// Deployment holds the settings of the deployment. If it has no zones, Settings() is used.
	Deployment config.Deployment
	// Catalog lists the machine types that the cloud rents out. If it is empty, Catalog(zones) is used.
	Catalog protocol.Catalog
	// Addresses chooses listen addresses; its fields may be nil.
	Addresses Addresses
	// Delay, if not nil, returns the one-way delay of a message between two zones.
	Delay func(from, to string) time.Duration
	// SharedTicker makes all workers share one ticker, see simulator.Simulation. It is meant for several hundred
	// workers and more.
	SharedTicker bool
}

// Addresses chooses the loopback addresses that workers and controllers listen on. Where a field is nil, the system
// chooses the ports.
type Addresses struct {
	Worker     func(number int) string
	Controller func(i int) (public, peer string)
}

// ControllerMeters count the traffic between one controller and the services and peers around it.
type ControllerMeters struct {
	State, Cloud, Peers simulator.Meter // Peers counts the connections that this controller opened
	Requests            *simulator.StateRequests
}

// Cluster is a running local cluster.
type Cluster struct {
	Simulation    *simulator.Simulation
	UsersAddress  string              // address of the load balancer
	UploadAddress string              // address that job descriptions are uploaded to
	Controllers   []string            // peer_listen of each controller
	Dir           string              // directory of settings files and logs
	Meters        []*ControllerMeters // one per controller
	LoadBalancer  simulator.Meter     // counts users' connections to the load balancer

	publicAddresses []string // public_addr of each controller
	processes       []*process
	workerPorts     *simulator.WorkerPorts
	logFiles        []*os.File // log files of the controllers
	listeners       []net.Listener
	background      sync.WaitGroup // goroutines that end with the context
	serverGroup     sync.WaitGroup // goroutines that end when their listeners are closed
	cancel          context.CancelFunc
}

// Settings returns the deployment of a local cluster whose Options name none.
func Settings() config.Deployment {
	return config.Deployment{Controllers: 3, Zones: []string{"a", "b", "c"}, ClockSkewMs: 50,
		Teams:     []config.Team{{Name: "red", Cpus: 64, CpusMax: 256}, {Name: "blue", Cpus: 64, Gpus: 4}, {Name: "green", Cpus: 16}, {Name: "guest"}},
		Workers:   config.Workers{HeartbeatS: 2, LeaseS: 20, GangWaitS: 30, GangPeerS: 4, CancelS: 45},
		State:     config.State{RPS: 400, WriteRPS: 200, ValueKB: 64, TxnOps: 16},
		Cloud:     config.Cloud{RPS: 5, ListLagS: 3},
		Resources: config.Resources{CPU: 1, MemMB: 256, MaxConnections: 2000}}
}

// Catalog returns the machine types of a local cluster whose Options name none.
func Catalog(zones []string) protocol.Catalog {
	return protocol.Catalog{Types: []protocol.MachineType{
		{Name: "c8", Cpus: 8, MemGB: 32, CacheGB: 40, FetchGBs: 0.5, Price: 0.4, SpotPrice: 0.14, BootS: 12, Zones: zones},
		{Name: "c32", Cpus: 32, MemGB: 128, CacheGB: 120, FetchGBs: 1, Price: 1.5, SpotPrice: 0.5, BootS: 16, Zones: zones},
		{Name: "g4", Cpus: 32, Gpus: 4, MemGB: 192, CacheGB: 200, FetchGBs: 1, Price: 6, SpotPrice: 2.2, BootS: 25, Zones: zones[:2]},
	}}
}

// Boot faults of rented machines.
const (
	lateBootFraction  = 0.03 // fraction of the machines that boot late
	neverBootFraction = 0.01 // fraction of the machines that never boot
)

// readyPollInterval is the interval between readiness checks of the load balancer.
const readyPollInterval = 200 * time.Millisecond

// Start starts a cluster, which runs until ctx ends or Stop is called. The caller must call Stop in both cases. If
// Start returns an error, it has stopped everything that it had started.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	cluster := &Cluster{Dir: options.Dir, cancel: cancel}
	if err := cluster.start(ctx, options); err != nil {
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
}

// start starts the servers, controllers and machines of the cluster. After an error the caller must call Stop.
func (c *Cluster) start(ctx context.Context, options Options) error {
	if len(options.Deployment.Zones) == 0 {
		options.Deployment = Settings()
	}
	if len(options.Catalog.Types) == 0 {
		options.Catalog = Catalog(options.Deployment.Zones)
	}
	if options.Faults != nil {
		if err := options.Faults.validateFor(&options.Deployment); err != nil {
			return err
		}
	}
	c.startSimulation(ctx, &options)
	release, err := c.chooseAddresses(ctx, &options)
	if err != nil {
		return err
	}
	files, err := c.startServers(ctx, &options)
	// The ports are released just before the controllers start and listen on them. A controller that finds its port in
	// use exits and is restarted.
	release()
	if err != nil {
		return err
	}
	if err := c.startControllers(ctx, &options, files); err != nil {
		return err
	}
	for i := range options.MachinesAtStart {
		c.Simulation.AddMachine(options.Deployment.Zones[i%len(options.Deployment.Zones)], true)
	}
	if options.Faults != nil {
		c.background.Go(func() { options.Faults.run(ctx, c, options.Log) })
	}
	return nil
}

// startSimulation creates the simulated state service, cloud and workers, and lets each
// worker listen on a loopback port.
func (c *Cluster) startSimulation(ctx context.Context, options *Options) {
	deployment := &options.Deployment
	simulation := simulator.NewSimulation(ctx, &config.Settings{Deployment: *deployment}, options.Seed)
	simulation.Catalog, simulation.Capacity, simulation.Speed, simulation.Log, simulation.ZoneDelay = options.Catalog, options.Machines, options.Speed, options.Log, options.Delay
	simulation.LateBootFraction, simulation.NeverBootFraction = lateBootFraction, neverBootFraction
	simulation.Store.LimitRates(deployment.State.RPS, deployment.State.WriteRPS)
	simulation.Store.MaxValueBytes, simulation.Store.MaxChanges = int(deployment.State.ValueKB*1024), deployment.State.TxnOps
	simulation.LimitCloud(deployment.Cloud.RPS)
	workerAddress := options.Addresses.Worker
	if workerAddress == nil {
		workerAddress = simulator.AnyPort
	}
	c.Simulation, c.workerPorts = simulation, simulation.ServeWorkers(workerAddress)
	if options.SharedTicker {
		simulation.SharedTicker = true
		c.background.Go(simulation.RunTicker)
	}
}

// chooseAddresses chooses the listen addresses of the controllers. Ports that the system chose stay reserved by a
// listener until release is called.
func (c *Cluster) chooseAddresses(ctx context.Context, options *Options) (release func(), err error) {
	count := options.Deployment.Controllers
	c.publicAddresses, c.Controllers = make([]string, count), make([]string, count)
	var held []net.Listener
	release = func() {
		for _, ln := range held {
			_ = ln.Close() // it accepted no connections
		}
	}
	for i := range count {
		if options.Addresses.Controller != nil {
			c.publicAddresses[i], c.Controllers[i] = options.Addresses.Controller(i)
			continue
		}
		for _, address := range []*string{&c.publicAddresses[i], &c.Controllers[i]} {
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

// startServers starts the services, the load balancer and the upload server, and writes the controllers' settings files.
func (c *Cluster) startServers(ctx context.Context, options *Options) (files []string, err error) {
	loadBalancer := simulator.NewLoadBalancer()
	zones := options.Deployment.Zones
	for i := range options.Deployment.Controllers {
		controller := c.Simulation.ConnectRemoteController(i, fmt.Sprintf("n%d", i+1), zones[i%len(zones)], c.publicAddresses[i])
		loadBalancer.AddController(controller, c.publicAddresses[i])
		c.Meters = append(c.Meters, &ControllerMeters{})
	}
	for i := range options.Deployment.Controllers {
		settings, err := c.startControllerServices(ctx, i, options)
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
	if c.UsersAddress, err = c.serve(ctx, &c.LoadBalancer, loadBalancer.Serve); err != nil {
		return nil, err
	}
	if c.UploadAddress, err = c.serve(ctx, nil, c.Simulation.ServeUploads); err != nil {
		return nil, err
	}
	loadBalancer.Run(ctx)
	return files, nil
}

// startControllerServices starts the servers that one controller connects to (state service, cloud, and a relay to
// each peer), and returns the controller's settings.
func (c *Cluster) startControllerServices(ctx context.Context, index int, options *Options) (*config.Settings, error) {
	simulation, process, meters := c.Simulation, c.Simulation.Controller(index), c.Meters[index]
	settings := &config.Settings{MemberName: process.Name, Zone: process.Zone, PublicAddr: c.publicAddresses[index], PeerListen: c.Controllers[index], Deployment: options.Deployment}
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
		direction := simulator.RelayOptions{Meter: &meters.Peers, Blocked: func() bool {
			return process.IsPartitionedFrom(simulator.NoPeers) || other.IsPartitionedFrom(simulator.NoPeers) || simulation.ZonesPartitioned(process.Zone, other.Zone)
		}}
		if options.Delay != nil {
			direction.Delay = func() time.Duration { return options.Delay(process.Zone, other.Zone) }
		}
		address, err := c.serve(ctx, nil, func(ln net.Listener) error { return simulator.Relay(ln, c.Controllers[otherIndex], direction) })
		if err != nil {
			return nil, err
		}
		settings.KnownPeers = append(settings.KnownPeers, config.Peer{MemberName: other.Name, Zone: other.Zone, Address: address})
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
		c.logFiles = append(c.logFiles, out)
		controller := &process{name: name, program: options.Program, args: []string{"--config", file}, output: out, log: options.Log}
		if options.Features != "" {
			controller.args = append(controller.args, "--features", options.Features)
		}
		c.processes = append(c.processes, controller)
	}
	for _, controller := range c.processes {
		c.background.Go(func() {
			// Pdeathsig (see process.start) is sent when the thread that started the child exits, not the process, so
			// this goroutine keeps its thread.
			runtime.LockOSThread()
			controller.run(ctx)
		})
	}
	return nil
}

// serve runs a server on a new loopback port until the cluster stops, and returns its address. If meter is not nil, it
// counts the traffic.
func (c *Cluster) serve(ctx context.Context, meter *simulator.Meter, serve func(net.Listener) error) (string, error) {
	ln, err := listenOnLoopback(ctx)
	if err != nil {
		return "", err
	}
	if meter != nil {
		ln = meter.Listen(ln)
	}
	c.listeners = append(c.listeners, ln)
	c.serverGroup.Go(func() { _ = serve(ln) }) // the error only says that the listener was closed
	return ln.Addr().String(), nil
}

// listenOnLoopback listens on a loopback port that the system chooses.
func listenOnLoopback(ctx context.Context) (net.Listener, error) {
	var listenConfig net.ListenConfig
	return listenConfig.Listen(ctx, "tcp4", "127.0.0.1:0")
}

// Ready waits until isReady reports that the load balancer's address accepts requests, that is, until a controller
// behind it is ready. It returns an error if ctx ends first.
func (c *Cluster) Ready(ctx context.Context, isReady func(addr string) bool) error {
	for !isReady(c.UsersAddress) {
		if !wait.For(ctx, readyPollInterval) {
			return errors.New("no controller became ready: see the logs in " + c.Dir)
		}
	}
	return nil
}

// Pids returns the process ids of the controllers, 0 for one that does not run at the moment. It is safe for concurrent
// use.
func (c *Cluster) Pids() []int {
	out := make([]int, len(c.processes))
	for i, p := range c.processes {
		out[i] = p.pid()
	}
	return out
}

// UnexpectedExits returns how many times a controller process exited without a fault having killed it. It is safe for concurrent
// use.
func (c *Cluster) UnexpectedExits() int {
	n := 0
	for _, p := range c.processes {
		p.mu.Lock()
		n += p.unexpectedExits
		p.mu.Unlock()
	}
	return n
}

// Stop stops all processes, servers and goroutines of the cluster and waits for them. It must be called only once.
func (c *Cluster) Stop() {
	c.cancel()
	c.background.Wait()
	for _, ln := range c.listeners {
		_ = ln.Close() // the controllers have exited
	}
	c.serverGroup.Wait()
	if c.workerPorts != nil {
		_ = c.workerPorts.Close() // the controllers have exited
	}
	for _, f := range c.logFiles {
		_ = f.Close() // the controllers have exited
	}
}
