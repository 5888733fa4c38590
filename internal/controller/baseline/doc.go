// Package baseline estimates the usual demand of each class queue, so that an overload of one class can be
// distinguished from the usual demand of the others. See "Overloads" in docs/design.md.
//
// Nothing here reads a clock or performs I/O: the leader passes in the arrivals of each time window.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package baseline
