package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FieldError is the error for a field that is missing or invalid.
type FieldError struct{ Field, Expected string }

// Error returns the message for the operator.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: expected %s", e.Field, e.Expected) }

// PositionError is the error for a TOML text that can't be decoded, with the field and its position.
type PositionError struct {
	Field        string // full key, separated by dots
	Line, Column int    // both start at 1
	Expected     string
	Err          error // the TOML library's error
}

// Error returns the message for the operator, on one line.
func (e *PositionError) Error() string {
	return fmt.Sprintf("field %s (line %d, column %d): expected %s", e.Field, e.Line, e.Column, e.Expected)
}

// Unwrap returns the TOML library's error.
func (e *PositionError) Unwrap() error { return e.Err }

// TOMLError converts an error of the TOML library to one with a one-line message; if the position of
// the fault is known, it is a *PositionError.
func TOMLError(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		return positionError(&unknownKeys.Errors[0], "a known name")
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return positionError(malformed, "valid TOML of the right type: "+oneLineError{malformed}.Error())
	}
	return fmt.Errorf("expected TOML: %w", oneLineError{err})
}

func positionError(err *toml.DecodeError, expected string) *PositionError {
	line, column := err.Position()
	return &PositionError{Field: strings.Join(err.Key(), "."), Line: line, Column: column, Expected: expected, Err: err}
}

// oneLineError wraps an error and replaces line breaks in its message by spaces.
type oneLineError struct{ err error }

// Error returns the wrapped error's message on one line.
func (e oneLineError) Error() string { return strings.ReplaceAll(e.err.Error(), "\n", " ") }

// Unwrap returns the wrapped error.
func (e oneLineError) Unwrap() error { return e.err }
