package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Controllers talk in frames: a magic byte that no HTTP request begins with, the
// format's version, the message's kind, a length of four bytes, and the payload.
// All that goes over it is a hint; losing any of it costs only speed.
const (
	FrameMagic      = 0xD7
	FrameVersion    = 2
	frameHeader     = 7
	MaxFrame        = 4 << 10
	maxPeerName     = 128
	maxShardDemands = 64
)

// The kinds of peer message.
const (
	KindHello              byte = 1 // who speaks
	KindPeerHeartbeat      byte = 2 // how the sender fares
	KindShardDemands       byte = 3 // a shard is short of room for top-priority work
	KindCancellationDigest byte = 4 // what the sender knows to be cancelled; for controllers of FramesCancellationDigest
)

// FramesCancellationDigest is the level of frames from which on a controller reads words. Its record says which
// level it reads: a kind that it does not know would end the connection.
const FramesCancellationDigest = 1

// MaxCancellations is how many cancellations a word may list. With names of up to MaxCancelledName
// bytes they fit into a frame.
const (
	MaxCancellations = 64
	MaxCancelledName = 48
)

// PeerMessage is any message between controllers.
type PeerMessage interface{ kind() byte }

// Hello opens a connection.
type Hello struct {
	Member      string
	Incarnation uint64
}

// PeerHeartbeat says how the sender fares.
type PeerHeartbeat struct {
	StateOK         bool   // the state service served it within the last second or two
	Revision        uint64 // how far its cache is
	OwnedShards     uint64 // shards it owns, as bits
	ChangeRateMilli uint32 // changes in the state service that it makes, in thousandths a second
}

// ShardDemands asks the leader for machines for a shard's top-priority work.
type ShardDemands struct {
	Shards []ShardDemand
}

// ShardDemand is what one shard lacks.
type ShardDemand struct {
	Shard    uint32
	OnDemand bool
	Cpus     float64
}

// CancellationDigest vouches for what the sender has confirmed to users until it was said: every cancellation
// whose record is later than From is listed. Times are the sender's time of day in milliseconds.
type CancellationDigest struct {
	At            int64 // when it was said
	ProcessStart  int64 // when the sender's process began
	From          uint64
	Cancellations []Cancellation // by their records' versions, the earliest first
}

// Cancellation is a job whose final record says that it is cancelled.
type Cancellation struct {
	Version uint64 // of that record
	Job     string
}

func (CancellationDigest) kind() byte { return KindCancellationDigest }
func (Hello) kind() byte              { return KindHello }
func (PeerHeartbeat) kind() byte      { return KindPeerHeartbeat }
func (ShardDemands) kind() byte       { return KindShardDemands }

// ErrFrame says that what came is no valid frame; the connection must be closed.
var ErrFrame = errors.New("malformed frame")

// AppendFrame writes a message as a frame.
func AppendFrame(data []byte, peerMessage PeerMessage) ([]byte, error) {
	start := len(data)
	data = append(data, FrameMagic, FrameVersion, peerMessage.kind(), 0, 0, 0, 0)
	switch x := peerMessage.(type) {
	case Hello:
		if x.Member == "" || len(x.Member) > maxPeerName {
			return data[:start], fmt.Errorf("%w: node name of %d bytes", ErrFrame, len(x.Member))
		}
		data = append(data, byte(len(x.Member)))
		data = append(data, x.Member...)
		data = binary.BigEndian.AppendUint64(data, x.Incarnation)
	case PeerHeartbeat:
		ok := byte(0)
		if x.StateOK {
			ok = 1
		}
		data = append(data, ok)
		data = binary.BigEndian.AppendUint64(data, x.Revision)
		data = binary.BigEndian.AppendUint64(data, x.OwnedShards)
		data = binary.BigEndian.AppendUint32(data, x.ChangeRateMilli)
	case ShardDemands:
		if len(x.Shards) > maxShardDemands {
			return data[:start], fmt.Errorf("%w: %d needs", ErrFrame, len(x.Shards))
		}
		data = append(data, byte(len(x.Shards)))
		for _, s := range x.Shards {
			o := byte(0)
			if s.OnDemand {
				o = 1
			}
			data = binary.BigEndian.AppendUint32(data, s.Shard)
			data = append(data, o)
			data = binary.BigEndian.AppendUint64(data, math.Float64bits(s.Cpus))
		}
	case CancellationDigest:
		if len(x.Cancellations) > MaxCancellations {
			return data[:start], fmt.Errorf("%w: %d cancellations", ErrFrame, len(x.Cancellations))
		}
		data = binary.BigEndian.AppendUint64(data, uint64(x.At))
		data = binary.BigEndian.AppendUint64(data, uint64(x.ProcessStart))
		data = binary.BigEndian.AppendUint64(data, x.From)
		data = append(data, byte(len(x.Cancellations)))
		for _, e := range x.Cancellations {
			if e.Job == "" || len(e.Job) > MaxCancelledName {
				return data[:start], fmt.Errorf("%w: job name of %d bytes", ErrFrame, len(e.Job))
			}
			data = binary.BigEndian.AppendUint64(data, e.Version)
			data = append(data, byte(len(e.Job)))
			data = append(data, e.Job...)
		}
	default:
		return data[:start], fmt.Errorf("%w: unknown message %T", ErrFrame, peerMessage)
	}
	binary.BigEndian.PutUint32(data[start+3:], uint32(len(data)-start-frameHeader))
	return data, nil
}

