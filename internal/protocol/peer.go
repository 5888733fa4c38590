package protocol

// Limits of the messages between controllers. A digest of MaxCancellations jobs with IDs of
// MaxCancelledIDBytes bytes fits into a frame.
const (
	MaxCancellations    = 64 // entries in a CancellationDigest
	MaxCancelledIDBytes = 48 // bytes of a job ID in a CancellationDigest
	maxMemberNameBytes  = 128
	maxShardDemands     = 64 // entries in a ShardDemands message
)

// The kinds of messages between controllers.
const (
	KindHello              byte = 1
	KindPeerHeartbeat      byte = 2
	KindShardDemands       byte = 3
	KindCancellationDigest byte = 4 // sent only to controllers with frame level FrameLevelCancellationDigest or above
)

// FrameLevelCancellationDigest is the lowest frame level at which a controller can read cancellation digests.
// The level of each controller is in its member record, so that it is sent only kinds that it can read:
// it closes the connection on an unknown kind.
const FrameLevelCancellationDigest = 1

// PeerMessage is any message between controllers.
type PeerMessage interface {
	kind() byte
	appendPayload(payload []byte) ([]byte, error)
}

// Hello is the first message on a connection. It identifies the sender.
type Hello struct {
	Member      string // the sender's member name
	Incarnation uint64 // the incarnation of the sender's process; 0: it is not a member yet
}

// PeerHeartbeat reports the state of the sender.
type PeerHeartbeat struct {
	StateOK         bool   // the state service has answered the sender within the last few seconds, with no failure since
	Revision        uint64 // the revision up to which the sender's cache is current
	OwnedShards     uint64 // bit n is set if the sender owns shard n
	ChangeRateMilli uint32 // rate at which the sender changes keys of the state service, in thousandths of a change per second
}

// ShardDemands requests machines from the leader for top-priority jobs of shards that lack capacity.
type ShardDemands struct {
	Shards []ShardDemand
}

// ShardDemand is the capacity that one shard lacks.
type ShardDemand struct {
	Shard    uint32
	OnDemand bool    // the demand can't be met by spot machines
	Cpus     float64 // CPU cores
}

// CancellationDigest lists all cancellations that the sender had confirmed to users when it created the
// digest, except those whose records have versions up to AfterVersion. Times are those of the sender's clock, in
// milliseconds since 1970 (Unix time).
type CancellationDigest struct {
	CreatedAtMs    int64          // when the digest was created
	ProcessStartMs int64          // when the sender's process started
	AfterVersion   uint64         // revision of the state service
	Cancellations  []Cancellation // ordered by the versions of their records, lowest first
}

// Cancellation is a job with a final record that marks it as cancelled.
type Cancellation struct {
	Version uint64 // version of that record
	Job     string // the job ID
}

func (Hello) kind() byte              { return KindHello }
func (PeerHeartbeat) kind() byte      { return KindPeerHeartbeat }
func (ShardDemands) kind() byte       { return KindShardDemands }
func (CancellationDigest) kind() byte { return KindCancellationDigest }
