package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file tracks cancellations, and the time up to which this controller has all of them: a
// controller that renews workers' leases needs that (see cancellationsCompleteUntil). While the state
// service answers, the cache provides it. In an outage, the cancellation digests of all other
// controllers do: a digest states that its sender has confirmed no cancellation that the receiver
// does not have. A digest lists the cancellations themselves, so that more than one controller holds
// each of them, and the owners of the machines terminate the tasks without further messages.

// cancellationTracker holds the cancellations that this controller has learned of, and the state of
// terminating the cancelled tasks. It is written by this file, lease_renewal.go,
// proxy_renewals.go, terminations.go and kill_commands.go.
type cancellationTracker struct {
	digest       digestState
	unverified   unverifiedRenewals
	terminations map[int32]*termination // by index of a machine that has a cancelled job's task
	// firstSeenAt holds, by job ID, when this process learned of a cancellation whose record does not
	// hold its time.
	firstSeenAt map[string]time.Time
}

func newCancellationTracker(now time.Time) cancellationTracker {
	return cancellationTracker{
		digest:       digestState{gossiped: map[string]uint64{}, completeUntil: map[string]time.Time{}},
		unverified:   unverifiedRenewals{startedAt: now, lastRenewals: map[string]time.Time{}},
		terminations: map[int32]*termination{},
	}
}

// finished reports whether none of a job's tasks should run any more: the job has a final state, or a
// peer's digest lists it as cancelled. A listed cancellation is committed and confirmed, and is never
// reverted.
func (t *cancellationTracker) finished(job *storage.Job) bool {
	return !job.Open() || t.digest.isGossiped(job.ID)
}

// cancelled reports whether a job is cancelled according to its record or to a peer's digest.
func (t *cancellationTracker) cancelled(job *storage.Job) bool {
	return job.Final == protocol.Cancelled || t.digest.isGossiped(job.ID)
}

// cancellationList lists cancellations, ordered by the versions of the jobs' records, lowest first.
type cancellationList struct {
	from uint64 // the list is complete for records with versions above this one
	list []protocol.Cancellation
}

// add inserts a cancelled job by the version of its record. When the list grows too long, the
// earliest cancellations are removed and from is raised.
func (l *cancellationList) add(version uint64, job string) {
	if version <= l.from || len(job) > protocol.MaxCancelledIDBytes {
		l.from = max(l.from, version) // not listed, so the list is complete only above this version
		return
	}
	at, _ := slices.BinarySearchFunc(l.list, version, func(listed protocol.Cancellation, v uint64) int { return cmp.Compare(listed.Version, v) })
	for i := at; i < len(l.list) && l.list[i].Version == version; i++ {
		if l.list[i].Job == job {
			return
		}
	}
	l.list = slices.Insert(l.list, at, protocol.Cancellation{Version: version, Job: job})
	// Cancellations with the same version are removed together: from can't express that only some
	// of them are listed.
	for len(l.list) > protocol.MaxCancellations {
		l.from = l.list[0].Version
		l.list = slices.DeleteFunc(l.list, func(listed protocol.Cancellation) bool { return listed.Version <= l.from })
	}
}

// digestState holds the cancellations read from records and those received in peers' digests.
type digestState struct {
	recorded cancellationList // from records that this controller has read
	// gossiped holds, by job ID, cancellations from peers' digests whose records this controller has
	// not read yet, with the versions of those records.
	gossiped map[string]uint64
	// completeUntil holds, by member, the time up to which this controller has all cancellations that
	// the member had confirmed.
	completeUntil map[string]time.Time
}

// isGossiped reports whether a peer's digest lists a job as cancelled while this controller's cache
// does not show it yet.
func (d *digestState) isGossiped(job string) bool {
	_, ok := d.gossiped[job]
	return ok
}

// addGossiped stores the cancellations of a digest whose records have versions above revision, up to
// which this controller's cache is current, and reports whether any of them is new.
func (d *digestState) addGossiped(cancellations []protocol.Cancellation, revision uint64) bool {
	anyNew := false
	for _, cancellation := range cancellations {
		if cancellation.Version > revision {
			anyNew = anyNew || !d.isGossiped(cancellation.Job)
			d.gossiped[cancellation.Job] = cancellation.Version
		}
	}
	return anyNew
}

// dropGossipedUpTo removes the gossiped cancellations whose records have been read: those with versions
// up to revision.
func (d *digestState) dropGossipedUpTo(revision uint64) {
	for id, version := range d.gossiped {
		if version <= revision {
			delete(d.gossiped, id)
		}
	}
}

