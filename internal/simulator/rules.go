package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// usageSlack is by how many CPUs a team's usage may exceed its limit, because of rounding.
const usageSlack = 1e-6

// ruleChecker checks the simulated tasks against the rules of the protocol and records each violation. It updates
// the usage of a team when a task starts or stops, because adding it up at each start would take time proportional
// to the number of jobs.
type ruleChecker struct {
	startTime     time.Time
	events        eventRecord
	explained     int // violations that list the events that led to them
	settings      *config.Settings
	brokenRules   []string
	usedCPUs      map[string]float64 // by team: the CPUs of its running tasks
	changedLimits map[string]float64 // by team whose record was written: its limit in CPUs; 0: no limit
}

func newRuleChecker(start time.Time, cfg *config.Settings) ruleChecker {
	return ruleChecker{startTime: start, events: eventRecord{startTime: start}, settings: cfg, usedCPUs: map[string]float64{}, changedLimits: map[string]float64{}}
}

// addViolation records a violated rule with the time since the start of the simulation.
func (c *ruleChecker) addViolation(format string, arguments ...any) {
	at := fmt.Sprintf("%.1f s: ", time.Since(c.startTime).Seconds())
	c.brokenRules = append(c.brokenRules, at+fmt.Sprintf(format, arguments...))
}

// addTaskViolation records a violated rule that concerns a task, with the latest events of the task if it is one of the
// first violations.
func (c *ruleChecker) addTaskViolation(job string, task int, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if c.explained < maxExplainedViolations {
		c.explained++
		text += "\n" + c.events.history(job, task)
	}
	c.addViolation("%s", text)
}

// BrokenRules returns the violations so far.
func (sim *Simulation) BrokenRules() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.brokenRules)
}

// taskStopped records that a task no longer runs on a machine.
func (c *ruleChecker) taskStopped(m *Machine, t *taskAttempt) {
	if t.job != nil && t.job.runningOn[t.index] == m && t.state != protocol.TaskExited && t.state != protocol.TaskFetching {
		delete(t.job.runningOn, t.index)
		c.usedCPUs[t.job.Team] -= t.job.Cpus
	}
}

// checkTaskStart checks the start of a task against each rule, and records that the task runs.
func (c *ruleChecker) checkTaskStart(m *Machine, t *taskAttempt) {
	c.checkRunsOnce(m, t)
	c.noteTaskStart(m, t)
	c.checkDependencies(t)
	c.checkPlacement(m, t)
	c.checkCancelled(t)
	c.checkAttempt(t)
	c.checkLimit(t.job.Team, c.limitOf(t.job.Team))
}

// noteTaskStart records that a task runs on a machine, and adds its CPUs to its team's usage.
func (c *ruleChecker) noteTaskStart(m *Machine, t *taskAttempt) {
	if t.job.runningOn[t.index] == nil {
		c.usedCPUs[t.job.Team] += t.job.Cpus
	}
	t.job.runningOn[t.index] = m
}

func (c *ruleChecker) checkRunsOnce(m *Machine, t *taskAttempt) {
	if other := t.job.runningOn[t.index]; other != nil && other != m {
		c.addTaskViolation(t.job.ID, t.index, "ran_twice: %s/%d on %s and %s", t.job.ID, t.index, other.Name, m.Name)
	}
}

func (c *ruleChecker) checkDependencies(t *taskAttempt) {
	for _, dependency := range t.job.dependencies {
		if len(dependency.done) < dependency.Tasks || dependency.reportedStatus == protocol.Cancelled {
			c.addViolation("too_early: %s/%d starts before %s is done", t.job.ID, t.index, dependency.ID)
		}
	}
}

