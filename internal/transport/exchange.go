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

// Limits of the connections to other services.
const (
	serviceDialTimeout = 2 * time.Second
	serviceIdleTimeout = time.Minute
	maxServiceResponse = 64 << 20 // bytes
	serviceReadBuffer  = 8 << 10  // bytes
)

// newHostClient returns a client of one service that opens up to maxConns connections.
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

// dialWithTimeout returns a dial function with a timeout. It dials without a caller's context, since
// fasthttp does not pass one.
func dialWithTimeout(timeout time.Duration) fasthttp.DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	return func(addr string) (net.Conn, error) {
		return dialer.DialContext(context.Background(), "tcp4", addr)
	}
}

// neverRetry disables fasthttp's retries, since a failed request may have been executed. Callers decide
// whether to repeat it.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// httpClient is implemented by the fasthttp clients for one host and for several hosts.
type httpClient interface {
	DoDeadline(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error
}

// serviceRequest is a request to another service.
type serviceRequest struct {
	method string
	path   string // includes the query
	body   any    // sent as JSON; nil: no body
}

// String returns the method and path, which identify the request in errors.
func (r serviceRequest) String() string { return r.method + " " + r.path }

// responseReader decodes the body of a response. It must not retain the body.
type responseReader func(status int, body []byte) error

// exchange sends a request once and passes the body of the response to read. It returns the status of the
// response, or 0 if there was none. Errors wrap protocol.ErrRefused if the request was certainly not
// executed, and protocol.ErrOutcomeUnknown if it may have been. An error in encoding the body wraps neither; the
// request was not sent then.
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
		return status, fmt.Errorf("%w: %s: answer: %w", protocol.ErrOutcomeUnknown, request, err)
	}
	return status, nil
}

// write sets the method, URI and body of a request to the service at addr.
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

// outcomeOfFailure returns protocol.ErrRefused if a request that failed with err was certainly not sent,
// and protocol.ErrOutcomeUnknown if it may have been executed.
func outcomeOfFailure(err error) error {
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return protocol.ErrRefused
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return protocol.ErrRefused
	}
	return protocol.ErrOutcomeUnknown
}

// call sends a request, limited by the deadline of ctx and by timeout, and decodes the JSON body of the
// response into out if out is not nil. Its results are those of exchange.
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

// jsonReader decodes JSON into out. The body of an error response may be something else than JSON: its
// status is sufficient.
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

// statusError returns the error for the status of a response, nil for 200. If err, the error of the
// request itself, is not nil, it returns err.
func statusError(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return protocol.ErrNotFound
	case status == http.StatusGone:
		return protocol.ErrRevisionTooOld
	case isClientError(status) || status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", protocol.ErrRefused, status)
	}
	return fmt.Errorf("%w: status %d", protocol.ErrOutcomeUnknown, status)
}

func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// The values of the outcome label in the request metrics.
const (
	outcomeNoAnswer    = "no_answer"
	outcomeRateLimited = "over_rate"
	outcomeRefused     = "refused"
	outcomeAnswered    = "answered"
)

// requestOutcome returns the outcome label of a request.
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
