// Package fieldcheck validates the fields of a hand-written settings file.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package fieldcheck

import "dykeledge/internal/config"

// Checker records the first invalid field. It is not safe for concurrent use.
type Checker struct {
	prefix string
	err    error
}

// WithPrefix returns a checker that puts prefix before the names of the fields it reports.
func WithPrefix(prefix string) *Checker { return &Checker{prefix: prefix} }

// Require records field as invalid if ok is false and no field has been recorded before. expected says in a few words
// which values are valid.
func (c *Checker) Require(ok bool, field, expected string) {
	if !ok && c.err == nil {
		c.err = &config.FieldError{Field: c.prefix + field, Expected: expected}
	}
}

// Err returns a *config.FieldError for the first invalid field, or nil if all are valid.
func (c *Checker) Err() error { return c.err }
