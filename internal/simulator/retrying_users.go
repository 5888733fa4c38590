package simulator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
	"dykeledge/internal/wait"
)

// RetryingUsers are users who repeat a request until its answer is final, as the protocol demands. The load tool's users do
// the same over HTTP.
type RetryingUsers struct{ Simulation *Simulation }

// statusError is a final answer that holds no job state.
type statusError struct {
	request string
	status  int
}

// Error returns the request and the status of its answer.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s: final answer with status %d", e.request, e.status)
}

func (u RetryingUsers) retryUntilFinal(ctx context.Context, name string, request func(context.Context, *controller.Controller) controller.Answer) (protocol.JobState, error) {
	for ctx.Err() == nil {
		answer := u.Simulation.ask(submitTimeout, request)
		if state, ok := decodeJobState(answer); ok {
			return state, nil
		}
		switch answer.Status {
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			return protocol.JobState{}, &statusError{name, answer.Status}
		}
		wait.For(ctx, time.Second+time.Duration(u.Simulation.Random.IntN(250))*time.Millisecond)
	}
	return protocol.JobState{}, ctx.Err()
}

// Submit submits a job and repeats the submission until it gets a final answer.
func (u RetryingUsers) Submit(ctx context.Context, body []byte) (protocol.JobState, error) {
	return u.retryUntilFinal(ctx, "submission", func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Submit(ctx, body) })
}

// Cancel cancels a job and repeats the request until it gets a final answer.
func (u RetryingUsers) Cancel(ctx context.Context, id string) (protocol.JobState, error) {
	return u.retryUntilFinal(ctx, id, func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Cancel(ctx, id) })
}

// Status requests a job's state once.
func (u RetryingUsers) Status(id string) (protocol.JobState, error) {
	answer := u.Simulation.query(id)
	if state, ok := decodeJobState(answer); ok {
		return state, nil
	}
	return protocol.JobState{}, &statusError{id, answer.Status}
}
