package simulator

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/wait"
)

// LoadBalancer stands in for the load balancer between users and controllers. It balances connections and does not
// inspect requests: each new connection goes to a healthy controller, preferably to one with few open connections.
type LoadBalancer struct {
	mu       sync.Mutex
	backends []*backend
}

// backend is the load balancer's record of a controller.
type backend struct {
	process         *ControllerProcess
	addr            string
	conns           map[net.Conn]bool
	healthy         bool
	everHealthy     bool
	failedProbes    []bool // for each of the last probes, whether it failed
	healthyProbes   int    // consecutive successful probes
	healthChangedAt time.Time
	removedAt       time.Time
	returnDelay     time.Duration // how long it stays unhealthy after its removal, at least
	connectFailures int           // consecutive failed connection attempts
	skipUntil       time.Time
}

// Timing of the load balancer, as the protocol specifies it.
const (
	probeInterval        = time.Second
	connectTimeout       = 500 * time.Millisecond
	refusedSkipTime      = 3 * time.Second
	initialReturnDelay   = 3 * time.Second
	maxReturnDelay       = time.Minute
	connectionResetDelay = 5 * time.Second
	rampDuration         = 10 * time.Second
	returnDelayResetTime = 2 * time.Minute
	maxConnectAttempts   = 3
)

const (
	probeWindow         = 6   // number of latest probes that are counted
	maxProbeFailures    = 3   // a controller with this many failures in the probe window is removed
	initialLoadFraction = 0.1 // fraction of the normal load that a controller gets when it becomes healthy
)

// NewLoadBalancer returns a load balancer without controllers. AddController adds them; then Run probes them and
// Serve accepts connections.
func NewLoadBalancer() *LoadBalancer { return &LoadBalancer{} }

// AddController adds a controller that listens at an address.
func (l *LoadBalancer) AddController(process *ControllerProcess, addr string) {
	l.backends = append(l.backends, &backend{process: process, addr: addr, conns: map[net.Conn]bool{}, returnDelay: initialReturnDelay})
}

// Run probes the controllers until ctx ends.
func (l *LoadBalancer) Run(ctx context.Context) {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	for _, b := range l.backends {
		go func() {
			for ctx.Err() == nil {
				l.noteProbeResult(b, b.probe(client), time.Now())
				wait.For(ctx, probeInterval)
			}
		}()
	}
}

// probe requests a controller's readiness and reports whether it is ready.
func (b *backend) probe(client *fasthttp.Client) bool {
	if b.process.isPartitionedFrom(NoUsers) {
		return false
	}
	status, _, err := client.GetTimeout(nil, "http://"+b.addr+"/ready", probeInterval)
	return err == nil && status == fasthttp.StatusOK
}

// noteProbeResult applies the result of a probe.
func (l *LoadBalancer) noteProbeResult(b *backend, ok bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.noteProbe(ok)
	switch {
	case b.healthy && !ok && b.mustBeRemoved():
		b.remove(now)
	case !b.healthy && ok && b.mayReturn(now):
		b.healthy, b.everHealthy, b.healthChangedAt, b.failedProbes = true, true, now, nil
	}
	if !b.healthy && b.everHealthy && now.Sub(b.healthChangedAt) > connectionResetDelay {
		for c := range b.conns {
			_ = c.Close() // the reset makes the user reconnect
		}
		clear(b.conns)
	}
}

func (b *backend) noteProbe(ok bool) {
	b.failedProbes = append(b.failedProbes, !ok)
	if len(b.failedProbes) > probeWindow {
		b.failedProbes = b.failedProbes[1:]
	}
	b.healthyProbes++
	if !ok {
		b.healthyProbes = 0
	}
}

// mustBeRemoved reports, after a failed probe, whether the previous probe failed too or the probe window holds too
// many failures.
func (b *backend) mustBeRemoved() bool {
	failures := 0
	for _, failed := range b.failedProbes {
		if failed {
			failures++
		}
	}
	probes := len(b.failedProbes)
	return probes >= 2 && b.failedProbes[probes-2] || failures >= maxProbeFailures
}

// remove marks a controller as unhealthy, so that it gets no new connections. If its previous removal was recent,
// its return delay doubles.
func (b *backend) remove(now time.Time) {
	if !b.removedAt.IsZero() && now.Sub(b.removedAt) < returnDelayResetTime {
		b.returnDelay = min(maxReturnDelay, 2*b.returnDelay)
	} else {
		b.returnDelay = initialReturnDelay
	}
	b.healthy, b.healthChangedAt, b.removedAt = false, now, now
}

// mayReturn reports, after a successful probe, whether the controller becomes healthy.
func (b *backend) mayReturn(now time.Time) bool {
	return !b.everHealthy || b.healthyProbes >= 2 && now.Sub(b.healthChangedAt) >= b.returnDelay
}

// pick returns the controller for a new connection, leaving out those that were tried, or nil if there is none.
func (l *LoadBalancer) pick(tried []*backend, now time.Time) *backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *backend
	leastLoad := 0.0
	for _, b := range l.backends {
		if !b.healthy || now.Before(b.skipUntil) || slices.Contains(tried, b) {
			continue
		}
		fraction := min(1, initialLoadFraction+now.Sub(b.healthChangedAt).Seconds()/rampDuration.Seconds())
		if load := float64(len(b.conns)+1) / fraction; best == nil || load < leastLoad {
			best, leastLoad = b, load
		}
	}
	return best
}

// Serve accepts users' connections until the listener is closed.
func (l *LoadBalancer) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go l.forward(c)
	}
}

// forward connects a user's connection to a controller and relays the bytes of both.
func (l *LoadBalancer) forward(conn net.Conn) {
	defer closeConn(conn)
	var tried []*backend
	for range maxConnectAttempts {
		b := l.pick(tried, time.Now())
		if b == nil {
			return
		}
		tried = append(tried, b)
		target, err := b.connect()
		if l.connected(b, conn, err) {
			splice(conn, target, RelayOptions{Blocked: func() bool { return b.process.isPartitionedFrom(NoUsers) }})
			l.disconnected(b, conn)
			return
		}
	}
}

// connect opens a connection to a controller. If users do not reach the controller, the attempt times out.
func (b *backend) connect() (net.Conn, error) {
	if b.process.isPartitionedFrom(NoUsers) {
		time.Sleep(connectTimeout)
		return nil, io.ErrClosedPipe
	}
	return dial(b.addr, connectTimeout)
}

// connected records whether the load balancer connected to a controller for a user, and returns whether it did. A
// controller that refuses several attempts in a row is skipped for a time.
func (l *LoadBalancer) connected(b *backend, conn net.Conn, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if b.connectFailures++; b.connectFailures >= maxConnectAttempts {
			b.skipUntil, b.connectFailures = time.Now().Add(refusedSkipTime), 0
		}
		return false
	}
	b.connectFailures = 0
	b.conns[conn] = true
	return true
}

func (l *LoadBalancer) disconnected(b *backend, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(b.conns, conn)
}
