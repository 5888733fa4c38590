package controller

import (
	"context"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"time"
)

// leadership is what this controller knows of the leader's record. It is written by this file
// and where the record is read (followed changes).
type leadership struct {
	version       uint64    // of the leader's key when last looked at
	since         time.Time // when that version was first seen here
	writeInFlight bool      // this controller's own record is being written
	wasLeader     bool      // as noteLeadershipChange last saw it
}

func (c *Controller) isLeader() bool {
	l := &c.cache.Leader
	return l.Version > 0 && c.session.incarnation > 0 && l.Member == c.cfg.MemberName && l.Incarnation == c.session.incarnation
}

// acquireLeadership takes leadership if nobody has it, or if its holder was this controller before
// it started anew.
func (c *Controller) acquireLeadership(ctx context.Context) {
	leader := c.cache.Leader
	if c.session.lease == 0 || c.leadership.writeInFlight || c.isLeader() || (c.session.notReady.Load() && c.othersReady()) {
		return
	}
	if now := time.Now(); leader.Version > 0 && leader.Member != c.cfg.MemberName {
		// Two controllers that do not hear each other must not take leadership from one
		// another again and again.
		if !c.memberLost(leader.Member, now) || now.Sub(c.leadership.since) < minLeadershipDuration {
			return
		}
	}
	c.leadership.writeInFlight = true
	rec := storage.Encode(storage.LeaderRecord{Member: c.cfg.MemberName, Incarnation: c.session.incarnation})
	c.commitAside(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.LeaderKey, Version: leader.Version}},
		Then: []protocol.Change{{Put: storage.LeaderKey, Value: rec, Lease: c.session.lease}},
	}, protocol.UrgentRequest, func(ok bool) {
		c.leadership.writeInFlight = false
		if c.noteLeadershipChange(); ok {
			c.assignShards(ctx)
		}
	})
}

// noteLeadershipChange begins a lead as soon as the record says so: where only the answer of its transaction was lost, a process that
// had led before went on with what it knew then.
func (c *Controller) noteLeadershipChange() {
	if leads := c.isLeader(); leads != c.leadership.wasLeader {
		if c.leadership.wasLeader = leads; leads {
			c.log.Info("leading")
			c.leader.init()
		}
	}
}

// minLeadershipDuration is how long a lead must have lasted before it is taken on a hint.
const minLeadershipDuration = 10 * time.Second
