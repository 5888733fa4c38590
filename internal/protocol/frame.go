package protocol

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// A frame consists of a magic byte with which no HTTP request begins, the version of the format, the
// message kind, the length of the payload in four bytes, and the payload. Numbers are big-endian.
// Messages between controllers are hints: a lost message causes delays, but no errors.
const (
	FrameMagic      = 0xD7
	FrameVersion    = 2
	MaxFramePayload = 4 << 10 // bytes of payload

	frameLengthOffset = 3 // offset of the payload's length in the header
	frameHeaderSize   = 7 // bytes in the header, which precedes the payload
)

// AppendFrame appends a message to data as a frame. On an error, which wraps ErrMalformedFrame, it returns
// data unchanged.
func AppendFrame(data []byte, peerMessage PeerMessage) ([]byte, error) {
	start := len(data)
	framed := append(data, FrameMagic, FrameVersion, peerMessage.kind(), 0, 0, 0, 0)
	framed, err := peerMessage.appendPayload(framed)
	if err != nil {
		return data, err
	}
	length := len(framed) - start - frameHeaderSize
	binary.BigEndian.PutUint32(framed[start+frameLengthOffset:], uint32(length))
	return framed, nil
}

func (h Hello) appendPayload(payload []byte) ([]byte, error) {
	if h.Member == "" || len(h.Member) > maxMemberNameBytes {
		return nil, fmt.Errorf("%w: member name is empty or too long (%d bytes)", ErrMalformedFrame, len(h.Member))
	}
	payload = appendText(payload, h.Member)
	return binary.BigEndian.AppendUint64(payload, h.Incarnation), nil
}

func (h PeerHeartbeat) appendPayload(payload []byte) ([]byte, error) {
	payload = appendFlag(payload, h.StateOK)
	payload = binary.BigEndian.AppendUint64(payload, h.Revision)
	payload = binary.BigEndian.AppendUint64(payload, h.OwnedShards)
	return binary.BigEndian.AppendUint32(payload, h.ChangeRateMilli), nil
}

func (d ShardDemands) appendPayload(payload []byte) ([]byte, error) {
	if len(d.Shards) > maxShardDemands {
		return nil, fmt.Errorf("%w: %d shard demands exceed the maximum", ErrMalformedFrame, len(d.Shards))
	}
	payload = append(payload, byte(len(d.Shards)))
	for _, demand := range d.Shards {
		payload = binary.BigEndian.AppendUint32(payload, demand.Shard)
		payload = appendFlag(payload, demand.OnDemand)
		payload = binary.BigEndian.AppendUint64(payload, math.Float64bits(demand.Cpus))
	}
	return payload, nil
}

func (d CancellationDigest) appendPayload(payload []byte) ([]byte, error) {
	if len(d.Cancellations) > MaxCancellations {
		return nil, fmt.Errorf("%w: %d cancellations exceed the maximum", ErrMalformedFrame, len(d.Cancellations))
	}
	payload = binary.BigEndian.AppendUint64(payload, uint64(d.CreatedAtMs))
	payload = binary.BigEndian.AppendUint64(payload, uint64(d.ProcessStartMs))
	payload = binary.BigEndian.AppendUint64(payload, d.AfterVersion)
	payload = append(payload, byte(len(d.Cancellations)))
	for _, cancellation := range d.Cancellations {
		if cancellation.Job == "" || len(cancellation.Job) > MaxCancelledIDBytes {
			return nil, fmt.Errorf("%w: job ID is empty or too long (%d bytes)", ErrMalformedFrame, len(cancellation.Job))
		}
		payload = binary.BigEndian.AppendUint64(payload, cancellation.Version)
		payload = appendText(payload, cancellation.Job)
	}
	return payload, nil
}

// appendText appends the length of a text, in one byte, and the text, which has at most 255 bytes.
func appendText(payload []byte, text string) []byte {
	payload = append(payload, byte(len(text)))
	return append(payload, text...)
}

func appendFlag(payload []byte, set bool) []byte {
	if set {
		return append(payload, 1)
	}
	return append(payload, 0)
}