// recordCancellation adds a job to the recorded cancellations if the record at key is a cancelled
// job's.
func (c *Controller) recordCancellation(key string, version uint64) {
	id, ok := storage.JobIDOf(key)
	if !ok {
		return
	}
	if final, _ := c.cache.FinalState(id); final == protocol.Cancelled {
		c.cancellations.digest.recorded.add(version, id)
	}
}

// currentDigest returns this controller's cancellation digest as of now. It is nil while the records
// have not been read, or where the controller's frame level has no digests.
func (c *Controller) currentDigest(now time.Time) *protocol.CancellationDigest {
	if !c.follower.loaded || c.Frames < protocol.FrameLevelCancellationDigest {
		return nil
	}
	recorded := c.cancellations.digest.recorded
	return &protocol.CancellationDigest{
		CreatedAtMs:    now.UnixMilli(),
		ProcessStartMs: c.session.startedAt.UnixMilli(),
		AfterVersion:   recorded.from,
		Cancellations:  slices.Clone(recorded.list),
	}
}

// CancellationDigest returns the digest to send to a member, and whether there is one and the member
// reads digests. It leaves out the cancellations that the member has read itself, up to the revision
// in its last peer heartbeat.
func (c *Controller) CancellationDigest(member string) (protocol.CancellationDigest, bool) {
	published := c.summary.digest.Load()
	readers := c.summary.digestReaders.Load()
	if published == nil || readers == nil {
		return protocol.CancellationDigest{}, false
	}
	revision, reads := (*readers)[member]
	if !reads {
		return protocol.CancellationDigest{}, false
	}
	digest := *published
	if revision > digest.AfterVersion {
		digest.AfterVersion = revision
		digest.Cancellations = slices.DeleteFunc(slices.Clone(published.Cancellations),
			func(listed protocol.Cancellation) bool { return listed.Version <= revision })
	}
	return digest, true
}

// digestReaders returns the members that read digests, with the revision in the last peer heartbeat
// of each.
func (c *Controller) digestReaders() *map[string]uint64 {
	readers := map[string]uint64{}
	for name, member := range c.cache.Members {
		if name != c.cfg.MemberName && member.FrameLevel >= protocol.FrameLevelCancellationDigest {
			readers[name] = c.reachability.peers[name].heartbeat.Revision
		}
	}
	return &readers
}

// ReceiveCancellationDigest applies a digest received from another controller.
func (c *Controller) ReceiveCancellationDigest(member string, digest protocol.CancellationDigest) {
	c.post(func() { c.applyDigest(member, digest, time.Now()) })
}

// applyDigest stores the cancellations of a member's digest, has their tasks terminated, and advances
// the time up to which this controller has all of the member's cancellations.
func (c *Controller) applyDigest(member string, digest protocol.CancellationDigest, now time.Time) {
	if !c.follower.loaded {
		return
	}
	if c.cancellations.digest.addGossiped(digest.Cancellations, c.cache.Revision) {
		c.log.Info("new cancellations received in a digest", "member", member, "jobs", len(digest.Cancellations))
		c.terminateGossiped()
	}
	clockError := maxClockDifference(c.cfg.Deployment)
	startedAt := localTime(digest.ProcessStartMs, now).Add(clockError)
	// The digest does not cover what an earlier process of the same member had confirmed: only records
	// read after the sender's start show that. And if its list begins above this cache's revision,
	// cancellations in between are missing.
	if startedAt.After(c.follower.cacheCurrentAt) || digest.AfterVersion > c.cache.Revision {
		return
	}
	// The digest may have been delayed in transit: it covers the time until it was sent.
	until := minTime(now, localTime(digest.CreatedAtMs, now).Add(-clockError))
	if until.After(c.cancellations.digest.completeUntil[member]) {
		c.cancellations.digest.completeUntil[member] = until
	}
}

// maxClockDifference returns the largest difference between two controllers' clocks.
func maxClockDifference(d config.Deployment) time.Duration {
	return 2 * time.Duration(d.ClockSkewMs*float64(time.Millisecond))
}

// localTime converts a wall-clock time in Unix milliseconds to a time with this process's monotonic
// clock reading, so that comparisons with local times stay valid if the wall clock is set meanwhile.
func localTime(unixMs int64, now time.Time) time.Time {
	return now.Add(-time.Duration(now.UnixMilli()-unixMs) * time.Millisecond)
}

// terminateGossiped sends kill commands for the tasks of gossiped cancellations to the machines that
// this controller owns.
func (c *Controller) terminateGossiped() {
	for id := range c.cancellations.digest.gossiped {
		if job := c.cache.Job(id); job != nil {
			c.terminateJob(job)
		}
	}
}
