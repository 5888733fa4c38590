package simulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

// Timing of the users' requests.
const (
	submitTimeout          = 5 * time.Second
	queryTimeout           = 2 * time.Second
	queryInterval          = 2 * time.Second
	submitRetryInterval    = time.Second
	dependencyPollInterval = 200 * time.Millisecond
	noControllerDelay      = 500 * time.Millisecond // delay of a request while no controller can be reached
)

// neverSubmitted is the ID of a job that is never submitted.
const neverSubmitted = "job-999999"

// JobSpec describes a job to submit.
type JobSpec struct {
	Team, Urgency, Shape string
	Class                string // default "c"
	Tasks                int
	Cpus                 float64
	Gpus, MemGB          float64 // default 0 and 4
	Image                string  // default "img-1"
	ImageGB              float64 // default 0.5
	RunTime              time.Duration
	TaskRunTimes         []time.Duration // run times by task, if they differ
	NoSpot               bool
	Together, Scatter    bool
	Zone                 string
	Types                []string // allowed machine types; default: any
	CheckpointS          float64
	AlwaysFails          bool
	FailsOnce            bool // the first attempt of each task fails
	CancelAfter          time.Duration
	Dependencies         []*Job
	DueS                 float64
}

// newJob returns the job that a JobSpec describes.
func (spec JobSpec) newJob(id string) *Job {
	class := cmp.Or(spec.Class, "c")
	job := &Job{ID: id, Team: spec.Team, Class: class, SubmittedAt: time.Now(), Tasks: spec.Tasks, RunTime: spec.RunTime, taskRunTimes: spec.TaskRunTimes, Cpus: spec.Cpus, Spot: !spec.NoSpot,
		AlwaysFails: spec.AlwaysFails, FailsOnce: spec.FailsOnce, done: map[int]bool{}, savedProgress: map[int]time.Duration{}, runningOn: map[int]*Machine{}, dependencies: spec.Dependencies,
		Spec: map[string]any{"id": id, "jobclass": class, "crew": spec.Team, "shape": cmp.Or(spec.Shape, "batch"), "urgency": cmp.Or(spec.Urgency, "normal"),
			"shards": spec.Tasks, "cpus": spec.Cpus, "accelerators": spec.Gpus, "ramGb": cmp.Or(spec.MemGB, 4), "kit": cmp.Or(spec.Image, "img-1"), "pullGb": cmp.Or(spec.ImageGB, 0.5),
			"hulls": nil, "berth": nil, "together": spec.Together, "scatter": spec.Scatter, "loaners": !spec.NoSpot,
			"expectedS": spec.RunTime.Seconds(), "markEveryS": spec.CheckpointS, "markCostS": 1.0, "dueS": nil}}
	if len(spec.Dependencies) > 0 {
		var ids []string
		for _, dependency := range spec.Dependencies {
			ids = append(ids, dependency.ID)
		}
		job.Spec["awaits"] = ids
	}
	if spec.DueS > 0 {
		job.Spec["dueS"] = spec.DueS
	}
	if spec.Zone != "" {
		job.Spec["berth"] = spec.Zone
	}
	if len(spec.Types) > 0 {
		job.Spec["hulls"] = spec.Types
	}
	return job
}

// StartUser submits a job in the background, polls its state and, if the description says so, cancels it. It checks
// every answer.
func (sim *Simulation) StartUser(spec JobSpec) *Job {
	sim.mu.Lock()
	id := fmt.Sprintf("job-%06d", len(sim.jobs)+1+sim.Random.IntN(9)*100_000) // the IDs are in no order
	job := spec.newJob(id)
	sim.add(job)
	sim.mu.Unlock()
	go sim.userLoop(job, spec.CancelAfter)
	return job
}

// userLoop submits a job and polls it. It cancels the job after a time, unless that is 0.
func (sim *Simulation) userLoop(job *Job, cancelAfter time.Duration) {
	for sim.ctx.Err() == nil && !sim.dependenciesAccepted(job) {
		time.Sleep(dependencyPollInterval)
	}
	if !sim.submit(job) {
		return
	}
	since := time.Now()
	cancelled := cancelAfter == 0
	for sim.ctx.Err() == nil {
		if !cancelled && time.Since(since) >= cancelAfter {
			cancelled = sim.cancelJob(job)
		}
		sim.poll(job)
		sim.checkNeverSubmitted(neverSubmitted)
		time.Sleep(queryInterval)
	}
}

func (sim *Simulation) dependenciesAccepted(job *Job) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !slices.ContainsFunc(job.dependencies, func(dependency *Job) bool { return !dependency.accepted })
}

