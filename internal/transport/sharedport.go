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
	// firstByteTimeout is the time after which a connection without any data is closed, and the time for
	// which an HTTP connection may wait until the server accepts it.
	firstByteTimeout = 3 * time.Second
	// acceptRetryDelay is the delay after an accept has failed.
	acceptRetryDelay = 50 * time.Millisecond
)

// Split serves the peers' connections on a port and returns a listener for the HTTP connections on the
// same port. Both end when the port is closed.
func (p *Peers) Split(port net.Listener) net.Listener {
	httpConns := &httpListener{Listener: port, conns: make(chan net.Conn), done: make(chan struct{})}
	go p.acceptAll(port, httpConns)
	return httpConns
}

// acceptAll accepts connections and routes each in a goroutine of its own until the port is closed. Then
// it waits for these goroutines.
func (p *Peers) acceptAll(port net.Listener, httpConns *httpListener) {
	var routed sync.WaitGroup
	defer routed.Wait()
	for {
		conn, err := port.Accept()
		if errors.Is(err, net.ErrClosed) {
			_ = httpConns.Close() // ends the HTTP listener; the port is already closed
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // no more sockets are available for now
			continue
		}
		select {
		case p.slots <- struct{}{}:
		default:
			_ = conn.Close() // no free slot; nothing was written to it
			continue
		}
		routed.Go(func() {
			defer func() { <-p.slots }()
			p.route(conn, httpConns)
		})
	}
}

// route receives a peer's messages if the first byte of the connection is that of a frame, and otherwise
// passes the connection to the HTTP listener.
func (p *Peers) route(conn net.Conn, httpConns *httpListener) {
	first, err := readFirstByte(conn)
	if err != nil {
		_ = conn.Close() // no data in time, or closed; nothing was written to it
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

// readFirstByte reads the first byte of a connection, with a timeout.
func readFirstByte(conn net.Conn) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(firstByteTimeout)); err != nil {
		return nil, err
	}
	first := make([]byte, 1)
	_, err := io.ReadFull(conn, first)
	return first, err
}

// replayedConn is a connection whose first bytes have been read and are returned again by Read.
type replayedConn struct {
	net.Conn
	first []byte // the bytes that Read has not returned yet
}

// Read returns the bytes that have been read before, and then reads from the connection.
func (c *replayedConn) Read(data []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(data, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(data)
}

// httpListener is the listener for the HTTP connections of a shared port.
type httpListener struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
	done  chan struct{} // closed with the listener
}

// offer passes a connection to Accept, and reports whether it was accepted within firstByteTimeout.
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

// Close closes the port, for HTTP and for peers.
func (l *httpListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
