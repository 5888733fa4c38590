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
	Evictions(ctx context.Context) ([]controller.VictimSetView, error)
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

// Limits of the administration server's connections and requests.
const (
	adminTimeout        = 3 * time.Second // until the controller has to have an answer
	adminReadTimeout    = 10 * time.Second
	adminIdleTimeout    = 30 * time.Second
	defaultWriteTimeout = 5 * time.Second
	retryAfterSeconds   = "1"
)

// AdminLimits bound what readers of the administration API cost a controller.
type AdminLimits struct {
	ViewReaders  int           // requests for the view that are served at a time
	WriteTimeout time.Duration // a reader that takes longer to take an answer is dropped
}

// DefaultAdminLimits suit machines with a tenth of a core.
func DefaultAdminLimits() AdminLimits {
	return AdminLimits{ViewReaders: config.DefaultReaders, WriteTimeout: defaultWriteTimeout}
}

// AdminServer serves the administration API.
type AdminServer struct{ app *fiber.App }

// Serve serves until the listener is closed.
func (s *AdminServer) Serve(ln net.Listener) error { return s.app.Listener(ln) }

// NewAdminServer makes the server of the administration API and the metrics. It
// only ever gets connections of peer_listen, which users do not reach.
func NewAdminServer(core AdminCore, limits AdminLimits) *AdminServer {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             protocol.MaxBody,
		Concurrency:           maxPeerConns,
		ReadTimeout:           adminReadTimeout,
		IdleTimeout:           adminIdleTimeout,
		WriteTimeout:          limits.WriteTimeout,
		CaseSensitive:         true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			return send(c, fiberStatus(err), AdminRefusal{Error: err.Error()})
		},
	})
	router := app.Group("/admin/v1")
	api := adminAPI{core}
	api.mountSettings(router)
	api.mountTeams(router)
	api.mountControllers(router)
	api.mountJobs(router)
	api.mountMachines(router)
	mountView(router, core, limits.ViewReaders)
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(core.Metrics().Registry, promhttp.HandlerOpts{})))
	return &AdminServer{app}
}

// adminAPI answers the requests of operators with what a controller tells.
type adminAPI struct{ core AdminCore }

// adminHandler makes the body of an answer, or an error that refuse knows.
type adminHandler func(ctx context.Context, c *fiber.Ctx) (any, error)

// handle makes a fiber handler of one that answers within adminTimeout.
func handle(handler adminHandler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		body, err := handler(ctx, c)
		if err != nil {
			return sendError(c, err)
		}
		return send(c, fiber.StatusOK, body)
	}
}

// errUnknownMachine says that a machine is not known.
var errUnknownMachine = errors.New("no such machine")

// sendError answers with the status that an error stands for. What is not a mistake of the operator may
// work later.
func sendError(c *fiber.Ctx, err error) error {
	var fieldError *controller.FieldError
	switch {
	case errors.As(err, &fieldError):
		return send(c, fiber.StatusBadRequest, AdminRefusal{err.Error(), fieldError.Field})
	case errors.Is(err, controller.ErrVersionConflict):
		return send(c, fiber.StatusConflict, AdminRefusal{Error: err.Error()})
	case errors.Is(err, controller.ErrUnknownTeam), errors.Is(err, errUnknownMachine):
		return send(c, fiber.StatusNotFound, AdminRefusal{Error: err.Error()})
	}
	return sendRetryLater(c, err.Error())
}

// sendRetryLater answers that the controller can't serve the request now.
func sendRetryLater(c *fiber.Ctx, text string) error {
	c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
	return send(c, fiber.StatusServiceUnavailable, AdminRefusal{Error: text})
}

// fiberStatus is the status that an error of the web framework stands for.
func fiberStatus(err error) int {
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		return fiberError.Code
	}
	return fiber.StatusInternalServerError
}

func (a adminAPI) mountSettings(router fiber.Router) {
	router.Get("/settings", handle(a.settings))
	router.Put("/settings", handle(a.changeSettings))
}

func (a adminAPI) settings(ctx context.Context, _ *fiber.Ctx) (any, error) {
	settings, version, err := a.core.Settings(ctx)
	return SettingsView{version, settings, controller.SettingsInfo()}, err
}

func (a adminAPI) changeSettings(ctx context.Context, c *fiber.Ctx) (any, error) {
	var change SettingsChange
	if err := decodeChange(c, &change, `{"version":N,"settings":{...}}`); err != nil {
		return nil, err
	}
	if change.Version == nil {
		return nil, missingVersionError()
	}
	settings, version, err := a.core.ChangeSettings(ctx, *change.Version, change.Settings)
	return SettingsView{Version: version, Settings: settings}, err
}

