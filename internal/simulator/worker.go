package simulator

import (
	"dykeledge/internal/protocol"
	"encoding/json"
	"net"
	"slices"
	"time"
)

// task is an attempt on a machine.
type task struct {
	job     *Job
	index   int
	attempt uint64
	state   string
	cause   string
	saved   bool
	ends    time.Time // of the present state
	began   time.Time // to run
}

// Machine is a rented machine with its worker.
type Machine struct {
	Name, Zone, Type    string
	Spot                bool
	Addr                string
	up                  bool
	gone                bool
	hanging             bool
	unhealthy           bool
	partitioned         bool // its heartbeats and answers get lost
	deafToController    bool // its heartbeats arrive; answers and direct commands get lost
	silentToControllers bool // it reaches no controller; direct commands reach it
	preemptionNotice    time.Time
	incarnation, seq    uint64
	fencingToken        uint64
	tasks               []*task
	leaseRenewedAt      time.Time
	node                int
	wakeUp              chan struct{}
	provisionedAt       time.Time
	failed              time.Time    // died by itself
	port                net.Listener // of its worker, where it has one
	machineType         protocol.MachineType
	images              map[string]time.Time // since when each is there, or when its fetch will end
	fetches             time.Time            // when the last of its fetches ends
}

func (w *Simulation) boot(machine *Machine, after time.Duration) {
	go func() {
		time.Sleep(after)
		w.mu.Lock()
		if machine.gone {
			w.mu.Unlock()
			return
		}
		machine.up, machine.incarnation, machine.leaseRenewedAt = true, 1, time.Now()
		w.mu.Unlock()
		if !w.SharedTicker {
			go w.tasksLoop(machine)
		}
		w.heartbeatLoop(machine)
	}()
}

// Die stops a machine with all that is on it.
func (w *Simulation) Die(m *Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !m.gone {
		w.remove(m)
		m.failed = time.Now()
		w.charge(m)
	}
}

func (w *Simulation) remove(m *Machine) {
	m.gone = true
	m.disconnect()
	for _, t := range m.tasks {
		w.removeFromCloud(m, t)
		w.mark(t)
	}
	m.tasks = nil
}

// Set changes a machine: hang, sick, cut or a spot notice.
func (w *Simulation) Set(m *Machine, f func(*Machine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(m)
}

// HangingMachine, Sick, CutOff, Deaf, Mute and Notice are changes for Set.
func HangingMachine(on bool) func(*Machine)   { return func(m *Machine) { m.hanging = on } }
func UnhealthyMachine(on bool) func(*Machine) { return func(m *Machine) { m.unhealthy = on } }
func CutOff(on bool) func(*Machine)           { return func(m *Machine) { m.partitioned = on } }
func DeafMachine(on bool) func(*Machine)      { return func(m *Machine) { m.deafToController = on } }
func MuteMachine(on bool) func(*Machine)      { return func(m *Machine) { m.silentToControllers = on } }
func PreemptionNotice(d time.Duration) func(*Machine) {
	return func(m *Machine) { m.preemptionNotice = time.Now().Add(d) }
}

func (m *Machine) wake() {
	select {
	case m.wakeUp <- struct{}{}:
	default:
	}
}

func (w *Simulation) sendHeartbeat(machine *Machine) *protocol.Heartbeat {
	machine.seq++
	r := &protocol.Heartbeat{Machine: machine.Name, Addr: machine.Addr, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: machine.incarnation, Seq: machine.seq, FencingToken: machine.fencingToken}
	if !machine.preemptionNotice.IsZero() {
		left := time.Until(machine.preemptionNotice).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, t := range machine.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: protocol.TaskName(t.job.ID, t.index), Attempt: t.attempt,
			State: t.state, Cause: t.cause, Checkpointed: t.saved})
	}
	return r
}

