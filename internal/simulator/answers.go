package simulator

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

// This file checks the answers that users get, both against earlier answers and against the simulated state.

// decodeJobState returns the job state that a successful answer holds, and whether it holds one.
func decodeJobState(answer controller.Answer) (protocol.JobState, bool) {
	raw, err := json.Marshal(answer.Body)
	var state protocol.JobState
	return state, err == nil && answer.Status >= 200 && answer.Status < 300 && json.Unmarshal(raw, &state) == nil
}

// isRefusal reports whether an answer refuses a request permanently. Status 429 and above are temporary.
func isRefusal(answer controller.Answer) bool {
	return answer.Status >= http.StatusBadRequest && answer.Status < http.StatusTooManyRequests
}

// reportViolation records a violated rule. It acquires the simulation's mutex, so the caller must not hold it.
func (sim *Simulation) reportViolation(format string, arguments ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.addViolation(format, arguments...)
}

// checkState checks the state in an answer about a job against what users had been told when the request was sent,
// and against the simulated state of the job. The caller must not hold the simulation's mutex.
func (sim *Simulation) checkState(job *Job, state protocol.JobState, previous lastAnswer) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if previous.status.Final() && state.Status != previous.status || job.reportedStatus.Final() && state.Status.Final() && state.Status != job.reportedStatus {
		sim.addViolation("went_back: %s was %s and is %s", job.ID, job.reportedStatus, state.Status)
	}
	if state.Status == protocol.Done && len(job.done) < job.Tasks {
		sim.addViolation("not_done: %s with %d of %d tasks", job.ID, len(job.done), job.Tasks)
	}
	if state.Status == protocol.Cancelled && !job.cancelRequested {
		if requested, _ := job.hasCancelledDependency(); !requested {
			sim.addViolation("went_back: %s is cancelled although no cancellation was requested", job.ID)
		}
	}
	job.noteAnswer(state.Status)
}

// checkAnswer checks an answer to a status request for a job or to its repeated submission. For an accepted job, it
// must hold a state or be a temporary error. It reports whether the answer holds a state. The caller must not hold
// the simulation's mutex.
func (sim *Simulation) checkAnswer(job *Job, answer controller.Answer, previous lastAnswer) bool {
	if state, ok := decodeJobState(answer); ok {
		sim.checkState(job, state, previous)
		if answer.Status == http.StatusCreated && previous.accepted {
			sim.reportViolation("accepted twice: %s", job.ID)
		}
		return true
	}
	if isRefusal(answer) && previous.accepted {
		sim.reportViolation("forgotten: accepted job %s was answered with status %d", job.ID, answer.Status)
	}
	return false
}

// checkNeverSubmitted requests the status of a job that was never submitted: no controller may report a state.
func (sim *Simulation) checkNeverSubmitted(id string) {
	if answer := sim.query(id); answer.Status == http.StatusOK {
		sim.reportViolation("invented: a state was reported for %s, which was never submitted", id)
	}
}

const (
	queryAllRounds   = 3
	queryAllInterval = 3 * time.Millisecond
)

// QueryAllControllers requests the status of a job from every controller that users reach, and repeats the job's submission
// there, in several rounds within milliseconds. It checks each answer.
func (sim *Simulation) QueryAllControllers(job *Job) {
	body, _ := json.Marshal(job.Spec) // the specification holds only JSON values
	for range queryAllRounds {
		for i := range sim.Settings.Deployment.Controllers {
			process := sim.Controller(i)
			if process.ended() || process.isPartitionedFrom(NoUsers) {
				continue
			}
			previous := sim.lastAnswerOf(job)
			for _, request := range []func(ctx context.Context) controller.Answer{
				func(ctx context.Context) controller.Answer { return process.Core.Query(ctx, job.ID) },
				func(ctx context.Context) controller.Answer { return process.Core.Submit(ctx, body) },
			} {
				go sim.queryController(process, job, previous, request)
			}
		}
		time.Sleep(queryAllInterval)
	}
}

// queryController sends a request about a job to one controller and checks the answer.
func (sim *Simulation) queryController(process *ControllerProcess, job *Job, previous lastAnswer, request func(ctx context.Context) controller.Answer) {
	ctx, cancel := context.WithTimeout(sim.ctx, queryTimeout)
	defer cancel()
	answer := request(ctx)
	if !process.ended() && !process.isPartitionedFrom(NoUsers) && sim.checkAnswer(job, answer, previous) {
		sim.QueryAllAnswers.Add(1)
	}
}

// queryAllIfEnabled calls QueryAllControllers for a job if QueryAllAfterAnswers is set.
func (sim *Simulation) queryAllIfEnabled(j *Job) {
	sim.mu.Lock()
	enabled := sim.QueryAllAfterAnswers
	sim.mu.Unlock()
	if enabled {
		sim.QueryAllControllers(j)
	}
}

// oddRequest is a submission that either repeats a job's ID with another body, or must be refused.
type oddRequest struct {
	body            []byte
	submittedBefore bool // the job was submitted before: the answer holds its state
	wantStatus      int  // the expected status if submittedBefore is false
}

// oddRequestsOf returns submissions that repeat a job's ID with other bodies, and submissions with an unused ID
// that ask for too many CPUs, lack a field or name an unknown team.
func oddRequestsOf(job *Job, unusedID string) []oddRequest {
	with := func(id, field string, value any) []byte {
		spec := maps.Clone(job.Spec)
		if spec["id"] = id; value == nil {
			delete(spec, field)
		} else {
			spec[field] = value
		}
		body, _ := json.Marshal(spec) // the specification holds only JSON values
		return body
	}
	return []oddRequest{
		{body: with(job.ID, "shards", 77), submittedBefore: true, wantStatus: http.StatusOK},
		{body: with(job.ID, "cpus", nil), submittedBefore: true, wantStatus: http.StatusOK},
		{body: with(job.ID, "cpus", 500.0), submittedBefore: true, wantStatus: http.StatusOK},
		{body: with(unusedID, "cpus", 500.0), wantStatus: http.StatusUnprocessableEntity},
		{body: with(unusedID, "shape", nil), wantStatus: http.StatusBadRequest},
		{body: with(unusedID, "crew", "nobody"), wantStatus: http.StatusUnprocessableEntity},
	}
}

// OddRequests sends the submissions of oddRequestsOf and checks that none is accepted as a new job. It returns the
// number of checked answers.
func (sim *Simulation) OddRequests(job *Job) (checked int) {
	sim.mu.Lock()
	unusedID := sim.nextUnusedID()
	sim.mu.Unlock()
	for _, odd := range oddRequestsOf(job, unusedID) {
		previous := sim.lastAnswerOf(job)
		answer := sim.ask(submitTimeout, func(ctx context.Context, c *controller.Controller) controller.Answer {
			return c.Submit(ctx, odd.body)
		})
		if answer.Status == 0 || answer.Status == http.StatusServiceUnavailable {
			continue
		}
		checked++
		if odd.submittedBefore {
			sim.checkAnswer(job, answer, previous)
		} else if answer.Status != odd.wantStatus {
			sim.reportViolation("invalid submission %s was answered with status %d, expected %d", odd.body, answer.Status, odd.wantStatus)
		}
	}
	sim.checkNeverSubmitted(unusedID)
	return checked
}
