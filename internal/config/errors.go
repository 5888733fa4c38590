package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FieldError names the field of the settings that is missing or invalid.
type FieldError struct{ Field, Expected string }

// Error is the text for the operator.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: expected %s", e.Field, e.Expected) }

// PositionError names the field and the place of a TOML text that can't be read.
type PositionError struct {
	Field        string // its whole key, with dots
	Line, Column int    // from 1
	Expected     string
	Err          error // what the TOML library says
}

// Error is the text for the operator, on one line.
func (e *PositionError) Error() string {
	return fmt.Sprintf("field %s (line %d, column %d): expected %s", e.Field, e.Line, e.Column, e.Expected)
}

// Unwrap is the TOML library's error.
func (e *PositionError) Unwrap() error { return e.Err }

// TOMLError says on one line where a TOML text is wrong.
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

// oneLineError is an error whose text is put on one line.
type oneLineError struct{ err error }

// Error is the error's text.
func (e oneLineError) Error() string { return strings.ReplaceAll(e.err.Error(), "\n", " ") }

// Unwrap is the error itself.
func (e oneLineError) Unwrap() error { return e.err }
