package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// This file runs the tasks on the world's machines.

// tickEvery is how often a machine looks at its tasks.
const tickEvery = 100 * time.Millisecond

// tasksLoop runs what is on one machine, until the machine is gone.
func (w *Simulation) tasksLoop(m *Machine) {
	for w.ctx.Err() == nil {
		time.Sleep(tickEvery)
		w.mu.Lock()
		if !m.gone {
			w.advance(m, time.Now())
		}
		gone := m.gone
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

// RunTicker runs what is on all machines, until the world ends. It is for worlds with SharedTicker: a goroutine and a
// timer a machine take most of a core at some thousand machines.
func (w *Simulation) RunTicker() {
	for w.ctx.Err() == nil {
		time.Sleep(tickEvery)
		w.mu.Lock()
		now := time.Now()
		for _, m := range w.machines {
			if m.up && !m.gone {
				w.advance(m, now)
			}
		}
		w.mu.Unlock()
	}
}

// advance brings a machine's tasks up to now. The world is locked.
func (w *Simulation) advance(m *Machine, now time.Time) {
	if !m.preemptionNotice.IsZero() && now.After(m.preemptionNotice) {
		w.remove(m)
		w.charge(m)
		return
	}
	w.checkGone(m, now)
	if m.hanging {
		return
	}
	if now.Sub(m.leaseRenewedAt) > seconds(w.Settings.Deployment.Workers.LeaseS) {
		w.expireLease(m, now)
	}
	for _, t := range m.tasks {
		if t.state != protocol.TaskExited && !now.Before(t.ends) {
			w.advanceTask(m, t, now)
			m.wake()
		}
	}
}

// checkGone finds tasks of cancelled jobs that are on a machine for too long.
func (w *Simulation) checkGone(m *Machine, now time.Time) {
	for _, t := range m.tasks {
		if t.job != nil && t.state != protocol.TaskExited && !t.job.cancelled.IsZero() &&
			now.Sub(t.job.cancelled) > seconds(w.Settings.Deployment.Workers.CancelS)+time.Second {
			w.injectFault("ran_cancelled: %s/%d is still on %s", t.job.ID, t.index, m.Name)
			t.job.cancelled = now
		}
	}
}

// expireLease has a worker kill and forget all its tasks, and begin its next session.
func (w *Simulation) expireLease(m *Machine, now time.Time) {
	for _, t := range m.tasks {
		w.removeFromCloud(m, t)
		w.LeaseKills++
	}
	m.tasks, m.incarnation, m.leaseRenewedAt = nil, m.incarnation+1, now
	m.wake()
}

// advanceTask takes a task whose present state is over to the next one.
func (w *Simulation) advanceTask(m *Machine, t *task, now time.Time) {
	switch t.state {
	case protocol.TaskFetching:
		t.state, t.began = protocol.TaskRunning, now
		t.ends = now.Add(w.fast(t.job.run(t.index) - t.job.saved[t.index]))
		switch {
		case t.job.done[t.index]:
			t.ends = now // its result is kept
		case t.job.Spec["shape"] == "daemon":
			t.ends = now.Add(1000 * time.Hour)
		}
		w.start(m, t)
		if m.unhealthy || t.job.Broken {
			t.ends = now.Add(300 * time.Millisecond)
		}
	case protocol.TaskRunning:
		w.removeFromCloud(m, t)
		t.state, t.cause = protocol.TaskExited, protocol.CauseDone
		if m.unhealthy || t.job.Broken {
			t.cause = protocol.CauseError
			return
		}
		t.job.done[t.index] = true
		t.job.lastDone = now
		if w.AtEnd != nil && len(t.job.done) == t.job.Tasks {
			go w.AtEnd(t.job)
		}
	case protocol.TaskCheckpointing:
		w.removeFromCloud(m, t)
		t.state, t.cause, t.saved = protocol.TaskExited, protocol.CauseStopped, true
		t.job.save(t, now.Sub(t.began)-w.fast(seconds(t.job.spec("markCostS"))), w.speed())
	}
}
