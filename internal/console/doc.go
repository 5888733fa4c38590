// Package console draws the read model for people: as tables, and as a screen for the duty
// room that keeps itself up to date.
//
// docs/ARCHITECTURE.md says how the read model gets from the controllers to those who read it.
package console
