package simulator

import (
	"encoding/json"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file checks the protocol's rules about starting a task, against what really runs.

// usageSlack is by how many CPUs a team's usage may differ from its limit, for rounding.
const usageSlack = 1e-6

// takeTask notes that a job's task runs on a machine, and what its team uses. The world is locked.
func (w *Simulation) takeTask(m *Machine, t *task) {
	if t.job.on[t.index] == nil {
		w.used[t.job.Team] += t.job.Cpus
	}
	t.job.on[t.index] = m
}

// removeFromCloud notes that a task does not run on a machine any more. The world is locked.
func (w *Simulation) removeFromCloud(m *Machine, t *task) {
	if t.job != nil && t.job.on[t.index] == m && t.state != protocol.TaskExited && t.state != protocol.TaskFetching {
		delete(t.job.on, t.index)
		w.used[t.job.Team] -= t.job.Cpus
	}
}

// start notes a task that starts, and every rule that is broken by it. The world is locked.
func (w *Simulation) start(m *Machine, t *task) {
	w.Started++
	j := t.job
	if o := j.on[t.index]; o != nil && o != m {
		w.injectFault("ran_twice: %s/%d on %s and %s", j.ID, t.index, o.Name, m.Name)
	}
	w.takeTask(m, t)
	w.checkAwaited(t)
	w.checkPlace(m, t)
	w.checkCancelled(t)
	w.checkAttempt(t)
	w.checkQuota(j)
}

func (w *Simulation) checkAwaited(t *task) {
	for _, o := range t.job.awaits {
		if len(o.done) < o.Tasks || o.told == protocol.Cancelled {
			w.injectFault("too_early: %s/%d starts before %s is done", t.job.ID, t.index, o.ID)
		}
	}
}

func (w *Simulation) checkPlace(machine *Machine, simulatorTask *task) {
	job := simulatorTask.job
	if machine.Spot && !job.Spot {
		w.injectFault("wrong_place: %s/%d on a spot machine", job.ID, simulatorTask.index)
	}
	if z := job.Spec["berth"]; z != nil && z != machine.Zone {
		w.injectFault("wrong_place: %s/%d in zone %s", job.ID, simulatorTask.index, machine.Zone)
	}
	together, scatter := job.Spec["together"] == true, job.Spec["scatter"] == true
	if !together && !scatter {
		return
	}
	inZone, total := 0, 0
	for i, o := range job.on {
		if i == simulatorTask.index {
			continue
		}
		total++
		if o.Zone == machine.Zone {
			inZone++
		}
	}
	if together && inZone != total {
		w.injectFault("wrong_place: %s/%d is apart from its job", job.ID, simulatorTask.index)
	}
	if scatter && inZone+1 > (job.Tasks+1)/2 {
		w.injectFault("wrong_place: %s has too many tasks in %s", job.ID, machine.Zone)
	}
}

func (w *Simulation) checkCancelled(t *task) {
	j := t.job
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > seconds(w.Settings.Deployment.Workers.CancelS) {
		w.injectFault("ran_cancelled: %s/%d starts", j.ID, t.index)
	}
	if !j.cancelled.IsZero() {
		w.StartsAfterCancel++
	}
	if j.done[t.index] {
		w.RanAgain++
	}
}

// checkAttempt finds an attempt that begins twice: a worker that has cleared an attempt starts it again if its
// launch is repeated, or comes late.
func (w *Simulation) checkAttempt(t *task) {
	j := t.job
	if j.began == nil {
		j.began = map[[2]uint64]bool{}
	}
	key := [2]uint64{uint64(t.index), t.attempt}
	if j.began[key] {
		w.injectFault("began again: %s/%d, attempt %d", j.ID, t.index, t.attempt)
		return
	}
	j.began[key] = true
}

// checkQuota compares what a job's team uses with its limit. The usage is kept up to date as tasks come and go: adding it
// up at every start costs as much as there are jobs.
func (w *Simulation) checkQuota(j *Job) {
	w.checkLimit(j.Team, w.limitOf(j.Team))
}

func (w *Simulation) checkLimit(team string, limit float64) {
	if used := w.used[team]; limit > 0 && used > limit+usageSlack {
		w.injectFault("quota: %s uses %.1f of %.1f", team, used, limit)
	}
}

// limitOf is the limit that counts for a team, in CPUs; 0: none.
func (w *Simulation) limitOf(team string) float64 {
	if limit, changed := w.limits[team]; changed {
		return limit
	}
	for _, t := range w.Settings.Deployment.Teams {
		if t.Name == team {
			return t.CpusMax
		}
	}
	return 0
}

// noteTeam takes a change of a team. A limit that is being lowered counts from when the records say that it is kept to; it
// must be by then. The world is locked.
func (w *Simulation) noteTeam(change protocol.Change) {
	for _, team := range w.Settings.Deployment.Teams {
		if change.Put != storage.TeamKey(team.Name) {
			continue
		}
		var r storage.TeamRecord
		if err := json.Unmarshal(change.Value, &r); err != nil {
			w.injectFault("record %s cannot be read", change.Put)
		}
		counts := r.TeamBounds
		if r.Former != nil {
			counts = *r.Former
		}
		w.limits[team.Name] = counts.CpusMax
		w.checkLimit(team.Name, counts.CpusMax)
	}
}