func (c *ruleChecker) checkPlacement(machine *Machine, t *taskAttempt) {
	job := t.job
	if machine.Spot && !job.Spot {
		c.addViolation("wrong_place: %s/%d on a spot machine", job.ID, t.index)
	}
	if zone := job.Spec["berth"]; zone != nil && zone != machine.Zone {
		c.addViolation("wrong_place: %s/%d in zone %s", job.ID, t.index, machine.Zone)
	}
	inZone, total := job.othersIn(machine.Zone, t.index)
	if job.Spec["together"] == true && inZone != total {
		c.addViolation("wrong_place: %s/%d is not in the zone of its job", job.ID, t.index)
	}
	if job.Spec["scatter"] == true && inZone+1 > (job.Tasks+1)/2 {
		c.addViolation("wrong_place: %s has too many tasks in %s", job.ID, machine.Zone)
	}
}

// othersIn counts the running tasks of the job other than a given one, in a zone and in total.
func (j *Job) othersIn(zone string, except int) (inZone, total int) {
	for i, machine := range j.runningOn {
		if i == except {
			continue
		}
		total++
		if machine.Zone == zone {
			inZone++
		}
	}
	return inZone, total
}

func (c *ruleChecker) checkCancelled(t *taskAttempt) {
	if !t.job.cancelConfirmedAt.IsZero() && time.Since(t.job.cancelConfirmedAt) > seconds(c.settings.Deployment.Workers.CancelS) {
		c.addTaskViolation(t.job.ID, t.index, "ran_cancelled: %s/%d starts after its job was cancelled", t.job.ID, t.index)
	}
}

// checkAttempt finds an attempt that starts twice. A worker that has cleared an attempt starts it again if the
// launch command is repeated or arrives late.
func (c *ruleChecker) checkAttempt(t *taskAttempt) {
	job := t.job
	if job.startedAttempts == nil {
		job.startedAttempts = map[[2]uint64]bool{}
	}
	key := [2]uint64{uint64(t.index), t.attempt}
	if job.startedAttempts[key] {
		c.addTaskViolation(t.job.ID, t.index, "began again: %s/%d, attempt %d", job.ID, t.index, t.attempt)
		return
	}
	job.startedAttempts[key] = true
}

// checkCancelledTasksStopped finds tasks that are still on a machine too long after the cancellation of their job
// was confirmed.
func (c *ruleChecker) checkCancelledTasksStopped(m *Machine, now time.Time) {
	within := seconds(c.settings.Deployment.Workers.CancelS) + time.Second
	for _, t := range m.tasks {
		if t.job != nil && t.state != protocol.TaskExited && !t.job.cancelConfirmedAt.IsZero() && now.Sub(t.job.cancelConfirmedAt) > within {
			c.addTaskViolation(t.job.ID, t.index, "ran_cancelled: %s/%d is still on %s", t.job.ID, t.index, m.Name)
			t.job.cancelConfirmedAt = now
		}
	}
}

// checkLimit compares a team's usage with a limit.
func (c *ruleChecker) checkLimit(team string, limit float64) {
	if used := c.usedCPUs[team]; limit > 0 && used > limit+usageSlack {
		c.addViolation("quota: team %s uses %.1f CPUs, limit %.1f", team, used, limit)
	}
}

// limitOf returns the limit in force for a team, in CPUs; 0: no limit.
func (c *ruleChecker) limitOf(team string) float64 {
	if limit, changed := c.changedLimits[team]; changed {
		return limit
	}
	for _, t := range c.settings.Deployment.Teams {
		if t.Name == team {
			return t.CpusMax
		}
	}
	return 0
}

// noteTeam checks a change of a team's record. While a limit is being lowered, the record holds the previous limit
// too, and that one is in force. Once the record holds only the lower limit, the team's usage must be within it.
func (c *ruleChecker) noteTeam(change protocol.Change) {
	for _, team := range c.settings.Deployment.Teams {
		if change.Put != storage.TeamKey(team.Name) {
			continue
		}
		var record storage.TeamRecord
		if err := json.Unmarshal(change.Value, &record); err != nil {
			c.addViolation("record %s cannot be read", change.Put)
		}
		bounds := record.TeamBounds
		if record.PreviousBounds != nil {
			bounds = *record.PreviousBounds
		}
		c.changedLimits[team.Name] = bounds.CpusMax
		c.checkLimit(team.Name, bounds.CpusMax)
	}
}
