package simulator

import (
	"net/http"
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// resourceSlack is by how much the needs of tasks may exceed a machine's capacity, because of rounding.
const resourceSlack = 1e-6

// execute executes commands as a worker does.
func (sim *Simulation) execute(machine *Machine, commands []protocol.Command) {
	for _, command := range commands {
		jobID, index, _ := protocol.ParseTaskName(command.Task)
		position := machine.findAttempt(jobID, index, command.Attempt)
		kind := commandIgnored
		if commandHasEffect(machine, command.Op, position) {
			kind = commandExecuted
		}
		sim.events.add(event{kind: kind, job: jobID, task: index, attempt: command.Attempt, operation: command.Op, machine: machine.Name})
		if kind == commandIgnored {
			continue
		}
		switch command.Op {
		case protocol.OpLaunch:
			sim.launch(machine, jobID, index, command.Attempt)
		case protocol.OpKill:
			sim.killTask(machine, machine.tasks[position], command.GraceS)
		case protocol.OpClear:
			machine.tasks = slices.Delete(machine.tasks, position, position+1)
			machine.wake()
		}
	}
}

// commandHasEffect reports whether a worker has something to execute for a command. position is that of the attempt on
// the machine, -1 if it is not there.
func commandHasEffect(machine *Machine, operation string, position int) bool {
	switch operation {
	case protocol.OpLaunch:
		return position < 0
	case protocol.OpKill:
		return position >= 0 && machine.tasks[position].state != protocol.TaskExited
	case protocol.OpClear:
		return position >= 0 && machine.tasks[position].state == protocol.TaskExited
	}
	return false
}

// launch adds an attempt of a task to a machine. An attempt that cannot run there exits at once.
func (sim *Simulation) launch(machine *Machine, jobID string, index int, attempt uint64) {
	job := sim.jobs[jobID]
	if job == nil || index >= job.Tasks {
		unknown := &taskAttempt{job: &Job{ID: jobID}, index: index, attempt: attempt, state: protocol.TaskExited, cause: protocol.CauseUnknown}
		machine.tasks = append(machine.tasks, unknown)
		machine.wake()
		return
	}
	launched := &taskAttempt{job: job, index: index, attempt: attempt, state: protocol.TaskFetching}
	if cause := launchRefusal(machine, job, index); cause != "" {
		launched.state, launched.cause = protocol.TaskExited, cause
	} else {
		launched.stateEnds = sim.startFetch(machine, job)
		if sim.OnLaunch != nil {
			sim.OnLaunch(job, index)
		}
	}
	machine.tasks = append(machine.tasks, launched)
	sim.events.addAttempt(stateChanged, machine, launched)
	machine.wake()
}

// launchRefusal returns the cause with which a worker refuses to launch a job's task, or "" if it launches it.
func launchRefusal(machine *Machine, job *Job, index int) string {
	if machine.hasTask(job, index) {
		return protocol.CauseBusy
	}
	if !machine.remainingWith(job).atLeast(-resourceSlack) {
		return protocol.CauseNoCapacity
	}
	return ""
}

// killTask stops a task. A running task that saves checkpoints saves one first if the grace period is long enough.
func (sim *Simulation) killTask(machine *Machine, t *taskAttempt, graceS float64) {
	save := t.job.specNumber("markCostS")
	switch {
	case t.state == protocol.TaskRunning && t.job.specNumber("markEveryS") > 0 && graceS >= save:
		t.state, t.stateEnds = protocol.TaskCheckpointing, time.Now().Add(sim.scaledTime(seconds(save)))
		sim.events.addAttempt(stateChanged, machine, t)
	case t.state != protocol.TaskCheckpointing || graceS == 0:
		sim.taskStopped(machine, t)
		sim.keepCheckpoint(t)
		t.state, t.cause = protocol.TaskExited, protocol.CauseStopped
		sim.events.addAttempt(stateChanged, machine, t)
		sim.giveUpFetches(machine)
	}
	machine.wake()
}

// executeCommand executes direct commands if their fencing token and incarnation are valid, and answers with a
// heartbeat.
func (sim *Simulation) executeCommand(m *Machine, commands protocol.DirectCommands) (*protocol.Heartbeat, int) {
	status := http.StatusConflict
	if commands.FencingToken >= m.fencingToken && commands.Incarnation == m.incarnation {
		m.fencingToken = commands.FencingToken
		sim.execute(m, commands.Commands)
		status = http.StatusOK
	} else {
		sim.events.addCommands(event{kind: commandRefused, machine: m.Name, token: commands.FencingToken, seenToken: m.fencingToken, incarnation: commands.Incarnation}, commands.Commands)
	}
	m.wake()
	return m.nextHeartbeat(), status
}

// executeLate executes direct commands after a delay. The caller must not hold the simulation's mutex.
func (sim *Simulation) executeLate(machine *Machine, commands protocol.DirectCommands, after time.Duration) {
	time.Sleep(after)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !machine.gone {
		sim.executeCommand(machine, commands)
	}
}

// executeOnResume executes direct commands once a hanging machine resumes. The caller must not hold the
// simulation's mutex.
func (sim *Simulation) executeOnResume(machine *Machine, commands protocol.DirectCommands) {
	executed := func() bool {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if machine.hanging && !machine.gone {
			return false
		}
		if !machine.gone {
			sim.executeCommand(machine, commands)
		}
		return true
	}
	for sim.ctx.Err() == nil {
		time.Sleep(resumePollInterval)
		if executed() {
			return
		}
	}
}

// workerLink is one controller's connection to the workers.
type workerLink struct {
	simulation *Simulation
	controller *ControllerProcess
}

// Command sends direct commands to a worker and waits for the answer.
func (l *workerLink) Command(addr string, commands protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	time.Sleep(time.Millisecond)
	l.controller.waitWhileStalled()
	began := time.Now()
	heartbeat, status, took := l.send(addr, commands)
	if took < 0 || took >= timeout {
		time.Sleep(timeout)
		return nil, 0, protocol.ErrOutcomeUnknown
	}
	time.Sleep(took)
	if l.controller.stalledThrough(began, timeout) {
		return nil, 0, protocol.ErrOutcomeUnknown
	}
	return heartbeat, status, nil
}

// noAnswer, as the time that an answer takes, means that no answer arrives.
const noAnswer time.Duration = -1

// send has a worker execute commands, now or later, and returns how long the answer takes.
func (l *workerLink) send(addr string, commands protocol.DirectCommands) (heartbeat *protocol.Heartbeat, status int, took time.Duration) {
	sim := l.simulation
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := sim.machineAt(addr)
	sent := event{kind: directSent, controller: l.controller.Name, token: commands.FencingToken, incarnation: commands.Incarnation}
	if machine != nil {
		sent.machine = machine.Name
	}
	if delay := sim.commandDelay(machine, commands); delay > 0 {
		sent.kind = directDelayed
		sim.events.addCommands(sent, commands.Commands)
		go sim.executeLate(machine, commands, delay)
		return nil, 0, noAnswer
	}
	if !l.reaches(machine) {
		sent.kind = directLost
		sim.events.addCommands(sent, commands.Commands)
		if machine != nil && machine.hanging && !l.controller.isPartitionedFrom(NoWorkers) {
			go sim.executeOnResume(machine, commands)
		}
		return nil, 0, noAnswer
	}
	sim.events.addCommands(sent, commands.Commands)
	heartbeat, status = sim.executeCommand(machine, commands)
	if status == http.StatusOK {
		sim.duplicateCommands(machine, commands)
	}
	return heartbeat, status, max(time.Millisecond, sim.answerDelay(machine))
}

// reaches reports whether a controller's commands reach a machine that executes them at once.
func (l *workerLink) reaches(machine *Machine) bool {
	if machine == nil || machine.hanging || machine.partitioned || machine.inboundPartitioned {
		return false
	}
	return !l.simulation.separates(l.controller, machine) && !l.controller.isPartitionedFrom(NoWorkers) && !l.controller.ended()
}
