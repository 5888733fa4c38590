package coordination

import (
	"time"

	"dykeledge/internal/bookkeeping"
	"dykeledge/internal/config"
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

// knowingFor is how long after its book was last brought up to date a node may renew
// leases of others' machines. A cancellation that it has not read was told after that, so
// the last lease that it renews ends within cancel_s of it.
func knowingFor(w config.Workers) time.Duration {
	return seconds(w.CancelS-w.LeaseS) - leaseMargin
}

// blindFor is how long after its start a node that has read no records may renew leases;
// not at all if it is not above 0. A worker whose lease still runs was answered at most
// lease_s before by a node that knew its records, and that stopped what was cancelled until then.
// What it could not stop was cancelled later, and must be gone within cancel_s of that.
func blindFor(w config.Workers) time.Duration {
	return seconds(w.CancelS-2*w.LeaseS) - leaseMargin
}

// standsIn tells whether this node keeps up the lease of another owner's machine: that owner
// has ended and nobody has its share yet, or neither it nor the state service is heard. After an
// end of all nodes workers were sent on to dead owners, and a round of the others later their
// leases had run out.
func (c *Controller) standsIn(m *bookkeeping.Machine, now time.Time) bool {
	s := &c.book.Shares[m.Share]
	if s.Node == "" || m.Closing || now.Sub(c.readAt) > knowingFor(c.cfg.Deployment.Workers) {
		return false
	}
	if n := c.book.Nodes[s.Node]; n == nil || n.Incarnation != s.Incarnation {
		return true
	}
	return s.Node != c.cfg.NodeName && c.silentFor(c.goodAt, now) > peerFresh && c.silentFor(c.peers[s.Node].at, now) > peerFresh
}

// stops are the commands that end what a machine's record still holds of cancelled jobs:
// final states never change, so they are right whoever sends them.
func stops(m *bookkeeping.Machine) []protocol.Command {
	out := []protocol.Command{}
	for _, p := range m.Tasks {
		if !p.Job.Open() && len(out) < maxCommands {
			out = append(out, protocol.Command{Op: protocol.Kill, Task: protocol.TaskName(p.Job.ID, p.Task), Attempt: p.Attempt})
		}
	}
	return out
}

// stopEvery is how often stops for others' machines are repeated.
const stopEvery = 2 * time.Second

// stopForOthers sends the stops of cancelled jobs' tasks to machines that others own. Their
// owners do so too, once they have read of it: in an outage they may never.
func (c *Controller) stopForOthers(now time.Time) {
	if c.silentFor(c.goodAt, now) <= peerFresh || now.Sub(c.stoppedAt) < stopEvery {
		return
	}
	c.stoppedAt = now
	seen := map[int32]bool{}
	for _, j := range c.book.Jobs {
		if j == nil || j.Open() || j.NPlaced == 0 {
			continue
		}
		for _, i := range j.Machine {
			if i == bookkeeping.Nowhere || seen[i] || c.directs >= maxDirects {
				continue
			}
			seen[i] = true
			m := c.book.Machines[i]
			if m.Gone || m.Addr == "" || c.owns(m.Share) {
				continue
			}
			addr, cmd := m.Addr, protocol.DirectCommands{Token: c.book.Token(m), Session: m.Session, Commands: stops(m)}
			c.directs++
			go func() {
				_, status, err := c.workers.Command(addr, cmd, 2*time.Second)
				c.post(func() {
					c.directs--
					c.log.Debug("stops for another's machine", "addr", addr, "stops", len(cmd.Commands), "status", status, "err", err)
				})
			}()
		}
	}
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
	if len(r.Tasks) == 0 || now.Sub(c.blind.since) > blindFor(w) || c.othersKnow(now) ||
		now.Sub(c.blind.renewed[r.Machine]) < seconds(w.LeaseS/3) {
		return protocol.ReportAnswer{}, false
	}
	c.blind.renewed[r.Machine] = now
	c.metrics.blind.Inc()
	return protocol.ReportAnswer{Token: r.Token, Commands: []protocol.Command{}}, true
}

// othersKnow tells whether another node has read the records: the worker is better off there.
func (c *Controller) othersKnow(now time.Time) bool {
	for _, p := range c.peers {
		if p.pulse.Revision > 0 && now.Sub(p.at) < peerFresh {
			return true
		}
	}
	return false
}