// execute carries out commands as a worker does.
func (w *Simulation) execute(machine *Machine, cmds []protocol.Command) {
	for _, command := range cmds {
		id, index, _ := protocol.SplitTask(command.Task)
		i := slices.IndexFunc(machine.tasks, func(t *task) bool { return t.job.ID == id && t.index == index && t.attempt == command.Attempt })
		switch command.Op {
		case protocol.OpLaunch:
			if i >= 0 {
				continue
			}
			job := w.jobs[id]
			if job == nil || index >= job.Tasks {
				machine.tasks = append(machine.tasks, &task{job: &Job{ID: id}, index: index, attempt: command.Attempt, state: protocol.TaskExited, cause: protocol.CauseUnknown})
				machine.wake()
				continue
			}
			simulatorTask := &task{job: job, index: index, attempt: command.Attempt, state: protocol.TaskFetching}
			cpus, gpus, mem := job.Cpus, job.spec("accelerators"), job.spec("ramGb")
			for _, o := range machine.tasks {
				if o.state != protocol.TaskExited {
					cpus, gpus, mem = cpus+o.job.Cpus, gpus+o.job.spec("accelerators"), mem+o.job.spec("ramGb")
					if o.job == job && o.index == index {
						simulatorTask.state, simulatorTask.cause = protocol.TaskExited, protocol.CauseBusy
					}
				}
			}
			const slack = 1e-6
			if simulatorTask.state != protocol.TaskExited && (cpus > machine.machineType.Cpus+slack || gpus > machine.machineType.Gpus+slack || mem > machine.machineType.MemGB+slack) {
				simulatorTask.state, simulatorTask.cause = protocol.TaskExited, protocol.CauseNoCapacity
			}
			if simulatorTask.state == protocol.TaskFetching {
				simulatorTask.ends = w.fetch(machine, job)
				if w.Launched != nil {
					w.Launched(job, index)
				}
			}
			machine.tasks = append(machine.tasks, simulatorTask)
			machine.wake()
		case protocol.OpKill:
			if i < 0 || machine.tasks[i].state == protocol.TaskExited {
				continue
			}
			t := machine.tasks[i]
			save := t.job.spec("markCostS")
			if t.state == protocol.TaskRunning && t.job.spec("markEveryS") > 0 && command.GraceS >= save {
				t.state, t.ends = protocol.TaskCheckpointing, time.Now().Add(w.fast(seconds(save)))
			} else if t.state != protocol.TaskCheckpointing || command.GraceS == 0 {
				w.removeFromCloud(machine, t)
				w.mark(t)
				t.state, t.cause = protocol.TaskExited, protocol.CauseStopped
			}
			machine.wake()
		case protocol.OpClear:
			if i >= 0 && machine.tasks[i].state == protocol.TaskExited {
				machine.tasks = slices.Delete(machine.tasks, i, i+1)
				machine.wake()
			}
		}
	}
}

