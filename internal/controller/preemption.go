package controller

import (
	"slices"
	"strings"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	borrowTimeout = 700 * time.Millisecond // how long the leader has to bring free machines
)

// planPreemptions adds at most one evicted set to a transaction, and drops the
// records of sets that have served.
func (c *Controller) planPreemptions(now time.Time, b *txnBuilder, in *schedule.Input, res schedule.Result, ops int, left map[int32][]storage.PlacedTask) {
	for id, e := range c.cache.VictimSets {
		if ops <= 0 {
			return
		}
		if !c.ownsShard(e.Shard) {
			continue
		}
		if c.victimSetServed(id, e) {
			key := storage.VictimSetKey(id)
			b.put(key, e.Version, protocol.Change{Delete: key})
			ops--
		}
	}
	if ops <= 0 {
		return
	}
	jobs := make([]*storage.Job, 0, len(res.Short))
	until := c.claimsUntil()
	for j := range res.Short {
		if !c.mayPreempt(j, in, until) {
			continue
		}
		jobs = append(jobs, j)
		if jv := c.jobState(j); jv.shortSince.IsZero() {
			jv.shortSince = now
		}
	}
	slices.SortFunc(jobs, func(a, b *storage.Job) int {
		if a.Priority != b.Priority {
			return int(b.Priority) - int(a.Priority)
		}
		return a.ReadyAt.Compare(b.ReadyAt)
	})
	type asker struct { // what decides whose tasks may be evicted for a job
		team, zone      int
		priority        protocol.Priority
		spot            bool
		withinGuarantee bool
	}
	inVain := map[asker]bool{}
	for _, j := range jobs {
		a := asker{j.Team, j.Zone, j.Priority, j.Spot, claims(j, in, until)}
		if inVain[a] && len(j.Types) == 0 {
			continue // nothing may be evicted for its like
		}
		jv := c.jobState(j)
		if c.cache.VictimSets[j.ID] != nil || now.Before(jv.backoff) || c.suspect(j) {
			continue // its last set is still being worked off, or it fails everywhere
		}
		if now.Sub(jv.shortSince) < borrowTimeout && c.othersHaveFree(j) {
			continue // free machines of other shards come first
		}
		cands := c.preemptionCandidates(now, j, in, left, until)
		if len(cands) == 0 {
			inVain[a] = inVain[a] || len(j.Types) == 0
			continue
		}
		schedule.RankCandidates(c.alpha, cands)
		chosen := schedule.PreemptSoonest(j, res.Short[j], in.Slots, cands)
		chosen = c.fitRecord(chosen)
		if len(chosen) == 0 {
			continue
		}
		c.recordEviction(now, b, j, chosen, in, res.Short[j])
		return
	}
}

// victimSetServed tells whether an evicted set has served: its victims are gone, and the job that it made room for has it, or is
// over. One for a team's limit makes room for none.
func (c *Controller) victimSetServed(id string, e *storage.VictimSet) bool {
	if _, forLimit := limitSetTeam(id); forLimit {
		return c.victimsGone(e)
	}
	j := c.cache.Job(id)
	return j == nil || !j.Open() || c.victimsGone(e) && (j.Waiting() == 0 || c.roomUsed(e, j))
}

// startsSooner tells whether a top-priority job may leave free room alone since room that it evicts serves
// it sooner. It may do so for a short while only: where no eviction comes of it, what is free is taken.
func (c *Controller) startsSooner(j *storage.Job, now time.Time) bool {
	if !j.Priority.Top() || c.suspect(j) {
		return false
	}
	jv := c.jobState(j)
	if now.Sub(jv.hopesSince) > hopeAgain {
		jv.hopesSince = now
	}
	return now.Sub(jv.hopesSince) < hopeFor
}

const (
	hopeFor   = 6 * time.Second
	hopeAgain = 40 * time.Second
)

// victimBytes is what a victim takes in an evicted set's record, at most.
const (
	victimBytes       = 130
	victimBytesPacked = 24
)

// fitRecord keeps as many of the chosen candidates as one record can name. A job
// that needs more evicts again once this set has been worked off.
func (c *Controller) fitRecord(chosen []schedule.Candidate) []schedule.Candidate {
	each := victimBytes
	if c.cache.Packed() {
		each = victimBytesPacked
	}
	left := c.valueLimit() * 8 / 10 / each
	for i, x := range chosen {
		if left -= len(x.Victims); left < 0 {
			return chosen[:i]
		}
	}
	return chosen
}