func (a adminAPI) mountTeams(router fiber.Router) {
	router.Get("/teams", handle(a.teams))
	router.Get("/teams/:name", handle(a.team))
	router.Put("/teams/:name", handle(a.changeTeam))
}

func (a adminAPI) teams(ctx context.Context, _ *fiber.Ctx) (any, error) {
	teams, err := a.core.Teams(ctx)
	return AdminPage{Items: teams}, err
}

func (a adminAPI) team(ctx context.Context, c *fiber.Ctx) (any, error) {
	name, err := teamName(c)
	if err != nil {
		return nil, err
	}
	return a.core.Team(ctx, name)
}

func (a adminAPI) changeTeam(ctx context.Context, request *fiber.Ctx) (any, error) {
	name, err := teamName(request)
	if err != nil {
		return nil, err
	}
	var change TeamChange
	if err := decodeChange(request, &change, `{"version":N,"team":{...}}`); err != nil {
		return nil, err
	}
	if change.Version == nil {
		return nil, missingVersionError()
	}
	return a.core.ChangeTeam(ctx, name, *change.Version, change.Team)
}

// mountControllers adds what is told of the controllers and of the shards that they own.
func (a adminAPI) mountControllers(router fiber.Router) {
	router.Get("/nodes", handle(a.members))
	router.Get("/shares", handle(a.shards))
}

func (a adminAPI) members(ctx context.Context, _ *fiber.Ctx) (any, error) {
	members, err := a.core.MemberViews(ctx)
	return AdminPage{Items: members}, err
}

func (a adminAPI) shards(ctx context.Context, _ *fiber.Ctx) (any, error) {
	shards, err := a.core.ShardViews(ctx)
	return AdminPage{Items: shards}, err
}

func (a adminAPI) mountJobs(router fiber.Router) {
	router.Get("/jobs", handle(a.jobs))
	router.Get("/evictions", handle(a.evictions))
}

func (a adminAPI) jobs(ctx context.Context, c *fiber.Ctx) (any, error) {
	limit, err := pageLimit(c)
	if err != nil {
		return nil, err
	}
	jobs, more, err := a.core.JobViews(ctx, query(c, "team"), query(c, "after"), limit)
	return AdminPage{jobs, more}, err
}

func (a adminAPI) evictions(ctx context.Context, _ *fiber.Ctx) (any, error) {
	evictions, err := a.core.Evictions(ctx)
	return AdminPage{Items: evictions}, err
}

func (a adminAPI) mountMachines(router fiber.Router) {
	router.Get("/machines", handle(a.machines))
	router.Get("/machines/:name", handle(a.machine))
}

func (a adminAPI) machines(ctx context.Context, c *fiber.Ctx) (any, error) {
	limit, err := pageLimit(c)
	if err != nil {
		return nil, err
	}
	machines, more, err := a.core.MachineInfos(ctx, query(c, "after"), limit)
	return AdminPage{machines, more}, err
}

func (a adminAPI) machine(ctx context.Context, c *fiber.Ctx) (any, error) {
	machine, known, err := a.core.MachineInfo(ctx, pathParam(c, "name"))
	if err == nil && !known {
		err = errUnknownMachine
	}
	return machine, err
}

// decodeChange reads the body of a request into change; form shows how it has to look.
func decodeChange(c *fiber.Ctx, change any, form string) error {
	if err := json.Unmarshal(c.Body(), change); err != nil {
		return &controller.FieldError{Field: "body", Expected: form}
	}
	return nil
}

// missingVersionError refuses a change that does not say on which version it is based.
func missingVersionError() error {
	return &controller.FieldError{Field: "version", Expected: "the version that was read"}
}

// query is a value of the query, and pathParam one of the path. They are copies: the framework uses
// its own memory anew for the next request, and the controller may keep them for longer.
func query(c *fiber.Ctx, name string) string     { return strings.Clone(c.Query(name)) }
func pathParam(c *fiber.Ctx, name string) string { return strings.Clone(c.Params(name)) }

// teamName is the team that a path names.
func teamName(c *fiber.Ctx) (string, error) {
	name, err := url.PathUnescape(pathParam(c, "name"))
	if err != nil {
		return "", &controller.FieldError{Field: "name", Expected: "a team's name, escaped as in a URL"}
	}
	return name, nil
}

// pageLimit is how many items a request wants on a page.
func pageLimit(c *fiber.Ctx) (int, error) {
	text := c.Query("limit")
	if text == "" {
		return controller.MaxListRows, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > controller.MaxListRows {
		return 0, &controller.FieldError{Field: "limit", Expected: "a count from 1 to " + strconv.Itoa(controller.MaxListRows)}
	}
	return limit, nil
}
