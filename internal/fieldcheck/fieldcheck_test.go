package fieldcheck

import (
	"errors"
	"testing"

	"dykeledge/internal/config"
)

func TestFirstFieldIsKept(t *testing.T) {
	check := WithPrefix("stream[2].")
	if err := check.Err(); err != nil {
		t.Errorf("no field was checked, got the error %v", err)
	}
	check.Require(true, "team", "a team's name")
	if err := check.Err(); err != nil {
		t.Errorf("all fields are valid, got the error %v", err)
	}
	check.Require(false, "cpus", "a number above 0")
	check.Require(false, "gpus", "a number of 0 or more")
	var fieldError *config.FieldError
	if err := check.Err(); !errors.As(err, &fieldError) || fieldError.Field != "stream[2].cpus" || fieldError.Expected != "a number above 0" {
		t.Errorf("got %v, want an error for the first of two invalid fields, stream[2].cpus", check.Err())
	}
}
