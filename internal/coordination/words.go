package coordination

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what a node knows of cancellations, and until when it knows all of them. Whoever
// renews a worker's lease must: see knows. A node knows by its own reading of the state service
// while it is served; in an outage by the word of every other process, that it has confirmed nothing
// which this node does not know. A word tells the cancellations themselves, so that more than
// one node knows of each, and owners stop the tasks by themselves.

// ended are the cancellations that a node knows of, by their records' versions, the earliest first.
type ended struct {
	from uint64 // all of later records are listed
	list []protocol.Ended
}

// note takes a cancelled job's record.
func (e *ended) note(version uint64, job string) {
	if version <= e.from || len(job) > protocol.MaxEndedName {
		e.from = max(e.from, version) // it can't be listed: no word may say that all before are
		return
	}
	i, _ := slices.BinarySearchFunc(e.list, version, func(x protocol.Ended, v uint64) int { return cmp.Compare(x.Version, v) })
	for k := i; k < len(e.list) && e.list[k].Version == version; k++ {
		if e.list[k].Job == job {
			return
		}
	}
	e.list = slices.Insert(e.list, i, protocol.Ended{Version: version, Job: job})
	// Those of one record go together: a reader of some of them would think it knew all.
	for len(e.list) > protocol.MaxEnded {
		e.from = e.list[0].Version
		e.list = slices.DeleteFunc(e.list, func(x protocol.Ended) bool { return x.Version <= e.from })
	}
}

// words is what this node has heard of others' cancellations.
type words struct {
	own   ended
	told  map[string]uint64    // cancelled, peers say, by a record of that version: not read yet
	heard map[string]time.Time // by node: all that it had confirmed until then is known here
}

// noteEnded notes a job's record if it says that the job is cancelled.
func (c *Controller) noteEnded(key string, version uint64) {
	if id, ok := storage.JobOf(key); ok {
		if f, _ := c.cache.FinalState(id); f == protocol.Cancelled {
			c.words.own.note(version, id)
		}
	}
}

// over tells whether nothing of a job is wanted any more: it has its final state, or a peer has told
// that it is cancelled, which is committed, confirmed and never taken back.
func (c *Controller) over(j *storage.Job) bool {
	if !j.Open() {
		return true
	}
	_, told := c.words.told[j.ID]
	return told
}

// word is what this node vouches for now, nil while it can't.
func (c *Controller) word(now time.Time) *protocol.Word {
	if !c.loaded || c.Frames < protocol.FramesWord {
		return nil
	}
	return &protocol.Word{At: now.UnixMilli(), Born: c.startedAt.UnixMilli(), From: c.words.own.from, Ended: slices.Clone(c.words.own.list)}
}

// Word is what this node vouches for to another, if that one reads it. Of what is listed the
// other has read all up to a revision that it has told of itself.
func (c *Controller) Word(node string) (protocol.Word, bool) {
	w := c.summary.digest.Load()
	reads := c.summary.digestReaders.Load()
	if w == nil || reads == nil {
		return protocol.Word{}, false
	}
	has, ok := (*reads)[node]
	if !ok {
		return protocol.Word{}, false
	}
	out := *w
	if has > out.From {
		out.From = has
		out.Ended = slices.DeleteFunc(slices.Clone(w.Ended), func(e protocol.Ended) bool { return e.Version <= has })
	}
	return out, true
}

// digestReaders are the nodes that read words, and how far each has told that its cache is.
func (c *Controller) digestReaders() *map[string]uint64 {
	out := map[string]uint64{}
	for name, n := range c.cache.Members {
		if name != c.cfg.MemberName && n.FrameLevel >= protocol.FramesWord {
			out[name] = c.peers[name].heartbeat.Revision
		}
	}
	return &out
}

// HearWord takes another node's word.
func (c *Controller) HearWord(node string, w protocol.Word) {
	c.post(func() { c.hearWord(node, w, time.Now()) })
}

