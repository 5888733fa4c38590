package simulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

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

// User submits a job, polls it and perhaps cancels it, as users do, and checks
// what it is told.
func (w *Simulation) User(want JobSpec) *Job {
	w.mu.Lock()
	id := fmt.Sprintf("job-%06d", len(w.jobs)+1+w.Random.IntN(9)*100_000) // in no order
	if want.Shape == "" {
		want.Shape = "batch"
	}
	if want.Urgency == "" {
		want.Urgency = "normal"
	}
	if want.Class == "" {
		want.Class = "c"
	}
	job := &Job{ID: id, Team: want.Team, Class: want.Class, At: time.Now(), Tasks: want.Tasks, Run: want.Run, runs: want.Runs, Cpus: want.Cpus, Spot: !want.NoSpot,
		Broken: want.Broken, done: map[int]bool{}, saved: map[int]time.Duration{}, on: map[int]*Machine{},
		Spec: map[string]any{"id": id, "jobclass": want.Class, "crew": want.Team, "shape": want.Shape, "urgency": want.Urgency,
			"shards": want.Tasks, "cpus": want.Cpus, "accelerators": want.Gpus, "ramGb": cmp.Or(want.MemGB, 4), "kit": cmp.Or(want.Image, "img-1"), "pullGb": cmp.Or(want.ImageGB, 0.5),
			"hulls": nil, "berth": nil, "together": want.Together, "scatter": want.Scatter, "loaners": !want.NoSpot,
			"expectedS": want.Run.Seconds(), "markEveryS": want.CheckpointS, "markCostS": 1.0, "dueS": nil}}
	if len(want.Dependencies) > 0 {
		var ids []string
		for _, o := range want.Dependencies {
			ids = append(ids, o.ID)
		}
		job.Spec["awaits"], job.awaits = ids, want.Dependencies
	}
	if want.Due > 0 {
		job.Spec["dueS"] = want.Due
	}
	if want.Zone != "" {
		job.Spec["berth"] = want.Zone
	}
	w.jobs[id] = job
	w.order = append(w.order, id)
	w.mu.Unlock()
	go w.userLoop(job, want)
	return job
}

// ask sends a request to some controller, as the load balancer would.
func (w *Simulation) ask(timeout time.Duration, f func(context.Context, *controller.Controller) controller.Answer) controller.Answer {
	w.mu.Lock()
	var running []*ControllerProcess
	for _, n := range w.controllers {
		if !n.ended() && !n.cut(NoUsers) {
			running = append(running, n)
		}
	}
	if len(running) == 0 {
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		return controller.Answer{}
	}
	process := running[w.Random.IntN(len(running))]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	ch := make(chan controller.Answer, 1)
	go func() { ch <- f(ctx, process.Core) }()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case a := <-ch:
		if process.ended() || process.cut(NoUsers) {
			return controller.Answer{}
		}
		return a
	case <-t.C:
		return controller.Answer{}
	}
}

func stateIn(a controller.Answer) (protocol.JobState, bool) {
	raw, err := json.Marshal(a.Body)
	var s protocol.JobState
	return s, err == nil && a.Status >= 200 && a.Status < 300 && json.Unmarshal(raw, &s) == nil
}

// lastAnswer is what a job's users had been told when one of them asked: no answer may be older than that.
type lastAnswer struct {
	status   protocol.JobStatus
	accepted bool
}

// lastAnswerOf is what a job's users have been told so far.
func (w *Simulation) lastAnswerOf(j *Job) lastAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lastAnswer{j.told, j.accepted}
}

// hear checks an answer about a job against what was said when it was asked for, and what is.
func (w *Simulation) hear(job *Job, state protocol.JobState, asked lastAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if asked.status.Final() && state.Status != asked.status || job.told.Final() && state.Status.Final() && state.Status != job.told {
		w.injectFault("went_back: %s was %s and is %s", job.ID, job.told, state.Status)
	}
	if state.Status == protocol.Done && len(job.done) < job.Tasks {
		w.injectFault("not_done: %s with %d of %d tasks", job.ID, len(job.done), job.Tasks)
	}
	if state.Status == protocol.Cancelled && !job.asked {
		if asked, _ := w.before(job); !asked {
			w.injectFault("went_back: %s is cancelled although nobody asked", job.ID)
		}
	}
	job.answered = time.Now()
	if job.accepted = true; !job.told.Final() {
		job.told = state.Status
	}
}

