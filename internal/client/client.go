package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/protocol"
	"dykeledge/internal/wait"
)

// Time-outs and retry intervals that the protocol prescribes for clients.
const (
	submitTimeout = 5 * time.Second  // time-out of one try to submit, cancel or upload
	pollTimeout   = 2 * time.Second  // time-out of a status request
	readyTimeout  = time.Second      // time-out of a readiness request
	minRetryPause = time.Second      // shortest pause before a retry
	maxRetryAfter = 30 * time.Second // upper bound for the pause that a Retry-After header asks for
	retryBudget   = time.Minute      // total time for the tries of one request
)

// Errors that requests return.
var (
	// ErrRejected means that the server found the request invalid (status 400 or 422). It is not retried.
	ErrRejected = errors.New("rejected")
	// ErrNotFound means that no job with this id has been accepted (status 404).
	ErrNotFound = errors.New("no such job")
	// ErrInconclusive means that no conclusive response came before the time for retries ran out or the context ended.
	// A submitted job may have been accepted nevertheless: query its status, or submit it again under the same id.
	ErrInconclusive = errors.New("no certain answer")
)

// Client is an HTTP client of a deployment's public address. It is safe for concurrent use.
type Client struct {
	address string
	client  *fasthttp.Client
	// Retried, if not nil, is called with the outcome of every try after which the request is retried: the status,
	// or the error if there was no response. It must be set before the first request; the goroutines that make
	// requests call it concurrently.
	Retried func(status int, err error)
}

// New returns a client of the load balancer or controller at address.
func New(address string) *Client {
	return &Client{address: address, client: &fasthttp.Client{MaxConnsPerHost: 2048, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration: 5 * time.Second, MaxConnWaitTimeout: submitTimeout, MaxResponseBodySize: 1 << 20,
		Dial: Dial}}
}

// dialTimeout is the time-out for opening a connection.
const dialTimeout = time.Second

// Dial opens a TCP connection to address with a time-out of one second. It is meant for the field Dial of
// fasthttp.Client, which passes no context.
func Dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// Ready reports whether the load balancer or controller at address accepts requests: whether /ready returns
// status 200 within a second.
func Ready(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", readyTimeout)
	return err == nil && status == fasthttp.StatusOK
}

// httpReply is an HTTP response.
type httpReply struct {
	status     int
	retryAfter time.Duration // pause before the next try, from the Retry-After header; 0 if there is none
	body       []byte
}

// send sends a request without retries and returns the response.
func (u *Client) send(method, path string, body []byte, timeout time.Duration) (httpReply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + u.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := u.client.DoTimeout(request, response, timeout); err != nil {
		return httpReply{}, err
	}
	reply := httpReply{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	if n, err := strconv.Atoi(string(response.Header.Peek("Retry-After"))); err == nil && n > 0 {
		reply.retryAfter = min(maxRetryAfter, time.Duration(n)*time.Second)
	}
	return reply, nil
}

// sendWithRetries retries a request until it gets a conclusive response (200, 201, 400, 404 or 422), as the protocol
// prescribes: it pauses for a second, or for longer if Retry-After says so, and gives up after a minute. A random
// part of up to a quarter of a second is added to each pause, so that clients that were refused at the same time
// don't retry at the same time.
func (u *Client) sendWithRetries(ctx context.Context, method, path string, body []byte) (protocol.JobState, error) {
	var state protocol.JobState
	deadline := time.Now().Add(retryBudget)
	for {
		reply, err := u.send(method, path, body, submitTimeout)
		switch {
		case err == nil && (reply.status == 200 || reply.status == 201):
			if err := json.Unmarshal(reply.body, &state); err != nil {
				return state, fmt.Errorf("decode the job state in the response: %w", err)
			}
			return state, nil
		case err == nil && (reply.status == 400 || reply.status == 422):
			return state, fmt.Errorf("%w: %s", ErrRejected, errorText(reply))
		case err == nil && reply.status == 404:
			return state, ErrNotFound
		}
		if u.Retried != nil {
			u.Retried(reply.status, err)
		}
		pause := max(minRetryPause, reply.retryAfter) + time.Duration(rand.Int64N(int64(minRetryPause/4)))
		if err == nil {
			err = errors.New(errorText(reply))
		}
		if time.Now().Add(pause).After(deadline) {
			return state, fmt.Errorf("%w after %v: %w", ErrInconclusive, retryBudget, err)
		}
		if !wait.For(ctx, pause) {
			return state, fmt.Errorf("%w: %w", ErrInconclusive, ctx.Err())
		}
	}
}

// errorText returns the error text of a response, or its status if the body holds none.
func errorText(reply httpReply) string {
	var r protocol.ErrorResponse
	if json.Unmarshal(reply.body, &r) != nil || r.Error == "" {
		return "status " + strconv.Itoa(reply.status)
	}
	return r.Error
}

// Submit submits a job. The body is an encoded protocol.Submission; the job id in it makes retries idempotent.
// Errors wrap ErrRejected or ErrInconclusive.
func (u *Client) Submit(ctx context.Context, body []byte) (protocol.JobState, error) {
	return u.sendWithRetries(ctx, fasthttp.MethodPost, "/v2/runs", body)
}

// Cancel cancels a job and returns its state, which is done if the job completed first. Errors wrap ErrNotFound
// or ErrInconclusive.
func (u *Client) Cancel(ctx context.Context, id string) (protocol.JobState, error) {
	return u.sendWithRetries(ctx, fasthttp.MethodPost, "/v2/runs/"+id+"/cancel", nil)
}

// Status queries the state of a job, without retries. The error wraps ErrNotFound if no such job has been accepted.
func (u *Client) Status(id string) (protocol.JobState, error) {
	var state protocol.JobState
	reply, err := u.send(fasthttp.MethodGet, "/v2/runs/"+id, nil, pollTimeout)
	switch {
	case err != nil:
		return state, fmt.Errorf("no answer: %w", err)
	case reply.status == 404:
		return state, ErrNotFound
	case reply.status != 200:
		return state, errors.New(errorText(reply))
	}
	if err := json.Unmarshal(reply.body, &state); err != nil {
		return state, fmt.Errorf("decode the job state in the response: %w", err)
	}
	return state, nil
}

// Describe returns the description of a job that workers fetch, encoded as JSON: the submission, the run time of
// each task, and whether the tasks fail on every machine.
func Describe(submission []byte, run time.Duration, fails bool) ([]byte, error) {
	return json.Marshal(struct {
		Spec  json.RawMessage `json:"spec"`
		RunS  float64         `json:"run_s"`
		Fails bool            `json:"fails,omitempty"`
	}{submission, run.Seconds(), fails})
}

// Upload stores a job's description, as Describe returns it, at the address that workers fetch descriptions from.
// The client must have been made for that address.
func (u *Client) Upload(id string, description []byte) error {
	a, err := u.send(fasthttp.MethodPut, "/descriptions/"+id, description, submitTimeout)
	switch {
	case err != nil:
		return fmt.Errorf("upload the description of job %s: %w", id, err)
	case a.status != 200:
		return fmt.Errorf("upload the description of job %s: refused: %s", id, errorText(a))
	}
	return nil
}
