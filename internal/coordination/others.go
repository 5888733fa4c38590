package coordination

import (
	"context"
	"slices"
	"time"

	"dykeledge/internal/bookkeeping"
	"dykeledge/internal/coordination/dispatch"
	"dykeledge/internal/protocol"
)

// This file owns what a node does for the workers of machines that others own, while the
// state service does not answer. Nobody can take a share over then: if its owner is silent,
// or every node has ended, the workers' tasks would be killed by their leases, thousands
// at a time. Nobody relies on a lease's end: a task leaves a rack only on proof, so a lease that
// lasts longer breaks no rule but one. A job's user may have been told that it is cancelled
// by a node that ended before it could stop the tasks: they must be gone within cancel_s, and
// then the lease is all that ends them. So renewals for others have an end; and since an owner
// that lives may not have read what was cancelled just before, whoever knows of it sends the stops.

// leaseMargin is what is left for reports, answers and clocks that drift apart.
const leaseMargin = 1500 * time.Millisecond

// standsIn tells whether this node keeps up the lease of another owner's machine: that owner
// has ended and nobody has its share yet, or neither it nor the state service is heard. After an
// end of all nodes workers were sent on to dead owners, and a round of the others later their
// leases had run out.
func (c *Controller) standsIn(m *bookkeeping.Machine, now time.Time) bool {
	s := &c.book.Shares[m.Share]
	if s.Node == "" || m.Closing || !c.knows(now) {
		return false
	}
	if n := c.book.Nodes[s.Node]; n == nil || n.Incarnation != s.Incarnation {
		return true
	}
	// What is heard under the owner's name may be its successor, newborn in the outage: that owns nothing.
	p := c.peers[s.Node]
	return s.Node != c.cfg.NodeName && c.silentFor(c.goodAt, now) > peerFresh && (c.silentFor(p.at, now) > peerFresh || p.pulse.Revision == 0)
}

// stops are the commands that end what a machine's record still holds of cancelled jobs:
// final states never change, so they are right whoever sends them.
func (c *Controller) stops(m *bookkeeping.Machine) []protocol.Command {
	out := []protocol.Command{}
	for _, p := range m.Tasks {
		if c.over(p.Job) && len(out) < maxCommands {
			out = append(out, protocol.Command{Op: protocol.Kill, Task: protocol.TaskName(p.Job.ID, p.Task), Attempt: p.Attempt})
		}
	}
	return out
}

// Stops for others' machines are repeated until their workers' reports show that they took effect, and seldom
// then: one whose launch was still under way may begin afterwards.
const (
	stopEvery     = 2 * time.Second
	stoppedAgain  = 10 * time.Second
	returnAgain   = 5 * time.Second // its return may have failed, and shows in no record
	stopsAtOneTry = maxDirects / 2  // so that those which can't be reached leave room
)

// stopForOthers sends the stops of cancelled jobs' tasks to machines that others own. Their
// owners do so too, once they have read of it: in an outage they may never.
func (c *Controller) stopForOthers(ctx context.Context, now time.Time) {
	if c.silentFor(c.goodAt, now) <= peerFresh {
		clear(c.stopNext)
		clear(c.stopSince)
		return
	}
	began := 0
	var lost []string
	defer func() { c.returnMachines(ctx, lost) }()
	for _, j := range c.book.Jobs {
		if j == nil || j.NPlaced == 0 || !c.over(j) {
			continue
		}
		for _, i := range j.Machine {
			if i == bookkeeping.Nowhere || now.Before(c.stopNext[i]) {
				continue
			}
			m := c.book.Machines[i]
			if m.Gone || m.Addr == "" {
				continue
			}
			if c.stopFails(m, now) {
				c.log.Info("stops can't be confirmed, returning machine", "machine", m.Name)
				lost = append(lost, m.Name)
				c.stopNext[i] = now.Add(returnAgain)
				continue
			}
			if c.owns(m.Share) {
				continue
			}
			// Each round began with the same machines, and those beyond the first 48 had no stop.
			if began >= stopsAtOneTry || c.directs >= maxDirects {
				return
			}
			began++
			c.stopNext[i] = now.Add(stopEvery)
			c.stopOn(m, protocol.DirectCommands{Token: c.book.Token(m), Session: m.Session, Commands: c.stops(m)}, true)
		}
	}
}

