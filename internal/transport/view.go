package transport

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/protocol"
	"dykeledge/internal/view"
)

// ViewCore is what readers of the view need of a controller.
type ViewCore interface {
	ViewEnabled() bool
	HasTeam(name string) bool
	View(ctx context.Context, cur view.Cursor) *view.Snapshot
	Reasons(ctx context.Context, scope view.Scope, ids []string) ([]view.Reason, error)
}

// maxViewWait is how long a request may wait for something new.
const maxViewWait = 2 * time.Second

// mountView adds the read model's requests: GET /view hands over pages of changes in the
// feed's binary format, GET /view/reasons tells why jobs wait. No more than readers requests
// are served at a time; the others are refused at once. A page is bounded and a connection
// that does not take it in time is closed, so a slow reader costs bounded memory.
func mountView(api fiber.Router, core ViewCore, readers int) {
	slots := make(chan struct{}, readers)
	serve := func(f func(request *fiber.Ctx, scope view.Scope) error) fiber.Handler {
		return func(fiberCtx *fiber.Ctx) error {
			if !core.ViewEnabled() {
				return send(fiberCtx, 404, AdminRefusal{Error: "the view is switched off on this node: see deploy/features.toml"})
			}
			team := strings.Clone(fiberCtx.Query("team"))
			if team != "" && !core.HasTeam(team) {
				return send(fiberCtx, 404, AdminRefusal{Error: "no such team", Field: "team"})
			}
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				fiberCtx.Set(fiber.HeaderRetryAfter, "1")
				return send(fiberCtx, 503, AdminRefusal{Error: "too many readers of the view"})
			}
			return f(fiberCtx, view.Scope(team))
		}
	}
	number := func(c *fiber.Ctx, name string) (uint64, bool) {
		n, err := strconv.ParseUint(c.Query(name, "0"), 10, 64)
		return n, err == nil
	}
	api.Get("/view", serve(func(c *fiber.Ctx, scope view.Scope) error {
		epoch, ok1 := number(c, "epoch")
		seq, ok2 := number(c, "seq")
		ms, ok3 := number(c, "wait_ms")
		if !ok1 || !ok2 || !ok3 || ms > uint64(maxViewWait/time.Millisecond) {
			return send(c, 400, AdminRefusal{Error: "epoch, seq and wait_ms are whole numbers, wait_ms at most 2000"})
		}
		cur := view.Cursor{Epoch: epoch, Seq: seq}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		s := core.View(ctx, cur)
		if s == nil {
			c.Set(fiber.HeaderRetryAfter, "1")
			return send(c, 503, AdminRefusal{Error: "this node has not read the records yet"})
		}
		c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
		return c.Send(s.AppendPage(make([]byte, 0, 4<<10), scope, cur, time.Now().UnixMilli()))
	}))
	api.Get("/view/reasons", serve(func(c *fiber.Ctx, scope view.Scope) error {
		ids := strings.Split(strings.Clone(c.Query("jobs")), ",")
		for _, id := range ids {
			if !protocol.ValidJobID(id) || len(ids) > view.MaxReasons {
				return send(c, 400, AdminRefusal{Error: "jobs is a list of up to " + strconv.Itoa(view.MaxReasons) + " ids", Field: "jobs"})
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		list, err := core.Reasons(ctx, scope, ids)
		if err != nil {
			c.Set(fiber.HeaderRetryAfter, "1")
			return send(c, 503, AdminRefusal{Error: err.Error()})
		}
		return send(c, 200, AdminPage{Items: list})
	}))
}
