// Package schedule decides which task runs on which machine: it places waiting tasks, orders class queues
// and teams by fair share, and chooses which running tasks to preempt.
//
// All decisions depend on their input alone. Nothing here reads a clock, draws a random number or performs
// I/O, so the same input gives the same decisions. The controller builds the input from the replicated
// state and commits the decisions.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package schedule
