package protocol

import (
	"errors"
	"fmt"
)

// The outcomes of a failed request to another service. Errors of clients wrap one of them.
var (
	// ErrRefused means that the request was certainly not executed.
	ErrRefused = errors.New("refused")
	// ErrOutcomeUnknown means that the request may have been executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotFound means that the object that the request names does not exist (status 404).
	ErrNotFound = errors.New("not found")
	// ErrRevisionTooOld means that the state service no longer has the revision to watch from. The watcher must
	// read all keys again (status 410).
	ErrRevisionTooOld = errors.New("revision is too old")
	// ErrTooLarge means that a value or a transaction exceeds a size limit of the state service (status
	// 400). Errors that wrap it wrap ErrRefused too.
	ErrTooLarge = errors.New("over a limit of size")
	// ErrLeaseExpired means that a session lease has expired.
	ErrLeaseExpired = errors.New("no such hold")
	// ErrNoCapacity means that the cloud has no machine of the requested type and zone, spot or on-demand
	// as requested, available now.
	ErrNoCapacity = errors.New("no capacity")
)

// The errors for a user's request that is rejected before its fields are decoded.
var (
	// ErrBodyTooLarge means that the body is larger than MaxBodyBytes.
	ErrBodyTooLarge = errors.New("body is larger than 64 KiB")
	// ErrNotObject means that the body is not a JSON object.
	ErrNotObject = errors.New("body is not a JSON object")
	// ErrNotJSON means that the body begins like a JSON object but is malformed.
	ErrNotJSON = errors.New("body is not valid JSON")
)

// ErrMalformedFrame means that a frame does not have the expected format. The connection on which it was
// received must be closed.
var ErrMalformedFrame = errors.New("malformed frame")

// FieldError is the error for an invalid field of a submission. Its message is for the user and names
// the field as in the JSON: "field shards is not between 1 and 100000".
type FieldError struct {
	Field   string // the field's name in the JSON
	Problem string // which requirement the value violates
}

// Error returns the message for the user.
func (e *FieldError) Error() string { return "field " + e.Field + " " + e.Problem }

// fieldError returns a FieldError with a formatted problem.
func fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// HeartbeatError is the error for an invalid heartbeat of a worker.
type HeartbeatError struct {
	Problem string
	Err     error // the cause; nil if there is none
}

// Error returns the message that is sent to the worker.
func (e *HeartbeatError) Error() string { return "report: " + e.Problem }

// Unwrap returns the cause, or nil.
func (e *HeartbeatError) Unwrap() error { return e.Err }

// ErrHeartbeatNotObject means that a heartbeat is not a JSON object.
var ErrHeartbeatNotObject = errors.New("report is not a JSON object")
