package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// cancellationTracker is what this controller knows of cancellations and what it does to have
// cancelled tasks ended. It is written by this file, proxy_renewals.go and terminations.go.
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

// This file owns what a controller knows of cancellations, and until when it knows all of them. Whoever
// renews a worker's lease must: see knows. A controller knows by its own reading of the state service
// while it is served; in an outage by the word of every other process, that it has confirmed nothing
// which this controller does not know. A word tells the cancellations themselves, so that more than
// one controller knows of each, and owners stop the tasks by themselves.

// cancellationList are the cancellations that a controller knows of, by their records' versions, the earliest first.
type cancellationList struct {
	from uint64 // all of later records are listed
	list []protocol.Cancellation
}

// add takes a cancelled job's record.
func (e *cancellationList) add(version uint64, job string) {
	if version <= e.from || len(job) > protocol.MaxCancelledName {
		e.from = max(e.from, version) // it can't be listed: no word may say that all before are
		return
	}
	i, _ := slices.BinarySearchFunc(e.list, version, func(x protocol.Cancellation, v uint64) int { return cmp.Compare(x.Version, v) })
	for k := i; k < len(e.list) && e.list[k].Version == version; k++ {
		if e.list[k].Job == job {
			return
		}
	}
	e.list = slices.Insert(e.list, i, protocol.Cancellation{Version: version, Job: job})
	// Those of one record go together: a reader of some of them would think it knew all.
	for len(e.list) > protocol.MaxCancellations {
		e.from = e.list[0].Version
		e.list = slices.DeleteFunc(e.list, func(x protocol.Cancellation) bool { return x.Version <= e.from })
	}
}

// digestState is what this controller has heard of others' cancellations.
type digestState struct {
	recorded     cancellationList
	gossiped     map[string]uint64    // cancelled, peers say, by a record of that version: not read yet
	vouchedUntil map[string]time.Time // by controller: all that it had confirmed until then is known here
}

// noteCancellation notes a job's record if it says that the job is cancelled.
func (c *Controller) noteCancellation(key string, version uint64) {
	if id, ok := storage.JobIDOf(key); ok {
		if f, _ := c.cache.FinalState(id); f == protocol.Cancelled {
			c.cancellations.digest.recorded.add(version, id)
		}
	}
}

// finished tells whether nothing of a job is wanted any more: it has its final state, or a peer has told
// that it is cancelled, which is committed, confirmed and never taken back.
func (t *cancellationTracker) finished(job *storage.Job) bool {
	if !job.Open() {
		return true
	}
	_, gossiped := t.digest.gossiped[job.ID]
	return gossiped
}

// currentDigest is what this controller vouches for now, nil while it can't.
func (c *Controller) currentDigest(now time.Time) *protocol.CancellationDigest {
	if !c.follower.loaded || c.Frames < protocol.FramesCancellationDigest {
		return nil
	}
	return &protocol.CancellationDigest{At: now.UnixMilli(), ProcessStart: c.session.startedAt.UnixMilli(), From: c.cancellations.digest.recorded.from, Cancellations: slices.Clone(c.cancellations.digest.recorded.list)}
}

// CancellationDigest is what this controller vouches for to another, if that one reads it. Of what is listed the
// other has read all up to a revision that it has told of itself.
func (c *Controller) CancellationDigest(node string) (protocol.CancellationDigest, bool) {
	cancellationDigest := c.summary.digest.Load()
	reads := c.summary.digestReaders.Load()
	if cancellationDigest == nil || reads == nil {
		return protocol.CancellationDigest{}, false
	}
	has, ok := (*reads)[node]
	if !ok {
		return protocol.CancellationDigest{}, false
	}
	out := *cancellationDigest
	if has > out.From {
		out.From = has
		out.Cancellations = slices.DeleteFunc(slices.Clone(cancellationDigest.Cancellations), func(e protocol.Cancellation) bool { return e.Version <= has })
	}
	return out, true
}

// digestReaders are the controllers that read words, and how far each has told that its cache is.
func (c *Controller) digestReaders() *map[string]uint64 {
	out := map[string]uint64{}
	for name, n := range c.cache.Members {
		if name != c.cfg.MemberName && n.FrameLevel >= protocol.FramesCancellationDigest {
			out[name] = c.reachability.peers[name].heartbeat.Revision
		}
	}
	return &out
}

// ReceiveCancellationDigest takes another controller's word.
func (c *Controller) ReceiveCancellationDigest(node string, w protocol.CancellationDigest) {
	c.post(func() { c.applyDigest(node, w, time.Now()) })
}

