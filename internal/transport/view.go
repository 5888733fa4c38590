package transport

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/protocol"
	"dykeledge/internal/view"
)

// ViewCore is the part of a controller that the view requests use.
type ViewCore interface {
	ViewEnabled() bool
	HasTeam(name string) bool
	View(ctx context.Context, cursor view.Cursor) *view.Snapshot
	Reasons(ctx context.Context, scope view.Scope, ids []string) ([]view.Reason, error)
}

const (
	// maxViewWait is the longest time that a request may wait for changes.
	maxViewWait = 2 * time.Second
	// viewPageSize is the initial capacity of a page's buffer, in bytes.
	viewPageSize = 4 << 10
)

// mountView adds the routes of the read model: GET /view returns pages of changes in the feed's binary
// format, GET /view/reasons the reasons why jobs wait. At most readers requests are served at the same
// time; others are rejected at once. The size of a page is limited and the connection of a client that
// does not read it in time is closed, so that slow clients use a limited amount of memory.
func mountView(router fiber.Router, core ViewCore, readers int) {
	api := viewAPI{core: core, slots: make(chan struct{}, readers)}
	router.Get("/view", api.serve(api.page))
	router.Get("/view/reasons", api.serve(api.reasons))
}

// viewAPI handles the view requests.
type viewAPI struct {
	core  ViewCore
	slots chan struct{} // semaphore: holds one element for each request that is being served
}

// viewHandler answers a request with the rows that are visible in a scope: those of a team, or for
// operators all.
type viewHandler func(c *fiber.Ctx, scope view.Scope) error

// serve converts a viewHandler to a fiber handler that rejects requests while the view is disabled, for
// unknown teams, and while all slots are in use.
func (a viewAPI) serve(handler viewHandler) fiber.Handler {
	return func(request *fiber.Ctx) error {
		if !a.core.ViewEnabled() {
			return send(request, fiber.StatusNotFound, AdminErrorResponse{Error: "the view is switched off on this node: see deploy/features.toml"})
		}
		team := query(request, "team")
		if team != "" && !a.core.HasTeam(team) {
			return send(request, fiber.StatusNotFound, AdminErrorResponse{Error: "no such team", Field: "team"})
		}
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		default:
			return sendRetryLater(request, "too many readers of the view")
		}
		return handler(request, view.Scope(team))
	}
}

// page answers with the changes after the client's cursor. If there are none, it waits for them, up to the
// time that the client asks for.
func (a viewAPI) page(request *fiber.Ctx, scope view.Scope) error {
	cursor, wait, ok := viewQuery(request)
	if !ok {
		return send(request, fiber.StatusBadRequest, AdminErrorResponse{Error: "epoch, seq and wait_ms are whole numbers, wait_ms at most 2000"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	snapshot := a.core.View(ctx, cursor)
	if snapshot == nil {
		return sendRetryLater(request, "this node has not read the records yet")
	}
	request.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return request.Send(snapshot.AppendPage(make([]byte, 0, viewPageSize), scope, cursor, time.Now().UnixMilli()))
}

// viewQuery returns the cursor in a request and how long the client waits for changes, and whether both
// are valid.
func viewQuery(c *fiber.Ctx) (cursor view.Cursor, wait time.Duration, ok bool) {
	epoch, epochErr := queryNumber(c, "epoch")
	seq, seqErr := queryNumber(c, "seq")
	waitMs, waitErr := queryNumber(c, "wait_ms")
	if err := errors.Join(epochErr, seqErr, waitErr); err != nil || waitMs > uint64(maxViewWait.Milliseconds()) {
		return view.Cursor{}, 0, false
	}
	return view.Cursor{Epoch: epoch, Seq: seq}, time.Duration(waitMs) * time.Millisecond, true
}

// queryNumber returns a whole number of the query, 0 if it is missing.
func queryNumber(c *fiber.Ctx, name string) (uint64, error) {
	return strconv.ParseUint(c.Query(name, "0"), 10, 64)
}

// reasons answers with the reasons why jobs wait.
func (a viewAPI) reasons(c *fiber.Ctx, scope view.Scope) error {
	ids := strings.Split(query(c, "jobs"), ",")
	if !validReasonIDs(ids) {
		return send(c, fiber.StatusBadRequest, AdminErrorResponse{Error: "jobs is a list of up to " + strconv.Itoa(view.MaxReasons) + " ids", Field: "jobs"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	reasons, err := a.core.Reasons(ctx, scope, ids)
	if err != nil {
		return sendRetryLater(c, err.Error())
	}
	return send(c, fiber.StatusOK, AdminPage{Items: reasons})
}

func validReasonIDs(ids []string) bool {
	if len(ids) > view.MaxReasons {
		return false
	}
	for _, id := range ids {
		if !protocol.ValidJobID(id) {
			return false
		}
	}
	return true
}