func (c *Controller) hearWord(node string, w protocol.Word, now time.Time) {
	if !c.loaded {
		return
	}
	fresh := false
	for _, e := range w.Ended {
		if e.Version > c.cache.Revision {
			_, known := c.words.told[e.Job]
			c.words.told[e.Job] = e.Version
			fresh = fresh || !known
		}
	}
	if fresh {
		c.log.Info("told of cancellations", "by", node, "jobs", len(w.Ended))
		c.stopTold()
	}
	// What a process before this one of the same name had confirmed, nobody vouches for: only a
	// reading after this one began shows it. And a list that begins after this node's cache has a gap.
	off := 2 * time.Duration(c.cfg.Deployment.ClockOffMs*float64(time.Millisecond))
	since := func(ms int64) time.Time { return now.Add(-time.Duration(now.UnixMilli()-ms) * time.Millisecond) }
	if since(w.Born).Add(off).After(c.cacheCurrentAt) || w.From > c.cache.Revision {
		return
	}
	// It may have been held up on its way: it vouches for what was before it was said.
	if at := earliest(now, since(w.At).Add(-off)); at.After(c.words.heard[node]) {
		c.words.heard[node] = at
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stopTold has the tasks of jobs that peers tell to be cancelled stopped on this node's machines.
func (c *Controller) stopTold() {
	for id := range c.words.told {
		if j := c.cache.Job(id); j != nil {
			c.nudgeJob(j)
		}
	}
}

// readWords forgets what the records show by now.
func (c *Controller) readWords() {
	for id, v := range c.words.told {
		if v <= c.cache.Revision {
			delete(c.words.told, id)
		}
	}
}

// knownAt is until when this node knows every cancellation that any node has confirmed.
func (c *Controller) knownAt(now time.Time) time.Time {
	all := now
	others := func(name string) {
		if name != c.cfg.MemberName {
			all = earliest(all, c.words.heard[name])
		}
	}
	for _, k := range c.cfg.Known {
		others(k.MemberName)
	}
	for name := range c.cache.Members {
		others(name)
	}
	return maxTime(c.cacheCurrentAt, all)
}

// knows tells whether this node knows enough to renew a worker's lease: every cancellation that was
// confirmed until some time ago. One that it does not know was confirmed after that, so the last
// lease that it renews ends within cancel_s of it. A node that has read no records goes by its start.
func (c *Controller) knows(now time.Time) bool {
	w := c.cfg.Deployment.Workers
	if !c.loaded {
		return now.Sub(c.blind.since) <= blindFor(w)
	}
	return now.Sub(c.knownAt(now)) <= staleFor(w)
}

// renew answers a worker's report, which renews its lease: every such answer passes here. Whoever
// does not know enough for it sends the worker on, to a node that may.
func (c *Controller) renew(machine string, a protocol.ReportAnswer, reply func(int, any)) {
	now := time.Now()
	if c.knows(now) {
		reply(200, a)
		return
	}
	c.metrics.unsure.Inc()
	c.log.Debug("no renewal: what was cancelled lately is not known", "machine", machine, "known", now.Sub(c.knownAt(now)).Seconds())
	reply(503, notMine)
}

// staleFor is how old a node's knowledge of what was cancelled may be when it renews a lease.
func staleFor(w config.Workers) time.Duration {
	return seconds(w.CancelS-w.LeaseS) - leaseMargin
}

// blindFor is how long after its start a node that has read no records may renew leases; not at all
// if it is not above 0. A worker whose lease still runs was answered at most lease_s before by a node that
// knew its records, and that had stopped what was cancelled until then. What it could not stop was
// cancelled later, and must be gone within cancel_s of that. An end of all nodes while one of them
// renewed without knowing all is what this leaves open: see "Known and open" in docs/ROADMAP.md.
func blindFor(w config.Workers) time.Duration {
	return seconds(w.CancelS-2*w.LeaseS) - leaseMargin
}