// ReadFrame reads one message. If the frame is malformed, the error wraps ErrMalformedFrame; all other
// errors are those of the reader.
func ReadFrame(reader io.Reader) (PeerMessage, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	magic, version, kind := header[0], header[1], header[2]
	if magic != FrameMagic {
		return nil, fmt.Errorf("%w: first byte is %#x, not the magic byte", ErrMalformedFrame, magic)
	}
	if version != FrameVersion {
		return nil, fmt.Errorf("%w: format version is %d, want %d", ErrMalformedFrame, version, FrameVersion)
	}
	length := binary.BigEndian.Uint32(header[frameLengthOffset:])
	if length > MaxFramePayload {
		return nil, fmt.Errorf("%w: payload of %d bytes exceeds the maximum", ErrMalformedFrame, length)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	return decodePayload(kind, payload)
}

// decodePayload decodes the payload of a frame. It is malformed if bytes remain after the message.
func decodePayload(kind byte, payload []byte) (PeerMessage, error) {
	reader := &payloadReader{rest: payload}
	var message PeerMessage
	switch kind {
	case KindHello:
		message = reader.hello()
	case KindPeerHeartbeat:
		message = reader.peerHeartbeat()
	case KindShardDemands:
		message = reader.shardDemands()
	case KindCancellationDigest:
		message = reader.cancellationDigest()
	default:
		return nil, fmt.Errorf("%w: unknown message kind %d", ErrMalformedFrame, kind)
	}
	if reader.malformed || len(reader.rest) != 0 {
		return nil, fmt.Errorf("%w: message kind %d has an invalid payload of %d bytes", ErrMalformedFrame, kind, len(payload))
	}
	return message, nil
}

// payloadReader decodes a payload from its beginning. After the first invalid value malformed is set and
// all further values are zero.
type payloadReader struct {
	rest      []byte // the bytes that have not been read
	malformed bool
}

func (r *payloadReader) hello() Hello {
	var hello Hello
	hello.Member = r.text(maxMemberNameBytes)
	hello.Incarnation = r.uint64()
	return hello
}

func (r *payloadReader) peerHeartbeat() PeerHeartbeat {
	var heartbeat PeerHeartbeat
	heartbeat.StateOK = r.flag()
	heartbeat.Revision = r.uint64()
	heartbeat.OwnedShards = r.uint64()
	heartbeat.ChangeRateMilli = r.uint32()
	return heartbeat
}

func (r *payloadReader) shardDemands() ShardDemands {
	var demands ShardDemands
	for range r.count(maxShardDemands) {
		demands.Shards = append(demands.Shards, r.shardDemand())
	}
	return demands
}

func (r *payloadReader) shardDemand() ShardDemand {
	var demand ShardDemand
	demand.Shard = r.uint32()
	demand.OnDemand = r.flag()
	demand.Cpus = math.Float64frombits(r.uint64())
	r.expect(demand.Cpus >= 0 && !math.IsInf(demand.Cpus, 0)) // also false for NaN
	return demand
}

func (r *payloadReader) cancellationDigest() CancellationDigest {
	var digest CancellationDigest
	digest.CreatedAtMs = int64(r.uint64())
	digest.ProcessStartMs = int64(r.uint64())
	digest.AfterVersion = r.uint64()
	r.expect(digest.ProcessStartMs >= 0 && digest.ProcessStartMs <= digest.CreatedAtMs)
	for range r.count(MaxCancellations) {
		digest.Cancellations = append(digest.Cancellations, r.cancellation())
	}
	return digest
}

func (r *payloadReader) cancellation() Cancellation {
	var cancellation Cancellation
	cancellation.Version = r.uint64()
	cancellation.Job = r.text(MaxCancelledIDBytes)
	return cancellation
}

// expect sets malformed unless a condition on the values that were read holds.
func (r *payloadReader) expect(holds bool) {
	if !holds {
		r.malformed = true
	}
}

// take reads and returns the next length bytes; zeros if there are too few or the payload is malformed.
func (r *payloadReader) take(length int) []byte {
	if r.malformed || len(r.rest) < length {
		r.malformed = true
		return make([]byte, length)
	}
	taken := r.rest[:length]
	r.rest = r.rest[length:]
	return taken
}

func (r *payloadReader) uint8() byte    { return r.take(1)[0] }
func (r *payloadReader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *payloadReader) uint64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func (r *payloadReader) flag() bool {
	value := r.uint8()
	r.expect(value <= 1)
	return value == 1
}

// count reads the length of a list, at most maximum entries.
func (r *payloadReader) count(maximum int) int {
	count := int(r.uint8())
	r.expect(count <= maximum)
	if r.malformed {
		return 0
	}
	return count
}

// text reads a text of 1 to maximum bytes.
func (r *payloadReader) text(maximum int) string {
	length := int(r.uint8())
	r.expect(length > 0 && length <= maximum)
	if r.malformed {
		return ""
	}
	return string(r.take(length))
}
