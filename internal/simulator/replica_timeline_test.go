package simulator

import (
	"bytes"
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

const (
	// timelineInterval is the time between two observations of the replicas.
	timelineInterval = time.Second
	// explainedPeriod is how much of the controllers' log explains replicas that do not run.
	explainedPeriod = 200 * time.Second
	// maxMachineEvents is how many events of a machine are listed.
	maxMachineEvents = 400
	// maxLogLines is how many lines of the controllers' log are kept.
	maxLogLines = 20000
)

// recentLog keeps the latest lines that controllers log.
type recentLog struct {
	mu    sync.Mutex
	lines []loggedLine
}

// loggedLine is a line of a controller's log.
type loggedLine struct {
	at   time.Time
	text string
}

// Write keeps a line.
func (l *recentLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) == maxLogLines {
		l.lines = slices.Delete(l.lines, 0, maxLogLines/2)
	}
	_, text, _ := strings.Cut(string(bytes.TrimSpace(line)), " ") // without the time, which format adds
	l.lines = append(l.lines, loggedLine{time.Now(), text})
	return len(line), nil
}

// newRecentLog returns a logger for a simulation's controllers, and the lines that it keeps.
func newRecentLog() (*slog.Logger, *recentLog) {
	kept := &recentLog{}
	return slog.New(slog.NewTextHandler(kept, &slog.HandlerOptions{Level: slog.LevelInfo})), kept
}

// since returns the lines from a time on, with the time since the start of the simulation.
func (l *recentLog) since(from, start time.Time) (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if !line.at.Before(from) {
			lines = append(lines, fmt.Sprintf("%9.3f s %s", line.at.Sub(start).Seconds(), line.text))
		}
	}
	return lines
}

// replica is one task of a service.
type replica struct {
	job  *Job
	task int
}

// replicaChange is what a replica waits for from a time on; "running" if it runs.
type replicaChange struct {
	at   time.Time
	what string
}

// replicaTimeline records, second by second, what each replica of some services waits for.
type replicaTimeline struct {
	sim      *Simulation
	log      *recentLog
	mu       sync.Mutex
	services []*Job
	changes  map[replica][]replicaChange
}

// add adds a service to observe.
func (r *replicaTimeline) add(service *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = append(r.services, service)
}

// watchReplicas observes the replicas of the services that are added until the simulation ends.
func (sim *Simulation) watchReplicas(log *recentLog) *replicaTimeline {
	timeline := &replicaTimeline{sim: sim, log: log, changes: map[replica][]replicaChange{}}
	go func() {
		for sim.ctx.Err() == nil {
			time.Sleep(timelineInterval)
			timeline.observe()
		}
	}()
	return timeline
}

// observe records what each replica waits for now, if that has changed.
func (r *replicaTimeline) observe() {
	now, placed := time.Now(), r.sim.placedOn()
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.services {
		for task := range job.Tasks {
			key := replica{job, task}
			what := r.sim.replicaState(job, task, placed[protocol.TaskName(job.ID, task)])
			if history := r.changes[key]; len(history) == 0 || history[len(history)-1].what != what {
				r.changes[key] = append(history, replicaChange{now, what})
			}
		}
	}
}

// placedOn returns, by task, the machine on which the machine groups' records place it.
func (sim *Simulation) placedOn() map[string]string {
	placed := map[string]string{}
	for group := 0; ; group++ {
		raw, ok := sim.Store.Value(storage.GroupKey(group))
		if !ok {
			return placed
		}
		record, err := storage.DecodeGroup(raw)
		if err != nil {
			continue
		}
		for _, machine := range record.Machines {
			for _, tasks := range machine.Tasks {
				for i := 0; i+3 < len(tasks.Numbers); i += 4 {
					placed[protocol.TaskName(tasks.Job, int(tasks.Numbers[i]))] = machine.Name
				}
			}
		}
	}
}

// replicaState returns what a replica waits for, given the machine on which the records place it.
func (sim *Simulation) replicaState(job *Job, task int, machineName string) string {
	if running := job.runningOn[task]; running != nil {
		return "running"
	}
	if machineName == "" {
		return fmt.Sprintf("not placed, %d machines available at the cloud", sim.available())
	}
	machine := sim.machines[machineName]
	switch {
	case machine == nil || machine.gone:
		return "placed on " + machineName + ", which is gone, proof awaited"
	case !machine.booted:
		return "placed on " + machineName + ", which boots"
	}
	for _, attempt := range machine.tasks {
		if attempt.job == job && attempt.index == task {
			return fmt.Sprintf("%s on %s since its launch, %s", attempt.state, machineName, attempt.cause)
		}
	}
	return "placed on " + machineName + ", not launched"
}

// machinesOf returns the names of the machines on which the records place replicas. The caller holds the mutex.
func (r *replicaTimeline) machinesOf(replicas []replica) (names []string) {
	placed := r.sim.placedOn()
	for _, key := range replicas {
		if name := placed[protocol.TaskName(key.job.ID, key.task)]; name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// explain returns the history of the replicas that do not run now, and the controllers' log.
func (r *replicaTimeline) explain() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, now := r.sim.StartTime, time.Now()
	var out strings.Builder
	keys := make([]replica, 0, len(r.changes))
	for key, history := range r.changes {
		if history[len(history)-1].what != "running" {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b replica) int { return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.task, b.task)) })
	for _, key := range keys {
		fmt.Fprintf(&out, "\n%s/%d, submitted at %.0f s:", key.job.ID, key.task, key.job.SubmittedAt.Sub(start).Seconds())
		for _, change := range r.changes[key] {
			fmt.Fprintf(&out, "\n    %5.0f s %s", change.at.Sub(start).Seconds(), change.what)
		}
	}
	for _, machine := range r.machinesOf(keys) {
		fmt.Fprintf(&out, "\nevents of %s:\n%s", machine, r.sim.events.latest(maxMachineEvents, func(e *event) bool { return e.machine == machine }))
	}
	fmt.Fprintf(&out, "\nthe controllers' log:\n%s", strings.Join(r.log.since(now.Add(-explainedPeriod), start), "\n"))
	return out.String()
}
