package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// This file runs the tasks on the world's machines.

// tickEvery is how often a machine looks at its tasks.
const tickEvery = 100 * time.Millisecond

// tasksLoop runs what is on one machine, until the machine is gone.
func (w *Simulation) tasksLoop(machine *Machine) {
	for w.ctx.Err() == nil {
		time.Sleep(tickEvery)
		w.mu.Lock()
		if !machine.gone {
			w.advance(machine, time.Now())
		}
		gone := machine.gone
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
func (w *Simulation) advance(machine *Machine, now time.Time) {
	if !machine.preemptionNotice.IsZero() && now.After(machine.preemptionNotice) {
		w.remove(machine)
		w.charge(machine)
		return
	}
	w.checkGone(machine, now)
	if machine.hanging {
		return
	}
	if now.Sub(machine.leaseRenewedAt) > seconds(w.Settings.Deployment.Workers.LeaseS) {
		w.expireLease(machine, now)
	}
	for _, t := range machine.tasks {
		if t.state != protocol.TaskExited && !now.Before(t.ends) {
			w.advanceTask(machine, t, now)
			machine.wake()
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
func (w *Simulation) advanceTask(machine *Machine, simulatorTask *task, now time.Time) {
	switch simulatorTask.state {
	case protocol.TaskFetching:
		simulatorTask.state, simulatorTask.began = protocol.TaskRunning, now
		simulatorTask.ends = now.Add(w.fast(simulatorTask.job.run(simulatorTask.index) - simulatorTask.job.saved[simulatorTask.index]))
		switch {
		case simulatorTask.job.done[simulatorTask.index]:
			simulatorTask.ends = now // its result is kept
		case simulatorTask.job.Spec["shape"] == "daemon":
			simulatorTask.ends = now.Add(1000 * time.Hour)
		}
		w.start(machine, simulatorTask)
		if machine.unhealthy || simulatorTask.job.Broken {
			simulatorTask.ends = now.Add(300 * time.Millisecond)
		}
	case protocol.TaskRunning:
		w.removeFromCloud(machine, simulatorTask)
		simulatorTask.state, simulatorTask.cause = protocol.TaskExited, protocol.CauseDone
		if machine.unhealthy || simulatorTask.job.Broken {
			simulatorTask.cause = protocol.CauseError
			return
		}
		simulatorTask.job.done[simulatorTask.index] = true
		simulatorTask.job.lastDone = now
		if w.AtEnd != nil && len(simulatorTask.job.done) == simulatorTask.job.Tasks {
			go w.AtEnd(simulatorTask.job)
		}
	case protocol.TaskCheckpointing:
		w.removeFromCloud(machine, simulatorTask)
		simulatorTask.state, simulatorTask.cause, simulatorTask.saved = protocol.TaskExited, protocol.CauseStopped, true
		simulatorTask.job.save(simulatorTask, now.Sub(simulatorTask.began)-w.fast(seconds(simulatorTask.job.spec("markCostS"))), w.speed())
	}
}