// mayPreempt: a top-priority job may, one that fits into its team's guarantee along
// with the team's earlier unfinished jobs, and any but the lowest for idle-time work.
func (c *Controller) mayPreempt(j *storage.Job, in *schedule.Input, until []time.Time) bool {
	return j.Priority.Top() || (j.Priority > protocol.Low && c.idleWorkPlaced) || claims(j, in, until)
}

// claims tells whether a job may evict for its team's guarantee: it fits into that along
// with the team's earlier unfinished jobs. A team with more than that has to wait like
// others: evicting for it would only swap losses.
func claims(j *storage.Job, in *schedule.Input, until []time.Time) bool {
	return schedule.WithinGuarantee(in.Teams[j.Team], in.Used[j.Team], j) && !j.ReadyAt.After(until[j.Team])
}

// claimsUntil is by team up to which time its unfinished jobs, the earliest first, fit into its
// guarantee together. It is worked out once a pass: hundreds of jobs that are short of room
// each added up all jobs before them.
func (c *Controller) claimsUntil() []time.Time {
	until := make([]time.Time, len(c.cache.Teams))
	open := make([][]*storage.Job, len(c.cache.Teams))
	for _, j := range c.cache.Jobs {
		if j != nil && j.Open() && j.Ready() {
			if t := &c.cache.Teams[j.Team]; t.Cpus > 0 || t.Gpus > 0 {
				open[j.Team] = append(open[j.Team], j)
			}
		}
	}
	for team, jobs := range open {
		slices.SortFunc(jobs, func(a, b *storage.Job) int { return a.ReadyAt.Compare(b.ReadyAt) })
		t := &c.cache.Teams[team]
		var need storage.Usage
		for i, j := range jobs {
			need.Add(j, float64(j.Tasks-j.DoneCount))
			if need.Cpus > t.Cpus || need.Gpus > t.Gpus {
				break
			}
			if i+1 == len(jobs) || jobs[i+1].ReadyAt.After(j.ReadyAt) {
				until[team] = j.ReadyAt // all that came at the same time fit too
			}
		}
	}
	return until
}

func (c *Controller) victimsGone(e *storage.VictimSet) bool {
	for _, x := range e.Victims {
		m := c.cache.Machine(x.Machine)
		if m == nil {
			continue
		}
		for _, p := range m.Tasks {
			if p.Attempt == x.Attempt && p.Task == x.Task && p.Job.ID == x.Job {
				return false
			}
		}
	}
	return true
}

// slotsLeft is how much of the room that a set freed on a machine its job has not taken.
func slotsLeft(e *storage.VictimSet, r storage.ReservationRecord, j *storage.Job, m *storage.Machine) int {
	n := r.Slots
	for _, p := range m.Tasks {
		if p.Job == j && p.Attempt > e.Version {
			n--
		}
	}
	return n
}

// roomUsed tells whether all room that a set freed is taken by its job, or lost.
func (c *Controller) roomUsed(e *storage.VictimSet, j *storage.Job) bool {
	for _, r := range e.Reservations {
		m := c.cache.Machine(r.Machine)
		if m == nil || m.Returning || m.Shard != e.Shard {
			continue
		}
		if v := c.workerStates[m.Index]; v != nil && !c.usable(m, v, time.Now()) {
			continue
		}
		if slotsLeft(e, r, j, m) > 0 {
			return false
		}
	}
	return true
}

// othersHaveFree tells whether other shards have empty machines that would do.
func (c *Controller) othersHaveFree(j *storage.Job) bool {
	for _, m := range c.cache.Machines {
		if !m.Gone && !m.Returning && m.Shard != j.Shard && len(m.Tasks) == 0 && schedule.Allowed(j, m) {
			return true
		}
	}
	return false
}

