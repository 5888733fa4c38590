package controller

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/controller/membership"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// rebalanceDelay is how long membership must have been unchanged before shards move to even out
	// the controllers' load: a move pauses the shard's workers briefly.
	rebalanceDelay = 8 * time.Second
	// firstHeartbeatsPeriod is how long a new owner keeps a shard, to answer each of its workers once,
	// before the shard may move again. After all controllers have ended, the workers' leases are
	// about to expire, and each change of owner costs a worker up to half a second and a heartbeat.
	// When shards moved again at once, 183 machines with leases of 10 s lost 825 tasks.
	firstHeartbeatsPeriod = 2 * time.Second
	// earlyReassignWindow is how long after firstHeartbeatsPeriod a shard that has changed its owner may
	// move to a controller that has started since: its new owner has little state about it yet, and its
	// workers are looking for their owner anyway. Without this, the first controller to return after all
	// had ended owned 1235 machines for ten seconds, using all of its processor time, while four other
	// controllers were idle.
	earlyReassignWindow = 3 * time.Second
)

// shardOwnerships holds what this controller has seen of the shards' owners; slices are indexed by
// shard. It is written by this file, by takeOverShard and by the planner (waitingTasks).
type shardOwnerships struct {
	owned               []uint64         // version of the shard record under which this process owns it; 0: not owned
	history             []shardOwnership // the shard's last change of owner
	historyLoaded       bool             // history has been filled from the records once
	waitingTasks        []int            // number of waiting tasks when the shard was last planned
	takenOverAt         time.Time        // when this controller last took over any shard
	placedSinceTakeover bool             // a task was placed since takenOverAt
	writeInFlight       bool             // a transaction with the leader's assignment is in flight
	membersChangedAt    time.Time        // when the leader last saw membership change
}

// shardOwnership holds when this controller last saw a shard change its owner.
type shardOwnership struct {
	version   uint64    // version of the shard's record when last checked
	changedAt time.Time // when this process saw the owner change; zero: not since it started
}

func newShardOwnerships(shards int) shardOwnerships {
	return shardOwnerships{
		owned:        make([]uint64, shards),
		history:      make([]shardOwnership, shards),
		waitingTasks: make([]int, shards),
	}
}

// ownsAny reports whether this controller owns any shard.
func (o *shardOwnerships) ownsAny() bool {
	return slices.ContainsFunc(o.owned, func(version uint64) bool { return version > 0 })
}

// recordChanges records the time at which shards changed their owners. The records read at the
// start of the process do not show when the owner changed, so for them no time is recorded.
func (o *shardOwnerships) recordChanges(shards []storage.Shard, now time.Time) {
	for i := range shards {
		history := &o.history[i]
		if shards[i].Version == history.version {
			continue
		}
		if o.historyLoaded {
			history.changedAt = now
		}
		history.version = shards[i].Version
	}
	o.historyLoaded = true
}

// mayReassign reports whether a shard may be reassigned although its owner is alive: when membership
// has not changed for rebalanceDelay, or within earlyReassignWindow after the new owner's
// firstHeartbeatsPeriod.
func (o *shardOwnerships) mayReassign(shard int, now time.Time) bool {
	if now.Sub(o.membersChangedAt) > rebalanceDelay {
		return true
	}
	age := now.Sub(o.history[shard].changedAt)
	return age > firstHeartbeatsPeriod && age < firstHeartbeatsPeriod+earlyReassignWindow
}

// recordOwnershipChanges records which shards have changed their owners since it last ran.
func (c *Controller) recordOwnershipChanges(now time.Time) {
	c.shards.recordChanges(c.cache.Shards, now)
}

// assignShards computes, on the leader, which controller should own each shard, and commits the
// shard records that differ.
func (c *Controller) assignShards(ctx context.Context) {
	if !c.isLeader() || c.shards.writeInFlight {
		return
	}
	now := time.Now()
	members, versionSum := c.assignableMembers(now)
	if versionSum != c.leader.membersVersionSum {
		c.leader.membersVersionSum = versionSum
		c.shards.membersChangedAt = now
	}
	owners := make([]membership.Owner, c.cache.NumShards)
	for shard, record := range c.cache.Shards {
		owners[shard] = membership.Owner{Name: record.Member, Incarnation: record.Incarnation}
	}
	wanted := membership.Assign(owners, members, func(shard int) bool { return c.shards.mayReassign(shard, now) })
	txn := c.assignmentTxn(owners, wanted)
	if len(txn.Then) == 0 {
		return
	}
	c.shards.writeInFlight = true
	c.commitOutsideCycle(ctx, txn, protocol.UrgentRequest, func(bool) { c.shards.writeInFlight = false })
}

// assignableMembers returns the members to which shards may be assigned, and the sum of all member
// records' versions, which changes whenever membership does.
func (c *Controller) assignableMembers(now time.Time) (members []membership.Member, versionSum uint64) {
	var all []membership.Member
	for name, record := range c.cache.Members {
		member := membership.Member{Name: name, Incarnation: record.Incarnation}
		all = append(all, member)
		versionSum += record.Version
		if !record.NotReady && !c.memberLost(name, now) {
			members = append(members, member)
		}
	}
	if len(members) == 0 {
		members = all // an owner that is not ready or seems lost is better than no owner
	}
	return members, versionSum
}

// assignmentTxn returns a transaction that writes the records of the shards whose owner changes, at
// most as many as a transaction may hold.
func (c *Controller) assignmentTxn(owners, wanted []membership.Owner) protocol.Txn {
	txn := c.leaderTxn()
	for shard := range wanted {
		if wanted[shard] == owners[shard] || wanted[shard].Name == "" {
			continue
		}
		record := storage.ShardRecord{Member: wanted[shard].Name, Incarnation: wanted[shard].Incarnation, FencingToken: c.nextRevision()}
		txn.If = append(txn.If, protocol.Condition{Key: storage.ShardKey(shard), Version: c.cache.Shards[shard].Version})
		txn.Then = append(txn.Then, protocol.Change{Put: storage.ShardKey(shard), Value: storage.Encode(record)})
		c.log.Info("assigning shard to a new owner", "shard", shard, "member", wanted[shard].Name, "from", owners[shard].Name,
			"incarnation", record.Incarnation, "fencing_token", record.FencingToken)
		if len(txn.Then) >= c.limits().TxnOps {
			break
		}
	}
	return txn
}

// ownsShard reports whether this process owns a shard. The cache's revision must have reached the
// shard record's version: a leader that assigns a shard to itself applies its own commit before its
// cache holds the former owner's last commits.
func (c *Controller) ownsShard(shard int) bool {
	record := &c.cache.Shards[shard]
	return record.Version > 0 && c.cache.Revision >= record.Version && c.session.incarnation > 0 &&
		record.Member == c.cfg.MemberName && record.Incarnation == c.session.incarnation
}
