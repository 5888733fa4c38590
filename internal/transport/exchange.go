package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/protocol"
)

// Limits of the clients' connections.
const (
	serviceDialTimeout = 2 * time.Second
	serviceIdleTimeout = time.Minute
	maxServiceResponse = 64 << 20 // bytes
	serviceReadBuffer  = 8 << 10  // bytes
)

// newHostClient makes a client of one service with up to maxConns connections.
func newHostClient(addr string, maxConns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          addr,
		Dial:                          dialWithTimeout(serviceDialTimeout),
		MaxConns:                      maxConns,
		MaxIdleConnDuration:           serviceIdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxResponseBodySize:           maxServiceResponse,
		ReadBufferSize:                serviceReadBuffer,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}

// dialWithTimeout makes a dial function with a time limit. fasthttp hands it no context to dial with.
func dialWithTimeout(timeout time.Duration) fasthttp.DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	return func(addr string) (net.Conn, error) {
		return dialer.DialContext(context.Background(), "tcp4", addr)
	}
}

// neverRetry leaves repetitions to the caller: a request that failed may have been executed.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// httpClient is a fasthttp client of one host or of many.
type httpClient interface {
	DoDeadline(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
}

// serviceRequest is a request to another service.
type serviceRequest struct {
	method string
	path   string // with the query
	body   any    // sent as JSON; nil: no body
}

// String names the request in errors.
func (r serviceRequest) String() string { return r.method + " " + r.path }

// responseReader reads the body of an answer. It must not keep the body.
type responseReader func(status int, body []byte) error

// exchange sends a request once and hands the answer's body to read. Errors wrap protocol.ErrRefused
// if the request certainly was not executed, and protocol.ErrUnknown if it may have been; the status
// is 0 without an answer.
func exchange(client httpClient, addr string, request serviceRequest, deadline time.Time, read responseReader) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := request.write(req, addr); err != nil {
		return 0, err
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return 0, fmt.Errorf("%w: %s: %w", outcomeOfFailure(err), request, err)
	}
	status := resp.StatusCode()
	if err := read(status, resp.Body()); err != nil {
		return status, fmt.Errorf("%w: %s: answer: %w", protocol.ErrUnknown, request, err)
	}
	return status, nil
}

// write fills in a request to the service at an address.
func (r serviceRequest) write(req *fasthttp.Request, addr string) error {
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + addr + r.path)
	if r.body == nil {
		return nil
	}
	raw, err := json.Marshal(r.body)
	if err != nil {
		return fmt.Errorf("%s: %w", r, err)
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(raw)
	return nil
}

// outcomeOfFailure tells whether a request that got no answer can have been executed.
func outcomeOfFailure(err error) error {
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return protocol.ErrRefused
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return protocol.ErrRefused
	}
	return protocol.ErrUnknown
}

// call sends a request within a context and a timeout, and reads the JSON of the answer into out if
// that is not nil. It returns the answer's status, or 0 with an error.
func call(ctx context.Context, client *fasthttp.HostClient, request serviceRequest, out any, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := ctx.Err(); err != nil {
		return 0, notExecuted(err)
	}
	return exchange(client, client.Addr, request, deadline, jsonReader(out))
}

// jsonReader reads JSON into out. The body of a refusal need not be JSON: its status says enough.
func jsonReader(out any) responseReader {
	return func(status int, body []byte) error {
		if out == nil || len(body) == 0 {
			return nil
		}
		if err := json.Unmarshal(body, out); err != nil && status < http.StatusBadRequest {
			return err
		}
		return nil
	}
}

// statusError is the error that an answer's status stands for, nil for 200; err is what went wrong
// before, and goes first.
func statusError(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return protocol.ErrNotFound
	case status == http.StatusGone:
		return protocol.ErrTooOld
	case isClientError(status) || status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", protocol.ErrRefused, status)
	}
	return fmt.Errorf("%w: status %d", protocol.ErrUnknown, status)
}

func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// The outcomes of requests as metrics count them.
const (
	outcomeNoAnswer    = "no_answer"
	outcomeRateLimited = "over_rate"
	outcomeRefused     = "refused"
	outcomeAnswered    = "answered"
)

// requestOutcome is the outcome of a request under which metrics count it.
func requestOutcome(status int, err error) string {
	switch {
	case err != nil:
		return outcomeNoAnswer
	case status == http.StatusTooManyRequests:
		return outcomeRateLimited
	case status >= http.StatusInternalServerError:
		return outcomeRefused
	}
	return outcomeAnswered
}
