// Package dispatch reconciles what a machine's record wants with what its worker's heartbeats tell: it
// finds which attempts are proved to be gone, and which commands the difference takes.
//
// Nothing here reads a clock or performs I/O: the controller passes heartbeats in and sends the commands
// that come out.
//
// See docs/ARCHITECTURE.md for where the package stands among the others.
package dispatch