func (w *Simulation) heartbeatLoop(machine *Machine) {
	every := seconds(w.Settings.Deployment.Workers.HeartbeatS)
	for w.ctx.Err() == nil {
		w.mu.Lock()
		if machine.gone {
			w.mu.Unlock()
			return
		}
		if machine.hanging {
			w.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		heartbeat := w.sendHeartbeat(machine)
		sent := time.Now()
		at := machine.node % len(w.controllers)
		node := w.controllers[at]
		cut := machine.partitioned || machine.silentToControllers || w.partitioned(node, machine)
		delay := time.Duration(0)
		if w.LateHeartbeats != nil {
			delay = w.LateHeartbeats(machine.Name)
		}
		deaf, copied := machine.deafToController, time.Duration(0)
		if w.CopiedHeartbeats != nil {
			copied = w.CopiedHeartbeats(machine.Name)
		}
		if w.KeptHeartbeats != nil && w.KeptHeartbeats(machine.Name) {
			w.kept = append(w.kept, heartbeat)
		}
		w.mu.Unlock()
		if copied > 0 {
			go func() {
				time.Sleep(copied)
				if n := w.Controller(at); !n.ended() { // its successor's process, where there is one
					w.Copies.Add(1)
					n.handleHeartbeat(w.ctx, heartbeat, func(int, any) {})
				}
			}()
		}
		status, body := 0, any(nil)
		ch := make(chan struct{}, 1)
		if delay > 0 {
			go func() {
				time.Sleep(delay)
				if n := w.Controller(at); !n.ended() {
					n.handleHeartbeat(w.ctx, heartbeat, func(int, any) {})
				}
			}()
		}
		switch {
		case cut || delay > 0 || node.cut(NoWorkers):
			time.Sleep(4 * time.Second)
		case deaf && !node.ended():
			node.handleHeartbeat(w.ctx, heartbeat, func(int, any) {})
			time.Sleep(4 * time.Second)
		case !node.ended():
			node.handleHeartbeat(w.ctx, heartbeat, func(s int, b any) {
				if node.cut(NoWorkers) {
					return // cut off while it held the answer back: that is lost
				}
				raw, _ := json.Marshal(b)
				status = s
				var a protocol.HeartbeatResponse
				var red protocol.Redirect
				if s == 200 {
					_ = json.Unmarshal(raw, &a)
					body = a
				} else {
					_ = json.Unmarshal(raw, &red)
					body = red
				}
				ch <- struct{}{}
			})
			t := time.NewTimer(4 * time.Second)
			select {
			case <-ch:
				time.Sleep(time.Millisecond)
			case <-t.C:
				status = 0
			}
			t.Stop()
		}
		w.mu.Lock()
		wait := time.Second
		switch {
		case machine.gone || machine.hanging:
		case status == 200:
			a := body.(protocol.HeartbeatResponse)
			if heartbeat.Incarnation == machine.incarnation && a.FencingToken >= machine.fencingToken {
				machine.leaseRenewedAt = sent
				machine.fencingToken = max(machine.fencingToken, a.FencingToken)
				w.execute(machine, a.Commands)
			}
			wait = every*3/4 + time.Duration(w.Random.IntN(int(every)/2))
		case status == 421:
			name := body.(protocol.Redirect).Member
			i := slices.IndexFunc(w.controllers, func(n *ControllerProcess) bool { return n.Name == name })
			if i >= 0 && i != machine.node%len(w.controllers) {
				machine.node = i
				wait = 100 * time.Millisecond
			} else {
				machine.node++
			}
		default:
			machine.node++
		}
		w.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-machine.wakeUp:
			timer.Stop()
			time.Sleep(max(0, 500*time.Millisecond-time.Since(sent)))
			if status != 200 && status != 421 {
				time.Sleep(time.Second)
			}
		case <-w.ctx.Done():
			timer.Stop()
			return
		}
	}
}

// executeCommand carries out direct commands if token and session allow it, and heartbeats.
func (w *Simulation) executeCommand(m *Machine, cmd protocol.DirectCommands) (*protocol.Heartbeat, int) {
	status := 409
	if cmd.FencingToken >= m.fencingToken && cmd.Incarnation == m.incarnation {
		m.fencingToken = cmd.FencingToken
		w.execute(m, cmd.Commands)
		status = 200
	}
	m.wake()
	return w.sendHeartbeat(m), status
}

