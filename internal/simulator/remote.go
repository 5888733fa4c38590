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

// This file connects the simulation with other processes: controllers that are reached over HTTP, and users who
// upload job descriptions. It also serves the workers' ports over HTTP.

// heartbeatTimeout is how long a worker waits for the answer to a heartbeat. It is a little less than the four
// seconds of heartbeatAnswerTimeout, after which the worker drops the answer.
const heartbeatTimeout = 3900 * time.Millisecond

// ConnectRemoteController sets controller i to one that runs in another process, in a zone, and listens at an address.
func (sim *Simulation) ConnectRemoteController(i int, name, zone, public string) *ControllerProcess {
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

// Limits of a worker's connections to a controller.
const (
	maxWorkerConns       = 2                // one for the heartbeat in flight, and one more while the first is given up
	workerIdleTimeout    = 10 * time.Second // an idle connection is closed after this time, since the worker then sends its heartbeats elsewhere
	workerConnectTimeout = time.Second
)

// workerClients holds the workers' connections to one controller. Each worker has its own, as real workers do.
type workerClients struct {
	address string
	meter   *Meter
	mu      sync.Mutex
	byName  map[string]*fasthttp.HostClient
}

// client returns a worker's client.
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

// send sends a heartbeat and returns the status and body of the answer. Status 0: no answer arrived.
func (c *workerClients) send(heartbeat *protocol.Heartbeat) (int, any) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		return 0, nil // cannot fail: a heartbeat holds only finite numbers and strings
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

// WorkerPorts serves the loopback addresses at which the simulation's workers accept direct commands.
type WorkerPorts struct {
	simulation    *Simulation
	address       func(number int) string
	server        *fasthttp.Server
	mu            sync.Mutex
	machineByAddr map[string]*Machine
}

// AnyPort returns an address for which the system chooses the port.
func AnyPort(int) string { return "127.0.0.1:0" }

// ServeWorkers makes every machine that is added from now on listen at a loopback address of its own, chosen by the
// machine's number. Call Close when the simulation is over.
func (sim *Simulation) ServeWorkers(address func(number int) string) *WorkerPorts {
	workerPorts := &WorkerPorts{simulation: sim, address: address, machineByAddr: map[string]*Machine{}}
	app := newApp()
	app.Post("/commands", workerPorts.commands)
	app.Get("/status", workerPorts.status)
	workerPorts.server = &fasthttp.Server{Handler: app.Handler(), NoDefaultServerHeader: true, IdleTimeout: time.Minute}
	sim.ListenForWorker = workerPorts.listen
	return workerPorts
}

// commandsRequest is a request with direct commands. The pointers show which fields are missing; they shadow the
// embedded fields with the same JSON names.
type commandsRequest struct {
	Token   *uint64 `json:"helm"`
	Session *uint64 `json:"watch"`
	protocol.DirectCommands
}

// commands makes a worker execute direct commands.
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
	sim.waitZoneDelay("", m.Zone) // the sender's zone is unknown here
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

// listen makes a new machine's worker listen and returns its address.
func (p *WorkerPorts) listen(machine *Machine) string {
	var config net.ListenConfig
	listener, err := config.Listen(p.simulation.ctx, "tcp4", p.address(p.simulation.machineCount))
	if err != nil {
		p.simulation.Log.Error("worker cannot listen for direct commands", "machine", machine.Name, "err", err)
		return "127.0.0.1:1" // no worker listens at this address: its commands travel only in answers to heartbeats
	}
	machine.port = listener
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machineByAddr[listener.Addr().String()] = machine
	go func() {
		if err := p.server.Serve(p.simulation.Commands.Listen(listener)); err != nil && !errors.Is(err, net.ErrClosed) {
			p.simulation.Log.Error("server of a worker's port ended", "machine", machine.Name, "err", err)
		}
	}()
	return listener.Addr().String()
}

// machine returns the machine at whose port a request arrived.
func (p *WorkerPorts) machine(c *fiber.Ctx) *Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machineByAddr[c.Context().LocalAddr().String()]
}

// Close closes the ports of all workers and shuts the server down.
func (p *WorkerPorts) Close() error {
	p.simulation.mu.Lock()
	for _, m := range p.simulation.machines {
		m.disconnect()
	}
	p.simulation.mu.Unlock()
	return p.server.Shutdown()
}

// reachable reports whether a machine answers a request now. In a partitioned zone no machine does, not even to a
// controller in the zone, since a port cannot tell which controller sent the request. If waitWhileHanging is set,
// reachable waits until a hanging machine resumes: it then executes the commands although the sender no longer
// waits for the answer.
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

// Upload is a job's description as workers need it: what they run and for how long.
type Upload struct {
	Spec json.RawMessage `json:"spec"` // the submission, as the protocol defines it
	RunS float64         `json:"run_s"`
	// Spread is the largest fraction by which a task's run time differs from RunS, from 0 to 1.
	Spread float64 `json:"spread,omitempty"`
	Fails  bool    `json:"fails,omitempty"` // its tasks fail on every machine
}

// AddJob adds a job by its description. If the job was added before, its first description stays in force.
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
	job := &Job{ID: submission.ID, Team: submission.Team, Tasks: submission.Tasks, RunTime: seconds(upload.RunS), Cpus: submission.Cpus, Spot: submission.Spot, AlwaysFails: upload.Fails,
		done: map[int]bool{}, savedProgress: map[int]time.Duration{}, runningOn: map[int]*Machine{}, SubmittedAt: time.Now()}
	if err := json.Unmarshal(upload.Spec, &job.Spec); err != nil {
		return err
	}
	if upload.Spread > 0 {
		job.taskRunTimes = make([]time.Duration, job.Tasks)
		for i := range job.taskRunTimes {
			job.taskRunTimes[i] = time.Duration(float64(job.RunTime) * (1 + upload.Spread*(2*sim.Random.Float64()-1)))
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

// ServeUploads serves the address to which users upload the descriptions of their jobs before they submit them,
// until the listener is closed.
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
