package transport

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

// Core is what the public server needs of a controller.
type Core interface {
	Submit(ctx context.Context, body []byte) controller.Answer
	Query(ctx context.Context, id string) controller.Answer
	Cancel(ctx context.Context, id string) controller.Answer
	Ready(ctx context.Context) bool
	HandleHeartbeat(ctx context.Context, r *protocol.Heartbeat, reply func(status int, body any))
}

const (
	submitTimeout    = 4500 * time.Millisecond
	pollTimeout      = 1900 * time.Millisecond
	heartbeatTimeout = 3500 * time.Millisecond
	bodyCeiling      = 4 * protocol.MaxBody // beyond this a body is not even read
)

// PublicServer serves users, workers and health checks.
type PublicServer struct{ app *fiber.App }

// NewPublicServer makes the server of public_addr.
func NewPublicServer(core Core, maxConns int, log *slog.Logger) *PublicServer {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             bodyCeiling,
		Concurrency:           max(16, maxConns-64), // some sockets stay for the other services
		ReadBufferSize:        8 << 10,
		WriteBufferSize:       4 << 10,
		IdleTimeout:           2 * time.Minute,
		CaseSensitive:         true,
		ErrorHandler: func(request *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var fe *fiber.Error
			if errors.As(err, &fe) {
				status = fe.Code
			}
			if status == fiber.StatusRequestEntityTooLarge {
				status = fiber.StatusBadRequest
			}
			if status >= 500 && status != fiber.StatusBadGateway { // that one is a connection that broke off
				log.Error("request failed", "path", request.Path(), "err", err)
			}
			return send(request, status, protocol.ErrorResponse{Error: err.Error()})
		},
	})
	answer := func(c *fiber.Ctx, a controller.Answer) error {
		if a.RetryAfter > 0 {
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(a.RetryAfter))
		}
		return send(c, a.Status, a.Body)
	}
	app.Post("/v2/runs", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		return answer(c, core.Submit(ctx, c.Body()))
	})
	app.Get("/v2/runs/:id", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		return answer(c, core.Query(ctx, strings.Clone(c.Params("id"))))
	})
	app.Post("/v2/runs/:id/cancel", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		return answer(c, core.Cancel(ctx, strings.Clone(c.Params("id"))))
	})
	app.Get("/ready", func(c *fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		if !core.Ready(ctx) {
			return send(c, 503, protocol.ErrorResponse{Error: "starting"})
		}
		return c.SendStatus(200)
	})
	app.Post("/agent/beat", func(fiberCtx *fiber.Ctx) error {
		heartbeat, err := protocol.ParseHeartbeat(fiberCtx.Body())
		if err != nil {
			log.Info("malformed report", "err", err)
			return send(fiberCtx, 400, protocol.ErrorResponse{Error: err.Error()})
		}
		type out struct {
			status int
			body   any
		}
		ch := make(chan out, 1)
		core.HandleHeartbeat(context.Background(), heartbeat, func(status int, body any) { ch <- out{status, body} })
		t := time.NewTimer(heartbeatTimeout)
		defer t.Stop()
		select {
		case o := <-ch:
			return send(fiberCtx, o.status, o.body)
		case <-t.C:
			return send(fiberCtx, 503, protocol.ErrorResponse{Error: "busy"})
		}
	})
	return &PublicServer{app}
}

func send(c *fiber.Ctx, status int, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(raw)
}

// Serve serves until the listener is closed.
func (s *PublicServer) Serve(ln net.Listener) error { return s.app.Listener(ln) }
