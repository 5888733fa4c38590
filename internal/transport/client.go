package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

const (
	dialTimeout = 2 * time.Second
)

func newHostClient(addr string, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr,
		Dial: func(a string) (net.Conn, error) {
			return net.DialTimeout("tcp4", a, dialTimeout)
		},
		MaxConns:                  conns,
		MaxIdleConnDuration:       time.Minute,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false // a request may have been executed: the caller decides
		},
		MaxResponseBodySize:           64 << 20,
		ReadBufferSize:                8 << 10,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

// doer is a fasthttp client of one host or of many.
type doer interface {
	DoDeadline(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
}

// exchange sends one request and hands the answer's body to read.
func exchange(transportDoer doer, addr, method, path string, in any, deadline time.Time, read func(status int, body []byte) error) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("%s %s: %w", method, path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := transportDoer.DoDeadline(req, resp, deadline); err != nil {
		var op *net.OpError
		if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) ||
			(errors.As(err, &op) && op.Op == "dial") {
			return 0, fmt.Errorf("%w: %s %s: %w", protocol.ErrRefused, method, path, err)
		}
		return 0, fmt.Errorf("%w: %s %s: %w", protocol.ErrUnknown, method, path, err)
	}
	status := resp.StatusCode()
	if err := read(status, resp.Body()); err != nil {
		return status, fmt.Errorf("%w: %s %s: answer: %w", protocol.ErrUnknown, method, path, err)
	}
	return status, nil
}

// call sends one request within a context and reads a JSON answer.
func call(ctx context.Context, client *fasthttp.HostClient, method, path string, in, out any, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", protocol.ErrRefused, err)
	}
	return exchange(client, client.Addr, method, path, in, deadline, func(status int, body []byte) error {
		if out == nil || len(body) == 0 {
			return nil
		}
		if err := json.Unmarshal(body, out); err != nil && status < 400 {
			return err
		}
		return nil
	})
}

// State is the client of the state service.
type State struct {
	client      *fasthttp.HostClient
	watchClient *fasthttp.HostClient
	leaseClient *fasthttp.HostClient
	*StateBudget
	Timeout time.Duration
	// Observe, if set, counts requests by service and outcome.
	Observe func(service, outcome string)
}

func (s *State) call(ctx context.Context, c *fasthttp.HostClient, method, path string, in, out any, timeout time.Duration) (int, error) {
	status, err := call(ctx, c, method, path, in, out, timeout)
	if s.Observe != nil {
		s.Observe("state", outcome(status, err))
	}
	return status, err
}

func outcome(status int, err error) string {
	switch {
	case err != nil:
		return "no_answer"
	case status == 429:
		return "over_rate"
	case status >= 500:
		return "refused"
	}
	return "answered"
}

// NewState makes a client that stays under its part of the service's rates.
func NewState(s *config.Settings) *State {
	return &State{
		client: newHostClient(s.External.State, 32), watchClient: newHostClient(s.External.State, 4),
		leaseClient: newHostClient(s.External.State, 4), StateBudget: NewStateBudget(&s.Deployment), Timeout: 3 * time.Second,
	}
}

func plain(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == 200:
		return nil
	case status == 404:
		return protocol.ErrNotFound
	case status == 410:
		return protocol.ErrTooOld
	case status == 429 || status == 503 || (status >= 400 && status < 500):
		return fmt.Errorf("%w: status %d", protocol.ErrRefused, status)
	}
	return fmt.Errorf("%w: status %d", protocol.ErrUnknown, status)
}

// Revision learns the current revision.
func (s *State) Revision(ctx context.Context) (uint64, error) {
	if err := s.Request(ctx); err != nil {
		return 0, err
	}
	var out protocol.TxnResult
	st, err := s.call(ctx, s.client, "POST", "/txn", protocol.Txn{If: []protocol.Condition{{Key: "dykeledge/none"}}}, &out, s.Timeout)
	if err == nil && st != 200 && st != 409 {
		return 0, plain(st, nil)
	}
	return out.Revision, err
}

// List reads a page of keys.
func (s *State) List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error) {
	var p protocol.Page
	if err := s.Request(ctx); err != nil {
		return p, err
	}
	path := "/store?starts=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	st, err := s.call(ctx, s.client, "GET", path, nil, &p, s.Timeout)
	return p, plain(st, err)
}

// Txn carries out a transaction. On a conflict, failed is not empty. Errors
// wrap protocol.ErrRefused (not executed), protocol.ErrNoLease, or protocol.ErrUnknown.
func (s *State) Txn(ctx context.Context, txn protocol.Txn, haste protocol.RequestPriority) (rev uint64, failed []string, err error) {
	for try := 0; ; try++ {
		if err := s.Admit(ctx, len(txn.Then), haste); err != nil {
			return 0, nil, err
		}
		rev, failed, over, err := s.commit(ctx, txn)
		if !over {
			return rev, failed, err
		}
		wait := s.StepBack()
		if haste != protocol.UserRequest || try >= 2 {
			return rev, failed, err
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return rev, failed, err
		case <-t.C:
		}
	}
}

