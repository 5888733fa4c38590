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

// How long a user waits and repeats, as the protocol has it.
const (
	submitAnswer = 5 * time.Second
	pollAnswer   = 2 * time.Second
	readyAnswer  = time.Second
	retryAfter   = time.Second
	longestAfter = 30 * time.Second
	repeatFor    = time.Minute
)

// Errors of a request.
var (
	// ErrRejected: the request is wrong and was not repeated (400, 422).
	ErrRejected = errors.New("rejected")
	// ErrNotFound: no such job was ever accepted.
	ErrNotFound = errors.New("no such job")
	// ErrGaveUp: no certain answer came in time. A submitted job may exist all the same: ask
	// for it, or submit it again under its id.
	ErrGaveUp = errors.New("no certain answer")
)

// Users speaks with the public address of a deployment. Any number of goroutines may use it.
type Users struct {
	address string
	client  *fasthttp.Client
	// Retried, if set, is told of every answer after which the request is repeated. It is set before the first
	// request, and called by the goroutines that make requests.
	Retried func(status int, err error)
}

// New returns a user of the load balancer, or of a controller, at an address.
func New(address string) *Users {
	return &Users{address: address, client: &fasthttp.Client{MaxConnsPerHost: 2048, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration: 5 * time.Second, MaxConnWaitTimeout: submitAnswer, MaxResponseBodySize: 1 << 20,
		Dial: Dial}}
}

// dialWithin is how long a connection may take to open.
const dialWithin = time.Second

// Dial opens a TCP connection within a second. It is for fasthttp.Client.Dial, which hands no context on.
func Dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialWithin}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// Ready tells whether a load balancer or controller at an address takes requests: whether it answers
// so within a second.
func Ready(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", readyAnswer)
	return err == nil && status == fasthttp.StatusOK
}

// answer is an answer as it came.
type answer struct {
	status int
	after  time.Duration // to wait before the next try
	body   []byte
}

// once sends a request once.
func (u *Users) once(method, path string, body []byte, within time.Duration) (answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + u.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := u.client.DoTimeout(request, response, within); err != nil {
		return answer{}, err
	}
	a := answer{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	if n, err := strconv.Atoi(string(response.Header.Peek("Retry-After"))); err == nil && n > 0 {
		a.after = min(longestAfter, time.Duration(n)*time.Second)
	}
	return a, nil
}

// repeat sends a request until an answer is certain, as the protocol asks: after a second or
// Retry-After, for a minute in all. A little is added at random, so that those who were refused
// together don't come back together.
func (u *Users) repeat(ctx context.Context, method, path string, body []byte) (protocol.JobState, error) {
	var state protocol.JobState
	deadline := time.Now().Add(repeatFor)
	for {
		answer, err := u.once(method, path, body, submitAnswer)
		switch {
		case err == nil && (answer.status == 200 || answer.status == 201):
			if err := json.Unmarshal(answer.body, &state); err != nil {
				return state, fmt.Errorf("answer cannot be read: %w", err)
			}
			return state, nil
		case err == nil && (answer.status == 400 || answer.status == 422):
			return state, fmt.Errorf("%w: %s", ErrRejected, reason(answer))
		case err == nil && answer.status == 404:
			return state, ErrNotFound
		}
		if u.Retried != nil {
			u.Retried(answer.status, err)
		}
		pause := max(retryAfter, answer.after) + time.Duration(rand.Int64N(int64(retryAfter/4)))
		if err == nil {
			err = errors.New(reason(answer))
		}
		if time.Now().Add(pause).After(deadline) {
			return state, fmt.Errorf("%w after %v: %w", ErrGaveUp, repeatFor, err)
		}
		if !wait.For(ctx, pause) {
			return state, fmt.Errorf("%w: %w", ErrGaveUp, ctx.Err())
		}
	}
}

// reason is what an answer says against a request.
func reason(a answer) string {
	var r protocol.ErrorResponse
	if json.Unmarshal(a.body, &r) != nil || r.Error == "" {
		return "status " + strconv.Itoa(a.status)
	}
	return r.Error
}

// Submit submits a job. Its body is the protocol's; its id makes repeats safe. Errors wrap
// ErrRejected or ErrGaveUp.
func (u *Users) Submit(ctx context.Context, body []byte) (protocol.JobState, error) {
	return u.repeat(ctx, fasthttp.MethodPost, "/v2/runs", body)
}

// Cancel cancels a job; it may turn out to be done. Errors wrap ErrNotFound or ErrGaveUp.
func (u *Users) Cancel(ctx context.Context, id string) (protocol.JobState, error) {
	return u.repeat(ctx, fasthttp.MethodPost, "/v2/runs/"+id+"/cancel", nil)
}

// Status asks for a job once. Errors wrap ErrNotFound, or tell why no answer came.
func (u *Users) Status(id string) (protocol.JobState, error) {
	var state protocol.JobState
	answer, err := u.once(fasthttp.MethodGet, "/v2/runs/"+id, nil, pollAnswer)
	switch {
	case err != nil:
		return state, fmt.Errorf("no answer: %w", err)
	case answer.status == 404:
		return state, ErrNotFound
	case answer.status != 200:
		return state, errors.New(reason(answer))
	}
	if err := json.Unmarshal(answer.body, &state); err != nil {
		return state, fmt.Errorf("answer cannot be read: %w", err)
	}
	return state, nil
}

// Describe returns a job's description as workers need it: the submission, how long each task runs,
// and whether it fails on every machine.
func Describe(submission []byte, run time.Duration, fails bool) ([]byte, error) {
	return json.Marshal(struct {
		Spec  json.RawMessage `json:"spec"`
		RunS  float64         `json:"run_s"`
		Fails bool            `json:"fails,omitempty"`
	}{submission, run.Seconds(), fails})
}

// Upload puts a job's description where workers fetch it; what they run is in it. It is for a
// client of the place that takes them.
func (u *Users) Upload(id string, description []byte) error {
	a, err := u.once(fasthttp.MethodPut, "/descriptions/"+id, description, submitAnswer)
	switch {
	case err != nil:
		return fmt.Errorf("description of %s is not uploaded: %w", id, err)
	case a.status != 200:
		return fmt.Errorf("description of %s is refused: %s", id, reason(a))
	}
	return nil
}
