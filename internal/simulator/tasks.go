package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// This file runs the tasks on the simulated machines.

const (
	// tickInterval is the time between two updates of a machine's tasks.
	tickInterval = 100 * time.Millisecond
	// failureAfter is how long a failing task runs.
	failureAfter = 300 * time.Millisecond
	// serviceRuns is how long a service runs unless it is stopped. It is longer than any simulation.
	serviceRuns = 1000 * time.Hour
)

// tasksLoop runs the tasks of one machine until the machine is gone.
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

// RunTicker runs the tasks of all machines until the simulation ends. It is for simulations with SharedTicker: with
// thousands of machines, a goroutine and a timer for each would use most of a core.
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

// advance updates a machine's tasks to the present time.
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

// expireLease makes a worker kill and drop all its tasks, and increments its incarnation.
func (sim *Simulation) expireLease(m *Machine, now time.Time) {
	for _, t := range m.tasks {
		sim.taskStopped(m, t)
		sim.events.addAttempt(attemptDropped, m, t)
	}
	sim.leaseExpired(len(m.tasks))
	m.tasks, m.incarnation, m.leaseRenewedAt = nil, m.incarnation+1, now
	sim.giveUpFetches(m)
	m.wake()
}

// advanceTask moves a task whose present state has ended to the next state.
func (sim *Simulation) advanceTask(machine *Machine, t *taskAttempt, now time.Time) {
	defer func() { sim.events.addAttempt(stateChanged, machine, t) }()
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

// startTask starts a task whose image has been fetched.
func (sim *Simulation) startTask(machine *Machine, t *taskAttempt, now time.Time) {
	job := t.job
	t.state, t.started = protocol.TaskRunning, now
	t.stateEnds = now.Add(sim.scaledTime(job.taskRunTime(t.index) - job.savedProgress[t.index]))
	switch {
	case job.done[t.index]:
		t.stateEnds = now // the task has completed before and its result is kept
	case job.Spec["shape"] == "daemon":
		t.stateEnds = now.Add(serviceRuns)
	}
	sim.taskStarted(t)
	sim.checkTaskStart(machine, t)
	if machine.unhealthy || job.failsNext(t.index) {
		t.stateEnds = now.Add(failureAfter)
	}
}

// endTask ends a task that has run for its run time, or that fails.
func (sim *Simulation) endTask(machine *Machine, t *taskAttempt, now time.Time) {
	job := t.job
	sim.taskStopped(machine, t)
	t.state, t.cause = protocol.TaskExited, protocol.CauseDone
	if machine.unhealthy || job.failsNext(t.index) {
		t.cause = protocol.CauseError
		job.noteFailure(t.index)
		return
	}
	job.done[t.index] = true
	job.lastDone = now
	if sim.OnJobDone != nil && len(job.done) == job.Tasks {
		go sim.OnJobDone(job)
	}
}
