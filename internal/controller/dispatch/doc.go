// Package dispatch reconciles the desired attempts in a machine's record with the attempts that its worker
// reports in heartbeats: it determines which attempts have provably ended and which commands to send.
//
// Nothing here reads a clock or performs I/O: the controller passes heartbeats in and sends the returned
// commands.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package dispatch
