package controller

import (
	"context"
	"errors"
	"slices"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file keeps to the state service's limits of records and transactions, also while they change.

const (
	bytesPerKB = 1024
	// defaultValueLimit is how many bytes a record may have where the settings say nothing.
	defaultValueLimit = 32 * bytesPerKB
)

// limits are the state service's limits that this controller keeps to. Those to come hold from the
// gate on, or from the first refusal for size: they come without notice, and what was written small
// is within them when they do.
func (c *Controller) limits() config.State {
	if c.cache.Packed() || c.gates.limitsLowered {
		return c.cfg.Deployment.State.Effective()
	}
	return c.cfg.Deployment.State
}

// valueLimit is how many bytes a record may have.
func (c *Controller) valueLimit() int {
	if kb := c.limits().ValueKB; kb > 0 {
		return int(kb * bytesPerKB)
	}
	return defaultValueLimit
}

// transact carries out a transaction, and takes notice when the state service refuses it for its size.
func (c *Controller) transact(ctx context.Context, t protocol.Txn, priority protocol.RequestPriority) (rev uint64, failed []string, err error) {
	rev, failed, err = c.store.Txn(ctx, t, priority)
	if errors.Is(err, protocol.ErrTooLarge) {
		c.post(func() { c.noteTooLarge(err) })
	}
	return rev, failed, err
}

// noteTooLarge keeps to the limits to come once the state service has refused something for its size.
func (c *Controller) noteTooLarge(err error) {
	if errors.Is(err, protocol.ErrTooLarge) && !c.gates.limitsLowered {
		c.gates.limitsLowered = true
		c.log.Info("state service refused a transaction for its size, keeping to the limits to come")
	}
	if (c.gates.limitsLowered || c.cache.Packed()) && !c.gates.rateLowered {
		c.gates.rateLowered = true
		c.store.SetLimit(c.limits().WriteRPS)
	}
}

// resolvingTxn replaces a transaction in doubt that is refused for its size when it is repeated. The
// refusal says nothing of the first copy, which may have been carried out under the former limits
// or be on its way. Rewriting the shard's record that it depends on makes a late copy fail; then
// the records show what became of it.
func (c *Controller) resolvingTxn(t protocol.Txn) *protocol.Txn {
	for shard := range c.cache.Shards {
		key := storage.ShardKey(shard)
		i := slices.IndexFunc(t.If, func(condition protocol.Condition) bool { return condition.Key == key })
		if i >= 0 {
			return &protocol.Txn{If: t.If[i : i+1],
				Then: []protocol.Change{{Put: key, Value: storage.Encode(c.cache.Shards[shard].ShardRecord)}}}
		}
	}
	return &protocol.Txn{If: t.If[:1]} // every plan depends on a shard; a comparison settles nothing, but ends
}

// isResolvingTxn tells whether a transaction is one that settling made.
func isResolvingTxn(t protocol.Txn) bool {
	return len(t.If) == 1 && len(t.Then) <= 1
}
