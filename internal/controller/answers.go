package controller

import (
	"net/http"

	"dykeledge/internal/protocol"
)

// Answer is the HTTP response to a user. RetryAfter is the delay in seconds before the user should send the
// request again; 0: no retry is suggested.
type Answer struct {
	Status     int
	Body       any
	RetryAfter int
}

// retryAfterS is the delay, in seconds, after which a user should repeat a request that cannot be answered
// now.
const retryAfterS = 1

// errorAnswer returns an answer with an error text. Status 503 (service unavailable) also gets a retry delay.
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

// jobStateAnswer returns an answer with the state of a job.
func jobStateAnswer(state protocol.JobState) Answer {
	return Answer{Status: http.StatusOK, Body: state}
}
