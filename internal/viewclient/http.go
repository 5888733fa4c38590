package viewclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/client"
	"dykeledge/internal/view"
)

// HTTP is a Source that uses the administration API of the controllers. Any number of goroutines may use it.
type HTTP struct {
	addresses []string
	client    *fasthttp.Client
}

// NewHTTP returns a source for the controllers at the given addresses, which are their peer_listen settings.
func NewHTTP(addresses []string) *HTTP {
	return &HTTP{addresses: addresses, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		MaxResponseBodySize: 4 * view.MaxPage, MaxIdleConnDuration: 10 * time.Second,
		Dial: client.Dial}}
}

// Controllers returns the addresses of the controllers.
func (h *HTTP) Controllers() []string { return h.addresses }

// get sends one request and returns the body of the response. It observes the deadline of ctx but not its
// cancellation; without a deadline it uses answerTimeout.
func (h *HTTP) get(ctx context.Context, controller int, path string, query url.Values) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + h.addresses[controller] + "/admin/v1" + path + "?" + query.Encode())
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(answerTimeout)
	}
	if err := h.client.DoDeadline(request, response, deadline); err != nil {
		return nil, fmt.Errorf("does not answer: %w", err)
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return append([]byte(nil), response.Body()...), nil
	}
	var refusal struct{ Error, Field string }
	if json.Unmarshal(response.Body(), &refusal) != nil || refusal.Error == "" {
		refusal.Error = "status " + strconv.Itoa(response.StatusCode())
	}
	switch {
	case response.StatusCode() == fasthttp.StatusNotFound && refusal.Field == "team":
		return nil, ErrUnknownTeam
	case response.StatusCode() == fasthttp.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", ErrViewDisabled, refusal.Error)
	}
	return nil, errors.New(refusal.Error)
}

// Page requests the changes after a cursor. Errors may wrap ErrViewDisabled or ErrUnknownTeam.
func (h *HTTP) Page(ctx context.Context, controller int, scope view.Scope, cursor view.Cursor, wait time.Duration) ([]byte, error) {
	return h.get(ctx, controller, "/view", url.Values{"team": {string(scope)}, "epoch": {strconv.FormatUint(cursor.Epoch, 10)},
		"seq": {strconv.FormatUint(cursor.Seq, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}})
}

// Reasons requests why jobs wait. Errors may wrap ErrViewDisabled or ErrUnknownTeam.
func (h *HTTP) Reasons(ctx context.Context, controller int, scope view.Scope, ids []string) ([]view.Reason, error) {
	raw, err := h.get(ctx, controller, "/view/reasons", url.Values{"team": {string(scope)}, "jobs": {strings.Join(ids, ",")}})
	if err != nil {
		return nil, err
	}
	var p struct {
		Items []view.Reason `json:"items"`
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("decode reasons: %w", err)
	}
	return p.Items, nil
}
