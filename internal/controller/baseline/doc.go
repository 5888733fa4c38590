// Package baseline learns what the classes of the teams ask for most of the time, so that an overload of
// one class can be told from what the others ask for always. See "Overloads" in docs/design.md.
//
// Nothing here reads a clock or performs I/O: the leader passes in what arrived in each window of time.
//
// See docs/ARCHITECTURE.md for where the package stands among the others.
package baseline
