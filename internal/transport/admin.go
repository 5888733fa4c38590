package transport

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

// AdminCore is what the administration API needs of a controller.
type AdminCore interface {
	Settings(ctx context.Context) (controller.OperatorSettings, uint64, error)
	ChangeSettings(ctx context.Context, version uint64, change json.RawMessage) (controller.OperatorSettings, uint64, error)
	MemberViews(ctx context.Context) ([]controller.MemberView, error)
	ShardViews(ctx context.Context) ([]controller.ShardView, error)
	JobViews(ctx context.Context, team, after string, limit int) ([]controller.JobView, bool, error)
	MachineInfos(ctx context.Context, after string, limit int) ([]controller.MachineInfo, bool, error)
	MachineInfo(ctx context.Context, name string) (controller.MachineInfo, bool, error)
	Evictions(ctx context.Context) ([]controller.EvictionView, error)
	Teams(ctx context.Context) ([]controller.TeamView, error)
	Team(ctx context.Context, name string) (controller.TeamView, error)
	ChangeTeam(ctx context.Context, name string, version uint64, change json.RawMessage) (controller.TeamView, error)
	Metrics() *controller.Metrics
	ViewCore
}

// SettingsView is the administration API's view of the settings.
type SettingsView struct {
	Version  uint64                      `json:"version"`
	Settings controller.OperatorSettings `json:"settings"`
	Info     []controller.SettingInfo    `json:"info,omitempty"`
}

