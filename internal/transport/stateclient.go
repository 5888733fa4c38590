package transport

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// The state client's connections: watches and renewals have their own, so that they never wait for
// transactions.
const (
	stateConns      = 32
	stateWatchConns = 4
	stateLeaseConns = 4
)

const (
	stateTimeout       = 3 * time.Second  // until an answer has to be there
	stateService       = "state"          // as metrics name it
	maxUserTxnAttempts = 3                // of a user's transaction that the service refuses for its rate
	revisionProbeKey   = "dykeledge/none" // a key that never exists
	noSuchLeaseText    = "no such lease"  // the state service's text for a session lease that has ended
)

// State is the client of the state service.
type State struct {
	client      *fasthttp.HostClient
	watchClient *fasthttp.HostClient
	leaseClient *fasthttp.HostClient
	*StateBudget
	// Timeout is how long an answer may take.
	Timeout time.Duration
	// Observe, if set, counts requests by service and outcome.
	Observe func(service, outcome string)
}

// NewState makes a client that stays under its part of the service's rates.
func NewState(settings *config.Settings) *State {
	addr := settings.External.State
	return &State{
		client:      newHostClient(addr, stateConns),
		watchClient: newHostClient(addr, stateWatchConns),
		leaseClient: newHostClient(addr, stateLeaseConns),
		StateBudget: NewStateBudget(&settings.Deployment),
		Timeout:     stateTimeout,
	}
}

func (s *State) call(ctx context.Context, client *fasthttp.HostClient, request serviceRequest, out any, timeout time.Duration) (int, error) {
	status, err := call(ctx, client, request, out, timeout)
	if s.Observe != nil {
		s.Observe(stateService, requestOutcome(status, err))
	}
	return status, err
}

func txnRequest(txn protocol.Txn) serviceRequest {
	return serviceRequest{http.MethodPost, "/txn", txn}
}

// Revision learns the current revision, by a transaction that changes nothing.
func (s *State) Revision(ctx context.Context) (uint64, error) {
	if err := s.Request(ctx); err != nil {
		return 0, err
	}
	probe := protocol.Txn{If: []protocol.Condition{{Key: revisionProbeKey}}}
	var result protocol.TxnResult
	status, err := s.call(ctx, s.client, txnRequest(probe), &result, s.Timeout)
	if err == nil && status != http.StatusOK && status != http.StatusConflict {
		return 0, statusError(status, nil)
	}
	return result.Revision, err
}

// List reads a page of up to limit keys with a prefix, those after the key after.
func (s *State) List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error) {
	var page protocol.Page
	if err := s.Request(ctx); err != nil {
		return page, err
	}
	path := "/store?starts=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	status, err := s.call(ctx, s.client, serviceRequest{http.MethodGet, path, nil}, &page, s.Timeout)
	return page, statusError(status, err)
}

// Txn carries out a transaction. On a conflict, failed is not empty. Errors
// wrap protocol.ErrRefused (not executed), protocol.ErrNoLease, or protocol.ErrUnknown.
// A user's transaction that the service refuses for its rate is tried again a few times.
func (s *State) Txn(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) (rev uint64, failed []string, err error) {
	for attempt := 1; ; attempt++ {
		if err := s.Admit(ctx, len(txn.Then), priority); err != nil {
			return 0, nil, err
		}
		outcome, err := s.commit(ctx, txn)
		if !outcome.rateLimited {
			return outcome.revision, outcome.failed, err
		}
		wait := s.StepBack()
		if priority != protocol.UserRequest || attempt >= maxUserTxnAttempts || sleep(ctx, wait) != nil {
			return outcome.revision, outcome.failed, err
		}
	}
}

// txnOutcome is what became of a transaction.
type txnOutcome struct {
	revision    uint64   // the state service's revision after it
	failed      []string // keys whose conditions did not hold; "" if the service does not tell
	rateLimited bool     // refused because all controllers together are too fast
}

// txnResponse is the body of an answer to a transaction: its result or a refusal.
type txnResponse struct {
	protocol.TxnResult
	Error string `json:"error"`
}

// commit sends a transaction once.
func (s *State) commit(ctx context.Context, txn protocol.Txn) (txnOutcome, error) {
	var answer txnResponse
	status, err := s.call(ctx, s.client, txnRequest(txn), &answer, s.Timeout)
	if err != nil {
		return txnOutcome{}, err
	}
	switch status {
	case http.StatusOK:
		return txnOutcome{revision: answer.Revision}, nil
	case http.StatusConflict:
		if len(answer.Failed) == 0 {
			answer.Failed = []string{""} // a conflict has to be seen as one
		}
		return txnOutcome{revision: answer.Revision, failed: answer.Failed}, nil
	case http.StatusBadRequest:
		return txnOutcome{}, badTxnError(answer.Error)
	}
	return txnOutcome{rateLimited: status == http.StatusTooManyRequests}, statusError(status, nil)
}

// badTxnError is the error that the text of a status 400 stands for.
func badTxnError(text string) error {
	if text == noSuchLeaseText {
		return protocol.ErrNoLease
	}
	return fmt.Errorf("%w: %w: %s", protocol.ErrRefused, protocol.ErrTooLarge, text)
}

// leaseRequest asks for a session lease.
type leaseRequest struct {
	TTLMs int64 `json:"ttlMs"` // milliseconds without a renewal after which it ends
}

// leaseGrant answers a leaseRequest.
type leaseGrant struct {
	Lease uint64 `json:"tenure"`
}

// Grant takes a new session lease, which ends unless it is renewed within ttl.
func (s *State) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.Owe()
	request := serviceRequest{http.MethodPost, "/holds", leaseRequest{TTLMs: ttl.Milliseconds()}}
	var grant leaseGrant
	status, err := s.call(ctx, s.leaseClient, request, &grant, s.Timeout)
	return grant.Lease, statusError(status, err)
}

// Renew renews a session lease. protocol.ErrNoLease says that it has ended.
func (s *State) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	s.Owe()
	path := "/holds/" + strconv.FormatUint(lease, 10) + "/extend"
	status, err := s.call(ctx, s.leaseClient, serviceRequest{http.MethodPost, path, nil}, nil, timeout)
	err = statusError(status, err)
	if errors.Is(err, protocol.ErrNotFound) {
		return protocol.ErrNoLease
	}
	return err
}

// Watch waits, up to a time, for changes after a revision of keys with a prefix.
func (s *State) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error) {
	s.Owe()
	path := "/follow?starts=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(from, 10) +
		"&blockMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var events protocol.Events
	status, err := s.call(ctx, s.watchClient, serviceRequest{http.MethodGet, path, nil}, &events, wait+s.Timeout)
	return events, statusError(status, err)
}
