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
)

// This file joins the world with processes outside: controllers and workers that speak HTTP, and
// descriptions of jobs that users upload.

// heartbeatTimeout is how long a worker waits for the answer to a heartbeat; a little less than the
// four seconds after which it drops it.
const heartbeatTimeout = 3900 * time.Millisecond

// Connect makes controller i one that runs elsewhere, in a zone, and listens at an address.
func (w *Simulation) Connect(i int, name, zone, public string) *ControllerProcess {
	process := &ControllerProcess{Name: name, Zone: zone, simulation: w, stop: func() {}}
	callers := &workerClients{address: public, meter: &process.HeartbeatMeter, byName: map[string]*fasthttp.HostClient{}}
	process.handleHeartbeat = func(_ context.Context, r *protocol.Heartbeat, reply func(int, any)) {
		go func() {
			w.sendDelayed(r.Zone, zone)
			status, body := callers.report(r)
			w.sendDelayed(zone, r.Zone)
			reply(status, body)
		}()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.controllers) <= i {
		w.controllers = append(w.controllers, nil)
	}
	w.controllers[i] = process
	return process
}

// sendDelayed waits for as long as a message takes between two zones.
func (w *Simulation) sendDelayed(from, to string) {
	if w.Delay != nil {
		time.Sleep(w.Delay(from, to))
	}
}

// ZonesPartitioned tells whether a cut is between two zones.
func (w *Simulation) ZonesPartitioned(a, b string) bool {
	return a != b && (w.cutOff(a) || w.cutOff(b))
}

// Limits of a worker's way to a controller.
const (
	workerConns    = 2                // a worker has one report in flight; a second connection while the first is given up
	workerIdle     = 10 * time.Second // a connection that is not used for as long is closed: the worker heartbeats elsewhere
	workerConnects = time.Second
)

// workerClients are the workers' connections to one controller: each worker has its own, as real ones do.
type workerClients struct {
	address string
	meter   *Meter
	mu      sync.Mutex
	byName  map[string]*fasthttp.HostClient
}

func (c *workerClients) client(worker string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.byName[worker]
	if h == nil {
		h = &fasthttp.HostClient{Addr: c.address, MaxConns: workerConns, MaxIdleConnDuration: workerIdle, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, Dial: c.dial}
		c.byName[worker] = h
	}
	return h
}

func (c *workerClients) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, workerConnects)
	if err != nil {
		return nil, err
	}
	return c.meter.Conn(conn), nil
}

