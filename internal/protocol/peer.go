package protocol

// Limits of the messages between controllers. Digests of MaxCancellations jobs with names of
// MaxCancelledName bytes fit into a frame.
const (
	MaxCancellations   = 64 // entries of a CancellationDigest
	MaxCancelledName   = 48 // bytes of a job's id in it
	maxMemberNameBytes = 128
	maxShardDemands    = 64
)

// The kinds of peer message.
const (
	KindHello              byte = 1
	KindPeerHeartbeat      byte = 2
	KindShardDemands       byte = 3
	KindCancellationDigest byte = 4 // only to controllers of FramesCancellationDigest
)

// FramesCancellationDigest is the level of frames from which on a controller reads cancellation
// digests. Its membership record says which level it reads: a kind that it does not know would end
// the connection.
const FramesCancellationDigest = 1

// PeerMessage is any message between controllers.
type PeerMessage interface {
	kind() byte
	appendPayload(payload []byte) ([]byte, error)
}

// Hello opens a connection.
type Hello struct {
	Member      string // the sender's name
	Incarnation uint64 // the number of the sender's membership; 0: it is no member yet
}

// PeerHeartbeat says how the sender fares.
type PeerHeartbeat struct {
	StateOK         bool   // the state service served it within the last second or two
	Revision        uint64 // how far its cache is
	OwnedShards     uint64 // shards it owns, bit n for shard n
	ChangeRateMilli uint32 // changes in the state service that it makes, in thousandths a second
}

// ShardDemands asks the leader for machines for the top-priority work of shards that lack room.
type ShardDemands struct {
	Shards []ShardDemand
}

// ShardDemand is what one shard lacks.
type ShardDemand struct {
	Shard    uint32
	OnDemand bool    // spot machines would not do
	Cpus     float64 // cores
}

// CancellationDigest vouches for what the sender has confirmed to users until it was made: every
// cancellation whose record is later than From is listed. Times are the sender's time of day in
// milliseconds since 1970.
type CancellationDigest struct {
	At            int64          // when it was made
	ProcessStart  int64          // when the sender's process began
	From          uint64         // a revision of the state service
	Cancellations []Cancellation // by their records' versions, the earliest first
}

// Cancellation is a job whose final record says that it is cancelled.
type Cancellation struct {
	Version uint64 // of that record
	Job     string // the job's id
}

func (Hello) kind() byte              { return KindHello }
func (PeerHeartbeat) kind() byte      { return KindPeerHeartbeat }
func (ShardDemands) kind() byte       { return KindShardDemands }
func (CancellationDigest) kind() byte { return KindCancellationDigest }