// SettingsChange asks for a change, conditional on the version that was read.
type SettingsChange struct {
	Version  *uint64         `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// TeamChange asks for a change of a team, conditional on the version of its entry that was read.
type TeamChange struct {
	Version *uint64         `json:"version"`
	Team    json.RawMessage `json:"team"`
}

// AdminRefusal is the body of an answer that refuses an operator's request.
type AdminRefusal struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

// AdminPage is one page of a list.
type AdminPage struct {
	Items any  `json:"items"`
	More  bool `json:"more"`
}

const adminTimeout = 3 * time.Second

// AdminLimits bound what readers of the administration API cost a controller.
type AdminLimits struct {
	ViewReaders int           // requests for the view that are served at a time
	SendWithin  time.Duration // a reader that takes longer to take an answer is dropped
}

// DefaultAdminLimits suit machines with a tenth of a core.
func DefaultAdminLimits() AdminLimits {
	return AdminLimits{ViewReaders: config.DefaultReaders, SendWithin: 5 * time.Second}
}

// NewAdminServer makes the server of the administration API and the metrics. It
// only ever gets connections of peer_listen, which users do not reach.
func NewAdminServer(core AdminCore, limits AdminLimits) *AdminServer {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true, BodyLimit: protocol.MaxBody, Concurrency: maxPeerConns,
		ReadTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, WriteTimeout: limits.SendWithin, CaseSensitive: true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var fe *fiber.Error
			if errors.As(err, &fe) {
				status = fe.Code
			}
			return send(c, status, AdminRefusal{Error: err.Error()})
		},
	})
	fail := func(c *fiber.Ctx, err error) error {
		var fe *controller.FieldError
		switch {
		case errors.As(err, &fe):
			return send(c, 400, AdminRefusal{err.Error(), fe.Field})
		case errors.Is(err, controller.ErrVersion):
			return send(c, 409, AdminRefusal{Error: err.Error()})
		case errors.Is(err, controller.ErrNoTeam):
			return send(c, 404, AdminRefusal{Error: err.Error()})
		}
		c.Set(fiber.HeaderRetryAfter, "1")
		return send(c, 503, AdminRefusal{Error: err.Error()})
	}
	api := app.Group("/admin/v1")
	get := func(path string, f func(ctx context.Context, c *fiber.Ctx) (any, error)) {
		api.Get(path, func(c *fiber.Ctx) error {
			ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
			defer cancel()
			body, err := f(ctx, c)
			if err != nil {
				return fail(c, err)
			}
			return send(c, 200, body)
		})
	}
	get("/settings", func(ctx context.Context, _ *fiber.Ctx) (any, error) {
		s, v, err := core.Settings(ctx)
		return SettingsView{v, s, controller.SettingsInfo()}, err
	})
	api.Put("/settings", func(request *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		var ch SettingsChange
		if err := json.Unmarshal(request.Body(), &ch); err != nil {
			return fail(request, &controller.FieldError{Field: "body", Expected: `{"version":N,"settings":{...}}`})
		}
		if ch.Version == nil {
			return fail(request, &controller.FieldError{Field: "version", Expected: "the version that was read"})
		}
		s, v, err := core.ChangeSettings(ctx, *ch.Version, ch.Settings)
		if err != nil {
			return fail(request, err)
		}
		return send(request, 200, SettingsView{Version: v, Settings: s})
	})
	get("/teams", func(ctx context.Context, _ *fiber.Ctx) (any, error) {
		v, err := core.Teams(ctx)
		return AdminPage{Items: v}, err
	})
	get("/teams/:name", func(ctx context.Context, c *fiber.Ctx) (any, error) {
		name, err := teamName(c)
		if err != nil {
			return nil, err
		}
		return core.Team(ctx, name)
	})
	api.Put("/teams/:name", func(fiberCtx *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		name, err := teamName(fiberCtx)
		if err != nil {
			return fail(fiberCtx, err)
		}
		var ch TeamChange
		if err := json.Unmarshal(fiberCtx.Body(), &ch); err != nil {
			return fail(fiberCtx, &controller.FieldError{Field: "body", Expected: `{"version":N,"team":{...}}`})
		}
		if ch.Version == nil {
			return fail(fiberCtx, &controller.FieldError{Field: "version", Expected: "the version that was read"})
		}
		v, err := core.ChangeTeam(ctx, name, *ch.Version, ch.Team)
		if err != nil {
			return fail(fiberCtx, err)
		}
		return send(fiberCtx, 200, v)
	})
	get("/nodes", func(ctx context.Context, _ *fiber.Ctx) (any, error) {
		v, err := core.MemberViews(ctx)
		return AdminPage{Items: v}, err
	})
	get("/shares", func(ctx context.Context, _ *fiber.Ctx) (any, error) {
		v, err := core.ShardViews(ctx)
		return AdminPage{Items: v}, err
	})
	get("/jobs", func(ctx context.Context, c *fiber.Ctx) (any, error) {
		limit, err := pageLimit(c)
		if err != nil {
			return nil, err
		}
		v, more, err := core.JobViews(ctx, strings.Clone(c.Query("team")), strings.Clone(c.Query("after")), limit)
		return AdminPage{v, more}, err
	})
	get("/machines", func(ctx context.Context, c *fiber.Ctx) (any, error) {
		limit, err := pageLimit(c)
		if err != nil {
			return nil, err
		}
		v, more, err := core.MachineInfos(ctx, strings.Clone(c.Query("after")), limit)
		return AdminPage{v, more}, err
	})
	api.Get("/machines/:name", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		v, known, err := core.MachineInfo(ctx, strings.Clone(c.Params("name")))
		if err != nil {
			return fail(c, err)
		}
		if !known {
			return send(c, 404, AdminRefusal{Error: "no such machine"})
		}
		return send(c, 200, v)
	})
	get("/evictions", func(ctx context.Context, _ *fiber.Ctx) (any, error) {
		v, err := core.Evictions(ctx)
		return AdminPage{Items: v}, err
	})
	mountView(api, core, limits.ViewReaders)
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(core.Metrics().Registry, promhttp.HandlerOpts{})))
	return &AdminServer{app}
}

// teamName is the team that a path names.
func teamName(c *fiber.Ctx) (string, error) {
	name, err := url.PathUnescape(strings.Clone(c.Params("name")))
	if err != nil {
		return "", &controller.FieldError{Field: "name", Expected: "a team's name, escaped as in a URL"}
	}
	return name, nil
}

func pageLimit(c *fiber.Ctx) (int, error) {
	q := c.Query("limit")
	if q == "" {
		return controller.Page, nil
	}
	n, err := strconv.Atoi(q)
	if err != nil || n < 1 || n > controller.Page {
		return 0, &controller.FieldError{Field: "limit", Expected: "a count from 1 to " + strconv.Itoa(controller.Page)}
	}
	return n, nil
}

// AdminServer serves the administration API.
type AdminServer struct{ app *fiber.App }

// Serve serves until the listener is closed.
func (s *AdminServer) Serve(ln net.Listener) error { return s.app.Listener(ln) }
