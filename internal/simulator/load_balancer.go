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
func (f *LoadBalancer) probed(b *backend, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.failedProbes = append(b.failedProbes, !ok)
	if len(b.failedProbes) > 6 {
		b.failedProbes = b.failedProbes[1:]
	}
	b.healthyProbes++
	if !ok {
		b.healthyProbes = 0
	}
	failed := 0
	for _, x := range b.failedProbes {
		if x {
			failed++
		}
	}
	n := len(b.failedProbes)
	switch {
	case b.healthy && !ok && (n >= 2 && b.failedProbes[n-2] || failed >= 3):
		if !b.removed.IsZero() && now.Sub(b.removed) < forgiveAfter {
			b.pause = min(longestPause, 2*b.pause)
		} else {
			b.pause = firstPause
		}
		b.healthy, b.changed, b.removed = false, now, now
	case !b.healthy && ok && (!b.everHealthy || b.healthyProbes >= 2 && now.Sub(b.changed) >= b.pause):
		b.healthy, b.everHealthy, b.changed, b.failedProbes = true, true, now, nil
	}
	if !b.healthy && b.everHealthy && now.Sub(b.changed) > resetAfter {
		for c := range b.conns {
			_ = c.Close() // a reset: its user connects anew
		}
		clear(b.conns)
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

func (f *LoadBalancer) join(c net.Conn) {
	defer c.Close()
	var tried []*backend
	for range triesAConn {
		b := f.pick(tried, time.Now())
		if b == nil {
			return
		}
		tried = append(tried, b)
		var to net.Conn
		var err error
		if b.node.cut(NoUsers) {
			time.Sleep(connectIn)
			err = io.ErrClosedPipe
		} else {
			to, err = net.DialTimeout("tcp4", b.addr, connectIn)
		}
		f.mu.Lock()
		if err != nil {
			if b.refused++; b.refused >= triesAConn {
				b.skipUntil, b.refused = time.Now().Add(skipRefusing), 0
			}
			f.mu.Unlock()
			continue
		}
		b.refused = 0
		b.conns[c] = true
		f.mu.Unlock()
		splice(c, to, Direction{Held: func() bool { return b.node.cut(NoUsers) }})
		f.mu.Lock()
		delete(b.conns, c)
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
func splice(a, b net.Conn, way Direction) {
	var wg sync.WaitGroup
	pass := func(to, from net.Conn) {
		defer wg.Done()
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
	wg.Add(2)
	go pass(a, b)
	go pass(b, a)
	wg.Wait()
}

// Relay passes connections between two controllers on, so that the way between them can be cut.
func Relay(ln net.Listener, to string, way Direction) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
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
			splice(c, t, way)
		}()
	}
}
