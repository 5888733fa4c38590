package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// This file runs the tasks on the simulated machines.

const (
	// tickInterval is how often a machine looks at its tasks.
	tickInterval = 100 * time.Millisecond
	// failureAfter is how long a task runs that fails.
	failureAfter = 300 * time.Millisecond
	// serviceRuns is how long a service runs unless it is stopped: longer than any simulation.
	serviceRuns = 1000 * time.Hour
)

// tasksLoop runs what is on one machine, until the machine is gone.
func (sim *Simulation) tasksLoop(machine *Machine) {
	for sim.ctx.Err() == nil {
		time.Sleep(tickInterval)
		sim.mu.Lock()
		if !machine.gone {
			sim.advance(machine, time.Now())
		}
		gone := machine.gone
		sim.mu.Unlock()
		if gone {
			return
		}
	}
}

// RunTicker runs what is on all machines, until the simulation ends. It is for simulations with SharedTicker: a
// goroutine and a timer a machine take most of a core at some thousand machines.
func (sim *Simulation) RunTicker() {
	for sim.ctx.Err() == nil {
		time.Sleep(tickInterval)
		sim.mu.Lock()
		now := time.Now()
		for _, m := range sim.machines {
			if m.isRunning() {
				sim.advance(m, now)
			}
		}
		sim.mu.Unlock()
	}
}

// advance brings a machine's tasks up to now.
func (sim *Simulation) advance(machine *Machine, now time.Time) {
	if !machine.preemptionNotice.IsZero() && now.After(machine.preemptionNotice) {
		sim.removeMachine(machine)
		sim.charge(machine)
		return
	}
	sim.checkCancelledTasksStopped(machine, now)
	if machine.hanging {
		return
	}
	if now.Sub(machine.leaseRenewedAt) > seconds(sim.Settings.Deployment.Workers.LeaseS) {
		sim.expireLease(machine, now)
	}
	for _, t := range machine.tasks {
		if t.state != protocol.TaskExited && !now.Before(t.stateEnds) {
			sim.advanceTask(machine, t, now)
			machine.wake()
		}
	}
}

// expireLease has a worker kill and forget all its tasks, and begin its next session.
func (sim *Simulation) expireLease(m *Machine, now time.Time) {
	for _, t := range m.tasks {
		sim.taskStopped(m, t)
	}
	sim.leaseExpired(len(m.tasks))
	m.tasks, m.incarnation, m.leaseRenewedAt = nil, m.incarnation+1, now
	m.wake()
}

// advanceTask takes a task whose present state is over to the next one.
func (sim *Simulation) advanceTask(machine *Machine, t *taskAttempt, now time.Time) {
	switch t.state {
	case protocol.TaskFetching:
		sim.startTask(machine, t, now)
	case protocol.TaskRunning:
		sim.endTask(machine, t, now)
	case protocol.TaskCheckpointing:
		sim.taskStopped(machine, t)
		t.state, t.cause, t.checkpointed = protocol.TaskExited, protocol.CauseStopped, true
		t.job.saveProgress(t, now.Sub(t.started)-sim.scaledTime(seconds(t.job.specNumber("markCostS"))), sim.speed())
	}
}

// startTask begins to run a task whose image is there.
func (sim *Simulation) startTask(machine *Machine, t *taskAttempt, now time.Time) {
	job := t.job
	t.state, t.started = protocol.TaskRunning, now
	t.stateEnds = now.Add(sim.scaledTime(job.taskRunTime(t.index) - job.savedProgress[t.index]))
	switch {
	case job.done[t.index]:
		t.stateEnds = now // its result is kept
	case job.Spec["shape"] == "daemon":
		t.stateEnds = now.Add(serviceRuns)
	}
	sim.taskStarted(t)
	sim.checkTaskStart(machine, t)
	if machine.unhealthy || job.Broken {
		t.stateEnds = now.Add(failureAfter)
	}
}

// endTask ends a task that has run for as long as it takes, or that fails.
func (sim *Simulation) endTask(machine *Machine, t *taskAttempt, now time.Time) {
	job := t.job
	sim.taskStopped(machine, t)
	t.state, t.cause = protocol.TaskExited, protocol.CauseDone
	if machine.unhealthy || job.Broken {
		t.cause = protocol.CauseError
		return
	}
	job.done[t.index] = true
	job.lastDone = now
	if sim.AtEnd != nil && len(job.done) == job.Tasks {
		go sim.AtEnd(job)
	}
}
