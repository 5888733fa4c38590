package controller

import (
	"context"
	"net/http"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// maxHeldReplies is how many heartbeats may wait for a commit; above it, further ones are answered
	// at once.
	maxHeldReplies = 1000
	// minFreeCPUShare is the fraction of a machine's CPUs that must be free for the next commit to be
	// likely to place a task on it.
	minFreeCPUShare = 0.05
)

// errNotOwner is the body of a refusal after which a worker tries another controller.
var errNotOwner = protocol.ErrorResponse{Error: "not entitled to command this machine"}

// heartbeatReply answers a heartbeat with a status code and a body. It is called once.
type heartbeatReply func(status int, body any)

// heldReply is a heartbeat whose answer waits for a commit that may bring commands.
type heldReply struct {
	machine   string
	heartbeat *protocol.Heartbeat
	until     time.Time
	reply     heartbeatReply
}

// HandleHeartbeat handles a worker's heartbeat; reply is called once, on the goroutine that owns the
// state.
func (c *Controller) HandleHeartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, reply func(int, any)) {
	startedAt := time.Now()
	c.post(func() {
		c.handleHeartbeat(ctx, heartbeat, func(status int, body any) {
			c.metrics.heartbeatSeconds.Observe(time.Since(startedAt).Seconds())
			reply(status, body)
		})
	})
}

// handleHeartbeat chooses how to answer a heartbeat: by whether the records have been read, the
// machine has a record, and this controller owns its shard.
func (c *Controller) handleHeartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, reply heartbeatReply) {
	if !c.follower.loaded {
		c.handleHeartbeatUnverified(heartbeat, reply)
		return
	}
	machine := c.cache.Machine(heartbeat.Machine)
	if machine == nil {
		c.handleUnrecorded(ctx, heartbeat, reply)
		return
	}
	if !c.ownsShard(machine.Shard) {
		c.handleOthersHeartbeat(machine, heartbeat, reply)
		return
	}
	c.handleOwnHeartbeat(machine, heartbeat, reply)
}

// handleHeartbeatUnverified answers a heartbeat before this controller has read the records.
func (c *Controller) handleHeartbeatUnverified(heartbeat *protocol.Heartbeat, reply heartbeatReply) {
	now := time.Now()
	response, ok := c.renewUnverified(heartbeat, now)
	if !ok {
		_, marked := heartbeat.RenewalMarker()
		c.log.Debug("worker lease not renewed before the records are read", "machine", heartbeat.Machine, "marked", marked,
			"known_age_s", now.Sub(c.cancellationsKnownUntil(heartbeat, now)).Seconds())
		reply(http.StatusServiceUnavailable, errNotOwner)
		return
	}
	c.answerRenewal(heartbeat, response, reply)
}

// handleOthersHeartbeat answers the heartbeat of a machine that another controller owns: it renews
// the worker's lease as a proxy if the owner can't, and otherwise redirects the worker.
func (c *Controller) handleOthersHeartbeat(machine *storage.Machine, heartbeat *protocol.Heartbeat, reply heartbeatReply) {
	if c.renewsAsProxy(machine, time.Now()) {
		// The owner may have raised the fencing token just before the outage, unknown to this controller.
		token := max(c.cache.FencingToken(machine), heartbeat.FencingToken)
		response := protocol.HeartbeatResponse{FencingToken: token, Commands: c.killCommandsAt(machine, heartbeat.Tasks)}
		c.answerRenewal(heartbeat, response, reply)
		return
	}
	if shard := &c.cache.Shards[machine.Shard]; shard.Version > 0 && shard.Member != c.cfg.MemberName {
		reply(http.StatusMisdirectedRequest, protocol.Redirect{Member: shard.Member})
		return
	}
	reply(http.StatusServiceUnavailable, errNotOwner)
}

// handleOwnHeartbeat handles the heartbeat of a machine whose shard this controller owns. The answer
// waits for the next commit if that commit is likely to bring commands.
func (c *Controller) handleOwnHeartbeat(machine *storage.Machine, heartbeat *protocol.Heartbeat, reply heartbeatReply) {
	token := c.cache.FencingToken(machine)
	worker := c.workerState(machine)
	if heartbeat.FencingToken > token {
		c.raiseFencingToken(machine, worker, heartbeat.FencingToken)
		reply(http.StatusMisdirectedRequest, protocol.Redirect{})
		return
	}
	if !worker.IsNewer(heartbeat) {
		c.log.Debug("dropped outdated heartbeat", "machine", machine.Name, "incarnation", heartbeat.Incarnation, "seq", heartbeat.Seq)
		reply(http.StatusServiceUnavailable, errNotOwner)
		return
	}
	c.applyHeartbeat(machine, worker, heartbeat, token, false)
	c.requestCycle()
	held := heldReply{machine: machine.Name, heartbeat: heartbeat, until: time.Now().Add(c.timing.HeartbeatReplyWait), reply: reply}
	if c.storeFailing() || len(c.workers.heldReplies) > maxHeldReplies || !c.awaitsCommands(machine, worker) {
		c.answerHeartbeat(held)
		return
	}
	c.workers.heldReplies = append(c.workers.heldReplies, held)
}

