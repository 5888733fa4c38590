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
	stateEnds    time.Time // when the present state ends
	started      time.Time // when it began to run
}

// Machine is a rented machine with its worker.
type Machine struct {
	Name, Zone, Type string
	Spot             bool
	Addr             string

	// The cloud's state of the machine.
	machineType   protocol.MachineType
	provisionedAt time.Time
	booted        bool
	gone          bool
	failed        time.Time // when it died; zero: it did not, or it has been scaled in since

	machineFaults

	// The worker's state.
	port             net.Listener // accepts direct commands; nil if workers have no ports
	incarnation, seq uint64
	fencingToken     uint64
	leaseRenewedAt   time.Time
	controllerIndex  int // index of the controller that gets the heartbeats, modulo the number of controllers
	wakeUp           chan struct{}
	tasks            []*taskAttempt
	imageStore       // written by startFetch and giveUpFetches
}

// machineFaults are the present faults of a machine.
type machineFaults struct {
	hanging             bool
	unhealthy           bool
	partitioned         bool // neither its heartbeats nor their answers arrive
	inboundPartitioned  bool // its heartbeats arrive, but answers and direct commands are lost
	outboundPartitioned bool // its heartbeats are lost, but direct commands arrive
	preemptionNotice    time.Time
}

// HangingMachine returns a change for UpdateMachine: while on, the machine does nothing; afterwards it resumes.
func HangingMachine(on bool) func(*Machine) { return func(m *Machine) { m.hanging = on } }

// UnhealthyMachine returns a change for UpdateMachine: while on, all tasks fail on the machine.
func UnhealthyMachine(on bool) func(*Machine) { return func(m *Machine) { m.unhealthy = on } }

// MachinePartition returns a change for UpdateMachine: while on, the machine and the controllers cannot reach one another.
func MachinePartition(on bool) func(*Machine) { return func(m *Machine) { m.partitioned = on } }

// InboundPartition returns a change for UpdateMachine: while on, the machine's heartbeats arrive, but answers and direct commands
// to it are lost.
func InboundPartition(on bool) func(*Machine) { return func(m *Machine) { m.inboundPartitioned = on } }

// OutboundPartition returns a change for UpdateMachine: while on, the machine's heartbeats are lost, but direct commands to it
// arrive.
func OutboundPartition(on bool) func(*Machine) {
	return func(m *Machine) { m.outboundPartitioned = on }
}

// PreemptionNotice returns a change for UpdateMachine: the cloud takes the spot machine back after a time.
func PreemptionNotice(d time.Duration) func(*Machine) {
	return func(m *Machine) { m.preemptionNotice = time.Now().Add(d) }
}

// UpdateMachine applies a change to a machine. The functions above return changes that begin or end a fault.
func (sim *Simulation) UpdateMachine(m *Machine, change func(*Machine)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change(m)
}

// isRunning reports whether a machine has booted and is not gone.
func (m *Machine) isRunning() bool { return m.booted && !m.gone }

// wake makes the worker send its next heartbeat early.
func (m *Machine) wake() {
	select {
	case m.wakeUp <- struct{}{}:
	default:
	}
}

// disconnect closes the port of a machine that is gone.
func (m *Machine) disconnect() {
	if m.port != nil {
		_ = m.port.Close() // the port may be closed already
	}
}

// capacity returns the resources of the machine's type.
func (m *Machine) capacity() resources {
	return resources{m.machineType.Cpus, m.machineType.Gpus, m.machineType.MemGB}
}

// remainingWith returns the resources left on the machine if a task of a job is added to the attempts that have not
// exited. Negative amounts are missing.
func (m *Machine) remainingWith(job *Job) resources {
	remaining := m.capacity().minus(job.needs())
	for _, t := range m.tasks {
		if t.state != protocol.TaskExited {
			remaining = remaining.minus(t.job.needs())
		}
	}
	return remaining
}

// hasTask reports whether the machine has an attempt of a job's task that has not exited.
func (m *Machine) hasTask(job *Job, index int) bool {
	return slices.ContainsFunc(m.tasks, func(t *taskAttempt) bool {
		return t.state != protocol.TaskExited && t.job == job && t.index == index
	})
}

// findAttempt returns the position of an attempt on the machine, or -1.
func (m *Machine) findAttempt(jobID string, index int, attempt uint64) int {
	return slices.IndexFunc(m.tasks, func(t *taskAttempt) bool {
		return t.job.ID == jobID && t.index == index && t.attempt == attempt
	})
}

// nextHeartbeat returns the worker's next heartbeat, with the present states of its tasks.
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
