package storage

import (
	"encoding/json"
	"errors"
	"fmt"
)

// The reasons for which a change is refused. Apply returns them within a RecordError; they are
// found with errors.Is. A change that is merely stale is no error: Apply drops it and returns nil.
var (
	// ErrLayout says that the records are of an earlier layout, one key a machine,
	// which this version does not read: see the operators' handbook.
	ErrLayout = errors.New("a record of an earlier layout; the state service must be emptied before this version starts")
	// ErrCorrupt says that a record's value cannot be decoded or contradicts another record.
	ErrCorrupt = errors.New("corrupt record")
	// ErrUnknownReference says that a record refers to a job, machine, team or shard that is not
	// known. Records are read in any order, so the change may be accepted when it is read again.
	ErrUnknownReference = errors.New("unknown reference")
	// ErrInvalidKey says that a key names no record that there may be.
	ErrInvalidKey = errors.New("invalid key")
	// ErrUnexpectedDeletion says that a record was deleted that never is.
	ErrUnexpectedDeletion = errors.New("unexpected deletion")
)

// RecordError is a change of a record that the cache could not take.
type RecordError struct {
	Key      string
	Revision uint64 // of the change, as the state service counts them
	Cause    error  // wraps ErrLayout, ErrCorrupt, ErrUnknownReference, ErrInvalidKey or ErrUnexpectedDeletion
}

// Error names the record, the change and its cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s at revision %d: %v", e.Key, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// decodeJSON reads a record that is plain JSON. What was read before an error is returned with it;
// the error wraps ErrCorrupt.
func decodeJSON[T any](raw json.RawMessage) (record T, err error) {
	err = decodeInto(raw, &record)
	return record, err
}

// decodeInto is decodeJSON for a record that is kept where it is.
func decodeInto[T any](raw json.RawMessage, record *T) error {
	if err := json.Unmarshal(raw, record); err != nil {
		return wrapCorrupt(err)
	}
	return nil
}

// wrapCorrupt marks a decoder's error as ErrCorrupt and keeps the error itself in the chain.
func wrapCorrupt(err error) error { return fmt.Errorf("%w: %w", ErrCorrupt, err) }
