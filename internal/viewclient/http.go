package viewclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/view"
)

// HTTP asks controllers through their administration API.
type HTTP struct {
	addrs  []string
	client *fasthttp.Client
}

// NewHTTP asks the controllers at these addresses, their peer_listen.
func NewHTTP(addrs []string) *HTTP {
	return &HTTP{addrs: addrs, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		MaxResponseBodySize: 4 * view.MaxPage, MaxIdleConnDuration: 10 * time.Second,
		Dial: func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, time.Second) }}}
}

// Controllers are the addresses.
func (h *HTTP) Nodes() []string { return h.addrs }

func (h *HTTP) get(ctx context.Context, node int, path string, query url.Values) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.addrs[node] + "/admin/v1" + path + "?" + query.Encode())
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(answerIn)
	}
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, fmt.Errorf("does not answer: %w", err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return append([]byte(nil), resp.Body()...), nil
	}
	var r struct{ Error, Field string }
	if json.Unmarshal(resp.Body(), &r) != nil || r.Error == "" {
		r.Error = "status " + strconv.Itoa(resp.StatusCode())
	}
	switch {
	case resp.StatusCode() == fasthttp.StatusNotFound && r.Field == "team":
		return nil, ErrNoTeam
	case resp.StatusCode() == fasthttp.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", ErrOff, r.Error)
	}
	return nil, errors.New(r.Error)
}

// Page asks a controller for changes.
func (h *HTTP) Page(ctx context.Context, node int, scope view.Scope, cur view.Cursor, wait time.Duration) ([]byte, error) {
	return h.get(ctx, node, "/view", url.Values{"team": {string(scope)}, "epoch": {strconv.FormatUint(cur.Epoch, 10)},
		"seq": {strconv.FormatUint(cur.Seq, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}})
}

// Reasons asks a controller why jobs wait.
func (h *HTTP) Reasons(ctx context.Context, node int, scope view.Scope, ids []string) ([]view.Reason, error) {
	raw, err := h.get(ctx, node, "/view/reasons", url.Values{"team": {string(scope)}, "jobs": {strings.Join(ids, ",")}})
	if err != nil {
		return nil, err
	}
	var p struct {
		Items []view.Reason `json:"items"`
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return p.Items, nil
}
