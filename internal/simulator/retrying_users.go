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

// Users are users of the simulation's controllers who repeat what has no certain answer, as the protocol
// asks them to. They do as the load tool's do over HTTP.
type Users struct{ Simulation *Simulation }

// statusError is an answer that is final and holds no state.
type statusError struct {
	request string
	status  int
}

// Error tells the request and the status.
func (e *statusError) Error() string { return fmt.Sprintf("%s got %d", e.request, e.status) }

func (u Users) retryUntilFinal(ctx context.Context, name string, request func(context.Context, *controller.Controller) controller.Answer) (protocol.JobState, error) {
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

// Submit submits a job until that is certain.
func (u Users) Submit(ctx context.Context, body []byte) (protocol.JobState, error) {
	return u.retryUntilFinal(ctx, "a submission", func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Submit(ctx, body) })
}

// Cancel cancels a job until that is certain.
func (u Users) Cancel(ctx context.Context, id string) (protocol.JobState, error) {
	return u.retryUntilFinal(ctx, id, func(ctx context.Context, c *controller.Controller) controller.Answer { return c.Cancel(ctx, id) })
}

// Status asks for a job once.
func (u Users) Status(id string) (protocol.JobState, error) {
	answer := u.Simulation.query(id)
	if state, ok := decodeJobState(answer); ok {
		return state, nil
	}
	return protocol.JobState{}, &statusError{id, answer.Status}
}
