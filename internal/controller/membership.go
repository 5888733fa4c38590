package controller

import (
	"context"
	"errors"
	"time"

	"dykeledge/internal/controller/membership"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// nextRevision is a revision that no record holds yet. As an attempt or a token it is
// above all that were committed before, whoever committed them.
func (c *Controller) nextRevision() uint64 { return c.highestRevision + 1 }

// keepSessionLease keeps this controller's hold and its membership key.
func (c *Controller) keepSessionLease(ctx context.Context) {
	var first uint64
	for ctx.Err() == nil {
		sent := time.Now()
		lease, err := c.store.Grant(ctx, c.timing.SessionLease)
		if err != nil {
			c.log.Info("no hold yet", "err", err)
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		if first == 0 {
			first = lease
		}
		// Put without conditions: a restarted controller replaces its stale entry at once.
		rev, _, err := c.store.Txn(ctx, protocol.Txn{Then: []protocol.Change{c.memberChange(first, lease, c.notReady.Load())}}, protocol.UrgentRequest)
		if err != nil {
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		c.post(func() {
			c.incarnation, c.sessionLease, c.leaseRenewedAt, c.memberRevision = first, lease, sent, rev
			c.changed()
		})
		for ctx.Err() == nil {
			sleep(ctx, c.timing.SessionLease/4)
			sent := time.Now()
			err := c.store.Renew(ctx, lease, c.timing.SessionLease/2)
			if err == nil {
				c.post(func() { c.storeServedAt, c.leaseRenewedAt = time.Now(), sent })
			}
			if errors.Is(err, protocol.ErrNoLease) {
				c.log.Info("hold has ended, taking a new one")
				c.post(func() { c.sessionLease = 0 })
				break
			}
		}
	}
}

// memberChange is the change that says that a controller lives, and how it fares.
func (c *Controller) memberChange(incarnation, lease uint64, unfit bool) protocol.Change {
	return protocol.Change{Put: storage.MemberKey(c.cfg.MemberName), Lease: lease, Value: storage.Encode(
		storage.MemberRecord{Incarnation: incarnation, Public: c.cfg.PublicAddr, NotReady: unfit, Layout: c.Layout, FrameLevel: c.Frames})}
}

// repairMemberRecord writes this controller's record anew when it does not say what this process wrote: a
// transaction of the process before, or one of its own with unknown outcome, was applied late.
// With the former process's hold the record then vanished, and a living controller was no member any
// more: it got no shard, and the gate between layouts waited for it for ever.
func (c *Controller) repairMemberRecord(ctx context.Context) {
	if c.sessionLease == 0 || c.memberWriteInFlight || c.cache.Revision < c.memberRevision {
		return
	}
	n := c.cache.Members[c.cfg.MemberName]
	if n != nil && (n.Incarnation > c.incarnation || // a later process of this name: this one is not wanted any more
		n.Incarnation == c.incarnation && n.NotReady == c.notReady.Load() && n.Layout == c.Layout) {
		return
	}
	c.log.Info("this node's record is not its own, writing it anew", "there", n != nil)
	c.writeMember(ctx, protocol.Txn{}, c.notReady.Load(), func(bool) {})
}

// writeMember writes this controller's record with whatever else is in a transaction.
func (c *Controller) writeMember(ctx context.Context, txn protocol.Txn, unfit bool, then func(ok bool)) {
	txn.Then = append(txn.Then, c.memberChange(c.incarnation, c.sessionLease, unfit))
	c.memberWriteInFlight = true
	go func() {
		rev, failed, err := c.transact(ctx, txn, protocol.UrgentRequest)
		c.committed(txn, rev, err == nil && len(failed) == 0, func(ok bool) {
			c.memberWriteInFlight = false
			if ok {
				c.memberRevision = max(c.memberRevision, rev)
			}
			then(ok)
		})
	}()
}

// acquireLeadership takes leadership if nobody has it, or if its holder was this controller before
// it started anew.
func (c *Controller) acquireLeadership(ctx context.Context) {
	leader := c.cache.Leader
	if c.sessionLease == 0 || c.leaderWriteInFlight || c.isLeader() || (c.notReady.Load() && c.othersReady()) {
		return
	}
	if now := time.Now(); leader.Version > 0 && leader.Member != c.cfg.MemberName {
		// Two controllers that do not hear each other must not take leadership from one
		// another again and again.
		if !c.memberLost(leader.Member, now) || now.Sub(c.leaderSince) < minLeadershipDuration {
			return
		}
	}
	c.leaderWriteInFlight = true
	rec := storage.Encode(storage.LeaderRecord{Member: c.cfg.MemberName, Incarnation: c.incarnation})
	c.commitAside(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.LeaderKey, Version: leader.Version}},
		Then: []protocol.Change{{Put: storage.LeaderKey, Value: rec, Lease: c.sessionLease}},
	}, protocol.UrgentRequest, func(ok bool) {
		c.leaderWriteInFlight = false
		if c.noteLeadershipChange(); ok {
			c.assignShards(ctx)
		}
	})
}

// noteLeadershipChange begins a lead as soon as the record says so: where only the answer of its transaction was lost, a process that
// had led before went on with what it knew then.
func (c *Controller) noteLeadershipChange() {
	if leads := c.isLeader(); leads != c.wasLeader {
		if c.wasLeader = leads; leads {
			c.log.Info("leading")
			c.leader.init()
		}
	}
}

// minLeadershipDuration is how long a lead must have lasted before it is taken on a hint.
const minLeadershipDuration = 10 * time.Second

// commitAside commits a transaction that the cycle has no part in and applies it.
func (c *Controller) commitAside(ctx context.Context, t protocol.Txn, haste protocol.RequestPriority, then func(ok bool)) {
	go func() {
		rev, failed, err := c.transact(ctx, t, haste)
		c.committed(t, rev, err == nil && len(failed) == 0, then)
	}()
}

