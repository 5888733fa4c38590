package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what a controller knows of cancellations, and until when it knows all of them.
// Whoever renews a worker's lease must: see cancellationsKnownAt. A controller knows by its own
// reading of the state service while it is served; in an outage by the digest of every other process,
// which says that it has confirmed nothing that this controller does not know. A digest lists the
// cancellations themselves, so that more than one controller knows of each, and owners terminate the
// tasks by themselves.

// cancellationTracker is what this controller knows of cancellations and what it does to have
// cancelled tasks ended. It is written by this file, lease_knowledge.go, proxy_renewals.go and
// terminations.go.
type cancellationTracker struct {
	digest       digestState
	unverified   unverifiedRenewals
	terminations map[int32]*termination // by machine with a cancelled job's task
	// learnedAt is, by cancelled job whose record does not tell when, since when this process has known.
	learnedAt map[string]time.Time
}

func newCancellationTracker(now time.Time) cancellationTracker {
	return cancellationTracker{
		digest:       digestState{gossiped: map[string]uint64{}, vouchedUntil: map[string]time.Time{}},
		unverified:   unverifiedRenewals{since: now, renewed: map[string]time.Time{}},
		terminations: map[int32]*termination{},
	}
}

// finished reports whether nothing of a job is wanted any more: it has its final state, or a peer has
// gossiped that it is cancelled, which is committed, confirmed and never taken back.
func (t *cancellationTracker) finished(job *storage.Job) bool {
	return !job.Open() || t.digest.isGossiped(job.ID)
}

// cancelled reports whether a job is cancelled, as its record says or a peer that has confirmed it.
func (t *cancellationTracker) cancelled(job *storage.Job) bool {
	return job.Final == protocol.Cancelled || t.digest.isGossiped(job.ID)
}

// cancellationList are the cancellations that a controller knows of, by their records' versions, the earliest first.
type cancellationList struct {
	from uint64 // all of later records are listed
	list []protocol.Cancellation
}

// add takes a cancelled job's record.
func (l *cancellationList) add(version uint64, job string) {
	if version <= l.from || len(job) > protocol.MaxCancelledName {
		l.from = max(l.from, version) // it can't be listed: no digest may claim all before it
		return
	}
	at, _ := slices.BinarySearchFunc(l.list, version, func(listed protocol.Cancellation, v uint64) int { return cmp.Compare(listed.Version, v) })
	for i := at; i < len(l.list) && l.list[i].Version == version; i++ {
		if l.list[i].Job == job {
			return
		}
	}
	l.list = slices.Insert(l.list, at, protocol.Cancellation{Version: version, Job: job})
	// Those of one record go together: a reader of some of them would think it knew all.
	for len(l.list) > protocol.MaxCancellations {
		l.from = l.list[0].Version
		l.list = slices.DeleteFunc(l.list, func(listed protocol.Cancellation) bool { return listed.Version <= l.from })
	}
}

// digestState is what this controller has heard of others' cancellations.
type digestState struct {
	recorded     cancellationList
	gossiped     map[string]uint64    // cancelled, peers say, by a record of that version: not read yet
	vouchedUntil map[string]time.Time // by controller: all that it had confirmed until then is known here
}

// isGossiped reports whether a peer has said that a job is cancelled whose record does not show it yet.
func (d *digestState) isGossiped(job string) bool {
	_, ok := d.gossiped[job]
	return ok
}

// learn takes the cancellations of a digest whose records lie after revision, which this
// controller has read up to, and reports whether one of them is news.
func (d *digestState) learn(cancellations []protocol.Cancellation, revision uint64) bool {
	news := false
	for _, cancellation := range cancellations {
		if cancellation.Version > revision {
			news = news || !d.isGossiped(cancellation.Job)
			d.gossiped[cancellation.Job] = cancellation.Version
		}
	}
	return news
}

// dropRead forgets what the records up to a revision show by themselves.
func (d *digestState) dropRead(revision uint64) {
	for id, version := range d.gossiped {
		if version <= revision {
			delete(d.gossiped, id)
		}
	}
}

