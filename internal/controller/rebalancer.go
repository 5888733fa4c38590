package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// stuckAfter is how long work must have waited without a move that evens out loads for its shard
	// to be lent a group, or for a drained machine to be put back into service.
	stuckAfter = 10 * time.Second
	// maxExaminedJobs bounds how many waiting jobs are looked at by themselves; of more the sums
	// tell enough.
	maxExaminedJobs = 32
)

// rebalancingState is what the leader knows of machine groups that it moved between shards.
type rebalancingState struct {
	movedAt           time.Time
	moveInFlight      bool
	groupMovedAt      map[int]time.Time // by group
	stuckSinceByShard map[int]time.Time // by shard: it waits since then, and no move evens out loads
	overloadActive    bool              // groups move as in an overload
}

func newRebalancingState() rebalancingState {
	return rebalancingState{groupMovedAt: map[int]time.Time{}, stuckSinceByShard: map[int]time.Time{}}
}

// removeUnstuck drops the shards that no longer wait without a move that helps.
func (s *rebalancingState) removeUnstuck(stuck map[int]bool) {
	for shard := range s.stuckSinceByShard {
		if !stuck[shard] {
			delete(s.stuckSinceByShard, shard)
		}
	}
}

// markStuck notes that a shard waits and no move evens out loads, and returns since when.
func (s *rebalancingState) markStuck(shard int, now time.Time) time.Time {
	since, ok := s.stuckSinceByShard[shard]
	if !ok {
		since = now
		s.stuckSinceByShard[shard] = now
	}
	return since
}

// rebalance moves machine groups from shards with free capacity to shards with waiting work. A
// group need not be empty: what runs on its machines goes on under its new owner, and its
// record moves whole. On-demand work is looked at first and on its own: free spot machines are
// of no use to it.
func (c *Controller) rebalance(ctx context.Context, now time.Time) {
	if c.leader.moveInFlight || c.cache.NumShards < 2 {
		return
	}
	moves := newRebalancer(c)
	for _, kind := range []workKind{onDemandWork, allWork, idleWork} {
		moves.rebalancePass(now, kind)
	}
	c.leader.removeUnstuck(moves.stuck)
	if len(moves.txn.Then) == 0 {
		return
	}
	c.leader.moveInFlight = true
	c.leader.movedAt = now
	c.commitAside(ctx, moves.txn, protocol.BackgroundRequest, func(bool) { c.leader.moveInFlight = false })
}

// rebalancer collects the moves of one transaction.
type rebalancer struct {
	c     *Controller
	txn   protocol.Txn
	moved map[*storage.MachineGroup]bool // groups that move with this transaction
	// stuck are the shards that wait, whatever kind of work, although no move evens out loads.
	stuck map[int]bool
	fit   fitChecker
}

func newRebalancer(c *Controller) *rebalancer {
	return &rebalancer{
		c:     c,
		txn:   c.leaderTxn(),
		moved: map[*storage.MachineGroup]bool{},
		stuck: map[int]bool{},
		fit:   fitChecker{c: c},
	}
}

// move adds a group's move to the transaction.
func (r *rebalancer) move(group *storage.MachineGroup, to int) {
	record := r.c.cache.GroupRecordOf(group, group.UnsavedCompletions(), nil)
	record.Shard, record.FencingToken = to, r.c.nextRevision()
	key := storage.GroupKey(group.ID)
	r.moved[group] = true
	raw := storage.EncodeGroup(record, r.c.cache.Packed())
	if len(raw) > r.c.valueLimit() {
		return // its owner splits it first
	}
	r.c.leader.groupMovedAt[group.ID] = time.Now()
	r.txn.If = append(r.txn.If, protocol.Condition{Key: key, Version: group.Version})
	r.txn.Then = append(r.txn.Then, protocol.Change{Put: key, Value: raw})
	r.c.log.Debug("group moves", "group", group.ID, "machines", len(group.Machines), "from_shard", group.Shard, "to_shard", to)
}