// commit sends a transaction; over says that the service's rate is exceeded.
func (s *State) commit(ctx context.Context, txn protocol.Txn) (rev uint64, failed []string, over bool, err error) {
	var out struct {
		protocol.TxnResult
		Error string `json:"error"`
	}
	st, err := s.call(ctx, s.client, "POST", "/txn", txn, &out, s.Timeout)
	switch {
	case err == nil && st == 200:
		return out.Revision, nil, false, nil
	case err == nil && st == 409:
		if len(out.Failed) == 0 {
			out.Failed = []string{""}
		}
		return out.Revision, out.Failed, false, nil
	case err == nil && st == 400 && out.Error == "no such lease":
		return 0, nil, false, protocol.ErrNoLease
	case err == nil && st == 400:
		return 0, nil, false, fmt.Errorf("%w: %w: %s", protocol.ErrRefused, protocol.ErrTooLarge, out.Error)
	}
	return 0, nil, err == nil && st == 429, plain(st, err)
}

// Grant takes a new hold.
func (s *State) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.Owe()
	var out struct {
		Lease uint64 `json:"tenure"`
	}
	st, err := s.call(ctx, s.leaseClient, "POST", "/holds", map[string]int64{"ttlMs": ttl.Milliseconds()}, &out, s.Timeout)
	return out.Lease, plain(st, err)
}

// Renew renews a hold.
func (s *State) Renew(ctx context.Context, lease uint64, timeout time.Duration) error {
	s.Owe()
	st, err := s.call(ctx, s.leaseClient, "POST", "/holds/"+strconv.FormatUint(lease, 10)+"/extend", nil, nil, timeout)
	if errors.Is(plain(st, err), protocol.ErrNotFound) {
		return protocol.ErrNoLease
	}
	return plain(st, err)
}

// Watch waits for changes after a revision.
func (s *State) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error) {
	s.Owe()
	var ev protocol.Events
	path := "/follow?starts=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(from, 10) +
		"&blockMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	st, err := s.call(ctx, s.watchClient, "GET", path, nil, &ev, wait+s.Timeout)
	return ev, plain(st, err)
}

// Cloud is the client of the cloud.
type Cloud struct {
	client *fasthttp.HostClient
	budget *Budget
	// Observe, if set, counts requests by service and outcome.
	Observe func(service, outcome string)
}

// NewCloud makes a client that stays under the cloud's rate.
func NewCloud(s *config.Settings) *Cloud {
	return &Cloud{client: newHostClient(s.External.Cloud, 8), budget: CloudBudget(&s.Deployment)}
}

// CloudBudget keeps a controller under the cloud's rate, which the leader uses nearly alone.
func CloudBudget(d *config.Deployment) *Budget {
	r := d.Cloud.RPS
	return NewBudget(0.8*r, max(1, 0.8*r))
}

func (c *Cloud) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.budget.Wait(ctx, 1, 0); err != nil {
		return fmt.Errorf("%w: %w", protocol.ErrRefused, err)
	}
	st, err := call(ctx, c.client, method, path, in, out, 10*time.Second)
	if c.Observe != nil {
		c.Observe("cloud", outcome(st, err))
	}
	return plain(st, err)
}

// Catalog reads the machine types.
func (c *Cloud) Catalog(ctx context.Context) (*protocol.Catalog, error) {
	var out protocol.Catalog
	return &out, c.call(ctx, "GET", "/catalog", nil, &out)
}

// ScaleOut rents machines.
func (c *Cloud) ScaleOut(ctx context.Context, r protocol.ScaleOutRequest) ([]string, error) {
	var out struct {
		protocol.MachineNames
		Error string `json:"error"`
	}
	err := c.call(ctx, "POST", "/hosts", r, &out)
	if err != nil && out.Error == "no capacity" {
		return nil, protocol.ErrNoCapacity
	}
	return out.Machines, err
}

// ScaleIn gives machines back; after nil they are gone.
func (c *Cloud) ScaleIn(ctx context.Context, names []string) error {
	return c.call(ctx, "POST", "/hosts/return", protocol.MachineNames{Machines: names}, nil)
}

// List reads a page of the machine list.
func (c *Cloud) List(ctx context.Context, after string) (protocol.MachineList, error) {
	var out protocol.MachineList
	path := "/hosts?limit=" + strconv.Itoa(protocol.MaxList)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	return out, c.call(ctx, "GET", path, nil, &out)
}

// Workers is the client of the workers.
type Workers struct{ client *fasthttp.Client }

// NewWorkers makes a client for the workers' addresses.
func NewWorkers() *Workers {
	return &Workers{client: &fasthttp.Client{
		Dial:                      func(a string) (net.Conn, error) { return net.DialTimeout("tcp4", a, time.Second) },
		MaxConnsPerHost:           2,
		MaxIdleConnDuration:       20 * time.Second,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       1 << 20,
	}}
}

// Command sends commands straight to a worker and returns its heartbeat.
func (w *Workers) Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (r *protocol.Heartbeat, status int, err error) {
	status, err = exchange(w.client, addr, "POST", "/commands", cmd, time.Now().Add(timeout), func(_ int, body []byte) (err error) {
		r, err = protocol.ParseHeartbeat(body)
		return err
	})
	return r, status, err
}
