package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// Timing and limits of the connections between controllers.
const (
	frameReadTimeout      = 10 * time.Second // until the next frame has to be there, whole
	peerHeartbeatInterval = 500 * time.Millisecond
	peerDialTimeout       = 2 * time.Second
	peerWriteTimeout      = 2 * time.Second
	peerRedialDelay       = time.Second
	peerReadBuffer        = 512 // bytes
	maxPeerConns          = 64  // on the shared port, peers and HTTP together
)

// PeerCore is what the peer links need of a controller. All of it is hints.
type PeerCore interface {
	PeerHeartbeat() protocol.PeerHeartbeat
	Incarnation() uint64
	ShardDemands() []protocol.ShardDemand
	CancellationDigest(member string) (protocol.CancellationDigest, bool)
	ReceiveCancellationDigest(member string, digest protocol.CancellationDigest)
	ReceivePeerHeartbeat(member string, heartbeat protocol.PeerHeartbeat)
	ReceiveShardDemands(member string, demands protocol.ShardDemands)
	PeerDisconnected(member string)
}

// Peers talks with the other controllers, and tells their frames from HTTP on
// the same port by the first byte.
type Peers struct {
	core  PeerCore
	cfg   *config.Settings
	log   *slog.Logger
	slots chan struct{} // one for each connection of the shared port
}

// NewPeers makes the links.
func NewPeers(cfg *config.Settings, core PeerCore, log *slog.Logger) *Peers {
	return &Peers{core: core, cfg: cfg, log: log, slots: make(chan struct{}, maxPeerConns)}
}

// Run keeps a connection to every known controller until the context ends. It does not wait for that.
func (p *Peers) Run(ctx context.Context) {
	for _, peer := range p.cfg.Known {
		go p.keepConnected(ctx, peer)
	}
}

// keepConnected speaks to a peer over one connection after the other.
func (p *Peers) keepConnected(ctx context.Context, peer config.Peer) {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", peer.Address)
		if err == nil {
			p.sendMessages(ctx, conn, peer.MemberName)
		}
		_ = sleep(ctx, peerRedialDelay) // the loop sees whether the context has ended
	}
}

// sendMessages tells a peer how this controller fares until the context or the connection ends; then it
// closes the connection.
func (p *Peers) sendMessages(ctx context.Context, conn net.Conn, member string) {
	closed := detectClose(conn)
	defer func() {
		_ = conn.Close() // what was written are hints: whether they have arrived does not matter
		<-closed
	}()
	// Before it is a member its number is 0: in an outage restarted controllers must hear one another.
	hello := protocol.Hello{Member: p.cfg.MemberName, Incarnation: p.core.Incarnation()}
	frames, err := protocol.AppendFrame(nil, hello)
	if err != nil {
		p.log.Error("hello cannot be written", "err", err)
		return
	}
	for ctx.Err() == nil {
		var ok bool
		if frames, ok = p.appendMessages(frames, member); !ok {
			return
		}
		if conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)) != nil {
			return
		}
		if _, err := conn.Write(frames); err != nil {
			return
		}
		frames = frames[:0]
		select {
		case <-ctx.Done():
		case <-closed:
			return
		case <-time.After(peerHeartbeatInterval):
		}
	}
}

// detectClose tells when a connection on which the other side never sends has ended: a read ends when it
// closes. Without one, a connection that it has given up could be written to for ever.
func detectClose(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1)) // whatever it returns, the connection is over
	}()
	return closed
}

// appendMessages appends the frames of what there is to tell a peer now. It fails only by a fault in this
// controller, which it logs.
func (p *Peers) appendMessages(frames []byte, member string) ([]byte, bool) {
	frames, err := protocol.AppendFrame(frames, p.core.PeerHeartbeat())
	if err != nil {
		p.log.Error("peer heartbeat not written", "err", err)
		return frames, false
	}
	if demands := p.core.ShardDemands(); len(demands) > 0 {
		if frames, err = protocol.AppendFrame(frames, protocol.ShardDemands{Shards: demands}); err != nil {
			p.log.Error("shard demands not written", "err", err)
			return frames, false
		}
	}
	if digest, ok := p.core.CancellationDigest(member); ok {
		if frames, err = protocol.AppendFrame(frames, digest); err != nil {
			p.log.Error("cancellation digest not written", "err", err)
			return frames, false
		}
	}
	return frames, true
}

// receiveMessages reads a peer's frames until the connection ends, one is malformed, or it turns out not to be a
// peer's; then it closes the connection.
func (p *Peers) receiveMessages(conn net.Conn, reader io.Reader) {
	defer func() { _ = conn.Close() }() // nothing was written to it
	member := ""                        // who speaks, once it has said so
	buffered := bufio.NewReaderSize(reader, peerReadBuffer)
	for {
		if conn.SetReadDeadline(time.Now().Add(frameReadTimeout)) != nil {
			return
		}
		message, err := protocol.ReadFrame(buffered)
		if err != nil {
			p.connectionEnded(conn, member, err)
			return
		}
		if hello, ok := message.(protocol.Hello); ok {
			if member = p.identify(hello, member); member == "" {
				p.log.Info("unknown peer", "peer", hello.Member)
				return
			}
			continue
		}
		if member != "" {
			p.receive(member, message)
		}
	}
}

// connectionEnded tells the controller that a peer can no longer be heard.
func (p *Peers) connectionEnded(conn net.Conn, member string, err error) {
	if errors.Is(err, protocol.ErrFrame) {
		p.log.Info("peer connection closed", "peer", member, "from", conn.RemoteAddr().String(), "err", err)
	}
	if member != "" {
		p.core.PeerDisconnected(member)
	}
}

// identify is the known controller that a hello names, or the one from before if it names none.
func (p *Peers) identify(hello protocol.Hello, current string) string {
	for _, peer := range p.cfg.Known {
		if peer.MemberName == hello.Member {
			return hello.Member
		}
	}
	return current
}

// receive hands a peer's message to the controller.
func (p *Peers) receive(member string, message protocol.PeerMessage) {
	switch message := message.(type) {
	case protocol.PeerHeartbeat:
		p.core.ReceivePeerHeartbeat(member, message)
	case protocol.ShardDemands:
		p.core.ReceiveShardDemands(member, message)
	case protocol.CancellationDigest:
		p.core.ReceiveCancellationDigest(member, message)
	}
}
