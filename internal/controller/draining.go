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
	// maxDrainUsage is the used fraction of a machine's CPUs up to which it may be drained.
	maxDrainUsage = 0.6
	// minTaskAgeS is how many seconds a task with checkpoints must have been placed before its
	// machine may be drained, so that it is not moved again and again.
	minTaskAgeS = 20
	// maxDrainFraction is the fraction of the fleet that may start draining in one pass. If only single
	// machines are drained, many that are hardly used are paid for long after a peak in load.
	maxDrainFraction = 1.0 / 24
	// minDrainSurplus is the minimum surplus of a pool, in machines, for one of its machines to be
	// drained.
	minDrainSurplus = 1.5
	// restoreAfter is how long a job must have waited before a draining machine is returned to
	// service for it: other machines may be about to come up.
	restoreAfter = 20 * time.Second
)

// drainingState is the leader's state about work that waits while machines are draining.
type drainingState struct {
	// workStuckSince is when work began to wait that only draining machines have capacity for; zero:
	// no such work waits.
	workStuckSince time.Time
}

// drainCandidate is a machine that may be drained.
type drainCandidate struct {
	machine *storage.Machine
	used    float64 // used fraction of its CPUs
}

// drainSurvey is the result of a pass over all machines: what is needed to decide on draining.
type drainSurvey struct {
	fleetSize           int
	surplus             float64 // number of machines that are not needed, minus those that are draining
	draining            []*storage.Machine
	candidates          []drainCandidate
	waiting             float64 // CPUs of waiting work minus those free on machines that are not draining
	waitingWithinLimits float64 // the same, counting only work within its team's limit
}

// drainSurplus drains machines that are not needed but still run a few tasks, the most expensive
// and least used first, and returns draining machines to service when they are needed after all.
// Tasks without checkpoints run to their end where they are.
func (c *Controller) drainSurplus(now time.Time, plan autoscale.Plan, retention time.Duration) {
	survey := c.surveyDraining(now, plan, retention)
	if plan.Urgent > 0 {
		for _, machine := range survey.draining {
			c.setDraining(machine, false)
		}
	}
	c.restoreNeeded(now, survey.draining)
	c.restoreForStuckWork(now, survey, plan.Urgent > 0)
	if plan.Urgent == 0 && survey.waiting <= 0 {
		c.drainCandidates(survey)
	}
}

// surveyDraining collects the data about all machines in one pass.
func (c *Controller) surveyDraining(now time.Time, plan autoscale.Plan, retention time.Duration) *drainSurvey {
	survey := &drainSurvey{waiting: c.waitingCpus(now), waitingWithinLimits: c.runnableWithinLimits(now)}
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
			survey.draining = append(survey.draining, machine)
			continue
		}
		used, cpus := c.usedFraction(machine, now), c.cache.Types[machine.Type].Cpus
		pool := poolOf(machine)
		if len(machine.Tasks) > 0 && tasksOldEnough(machine, now) && used <= maxDrainUsage &&
			plan.Surplus[pool] >= minDrainSurplus && c.leader.surplusPersists(pool, retention, now) {
			survey.candidates = append(survey.candidates, drainCandidate{machine, used})
		}
		free := max(0, (1-used)*cpus)
		if survey.waiting > 0 {
			survey.waiting -= free
		}
		survey.waitingWithinLimits -= free
	}
	return survey
}

// waitingCpus returns the CPUs that waiting work needs, except idle-time work.
func (c *Controller) waitingCpus(now time.Time) float64 {
	waiting := 0.0
	for _, job := range c.cache.Jobs {
		if job != nil && !c.isIdleWork(job, now) {
			waiting += float64(c.wantedTasks(job)) * job.TaskSize
		}
	}
	return waiting
}

// usedFraction returns the fraction of a machine's CPUs that its tasks use. On on-demand machines,
// idle-time work counts as free capacity.
func (c *Controller) usedFraction(machine *storage.Machine, now time.Time) float64 {
	used, cpus := 0.0, c.cache.Types[machine.Type].Cpus
	for _, placed := range machine.Tasks {
		if machine.Spot || !c.isIdleWork(placed.Job, now) {
			used += placed.Job.TaskSize / cpus
		}
	}
	return used
}

// tasksOldEnough reports whether no checkpointed task and no replica on a machine was placed too
// recently to be moved. Other tasks are never moved.
func tasksOldEnough(machine *storage.Machine, now time.Time) bool {
	return !slices.ContainsFunc(machine.Tasks, func(placed storage.PlacedTask) bool {
		ranS := now.Unix() - placed.PlacedAt
		checkpointedTooNew := placed.Job.CheckpointInterval != 0 && ranS <= minTaskAgeS
		replicaTooNew := placed.Job.Shape != protocol.Batch && ranS <= int64(minReplicaAge.Seconds())
		return checkpointedTooNew || replicaTooNew
	})
}

// restoreNeeded returns a draining machine to service if a job fits on no other machine. Sums of
// free capacity do not show this, because they ignore which machine has the capacity and for which
// work.
func (c *Controller) restoreNeeded(now time.Time, draining []*storage.Machine) {
	if machine := c.findNeededDraining(draining, now); machine != nil {
		c.setDraining(machine, false)
	}
}

// findNeededDraining returns a draining machine on which a job fits that has waited for restoreAfter
// and fits on no other machine, or nil if there is none.
func (c *Controller) findNeededDraining(draining []*storage.Machine, now time.Time) *storage.Machine {
	fit := fitChecker{c: c}
	examined := 0
	for _, job := range c.cache.Jobs {
		if job == nil || len(draining) == 0 || now.Sub(job.ReadyAt) < restoreAfter || !c.mayStart(job, now) {
			continue
		}
		if examined++; examined > maxExaminedJobs {
			break
		}
		i := slices.IndexFunc(draining, func(m *storage.Machine) bool { return fit.fitsBesideTasks(job, m) })
		if i >= 0 && !slices.ContainsFunc(c.cache.Machines, func(m *storage.Machine) bool { return fit.fitsNow(job, m) }) {
			return draining[i]
		}
	}
	return nil
}

// restoreForStuckWork returns a draining machine to service when work that only draining
// machines have capacity for has waited for stuckAfter. In the sums such a machine counts as
// capacity, so nothing is provisioned for that work; but a machine with long-running tasks does not
// become empty, and the work would wait until those tasks end.
func (c *Controller) restoreForStuckWork(now time.Time, survey *drainSurvey, urgent bool) {
	switch {
	case survey.waitingWithinLimits <= 0 || urgent || len(survey.draining) == 0:
		c.leader.workStuckSince = time.Time{}
	case c.leader.workStuckSince.IsZero():
		c.leader.workStuckSince = now
	case now.Sub(c.leader.workStuckSince) > stuckAfter:
		c.leader.workStuckSince = now
		c.setDraining(survey.draining[0], false)
	}
}

// drainCandidates starts draining the most expensive and least used candidates, as many as the
// surplus and maxDrainFraction allow.
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
