// Package console displays the read model as tables and as an interactive terminal screen that updates
// itself.
//
// See docs/ARCHITECTURE.md for how the read model gets from the controllers to its readers.
package console
