package storage

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Reasons for rejecting a change. Apply wraps them in a RecordError; use errors.Is to test for them.
// A stale change is not an error: Apply drops it and returns nil.
var (
	// ErrForeignLayout reports a foreign layout: the records have an earlier layout with one key per
	// machine, which this version does not read. See the operators' handbook.
	ErrForeignLayout = errors.New("a record of an earlier layout; the state service must be emptied before this version starts")
	// ErrCorrupt reports a value that cannot be decoded or that contradicts another record.
	ErrCorrupt = errors.New("corrupt record")
	// ErrUnknownReference reports a reference to a job, machine, team, shard or description chunk
	// that is not in the cache. Records are read in any order, so the change may be accepted when
	// it is read again.
	ErrUnknownReference = errors.New("unknown reference")
	// ErrInvalidKey reports a key that cannot belong to any record.
	ErrInvalidKey = errors.New("invalid key")
	// ErrUnexpectedDeletion reports the deletion of a record of a kind that is never deleted.
	ErrUnexpectedDeletion = errors.New("unexpected deletion")
)

// RecordError describes a record change that the cache rejected.
type RecordError struct {
	Key      string
	Revision uint64 // the state service's revision of the change
	Cause    error  // wraps ErrForeignLayout, ErrCorrupt, ErrUnknownReference, ErrInvalidKey or ErrUnexpectedDeletion
}

// Error returns the record's key, the revision of the change and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s at revision %d: %v", e.Key, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// decodeJSON decodes a plain JSON record. On an error, which wraps ErrCorrupt, it also returns the
// fields that were decoded before the error.
func decodeJSON[T any](raw json.RawMessage) (record T, err error) {
	err = decodeInto(raw, &record)
	return record, err
}

// decodeInto is like decodeJSON but decodes into an existing record.
func decodeInto[T any](raw json.RawMessage, record *T) error {
	if err := json.Unmarshal(raw, record); err != nil {
		return wrapCorrupt(err)
	}
	return nil
}

// wrapCorrupt wraps a decoder's error with ErrCorrupt; the error itself stays in the chain.
func wrapCorrupt(err error) error { return fmt.Errorf("%w: %w", ErrCorrupt, err) }
