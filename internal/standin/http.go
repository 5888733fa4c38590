package standin

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

// ServeState serves a store over HTTP as the state service does.
func ServeState(s *Store, ln net.Listener) error {
	l := &StoreLink{store: s, node: &Node{Name: "http"}}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	fail := func(c *fiber.Ctx, err error) error {
		status := 503
		if errors.Is(err, protocol.ErrNoLease) {
			status = 404
		}
		return c.Status(status).JSON(protocol.Refusal{Error: err.Error()})
	}
	app.Get("/store", func(c *fiber.Ctx) error {
		limit, _ := strconv.Atoi(c.Query("limit", "1000"))
		p, err := l.List(context.Background(), strings.Clone(c.Query("starts")), strings.Clone(c.Query("from")), limit)
		if err != nil {
			return fail(c, err)
		}
		return c.JSON(p)
	})
	app.Post("/txn", func(c *fiber.Ctx) error {
		var t protocol.Txn
		if err := json.Unmarshal(c.Body(), &t); err != nil {
			return c.SendStatus(400)
		}
		rev, failed, err := l.Txn(context.Background(), t, protocol.Background)
		switch {
		case errors.Is(err, protocol.ErrNoLease):
			return c.Status(400).JSON(protocol.Refusal{Error: "no such lease"})
		case err != nil:
			return fail(c, err)
		case len(failed) > 0:
			return c.Status(409).JSON(protocol.TxnResult{Failed: failed, Revision: rev})
		}
		return c.JSON(protocol.TxnResult{Revision: rev})
	})
	app.Post("/holds", func(c *fiber.Ctx) error {
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if err := json.Unmarshal(c.Body(), &in); err != nil {
			return c.SendStatus(400)
		}
		id, err := l.Grant(context.Background(), time.Duration(in.TTL)*time.Millisecond)
		if err != nil {
			return fail(c, err)
		}
		return c.JSON(map[string]uint64{"tenure": id})
	})
	app.Post("/holds/:id/extend", func(c *fiber.Ctx) error {
		id, _ := strconv.ParseUint(c.Params("id"), 10, 64)
		if err := l.Renew(context.Background(), id, 0); err != nil {
			return fail(c, err)
		}
		return c.SendStatus(200)
	})
	app.Get("/follow", func(c *fiber.Ctx) error {
		from, _ := strconv.ParseUint(c.Query("from"), 10, 64)
		ms, _ := strconv.Atoi(c.Query("blockMs", "0"))
		ev, err := l.Follow(context.Background(), strings.Clone(c.Query("starts")), from, time.Duration(ms)*time.Millisecond)
		if err != nil {
			return fail(c, err)
		}
		return c.JSON(ev)
	})
	return app.Listener(ln)
}

// ServeCloud serves a cloud over HTTP that has a catalog and no machine to rent.
func ServeCloud(c protocol.Catalog, ln net.Listener) error {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Get("/catalog", func(x *fiber.Ctx) error { return x.JSON(c) })
	app.Get("/hosts", func(x *fiber.Ctx) error { return x.JSON(protocol.MachineList{Machines: []protocol.Listed{}}) })
	app.Post("/hosts", func(x *fiber.Ctx) error { return x.Status(503).JSON(protocol.Refusal{Error: "no capacity"}) })
	app.Post("/hosts/return", func(x *fiber.Ctx) error { return x.SendStatus(200) })
	return app.Listener(ln)
}
