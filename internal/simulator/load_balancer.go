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

// LoadBalancer stands in for the load balancer between users and controllers. It works at the connection
// level: each new connection goes to a healthy controller, fewer open ones first, and no request
// is looked at.
type LoadBalancer struct {
	mu       sync.Mutex
	backends []*backend
}

// backend is a controller as the balancer sees it.
type backend struct {
	process         *ControllerProcess
	addr            string
	conns           map[net.Conn]bool
	healthy         bool
	everHealthy     bool
	failedProbes    []bool // of the last probes, whether each failed
	healthyProbes   int    // successes in a row
	healthChangedAt time.Time
	removedAt       time.Time
	returnDelay     time.Duration // before it may become healthy again
	connectFailures int           // connections in a row
	skipUntil       time.Time
}

// The balancer's timing, as the protocol has it.
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
	probeWindow         = 6   // the last probes of a controller that count
	maxProbeFailures    = 3   // a controller with as many failures among them is removed
	initialLoadFraction = 0.1 // the part of the load that a controller gets as it becomes healthy
)

// NewLoadBalancer makes a balancer; AddController adds the controllers, then Run probes and Serve serves.
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
				l.probed(b, b.probe(client), time.Now())
				wait.For(ctx, probeInterval)
			}
		}()
	}
}

// probe asks a controller whether it is ready.
func (b *backend) probe(client *fasthttp.Client) bool {
	if b.process.isPartitionedFrom(NoUsers) {
		return false
	}
	status, _, err := client.GetTimeout(nil, "http://"+b.addr+"/ready", probeInterval)
	return err == nil && status == fasthttp.StatusOK
}

// probed takes a probe's outcome.
func (l *LoadBalancer) probed(b *backend, ok bool, now time.Time) {
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
			_ = c.Close() // a reset: its user connects anew
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

// mustBeRemoved tells, after a probe that failed, whether the one before failed too, or too many of the last ones.
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

// remove gives a controller no new connections; one that was removed a while ago waits for longer than before.
func (b *backend) remove(now time.Time) {
	if !b.removedAt.IsZero() && now.Sub(b.removedAt) < returnDelayResetTime {
		b.returnDelay = min(maxReturnDelay, 2*b.returnDelay)
	} else {
		b.returnDelay = initialReturnDelay
	}
	b.healthy, b.healthChangedAt, b.removedAt = false, now, now
}

// mayReturn tells, after a probe that succeeded, whether the controller gets connections again.
func (b *backend) mayReturn(now time.Time) bool {
	return !b.everHealthy || b.healthyProbes >= 2 && now.Sub(b.healthChangedAt) >= b.returnDelay
}

// pick chooses a controller for a new connection, leaving out those that were tried.
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

// Serve takes users' connections until the listener is closed.
func (l *LoadBalancer) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go l.forward(c)
	}
}

// forward passes a user's connection on to a controller.
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
			splice(conn, target, Direction{Held: func() bool { return b.process.isPartitionedFrom(NoUsers) }})
			l.disconnected(b, conn)
			return
		}
	}
}

// connect opens a connection to a controller; one that users don't reach does not answer.
func (b *backend) connect() (net.Conn, error) {
	if b.process.isPartitionedFrom(NoUsers) {
		time.Sleep(connectTimeout)
		return nil, io.ErrClosedPipe
	}
	return dial(b.addr, connectTimeout)
}

// connected notes whether a user's connection was passed on to a controller; one that refuses several in a row is left
// out for a while.
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
