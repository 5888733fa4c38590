// Package view is the read model of a deployment, used by the console, reports and scripts. It holds
// rows for jobs, machines and victim sets and their totals, all at one stated revision of the state
// service. A Model is owned by one goroutine. A Snapshot of it is taken in constant time, is immutable
// and may be read by any number of goroutines.
//
// Amounts are integers, in thousandths (processors, accelerators) and millionths (money), so that
// totals stay exact over any number of additions and subtractions. Fields that end in PM are in
// permille. Times are Unix times in milliseconds.
//
// A Hub passes snapshots to readers in the same process. Pages of a feed (AppendPage, ReadPage) carry
// them over the network to a mirror, from which Model.SnapshotWithHead builds a snapshot again.
//
// See docs/ARCHITECTURE.md for how controllers, state service, cloud and workers work together.
package view
