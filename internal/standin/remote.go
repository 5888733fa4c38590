package standin

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

// This file joins the world with processes outside: nodes and workers that speak HTTP, and
// descriptions of jobs that users upload.

// beatWithin is how long a worker waits for the answer to a report; a little less than the
// four seconds after which it drops it.
const beatWithin = 3900 * time.Millisecond

// Connect makes node i one that runs elsewhere and listens at an address.
func (w *World) Connect(i int, name, public string) *Node {
	client := &fasthttp.Client{MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		Dial: func(a string) (net.Conn, error) { return net.DialTimeout("tcp4", a, time.Second) }}
	n := &Node{Name: name, world: w, stop: func() {}}
	n.beat = func(_ context.Context, r *protocol.Report, reply func(int, any)) {
		go func() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			raw, err := json.Marshal(r)
			if err != nil {
				return // a report holds only finite numbers and strings
			}
			req.Header.SetMethod(fiber.MethodPost)
			req.SetRequestURI("http://" + public + "/agent/beat")
			req.SetBodyRaw(raw)
			if err := client.DoTimeout(req, resp, beatWithin); err != nil {
				reply(0, nil)
				return
			}
			reply(resp.StatusCode(), json.RawMessage(append([]byte(nil), resp.Body()...)))
		}()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.nodes) <= i {
		w.nodes = append(w.nodes, nil)
	}
	w.nodes[i] = n
	return n
}

// WorkerPorts are the loopback ports at which the world's workers take direct commands.
type WorkerPorts struct {
	w      *World
	server *fasthttp.Server
	mu     sync.Mutex
	at     map[string]*Machine
}

// ServeWorkers lets every machine that comes from now on listen on a loopback port of its
// own. Call Close when the world is over.
func (w *World) ServeWorkers() *WorkerPorts {
	p := &WorkerPorts{w: w, at: map[string]*Machine{}}
	app := newApp()
	app.Post("/commands", func(c *fiber.Ctx) error {
		var in struct {
			Token   *uint64 `json:"helm"`
			Session *uint64 `json:"watch"`
			protocol.DirectCommands
		}
		// The pointers tell what is missing; the embedded fields of the same names are shadowed.
		if err := json.Unmarshal(c.Body(), &in); err != nil || in.Token == nil || in.Session == nil {
			return malformed(c, "helm or watch is missing")
		}
		m := p.machine(c)
		if !w.reachable(m, true) {
			return silent(c)
		}
		w.mu.Lock()
		r, status := w.obey(m, protocol.DirectCommands{Token: *in.Token, Session: *in.Session, Commands: in.Commands})
		w.mu.Unlock()
		return c.Status(status).JSON(r)
	})
	app.Get("/status", func(c *fiber.Ctx) error {
		m := p.machine(c)
		if !w.reachable(m, false) {
			return silent(c)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return c.JSON(w.report(m))
	})
	p.server = &fasthttp.Server{Handler: app.Handler(), NoDefaultServerHeader: true, IdleTimeout: time.Minute}
	w.Listen = p.listen
	return p
}

func (p *WorkerPorts) listen(m *Machine) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		p.w.Log.Error("no port for a worker", "machine", m.Name, "err", err)
		return "127.0.0.1:1" // nobody listens there: it is reached through its reports only
	}
	m.port = ln
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[ln.Addr().String()] = m
	go func() {
		if err := p.server.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
			p.w.Log.Error("a worker's port ended", "machine", m.Name, "err", err)
		}
	}()
	return ln.Addr().String()
}

func (p *WorkerPorts) machine(c *fiber.Ctx) *Machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at[c.Context().LocalAddr().String()]
}

// Close ends all workers' ports.
func (p *WorkerPorts) Close() error {
	p.w.mu.Lock()
	for _, m := range p.w.machines {
		m.unplug()
	}
	p.w.mu.Unlock()
	return p.server.Shutdown()
}

// unplug closes the port of a machine that is gone.
func (m *Machine) unplug() {
	if m.port != nil {
		_ = m.port.Close() // it may be closed already
	}
}

// reachable tells whether a machine answers now. One that hangs carries commands out once it
// goes on, when nobody waits for the answer any more.
func (w *World) reachable(m *Machine, waits bool) bool {
	for w.ctx.Err() == nil && m != nil {
		w.mu.Lock()
		up, hang, cut := m.up && !m.gone, m.hang, m.cut
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
	Spec  json.RawMessage `json:"spec"` // the submission, as the protocol has it
	RunS  float64         `json:"run_s"`
	Fails bool            `json:"fails,omitempty"` // on every machine
}

// AddJob takes a job's description. One that was uploaded before stays as it was.
func (w *World) AddJob(u Upload) error {
	sub, err := protocol.ParseSubmission(u.Spec)
	if err != nil {
		return err
	}
	if !(u.RunS >= 0 && u.RunS <= 1e9) {
		return errors.New("field run_s is out of range")
	}
	j := &Job{ID: sub.ID, Team: sub.Team, Tasks: sub.Tasks, Run: seconds(u.RunS), Cpus: sub.Cpus, Spot: sub.Spot, Broken: u.Fails,
		done: map[int]bool{}, saved: map[int]time.Duration{}, on: map[int]*Machine{}}
	if err := json.Unmarshal(u.Spec, &j.Spec); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[sub.ID] != nil {
		return nil
	}
	for _, id := range sub.Needs {
		if o := w.jobs[id]; o != nil {
			j.awaits = append(j.awaits, o)
		}
	}
	w.jobs[sub.ID] = j
	w.order = append(w.order, sub.ID)
	return nil
}

// ServeUploads serves the place where users put the descriptions of their jobs before they
// submit them. It ends with the listener.
func (w *World) ServeUploads(ln net.Listener) error {
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
	return app.Listener(ln)
}
