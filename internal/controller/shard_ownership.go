package controller

import (
	"context"
	"dykeledge/internal/controller/membership"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"time"
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

func newShardOwnerships(shards int) shardOwnerships {
	return shardOwnerships{
		owned:   make([]uint64, shards),
		history: make([]shardOwnership, shards),
		waiting: make([]int, shards),
	}
}

// shardOwnership is what this controller has seen of a shard's owners.
type shardOwnership struct {
	version   uint64    // of its record when last looked at
	changedAt time.Time // when it last changed hands
}

// recordOwnershipChanges notes when shards change hands. What was read at the start is as old as it likes.
func (c *Controller) recordOwnershipChanges(now time.Time) {
	for i := range c.cache.Shards {
		s, h := &c.cache.Shards[i], &c.shards.history[i]
		if s.Version == h.version {
			continue
		}
		if c.shards.historyLoaded {
			h.changedAt = now
		}
		h.version = s.Version
	}
	c.shards.historyLoaded = true
}

// assignShards is the leader's loop over who owns which shard.
func (c *Controller) assignShards(ctx context.Context) {
	if !c.isLeader() || c.shards.writeInFlight {
		return
	}
	var nodes, all []membership.Member
	newest := uint64(0)
	now := time.Now()
	for name, n := range c.cache.Members {
		node := membership.Member{Name: name, Incarnation: n.Incarnation}
		all = append(all, node)
		newest += n.Version
		if !n.NotReady && !c.memberLost(name, now) {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		nodes = all // better one that seems unfit than none
	}
	if newest != c.leader.membersVersionSum {
		c.leader.membersVersionSum = newest
		c.shards.membersChangedAt = now
	}
	owners := make([]membership.Owner, c.cache.NumShards)
	for i, s := range c.cache.Shards {
		owners[i] = membership.Owner{Name: s.Member, Incarnation: s.Incarnation}
	}
	settled := now.Sub(c.shards.membersChangedAt) > rebalanceDelay
	want := membership.Assign(owners, nodes, func(s int) bool {
		age := now.Sub(c.shards.history[s].changedAt)
		return settled || age > firstHeartbeats && age < firstHeartbeats+takeoverGrace
	})
	txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}}
	for i := range want {
		if want[i] == owners[i] || want[i].Name == "" {
			continue
		}
		txn.If = append(txn.If, protocol.Condition{Key: storage.ShardKey(i), Version: c.cache.Shards[i].Version})
		txn.Then = append(txn.Then, protocol.Change{Put: storage.ShardKey(i), Value: storage.Encode(
			storage.ShardRecord{Member: want[i].Name, Incarnation: want[i].Incarnation, FencingToken: c.nextRevision()})})
		c.log.Info("share goes to", "share", i, "node", want[i].Name, "from", owners[i].Name)
		if len(txn.Then) >= c.limits().TxnOps {
			break
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	c.shards.writeInFlight = true
	c.commitAside(ctx, txn, protocol.UrgentRequest, func(bool) { c.shards.writeInFlight = false })
}

// rebalanceDelay is how long membership must have been quiet before shards move
// to even out the controllers' load: a move costs a short pause of its workers.
const rebalanceDelay = 8 * time.Second

// firstHeartbeats is how long a new owner is left to answer its workers once before a shard is
// passed on: after an end of all controllers their leases are about to run out, and each change of
// hands costs them up to half a second and a heartbeat. On 183 machines with leases of 10 s 825
// tasks were killed by them where shards were passed on at once.
const firstHeartbeats = 2 * time.Second

// takeoverGrace is how long after that a shard has changed hands it may be passed on to a controller that
// has come up since: its new owner knows little yet, and its workers look for it anyway. After
// an end of all controllers the first one that was back owned 1235 machines for ten seconds,
// with all of its processor time, while four others had nothing to do.
const takeoverGrace = 3 * time.Second

// ownsShard tells whether this process owns a shard. The follow must have come as far
// as the record that says so: a leader that gives a shard to itself learns of it
// from its own commit, before it has seen what the former owner committed last.
func (c *Controller) ownsShard(share int) bool {
	s := &c.cache.Shards[share]
	return s.Version > 0 && c.cache.Revision >= s.Version && c.session.incarnation > 0 && s.Member == c.cfg.MemberName && s.Incarnation == c.session.incarnation
}
