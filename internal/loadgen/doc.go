// Package loadgen is an open-loop load generator: it submits jobs to a deployment at the times that a profile file
// describes, whether or not earlier requests have been answered, and measures latencies and outcomes.
//
// Profile is the content of the file, Profile.Plan draws the jobs from it, and Runner submits them at their times.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package loadgen
