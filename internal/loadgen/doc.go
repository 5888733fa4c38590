// Package loadgen makes jobs come to a deployment as a file describes them, whether or not
// earlier ones have been answered, and measures what becomes of them.
//
// A Profile is the file, Profile.Plan draws the jobs of it, a Runner submits them at their times.
//
// docs/ARCHITECTURE.md says how controllers, state service, cloud and workers work together.
package loadgen
