package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"dykeledge/internal/protocol"
	"dykeledge/internal/wait"
)

// This file joins the simulation with processes outside: controllers and workers that speak HTTP, and
// descriptions of jobs that users upload.

// heartbeatTimeout is how long a worker waits for the answer to a heartbeat; a little less than the
// four seconds after which it drops it.
const heartbeatTimeout = 3900 * time.Millisecond

// Connect makes controller i one that runs elsewhere, in a zone, and listens at an address.
func (sim *Simulation) Connect(i int, name, zone, public string) *ControllerProcess {
	process := &ControllerProcess{Name: name, Zone: zone, simulation: sim, stop: func() {}}
	clients := &workerClients{address: public, meter: &process.HeartbeatMeter, byName: map[string]*fasthttp.HostClient{}}
	process.handleHeartbeat = func(_ context.Context, heartbeat *protocol.Heartbeat, reply func(int, any)) {
		go func() {
			sim.waitZoneDelay(heartbeat.Zone, zone)
			status, body := clients.send(heartbeat)
			sim.waitZoneDelay(zone, heartbeat.Zone)
			reply(status, body)
		}()
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.setController(i, process)
	return process
}

// Limits of a worker's way to a controller.
const (
	maxWorkerConns       = 2                // a worker has one heartbeat in flight; a second connection while the first is given up
	workerIdleTimeout    = 10 * time.Second // a connection that is not used for as long is closed: the worker heartbeats elsewhere
	workerConnectTimeout = time.Second
)

// workerClients are the workers' connections to one controller: each worker has its own, as real ones do.
type workerClients struct {
	address string
	meter   *Meter
	mu      sync.Mutex
	byName  map[string]*fasthttp.HostClient
}

// client is a worker's client.
func (c *workerClients) client(worker string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byName[worker]
	if client == nil {
		client = &fasthttp.HostClient{Addr: c.address, MaxConns: maxWorkerConns, MaxIdleConnDuration: workerIdleTimeout, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, Dial: c.dial}
		c.byName[worker] = client
	}
	return client
}

func (c *workerClients) dial(address string) (net.Conn, error) {
	conn, err := dial(address, workerConnectTimeout)
	if err != nil {
		return nil, err
	}
	return c.meter.Conn(conn), nil
}

// send sends a heartbeat and returns the answer; status 0: none came.
func (c *workerClients) send(heartbeat *protocol.Heartbeat) (int, any) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return 0, nil // a heartbeat holds only finite numbers and strings
	}
	c.meter.Messages.Add(1)
	req.Header.SetMethod(fiber.MethodPost)
	req.SetRequestURI("http://" + c.address + "/agent/beat")
	req.SetBodyRaw(raw)
	if err := c.client(heartbeat.Machine).DoTimeout(req, resp, heartbeatTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), json.RawMessage(append([]byte(nil), resp.Body()...))
}

// WorkerPorts are the loopback addresses at which the simulation's workers take direct commands.
type WorkerPorts struct {
	simulation    *Simulation
	address       func(number int) string
	server        *fasthttp.Server
	mu            sync.Mutex
	machineByAddr map[string]*Machine
}

// AnyPort lets the system choose each worker's port.
func AnyPort(int) string { return "127.0.0.1:0" }

// ServeWorkers lets every machine that comes from now on listen at a loopback address of its own, which goes by the
// machine's number. Call Close when the simulation is over.
func (sim *Simulation) ServeWorkers(address func(number int) string) *WorkerPorts {
	workerPorts := &WorkerPorts{simulation: sim, address: address, machineByAddr: map[string]*Machine{}}
	app := newApp()
	app.Post("/commands", workerPorts.commands)
	app.Get("/status", workerPorts.status)
	workerPorts.server = &fasthttp.Server{Handler: app.Handler(), NoDefaultServerHeader: true, IdleTimeout: time.Minute}
	sim.Listen = workerPorts.listen
	return workerPorts
}

// commandsRequest is a request with direct commands. The pointers tell what is missing; the embedded fields of the same
// names are shadowed.
type commandsRequest struct {
	Token   *uint64 `json:"helm"`
	Session *uint64 `json:"watch"`
	protocol.DirectCommands
}

// commands has a worker carry out direct commands.
func (p *WorkerPorts) commands(fiberCtx *fiber.Ctx) error {
	var request commandsRequest
	if err := json.Unmarshal(fiberCtx.Body(), &request); err != nil || request.Token == nil || request.Session == nil {
		return respondBadRequest(fiberCtx, "helm or watch is missing")
	}
	sim := p.simulation
	sim.Commands.Messages.Add(1)
	m := p.machine(fiberCtx)
	if !sim.reachable(m, true) {
		return dropConnection(fiberCtx)
	}
	sim.waitZoneDelay("", m.Zone) // which zone's controller has sent it can't be told
	sim.mu.Lock()
	heartbeat, status := sim.executeCommand(m, protocol.DirectCommands{FencingToken: *request.Token, Incarnation: *request.Session, Commands: request.Commands})
	sim.mu.Unlock()
	return fiberCtx.Status(status).JSON(heartbeat)
}

