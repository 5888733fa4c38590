package controller

import (
	"net/http"

	"dykeledge/internal/protocol"
)

// Answer is what a user gets; RetryAfter above 0 is the seconds after which to come back.
type Answer struct {
	Status     int
	Body       any
	RetryAfter int
}

// retryAfterS is how long a user who can't be answered now is asked to wait.
const retryAfterS = 1

// errorAnswer is an answer with an error's text.
func errorAnswer(status int, text string) Answer {
	answer := Answer{Status: status, Body: protocol.ErrorResponse{Error: text}}
	if status == http.StatusServiceUnavailable {
		answer.RetryAfter = retryAfterS
	}
	return answer
}

var (
	retryLater = errorAnswer(http.StatusServiceUnavailable, "the service cannot decide this now, come back shortly")
	unknownJob = errorAnswer(http.StatusNotFound, "no such job")
)

// jobStateAnswer answers with a job's state.
func jobStateAnswer(state protocol.JobState) Answer {
	return Answer{Status: http.StatusOK, Body: state}
}
