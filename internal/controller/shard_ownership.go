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
	// rebalanceDelay is how long membership must have been quiet before shards move to even out
	// the controllers' load: a move costs a short pause of its workers.
	rebalanceDelay = 8 * time.Second
	// firstHeartbeats is how long a new owner is left to answer its workers once before a shard is
	// passed on: after an end of all controllers the workers' leases are about to run out, and each
	// change of owner costs them up to half a second and a heartbeat. Where shards were passed on
	// at once, 183 machines with leases of 10 s lost 825 tasks.
	firstHeartbeats = 2 * time.Second
	// takeoverGrace is how long after that a shard which has changed its owner may be passed on to a
	// controller that has come up since: its new owner knows little yet, and its workers look for it
	// anyway. After an end of all controllers the first one that was back owned 1235 machines for ten
	// seconds, with all of its processor time, while four others had nothing to do.
	takeoverGrace = 3 * time.Second
)

// shardOwnerships is what this controller knows of who owns which shard, by shard. It is
// written by this file, by takeOverShard and by the planner (waiting).
type shardOwnerships struct {
	owned               []uint64         // the version under which it is owned here, 0: not
	history             []shardOwnership // when it last changed its owner
	historyLoaded       bool             // history was compared with the records once
	waiting             []int            // tasks that waited when it was last planned
	takenOverAt         time.Time        // when this controller last took over any shard
	placedSinceTakeover bool
	writeInFlight       bool      // the leader's assignment is being written
	membersChangedAt    time.Time // when the leader last saw membership change
}

// shardOwnership is what this controller has seen of a shard's owners.
type shardOwnership struct {
	version   uint64    // of its record when last looked at
	changedAt time.Time // when it last changed its owner
}

func newShardOwnerships(shards int) shardOwnerships {
	return shardOwnerships{
		owned:   make([]uint64, shards),
		history: make([]shardOwnership, shards),
		waiting: make([]int, shards),
	}
}

// ownsAny tells whether this controller owns any shard.
func (o *shardOwnerships) ownsAny() bool {
	return slices.ContainsFunc(o.owned, func(version uint64) bool { return version > 0 })
}

// recordChanges notes which shards have changed their owners. When those that were read at the
// start changed is not known.
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

// mayPassOn tells whether a shard may be given to another living controller: once membership has
// been quiet for a while, or shortly after the shard changed its owner.
func (o *shardOwnerships) mayPassOn(shard int, now time.Time) bool {
	if now.Sub(o.membersChangedAt) > rebalanceDelay {
		return true
	}
	age := now.Sub(o.history[shard].changedAt)
	return age > firstHeartbeats && age < firstHeartbeats+takeoverGrace
}

// recordOwnershipChanges notes when shards change their owners.
func (c *Controller) recordOwnershipChanges(now time.Time) {
	c.shards.recordChanges(c.cache.Shards, now)
}

// assignShards is the leader's loop over who owns which shard.
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
	wanted := membership.Assign(owners, members, func(shard int) bool { return c.shards.mayPassOn(shard, now) })
	txn := c.assignmentTxn(owners, wanted)
	if len(txn.Then) == 0 {
		return
	}
	c.shards.writeInFlight = true
	c.commitAside(ctx, txn, protocol.UrgentRequest, func(bool) { c.shards.writeInFlight = false })
}

// assignableMembers are the controllers that shards may be given to, and the sum of all members'
// versions, which changes with membership.
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
		members = all // better one that seems not ready than none
	}
	return members, versionSum
}

// assignmentTxn writes the shards' new owners.
func (c *Controller) assignmentTxn(owners, wanted []membership.Owner) protocol.Txn {
	txn := c.leaderTxn()
	for shard := range wanted {
		if wanted[shard] == owners[shard] || wanted[shard].Name == "" {
			continue
		}
		record := storage.ShardRecord{Member: wanted[shard].Name, Incarnation: wanted[shard].Incarnation, FencingToken: c.nextRevision()}
		txn.If = append(txn.If, protocol.Condition{Key: storage.ShardKey(shard), Version: c.cache.Shards[shard].Version})
		txn.Then = append(txn.Then, protocol.Change{Put: storage.ShardKey(shard), Value: storage.Encode(record)})
		c.log.Info("shard is assigned", "shard", shard, "member", wanted[shard].Name, "from", owners[shard].Name)
		if len(txn.Then) >= c.limits().TxnOps {
			break
		}
	}
	return txn
}

// ownsShard tells whether this process owns a shard. The cache must have reached the record that
// says so: a leader that assigns a shard to itself learns of it from its own commit, before it has
// seen what the former owner committed last.
func (c *Controller) ownsShard(shard int) bool {
	record := &c.cache.Shards[shard]
	return record.Version > 0 && c.cache.Revision >= record.Version && c.session.incarnation > 0 &&
		record.Member == c.cfg.MemberName && record.Incarnation == c.session.incarnation
}
