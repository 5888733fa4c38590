package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"dykeledge/internal/protocol"
)

const (
	// firstByteTimeout is how long a connection may stay silent before it is closed, and how long an
	// HTTP connection may wait for the server to take it.
	firstByteTimeout = 3 * time.Second
	// acceptRetryDelay is how long to wait after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Split serves a port for peers and returns a listener for what speaks HTTP on it. It ends with the
// listener that it was given.
func (p *Peers) Split(port net.Listener) net.Listener {
	httpConns := &httpListener{Listener: port, conns: make(chan net.Conn), done: make(chan struct{})}
	go p.acceptAll(port, httpConns)
	return httpConns
}

// acceptAll routes connections until the listener is closed, and waits for those that it has routed.
func (p *Peers) acceptAll(port net.Listener, httpConns *httpListener) {
	var routed sync.WaitGroup
	defer routed.Wait()
	for {
		conn, err := port.Accept()
		if errors.Is(err, net.ErrClosed) {
			_ = httpConns.Close() // ends HTTP's side; the listener is closed already
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // out of sockets for now
			continue
		}
		select {
		case p.slots <- struct{}{}:
		default:
			_ = conn.Close() // too many at a time; nothing was written to it
			continue
		}
		routed.Go(func() {
			defer func() { <-p.slots }()
			p.route(conn, httpConns)
		})
	}
}

// route hears a connection if its first byte is that of a frame, and otherwise hands it to HTTP.
func (p *Peers) route(conn net.Conn, httpConns *httpListener) {
	first, err := readFirstByte(conn)
	if err != nil {
		_ = conn.Close() // silent or gone; nothing was written to it
		return
	}
	replayed := &replayedConn{conn, first}
	if first[0] == protocol.FrameMagic {
		p.receiveMessages(conn, replayed)
		return
	}
	if conn.SetReadDeadline(time.Time{}) != nil || !httpConns.offer(replayed) {
		_ = conn.Close() // nothing was written to it
	}
}

// readFirstByte waits for the first byte of a connection.
func readFirstByte(conn net.Conn) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(firstByteTimeout)); err != nil {
		return nil, err
	}
	first := make([]byte, 1)
	_, err := io.ReadFull(conn, first)
	return first, err
}

// replayedConn is a connection whose first bytes have been looked at.
type replayedConn struct {
	net.Conn
	first []byte // what is still to be read of them
}

// Read reads what has been looked at, and then from the connection.
func (c *replayedConn) Read(data []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(data, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(data)
}

// httpListener hands the HTTP connections of a shared port to a server.
type httpListener struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
	done  chan struct{} // closed with the listener
}

// offer hands a connection to the server; it fails if the server does not take it in time.
func (l *httpListener) offer(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	case <-time.After(firstByteTimeout):
		return false
	}
}

// Accept waits for the next HTTP connection.
func (l *httpListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the port, for peers too.
func (l *httpListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
