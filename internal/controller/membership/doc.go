// Package membership decides which controller owns which shard.
//
// The decision depends on its input alone. Nothing here reads a clock or performs I/O: the leader passes in
// the live members and the current owners, and commits the returned owners.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package membership
