package controller

import (
	"cmp"
	"slices"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// maxDrainUsage is the used part of a machine below which it may be drained.
	maxDrainUsage = 0.6
	// minTaskAgeS is how many seconds a task must have been placed before it is moved off a
	// machine, so that it is not moved again and again.
	minTaskAgeS = 20
	// maxDrainFraction is the part of the fleet that may begin to drain in one pass.
	maxDrainFraction = 1.0 / 24
	// minDrainSurplus is how many whole machines a pool must have too many for one of them to be drained.
	minDrainSurplus = 1.5
	// restoreAfter is how long a job must have waited to be given a machine that is being drained:
	// others may be about to be up.
	restoreAfter = 20 * time.Second
)

// drainingState is what the leader knows of work that waits beside machines that are being drained.
type drainingState struct {
	// stuckSince is since when work has waited for which only drained machines have capacity.
	stuckSince time.Time
}

// drainCandidate is a machine that may be drained.
type drainCandidate struct {
	machine *storage.Machine
	used    float64 // part of its CPUs
}

// drainSurvey is what a pass over the machines tells about draining them.
type drainSurvey struct {
	fleetSize  int
	surplus    float64            // whole machines that are not needed, less those that are drained
	drained    []*storage.Machine // that are being drained
	candidates []drainCandidate
	waiting    float64 // CPUs of waiting work beyond what is free on the other machines
	stuck      float64 // the same of work that its team's limit lets run
}

// drainSurplus empties machines that are not needed but still run a few tasks, the most expensive
// and emptiest first, and puts drained machines back into service when they are needed after
// all. Tasks without checkpoints run to their end where they are.
func (c *Controller) drainSurplus(now time.Time, plan autoscale.Plan, retention time.Duration) {
	survey := c.surveyDraining(now, plan, retention)
	if plan.Urgent > 0 {
		for _, machine := range survey.drained {
			c.setDraining(machine, false)
		}
	}
	c.restoreNeeded(now, survey.drained)
	c.restoreForStuckWork(now, survey, plan.Urgent > 0)
	if plan.Urgent == 0 && survey.waiting <= 0 {
		c.drainCandidates(survey)
	}
}

// surveyDraining looks at all machines once.
func (c *Controller) surveyDraining(now time.Time, plan autoscale.Plan, retention time.Duration) *drainSurvey {
	survey := &drainSurvey{waiting: c.waitingCpus(now), stuck: c.runnableWithinLimits(now)}
	for _, machines := range plan.Surplus {
		survey.surplus += machines
	}
	for machine := range c.machinesInService() {
		update := c.workers.pendingUpdates[machine.Index]
		if update != nil && update.returning {
			continue
		}
		survey.fleetSize++
		if machine.Draining || update.blocksPlacement() {
			survey.surplus--
			survey.drained = append(survey.drained, machine)
			continue
		}
		used, cpus := c.usedFraction(machine, now), c.cache.Types[machine.Type].Cpus
		pool := poolOf(machine)
		if len(machine.Tasks) > 0 && tasksOldEnough(machine, now) && used <= maxDrainUsage &&
			plan.Surplus[pool] >= minDrainSurplus && c.leader.surplusLasts(pool, retention, now) {
			survey.candidates = append(survey.candidates, drainCandidate{machine, used})
		}
		free := max(0, (1-used)*cpus)
		if survey.waiting > 0 {
			survey.waiting -= free
		}
		survey.stuck -= free
	}
	return survey
}

// waitingCpus is how much work waits, idle-time work aside.
func (c *Controller) waitingCpus(now time.Time) float64 {
	waiting := 0.0
	for _, job := range c.cache.Jobs {
		if job != nil && !c.isIdleWork(job, now) {
			waiting += float64(c.wantedTasks(job)) * job.Size
		}
	}
	return waiting
}

// usedFraction is the part of a machine's CPUs that its tasks use. On machines paid in full, idle-time
// work counts as free capacity.
func (c *Controller) usedFraction(m *storage.Machine, now time.Time) float64 {
	used, cpus := 0.0, c.cache.Types[m.Type].Cpus
	for _, placed := range m.Tasks {
		if m.Spot || !c.isIdleWork(placed.Job, now) {
			used += placed.Job.Size / cpus
		}
	}
	return used
}

// tasksOldEnough tells whether no task of a machine was moved or started a moment ago. What has neither
// checkpoints nor replicas is not moved anyway.
func tasksOldEnough(m *storage.Machine, now time.Time) bool {
	return !slices.ContainsFunc(m.Tasks, func(placed storage.PlacedTask) bool {
		ranS := now.Unix() - placed.PlacedAt
		checkpointedTooNew := placed.Job.CheckpointInterval != 0 && ranS <= minTaskAgeS
		replicaTooNew := placed.Job.Shape != protocol.Batch && ranS <= int64(minReplicaAge.Seconds())
		return checkpointedTooNew || replicaTooNew
	})
}

// restoreNeeded puts a drained machine back into service if a job fits on no other. Sums of free
// capacity say nothing of which machine has it, and for what.
func (c *Controller) restoreNeeded(now time.Time, drained []*storage.Machine) {
	if machine := c.findNeededDrained(drained, now); machine != nil {
		c.setDraining(machine, false)
	}
}

// findNeededDrained finds a drained machine on which a job fits that has waited for a while and fits
// on no other; nil: there is none.
func (c *Controller) findNeededDrained(drained []*storage.Machine, now time.Time) *storage.Machine {
	fit := fitChecker{c: c}
	examined := 0
	for _, job := range c.cache.Jobs {
		if job == nil || len(drained) == 0 || now.Sub(job.ReadyAt) < restoreAfter || !c.mayStart(job, now) {
			continue
		}
		if examined++; examined > maxExaminedJobs {
			break
		}
		i := slices.IndexFunc(drained, func(m *storage.Machine) bool { return fit.fitsBesideTasks(job, m) })
		if i >= 0 && !slices.ContainsFunc(c.cache.Machines, func(m *storage.Machine) bool { return fit.fitsNow(job, m) }) {
			return drained[i]
		}
	}
	return nil
}

// restoreForStuckWork puts a drained machine back into service when work has waited for a while
// for which only drained machines have capacity. By the sums such a machine is capacity, so
// nothing is provisioned for that work; but one whose tasks go on for long never empties, and the work
// would wait as long.
func (c *Controller) restoreForStuckWork(now time.Time, survey *drainSurvey, urgent bool) {
	switch {
	case survey.stuck <= 0 || urgent || len(survey.drained) == 0:
		c.leader.stuckSince = time.Time{}
	case c.leader.stuckSince.IsZero():
		c.leader.stuckSince = now
	case now.Sub(c.leader.stuckSince) > stuckAfter:
		c.leader.stuckSince = now
		c.setDraining(survey.drained[0], false)
	}
}

// drainCandidates begins to drain the most expensive and emptiest candidates, as many as the
// surplus and the pace of draining allow.
func (c *Controller) drainCandidates(survey *drainSurvey) {
	slices.SortFunc(survey.candidates, func(a, b drainCandidate) int {
		return cmp.Or(cmp.Compare(c.cpuPrice(b.machine), c.cpuPrice(a.machine)), cmp.Compare(a.used, b.used),
			cmp.Compare(a.machine.Name, b.machine.Name))
	})
	maxPerPass := max(1, int(maxDrainFraction*float64(survey.fleetSize)))
	count := min(len(survey.candidates), maxPerPass, int(survey.surplus)-1)
	for i := range max(0, count) {
		c.setDraining(survey.candidates[i].machine, true)
	}
}
