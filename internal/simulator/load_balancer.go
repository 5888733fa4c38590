package simulator

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// LoadBalancer stands in for the load balancer between users and controllers. It works at the connection
// level: each new connection goes to a healthy controller, fewer open ones first, and no request
// is looked at.
type LoadBalancer struct {
	mu       sync.Mutex
	backends []*backend
}

type backend struct {
	node          *ControllerProcess
	addr          string
	conns         map[net.Conn]bool
	healthy       bool
	everHealthy   bool
	failedProbes  []bool // the last six probes
	healthyProbes int    // successes in a row
	changed       time.Time
	removed       time.Time
	pause         time.Duration // before it may become healthy again
	refused       int           // connections in a row
	skipUntil     time.Time
}

// The balancer's timing, as the protocol has it.
const (
	probeEvery   = time.Second
	connectIn    = 500 * time.Millisecond
	skipRefusing = 3 * time.Second
	firstPause   = 3 * time.Second
	longestPause = time.Minute
	resetAfter   = 5 * time.Second
	rampOver     = 10 * time.Second
	forgiveAfter = 2 * time.Minute
	triesAConn   = 3
)

// NewLoadBalancer makes a balancer; AddController adds the controllers, then Run probes and Serve serves.
func NewLoadBalancer() *LoadBalancer { return &LoadBalancer{} }

// AddController adds a controller that listens at an address.
func (f *LoadBalancer) AddController(n *ControllerProcess, addr string) {
	f.backends = append(f.backends, &backend{node: n, addr: addr, conns: map[net.Conn]bool{}, pause: firstPause})
}

// Run probes the controllers until ctx ends.
func (f *LoadBalancer) Run(ctx context.Context) {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	for _, b := range f.backends {
		go func() {
			for ctx.Err() == nil {
				ok := false
				if !b.node.cut(NoUsers) {
					status, _, err := client.GetTimeout(nil, "http://"+b.addr+"/ready", probeEvery)
					ok = err == nil && status == fasthttp.StatusOK
				}
				f.probed(b, ok, time.Now())
				sleep(ctx, probeEvery)
			}
		}()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// probed takes a probe's outcome.
func (f *LoadBalancer) probed(simulatorBackend *backend, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	simulatorBackend.failedProbes = append(simulatorBackend.failedProbes, !ok)
	if len(simulatorBackend.failedProbes) > 6 {
		simulatorBackend.failedProbes = simulatorBackend.failedProbes[1:]
	}
	simulatorBackend.healthyProbes++
	if !ok {
		simulatorBackend.healthyProbes = 0
	}
	failed := 0
	for _, x := range simulatorBackend.failedProbes {
		if x {
			failed++
		}
	}
	n := len(simulatorBackend.failedProbes)
	switch {
	case simulatorBackend.healthy && !ok && (n >= 2 && simulatorBackend.failedProbes[n-2] || failed >= 3):
		if !simulatorBackend.removed.IsZero() && now.Sub(simulatorBackend.removed) < forgiveAfter {
			simulatorBackend.pause = min(longestPause, 2*simulatorBackend.pause)
		} else {
			simulatorBackend.pause = firstPause
		}
		simulatorBackend.healthy, simulatorBackend.changed, simulatorBackend.removed = false, now, now
	case !simulatorBackend.healthy && ok && (!simulatorBackend.everHealthy || simulatorBackend.healthyProbes >= 2 && now.Sub(simulatorBackend.changed) >= simulatorBackend.pause):
		simulatorBackend.healthy, simulatorBackend.everHealthy, simulatorBackend.changed, simulatorBackend.failedProbes = true, true, now, nil
	}
	if !simulatorBackend.healthy && simulatorBackend.everHealthy && now.Sub(simulatorBackend.changed) > resetAfter {
		for c := range simulatorBackend.conns {
			_ = c.Close() // a reset: its user connects anew
		}
		clear(simulatorBackend.conns)
	}
}

// pick chooses a controller for a new connection, leaving out those that were tried.
func (f *LoadBalancer) pick(tried []*backend, now time.Time) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *backend
	least := 0.0
	for _, b := range f.backends {
		if !b.healthy || now.Before(b.skipUntil) || slices.Contains(tried, b) {
			continue
		}
		part := min(1, 0.1+now.Sub(b.changed).Seconds()/rampOver.Seconds())
		if load := float64(len(b.conns)+1) / part; best == nil || load < least {
			best, least = b, load
		}
	}
	return best
}

// Serve takes users' connections until the listener is closed.
func (f *LoadBalancer) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go f.join(c)
	}
}

func (f *LoadBalancer) join(conn net.Conn) {
	defer conn.Close()
	var tried []*backend
	for range triesAConn {
		simulatorBackend := f.pick(tried, time.Now())
		if simulatorBackend == nil {
			return
		}
		tried = append(tried, simulatorBackend)
		var to net.Conn
		var err error
		if simulatorBackend.node.cut(NoUsers) {
			time.Sleep(connectIn)
			err = io.ErrClosedPipe
		} else {
			to, err = net.DialTimeout("tcp4", simulatorBackend.addr, connectIn)
		}
		f.mu.Lock()
		if err != nil {
			if simulatorBackend.refused++; simulatorBackend.refused >= triesAConn {
				simulatorBackend.skipUntil, simulatorBackend.refused = time.Now().Add(skipRefusing), 0
			}
			f.mu.Unlock()
			continue
		}
		simulatorBackend.refused = 0
		simulatorBackend.conns[conn] = true
		f.mu.Unlock()
		splice(conn, to, Direction{Held: func() bool { return simulatorBackend.node.cut(NoUsers) }})
		f.mu.Lock()
		delete(simulatorBackend.conns, conn)
		f.mu.Unlock()
		return
	}
}

// Direction is what lies between two ends of connections.
type Direction struct {
	Held  func() bool          // whether bytes are held back now; they go out in order afterwards
	Delay func() time.Duration // how long a piece of bytes takes; nil: no time
	Meter *Meter               // nil: nothing is counted
}

// splice passes on what both sides send until either ends.
func splice(conn, b net.Conn, way Direction) {
	var waitGroup sync.WaitGroup
	pass := func(to, from net.Conn) {
		defer waitGroup.Done()
		defer to.Close()
		defer from.Close()
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			if way.Delay != nil {
				time.Sleep(way.Delay())
			}
			for way.Held() {
				time.Sleep(50 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	waitGroup.Add(2)
	go pass(conn, b)
	go pass(b, conn)
	waitGroup.Wait()
}

// Relay passes connections between two controllers on, so that the way between them can be cut.
func Relay(listener net.Listener, to string, way Direction) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if way.Held() {
				return
			}
			t, err := net.DialTimeout("tcp4", to, time.Second)
			if err != nil {
				return
			}
			if way.Meter != nil {
				t = way.Meter.Conn(t)
			}
			splice(conn, t, way)
		}()
	}
}