// ReadFrame reads one message.
func ReadFrame(reader io.Reader) (PeerMessage, error) {
	var h [frameHeader]byte
	if _, err := io.ReadFull(reader, h[:]); err != nil {
		return nil, err
	}
	if h[0] != FrameMagic {
		return nil, fmt.Errorf("%w: begins with %#x", ErrFrame, h[0])
	}
	if h[1] != FrameVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrFrame, h[1], FrameVersion)
	}
	n := binary.BigEndian.Uint32(h[3:])
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	p := make([]byte, n)
	if _, err := io.ReadFull(reader, p); err != nil {
		return nil, err
	}
	return decodePeerMessage(h[2], p)
}

type frameReader struct {
	rest      []byte
	malformed bool
}

func (c *frameReader) take(n int) []byte {
	if c.malformed || len(c.rest) < n {
		c.malformed = true
		return make([]byte, n)
	}
	out := c.rest[:n]
	c.rest = c.rest[n:]
	return out
}

func (c *frameReader) u8() byte    { return c.take(1)[0] }
func (c *frameReader) u32() uint32 { return binary.BigEndian.Uint32(c.take(4)) }
func (c *frameReader) u64() uint64 { return binary.BigEndian.Uint64(c.take(8)) }

func (c *frameReader) flag() bool {
	v := c.u8()
	if v > 1 {
		c.malformed = true
	}
	return v == 1
}

func decodePeerMessage(kind byte, payload []byte) (PeerMessage, error) {
	protocolFrameReader := &frameReader{rest: payload}
	var peerMessage PeerMessage
	switch kind {
	case KindHello:
		n := int(protocolFrameReader.u8())
		if n == 0 || n > maxPeerName {
			protocolFrameReader.malformed = true
			n = 0
		}
		name := string(protocolFrameReader.take(n))
		peerMessage = Hello{Member: name, Incarnation: protocolFrameReader.u64()}
	case KindPeerHeartbeat:
		peerMessage = PeerHeartbeat{StateOK: protocolFrameReader.flag(), Revision: protocolFrameReader.u64(), OwnedShards: protocolFrameReader.u64(), ChangeRateMilli: protocolFrameReader.u32()}
	case KindShardDemands:
		n := int(protocolFrameReader.u8())
		if n > maxShardDemands {
			protocolFrameReader.malformed = true
			n = 0
		}
		x := ShardDemands{}
		for range n {
			s := ShardDemand{Shard: protocolFrameReader.u32(), OnDemand: protocolFrameReader.flag(), Cpus: math.Float64frombits(protocolFrameReader.u64())}
			if math.IsNaN(s.Cpus) || math.IsInf(s.Cpus, 0) || s.Cpus < 0 {
				protocolFrameReader.malformed = true
			}
			x.Shards = append(x.Shards, s)
		}
		peerMessage = x
	case KindCancellationDigest:
		cancellationDigest := CancellationDigest{At: int64(protocolFrameReader.u64()), ProcessStart: int64(protocolFrameReader.u64()), From: protocolFrameReader.u64()}
		n := int(protocolFrameReader.u8())
		if n > MaxCancellations || cancellationDigest.At < 0 || cancellationDigest.ProcessStart < 0 || cancellationDigest.ProcessStart > cancellationDigest.At {
			protocolFrameReader.malformed = true
			n = 0
		}
		for range n {
			e := Cancellation{Version: protocolFrameReader.u64()}
			l := int(protocolFrameReader.u8())
			if l == 0 || l > MaxCancelledName {
				protocolFrameReader.malformed = true
				l = 0
			}
			e.Job = string(protocolFrameReader.take(l))
			cancellationDigest.Cancellations = append(cancellationDigest.Cancellations, e)
		}
		peerMessage = cancellationDigest
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrFrame, kind)
	}
	if protocolFrameReader.malformed || len(protocolFrameReader.rest) != 0 {
		return nil, fmt.Errorf("%w: kind %d with %d bytes", ErrFrame, kind, len(payload))
	}
	return peerMessage, nil
}
