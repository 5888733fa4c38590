package transport

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

// Core is the part of a controller that the public server uses.
type Core interface {
	Submit(ctx context.Context, body []byte) controller.Answer
	Query(ctx context.Context, id string) controller.Answer
	Cancel(ctx context.Context, id string) controller.Answer
	Ready(ctx context.Context) bool
	HandleHeartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, reply func(status int, body any))
}

// The maximum times in which a controller answers. Users and workers wait slightly longer.
const (
	submitTimeout    = 4500 * time.Millisecond // for submissions and cancellations
	queryTimeout     = 1900 * time.Millisecond
	readyTimeout     = 900 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
)

// Limits of the public server's connections.
const (
	maxReadBody       = 4 * protocol.MaxBodyBytes // bytes; a larger body is rejected without being read
	reservedConns     = 64                        // sockets reserved for connections other than those of users and workers
	minPublicConns    = 16
	publicIdleTimeout = 2 * time.Minute
	publicReadBuffer  = 8 << 10 // bytes per connection
	publicWriteBuffer = 4 << 10 // bytes per connection
)

// PublicServer serves users, workers and health checks.
type PublicServer struct{ app *fiber.App }

// NewPublicServer returns the server for public_addr. maxConns is the maximum number of open sockets of
// the process.
func NewPublicServer(core Core, maxConns int, log *slog.Logger) *PublicServer {
	api := publicAPI{core, log}
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxReadBody,
		Concurrency:           max(minPublicConns, maxConns-reservedConns),
		ReadBufferSize:        publicReadBuffer,
		WriteBufferSize:       publicWriteBuffer,
		IdleTimeout:           publicIdleTimeout,
		CaseSensitive:         true,
		ErrorHandler:          api.handleError,
	})
	app.Post("/v2/runs", api.submit)
	app.Get("/v2/runs/:id", api.query)
	app.Post("/v2/runs/:id/cancel", api.cancel)
	app.Get("/ready", api.ready)
	app.Post("/agent/beat", api.heartbeat)
	return &PublicServer{app}
}

// Serve accepts and serves connections until the listener is closed.
func (s *PublicServer) Serve(ln net.Listener) error { return s.app.Listener(ln) }

// publicAPI handles the requests of users, workers and health checks by calling the controller.
type publicAPI struct {
	core Core
	log  *slog.Logger
}

// handleError answers a request that failed before a handler answered it, and logs server errors.
func (a publicAPI) handleError(c *fiber.Ctx, err error) error {
	status := fiberStatus(err)
	if status == fiber.StatusRequestEntityTooLarge {
		status = fiber.StatusBadRequest // the protocol has no other status for it
	}
	if status >= fiber.StatusInternalServerError && status != fiber.StatusBadGateway { // 502: the connection was interrupted
		a.log.Error("public request failed", "path", c.Path(), "err", err)
	}
	return send(c, status, protocol.ErrorResponse{Error: err.Error()})
}

func (a publicAPI) submit(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return sendAnswer(c, a.core.Submit(ctx, c.Body()))
}

func (a publicAPI) query(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	return sendAnswer(c, a.core.Query(ctx, pathParam(c, "id")))
}

func (a publicAPI) cancel(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return sendAnswer(c, a.core.Cancel(ctx, pathParam(c, "id")))
}

func (a publicAPI) ready(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if !a.core.Ready(ctx) {
		return send(c, fiber.StatusServiceUnavailable, protocol.ErrorResponse{Error: "starting"})
	}
	return c.SendStatus(fiber.StatusOK)
}

// heartbeatReply is a controller's answer to a heartbeat.
type heartbeatReply struct {
	status int
	body   any
}

func (a publicAPI) heartbeat(request *fiber.Ctx) error {
	heartbeat, err := protocol.ParseHeartbeat(request.Body())
	if err != nil {
		a.log.Info("malformed heartbeat rejected", "err", err)
		return send(request, fiber.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
	}
	replies := make(chan heartbeatReply, 1) // buffered, so that a reply after the timeout does not block
	// The context has no deadline: the controller processes the heartbeat even if the worker no longer waits.
	a.core.HandleHeartbeat(context.Background(), heartbeat, func(status int, body any) {
		replies <- heartbeatReply{status, body}
	})
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return send(request, reply.status, reply.body)
	case <-timer.C:
		return send(request, fiber.StatusServiceUnavailable, protocol.ErrorResponse{Error: "busy"})
	}
}

// sendAnswer sends a controller's answer to a user.
func sendAnswer(c *fiber.Ctx, answer controller.Answer) error {
	if answer.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(answer.RetryAfter))
	}
	return send(c, answer.Status, answer.Body)
}

// send answers with a status and a JSON body.
func send(c *fiber.Ctx, status int, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(raw)
}
