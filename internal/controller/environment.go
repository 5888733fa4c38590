package controller

import (
	"context"
	"log/slog"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// StateStore is the state service, a consensus-backed key-value store, as a controller needs it.
// Its methods may be called from any goroutine. Errors are those of package protocol.
type StateStore interface {
	// Revision is the latest committed revision.
	Revision(ctx context.Context) (uint64, error)
	// List reads up to limit keys that begin with prefix, in their order, beginning after one.
	List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error)
	// Txn commits a compare-and-swap transaction. failed are the keys whose conditions did not
	// hold; nothing was changed then. After protocol.ErrUnknown it may still be carried out.
	Txn(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) (revision uint64, failed []string, err error)
	// Pace is how long it takes until the budget allows a transaction of n changes.
	Pace(n int) time.Duration
	// SetRateShare tells which part of the machines this controller commits for, whether it leads,
	// and how many changes a second it and the others make (below 0: not known).
	SetRateShare(part float64, leads bool, used, others float64)
	// SetLimit sets the rate of changes a second that all controllers together may make.
	SetLimit(changes float64)
	// ChangesUsed is how many changes this controller has made.
	ChangesUsed() uint64
	// Grant makes a lease; keys that are put with it vanish when it expires.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease; protocol.ErrNoLease says that it has expired.
	Renew(ctx context.Context, lease uint64, timeout time.Duration) error
	// Watch waits for changes after a revision, for at most wait; protocol.ErrTooOld says that
	// the records have to be read again.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error)
}

// Cloud is the interface of the cloud that machines come from.
type Cloud interface {
	// Catalog is the machine types on offer.
	Catalog(ctx context.Context) (*protocol.Catalog, error)
	// ScaleOut rents machines and returns their names. It is idempotent by the request's name.
	ScaleOut(ctx context.Context, request protocol.ScaleOutRequest) ([]string, error)
	// ScaleIn returns machines. Without an error they are gone with all that ran on them.
	ScaleIn(ctx context.Context, names []string) error
	// List is a page of the machines that the cloud has for the deployment; it may lag.
	List(ctx context.Context, after string) (protocol.MachineList, error)
}

// WorkerLink reaches workers directly, beside the answers to their heartbeats.
type WorkerLink interface {
	// Command sends commands and returns the worker's heartbeat with the HTTP status; status 0:
	// none came.
	Command(addr string, commands protocol.DirectCommands, timeout time.Duration) (heartbeat *protocol.Heartbeat, status int, err error)
}

// Timing is a controller's own timing.
type Timing struct {
	SessionLease       time.Duration // how long a session lease lasts without renewal
	CommitInterval     time.Duration // least time between two commits of the cycle
	WatchInterval      time.Duration // least time between two watches of the state service
	Tick               time.Duration // between two rounds of the loops over desired state
	HeartbeatReplyWait time.Duration // how long the answer to a heartbeat may wait for a commit
	RebalanceInterval  time.Duration // how often the leader moves machine groups between shards
	AutoscaleInterval  time.Duration // how often the leader decides about scaling out and in
}

// DefaultTiming suits machines that give a controller a tenth of a core.
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

// environment is what a controller is given to work with. It does not change after New, but
// for the rebalance interval in timing, which operators may set.
type environment struct {
	cfg        *config.Settings
	store      StateStore
	cloud      Cloud
	workerLink WorkerLink
	log        *slog.Logger
	timing     Timing
	metrics    *Metrics
}