func (c *Controller) applyDigest(node string, cancellationDigest protocol.CancellationDigest, now time.Time) {
	if !c.follower.loaded {
		return
	}
	fresh := false
	for _, e := range cancellationDigest.Cancellations {
		if e.Version > c.cache.Revision {
			_, known := c.cancellations.digest.gossiped[e.Job]
			c.cancellations.digest.gossiped[e.Job] = e.Version
			fresh = fresh || !known
		}
	}
	if fresh {
		c.log.Info("told of cancellations", "by", node, "jobs", len(cancellationDigest.Cancellations))
		c.terminateGossiped()
	}
	// What a process before this one of the same name had confirmed, nobody vouches for: only a
	// reading after this one began shows it. And a list that begins after this controller's cache has a gap.
	off := 2 * time.Duration(c.cfg.Deployment.ClockSkewMs*float64(time.Millisecond))
	since := func(ms int64) time.Time { return now.Add(-time.Duration(now.UnixMilli()-ms) * time.Millisecond) }
	if since(cancellationDigest.ProcessStart).Add(off).After(c.follower.cacheCurrentAt) || cancellationDigest.From > c.cache.Revision {
		return
	}
	// It may have been held up on its way: it vouches for what was before it was said.
	if at := minTime(now, since(cancellationDigest.At).Add(-off)); at.After(c.cancellations.digest.vouchedUntil[node]) {
		c.cancellations.digest.vouchedUntil[node] = at
	}
}

// terminateGossiped has the tasks of jobs that peers tell to be cancelled stopped on this controller's machines.
func (c *Controller) terminateGossiped() {
	for id := range c.cancellations.digest.gossiped {
		if j := c.cache.Job(id); j != nil {
			c.terminateJob(j)
		}
	}
}

// dropReadCancellations forgets what the records show by now.
func (c *Controller) dropReadCancellations() {
	for id, v := range c.cancellations.digest.gossiped {
		if v <= c.cache.Revision {
			delete(c.cancellations.digest.gossiped, id)
		}
	}
}

// cancellationsKnownAt is until when this controller knows every cancellation that any controller has confirmed.
func (c *Controller) cancellationsKnownAt(now time.Time) time.Time {
	all := now
	others := func(name string) {
		if name != c.cfg.MemberName {
			all = minTime(all, c.cancellations.digest.vouchedUntil[name])
		}
	}
	for _, k := range c.cfg.Known {
		others(k.MemberName)
	}
	for name := range c.cache.Members {
		others(name)
	}
	return maxTime(c.follower.cacheCurrentAt, all)
}

// mayRenewLeases tells whether this controller knows enough to renew a worker's lease: every cancellation that was
// confirmed until some time ago. One that it does not know was confirmed after that, so the last
// lease that it renews ends within cancel_s of it. A controller that has read no records goes by its start.
func (c *Controller) mayRenewLeases(now time.Time) bool {
	w := c.cfg.Deployment.Workers
	if !c.follower.loaded {
		return now.Sub(c.cancellations.unverified.since) <= unverifiedRenewalWindow(w)
	}
	return now.Sub(c.cancellationsKnownAt(now)) <= maxKnowledgeAge(w)
}

// answerRenewal answers a worker's heartbeat, which renews its lease: every such answer passes here. Whoever
// does not know enough for it sends the worker on, to a controller that may.
func (c *Controller) answerRenewal(machine string, a protocol.HeartbeatResponse, reply func(int, any)) {
	now := time.Now()
	if c.mayRenewLeases(now) {
		reply(200, a)
		return
	}
	c.metrics.uncertainHeartbeats.Inc()
	c.log.Debug("no renewal: what was cancelled lately is not known", "machine", machine, "known", now.Sub(c.cancellationsKnownAt(now)).Seconds())
	reply(503, errNotOwner)
}

// maxKnowledgeAge is how old a controller's knowledge of what was cancelled may be when it renews a lease.
func maxKnowledgeAge(w config.Workers) time.Duration {
	return seconds(w.CancelS-w.LeaseS) - leaseMargin
}

// unverifiedRenewalWindow is how long after its start a controller that has read no records may renew leases; not at all
// if it is not above 0. A worker whose lease still runs was answered at most lease_s before by a controller that
// knew its records, and that had stopped what was cancelled until then. What it could not stop was
// cancelled later, and must be gone within cancel_s of that. An end of all controllers while one of them
// renewed without knowing all is what this leaves open: see "Known and open" in docs/ROADMAP.md.
func unverifiedRenewalWindow(w config.Workers) time.Duration {
	return seconds(w.CancelS-2*w.LeaseS) - leaseMargin
}