// preemptionCandidates are the tasks that may be evicted for a job: best-effort work for a
// top-priority job, for a team below its guarantee whatever another team runs
// beyond its own, and idle-time work for any other.
func (c *Controller) preemptionCandidates(now time.Time, j *storage.Job, in *schedule.Input, left map[int32][]storage.PlacedTask, until []time.Time) []schedule.Candidate {
	var out []schedule.Candidate
	services := map[*storage.Job]int{}
	claim := !j.Priority.Top() && claims(j, in, until)
	excess := make([]storage.Usage, len(in.Used)) // by team, beyond its guarantee
	for t, u := range in.Used {
		excess[t] = storage.Usage{Cpus: u.Cpus - in.Teams[t].Cpus, Gpus: u.Gpus - in.Teams[t].Gpus}
	}
	for _, s := range in.Slots {
		if !schedule.Allowed(j, s.Machine) {
			continue
		}
		v := c.workerState(s.Machine)
		tasks := s.Machine.Tasks
		if l, ok := left[s.Machine.Index]; ok {
			tasks = l
		}
		for _, p := range tasks {
			q := p.Job
			over := q.Team != j.Team && (excess[q.Team].Cpus >= q.Cpus || q.Gpus > 0 && excess[q.Team].Gpus >= q.Gpus)
			if !(j.Priority.Top() && !q.Priority.Top()) && !(claim && over) && !(j.Priority > q.Priority && c.isIdleWork(q, now)) {
				continue
			}
			if !q.Open() || p.Attempt >= c.nextRevision() || c.cache.IsVictim(p) {
				continue // it goes anyway, or only starts with this transaction
			}
			if over && claim {
				excess[q.Team].Add(q, -1)
			}
			ran := lossOf(v, p, now)
			vic := schedule.Victim{Slot: s, Job: q, Task: p.Task, Attempt: p.Attempt}
			if q.Shape == protocol.Service {
				if i, ok := services[q]; ok {
					out[i].Victims = append(out[i].Victims, vic)
					out[i].Lost += ran
					out[i].Waited = max(out[i].Waited, float64(p.WaitedS))
					continue
				}
				services[q] = len(out)
			}
			out = append(out, schedule.Candidate{Victims: []schedule.Victim{vic}, Lost: ran, Waited: float64(p.WaitedS), SubmittedAt: q.ReadyAt, TopPriority: q.Priority.Top()})
		}
	}
	return out
}

// lossOf is how many seconds of a task's run would be lost if it were stopped now: since its start or its last checkpoint.
func lossOf(v *workerState, p storage.PlacedTask, now time.Time) float64 {
	ref, ran := dispatch.RefOf(p), 0.0
	if at, ok := v.started[ref]; ok {
		ran = now.Sub(at).Seconds()
	} else if _, ok := v.Seen[ref]; !ok {
		ran = max(0, float64(now.Unix()-p.PlacedAt))
	}
	if p.Job.CheckpointInterval > 0 {
		for ran >= p.Job.CheckpointInterval {
			ran -= p.Job.CheckpointInterval
		}
	}
	return ran
}

// recordEviction writes the whole set as one record, before any stop goes out.
func (c *Controller) recordEviction(now time.Time, b *txnBuilder, j *storage.Job, chosen []schedule.Candidate, in *schedule.Input, short int) {
	e := storage.VictimSetRecord{Shard: j.Shard, AtMs: now.UnixMilli()}
	freed := map[*schedule.Slot]storage.Usage{}
	most := 4*c.limits().TxnOps - 2 - c.cache.NumShards // conditions that a transaction may have
	for _, cand := range chosen {
		for _, v := range cand.Victims {
			e.Victims = append(e.Victims, storage.VictimRecord{Machine: v.Slot.Machine.Name, Job: v.Job.ID,
				Task: v.Task, Attempt: v.Attempt, Score: float64(int(cand.Score*10)) / 10})
			f, ok := freed[v.Slot]
			if !ok {
				f = schedule.FreeFor(v.Slot, j)
			}
			f.Cpus, f.Gpus, f.Mem = f.Cpus+v.Job.Cpus, f.Gpus+v.Job.Gpus, f.Mem+v.Job.Mem
			freed[v.Slot] = f
			k := v.Slot.Machine.Group
			key := storage.GroupKey(k.ID)
			// That the victims are still there is checked as far as the conditions reach.
			// One that has ended meanwhile does no harm: its stop finds nothing.
			if _, ok := b.conditions[key]; ok || len(b.conditions) < most {
				b.require(key, k.Version)
			}
		}
	}
	for s, f := range freed {
		if n := min(short, schedule.Fits(f, j)); n > 0 {
			e.Reservations = append(e.Reservations, storage.ReservationRecord{Machine: s.Machine.Name, Slots: n})
			short -= n
		}
	}
	slices.SortFunc(e.Reservations, func(a, b storage.ReservationRecord) int { return strings.Compare(a.Machine, b.Machine) })
	jv := c.jobState(j)
	jv.preemptedTasks += len(e.Victims)
	c.log.Info("evicting", "job", j.ID, "victims", len(e.Victims), "slots", len(e.Reservations), "share", j.Shard)
	key := storage.VictimSetKey(j.ID)
	b.require(storage.JobKey(j.ID), j.Version)
	raw := storage.EncodeVictimSet(&e, c.cache.Packed())
	if len(raw) > c.valueLimit() {
		c.log.Error("evicted set does not fit its record", "job", j.ID, "victims", len(e.Victims), "bytes", len(raw))
		return
	}
	b.put(key, 0, protocol.Change{Put: key, Value: raw})
}
