package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"slices"

	"dykeledge/internal/storage"
)

// This file compares and validates teams' guarantees and limits. Its functions depend on no
// controller state.

// limitTolerance is the rounding error, in CPUs or GPUs, by which usage may exceed a limit.
const limitTolerance = 1e-6

// amountExpected describes the valid values of a guarantee or limit in errors.
const amountExpected = "a number of 0 or more; a limit of 0 is none"

// boundNames lists the names of guarantees and limits in a change request, in the order in which
// checkBounds checks them.
var boundNames = []string{"cpus", "cpus_max", "gpus", "gpus_max"}

// excessOf returns by how much a team's usage exceeds its limits. A limit of 0 means no limit.
func excessOf(bounds storage.TeamBounds, used storage.Usage) (cpus, gpus float64) {
	if bounds.CpusMax > 0 {
		cpus = max(0, used.Cpus-bounds.CpusMax)
	}
	if bounds.GpusMax > 0 {
		gpus = max(0, used.Gpus-bounds.GpusMax)
	}
	return cpus, gpus
}

// withinBounds reports whether a team's usage is within its limits.
func withinBounds(bounds storage.TeamBounds, used storage.Usage) bool {
	cpus, gpus := excessOf(bounds, used)
	return cpus <= limitTolerance && gpus <= limitTolerance
}

// lowersLimit reports whether any limit of a is lower than that of b.
func lowersLimit(a, b storage.TeamBounds) bool {
	lower := func(x, y float64) bool { return x > 0 && (y <= 0 || x < y) }
	return lower(a.CpusMax, b.CpusMax) || lower(a.GpusMax, b.GpusMax)
}

// higherLimits returns the higher limit of a and b for each resource, with the guarantees of b. When a
// change lowers one limit and raises another, the raised one thus takes effect immediately.
func higherLimits(a, b storage.TeamBounds) storage.TeamBounds {
	higher := func(x, y float64) float64 {
		if x <= 0 || y <= 0 {
			return 0 // none
		}
		return max(x, y)
	}
	b.CpusMax, b.GpusMax = higher(a.CpusMax, b.CpusMax), higher(a.GpusMax, b.GpusMax)
	return b
}

// changeBounds applies a change, given as a JSON object of names and values, and validates the
// result.
func changeBounds(bounds storage.TeamBounds, change json.RawMessage) (storage.TeamBounds, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(change, &values); err != nil || len(values) == 0 {
		return bounds, &FieldError{"team", "an object of at least one name and value"}
	}
	for name, value := range values {
		if !slices.Contains(boundNames, name) {
			return bounds, &FieldError{name, "cpus, cpus_max, gpus or gpus_max"}
		}
		if bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
			return bounds, &FieldError{name, amountExpected}
		}
	}
	if err := json.Unmarshal(change, &bounds); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return bounds, &FieldError{wrongType.Field, amountExpected}
		}
		return bounds, &FieldError{"team", "an object of names and amounts"}
	}
	return bounds, checkBounds(bounds)
}

// checkBounds returns an error for an invalid amount or a guarantee above the limit.
func checkBounds(bounds storage.TeamBounds) error {
	for i, value := range []float64{bounds.Cpus, bounds.CpusMax, bounds.Gpus, bounds.GpusMax} {
		if math.IsNaN(value) || value < 0 || math.IsInf(value, 0) {
			return &FieldError{boundNames[i], amountExpected}
		}
	}
	if bounds.CpusMax > 0 && bounds.Cpus > bounds.CpusMax {
		return &FieldError{"cpus", "a guarantee that is not above the limit"}
	}
	if bounds.GpusMax > 0 && bounds.Gpus > bounds.GpusMax {
		return &FieldError{"gpus", "a guarantee that is not above the limit"}
	}
	return nil
}
