package protocol

import (
	"errors"
	"fmt"
)

// The outcomes of a request to another service. Errors of clients wrap one of them.
var (
	// ErrRefused says that the request was certainly not executed.
	ErrRefused = errors.New("refused")
	// ErrUnknown says that the request may have been executed, or may be executed later.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNotFound says that what the request names does not exist (status 404).
	ErrNotFound = errors.New("not found")
	// ErrTooOld says that the state service no longer has the revision to watch from; the watcher has
	// to read everything anew (status 410).
	ErrTooOld = errors.New("revision is too old")
	// ErrTooLarge says that a value or a transaction exceeds a limit of the state service (status 400).
	// It comes along with ErrRefused.
	ErrTooLarge = errors.New("over a limit of size")
	// ErrNoLease says that a session lease has ended.
	ErrNoLease = errors.New("no such hold")
	// ErrNoCapacity says that the cloud has no machine of the type, zone and market to rent now.
	ErrNoCapacity = errors.New("no capacity")
)

// The reasons for which a user's request is refused before its fields are read.
var (
	// ErrBodyTooLarge says that the body is larger than MaxBody.
	ErrBodyTooLarge = errors.New("body is larger than 64 KiB")
	// ErrNotObject says that the body is something else than a JSON object.
	ErrNotObject = errors.New("body is not a JSON object")
	// ErrNotJSON says that the body begins like a JSON object but is malformed.
	ErrNotJSON = errors.New("body is not valid JSON")
)

// ErrFrame says that a frame is malformed; the connection that it came from must be closed.
var ErrFrame = errors.New("malformed frame")

// FieldError says which field of a submission is wrong, by its name on the wire, and what of it:
// "field shards is not between 1 and 100000". Its text is for the user.
type FieldError struct {
	Field   string // the field's name on the wire
	Problem string // what was expected and is not so
}

// Error is the text for the user.
func (e *FieldError) Error() string { return "field " + e.Field + " " + e.Problem }

// fieldError makes a FieldError with a formatted problem.
func fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// HeartbeatError says what is wrong with a worker's heartbeat.
type HeartbeatError struct {
	Problem string
	Err     error // the cause, if another error is one
}

// Error is the text that the worker gets.
func (e *HeartbeatError) Error() string { return "report: " + e.Problem }

// Unwrap is the cause, or nil.
func (e *HeartbeatError) Unwrap() error { return e.Err }

// ErrHeartbeatNotObject says that a heartbeat is something else than a JSON object.
var ErrHeartbeatNotObject = errors.New("report is not a JSON object")
