package simulator

import (
	"net"
	"strings"
	"sync/atomic"
)

// Meter counts the traffic of connections of one kind, in bytes of TCP payload: including the headers of HTTP,
// without those of TCP and IP.
type Meter struct {
	In, Out  atomic.Int64 // bytes read and written by this process
	Opened   atomic.Int64 // connections
	Messages atomic.Int64 // requests, if the server of the connections counts them
}

// Listen returns a listener whose accepted connections are metered.
func (m *Meter) Listen(ln net.Listener) net.Listener { return &meteredListener{ln, m} }

// Conn returns a metered connection.
func (m *Meter) Conn(c net.Conn) net.Conn {
	m.Opened.Add(1)
	return &meteredConn{c, m}
}

// meteredListener meters the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept accepts a connection and meters it.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}

// meteredConn counts the traffic of one connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read counts the bytes that it reads.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.In.Add(int64(n))
	return n, err
}

// Write counts the bytes that it writes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Out.Add(int64(n))
	return n, err
}

// StateRequests counts a controller's requests to the state service, by kind.
type StateRequests struct {
	Reads, Transactions, Leases, Watches atomic.Int64
}

// note counts a request by its path.
func (r *StateRequests) note(path string) {
	switch {
	case strings.HasPrefix(path, "/store"):
		r.Reads.Add(1)
	case strings.HasPrefix(path, "/txn"):
		r.Transactions.Add(1)
	case strings.HasPrefix(path, "/holds"):
		r.Leases.Add(1)
	case strings.HasPrefix(path, "/follow"):
		r.Watches.Add(1)
	}
}
