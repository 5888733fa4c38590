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
func (c *Controller) planPreemptions(now time.Time, builder *txnBuilder, input *schedule.Input, res schedule.Result, ops int, left map[int32][]storage.PlacedTask) {
	for id, e := range c.cache.VictimSets {
		if ops <= 0 {
			return
		}
		if !c.ownsShard(e.Shard) {
			continue
		}
		if c.victimSetServed(id, e) {
			key := storage.VictimSetKey(id)
			builder.put(key, e.Version, protocol.Change{Delete: key})
			ops--
		}
	}
	if ops <= 0 {
		return
	}
	jobs := make([]*storage.Job, 0, len(res.Short))
	until := c.claimsUntil()
	for j := range res.Short {
		if !c.mayPreempt(j, input, until) {
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
	for _, job := range jobs {
		controllerAsker := asker{job.Team, job.Zone, job.Priority, job.Spot, claims(job, input, until)}
		if inVain[controllerAsker] && len(job.Types) == 0 {
			continue // nothing may be evicted for its like
		}
		jobState := c.jobState(job)
		if c.cache.VictimSets[job.ID] != nil || now.Before(jobState.backoff) || c.suspect(job) {
			continue // its last set is still being worked off, or it fails everywhere
		}
		if now.Sub(jobState.shortSince) < borrowTimeout && c.othersHaveFree(job) {
			continue // free machines of other shards come first
		}
		cands := c.preemptionCandidates(now, job, input, left, until)
		if len(cands) == 0 {
			inVain[controllerAsker] = inVain[controllerAsker] || len(job.Types) == 0
			continue
		}
		schedule.RankCandidates(c.planner.alpha, cands)
		chosen := schedule.PreemptSoonest(job, res.Short[job], input.Slots, cands)
		chosen = c.fitRecord(chosen)
		if len(chosen) == 0 {
			continue
		}
		c.recordEviction(now, builder, job, chosen, input, res.Short[job])
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
	return j.Priority.Top() || (j.Priority > protocol.Low && c.planner.idleWorkPlaced) || claims(j, in, until)
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

func (c *Controller) victimsGone(victimSet *storage.VictimSet) bool {
	for _, x := range victimSet.Victims {
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
func (c *Controller) roomUsed(victimSet *storage.VictimSet, job *storage.Job) bool {
	for _, r := range victimSet.Reservations {
		m := c.cache.Machine(r.Machine)
		if m == nil || m.Returning || m.Shard != victimSet.Shard {
			continue
		}
		if v := c.workers.states[m.Index]; v != nil && !c.usable(m, v, time.Now()) {
			continue
		}
		if slotsLeft(victimSet, r, job, m) > 0 {
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
func (c *Controller) preemptionCandidates(now time.Time, job *storage.Job, input *schedule.Input, left map[int32][]storage.PlacedTask, until []time.Time) []schedule.Candidate {
	var out []schedule.Candidate
	services := map[*storage.Job]int{}
	claim := !job.Priority.Top() && claims(job, input, until)
	excess := make([]storage.Usage, len(input.Used)) // by team, beyond its guarantee
	for t, u := range input.Used {
		excess[t] = storage.Usage{Cpus: u.Cpus - input.Teams[t].Cpus, Gpus: u.Gpus - input.Teams[t].Gpus}
	}
	for _, slot := range input.Slots {
		if !schedule.Allowed(job, slot.Machine) {
			continue
		}
		worker := c.workerState(slot.Machine)
		tasks := slot.Machine.Tasks
		if l, ok := left[slot.Machine.Index]; ok {
			tasks = l
		}
		for _, placed := range tasks {
			other := placed.Job
			over := other.Team != job.Team && (excess[other.Team].Cpus >= other.Cpus || other.Gpus > 0 && excess[other.Team].Gpus >= other.Gpus)
			if !(job.Priority.Top() && !other.Priority.Top()) && !(claim && over) && !(job.Priority > other.Priority && c.isIdleWork(other, now)) {
				continue
			}
			if !other.Open() || placed.Attempt >= c.nextRevision() || c.cache.IsVictim(placed) {
				continue // it goes anyway, or only starts with this transaction
			}
			if over && claim {
				excess[other.Team].Add(other, -1)
			}
			ran := lossOf(worker, placed, now)
			vic := schedule.Victim{Slot: slot, Job: other, Task: placed.Task, Attempt: placed.Attempt}
			if other.Shape == protocol.Service {
				if i, ok := services[other]; ok {
					out[i].Victims = append(out[i].Victims, vic)
					out[i].Lost += ran
					out[i].Waited = max(out[i].Waited, float64(placed.WaitedS))
					continue
				}
				services[other] = len(out)
			}
			out = append(out, schedule.Candidate{Victims: []schedule.Victim{vic}, Lost: ran, Waited: float64(placed.WaitedS), SubmittedAt: other.ReadyAt, TopPriority: other.Priority.Top()})
		}
	}
	return out
}

// lossOf is how many seconds of a task's run would be lost if it were stopped now: since its start or its last checkpoint.
func lossOf(worker *workerState, placed storage.PlacedTask, now time.Time) float64 {
	ref, ran := dispatch.RefOf(placed), 0.0
	if at, ok := worker.started[ref]; ok {
		ran = now.Sub(at).Seconds()
	} else if _, ok := worker.Seen[ref]; !ok {
		ran = max(0, float64(now.Unix()-placed.PlacedAt))
	}
	if placed.Job.CheckpointInterval > 0 {
		for ran >= placed.Job.CheckpointInterval {
			ran -= placed.Job.CheckpointInterval
		}
	}
	return ran
}

// recordEviction writes the whole set as one record, before any stop goes out.
func (c *Controller) recordEviction(now time.Time, builder *txnBuilder, job *storage.Job, chosen []schedule.Candidate, input *schedule.Input, short int) {
	victimSetRecord := storage.VictimSetRecord{Shard: job.Shard, AtMs: now.UnixMilli()}
	freed := map[*schedule.Slot]storage.Usage{}
	most := 4*c.limits().TxnOps - 2 - c.cache.NumShards // conditions that a transaction may have
	for _, cand := range chosen {
		for _, victim := range cand.Victims {
			victimSetRecord.Victims = append(victimSetRecord.Victims, storage.VictimRecord{Machine: victim.Slot.Machine.Name, Job: victim.Job.ID,
				Task: victim.Task, Attempt: victim.Attempt, Score: float64(int(cand.Score*10)) / 10})
			usage, ok := freed[victim.Slot]
			if !ok {
				usage = schedule.FreeFor(victim.Slot, job)
			}
			usage.Cpus, usage.Gpus, usage.Mem = usage.Cpus+victim.Job.Cpus, usage.Gpus+victim.Job.Gpus, usage.Mem+victim.Job.Mem
			freed[victim.Slot] = usage
			k := victim.Slot.Machine.Group
			key := storage.GroupKey(k.ID)
			// That the victims are still there is checked as far as the conditions reach.
			// One that has ended meanwhile does no harm: its stop finds nothing.
			if _, ok := builder.conditions[key]; ok || len(builder.conditions) < most {
				builder.require(key, k.Version)
			}
		}
	}
	for s, f := range freed {
		if n := min(short, schedule.Fits(f, job)); n > 0 {
			victimSetRecord.Reservations = append(victimSetRecord.Reservations, storage.ReservationRecord{Machine: s.Machine.Name, Slots: n})
			short -= n
		}
	}
	slices.SortFunc(victimSetRecord.Reservations, func(a, b storage.ReservationRecord) int { return strings.Compare(a.Machine, b.Machine) })
	jv := c.jobState(job)
	jv.preemptedTasks += len(victimSetRecord.Victims)
	c.log.Info("evicting", "job", job.ID, "victims", len(victimSetRecord.Victims), "slots", len(victimSetRecord.Reservations), "share", job.Shard)
	key := storage.VictimSetKey(job.ID)
	builder.require(storage.JobKey(job.ID), job.Version)
	raw := storage.EncodeVictimSet(&victimSetRecord, c.cache.Packed())
	if len(raw) > c.valueLimit() {
		c.log.Error("evicted set does not fit its record", "job", job.ID, "victims", len(victimSetRecord.Victims), "bytes", len(raw))
		return
	}
	builder.put(key, 0, protocol.Change{Put: key, Value: raw})
}
