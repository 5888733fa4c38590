package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/protocol"
)

// ServeCloud serves one controller's connection to the simulated cloud over HTTP, until the listener is closed.
func (sim *Simulation) ServeCloud(process *ControllerProcess, listener net.Listener) error {
	server := &cloudServer{&cloudLink{simulation: sim, controller: process}}
	app := newApp()
	app.Get("/catalog", server.catalog)
	app.Get("/hosts", server.list)
	app.Post("/hosts", server.scaleOut)
	app.Post("/hosts/return", server.scaleIn)
	return app.Listener(listener)
}

// cloudServer answers a controller's requests to the cloud over HTTP.
type cloudServer struct{ link *cloudLink }

func (s *cloudServer) catalog(c *fiber.Ctx) error {
	catalog, err := s.link.Catalog(context.Background())
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(catalog)
}

func (s *cloudServer) list(c *fiber.Ctx) error {
	list, err := s.link.List(context.Background(), strings.Clone(c.Query("from")))
	if err != nil {
		return respondError(c, err)
	}
	if list.Machines == nil {
		list.Machines = []protocol.CloudMachine{}
	}
	return c.JSON(list)
}

func (s *cloudServer) scaleOut(fiberCtx *fiber.Ctx) error {
	var request protocol.ScaleOutRequest
	err := json.Unmarshal(fiberCtx.Body(), &request)
	if err != nil || request.Name == "" || request.Count < 1 || request.Count > protocol.MaxScaleOut {
		return respondBadRequest(fiberCtx, "no rental of 1 to 50 machines")
	}
	names, err := s.link.ScaleOut(context.Background(), request)
	switch {
	case errors.Is(err, protocol.ErrNoCapacity):
		return fiberCtx.Status(fiber.StatusServiceUnavailable).JSON(protocol.ErrorResponse{Error: "no capacity"})
	case err != nil:
		return respondError(fiberCtx, err)
	}
	return fiberCtx.JSON(protocol.MachineNames{Machines: names})
}

func (s *cloudServer) scaleIn(c *fiber.Ctx) error {
	var request protocol.MachineNames
	if err := json.Unmarshal(c.Body(), &request); err != nil || len(request.Machines) > protocol.MaxScaleIn {
		return respondBadRequest(c, "no list of up to 100 machines")
	}
	if err := s.link.ScaleIn(context.Background(), request.Machines); err != nil {
		return respondError(c, err)
	}
	return c.SendStatus(fiber.StatusOK)
}
