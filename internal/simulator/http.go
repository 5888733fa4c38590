package simulator

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/protocol"
)

// newApp returns a server without routes, with the limits of the real external services.
func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, CaseSensitive: true, IdleTimeout: 2 * time.Minute, ReadBufferSize: 8 << 10})
}

// dropConnection closes the connection without an answer: the caller cannot tell whether its request was carried
// out.
func dropConnection(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

// respondError answers with the status that an external service uses for an error. If the outcome of the request is
// in doubt, it sends no answer.
func respondError(request *fiber.Ctx, err error) error {
	status := fiber.StatusServiceUnavailable
	switch {
	case errors.Is(err, protocol.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return dropConnection(request)
	case errors.Is(err, errOverRate):
		status = fiber.StatusTooManyRequests
	case errors.Is(err, protocol.ErrTooLarge):
		status = fiber.StatusBadRequest
	case errors.Is(err, protocol.ErrLeaseExpired), errors.Is(err, protocol.ErrNotFound):
		status = fiber.StatusNotFound
	case errors.Is(err, protocol.ErrRevisionTooOld):
		status = fiber.StatusGone
	}
	return request.Status(status).JSON(protocol.ErrorResponse{Error: err.Error()})
}

// respondBadRequest refuses a malformed request.
func respondBadRequest(c *fiber.Ctx, why string) error {
	return c.Status(fiber.StatusBadRequest).JSON(protocol.ErrorResponse{Error: why})
}
