package simulator

import (
	"time"

	"dykeledge/internal/protocol"
)

// workerSet is what the workers of all machines have in common.
type workerSet struct {
	// Speed, if above 0, is how many times as fast as stated machines come up, fetch and work.
	Speed float64
	// Listen, if set, tells the address at which a new machine's worker will listen.
	Listen func(m *Machine) string
	// SharedTicker has one goroutine, RunTicker, run the tasks of all machines.
	SharedTicker bool
	// Launched, if set, is called for each launch that a worker takes up, with the simulation locked.
	Launched func(j *Job, index int)
	// AtEnd, if set, is called as the last task of a job completes.
	AtEnd func(j *Job)
	// Commands meters the workers' ports.
	Commands Meter
}

// speed is how many times as fast as stated machines work.
func (w *workerSet) speed() float64 {
	if w.Speed > 0 {
		return w.Speed
	}
	return 1
}

// scaledTime is how long work takes that is stated to take d: machines work at the simulation's speed.
func (w *workerSet) scaledTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.speed())
}

// startWorker starts a machine's worker once the machine has booted.
func (sim *Simulation) startWorker(machine *Machine, after time.Duration) {
	go func() {
		time.Sleep(after)
		sim.mu.Lock()
		if machine.gone {
			sim.mu.Unlock()
			return
		}
		machine.up, machine.incarnation, machine.leaseRenewedAt = true, 1, time.Now()
		sim.mu.Unlock()
		if !sim.SharedTicker {
			go sim.tasksLoop(machine)
		}
		sim.heartbeatLoop(machine)
	}()
}

// Die stops a machine with all that is on it.
func (sim *Simulation) Die(m *Machine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !m.gone {
		sim.removeMachine(m)
		m.failed = time.Now()
		sim.charge(m)
	}
}

// removeMachine ends a machine and the tasks on it. What their checkpoints hold stays.
func (sim *Simulation) removeMachine(m *Machine) {
	m.gone = true
	m.disconnect()
	for _, t := range m.tasks {
		sim.taskStopped(m, t)
		sim.keepCheckpoint(t)
	}
	m.tasks = nil
}

// keepCheckpoint keeps the latest checkpoint that a task which ends now has saved by itself.
func (sim *Simulation) keepCheckpoint(t *taskAttempt) {
	if interval := sim.scaledTime(seconds(t.job.specNumber("markEveryS"))); interval > 0 && t.state == protocol.TaskRunning {
		t.job.saveProgress(t, time.Since(t.started)/interval*interval, sim.speed())
	}
}

// Running is how many tasks are on machines now.
func (sim *Simulation) Running() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	running := 0
	for _, j := range sim.jobs {
		running += len(j.on)
	}
	return running
}
