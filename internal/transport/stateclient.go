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

// The maximum numbers of connections to the state service. Watches and lease renewals have connections
// of their own, so that they never wait for transactions.
const (
	stateConns      = 32
	stateWatchConns = 4
	stateLeaseConns = 4
)

const (
	stateTimeout       = 3 * time.Second  // for a response
	stateService       = "state"          // label in the metrics
	maxUserTxnAttempts = 3                // for a user's transaction that the service rejects for its rate
	revisionProbeKey   = "dykeledge/none" // a key that never exists
	noSuchLeaseText    = "no such lease"  // error text of the state service for an expired session lease
)

// StateClient is a client of the state service.
type StateClient struct {
	client      *fasthttp.HostClient
	watchClient *fasthttp.HostClient
	leaseClient *fasthttp.HostClient
	*StateBudget
	// Timeout is the maximum time for a response.
	Timeout time.Duration
	// Observe, if set, is called with the service and the outcome of each request.
	Observe func(service, outcome string)
}

// NewStateClient returns a client that stays within its share of the service's rate limits.
func NewStateClient(settings *config.Settings) *StateClient {
	addr := settings.External.State
	return &StateClient{
		client:      newHostClient(addr, stateConns),
		watchClient: newHostClient(addr, stateWatchConns),
		leaseClient: newHostClient(addr, stateLeaseConns),
		StateBudget: NewStateBudget(&settings.Deployment),
		Timeout:     stateTimeout,
	}
}

func (s *StateClient) call(ctx context.Context, client *fasthttp.HostClient, request serviceRequest, out any, timeout time.Duration) (int, error) {
	status, err := call(ctx, client, request, out, timeout)
	if s.Observe != nil {
		s.Observe(stateService, requestOutcome(status, err))
	}
	return status, err
}

func txnRequest(txn protocol.Txn) serviceRequest {
	return serviceRequest{http.MethodPost, "/txn", txn}
}

// Revision returns the current revision. It reads it with a transaction that changes nothing.
func (s *StateClient) Revision(ctx context.Context) (uint64, error) {
	if err := s.WaitForRequest(ctx); err != nil {
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

// List returns a page of up to limit keys with a prefix, which begins after the key after.
func (s *StateClient) List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error) {
	var page protocol.Page
	if err := s.WaitForRequest(ctx); err != nil {
		return page, err
	}
	path := "/store?starts=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	status, err := s.call(ctx, s.client, serviceRequest{http.MethodGet, path, nil}, &page, s.Timeout)
	return page, statusError(status, err)
}

// Txn commits a transaction. If conditions do not hold, failed is not empty and nothing was changed.
// Errors wrap protocol.ErrRefused (not executed), protocol.ErrLeaseExpired, or protocol.ErrOutcomeUnknown. A user's
// transaction that the service rejects for its rate is repeated, up to maxUserTxnAttempts attempts.
func (s *StateClient) Txn(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) (rev uint64, failed []string, err error) {
	for attempt := 1; ; attempt++ {
		if err := s.Admit(ctx, len(txn.Then), priority); err != nil {
			return 0, nil, err
		}
		outcome, err := s.commit(ctx, txn)
		if !outcome.rateLimited {
			return outcome.revision, outcome.failed, err
		}
		wait := s.BackOff()
		if priority != protocol.UserRequest || attempt >= maxUserTxnAttempts || sleep(ctx, wait) != nil {
			return outcome.revision, outcome.failed, err
		}
	}
}

// txnOutcome is the outcome of one attempt to commit a transaction.
type txnOutcome struct {
	revision    uint64   // revision of the state service after the transaction
	failed      []string // keys whose conditions did not hold; one "" if the service does not name them
	rateLimited bool     // rejected because all controllers together exceed the rate limit
}

// txnResponse is the body of the response to a transaction: its result or an error.
type txnResponse struct {
	protocol.TxnResult
	Error string `json:"error"`
}

// commit sends a transaction once, without waiting for the budget.
func (s *StateClient) commit(ctx context.Context, txn protocol.Txn) (txnOutcome, error) {
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
			answer.Failed = []string{""} // failed must not be empty on a conflict
		}
		return txnOutcome{revision: answer.Revision, failed: answer.Failed}, nil
	case http.StatusBadRequest:
		return txnOutcome{}, badTxnError(answer.Error)
	}
	return txnOutcome{rateLimited: status == http.StatusTooManyRequests}, statusError(status, nil)
}

// badTxnError returns the error for the text of a response with status 400.
func badTxnError(text string) error {
	if text == noSuchLeaseText {
		return protocol.ErrLeaseExpired
	}
	return fmt.Errorf("%w: %w: %s", protocol.ErrRefused, protocol.ErrTooLarge, text)
}

// leaseRequest is the request body for a new session lease.
type leaseRequest struct {
	TTLMs int64 `json:"ttlMs"` // time without a renewal after which the lease expires, in milliseconds
}

// leaseGrant is the response body for a leaseRequest.
type leaseGrant struct {
	Lease uint64 `json:"tenure"`
}

// Grant creates a session lease, which expires unless it is renewed within ttl, and returns its ID.
func (s *StateClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.ChargeRequest()
	request := serviceRequest{http.MethodPost, "/holds", leaseRequest{TTLMs: ttl.Milliseconds()}}
	var grant leaseGrant
	status, err := s.call(ctx, s.leaseClient, request, &grant, s.Timeout)
	return grant.Lease, statusError(status, err)
}

// Renew renews a session lease. It returns protocol.ErrLeaseExpired if the lease has expired.
func (s *StateClient) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	s.ChargeRequest()
	path := "/holds/" + strconv.FormatUint(lease, 10) + "/extend"
	status, err := s.call(ctx, s.leaseClient, serviceRequest{http.MethodPost, path, nil}, nil, timeout)
	err = statusError(status, err)
	if errors.Is(err, protocol.ErrNotFound) {
		return protocol.ErrLeaseExpired
	}
	return err
}

// Watch returns the changes of keys with a prefix after the revision from. If there are none, it waits
// for up to wait.
func (s *StateClient) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error) {
	s.ChargeRequest()
	path := "/follow?starts=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(from, 10) +
		"&blockMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var events protocol.Events
	status, err := s.call(ctx, s.watchClient, serviceRequest{http.MethodGet, path, nil}, &events, wait+s.Timeout)
	return events, statusError(status, err)
}
