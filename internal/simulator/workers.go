package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// workerSet holds what the workers of all machines have in common.
type workerSet struct {
	// Speed, if above 0, is the factor by which machines boot, fetch images and run tasks faster than stated.
	Speed float64
	// ListenForWorker, if set, starts the port of a new machine's worker and returns its address.
	ListenForWorker func(m *Machine) string
	// SharedTicker makes one goroutine, RunTicker, run the tasks of all machines.
	SharedTicker bool
	// OnLaunch, if set, is called with the simulation's mutex held for each attempt that a worker launches.
	OnLaunch func(j *Job, index int)
	// OnJobDone, if set, is called when the last task of a job completes.
	OnJobDone func(j *Job)
	// Commands meters the connections to the workers' ports.
	Commands Meter
}

// speed returns the factor by which machines work faster than stated.
func (w *workerSet) speed() float64 {
	if w.Speed > 0 {
		return w.Speed
	}
	return 1
}

// scaledTime returns how long work takes whose stated time is d.
func (w *workerSet) scaledTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.speed())
}

// startWorker starts a machine's worker after the machine's boot time.
func (sim *Simulation) startWorker(machine *Machine, after time.Duration) {
	go func() {
		time.Sleep(after)
		sim.mu.Lock()
		if machine.gone {
			sim.mu.Unlock()
			return
		}
		machine.booted, machine.incarnation, machine.leaseRenewedAt = true, 1, time.Now()
		sim.mu.Unlock()
		if !sim.SharedTicker {
			go sim.tasksLoop(machine)
		}
		sim.heartbeatLoop(machine)
	}()
}

// FailMachine makes a machine fail, with all tasks on it.
func (sim *Simulation) FailMachine(m *Machine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !m.gone {
		sim.removeMachine(m)
		m.failed = time.Now()
		sim.charge(m)
	}
}

// removeMachine removes a machine and stops its tasks. The progress in their checkpoints is kept.
func (sim *Simulation) removeMachine(m *Machine) {
	m.gone = true
	m.disconnect()
	for _, t := range m.tasks {
		sim.taskStopped(m, t)
		sim.keepCheckpoint(t)
		sim.events.addAttempt(machineDisappeared, m, t)
	}
	m.tasks = nil
}

// keepCheckpoint keeps the latest periodic checkpoint of a running task that ends now.
func (sim *Simulation) keepCheckpoint(t *taskAttempt) {
	if interval := sim.scaledTime(seconds(t.job.specNumber("markEveryS"))); interval > 0 && t.state == protocol.TaskRunning {
		t.job.saveProgress(t, time.Since(t.started)/interval*interval, sim.speed())
	}
}

// RunningTasks returns how many tasks are on machines.
func (sim *Simulation) RunningTasks() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	running := 0
	for _, j := range sim.jobs {
		running += len(j.runningOn)
	}
	return running
}