// raiseFencingToken requests that the fencing token in a machine's record is raised above a higher one
// that its worker has seen. Usually another controller owns the machine by now and this controller's
// cache is behind; then its commits fail. But a group may have moved under a token older than that of
// its former shard's new owner, which had sent its token to the worker just before. Then no controller
// could command the machine any more: its tasks stayed in the record, and their jobs never ended.
// Every token was committed, so none is above the highest revision that an up-to-date cache has seen:
// a token above it is invalid, or this cache is behind, and it is ignored.
func (c *Controller) raiseFencingToken(machine *storage.Machine, worker *workerState, token uint64) {
	if token <= c.follower.highestRevision {
		c.log.Info("worker has seen a higher fencing token than the machine's", "machine", machine.Name,
			"seen", token, "fencing_token", c.cache.FencingToken(machine))
		worker.UncertainToken = max(worker.UncertainToken, token)
		c.requestCycle()
	}
}

// awaitsCommands reports whether the next commit is likely to bring commands for a machine. A worker
// has one heartbeat in flight at a time, so holding an answer without need delays its next heartbeat.
func (c *Controller) awaitsCommands(machine *storage.Machine, worker *workerState) bool {
	if len(worker.Gone) > 0 {
		return true
	}
	if c.shards.waitingTasks[machine.Shard] == 0 || !c.usable(machine, worker, worker.lastMessageAt) {
		return false
	}
	cpus := c.cache.Types[machine.Type].Cpus
	free := cpus
	for _, placed := range machine.Tasks {
		free -= placed.Job.TaskSize
	}
	return free > minFreeCPUShare*cpus
}

// applyHeartbeat updates a worker's state from its heartbeat, or, if reply is set, from its reply to a
// direct command.
func (c *Controller) applyHeartbeat(machine *storage.Machine, worker *workerState, heartbeat *protocol.Heartbeat, token uint64, reply bool) {
	now := time.Now()
	c.updateHeartbeatTime(machine, worker, heartbeat, reply, now)
	if worker.Incarnation != heartbeat.Incarnation && worker.Incarnation != 0 {
		c.log.Info("worker has a new incarnation", "machine", machine.Name, "incarnation", heartbeat.Incarnation, "tasks", len(machine.Tasks))
		worker.images = nil
	}
	known := make(map[dispatch.AttemptRef]bool, len(worker.Gone))
	for ref := range worker.Gone {
		known[ref] = true
	}
	worker.ApplyHeartbeat(machine, heartbeat, token, reply, c.cache.Job)
	c.noteUnplacedAttempts(machine, worker)
	worker.lastMessageAt, worker.missedProbes = now, 0
	c.workers.lastWorkerMessageAt = now
	c.recordZoneMessage(machine.Zone, now)
	if heartbeat.Addr != "" {
		machine.Addr = heartbeat.Addr
	}
	c.notePreemptionNotice(machine, worker, heartbeat.PreemptionNoticeS, now)
	c.noteRunningAttempts(machine, worker, now)
	for ref, outcome := range worker.Gone {
		if !known[ref] {
			c.noteOutcome(machine, worker, ref, outcome, now)
		}
	}
}

// notePreemptionNotice records the announced preemption of a worker's spot machine by the cloud, inS
// seconds from now. A nil inS means that none is announced.
func (c *Controller) notePreemptionNotice(machine *storage.Machine, worker *workerState, inS *float64, now time.Time) {
	if inS == nil {
		worker.preemptionAt = time.Time{}
		return
	}
	if worker.preemptionAt.IsZero() {
		c.log.Info("cloud announced preemption of the machine", "machine", machine.Name, "in_s", *inS)
	}
	worker.preemptionAt = now.Add(seconds(*inS))
}

// answerHeartbeat answers a heartbeat according to the records as they are now.
func (c *Controller) answerHeartbeat(held heldReply) {
	machine := c.cache.Machine(held.machine)
	if machine == nil {
		held.reply(http.StatusServiceUnavailable, errNotOwner)
		return
	}
	if !c.ownsShard(machine.Shard) {
		held.reply(http.StatusMisdirectedRequest, protocol.Redirect{Member: c.cache.Shards[machine.Shard].Member})
		return
	}
	worker := c.workerState(machine)
	response := protocol.HeartbeatResponse{FencingToken: c.cache.FencingToken(machine)}
	// Commands go only into the answer to the latest heartbeat of the worker's current incarnation.
	// Kills of cancelled tasks are safe in any answer, and one that renews the lease must not lack them.
	if worker.Incarnation == held.heartbeat.Incarnation && worker.HeartbeatSeq == held.heartbeat.Seq {
		response.Commands = c.commands(machine, worker, true)
	} else {
		response.Commands = c.killCommandsAt(machine, held.heartbeat.Tasks)
	}
	if response.Commands == nil {
		response.Commands = []protocol.Command{}
	}
	c.answerRenewal(held.heartbeat, response, held.reply)
}

// flushHeldReplies answers the held heartbeats whose waiting time is over, or, if all is set, every
// one.
func (c *Controller) flushHeldReplies(now time.Time, all bool) {
	keep := c.workers.heldReplies[:0]
	for _, held := range c.workers.heldReplies {
		if all || !now.Before(held.until) {
			c.answerHeartbeat(held)
		} else {
			keep = append(keep, held)
		}
	}
	clear(c.workers.heldReplies[len(keep):])
	c.workers.heldReplies = keep
}