// report sends a heartbeat and returns the answer; status 0: none came.
func (c *workerClients) report(heartbeat *protocol.Heartbeat) (int, any) {
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

// WorkerPorts are the loopback addresses at which the world's workers take direct commands.
type WorkerPorts struct {
	simulation *Simulation
	address    func(number int) string
	server     *fasthttp.Server
	mu         sync.Mutex
	at         map[string]*Machine
}

// AnyPort lets the system choose each worker's port.
func AnyPort(int) string { return "127.0.0.1:0" }

// ServeWorkers lets every machine that comes from now on listen at a loopback address of its own, which goes by the
// machine's number. Call Close when the world is over.
func (w *Simulation) ServeWorkers(address func(number int) string) *WorkerPorts {
	workerPorts := &WorkerPorts{simulation: w, address: address, at: map[string]*Machine{}}
	app := newApp()
	app.Post("/commands", func(request *fiber.Ctx) error {
		var in struct {
			Token   *uint64 `json:"helm"`
			Session *uint64 `json:"watch"`
			protocol.DirectCommands
		}
		// The pointers tell what is missing; the embedded fields of the same names are shadowed.
		if err := json.Unmarshal(request.Body(), &in); err != nil || in.Token == nil || in.Session == nil {
			return malformed(request, "helm or watch is missing")
		}
		w.Commands.Messages.Add(1)
		m := workerPorts.machine(request)
		if !w.reachable(m, true) {
			return silent(request)
		}
		w.sendDelayed("", m.Zone) // which zone's controller has sent it can't be told
		w.mu.Lock()
		r, status := w.executeCommand(m, protocol.DirectCommands{FencingToken: *in.Token, Incarnation: *in.Session, Commands: in.Commands})
		w.mu.Unlock()
		return request.Status(status).JSON(r)
	})
	app.Get("/status", func(c *fiber.Ctx) error {
		m := workerPorts.machine(c)
		if !w.reachable(m, false) {
			return silent(c)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return c.JSON(w.sendHeartbeat(m))
	})
	workerPorts.server = &fasthttp.Server{Handler: app.Handler(), NoDefaultServerHeader: true, IdleTimeout: time.Minute}
	w.Listen = workerPorts.listen
	return workerPorts
}

func (p *WorkerPorts) listen(machine *Machine) string {
	listener, err := net.Listen("tcp4", p.address(p.simulation.names))
	if err != nil {
		p.simulation.Log.Error("no port for a worker", "machine", machine.Name, "err", err)
		return "127.0.0.1:1" // nobody listens there: it is reached through its heartbeats only
	}
	machine.port = listener
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[listener.Addr().String()] = machine
	go func() {
		if err := p.server.Serve(p.simulation.Commands.Listen(listener)); err != nil && !errors.Is(err, net.ErrClosed) {
			p.simulation.Log.Error("a worker's port ended", "machine", machine.Name, "err", err)
		}
	}()
	return listener.Addr().String()
}

func (p *WorkerPorts) machine(c *fiber.Ctx) *Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at[c.Context().LocalAddr().String()]
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

// disconnect closes the port of a machine that is gone.
func (m *Machine) disconnect() {
	if m.port != nil {
		_ = m.port.Close() // it may be closed already
	}
}

// reachable tells whether a machine answers now. In a zone that is cut off none does, not even to a controller inside: a port
// can't tell which controller speaks. One that hangs carries commands out once it
// goes on, when nobody waits for the answer any more.
func (w *Simulation) reachable(machine *Machine, waits bool) bool {
	for w.ctx.Err() == nil && machine != nil {
		w.mu.Lock()
		up, hang, cut := machine.up && !machine.gone, machine.hanging, machine.partitioned || w.isolated != "" && machine.Zone == w.isolated
		w.mu.Unlock()
		switch {
		case !up || cut:
			return false
		case !hang:
			return true
		case !waits:
			return false
		}
		time.Sleep(300 * time.Millisecond)
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
func (w *Simulation) AddJob(upload Upload) error {
	sub, err := protocol.ParseSubmission(upload.Spec)
	if err != nil {
		return err
	}
	if !(upload.Spread >= 0 && upload.Spread <= 1) {
		return errors.New("field spread is not between 0 and 1")
	}
	if !(upload.RunS >= 0 && upload.RunS <= 1e9) {
		return errors.New("field run_s is out of range")
	}
	job := &Job{ID: sub.ID, Team: sub.Team, Tasks: sub.Tasks, Run: seconds(upload.RunS), Cpus: sub.Cpus, Spot: sub.Spot, Broken: upload.Fails,
		done: map[int]bool{}, saved: map[int]time.Duration{}, on: map[int]*Machine{}, At: time.Now()}
	if err := json.Unmarshal(upload.Spec, &job.Spec); err != nil {
		return err
	}
	if upload.Spread > 0 {
		job.runs = make([]time.Duration, job.Tasks)
		for i := range job.runs {
			job.runs[i] = time.Duration(float64(job.Run) * (1 + upload.Spread*(2*w.Random.Float64()-1)))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[sub.ID] != nil {
		return nil
	}
	for _, id := range sub.Dependencies {
		if o := w.jobs[id]; o != nil {
			job.awaits = append(job.awaits, o)
		}
	}
	w.jobs[sub.ID] = job
	w.order = append(w.order, sub.ID)
	return nil
}

// ServeUploads serves the place where users put the descriptions of their jobs before they
// submit them. It ends with the listener.
func (w *Simulation) ServeUploads(listener net.Listener) error {
	app := newApp()
	app.Put("/descriptions/:id", func(c *fiber.Ctx) error {
		var u Upload
		if err := json.Unmarshal(c.Body(), &u); err != nil {
			return malformed(c, "no description: "+err.Error())
		}
		if s, err := protocol.ParseSubmission(u.Spec); err == nil && s.ID != c.Params("id") {
			return malformed(c, "the description is of another job")
		}
		if err := w.AddJob(u); err != nil {
			return malformed(c, err.Error())
		}
		return c.SendStatus(fiber.StatusOK)
	})
	return app.Listener(listener)
}
