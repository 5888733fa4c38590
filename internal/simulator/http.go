package simulator

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/protocol"
)

// newApp is a server without routes, with the limits that outside services have.
func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, CaseSensitive: true, IdleTimeout: 2 * time.Minute, ReadBufferSize: 8 << 10})
}

// dropConnection ends the connection without an answer: the caller can't know what became of its request.
func dropConnection(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

// respondError answers as an outside service does; what is in doubt gets no answer.
func respondError(request *fiber.Ctx, err error) error {
	status := fiber.StatusServiceUnavailable
	switch {
	case errors.Is(err, protocol.ErrUnknown), errors.Is(err, context.DeadlineExceeded):
		return dropConnection(request)
	case errors.Is(err, errOverRate):
		status = fiber.StatusTooManyRequests
	case errors.Is(err, protocol.ErrTooLarge):
		status = fiber.StatusBadRequest
	case errors.Is(err, protocol.ErrNoLease), errors.Is(err, protocol.ErrNotFound):
		status = fiber.StatusNotFound
	case errors.Is(err, protocol.ErrTooOld):
		status = fiber.StatusGone
	}
	return request.Status(status).JSON(protocol.ErrorResponse{Error: err.Error()})
}

// respondBadRequest refuses a request that can't be read.
func respondBadRequest(c *fiber.Ctx, why string) error {
	return c.Status(fiber.StatusBadRequest).JSON(protocol.ErrorResponse{Error: why})
}
