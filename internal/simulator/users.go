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

// The users' timing.
const (
	submitTimeout          = 5 * time.Second
	queryTimeout           = 2 * time.Second
	queryInterval          = 2 * time.Second
	submitRetryInterval    = time.Second
	dependencyPollInterval = 200 * time.Millisecond
	noControllerDelay      = 500 * time.Millisecond // as long as no controller can be reached
)

// neverSubmitted is the ID of a job that nobody submits.
const neverSubmitted = "job-999999"

// JobSpec describes a job to submit.
type JobSpec struct {
	Team, Urgency, Shape string
	Class                string // "c" if it is not given
	Tasks                int
	Cpus                 float64
	Gpus, MemGB          float64 // 0: none, and 4
	Image                string  // "img-1" if it is not given
	ImageGB              float64 // 0.5 if it is not given
	Run                  time.Duration
	Runs                 []time.Duration // by task, where they differ
	NoSpot               bool
	Together, Scatter    bool
	Zone                 string
	CheckpointS          float64
	Broken               bool
	CancelAfter          time.Duration
	Dependencies         []*Job
	Due                  float64
}

// newJob is the job that a description asks for.
func (want JobSpec) newJob(id string) *Job {
	class := cmp.Or(want.Class, "c")
	job := &Job{ID: id, Team: want.Team, Class: class, At: time.Now(), Tasks: want.Tasks, Run: want.Run, taskRunTimes: want.Runs, Cpus: want.Cpus, Spot: !want.NoSpot,
		Broken: want.Broken, done: map[int]bool{}, savedProgress: map[int]time.Duration{}, on: map[int]*Machine{}, dependencies: want.Dependencies,
		Spec: map[string]any{"id": id, "jobclass": class, "crew": want.Team, "shape": cmp.Or(want.Shape, "batch"), "urgency": cmp.Or(want.Urgency, "normal"),
			"shards": want.Tasks, "cpus": want.Cpus, "accelerators": want.Gpus, "ramGb": cmp.Or(want.MemGB, 4), "kit": cmp.Or(want.Image, "img-1"), "pullGb": cmp.Or(want.ImageGB, 0.5),
			"hulls": nil, "berth": nil, "together": want.Together, "scatter": want.Scatter, "loaners": !want.NoSpot,
			"expectedS": want.Run.Seconds(), "markEveryS": want.CheckpointS, "markCostS": 1.0, "dueS": nil}}
	if len(want.Dependencies) > 0 {
		var ids []string
		for _, dependency := range want.Dependencies {
			ids = append(ids, dependency.ID)
		}
		job.Spec["awaits"] = ids
	}
	if want.Due > 0 {
		job.Spec["dueS"] = want.Due
	}
	if want.Zone != "" {
		job.Spec["berth"] = want.Zone
	}
	return job
}

// User submits a job, polls it and perhaps cancels it, as users do, and checks
// what it is told.
func (sim *Simulation) User(want JobSpec) *Job {
	sim.mu.Lock()
	id := fmt.Sprintf("job-%06d", len(sim.jobs)+1+sim.Random.IntN(9)*100_000) // in no order
	job := want.newJob(id)
	sim.add(job)
	sim.mu.Unlock()
	go sim.userLoop(job, want.CancelAfter)
	return job
}

// userLoop is one user's work on a job: to submit it, to poll it, and to cancel it after a time, if there is one.
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

// submit submits a job until it is accepted, and tells whether its user goes on: not if it is refused.
func (sim *Simulation) submit(job *Job) bool {
	body, _ := json.Marshal(job.Spec) // a job's description holds only what JSON can
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
			sim.reportViolation("forgotten: submission of %s got %d", job.ID, answer.Status)
			return false
		}
		time.Sleep(submitRetryInterval)
	}
	return true
}

// poll asks for a job once, and checks the answer.
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
		sim.violation("orphaned: %s is %s", job.ID, state.Status)
	}
}

// query asks some controller for a job.
func (sim *Simulation) query(id string) controller.Answer {
	return sim.ask(queryTimeout, func(ctx context.Context, c *controller.Controller) controller.Answer {
		return c.Query(ctx, id)
	})
}

// ask sends a request to some controller, as the load balancer would.
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

// anyController is some controller that users reach, nil if there is none.
func (sim *Simulation) anyController() *ControllerProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	serving := sim.servingUsers()
	if len(serving) == 0 {
		return nil
	}
	return serving[sim.Random.IntN(len(serving))]
}

// cancelJob asks some controller once to cancel a job, and tells whether its user got a final answer.
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

// cancelConfirmed takes the answer to a cancellation.
func (sim *Simulation) cancelConfirmed(j *Job, state protocol.JobState, previous lastAnswer) {
	sim.checkState(j, state, previous)
	sim.mu.Lock()
	if state.Status == protocol.Cancelled && j.cancelConfirmedAt.IsZero() {
		j.cancelConfirmedAt = time.Now()
	}
	sim.mu.Unlock()
	sim.queryAllIfEnabled(j)
}

// CancelNow has a job's user cancel it, again and again until that is answered.
func (sim *Simulation) CancelNow(j *Job) {
	go func() {
		for sim.ctx.Err() == nil && !sim.cancelJob(j) {
			time.Sleep(submitRetryInterval)
		}
	}()
}

// CancelAt asks controller i to cancel a job, once, and tells whether it confirmed that.
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
