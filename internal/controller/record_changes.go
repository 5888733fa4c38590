package controller

import (
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// apply applies one record's change to the cache, whichever controller committed it.
func (c *Controller) apply(key string, value []byte, version uint64, deleted bool) error {
	c.follower.highestRevision = max(c.follower.highestRevision, version)
	err := c.cache.Apply(key, value, version, deleted)
	if err != nil {
		c.log.Error("bad record", "err", err)
	}
	c.recordCancellation(key, version)
	return err
}

// onEvents applies the answer of a watch request; sent is when the request was sent.
func (c *Controller) onEvents(events protocol.Events, sent time.Time) {
	for _, event := range events.Events {
		if event.Delete != "" {
			_ = c.apply(event.Delete, nil, event.Version, true) // apply logs the error
		} else {
			_ = c.apply(event.Put, event.Value, event.Version, false)
		}
	}
	c.cache.Revision = max(c.cache.Revision, events.Revision)
	c.follower.highestRevision = max(c.follower.highestRevision, events.Revision)
	now := time.Now()
	c.storeHealth.failingSince = time.Time{}
	c.storeHealth.servedAt = now
	c.follower.cacheCurrentAt = maxTime(c.follower.cacheCurrentAt, sent)
	c.cancellations.digest.dropGossipedUpTo(c.cache.Revision)
	c.follower.releaseWaiters(c.cache.Revision)
	if len(events.Events) > 0 {
		c.onRecordsChanged()
	}
	if c.readModel != nil {
		c.readModel.asOf = maxTime(c.readModel.asOf, sent)
		c.updateView(now, false)
	}
}

// onRecordsChanged updates the state that is derived from the records after they have changed: leadership,
// shard ownership, settings, and the state of machines and jobs.
func (c *Controller) onRecordsChanged() {
	if !c.follower.loaded {
		return
	}
	now := time.Now()
	if version := c.cache.Leader.Version; version != c.leadership.version {
		c.leadership.version, c.leadership.versionSeenAt = version, now
	}
	c.noteLeadershipChange()
	c.recordOwnershipChanges(now)
	c.applySettings()
	c.noteTooLarge(nil)
	c.recordVictimSets()
	c.inheritDeadlines()
	machines, jobs := c.cache.TakeChangedAndEnded()
	c.updateOwnedShards(now)
	for _, machine := range machines {
		c.settleWorkerState(machine)
		if !machine.Gone && machine.Incarnation > 0 && c.ownsShard(machine.Shard) && c.workers.states[machine.Index] == nil {
			c.workerState(machine) // the worker is contacted: its reply lists the tasks on the machine
			c.workers.uncontacted = append(c.workers.uncontacted, machine)
		}
		c.sendStopCommands(machine)
	}
	for _, job := range jobs {
		c.terminateJob(job)
	}
	c.contactWorkers()
	c.requestCycle()
}

// updateOwnedShards begins or ends this controller's ownership of the shards whose records have
// changed.
func (c *Controller) updateOwnedShards(now time.Time) {
	for shard := range c.shards.owned {
		version := uint64(0)
		if c.ownsShard(shard) {
			version = c.cache.Shards[shard].Version
		}
		if version != c.shards.owned[shard] {
			c.shards.owned[shard] = version
			record := c.cache.Shards[shard]
			c.log.Info("shard owner changed", "shard", shard, "owner", record.Member, "own", version > 0,
				"incarnation", record.Incarnation, "fencing_token", record.FencingToken, "version", record.Version)
			c.takeOverShard(shard, version > 0, now)
		}
	}
}

// takeOverShard begins or ends this controller's ownership of a shard.
func (c *Controller) takeOverShard(shard int, own bool, now time.Time) {
	for _, machine := range c.cache.Machines {
		if machine.Shard == shard {
			delete(c.workers.states, machine.Index) // state of an earlier ownership is out of date
		}
	}
	if !own {
		return
	}
	c.metrics.takeovers.Inc()
	c.shards.takenOverAt, c.shards.placedSinceTakeover = now, false
	for _, machine := range c.cache.Machines {
		if machine.Shard == shard && !machine.Gone {
			c.takeOverMachine(machine, now)
		}
	}
}

// takeOverMachine creates the state of a machine's worker when this controller takes over its shard.
func (c *Controller) takeOverMachine(machine *storage.Machine, now time.Time) {
	worker := c.workerState(machine)
	worker.trackedSince = now
	if token := max(machine.FencingToken, machine.Group.FencingToken); token >= c.cache.Shards[machine.Shard].FencingToken {
		// The former owner raised the token while the shard changed owners: only a higher token proves
		// that none of that owner's commands is still in flight.
		worker.UncertainToken = token
	}
	if machine.Incarnation > 0 {
		c.workers.uncontacted = append(c.workers.uncontacted, machine)
	}
}

// settleWorkerState updates the state of a machine's worker to match the records, and deletes it if the
// machine is gone or no longer owned by this controller.
func (c *Controller) settleWorkerState(machine *storage.Machine) {
	worker := c.workers.states[machine.Index]
	if worker == nil {
		return
	}
	if machine.Gone || !c.ownsShard(machine.Shard) {
		delete(c.workers.states, machine.Index)
		return
	}
	worker.DropCommitted(machine)
	for ref := range worker.started {
		if ref.Job.MachineOf[ref.Task] != machine.Index || ref.Job.AttemptOf[ref.Task] != ref.Attempt {
			delete(worker.started, ref)
		}
	}
}