// stopFails tells whether a machine's worker has not shown for a third of cancel_s that what is over has ended there:
// it hangs, is deaf, or out of reach. In an outage no record can say that it is returned, but its
// return needs none: it is gone with all that is on it, whoever asks, and nothing is placed again before its
// owner has that proof too. A node that hears no worker at all may be the one that is cut off.
func (c *Controller) stopFails(m *bookkeeping.Machine, now time.Time) bool {
	if v := c.views[m.Index]; v != nil && c.owns(m.Share) {
		if v.returned || !slices.ContainsFunc(m.Tasks, func(p bookkeeping.Placed) bool {
			_, gone := v.Gone[dispatch.RefOf(p)]
			return c.over(p.Job) && !gone
		}) {
			delete(c.stopSince, m.Index)
			return false
		}
	}
	since, ok := c.stopSince[m.Index]
	if !ok {
		c.stopSince[m.Index] = now
		return false
	}
	return c.silentFor(since, now) > seconds(c.cfg.Deployment.Workers.CancelS/3) && c.silentFor(maxTime(c.heardAny, c.reachedAt), now) < peerFresh+seconds(c.cfg.Deployment.Workers.ReportS)
}

// stopOn sends stops straight to a worker that this node does not own. If it refuses them since its session or its
// token is another, its report tells both, and what of the jobs that are over is on it in truth:
// with again they are sent once more. Stops of what is over are right under any token.
func (c *Controller) stopOn(m *bookkeeping.Machine, cmd protocol.DirectCommands, again bool) {
	if len(cmd.Commands) == 0 {
		return
	}
	addr := m.Addr
	c.directs++
	go func() {
		r, status, err := c.workers.Command(addr, cmd, 2*time.Second)
		c.post(func() {
			c.directs--
			c.log.Debug("stops for another's machine", "addr", addr, "stops", len(cmd.Commands), "status", status, "err", err)
			if err != nil || r == nil || r.Machine != m.Name || m.Gone {
				return
			}
			c.reachedAt = time.Now()
			switch left := c.stopsOf(r); {
			case len(left) == 0:
				c.stopNext[m.Index] = c.reachedAt.Add(stoppedAgain)
				delete(c.stopSince, m.Index)
			case status != 200 && again && c.directs < maxDirects:
				c.stopOn(m, protocol.DirectCommands{Token: r.Token, Session: r.Session, Commands: left}, false)
			}
		})
	}()
}

// stopsOf are the commands that end what a worker's report shows of jobs that are over.
func (c *Controller) stopsOf(r *protocol.Report) []protocol.Command {
	out := []protocol.Command{}
	for _, t := range r.Tasks {
		id, _, ok := protocol.SplitTask(t.Task)
		if !ok || t.State == protocol.Exited || len(out) >= maxCommands {
			continue
		}
		f, _ := c.book.FinalState(id)
		if _, told := c.words.told[id]; told || f == protocol.Cancelled {
			out = append(out, protocol.Command{Op: protocol.Kill, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return out
}

// blind is a node's part of keeping up leases before it has read any record.
type blind struct {
	since   time.Time            // when this process began
	renewed map[string]time.Time // by machine
}

// blindly answers the report of a worker whose tasks would be lost, under the token that the
// worker itself names. Not twice in a row: a worker stays with a node that answers, and
// another may know its records by now.
func (c *Controller) blindly(r *protocol.Report, now time.Time) (protocol.ReportAnswer, bool) {
	w := c.cfg.Deployment.Workers
	if len(r.Tasks) == 0 || !c.knows(now) || !c.allNewborn(now) ||
		now.Sub(c.blind.renewed[r.Machine]) < seconds(w.LeaseS/3) {
		return protocol.ReportAnswer{}, false
	}
	c.blind.renewed[r.Machine] = now
	c.metrics.blind.Inc()
	return protocol.ReportAnswer{Token: r.Token, Commands: []protocol.Command{}}, true
}

// allNewborn tells whether every other node is heard and has read no records either: all have ended. Where one
// has read them, the worker is better off there; and one that is silent may have confirmed cancellations
// until now, which whoever answered the worker last could not know.
func (c *Controller) allNewborn(now time.Time) bool {
	for _, k := range c.cfg.Known {
		if p, ok := c.peers[k.NodeName]; !ok || now.Sub(p.at) >= peerFresh || p.pulse.Revision > 0 {
			return false
		}
	}
	return true
}
