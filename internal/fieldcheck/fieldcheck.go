// Package fieldcheck checks the fields of a file that a person has written.
//
// docs/ARCHITECTURE.md says which programs and packages there are.
package fieldcheck

import "dykeledge/internal/config"

// Checker keeps the first field that is not as it should be. A Checker is for one goroutine.
type Checker struct {
	prefix string
	err    error
}

// Under returns a checker of fields whose names begin with a prefix, "" for none.
func Under(prefix string) *Checker { return &Checker{prefix: prefix} }

// Want notes a field unless it is as it should be. expected says in a few words what would be.
func (c *Checker) Want(ok bool, field, expected string) {
	if !ok && c.err == nil {
		c.err = &config.FieldError{Field: c.prefix + field, Expected: expected}
	}
}

// Err returns a *config.FieldError of the first field that is not as it should be, nil if all are.
func (c *Checker) Err() error { return c.err }