// check takes an answer to a question about a job, or to its repeated submission: only a state, or none for now.
func (w *Simulation) check(job *Job, answer controller.Answer, asked lastAnswer) bool {
	if s, ok := stateIn(answer); ok {
		w.hear(job, s, asked)
		if answer.Status == 201 && asked.accepted {
			w.mu.Lock()
			w.injectFault("accepted twice: %s", job.ID)
			w.mu.Unlock()
		}
		return true
	}
	if answer.Status >= 400 && answer.Status < 429 && asked.accepted {
		w.mu.Lock()
		w.injectFault("forgotten: %s got %d", job.ID, answer.Status)
		w.mu.Unlock()
	}
	return false
}

// CloseLook asks for a job at all controllers within milliseconds, again and again, and repeats its submission there.
func (w *Simulation) CloseLook(job *Job) {
	body, _ := json.Marshal(job.Spec)
	for range 3 {
		for i := range w.Settings.Deployment.Controllers {
			process := w.Controller(i)
			if process.ended() || process.cut(NoUsers) {
				continue
			}
			asked := w.lastAnswerOf(job)
			for _, f := range []func(ctx context.Context) controller.Answer{
				func(ctx context.Context) controller.Answer { return process.Core.Query(ctx, job.ID) },
				func(ctx context.Context) controller.Answer { return process.Core.Submit(ctx, body) },
			} {
				go func() {
					ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
					defer cancel()
					if a := f(ctx); !process.ended() && !process.cut(NoUsers) && w.check(job, a, asked) {
						w.Looks.Add(1)
					}
				}()
			}
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// SetCloseLooks has users look closely from now on, or no more.
func (w *Simulation) SetCloseLooks(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.CloseLooks = on
}

// look is a close look, where users take them.
func (w *Simulation) look(j *Job) {
	w.mu.Lock()
	on := w.CloseLooks
	w.mu.Unlock()
	if on {
		w.CloseLook(j)
	}
}

// OddRequests repeats a job's submission with other bodies, and sends what can't run and what lacks a field: nothing of
// that may be accepted. It returns how many answers it checked.
func (w *Simulation) OddRequests(job *Job) (checked int) {
	with := func(id, field string, v any) []byte {
		spec := map[string]any{}
		for k, x := range job.Spec {
			spec[k] = x
		}
		if spec["id"] = id; v == nil {
			delete(spec, field)
		} else {
			spec[field] = v
		}
		body, _ := json.Marshal(spec)
		return body
	}
	w.mu.Lock()
	w.sendOddRequest++
	none := fmt.Sprintf("job-99%05d", w.sendOddRequest)
	w.mu.Unlock()
	for _, x := range []struct {
		body  []byte
		known bool
		want  int
	}{{with(job.ID, "shards", 77), true, 200}, {with(job.ID, "cpus", nil), true, 200}, {with(job.ID, "cpus", 500.0), true, 200},
		{with(none, "cpus", 500.0), false, 422}, {with(none, "shape", nil), false, 400}, {with(none, "crew", "nobody"), false, 422}} {
		asked := w.lastAnswerOf(job)
		answer := w.ask(5*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer {
			return c.Submit(ctx, x.body)
		})
		if answer.Status == 0 || answer.Status == 503 {
			continue
		}
		checked++
		if x.known {
			w.check(job, answer, asked)
		} else if answer.Status != x.want {
			w.mu.Lock()
			w.injectFault("accepted though it can't be: %s got %d, want %d", x.body, answer.Status, x.want)
			w.mu.Unlock()
		}
	}
	if a := w.ask(2*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Query(ctx, none) }); a.Status == 200 {
		w.mu.Lock()
		w.injectFault("invented: %s", none)
		w.mu.Unlock()
	}
	return checked
}

// Unanswered lists the accepted jobs whose users have had no answer since a time, as forgotten ones are.
func (w *Simulation) Unanswered(since time.Time) []*Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Job
	for _, id := range w.order {
		if j := w.jobs[id]; j.accepted && j.answered.Before(since) {
			out = append(out, j)
		}
	}
	return out
}

func (w *Simulation) userLoop(job *Job, want JobSpec) {
	body, _ := json.Marshal(job.Spec)
	accepted := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !slices.ContainsFunc(job.awaits, func(o *Job) bool { return !o.accepted })
	}
	for w.ctx.Err() == nil && !accepted() {
		time.Sleep(200 * time.Millisecond)
	}
	for w.ctx.Err() == nil {
		asked := w.lastAnswerOf(job)
		answer := w.ask(5*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer {
			return c.Submit(ctx, body)
		})
		if s, ok := stateIn(answer); ok {
			w.hear(job, s, asked)
			w.look(job)
			break
		}
		if answer.Status >= 400 && answer.Status < 429 {
			w.mu.Lock()
			w.injectFault("forgotten: submission of %s got %d", job.ID, answer.Status)
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
	since := time.Now()
	cancelled := want.CancelAfter == 0
	for w.ctx.Err() == nil {
		if !cancelled && time.Since(since) >= want.CancelAfter {
			cancelled = w.cancelJob(job)
		}
		asked := w.lastAnswerOf(job)
		controllerAnswer := w.ask(2*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer {
			return c.Query(ctx, job.ID)
		})
		if w.check(job, controllerAnswer, asked) {
			s, _ := stateIn(controllerAnswer)
			if s.Status.Final() && !asked.status.Final() {
				w.look(job)
			}
			w.mu.Lock()
			_, told := w.before(job)
			if !s.Status.Final() && !told.IsZero() && time.Since(told) > seconds(w.Settings.Deployment.Workers.CancelS) {
				w.injectFault("orphaned: %s is %s", job.ID, s.Status)
			}
			w.mu.Unlock()
		}
		controllerAnswer = w.ask(2*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer {
			return c.Query(ctx, "job-999999")
		})
		if controllerAnswer.Status == 200 {
			w.mu.Lock()
			w.injectFault("invented: a job that nobody submitted")
			w.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
	}
}

// cancelJob asks some controller once to cancel a job, and tells whether its user got a final answer.
func (w *Simulation) cancelJob(job *Job) bool {
	w.mu.Lock()
	job.asked = true
	w.mu.Unlock()
	asked := w.lastAnswerOf(job)
	a := w.ask(5*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer {
		return c.Cancel(ctx, job.ID)
	})
	s, ok := stateIn(a)
	if !ok || !s.Status.Final() {
		if a.Status == 404 {
			w.check(job, a, asked)
		}
		return false
	}
	w.confirmed(job, s, asked)
	return true
}

// confirmed takes the answer to a cancellation.
func (w *Simulation) confirmed(j *Job, s protocol.JobState, asked lastAnswer) {
	w.hear(j, s, asked)
	w.mu.Lock()
	if s.Status == protocol.Cancelled && j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
	w.mu.Unlock()
	w.look(j)
}

// CancelNow has a job's user cancel it, again and again until that is answered.
func (w *Simulation) CancelNow(j *Job) {
	go func() {
		for w.ctx.Err() == nil && !w.cancelJob(j) {
			time.Sleep(time.Second)
		}
	}()
}

// CancelAt asks controller i to cancel a job, once, and tells whether it confirmed that.
func (w *Simulation) CancelAt(job *Job, i int) bool {
	w.mu.Lock()
	job.asked = true
	w.mu.Unlock()
	n, asked := w.Controller(i), w.lastAnswerOf(job)
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	s, ok := stateIn(n.Core.Cancel(ctx, job.ID))
	if !ok || s.Status != protocol.Cancelled || n.ended() || n.cut(NoUsers) {
		return false
	}
	w.confirmed(job, s, asked)
	return true
}

// before tells whether a user has asked to cancel a job that this one needs, directly or
// through others, and since when one was told so.
func (w *Simulation) before(j *Job) (asked bool, told time.Time) {
	for _, o := range j.awaits {
		a, t := w.before(o)
		asked = asked || a || o.asked
		for _, x := range []time.Time{t, o.cancelled} {
			if !x.IsZero() && (told.IsZero() || x.Before(told)) {
				told = x
			}
		}
	}
	return asked, told
}

// Told is what the job's user was last told.
func (w *Simulation) Told(j *Job) protocol.JobStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.told
}

// ServedJobs is a class of a team: how many of its jobs were accepted and not cancelled, and how many of them are done.
type ServedJobs struct {
	Team, Class string
	Due, Done   int
	InTime      int // done within the time that was asked about
}

// Part is the part that is done; 1 where there is nothing to do.
func (s ServedJobs) Part() float64 {
	if s.Due == 0 {
		return 1
	}
	return float64(s.Done) / float64(s.Due)
}

func (s ServedJobs) String() string {
	return fmt.Sprintf("%s of %s: %d of %d done, %d in time", s.Class, s.Team, s.Done, s.Due, s.InTime)
}

// Served tells by class and team what became of the jobs that were first submitted more than
// a time ago.
func (w *Simulation) Served(within time.Duration) []ServedJobs {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []ServedJobs
	for _, id := range w.order {
		job := w.jobs[id]
		if !job.accepted || job.asked || time.Since(job.At) < within {
			continue
		}
		i := slices.IndexFunc(out, func(s ServedJobs) bool { return s.Team == job.Team && s.Class == job.Class })
		if i < 0 {
			i = len(out)
			out = append(out, ServedJobs{Team: job.Team, Class: job.Class})
		}
		out[i].Due++
		if len(job.done) == job.Tasks {
			out[i].Done++
			if job.lastDone.Sub(job.At) <= within {
				out[i].InTime++
			}
		}
	}
	slices.SortFunc(out, func(a, b ServedJobs) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Class, b.Class))
	})
	return out
}