// noteCancellation notes a job's record if it says that the job is cancelled.
func (c *Controller) noteCancellation(key string, version uint64) {
	id, ok := storage.JobIDOf(key)
	if !ok {
		return
	}
	if final, _ := c.cache.FinalState(id); final == protocol.Cancelled {
		c.cancellations.digest.recorded.add(version, id)
	}
}

// currentDigest is what this controller vouches for now, nil while it can't.
func (c *Controller) currentDigest(now time.Time) *protocol.CancellationDigest {
	if !c.follower.loaded || c.Frames < protocol.FramesCancellationDigest {
		return nil
	}
	recorded := c.cancellations.digest.recorded
	return &protocol.CancellationDigest{
		At:            now.UnixMilli(),
		ProcessStart:  c.session.startedAt.UnixMilli(),
		From:          recorded.from,
		Cancellations: slices.Clone(recorded.list),
	}
}

// CancellationDigest is what this controller vouches for to another member, if that one reads it.
// It leaves out what the other has read, up to the revision in its peer heartbeat.
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
	if revision > digest.From {
		digest.From = revision
		digest.Cancellations = slices.DeleteFunc(slices.Clone(published.Cancellations),
			func(listed protocol.Cancellation) bool { return listed.Version <= revision })
	}
	return digest, true
}

// digestReaders are the controllers that read digests, and the revision in the last peer heartbeat of each.
func (c *Controller) digestReaders() *map[string]uint64 {
	readers := map[string]uint64{}
	for name, member := range c.cache.Members {
		if name != c.cfg.MemberName && member.FrameLevel >= protocol.FramesCancellationDigest {
			readers[name] = c.reachability.peers[name].heartbeat.Revision
		}
	}
	return &readers
}

// ReceiveCancellationDigest takes another controller's digest.
func (c *Controller) ReceiveCancellationDigest(member string, digest protocol.CancellationDigest) {
	c.post(func() { c.applyDigest(member, digest, time.Now()) })
}

func (c *Controller) applyDigest(member string, digest protocol.CancellationDigest, now time.Time) {
	if !c.follower.loaded {
		return
	}
	if c.cancellations.digest.learn(digest.Cancellations, c.cache.Revision) {
		c.log.Info("cancellations gossiped", "member", member, "jobs", len(digest.Cancellations))
		c.terminateGossiped()
	}
	clockError := maxClockDifference(c.cfg.Deployment)
	startedAt := localTime(digest.ProcessStart, now).Add(clockError)
	// What a process before this one of the same name had confirmed, nobody vouches for: only a reading
	// after this one began shows it. And a list that begins after this controller's cache has a gap.
	if startedAt.After(c.follower.cacheCurrentAt) || digest.From > c.cache.Revision {
		return
	}
	// It may have been held up on its way: it vouches for what was before it was sent.
	until := minTime(now, localTime(digest.At, now).Add(-clockError))
	if until.After(c.cancellations.digest.vouchedUntil[member]) {
		c.cancellations.digest.vouchedUntil[member] = until
	}
}

// maxClockDifference is how far the clocks of two controllers may be apart.
func maxClockDifference(d config.Deployment) time.Duration {
	return 2 * time.Duration(d.ClockSkewMs*float64(time.Millisecond))
}

// localTime is a time of day in Unix milliseconds with this process's monotonic clock, so that it can be
// compared with what was noted here although the time of day may be set meanwhile.
func localTime(unixMs int64, now time.Time) time.Time {
	return now.Add(-time.Duration(now.UnixMilli()-unixMs) * time.Millisecond)
}

// terminateGossiped has the tasks of jobs that peers say are cancelled terminated on this controller's machines.
func (c *Controller) terminateGossiped() {
	for id := range c.cancellations.digest.gossiped {
		if job := c.cache.Job(id); job != nil {
			c.terminateJob(job)
		}
	}
}
