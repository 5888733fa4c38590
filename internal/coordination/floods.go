package coordination

import (
	"context"
	"maps"
	"time"

	"dykeledge/internal/coordination/schedule"
	"dykeledge/internal/coordination/usual"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what is done about floods: the leader learns what is usual and keeps it in
// the state service; every node compares what is open with that.

const (
	// floorMargin is how much more than its usual a lane is given before others get more
	// than that: fetches and reports take time beside the estimates, and what a lost machine
	// ran comes again.
	floorMargin = 1.5
	// floodFrom is how many times its usual a lane must have open for it to be a flood.
	floodFrom = 3
	// keptFrom is the part of its floor from which a lane leaves ordinary machines to a flood of
	// what may use no others; where there are no spot machines to be had it must not starve.
	keptFrom = 0.5
	// usualEvery is the least time between two records of what is usual.
	usualEvery = time.Minute
)

// learning is the leader's learner, and what it has taken in.
type learning struct {
	learner *usual.Learner
	seen    map[storage.Lane]storage.Asked // the cache's when last looked at
	at      time.Time
	wrote   time.Time
	busy    bool
}

// learn is the leader's loop over what is usual. A new leader goes on from the record: what
// an earlier one had learned outlives an end of all nodes, and a flood that runs on over
// it is not taken for the usual.
func (c *Controller) learn(ctx context.Context, now time.Time) {
	l := &c.leader.learning
	if !c.isLeader() || !c.cache.Packed() || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	if l.learner == nil {
		*l = learning{learner: usual.New(c.cache.Usual.Cpus), seen: maps.Clone(c.cache.Asked), at: now, busy: l.busy}
		return
	}
	if d := now.Sub(l.at); d >= usual.Step {
		asked := map[storage.Lane]storage.Asked{}
		for x, n := range c.cache.Asked {
			if s := l.seen[x]; n.Jobs > s.Jobs {
				asked[x] = storage.Asked{Jobs: n.Jobs - s.Jobs, Work: n.Work - s.Work}
			}
		}
		// What is read at once after a pause is no flood: a window in which this node stood
		// still or read nothing is left out.
		if d < 3*usual.Step && !c.storeFailing() {
			l.learner.Window(d, asked)
		}
		l.seen, l.at = maps.Clone(c.cache.Asked), now
	}
	if l.busy || now.Sub(l.wrote) < usualEvery && c.cache.Usual.Version > 0 || !l.learner.Differs(c.cache.Usual.Cpus) {
		return
	}
	l.busy, l.wrote = true, now
	c.commitAside(ctx, protocol.Txn{
		If: []protocol.Condition{{Key: storage.LeaderKey, Version: c.cache.Leader.Version},
			{Key: storage.UsualKey, Version: c.cache.Usual.Version}},
		Then: []protocol.Change{{Put: storage.UsualKey, Value: storage.Encode(c.cache.UsualRecordOf(l.learner.Usual(), c.valueLimit()*8/10))}},
	}, protocol.BackgroundRequest, func(bool) { l.busy = false })
}

// flooding is how the classes of the teams stand.
type flooding struct {
	lanes schedule.Lanes
	// on tells whether any has far more open than is usual for it, ordinary whether one of
	// those has work that may not use spot machines.
	on, ordinary bool
	// busy is how many seconds what runs will take on average, as a guess.
	busy float64
}

// flooding is what the classes of the teams may have before others, and what they hold, from
// the open jobs.
func (c *Controller) flooding(now time.Time) flooding {
	f := flooding{lanes: make(schedule.Lanes, storage.LaneCount(len(c.cache.Teams)))}
	all := 0.0
	for _, j := range c.cache.Jobs {
		if j == nil || j.NPlaced == 0 && !j.Open() {
			continue
		}
		l := f.lanes.Have(storage.LaneOf(j))
		used := float64(j.NPlaced) * j.Size
		open := used
		if !j.Suspect {
			open += float64(j.Waiting()) * j.Size
		}
		f.busy, all = f.busy+used*j.Estimate/2, all+used
		l.Used += used
		l.Open += open
		if !j.Spot {
			l.Ordinary += open
		}
		if c.waitedTooLong(j, now) {
			l.Late += used
		}
	}
	f.busy /= max(1, all)
	for x, u := range c.cache.Usual.Cpus {
		if l := f.lanes.At(x); l != nil {
			l.Usual, l.Floor = u, floorMargin*u
			l.Floods = l.Open > floodFrom*u
			f.on = f.on || l.Floods
			f.ordinary = f.ordinary || l.Ordinary > floodFrom*u
		}
	}
	if f.ordinary {
		for x := range c.cache.Usual.Cpus {
			if l := f.lanes.At(x); l != nil {
				l.Kept = l.Used >= keptFrom*l.Floor
			}
		}
	}
	return f
}

// overloaded tells whether there is a flood and far more work of some shares waits than can be
// in time; with what there is room for, the order needs no floors. It stays, in dealt, until
// no lane floods any more: what is late by then waits for no aim, but goes small first still.
func (c *Controller) overloaded(f flooding, jobs []*storage.Job, room schedule.Room, dealt *bool, now time.Time) bool {
	if !f.on || *dealt {
		*dealt = f.on
		return f.on
	}
	c.scratch.waits = c.scratch.waits[:0]
	for _, j := range jobs {
		if j == nil || j.Suspect || j.Waiting() == 0 {
			continue
		}
		allow, late := c.aimsLeft(j, now)
		if w, ok := schedule.WaitOf(now, j, j.Waiting(), allow, late); ok {
			c.scratch.waits = append(c.scratch.waits, w)
		}
	}
	room.Busy = f.busy
	*dealt = schedule.Load(c.scratch.waits, room) > schedule.Overload
	return *dealt
}

// noteFlood logs that a flood begins or ends.
func (c *Controller) noteFlood(f flooding, on bool) {
	c.log.Info("flood", "on", on, "ordinary", f.ordinary)
	for x := range c.cache.Usual.Cpus {
		l := f.lanes.Have(x)
		c.log.Info("lane", "team", c.cache.Teams[x.Team].Name, "class", c.cache.Classes.Name(x.Class), "usual", c.cache.Usual.Cpus[x], "open", l.Open, "used", l.Used)
	}
}

// A job's size counts against it only for a while. The largest of a class must begin within four minutes, and half
// of them must be served: those that step behind for as long as a flood lasts never were, where it
// lasts for the rest of the day.
const (
	beginAfter = 150 * time.Second // then one of its tasks goes first, if none was placed
	turnAfter  = 4 * time.Minute   // then it has its turn, if it has missed its latest aim
)

// waitedTooLong tells whether a job has waited too long and has missed its latest aim, if it has
// one. From then on it has its turn whatever else is asked, in a part of the room.
func (c *Controller) waitedTooLong(j *storage.Job, now time.Time) bool {
	if now.Sub(j.At) < turnAfter {
		return false
	}
	last, late := c.aimsLeft(j, now)
	return last == 0 || late
}