// On is how many of a job's tasks are on machines.
func (w *Simulation) On(j *Job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(j.on)
}

// machinesOf lists the machines that a job's tasks are on.
func (w *Simulation) machinesOf(j *Job) (out []*Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range j.on {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// Users are users of the world's controllers who repeat what has no certain answer, as the protocol
// asks them to. They do as the load tool's do over HTTP.
type Users struct{ Simulation *Simulation }

func (u Users) repeat(ctx context.Context, id string, f func(context.Context, *controller.Controller) controller.Answer) (protocol.JobState, error) {
	for ctx.Err() == nil {
		a := u.Simulation.ask(5*time.Second, f)
		if s, ok := stateIn(a); ok {
			return s, nil
		}
		if a.Status == 400 || a.Status == 422 || a.Status == 404 {
			return protocol.JobState{}, fmt.Errorf("%s got %d", id, a.Status)
		}
		sleep(ctx, time.Second+time.Duration(u.Simulation.Random.IntN(250))*time.Millisecond)
	}
	return protocol.JobState{}, ctx.Err()
}

// Submit submits a job until that is certain.
func (u Users) Submit(ctx context.Context, body []byte) (protocol.JobState, error) {
	return u.repeat(ctx, "a submission", func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Submit(ctx, body) })
}

// Cancel cancels a job until that is certain.
func (u Users) Cancel(ctx context.Context, id string) (protocol.JobState, error) {
	return u.repeat(ctx, id, func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Cancel(ctx, id) })
}

