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
	frameReadTimeout      = 10 * time.Second // for the whole next frame to arrive
	peerHeartbeatInterval = 500 * time.Millisecond
	peerDialTimeout       = 2 * time.Second
	peerWriteTimeout      = 2 * time.Second
	peerRedialDelay       = time.Second
	peerReadBuffer        = 512 // bytes
	maxPeerConns          = 64  // on the shared port: being routed or received from, and in addition of HTTP clients
)

// PeerCore is the part of a controller that the peer connections use. All messages are hints: losing one
// causes delays, but no errors.
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

// Peers exchanges messages with the other controllers. Their connections share a port with HTTP; the
// first byte of a connection distinguishes them.
type Peers struct {
	core  PeerCore
	cfg   *config.Settings
	log   *slog.Logger
	slots chan struct{} // semaphore: one element for each connection that is being routed or received from
}

// NewPeers returns a Peers for the controllers that the settings list.
func NewPeers(cfg *config.Settings, core PeerCore, log *slog.Logger) *Peers {
	return &Peers{core: core, cfg: cfg, log: log, slots: make(chan struct{}, maxPeerConns)}
}

// Run starts goroutines that keep a connection to every known controller until the context is done, and
// returns at once.
func (p *Peers) Run(ctx context.Context) {
	for _, peer := range p.cfg.KnownPeers {
		go p.keepConnected(ctx, peer)
	}
}

// keepConnected sends messages to a peer and reconnects whenever the connection ends, until the context
// is done.
func (p *Peers) keepConnected(ctx context.Context, peer config.Peer) {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", peer.Address)
		if err == nil {
			p.sendMessages(ctx, conn, peer.MemberName)
		}
		_ = sleep(ctx, peerRedialDelay) // the loop condition checks the context
	}
}

// sendMessages sends this controller's state to a peer at regular intervals until the context is done or
// the connection ends. Then it closes the connection.
func (p *Peers) sendMessages(ctx context.Context, conn net.Conn, member string) {
	closed := detectClose(conn)
	defer func() {
		_ = conn.Close() // only hints were written, so it does not matter whether they arrived
		<-closed
	}()
	// The incarnation is 0 before this controller is a member. It connects nevertheless, so that restarted
	// controllers can exchange messages in an outage of the state service.
	hello := protocol.Hello{Member: p.cfg.MemberName, Incarnation: p.core.Incarnation()}
	frames, err := protocol.AppendFrame(nil, hello)
	if err != nil {
		p.log.Error("hello message can't be encoded, closing peer connection", "err", err)
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

// detectClose returns a channel that is closed when a connection ends on which the other side never
// sends: a pending read returns then. Without a pending read, a connection that the other side has
// closed could be written to for ever.
func detectClose(conn net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1)) // whatever it returns, the connection has ended
	}()
	return closed
}

// appendMessages appends the frames to send to a peer now. It returns false only if a message of this
// controller can't be encoded, which is a bug and is logged.
func (p *Peers) appendMessages(frames []byte, member string) ([]byte, bool) {
	frames, err := protocol.AppendFrame(frames, p.core.PeerHeartbeat())
	if err != nil {
		p.log.Error("peer heartbeat can't be encoded, closing peer connection", "err", err)
		return frames, false
	}
	if demands := p.core.ShardDemands(); len(demands) > 0 {
		if frames, err = protocol.AppendFrame(frames, protocol.ShardDemands{Shards: demands}); err != nil {
			p.log.Error("shard demands can't be encoded, closing peer connection", "err", err)
			return frames, false
		}
	}
	if digest, ok := p.core.CancellationDigest(member); ok {
		if frames, err = protocol.AppendFrame(frames, digest); err != nil {
			p.log.Error("cancellation digest can't be encoded, closing peer connection", "err", err)
			return frames, false
		}
	}
	return frames, true
}

// receiveMessages reads frames until the connection ends, a frame is malformed, or the sender is not a
// known controller. Then it closes the connection.
func (p *Peers) receiveMessages(conn net.Conn, reader io.Reader) {
	defer func() { _ = conn.Close() }() // nothing was written to it
	member := ""                        // the sender's name, once it has sent a hello message
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
				p.log.Info("peer is not in the settings, closing connection", "peer", hello.Member)
				return
			}
			continue
		}
		if member != "" {
			p.receive(member, message)
		}
	}
}

// connectionEnded reports the end of a peer's connection to the controller, and logs malformed frames.
func (p *Peers) connectionEnded(conn net.Conn, member string, err error) {
	if errors.Is(err, protocol.ErrMalformedFrame) {
		p.log.Info("malformed frame from peer, connection closed", "peer", member, "from", conn.RemoteAddr().String(), "err", err)
	}
	if member != "" {
		p.core.PeerDisconnected(member)
	}
}

// identify returns the name in a hello message if it is that of a known controller, and otherwise the
// current name.
func (p *Peers) identify(hello protocol.Hello, current string) string {
	for _, peer := range p.cfg.KnownPeers {
		if peer.MemberName == hello.Member {
			return hello.Member
		}
	}
	return current
}

// receive passes a peer's message to the controller.
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