// fetch tells when a job's image is on a machine. Images come one after another, as they
// share the rate, and the first of those that no task needs make room.
func (w *Simulation) fetch(machine *Machine, job *Job) time.Time {
	name, _ := job.Spec["kit"].(string)
	now := time.Now()
	if at, ok := machine.images[name]; ok {
		return at
	}
	takes := time.Duration(0)
	if machine.machineType.FetchGBs > 0 {
		takes = w.fast(seconds(job.spec("pullGb") / machine.machineType.FetchGBs))
	}
	machine.fetches = latest(machine.fetches, now).Add(takes)
	if len(machine.images) >= max(1, int(machine.machineType.CacheGB/max(0.1, job.spec("pullGb")))) {
		oldest := ""
		for n, at := range machine.images {
			needed := slices.ContainsFunc(machine.tasks, func(t *task) bool { return t.state != protocol.TaskExited && t.job.Spec["kit"] == n })
			if !needed && (oldest == "" || at.Before(machine.images[oldest])) {
				oldest = n
			}
		}
		delete(machine.images, oldest)
	}
	machine.images[name] = machine.fetches
	return machine.fetches
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fast is how long work takes that is stated to take d: machines work at the world's speed.
func (w *Simulation) fast(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.speed())
}

func (w *Simulation) speed() float64 {
	if w.Speed > 0 {
		return w.Speed
	}
	return 1
}

// spec is an amount of the job's description.
func (j *Job) spec(name string) float64 {
	v, _ := j.Spec[name].(float64)
	return v
}

// run is how long a task runs.
func (j *Job) run(task int) time.Duration {
	if task < len(j.runs) {
		return j.runs[task]
	}
	return j.Run
}

// save keeps what a task has done since it began.
func (j *Job) save(t *task, ran time.Duration, speed float64) {
	if ran > 0 && j.saved != nil {
		j.saved[t.index] = min(j.run(t.index), j.saved[t.index]+time.Duration(float64(ran)*speed))
	}
}

// mark keeps the latest checkpoint that a task which ends now has saved by itself.
func (w *Simulation) mark(t *task) {
	if every := w.fast(seconds(t.job.spec("markEveryS"))); every > 0 && t.state == protocol.TaskRunning {
		t.job.save(t, time.Since(t.began)/every*every, w.speed())
	}
}

type workerLink struct {
	simulation *Simulation
	controller *ControllerProcess
}

// Command sends commands straight to a worker.
func (l *workerLink) Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	time.Sleep(time.Millisecond)
	l.controller.pause()
	began := time.Now()
	sim := l.simulation
	sim.mu.Lock()
	var machine *Machine
	for _, x := range sim.machines {
		if x.Addr == addr && x.up && !x.gone {
			machine = x
		}
	}
	do := func() (*protocol.Heartbeat, int) { return sim.executeCommand(machine, cmd) }
	if machine != nil && sim.LateCommands != nil {
		if d := sim.LateCommands(machine.Name, cmd); d > 0 {
			sim.mu.Unlock()
			go func() {
				time.Sleep(d)
				sim.mu.Lock()
				defer sim.mu.Unlock()
				if !machine.gone {
					do()
				}
			}()
			time.Sleep(timeout)
			return nil, 0, protocol.ErrUnknown
		}
	}
	if machine == nil || machine.hanging || machine.partitioned || machine.deafToController || sim.partitioned(l.controller, machine) || l.controller.cut(NoWorkers) || l.controller.ended() {
		hung := machine != nil && machine.hanging && !l.controller.cut(NoWorkers)
		sim.mu.Unlock()
		if hung { // it executes them when it resumes
			go func() {
				for sim.ctx.Err() == nil {
					time.Sleep(300 * time.Millisecond)
					sim.mu.Lock()
					if machine.gone || !machine.hanging {
						if !machine.gone {
							do()
						}
						sim.mu.Unlock()
						return
					}
					sim.mu.Unlock()
				}
			}()
		}
		time.Sleep(timeout)
		return nil, 0, protocol.ErrUnknown
	}
	heartbeat, status := do()
	held := time.Millisecond
	if sim.LateAnswers != nil {
		held = max(held, sim.LateAnswers(machine.Name))
	}
	sim.mu.Unlock()
	time.Sleep(min(held, timeout))
	if held >= timeout {
		return nil, 0, protocol.ErrUnknown
	}
	if l.controller.stalledThrough(began, timeout) {
		return nil, 0, protocol.ErrUnknown
	}
	return heartbeat, status, nil
}