// Status asks for a job once.
func (u Users) Status(id string) (protocol.JobState, error) {
	a := u.Simulation.ask(2*time.Second, func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Query(ctx, id) })
	if s, ok := stateIn(a); ok {
		return s, nil
	}
	return protocol.JobState{}, fmt.Errorf("%s got %d", id, a.Status)
}

// Beside lists the jobs that wait although a machine that fits has room and their team is under its limit.
func (w *Simulation) Beside() []*Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := map[string]float64{}
	for _, j := range w.jobs {
		used[j.Team] += float64(len(j.on)) * j.Cpus
	}
	most := map[string]float64{}
	for _, t := range w.Settings.Deployment.Teams {
		most[t.Name] = t.CpusMax
	}
	var out []*Job
	for _, id := range w.order {
		j := w.jobs[id]
		waits := j.accepted && !j.asked && !j.told.Final() && len(j.on)+len(j.done) < j.Tasks
		waits = waits && (most[j.Team] == 0 || used[j.Team]+j.Cpus <= most[j.Team])
		for _, o := range j.awaits {
			waits = waits && len(o.done) == o.Tasks
		}
		if waits && w.capacityFor(j) {
			out = append(out, j)
		}
	}
	return out
}

// capacityFor tells whether a machine has room for a task of a job, wherever its other tasks are. The world is locked.
func (w *Simulation) capacityFor(job *Job) bool {
	for _, machine := range w.machines {
		if !machine.up || machine.gone || machine.unhealthy || machine.Spot && !job.Spot || job.Spec["berth"] != nil && job.Spec["berth"] != machine.Zone {
			continue
		}
		cpus, gpus, mem := machine.machineType.Cpus-job.Cpus, machine.machineType.Gpus-job.spec("accelerators"), machine.machineType.MemGB-job.spec("ramGb")
		for _, t := range machine.tasks {
			if t.state != protocol.TaskExited {
				cpus, gpus, mem = cpus-t.job.Cpus, gpus-t.job.spec("accelerators"), mem-t.job.spec("ramGb")
			}
		}
		if cpus >= 0 && gpus >= 0 && mem >= 0 {
			return true
		}
	}
	return false
}
