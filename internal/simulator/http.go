package simulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/protocol"
)

// Limits of the state service's interface, as the protocol has them.
const (
	maxListed     = 1000
	maxBlock      = time.Minute
	maxTxn        = 64 << 10
	minLease      = 100 * time.Millisecond
	maxLease      = 10 * time.Minute
	pendingWatch  = 30 * time.Second // a follow that an outage holds up is given up after as long
	defaultListed = 200
)

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, CaseSensitive: true, IdleTimeout: 2 * time.Minute, ReadBufferSize: 8 << 10})
}

// silent ends the connection without an answer: the caller can't know what became of its request.
func silent(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
	return nil
}

// fail answers as an outside service does; what is in doubt gets no answer.
func fail(request *fiber.Ctx, err error) error {
	status := fiber.StatusServiceUnavailable
	switch {
	case errors.Is(err, protocol.ErrUnknown), errors.Is(err, context.DeadlineExceeded):
		return silent(request)
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

func malformed(c *fiber.Ctx, why string) error {
	return c.Status(fiber.StatusBadRequest).JSON(protocol.ErrorResponse{Error: why})
}

// Open is a way to the store for one caller; controller, if not nil, may be cut off from it.
func (s *Store) Open(node *ControllerProcess) *StoreLink {
	if node == nil {
		node = &ControllerProcess{Name: "http"}
	}
	return &StoreLink{store: s, controller: node}
}

// ServeState serves one controller's way to a store over HTTP, as the state service does. It
// ends with the listener.
func ServeState(storeLink *StoreLink, listener net.Listener) error {
	app := newApp()
	app.Use(func(c *fiber.Ctx) error {
		storeLink.Requests.note(c.Path())
		return c.Next()
	})
	app.Get("/store", func(c *fiber.Ctx) error {
		limit, err := strconv.Atoi(c.Query("limit", strconv.Itoa(defaultListed)))
		if err != nil || limit < 1 || limit > maxListed {
			return malformed(c, "limit is not between 1 and 1000")
		}
		p, err := storeLink.List(context.Background(), strings.Clone(c.Query("starts")), strings.Clone(c.Query("from")), limit)
		if err != nil {
			return fail(c, err)
		}
		return c.JSON(p)
	})
	app.Get("/store/*", func(c *fiber.Ctx) error {
		it, lease, rev, err := storeLink.Read(context.Background(), strings.Clone(c.Params("*")))
		switch {
		case errors.Is(err, protocol.ErrNotFound):
			return c.Status(fiber.StatusNotFound).JSON(protocol.TxnResult{Revision: rev})
		case err != nil:
			return fail(c, err)
		}
		return c.JSON(struct {
			protocol.Item
			Lease uint64 `json:"tenure,omitempty"`
		}{it, lease})
	})
	app.Post("/txn", func(request *fiber.Ctx) error {
		var txn protocol.Txn
		if err := json.Unmarshal(request.Body(), &txn); err != nil || len(request.Body()) > maxTxn {
			return malformed(request, "no transaction, or over 64 KiB")
		}
		for _, x := range txn.Then {
			if (x.Put == "") == (x.Delete == "") || len(x.Put+x.Delete) > 200 || strings.Contains(x.Put+x.Delete, " ") {
				return malformed(request, "a change names no key")
			}
		}
		rev, failed, err := storeLink.Txn(context.Background(), txn, protocol.BackgroundRequest)
		switch {
		case errors.Is(err, protocol.ErrNoLease):
			return malformed(request, "no such lease")
		case err != nil:
			return fail(request, err)
		case len(failed) > 0:
			return request.Status(fiber.StatusConflict).JSON(protocol.TxnResult{Failed: failed, Revision: rev})
		}
		return request.JSON(protocol.TxnResult{Revision: rev})
	})
	app.Post("/holds", func(fiberCtx *fiber.Ctx) error {
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if err := json.Unmarshal(fiberCtx.Body(), &in); err != nil {
			return malformed(fiberCtx, "no ttlMs")
		}
		ttl := time.Duration(in.TTL) * time.Millisecond
		if ttl < minLease || ttl > maxLease {
			return malformed(fiberCtx, "ttlMs is not between 100 and 600000")
		}
		id, err := storeLink.Grant(context.Background(), ttl)
		if err != nil {
			return fail(fiberCtx, err)
		}
		return fiberCtx.JSON(map[string]uint64{"tenure": id})
	})
	hold := func(f func(context.Context, uint64) error) fiber.Handler {
		return func(c *fiber.Ctx) error {
			id, _ := strconv.ParseUint(c.Params("id"), 10, 64) // 0 is no hold
			if err := f(context.Background(), id); err != nil {
				return fail(c, err)
			}
			return c.SendStatus(fiber.StatusOK)
		}
	}
	app.Post("/holds/:id/extend", hold(func(ctx context.Context, id uint64) error { return storeLink.Renew(ctx, id, 0) }))
	app.Delete("/holds/:id", hold(storeLink.End))
	app.Get("/follow", func(c *fiber.Ctx) error {
		from, err := strconv.ParseUint(c.Query("from", "0"), 10, 64)
		ms, err2 := strconv.Atoi(c.Query("blockMs", "0"))
		wait := time.Duration(ms) * time.Millisecond
		if err != nil || err2 != nil || wait < 0 || wait > maxBlock {
			return malformed(c, "from or blockMs is out of range")
		}
		ctx, cancel := context.WithTimeout(context.Background(), wait+pendingWatch)
		defer cancel()
		ev, err := storeLink.Watch(ctx, strings.Clone(c.Query("starts")), from, wait)
		if err != nil {
			return fail(c, err)
		}
		return c.JSON(ev)
	})
	return app.Listener(listener)
}

// ServeCloud serves one controller's way to the world's cloud over HTTP. It ends with the listener.
func (w *Simulation) ServeCloud(process *ControllerProcess, listener net.Listener) error {
	simulatorCloudLink := &cloudLink{simulation: w, controller: process}
	app := newApp()
	app.Get("/catalog", func(c *fiber.Ctx) error {
		cat, err := simulatorCloudLink.Catalog(context.Background())
		if err != nil {
			return fail(c, err)
		}
		return c.JSON(cat)
	})
	app.Get("/hosts", func(c *fiber.Ctx) error {
		list, err := simulatorCloudLink.List(context.Background(), strings.Clone(c.Query("from")))
		if err != nil {
			return fail(c, err)
		}
		if list.Machines == nil {
			list.Machines = []protocol.CloudMachine{}
		}
		return c.JSON(list)
	})
	app.Post("/hosts", func(request *fiber.Ctx) error {
		var r protocol.ScaleOutRequest
		if err := json.Unmarshal(request.Body(), &r); err != nil || r.Name == "" || r.Count < 1 || r.Count > protocol.MaxScaleOut {
			return malformed(request, "no rental of 1 to 50 machines")
		}
		names, err := simulatorCloudLink.ScaleOut(context.Background(), r)
		switch {
		case errors.Is(err, protocol.ErrNoCapacity):
			return request.Status(fiber.StatusServiceUnavailable).JSON(protocol.ErrorResponse{Error: "no capacity"})
		case err != nil:
			return fail(request, err)
		}
		return request.JSON(protocol.MachineNames{Machines: names})
	})
	app.Post("/hosts/return", func(c *fiber.Ctx) error {
		var in protocol.MachineNames
		if err := json.Unmarshal(c.Body(), &in); err != nil || len(in.Machines) > protocol.MaxScaleIn {
			return malformed(c, "no list of up to 100 machines")
		}
		if err := simulatorCloudLink.ScaleIn(context.Background(), in.Machines); err != nil {
			return fail(c, err)
		}
		return c.SendStatus(fiber.StatusOK)
	})
	return app.Listener(listener)
}
