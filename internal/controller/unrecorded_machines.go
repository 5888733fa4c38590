package controller

import (
	"context"
	"net/http"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file handles heartbeats of machines that no record lists: new ones, and delayed heartbeats of
// machines that are gone.

// maxPendingEnrollments is how many unrecorded machines may wait for enrollment.
const maxPendingEnrollments = 1024

// handleUnrecorded answers the heartbeat of an unrecorded machine: the leader enrolls the machine if its
// worker answers a probe, any other controller redirects to the leader.
func (c *Controller) handleUnrecorded(ctx context.Context, heartbeat *protocol.Heartbeat, reply heartbeatReply) {
	if c.cache.MachineEverListed(heartbeat.Machine) {
		// Either the machine is gone and its heartbeat late, or its group's record is not read yet.
		reply(http.StatusServiceUnavailable, errNotOwner)
		return
	}
	if !c.isLeader() {
		if leader := c.cache.Leader; leader.Version > 0 && leader.Member != c.cfg.MemberName {
			reply(http.StatusMisdirectedRequest, protocol.Redirect{Member: leader.Member})
		} else {
			reply(http.StatusServiceUnavailable, errNotOwner)
		}
		return
	}
	if c.cache.TypeIndex.Find(heartbeat.Type) < 0 || len(c.leader.pendingMachines) > maxPendingEnrollments {
		reply(http.StatusServiceUnavailable, errNotOwner)
		return
	}
	c.probeUnrecorded(heartbeat, func(alive bool) {
		if alive {
			c.enrollFromHeartbeat(ctx, heartbeat, reply)
		} else {
			reply(http.StatusServiceUnavailable, errNotOwner)
		}
	})
}

// enrollFromHeartbeat enrolls an unrecorded machine as its heartbeat describes it, and then handles the heartbeat.
func (c *Controller) enrollFromHeartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, reply heartbeatReply) {
	fleet := storage.FleetRecord{
		FencingToken:  heartbeat.FencingToken + 1, // above every token that the worker has seen
		Type:          heartbeat.Type,
		Zone:          heartbeat.Zone,
		Spot:          heartbeat.Spot,
		ProvisionedAt: time.Now().Unix(),
	}
	c.enrollMachine(ctx, &pendingMachine{name: heartbeat.Machine, addr: heartbeat.Addr, fleet: fleet, done: func(ok bool) {
		if ok && c.cache.Machine(heartbeat.Machine) != nil {
			c.handleHeartbeat(ctx, heartbeat, reply)
		} else {
			reply(http.StatusServiceUnavailable, errNotOwner)
		}
	}})
}

// probeUnrecorded sends a probe to the worker of an unrecorded machine that a heartbeat came from, and calls done with
// whether it answered. The heartbeat may be delayed, and its machine gone since: a leader that has never read the
// machine's record cannot tell. While a probe of the machine is in flight, done is called with false at once.
func (c *Controller) probeUnrecorded(heartbeat *protocol.Heartbeat, done func(alive bool)) {
	probed := c.leader.probed // map of this term of leadership, which may end before the answer
	if probed[heartbeat.Machine] || c.workers.directCommands >= maxDirectCommands {
		done(false)
		return
	}
	probed[heartbeat.Machine] = true
	c.workers.directCommands++
	probe := protocol.DirectCommands{FencingToken: heartbeat.FencingToken, Incarnation: heartbeat.Incarnation, Commands: []protocol.Command{}}
	// The timeout bounds this goroutine; nothing waits for it.
	go func() {
		answer, _, err := c.workerLink.Command(heartbeat.Addr, probe, directProbeTimeout)
		c.post(func() {
			c.workers.directCommands--
			delete(probed, heartbeat.Machine)
			alive := err == nil && answer.Machine == heartbeat.Machine
			if !alive {
				c.log.Info("unrecorded machine does not answer, not enrolled", "machine", heartbeat.Machine, "addr", heartbeat.Addr, "err", err)
			}
			done(alive)
		})
	}()
}
