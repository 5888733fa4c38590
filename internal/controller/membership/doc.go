// Package membership decides which controller owns which shard.
//
// The decision is a function of its input. Nothing here reads a clock or performs I/O: the leader passes
// in the living controllers and the present owners, and commits the owners that come out.
//
// See docs/ARCHITECTURE.md for where the package stands among the others.
package membership
