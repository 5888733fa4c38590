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

// This file checks what users are told against what was said before, and what is.

// decodeJobState is the job's state in an answer, if there is one.
func decodeJobState(answer controller.Answer) (protocol.JobState, bool) {
	raw, err := json.Marshal(answer.Body)
	var state protocol.JobState
	return state, err == nil && answer.Status >= 200 && answer.Status < 300 && json.Unmarshal(raw, &state) == nil
}

// isRefusal tells whether an answer refuses a request for good.
func isRefusal(answer controller.Answer) bool {
	return answer.Status >= http.StatusBadRequest && answer.Status < http.StatusTooManyRequests
}

// reportViolation notes a rule that is broken. The simulation is not locked.
func (sim *Simulation) reportViolation(format string, arguments ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violation(format, arguments...)
}

// checkState checks an answer about a job against what was said when it was asked for, and what is. The simulation is
// not locked.
func (sim *Simulation) checkState(job *Job, state protocol.JobState, previous lastAnswer) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if previous.status.Final() && state.Status != previous.status || job.reportedStatus.Final() && state.Status.Final() && state.Status != job.reportedStatus {
		sim.violation("went_back: %s was %s and is %s", job.ID, job.reportedStatus, state.Status)
	}
	if state.Status == protocol.Done && len(job.done) < job.Tasks {
		sim.violation("not_done: %s with %d of %d tasks", job.ID, len(job.done), job.Tasks)
	}
	if state.Status == protocol.Cancelled && !job.cancelRequested {
		if requested, _ := job.hasCancelledDependency(); !requested {
			sim.violation("went_back: %s is cancelled although nobody asked", job.ID)
		}
	}
	job.noteAnswer(state.Status)
}

// checkAnswer takes an answer to a question about a job, or to its repeated submission: only a state, or none for now.
// It tells whether there is a state in it. The simulation is not locked.
func (sim *Simulation) checkAnswer(job *Job, answer controller.Answer, previous lastAnswer) bool {
	if state, ok := decodeJobState(answer); ok {
		sim.checkState(job, state, previous)
		if answer.Status == http.StatusCreated && previous.accepted {
			sim.reportViolation("accepted twice: %s", job.ID)
		}
		return true
	}
	if isRefusal(answer) && previous.accepted {
		sim.reportViolation("forgotten: %s got %d", job.ID, answer.Status)
	}
	return false
}

// checkNeverSubmitted asks for a job that nobody has submitted: no controller may know it.
func (sim *Simulation) checkNeverSubmitted(id string) {
	if answer := sim.query(id); answer.Status == http.StatusOK {
		sim.reportViolation("invented: %s, a job that nobody submitted", id)
	}
}

const (
	queryAllRounds   = 3
	queryAllInterval = 3 * time.Millisecond
)

// CloseLook asks for a job at all controllers within milliseconds, again and again, and repeats its submission there.
func (sim *Simulation) CloseLook(job *Job) {
	body, _ := json.Marshal(job.Spec) // a job's description holds only what JSON can
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

// queryController sends a request about a job to one controller, and checks the answer.
func (sim *Simulation) queryController(process *ControllerProcess, job *Job, previous lastAnswer, request func(ctx context.Context) controller.Answer) {
	ctx, cancel := context.WithTimeout(sim.ctx, queryTimeout)
	defer cancel()
	answer := request(ctx)
	if !process.ended() && !process.isPartitionedFrom(NoUsers) && sim.checkAnswer(job, answer, previous) {
		sim.Looks.Add(1)
	}
}

// queryAllIfEnabled is a close queryAllIfEnabled, where users take them.
func (sim *Simulation) queryAllIfEnabled(j *Job) {
	sim.mu.Lock()
	enabled := sim.CloseLooks
	sim.mu.Unlock()
	if enabled {
		sim.CloseLook(j)
	}
}

// oddRequest is a submission that repeats a job's with another body, or that can't be accepted.
type oddRequest struct {
	body            []byte
	submittedBefore bool // the job was submitted before, and its state is told
	wantStatus      int  // the status otherwise
}

// oddRequestsOf are a job's submission with other bodies, and what can't run or lacks a field.
func oddRequestsOf(job *Job, unusedID string) []oddRequest {
	with := func(id, field string, value any) []byte {
		spec := maps.Clone(job.Spec)
		if spec["id"] = id; value == nil {
			delete(spec, field)
		} else {
			spec[field] = value
		}
		body, _ := json.Marshal(spec) // a job's description holds only what JSON can
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

// OddRequests repeats a job's submission with other bodies, and sends what can't run and what lacks a field: nothing of
// that may be accepted. It returns how many answers it checked.
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
			sim.reportViolation("accepted though it can't be: %s got %d, want %d", odd.body, answer.Status, odd.wantStatus)
		}
	}
	sim.checkNeverSubmitted(unusedID)
	return checked
}
