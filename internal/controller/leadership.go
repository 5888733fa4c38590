package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// minLeadershipDuration is how long leadership must have lasted before another controller takes it
// on a mere hint that the leader has ended.
const minLeadershipDuration = 10 * time.Second

// leadership is what this controller knows of the leader's record. It is written by this file
// and where the record is read (followed changes).
type leadership struct {
	version       uint64    // of the leader's key when last looked at
	since         time.Time // when that version was first seen here
	writeInFlight bool      // this controller's own record is being written
	wasLeader     bool      // as noteLeadershipChange last saw it
}

// isLeader tells whether this process is the leader by the record.
func (c *Controller) isLeader() bool {
	leader := &c.cache.Leader
	return leader.Version > 0 && c.session.incarnation > 0 && leader.Member == c.cfg.MemberName && leader.Incarnation == c.session.incarnation
}

// acquireLeadership takes leadership if nobody has it, if its holder seems to have ended, or if its
// holder was this controller before it restarted.
func (c *Controller) acquireLeadership(ctx context.Context) {
	if c.session.lease == 0 || c.leadership.writeInFlight || c.isLeader() || (c.session.notReady.Load() && c.othersReady()) {
		return
	}
	if c.otherLeads(time.Now()) {
		return
	}
	c.leadership.writeInFlight = true
	record := storage.Encode(storage.LeaderRecord{Member: c.cfg.MemberName, Incarnation: c.session.incarnation})
	c.commitAside(ctx, protocol.Txn{
		If:   []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version}},
		Then: []protocol.Change{{Put: storage.LeaderKey, Value: record, Lease: c.session.lease}},
	}, protocol.UrgentRequest, func(ok bool) {
		c.leadership.writeInFlight = false
		c.noteLeadershipChange()
		if ok {
			c.assignShards(ctx)
		}
	})
}

// otherLeads tells whether another controller leads and is to be left to it. Two controllers that
// do not hear each other must not take leadership from one another again and again.
func (c *Controller) otherLeads(now time.Time) bool {
	leader := c.cache.Leader
	if leader.Version == 0 || leader.Member == c.cfg.MemberName {
		return false
	}
	return !c.memberLost(leader.Member, now) || now.Sub(c.leadership.since) < minLeadershipDuration
}

// noteLeadershipChange begins leadership as soon as the record says so: where only the answer to
// its transaction was lost, a process that had led before went on with what it knew then.
func (c *Controller) noteLeadershipChange() {
	leads := c.isLeader()
	if leads == c.leadership.wasLeader {
		return
	}
	c.leadership.wasLeader = leads
	if leads {
		c.log.Info("leadership acquired")
		c.leader.init()
	}
}