// submit submits a job until it is accepted, and reports whether its user goes on. A user whose submission is
// refused does not.
func (sim *Simulation) submit(job *Job) bool {
	body, _ := json.Marshal(job.Spec) // the specification holds only JSON values
	for sim.ctx.Err() == nil {
		previous := sim.lastAnswerOf(job)
		answer := sim.ask(submitTimeout, func(ctx context.Context, c *controller.Controller) controller.Answer {
			return c.Submit(ctx, body)
		})
		if state, ok := decodeJobState(answer); ok {
			sim.checkState(job, state, previous)
			sim.queryAllIfEnabled(job)
			return true
		}
		if isRefusal(answer) {
			sim.reportViolation("forgotten: submission of %s was refused with status %d", job.ID, answer.Status)
			return false
		}
		time.Sleep(submitRetryInterval)
	}
	return true
}

// poll requests a job's state once and checks the answer.
func (sim *Simulation) poll(job *Job) {
	previous := sim.lastAnswerOf(job)
	answer := sim.query(job.ID)
	if !sim.checkAnswer(job, answer, previous) {
		return
	}
	state, _ := decodeJobState(answer)
	if state.Status.Final() && !previous.status.Final() {
		sim.queryAllIfEnabled(job)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	_, confirmedAt := job.hasCancelledDependency()
	if !state.Status.Final() && !confirmedAt.IsZero() && time.Since(confirmedAt) > seconds(sim.Settings.Deployment.Workers.CancelS) {
		sim.addViolation("orphaned: %s is %s although a dependency was cancelled", job.ID, state.Status)
	}
}

// query requests a job's state from some controller.
func (sim *Simulation) query(id string) controller.Answer {
	return sim.ask(queryTimeout, func(ctx context.Context, c *controller.Controller) controller.Answer {
		return c.Query(ctx, id)
	})
}

// ask sends a request to some controller, as the load balancer does. It returns an empty answer if no answer
// arrives.
func (sim *Simulation) ask(timeout time.Duration, request func(context.Context, *controller.Controller) controller.Answer) controller.Answer {
	process := sim.anyController()
	if process == nil {
		time.Sleep(noControllerDelay)
		return controller.Answer{}
	}
	ctx, cancel := context.WithTimeout(sim.ctx, timeout)
	defer cancel()
	answers := make(chan controller.Answer, 1)
	go func() { answers <- request(ctx, process.Core) }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		if process.ended() || process.isPartitionedFrom(NoUsers) {
			return controller.Answer{}
		}
		return answer
	case <-timer.C:
		return controller.Answer{}
	}
}

// anyController returns a random controller that users reach, or nil.
func (sim *Simulation) anyController() *ControllerProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	serving := sim.servingUsers()
	if len(serving) == 0 {
		return nil
	}
	return serving[sim.Random.IntN(len(serving))]
}

// cancelJob requests the cancellation of a job from some controller once, and reports whether the answer held a
// final state.
func (sim *Simulation) cancelJob(job *Job) bool {
	sim.noteCancelRequest(job)
	previous := sim.lastAnswerOf(job)
	answer := sim.ask(submitTimeout, func(ctx context.Context, c *controller.Controller) controller.Answer {
		return c.Cancel(ctx, job.ID)
	})
	state, ok := decodeJobState(answer)
	if !ok || !state.Status.Final() {
		if answer.Status == 404 {
			sim.checkAnswer(job, answer, previous)
		}
		return false
	}
	sim.cancelConfirmed(job, state, previous)
	return true
}

func (sim *Simulation) noteCancelRequest(job *Job) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	job.cancelRequested = true
}

// cancelConfirmed checks the answer to a cancellation and records when it was confirmed.
func (sim *Simulation) cancelConfirmed(j *Job, state protocol.JobState, previous lastAnswer) {
	sim.checkState(j, state, previous)
	sim.mu.Lock()
	if state.Status == protocol.Cancelled && j.cancelConfirmedAt.IsZero() {
		j.cancelConfirmedAt = time.Now()
		sim.events.add(event{kind: cancelConfirmed, job: j.ID, task: allTasks})
	}
	sim.mu.Unlock()
	sim.queryAllIfEnabled(j)
}

// CancelNow makes a job's user cancel the job in the background, until the answer holds a final state.
func (sim *Simulation) CancelNow(j *Job) {
	go func() {
		for sim.ctx.Err() == nil && !sim.cancelJob(j) {
			time.Sleep(submitRetryInterval)
		}
	}()
}

// CancelAt requests the cancellation of a job from controller i once, and reports whether the controller confirmed
// it.
func (sim *Simulation) CancelAt(job *Job, i int) bool {
	sim.noteCancelRequest(job)
	process, previous := sim.Controller(i), sim.lastAnswerOf(job)
	ctx, cancel := context.WithTimeout(sim.ctx, submitTimeout)
	defer cancel()
	state, ok := decodeJobState(process.Core.Cancel(ctx, job.ID))
	if !ok || state.Status != protocol.Cancelled || process.ended() || process.isPartitionedFrom(NoUsers) {
		return false
	}
	sim.cancelConfirmed(job, state, previous)
	return true
}
