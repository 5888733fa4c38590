package controller

import (
	"slices"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// rebalanceGracePeriod is how long a job lacks capacity before it preempts, if other shards
	// have free machines that it may use: the leader can move these to the job's shard meanwhile. It is
	// longer than the default interval between rebalancing passes.
	rebalanceGracePeriod = 700 * time.Millisecond
	// A top-priority job may leave free capacity unused for preemptionWait, at most once in
	// preemptionWaitInterval: between two waits it takes the free capacity, so that it does not wait
	// forever for a preemption that never comes.
	preemptionWait         = 6 * time.Second
	preemptionWaitInterval = 40 * time.Second
)

// preemptionClass groups jobs that have the same preemption candidates, unless a job requires
// certain machine types.
type preemptionClass struct {
	team, zone      int
	priority        protocol.Priority
	spot            bool
	withinGuarantee bool
}

// planPreemptions deletes the records of victim sets that are finished, and adds at most one new
// victim set to the transaction.
func (c *Controller) planPreemptions(now time.Time, planned *plannedTxn, input *schedule.Input, result schedule.Result) {
	opsLeft := c.deleteFinishedVictimSets(planned, planned.opsLeft())
	if opsLeft <= 0 {
		return
	}
	cutoffs := c.guaranteeCutoffs()
	jobs := c.jobsShortOfCapacity(now, input, result, cutoffs)
	withoutCandidates := map[preemptionClass]bool{} // classes without preemption candidates
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
		chosen := c.truncateToRecordLimit(schedule.PreemptSoonest(job, result.UnplacedTasks[job], input.Slots, candidates))
		if len(chosen) > 0 {
			delaying := schedule.DelayingFetches(job, chosen, candidates)
			c.putVictimSet(now, planned.txnBuilder, job, chosen, delaying, result.UnplacedTasks[job])
			return
		}
	}
}

// deleteFinishedVictimSets deletes the records of victim sets that are finished, with at most
// opsLeft changes. It returns the number of changes left.
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

// jobsShortOfCapacity returns the jobs that lack capacity and may preempt, by descending priority
// and then by the time at which they became ready. It also records since when each of them has
// lacked capacity.
func (c *Controller) jobsShortOfCapacity(now time.Time, input *schedule.Input, result schedule.Result, cutoffs []time.Time) []*storage.Job {
	jobs := make([]*storage.Job, 0, len(result.UnplacedTasks))
	for job := range result.UnplacedTasks {
		if !c.mayPreempt(job, input, cutoffs) {
			continue
		}
		jobs = append(jobs, job)
		if state := c.jobState(job); state.capacityShortSince.IsZero() {
			state.capacityShortSince = now
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

// mayPreemptNow reports whether a job that may preempt can do so now: it has no unfinished victim
// set, is not in backoff and not suspected of failing on every machine, and the leader has had time
// to move free machines of other shards, if there are any.
func (c *Controller) mayPreemptNow(job *storage.Job, now time.Time) bool {
	state := c.jobState(job)
	if c.cache.VictimSets[job.ID] != nil || now.Before(state.retryAt) || c.suspect(job) {
		return false
	}
	return now.Sub(state.capacityShortSince) >= rebalanceGracePeriod || !c.otherShardsHaveFreeMachine(job)
}

// otherShardsHaveFreeMachine reports whether other shards have empty machines that a job may use.
func (c *Controller) otherShardsHaveFreeMachine(job *storage.Job) bool {
	for _, machine := range c.cache.Machines {
		if !machine.Gone && !machine.Returning && machine.Shard != job.Shard && len(machine.Tasks) == 0 && schedule.Allowed(job, machine) {
			return true
		}
	}
	return false
}

// mayWaitForPreemption reports whether a top-priority job may leave free capacity unused because it
// would start sooner on preempted capacity. This holds for a short time only, so that the job takes
// the free capacity if no preemption follows.
func (c *Controller) mayWaitForPreemption(job *storage.Job, now time.Time) bool {
	if !job.Priority.IsTop() || c.suspect(job) {
		return false
	}
	state := c.jobState(job)
	if now.Sub(state.awaitingPreemptionSince) > preemptionWaitInterval {
		state.awaitingPreemptionSince = now
	}
	return now.Sub(state.awaitingPreemptionSince) < preemptionWait
}
