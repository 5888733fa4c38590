// Package view is the read model of a deployment that console, report and scripts share:
// jobs, machines, evicted sets and the sums over them, all at one stated revision of the
// state service. A Model is kept by one goroutine; a Snapshot of it is taken in constant
// time, never changes, and may be read by any number of goroutines.
//
// Amounts are whole thousandths (processors, accelerators) and millionths (money), so that
// sums are exact however often something is added and taken away. Fields that end in PM are
// permille; times are milliseconds of the day's clock.
//
// A Hub hands snapshots to readers in a controller; pages of a feed (AppendPage, ReadPage) hand
// them over the network, where Model.Mirrored makes them whole again.
//
// docs/ARCHITECTURE.md says how controllers, state service, cloud and workers work together.
package view
