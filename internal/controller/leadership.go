package controller

import (
	"context"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// minLeadershipDuration is how long a leader's record must have stood before another controller
// replaces it because the leader seems lost (memberLost), without proof that it has ended.
const minLeadershipDuration = 10 * time.Second

// leadership holds what this controller has seen of the leader record. It is written by this file
// and by record_changes.go, where the record is read.
type leadership struct {
	version       uint64    // version of the leader's key when last checked
	versionSeenAt time.Time // when this process first saw that version
	writeInFlight bool      // a write of this controller's own leader record is in flight
	wasLeader     bool      // whether this process led when noteLeadershipChange last ran
}

// isLeader reports whether the leader record names this process.
func (c *Controller) isLeader() bool {
	leader := &c.cache.Leader
	return leader.Version > 0 && c.session.incarnation > 0 && leader.Member == c.cfg.MemberName && leader.Incarnation == c.session.incarnation
}

// acquireLeadership writes this controller into the leader record if there is no leader, if the
// leader seems to have ended, or if the leader was this controller before it restarted.
func (c *Controller) acquireLeadership(ctx context.Context) {
	if c.session.lease == 0 || c.leadership.writeInFlight || c.isLeader() || (c.session.notReady.Load() && c.anotherControllerReady()) {
		return
	}
	if c.otherLeads(time.Now()) {
		return
	}
	c.leadership.writeInFlight = true
	record := storage.Encode(storage.LeaderRecord{Member: c.cfg.MemberName, Incarnation: c.session.incarnation})
	c.commitOutsideCycle(ctx, protocol.Txn{
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

// otherLeads reports whether another controller is the leader and must not be replaced. Two
// controllers that receive nothing from each other must not take leadership from one another
// again and again.
func (c *Controller) otherLeads(now time.Time) bool {
	leader := c.cache.Leader
	if leader.Version == 0 || leader.Member == c.cfg.MemberName {
		return false
	}
	return !c.memberLost(leader.Member, now) || now.Sub(c.leadership.versionSeenAt) < minLeadershipDuration
}

// noteLeadershipChange resets the leader state as soon as the leader record names this process, not
// when its transaction is answered: the answer can be lost, and a process that had been leader
// before would go on with the state of its earlier leadership.
func (c *Controller) noteLeadershipChange() {
	leads := c.isLeader()
	if leads == c.leadership.wasLeader {
		return
	}
	c.leadership.wasLeader = leads
	if !leads {
		c.log.Info("leadership lost", "leader", c.cache.Leader.Member, "incarnation", c.cache.Leader.Incarnation, "version", c.cache.Leader.Version)
		return
	}
	c.log.Info("leadership acquired", "incarnation", c.session.incarnation, "version", c.cache.Leader.Version)
	c.leader.init()
}
