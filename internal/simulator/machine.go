package simulator

import (
	"net"
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// taskAttempt is an attempt of a task on a machine.
type taskAttempt struct {
	job          *Job
	index        int
	attempt      uint64
	state        string
	cause        string
	checkpointed bool
	stateEnds    time.Time // of the present state
	started      time.Time // to run
}

// Machine is a rented machine with its worker.
type Machine struct {
	Name, Zone, Type string
	Spot             bool
	Addr             string

	// What the cloud knows of it.
	machineType   protocol.MachineType
	provisionedAt time.Time
	up            bool
	gone          bool
	failed        time.Time // died by itself

	machineFaults

	// The worker's state.
	port             net.Listener // where it has one
	incarnation, seq uint64
	fencingToken     uint64
	leaseRenewedAt   time.Time
	controllerIndex  int // of the controller that it sends its heartbeats to, beyond their number after retries
	wakeUp           chan struct{}
	tasks            []*taskAttempt
	images           map[string]time.Time // since when each is there, or when its fetch will end
	fetchesEnd       time.Time            // when the last of its fetches ends
}

// machineFaults are the faults that a machine has now.
type machineFaults struct {
	hanging             bool
	unhealthy           bool
	partitioned         bool // its heartbeats and answers get lost
	deafToController    bool // its heartbeats arrive; answers and direct commands get lost
	silentToControllers bool // it reaches no controller; direct commands reach it
	preemptionNotice    time.Time
}

// HangingMachine is a change for Set: the machine does nothing until that ends, and then goes on.
func HangingMachine(on bool) func(*Machine) { return func(m *Machine) { m.hanging = on } }

// UnhealthyMachine is a change for Set: all tasks fail on the machine.
func UnhealthyMachine(on bool) func(*Machine) { return func(m *Machine) { m.unhealthy = on } }

// CutOff is a change for Set: the machine and the controllers don't reach one another.
func CutOff(on bool) func(*Machine) { return func(m *Machine) { m.partitioned = on } }

// DeafMachine is a change for Set: the machine's heartbeats arrive, and what controllers send to it is lost.
func DeafMachine(on bool) func(*Machine) { return func(m *Machine) { m.deafToController = on } }

// MuteMachine is a change for Set: the machine reaches no controller, and what controllers send to it arrives.
func MuteMachine(on bool) func(*Machine) { return func(m *Machine) { m.silentToControllers = on } }

// PreemptionNotice is a change for Set: the cloud takes the spot machine back after a time.
func PreemptionNotice(d time.Duration) func(*Machine) {
	return func(m *Machine) { m.preemptionNotice = time.Now().Add(d) }
}

// Set changes a machine. The functions that return a change begin or end a fault.
func (sim *Simulation) Set(m *Machine, change func(*Machine)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change(m)
}

// isRunning tells whether a machine is there and has booted.
func (m *Machine) isRunning() bool { return m.up && !m.gone }

// wake has the worker send its next heartbeat soon.
func (m *Machine) wake() {
	select {
	case m.wakeUp <- struct{}{}:
	default:
	}
}

// disconnect closes the port of a machine that is gone.
func (m *Machine) disconnect() {
	if m.port != nil {
		_ = m.port.Close() // it may be closed already
	}
}

// capacity is what the machine's type has.
func (m *Machine) capacity() resources {
	return resources{m.machineType.Cpus, m.machineType.Gpus, m.machineType.MemGB}
}

// remainingWith is what a task of a job would leave of the machine, beside the attempts that have not exited.
func (m *Machine) remainingWith(job *Job) resources {
	remaining := m.capacity().minus(job.needs())
	for _, t := range m.tasks {
		if t.state != protocol.TaskExited {
			remaining = remaining.minus(t.job.needs())
		}
	}
	return remaining
}

// hasTask tells whether an attempt of a job's task is on the machine that has not exited.
func (m *Machine) hasTask(job *Job, index int) bool {
	return slices.ContainsFunc(m.tasks, func(t *taskAttempt) bool {
		return t.state != protocol.TaskExited && t.job == job && t.index == index
	})
}

// findAttempt is the position of an attempt on the machine, -1 if it is not there.
func (m *Machine) findAttempt(jobID string, index int, attempt uint64) int {
	return slices.IndexFunc(m.tasks, func(t *taskAttempt) bool {
		return t.job.ID == jobID && t.index == index && t.attempt == attempt
	})
}

// nextHeartbeat is what the worker tells of itself and its tasks now.
func (m *Machine) nextHeartbeat() *protocol.Heartbeat {
	m.seq++
	heartbeat := &protocol.Heartbeat{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.incarnation, Seq: m.seq, FencingToken: m.fencingToken}
	if !m.preemptionNotice.IsZero() {
		left := time.Until(m.preemptionNotice).Seconds()
		heartbeat.PreemptionNoticeS = &left
	}
	for _, t := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: protocol.TaskName(t.job.ID, t.index), Attempt: t.attempt,
			State: t.state, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return heartbeat
}
