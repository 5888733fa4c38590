package simulator

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	relayBufferBytes    = 16 << 10
	relayConnectTimeout = time.Second
	heldPollInterval    = 50 * time.Millisecond
)

// RelayOptions holds the conditions on connections between two ends, in both directions.
type RelayOptions struct {
	Blocked func() bool          // reports whether bytes are held back now; afterwards they are sent in order
	Delay   func() time.Duration // returns how long each chunk of bytes takes; nil: no delay
	Meter   *Meter               // counts the bytes; nil: they are not counted
}

// dial connects to an address, with a time-out.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp4", address)
}

// closeConn closes a connection that may be closed already.
func closeConn(conn net.Conn) { _ = conn.Close() }

// splice relays bytes between two connections until either is closed.
func splice(a, b net.Conn, options RelayOptions) {
	var passing sync.WaitGroup
	passing.Go(func() { options.pass(a, b) })
	passing.Go(func() { options.pass(b, a) })
	passing.Wait()
}

// pass relays the bytes that arrive from one connection to the other until either is closed.
func (options RelayOptions) pass(conn, from net.Conn) {
	defer closeConn(conn)
	defer closeConn(from)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if options.Delay != nil {
			time.Sleep(options.Delay())
		}
		for options.Blocked() {
			time.Sleep(heldPollInterval)
		}
		if n > 0 {
			if _, err := conn.Write(buffer[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// Relay accepts connections and relays each to an address, so that the network between two controllers can be
// partitioned.
func Relay(listener net.Listener, to string, options RelayOptions) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go relayConn(conn, to, options)
	}
}

func relayConn(conn net.Conn, to string, options RelayOptions) {
	defer closeConn(conn)
	if options.Blocked() {
		return
	}
	target, err := dial(to, relayConnectTimeout)
	if err != nil {
		return
	}
	if options.Meter != nil {
		target = options.Meter.Conn(target)
	}
	splice(conn, target, options)
}