// status answers with a worker's heartbeat.
func (p *WorkerPorts) status(c *fiber.Ctx) error {
	m := p.machine(c)
	sim := p.simulation
	if !sim.reachable(m, false) {
		return dropConnection(c)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return c.JSON(m.nextHeartbeat())
}

// listen has a new machine's worker listen, and returns its address.
func (p *WorkerPorts) listen(machine *Machine) string {
	var config net.ListenConfig
	listener, err := config.Listen(p.simulation.ctx, "tcp4", p.address(p.simulation.machineCount))
	if err != nil {
		p.simulation.Log.Error("no port for a worker", "machine", machine.Name, "err", err)
		return "127.0.0.1:1" // nobody listens there: it is reached through its heartbeats only
	}
	machine.port = listener
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machineByAddr[listener.Addr().String()] = machine
	go func() {
		if err := p.server.Serve(p.simulation.Commands.Listen(listener)); err != nil && !errors.Is(err, net.ErrClosed) {
			p.simulation.Log.Error("a worker's port ended", "machine", machine.Name, "err", err)
		}
	}()
	return listener.Addr().String()
}

// machine is the machine at whose port a request has arrived.
func (p *WorkerPorts) machine(c *fiber.Ctx) *Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machineByAddr[c.Context().LocalAddr().String()]
}

// Close ends all workers' ports.
func (p *WorkerPorts) Close() error {
	p.simulation.mu.Lock()
	for _, m := range p.simulation.machines {
		m.disconnect()
	}
	p.simulation.mu.Unlock()
	return p.server.Shutdown()
}

// reachable tells whether a machine answers now. In a partitioned zone none does, not even to a controller inside: a
// port can't tell which controller speaks. One that hangs carries commands out once it goes on, when nobody waits for
// the answer any more.
func (sim *Simulation) reachable(machine *Machine, waitWhileHanging bool) bool {
	for sim.ctx.Err() == nil && machine != nil {
		sim.mu.Lock()
		running, hanging, partitioned := machine.isRunning(), machine.hanging, machine.partitioned || sim.isIsolated(machine.Zone)
		sim.mu.Unlock()
		switch {
		case !running || partitioned:
			return false
		case !hanging:
			return true
		case !waitWhileHanging:
			return false
		}
		wait.For(sim.ctx, resumePollInterval)
	}
	return false
}

// Upload is a job's description as workers need it: what they run, and for how long.
type Upload struct {
	Spec json.RawMessage `json:"spec"` // the submission, as the protocol has it
	RunS float64         `json:"run_s"`
	// Spread has each task run by up to this part longer or shorter.
	Spread float64 `json:"spread,omitempty"`
	Fails  bool    `json:"fails,omitempty"` // on every machine
}

// AddJob takes a job's description. One that was uploaded before stays as it was.
func (sim *Simulation) AddJob(upload Upload) error {
	submission, err := protocol.ParseSubmission(upload.Spec)
	if err != nil {
		return err
	}
	if !(upload.Spread >= 0 && upload.Spread <= 1) {
		return errors.New("field spread is not between 0 and 1")
	}
	if !(upload.RunS >= 0 && upload.RunS <= 1e9) {
		return errors.New("field run_s is out of range")
	}
	job := &Job{ID: submission.ID, Team: submission.Team, Tasks: submission.Tasks, Run: seconds(upload.RunS), Cpus: submission.Cpus, Spot: submission.Spot, Broken: upload.Fails,
		done: map[int]bool{}, savedProgress: map[int]time.Duration{}, on: map[int]*Machine{}, At: time.Now()}
	if err := json.Unmarshal(upload.Spec, &job.Spec); err != nil {
		return err
	}
	if upload.Spread > 0 {
		job.taskRunTimes = make([]time.Duration, job.Tasks)
		for i := range job.taskRunTimes {
			job.taskRunTimes[i] = time.Duration(float64(job.Run) * (1 + upload.Spread*(2*sim.Random.Float64()-1)))
		}
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.jobs[submission.ID] != nil {
		return nil
	}
	for _, id := range submission.Dependencies {
		if dependency := sim.jobs[id]; dependency != nil {
			job.dependencies = append(job.dependencies, dependency)
		}
	}
	sim.add(job)
	return nil
}

// ServeUploads serves the place where users put the descriptions of their jobs before they
// submit them. It ends with the listener.
func (sim *Simulation) ServeUploads(listener net.Listener) error {
	app := newApp()
	app.Put("/descriptions/:id", func(c *fiber.Ctx) error {
		var u Upload
		if err := json.Unmarshal(c.Body(), &u); err != nil {
			return respondBadRequest(c, "no description: "+err.Error())
		}
		if s, err := protocol.ParseSubmission(u.Spec); err == nil && s.ID != c.Params("id") {
			return respondBadRequest(c, "the description is of another job")
		}
		if err := sim.AddJob(u); err != nil {
			return respondBadRequest(c, err.Error())
		}
		return c.SendStatus(fiber.StatusOK)
	})
	return app.Listener(listener)
}