// committed hands the outcome of a transaction to the core.
func (c *Controller) committed(t protocol.Txn, rev uint64, ok bool, then func(ok bool)) {
	c.post(func() {
		if ok {
			c.applyTxn(t, rev)
		}
		then(ok)
		c.changed()
	})
}

func (c *Controller) applyTxn(t protocol.Txn, rev uint64) {
	c.highestRevision = max(c.highestRevision, rev)
	for _, ch := range t.Then {
		if ch.Delete != "" {
			_ = c.apply(ch.Delete, nil, rev, true) // logged there
		} else {
			_ = c.apply(ch.Put, ch.Value, rev, false)
		}
	}
}

// assignShards is the leader's loop over who owns which shard.
func (c *Controller) assignShards(ctx context.Context) {
	if !c.isLeader() || c.shardWriteInFlight {
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
		c.membersChangedAt = now
	}
	owners := make([]membership.Owner, c.cache.NumShards)
	for i, s := range c.cache.Shards {
		owners[i] = membership.Owner{Name: s.Member, Incarnation: s.Incarnation}
	}
	settled := now.Sub(c.membersChangedAt) > rebalanceDelay
	want := membership.Assign(owners, nodes, func(s int) bool {
		age := now.Sub(c.ownershipHistory[s].changedAt)
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
	c.shardWriteInFlight = true
	c.commitAside(ctx, txn, protocol.UrgentRequest, func(bool) { c.shardWriteInFlight = false })
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

// shardOwnership is what this controller has seen of a shard's owners.
type shardOwnership struct {
	version   uint64    // of its record when last looked at
	changedAt time.Time // when it last changed hands
}

// recordOwnershipChanges notes when shards change hands. What was read at the start is as old as it likes.
func (c *Controller) recordOwnershipChanges(now time.Time) {
	for i := range c.cache.Shards {
		s, h := &c.cache.Shards[i], &c.ownershipHistory[i]
		if s.Version == h.version {
			continue
		}
		if c.ownershipLoaded {
			h.changedAt = now
		}
		h.version = s.Version
	}
	c.ownershipLoaded = true
}

// othersReady tells whether another living controller could do this controller's work.
func (c *Controller) othersReady() bool {
	for name, n := range c.cache.Members {
		if name != c.cfg.MemberName && !n.NotReady {
			return true
		}
	}
	return false
}

// checkReadiness gives up shards and lead when this controller reaches no worker although it
// owns machines: a controller cut off from everything but the state service keeps its
// hold, and nobody else would take its workers before their leases run out.
func (c *Controller) checkReadiness(ctx context.Context, now time.Time) {
	if c.sessionLease == 0 || c.storeFailing() {
		return
	}
	// Every worker heartbeats within 1.25 times ReportS: a few may be dead or hang, but
	// when many are all silent for longer, the fault is on this side.
	report := c.cfg.Deployment.Workers.HeartbeatS
	quiet := max(seconds(2*report+1.5), 4*time.Second)
	if c.notReady.Load() {
		if now.Sub(c.lastProbeAt) > time.Second {
			c.lastProbeAt = now
			c.probeWorker()
		}
		if now.Sub(c.anyWorkerHeardAt) < time.Second || !c.othersReady() {
			c.setNotReady(ctx, false)
		}
		return
	}
	machines := 0
	for _, m := range c.cache.Machines {
		if !m.Gone && !m.Returning && m.Incarnation > 0 && c.ownsShard(m.Shard) {
			machines++
		}
	}
	if machines >= manyMachinesCount {
		quiet = max(seconds(1.25*report+1), 2500*time.Millisecond)
	}
	if machines >= 2 && c.silenceOf(c.anyWorkerHeardAt, now) > quiet && now.Sub(c.ownershipSince) > quiet && c.othersReady() {
		c.log.Info("no worker is heard, giving up shares", "machines", machines)
		c.setNotReady(ctx, true)
	}
}

// manyMachinesCount are too many to fall silent together by themselves.
const manyMachinesCount = 8

func (c *Controller) setNotReady(ctx context.Context, unfit bool) {
	c.notReady.Store(unfit)
	c.log.Info("fitness changes", "unfit", unfit)
	var t protocol.Txn
	if unfit && c.isLeader() {
		t.If = []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}}
		t.Then = []protocol.Change{{Delete: storage.LeaderKey}}
	}
	c.writeMember(ctx, t, unfit, func(ok bool) {
		if !ok {
			c.notReady.Store(!unfit) // tried again with the next look
		}
	})
}

// probeWorker asks some worker for its heartbeat, with a token that commands nothing.
func (c *Controller) probeWorker() {
	for _, machine := range c.cache.Machines {
		if machine.Gone || machine.Returning || machine.Addr == "" || machine.Incarnation == 0 {
			continue
		}
		if c.nextProbe++; c.nextProbe%3 != 0 {
			continue
		}
		c.probeHeartbeat(machine, func(answered bool) {
			if answered {
				c.anyWorkerHeardAt = time.Now()
			}
		})
		return
	}
}

// probeTimeout bounds how long a worker that is asked may take.
const probeTimeout = 900 * time.Millisecond

// probeHeartbeat asks a worker for its heartbeat, under a token that commands nothing: whatever comes back is an answer.
func (c *Controller) probeHeartbeat(m *storage.Machine, then func(answered bool)) {
	addr, session := m.Addr, m.Incarnation
	go func() {
		_, status, err := c.workers.Command(addr, protocol.DirectCommands{Incarnation: session, Commands: []protocol.Command{}}, probeTimeout)
		c.post(func() { then(err == nil && status != 0) })
	}()
}
