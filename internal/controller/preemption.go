package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// rebalanceGracePeriod is how long the leader has to bring free machines of other shards before a
	// job preempts.
	rebalanceGracePeriod = 700 * time.Millisecond
	// A top-priority job may leave free capacity alone for preemptionWait, at most once in hopeAgain.
	preemptionWait         = 6 * time.Second
	preemptionWaitInterval = 40 * time.Second
)

// preemptionClass is what decides whose tasks may be preempted for a job.
type preemptionClass struct {
	team, zone      int
	priority        protocol.Priority
	spot            bool
	withinGuarantee bool
}

// planPreemptions deletes the records of victim sets that have served, and adds at most one
// victim set to the transaction.
func (c *Controller) planPreemptions(now time.Time, planned *plannedTxn, input *schedule.Input, result schedule.Result) {
	opsLeft := c.deleteFinishedVictimSets(planned, planned.opsLeft())
	if opsLeft <= 0 {
		return
	}
	cutoffs := c.guaranteeCutoffs()
	jobs := c.jobsShortOfCapacity(now, input, result, cutoffs)
	withoutCandidates := map[preemptionClass]bool{} // classes for which there are no candidates
	for _, job := range jobs {
		class := preemptionClass{job.Team, job.Zone, job.Priority, job.Spot, mayPreemptForGuarantee(job, input, cutoffs)}
		if withoutCandidates[class] && len(job.Types) == 0 {
			continue
		}
		if !c.mayPreemptNow(job, now) {
			continue
		}
		candidates := c.preemptionCandidates(now, job, input, planned.remaining, cutoffs)
		if len(candidates) == 0 {
			withoutCandidates[class] = withoutCandidates[class] || len(job.Types) == 0
			continue
		}
		schedule.RankCandidates(c.planner.alpha, candidates)
		chosen := c.truncateToRecordLimit(schedule.PreemptSoonest(job, result.Short[job], input.Slots, candidates))
		if len(chosen) > 0 {
			c.putVictimSet(now, planned.txnBuilder, job, chosen, result.Short[job])
			return
		}
	}
}

// deleteFinishedVictimSets deletes the records of victim sets that have served, with at most opsLeft
// changes, and returns how many are left.
func (c *Controller) deleteFinishedVictimSets(planned *plannedTxn, opsLeft int) int {
	for id, set := range c.cache.VictimSets {
		if opsLeft <= 0 {
			break
		}
		if c.ownsShard(set.Shard) && c.victimSetFinished(id, set) {
			key := storage.VictimSetKey(id)
			planned.put(key, set.Version, protocol.Change{Delete: key})
			opsLeft--
		}
	}
	return opsLeft
}

// jobsShortOfCapacity are the jobs that lack capacity and may preempt, highest priority first
// and then the earliest; since when they lack it is noted.
func (c *Controller) jobsShortOfCapacity(now time.Time, input *schedule.Input, result schedule.Result, cutoffs []time.Time) []*storage.Job {
	jobs := make([]*storage.Job, 0, len(result.Short))
	for job := range result.Short {
		if !c.mayPreempt(job, input, cutoffs) {
			continue
		}
		jobs = append(jobs, job)
		if state := c.jobState(job); state.shortSince.IsZero() {
			state.shortSince = now
		}
	}
	slices.SortFunc(jobs, func(a, b *storage.Job) int {
		if a.Priority != b.Priority {
			return int(b.Priority) - int(a.Priority)
		}
		return a.ReadyAt.Compare(b.ReadyAt)
	})
	return jobs
}

// mayPreemptNow tells whether it is a job's time to preempt: its last victim set has served, it
// does not fail everywhere, and free machines of other shards have had their chance.
func (c *Controller) mayPreemptNow(job *storage.Job, now time.Time) bool {
	state := c.jobState(job)
	if c.cache.VictimSets[job.ID] != nil || now.Before(state.backoff) || c.suspect(job) {
		return false
	}
	return now.Sub(state.shortSince) >= rebalanceGracePeriod || !c.otherShardsHaveFreeMachine(job)
}

// otherShardsHaveFreeMachine tells whether other shards have empty machines that a job may use.
func (c *Controller) otherShardsHaveFreeMachine(job *storage.Job) bool {
	for _, machine := range c.cache.Machines {
		if !machine.Gone && !machine.Returning && machine.Shard != job.Shard && len(machine.Tasks) == 0 && schedule.Allowed(job, machine) {
			return true
		}
	}
	return false
}

// mayWaitForPreemption tells whether a top-priority job may leave free capacity alone since capacity
// that it preempts serves it sooner. It may do so for a short while only: where no preemption
// comes of it, what is free is taken.
func (c *Controller) mayWaitForPreemption(job *storage.Job, now time.Time) bool {
	if !job.Priority.Top() || c.suspect(job) {
		return false
	}
	state := c.jobState(job)
	if now.Sub(state.hopesSince) > preemptionWaitInterval {
		state.hopesSince = now
	}
	return now.Sub(state.hopesSince) < preemptionWait
}
