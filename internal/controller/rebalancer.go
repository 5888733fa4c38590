package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// stuckAfter is how long work must have waited, without a move that balances load, before its
	// shard is given a group regardless of load or a draining machine is returned to service.
	stuckAfter = 10 * time.Second
	// maxExaminedJobs limits how many waiting jobs are checked individually; for further jobs the
	// sums of work and capacity are sufficient.
	maxExaminedJobs = 32
)

// rebalancingState is the leader's state about moves of machine groups between shards.
type rebalancingState struct {
	movedAt           time.Time
	moveInFlight      bool
	groupMovedAt      map[int]time.Time // time of the latest move, by group ID
	stuckSinceByShard map[int]time.Time // since when a shard's work has waited without a move that balances load, by shard
	overloadActive    bool              // an overload was detected, so shards claim capacity for their queues' floors
}

func newRebalancingState() rebalancingState {
	return rebalancingState{groupMovedAt: map[int]time.Time{}, stuckSinceByShard: map[int]time.Time{}}
}

// removeUnstuck removes the shards that are not in stuck from stuckSinceByShard.
func (s *rebalancingState) removeUnstuck(stuck map[int]bool) {
	for shard := range s.stuckSinceByShard {
		if !stuck[shard] {
			delete(s.stuckSinceByShard, shard)
		}
	}
}

// markStuck records that a shard's work waits and no move balances load, and returns since when
// this has been so.
func (s *rebalancingState) markStuck(shard int, now time.Time) time.Time {
	since, ok := s.stuckSinceByShard[shard]
	if !ok {
		since = now
		s.stuckSinceByShard[shard] = now
	}
	return since
}

// rebalance moves machine groups from shards with free capacity to shards with waiting work. A
// group need not be empty: its tasks continue under the new owner, and its record moves as a whole.
// On-demand work is handled first and separately, because free spot machines are of no use to it.
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
	c.commitOutsideCycle(ctx, moves.txn, protocol.BackgroundRequest, func(bool) { c.leader.moveInFlight = false })
}

// rebalancer collects the moves of machine groups for one transaction.
type rebalancer struct {
	c     *Controller
	txn   protocol.Txn
	moved map[*storage.MachineGroup]bool // groups for which a move has been chosen
	// stuck holds the shards whose work, of any kind, waits although no move balances load.
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

// move adds a group's move to the transaction, unless the group's record exceeds the value limit.
func (r *rebalancer) move(group *storage.MachineGroup, to int) {
	record := r.c.cache.GroupRecordOf(group, group.UnsavedCompletions(), nil)
	record.Shard, record.FencingToken = to, r.c.nextRevision()
	key := storage.GroupKey(group.ID)
	r.moved[group] = true
	raw := storage.EncodeGroup(record, r.c.cache.Packed())
	if len(raw) > r.c.valueLimit() {
		return // the group's owner must split it first
	}
	r.c.leader.groupMovedAt[group.ID] = time.Now()
	r.txn.If = append(r.txn.If, protocol.Condition{Key: key, Version: group.Version})
	r.txn.Then = append(r.txn.Then, protocol.Change{Put: key, Value: raw})
	r.c.log.Debug("moving machine group to another shard", "group", group.ID, "machines", len(group.Machines), "from_shard", group.Shard, "to_shard", to)
}
