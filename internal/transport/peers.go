package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

const (
	firstByteWithin       = 3 * time.Second // a connection that stays silent longer is closed
	frameWithin           = 10 * time.Second
	peerHeartbeatInterval = 500 * time.Millisecond
	maxPeerConns          = 64
)

// PeerCore is what the peer links need of a controller. All of it is hints.
type PeerCore interface {
	PeerHeartbeat() protocol.PeerHeartbeat
	Incarnation() uint64
	ShardDemands() []protocol.ShardDemand
	CancellationDigest(node string) (protocol.CancellationDigest, bool)
	ReceiveCancellationDigest(node string, w protocol.CancellationDigest)
	ReceivePeerHeartbeat(node string, p protocol.PeerHeartbeat)
	ReceiveShardDemands(node string, n protocol.ShardDemands)
	PeerDisconnected(node string)
}

// Peers talks with the other controllers, and tells their frames from HTTP on
// the same port by the first byte.
type Peers struct {
	core  PeerCore
	cfg   *config.Settings
	log   *slog.Logger
	slots chan struct{}
}

// NewPeers makes the links.
func NewPeers(cfg *config.Settings, core PeerCore, log *slog.Logger) *Peers {
	return &Peers{core: core, cfg: cfg, log: log, slots: make(chan struct{}, maxPeerConns)}
}

// Run keeps a connection to every known controller.
func (p *Peers) Run(ctx context.Context) {
	for _, k := range p.cfg.Known {
		go p.keep(ctx, k)
	}
}

func (p *Peers) keep(ctx context.Context, k config.Peer) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", k.Address, 2*time.Second)
		if err == nil {
			p.speak(ctx, conn, k.MemberName)
			_ = conn.Close() // nothing more is wanted of it
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (p *Peers) speak(ctx context.Context, conn net.Conn, to string) {
	// The other side never sends: a read ends when it closes. Without one, a
	// connection that it has given up could be written to for ever.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = conn.Read(make([]byte, 1)) // whatever it returns, the connection is over
	}()
	// Before it is a member its number is 0: in an outage restarted controllers must hear one another.
	buf, err := protocol.AppendFrame(nil, protocol.Hello{Member: p.cfg.MemberName, Incarnation: p.core.Incarnation()})
	if err != nil {
		p.log.Error("hello cannot be written", "err", err)
		return
	}
	for ctx.Err() == nil {
		if buf, err = protocol.AppendFrame(buf, p.core.PeerHeartbeat()); err != nil {
			p.log.Error("pulse cannot be written", "err", err)
			return
		}
		if needs := p.core.ShardDemands(); len(needs) > 0 {
			if buf, err = protocol.AppendFrame(buf, protocol.ShardDemands{Shards: needs}); err != nil {
				p.log.Error("need cannot be written", "err", err)
				return
			}
		}
		if word, ok := p.core.CancellationDigest(to); ok {
			if buf, err = protocol.AppendFrame(buf, word); err != nil {
				p.log.Error("word cannot be written", "err", err)
				return
			}
		}
		if conn.SetWriteDeadline(time.Now().Add(2*time.Second)) != nil {
			return
		}
		if _, err := conn.Write(buf); err != nil {
			return
		}
		buf = buf[:0]
		select {
		case <-ctx.Done():
		case <-ended:
			return
		case <-time.After(peerHeartbeatInterval):
		}
	}
}

// hear reads a peer's frames until the connection ends or one is malformed.
func (p *Peers) hear(conn net.Conn, reader io.Reader) {
	defer conn.Close()
	node := ""
	buffered := bufio.NewReaderSize(reader, 512)
	for {
		if conn.SetReadDeadline(time.Now().Add(frameWithin)) != nil {
			return
		}
		peerMessage, err := protocol.ReadFrame(buffered)
		if err != nil {
			if errors.Is(err, protocol.ErrFrame) {
				p.log.Info("peer connection closed", "peer", node, "from", conn.RemoteAddr().String(), "err", err)
			}
			if node != "" {
				p.core.PeerDisconnected(node)
			}
			return
		}
		switch x := peerMessage.(type) {
		case protocol.Hello:
			for _, k := range p.cfg.Known {
				if k.MemberName == x.Member {
					node = x.Member
				}
			}
			if node == "" {
				p.log.Info("unknown peer", "peer", x.Member)
				return
			}
		case protocol.PeerHeartbeat:
			if node != "" {
				p.core.ReceivePeerHeartbeat(node, x)
			}
		case protocol.ShardDemands:
			if node != "" {
				p.core.ReceiveShardDemands(node, x)
			}
		case protocol.CancellationDigest:
			if node != "" {
				p.core.ReceiveCancellationDigest(node, x)
			}
		}
	}
}

// replayed is a connection whose first byte has been looked at.
type replayed struct {
	net.Conn
	first []byte
}

func (c *replayed) Read(b []byte) (int, error) {
	if len(c.first) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// httpListener hands the HTTP connections of a shared port to a server.
type httpListener struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *httpListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *httpListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Split serves a port for peers and returns a listener for what speaks HTTP on it.
func (p *Peers) Split(listener net.Listener) net.Listener {
	transportHttpListener := &httpListener{Listener: listener, conns: make(chan net.Conn), done: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					_ = transportHttpListener.Close() // it is closed already
					return
				}
				time.Sleep(50 * time.Millisecond) // out of sockets for now
				continue
			}
			select {
			case p.slots <- struct{}{}:
			default:
				_ = conn.Close() // too many at a time
				continue
			}
			go func() {
				defer func() { <-p.slots }()
				p.route(transportHttpListener, conn)
			}()
		}
	}()
	return transportHttpListener
}

func (p *Peers) route(transportHttpListener *httpListener, conn net.Conn) {
	first := make([]byte, 1)
	if conn.SetReadDeadline(time.Now().Add(firstByteWithin)) != nil {
		_ = conn.Close()
		return
	}
	if _, err := io.ReadFull(conn, first); err != nil {
		_ = conn.Close() // silent or gone
		return
	}
	if first[0] == protocol.FrameMagic {
		p.hear(conn, &replayed{conn, first})
		return
	}
	if conn.SetReadDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	select {
	case transportHttpListener.conns <- &replayed{conn, first}:
	case <-transportHttpListener.done:
		_ = conn.Close()
	case <-time.After(firstByteWithin):
		_ = conn.Close()
	}
}
