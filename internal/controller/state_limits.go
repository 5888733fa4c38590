package controller

import (
	"context"
	"errors"
	"slices"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file applies the state service's limits on records and transactions, including a change to
// lower limits.

const (
	bytesPerKB = 1024
	// defaultValueLimit is the limit on a record's size in bytes if the settings have none.
	defaultValueLimit = 32 * bytesPerKB
)

// limits returns the state service's limits that this controller keeps to. The announced lower
// limits apply as soon as the packed layout is in use or the state service has refused a
// transaction because of its size: they come into force without notice, and records that are
// already small enough are then within them.
func (c *Controller) limits() config.State {
	if c.cache.Packed() || c.gates.limitsLowered {
		return c.cfg.Deployment.State.Effective()
	}
	return c.cfg.Deployment.State
}

// valueLimit returns the limit on a record's size in bytes.
func (c *Controller) valueLimit() int {
	if kb := c.limits().ValueKB; kb > 0 {
		return int(kb * bytesPerKB)
	}
	return defaultValueLimit
}

// transact commits a transaction, and switches to the announced limits if the state service refuses
// it because of its size.
func (c *Controller) transact(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) (revision uint64, failed []string, err error) {
	revision, failed, err = c.store.Txn(ctx, txn, priority)
	if errors.Is(err, protocol.ErrTooLarge) {
		c.post(func() { c.noteTooLarge(err) })
	}
	return revision, failed, err
}

// noteTooLarge switches to the announced limits if err says that the state service refused a
// transaction because of its size. It also lowers the write rate, once, when these limits apply.
func (c *Controller) noteTooLarge(err error) {
	if errors.Is(err, protocol.ErrTooLarge) && !c.gates.limitsLowered {
		c.gates.limitsLowered = true
		c.log.Info("state service refused a transaction because of its size, applying announced limits")
	}
	if (c.gates.limitsLowered || c.cache.Packed()) && !c.gates.rateLowered {
		c.gates.rateLowered = true
		c.store.SetLimit(c.limits().WriteRPS)
	}
}

// resolvingTxn returns the transaction that replaces an in-doubt transaction whose repetition was
// refused because of its size. The refusal does not tell whether the first copy was committed under
// the former limits or may still arrive. Rewriting the shard's record on which that copy depends
// makes a late copy fail; afterwards the records show whether it was committed.
func (c *Controller) resolvingTxn(txn protocol.Txn) *protocol.Txn {
	for shard := range c.cache.Shards {
		key := storage.ShardKey(shard)
		i := slices.IndexFunc(txn.If, func(condition protocol.Condition) bool { return condition.Key == key })
		if i >= 0 {
			return &protocol.Txn{If: txn.If[i : i+1],
				Then: []protocol.Change{{Put: key, Value: storage.Encode(c.cache.Shards[shard].ShardRecord)}}}
		}
	}
	// Not reached for the planner's transactions, which all depend on a shard's record. A transaction
	// without changes does not resolve the doubt, but it ends the repetition.
	return &protocol.Txn{If: txn.If[:1]}
}

// isResolvingTxn reports whether a transaction has the form of those that resolvingTxn returns.
func isResolvingTxn(txn protocol.Txn) bool {
	return len(txn.If) == 1 && len(txn.Then) <= 1
}
