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

// Limits of the state service's interface, as the protocol specifies them.
const (
	maxPageItems       = 1000
	maxWatchWait       = time.Minute
	maxTxnBytes        = 64 << 10
	maxKeyBytes        = 200
	minLeaseTTL        = 100 * time.Millisecond
	maxLeaseTTL        = 10 * time.Minute
	watchOutageTimeout = 30 * time.Second // a watch that an outage delays fails this long after its requested wait
	defaultPageItems   = 200
)

// Open returns a connection to the store for a controller, which can be partitioned from the store. If the
// controller is nil, the connection is for another caller.
func (s *Store) Open(process *ControllerProcess) *StoreLink {
	if process == nil {
		process = &ControllerProcess{Name: "http"}
	}
	return &StoreLink{store: s, controller: process}
}

// ServeState serves one controller's connection to the store over HTTP, as the state service does, until the
// listener is closed.
func ServeState(storeLink *StoreLink, listener net.Listener) error {
	server := &stateServer{storeLink}
	app := newApp()
	app.Use(server.count)
	app.Get("/store", server.list)
	app.Get("/store/*", server.read)
	app.Post("/txn", server.transaction)
	app.Post("/holds", server.grant)
	app.Post("/holds/:id/extend", leaseHandler(server.renew))
	app.Delete("/holds/:id", leaseHandler(storeLink.End))
	app.Get("/follow", server.watch)
	return app.Listener(listener)
}

// stateServer answers a controller's requests to the state service. In fiber, a request's context ends with its
// handler and not with its connection, so the calls that wait have time-outs of their own.
type stateServer struct{ link *StoreLink }

func (s *stateServer) count(c *fiber.Ctx) error {
	s.link.Requests.note(c.Path())
	return c.Next()
}

func (s *stateServer) list(c *fiber.Ctx) error {
	limit, err := strconv.Atoi(c.Query("limit", strconv.Itoa(defaultPageItems)))
	if err != nil || limit < 1 || limit > maxPageItems {
		return respondBadRequest(c, "limit is not between 1 and 1000")
	}
	page, err := s.link.List(context.Background(), strings.Clone(c.Query("starts")), strings.Clone(c.Query("from")), limit)
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(page)
}

func (s *stateServer) read(c *fiber.Ctx) error {
	item, lease, rev, err := s.link.Read(context.Background(), strings.Clone(c.Params("*")))
	switch {
	case errors.Is(err, protocol.ErrNotFound):
		return c.Status(fiber.StatusNotFound).JSON(protocol.TxnResult{Revision: rev})
	case err != nil:
		return respondError(c, err)
	}
	return c.JSON(struct {
		protocol.Item
		Lease uint64 `json:"tenure,omitempty"`
	}{item, lease})
}

func (s *stateServer) transaction(request *fiber.Ctx) error {
	var txn protocol.Txn
	if err := json.Unmarshal(request.Body(), &txn); err != nil || len(request.Body()) > maxTxnBytes {
		return respondBadRequest(request, "no transaction, or over 64 KiB")
	}
	for _, change := range txn.Then {
		if !namesOneKey(change) {
			return respondBadRequest(request, "a change names no key")
		}
	}
	rev, failed, err := s.link.Txn(context.Background(), txn, protocol.BackgroundRequest)
	switch {
	case errors.Is(err, protocol.ErrLeaseExpired):
		return respondBadRequest(request, "no such lease")
	case err != nil:
		return respondError(request, err)
	case len(failed) > 0:
		return request.Status(fiber.StatusConflict).JSON(protocol.TxnResult{Failed: failed, Revision: rev})
	}
	return request.JSON(protocol.TxnResult{Revision: rev})
}

// namesOneKey reports whether a change puts or deletes exactly one key, and the key's form is valid.
func namesOneKey(change protocol.Change) bool {
	key := change.Put + change.Delete
	return (change.Put == "") != (change.Delete == "") && len(key) <= maxKeyBytes && !strings.Contains(key, " ")
}

func (s *stateServer) grant(fiberCtx *fiber.Ctx) error {
	var request struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.Unmarshal(fiberCtx.Body(), &request); err != nil {
		return respondBadRequest(fiberCtx, "no ttlMs")
	}
	ttl := time.Duration(request.TTL) * time.Millisecond
	if ttl < minLeaseTTL || ttl > maxLeaseTTL {
		return respondBadRequest(fiberCtx, "ttlMs is not between 100 and 600000")
	}
	id, err := s.link.Grant(context.Background(), ttl)
	if err != nil {
		return respondError(fiberCtx, err)
	}
	return fiberCtx.JSON(struct {
		Lease uint64 `json:"tenure"`
	}{id})
}

func (s *stateServer) renew(ctx context.Context, lease uint64) error {
	return s.link.Renew(ctx, lease, 0)
}

// leaseHandler returns a handler for requests about the lease that their path names.
func leaseHandler(handle func(context.Context, uint64) error) fiber.Handler {
	return func(c *fiber.Ctx) error {
		id, _ := strconv.ParseUint(c.Params("id"), 10, 64) // a malformed ID becomes 0, which no lease has
		if err := handle(context.Background(), id); err != nil {
			return respondError(c, err)
		}
		return c.SendStatus(fiber.StatusOK)
	}
}

func (s *stateServer) watch(request *fiber.Ctx) error {
	from, fromErr := strconv.ParseUint(request.Query("from", "0"), 10, 64)
	milliseconds, waitErr := strconv.Atoi(request.Query("blockMs", "0"))
	wait := time.Duration(milliseconds) * time.Millisecond
	if fromErr != nil || waitErr != nil || wait < 0 || wait > maxWatchWait {
		return respondBadRequest(request, "from or blockMs is out of range")
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+watchOutageTimeout)
	defer cancel()
	events, err := s.link.Watch(ctx, strings.Clone(request.Query("starts")), from, wait)
	if err != nil {
		return respondError(request, err)
	}
	return request.JSON(events)
}
