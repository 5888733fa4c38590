package controller

import (
	"context"
	"log/slog"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// StateStore is a client of the state service, a consensus-backed key-value store. Its methods may be called
// from any goroutine. Errors are those of package protocol.
type StateStore interface {
	// Revision returns the latest committed revision.
	Revision(ctx context.Context) (uint64, error)
	// List returns up to limit records whose keys begin with prefix, in key order, starting after the key
	// after.
	List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error)
	// Txn commits a compare-and-swap transaction. failed holds the keys whose conditions did not hold;
	// nothing was changed in that case. After protocol.ErrOutcomeUnknown the transaction may still be carried out.
	Txn(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) (revision uint64, failed []string, err error)
	// Pace returns the delay until the rate limit allows a transaction of n changes.
	Pace(n int) time.Duration
	// SetRateShare sets the data from which this controller's share of the rate limit is computed: the
	// fraction of the machines that it commits for, whether it is the leader, and the changes per second made
	// by itself and by the other controllers (below 0: not known).
	SetRateShare(part float64, leads bool, used, others float64)
	// SetLimit sets the rate limit of all controllers together, in changes per second.
	SetLimit(changes float64)
	// ChangesUsed returns the number of changes that this controller has made.
	ChangesUsed() uint64
	// Grant creates a lease. Keys that are put with it are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease; protocol.ErrLeaseExpired means that it has expired.
	Renew(ctx context.Context, lease uint64, timeout time.Duration) error
	// Watch waits up to wait for changes after the revision from; protocol.ErrRevisionTooOld means that the records
	// have to be read again.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error)
}

// Cloud is a client of the cloud that machines are rented from.
type Cloud interface {
	// Catalog returns the machine types on offer.
	Catalog(ctx context.Context) (*protocol.Catalog, error)
	// ScaleOut rents machines and returns their names. It is idempotent by the name of the request.
	ScaleOut(ctx context.Context, request protocol.ScaleOutRequest) ([]string, error)
	// ScaleIn returns machines. If it returns no error, they are gone together with all tasks that ran on
	// them.
	ScaleIn(ctx context.Context, names []string) error
	// List returns one page of the deployment's machines, starting after the name after. The list may lag
	// behind the cloud.
	List(ctx context.Context, after string) (protocol.MachineList, error)
}

// WorkerLink sends requests directly to workers, in addition to the replies to their heartbeats.
type WorkerLink interface {
	// Command sends commands and returns the worker's heartbeat with the HTTP status; status 0: there was no
	// response.
	Command(addr string, commands protocol.DirectCommands, timeout time.Duration) (heartbeat *protocol.Heartbeat, status int, err error)
}

// Timing holds the intervals and time-outs of a controller.
type Timing struct {
	SessionLease       time.Duration // time to live of a session lease without renewal
	CommitInterval     time.Duration // minimum time between two commits of the planning cycle
	WatchInterval      time.Duration // minimum time between two watch requests to the state service
	Tick               time.Duration // time between two runs of the reconciliation loops
	HeartbeatReplyWait time.Duration // maximum time that the reply to a heartbeat waits for a commit
	RebalanceInterval  time.Duration // time between two runs of the leader's rebalancing of machine groups between shards
	AutoscaleInterval  time.Duration // time between two autoscaling decisions of the leader
}

// DefaultTiming returns the timing for machines that give a controller a tenth of a core.
func DefaultTiming() Timing {
	return Timing{
		SessionLease:       3 * time.Second,
		CommitInterval:     40 * time.Millisecond,
		WatchInterval:      60 * time.Millisecond,
		Tick:               250 * time.Millisecond,
		HeartbeatReplyWait: 700 * time.Millisecond,
		RebalanceInterval:  500 * time.Millisecond,
		AutoscaleInterval:  time.Second,
	}
}

// environment holds the dependencies and the configuration of a controller. It does not change after New,
// except for timing.RebalanceInterval, which operators may set.
type environment struct {
	cfg        *config.Settings
	store      StateStore
	cloud      Cloud
	workerLink WorkerLink
	log        *slog.Logger
	timing     Timing
	metrics    *Metrics
}
