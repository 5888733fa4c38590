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

// AdminCore is the part of a controller that the administration API uses.
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

// SettingsView is the response body with the operators' settings.
type SettingsView struct {
	Version  uint64                      `json:"version"`
	Settings controller.OperatorSettings `json:"settings"`
	Info     []controller.SettingInfo    `json:"info,omitempty"`
}

// SettingsChange is the request body for a change of the settings. The change is made only if their
// version is still Version.
type SettingsChange struct {
	Version  *uint64         `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// TeamChange is the request body for a change of a team. The change is made only if the version of the
// team's entry is still Version.
type TeamChange struct {
	Version *uint64         `json:"version"`
	Team    json.RawMessage `json:"team"`
}

// AdminErrorResponse is the response body for a rejected request.
type AdminErrorResponse struct {
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
	adminTimeout        = 3 * time.Second // for the controller to answer a request
	adminReadTimeout    = 10 * time.Second
	adminIdleTimeout    = 30 * time.Second
	defaultWriteTimeout = 5 * time.Second
	retryAfterSeconds   = "1"
)

// AdminLimits limits the resources that clients of the administration API use.
type AdminLimits struct {
	ViewReaders  int           // view requests served at the same time
	WriteTimeout time.Duration // the connection is closed if sending a response takes longer
}

// DefaultAdminLimits returns limits that are suitable for machines with a tenth of a CPU core.
func DefaultAdminLimits() AdminLimits {
	return AdminLimits{ViewReaders: config.DefaultViewReaders, WriteTimeout: defaultWriteTimeout}
}

// AdminServer serves the administration API and the metrics.
type AdminServer struct{ app *fiber.App }

// Serve accepts and serves connections until the listener is closed.
func (s *AdminServer) Serve(ln net.Listener) error { return s.app.Listener(ln) }

// NewAdminServer returns a server of the administration API and the metrics. It must be given only
// connections to peer_listen, which users can't reach.
func NewAdminServer(core AdminCore, limits AdminLimits) *AdminServer {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             protocol.MaxBodyBytes,
		Concurrency:           maxPeerConns,
		ReadTimeout:           adminReadTimeout,
		IdleTimeout:           adminIdleTimeout,
		WriteTimeout:          limits.WriteTimeout,
		CaseSensitive:         true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			return send(c, fiberStatus(err), AdminErrorResponse{Error: err.Error()})
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

// adminAPI handles the requests of operators by calling the controller.
type adminAPI struct{ core AdminCore }

// adminHandler returns the body of a response, or an error that sendError converts to a status.
type adminHandler func(ctx context.Context, c *fiber.Ctx) (any, error)

// handle converts an adminHandler to a fiber handler. The context expires after adminTimeout.
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

// errUnknownMachine means that there is no machine with the requested name.
var errUnknownMachine = errors.New("no such machine")

// sendError answers with the status for an error. Errors that the request did not cause are answered
// with 503 and Retry-After, since a repetition may succeed.
func sendError(c *fiber.Ctx, err error) error {
	var fieldError *controller.FieldError
	switch {
	case errors.As(err, &fieldError):
		return send(c, fiber.StatusBadRequest, AdminErrorResponse{err.Error(), fieldError.Field})
	case errors.Is(err, controller.ErrVersionConflict):
		return send(c, fiber.StatusConflict, AdminErrorResponse{Error: err.Error()})
	case errors.Is(err, controller.ErrUnknownTeam), errors.Is(err, errUnknownMachine):
		return send(c, fiber.StatusNotFound, AdminErrorResponse{Error: err.Error()})
	}
	return sendRetryLater(c, err.Error())
}

// sendRetryLater answers with 503 and Retry-After: the controller can't serve the request at present.
func sendRetryLater(c *fiber.Ctx, text string) error {
	c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
	return send(c, fiber.StatusServiceUnavailable, AdminErrorResponse{Error: text})
}

// fiberStatus returns the status for an error of the web framework.
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

// mountControllers adds the routes that list the controllers and the shards.
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

// decodeChange decodes the body of a request into change. form is an example of a valid body, for the
// error message.
func decodeChange(c *fiber.Ctx, change any, form string) error {
	if err := json.Unmarshal(c.Body(), change); err != nil {
		return &controller.FieldError{Field: "body", Expected: form}
	}
	return nil
}

// missingVersionError returns the error for a change without the version that it is based on.
func missingVersionError() error {
	return &controller.FieldError{Field: "version", Expected: "the version that was read"}
}

// query returns a parameter of the query, and pathParam a parameter of the path. Both return copies:
// the framework reuses its buffers for the next request, and the controller may keep the values longer.
func query(c *fiber.Ctx, name string) string     { return strings.Clone(c.Query(name)) }
func pathParam(c *fiber.Ctx, name string) string { return strings.Clone(c.Params(name)) }

// teamName returns the name of the team in the path.
func teamName(c *fiber.Ctx) (string, error) {
	name, err := url.PathUnescape(pathParam(c, "name"))
	if err != nil {
		return "", &controller.FieldError{Field: "name", Expected: "a team's name, escaped as in a URL"}
	}
	return name, nil
}

// pageLimit returns the maximum number of items on a page that a request asks for.
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
