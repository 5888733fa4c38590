// Package storage implements a controller's in-memory cache of the cluster state (jobs, tasks,
// machines and teams, by dense index) and the conversion between the cache and the records in the
// state service.
//
// The package has three layers:
//
//   - The records and their codec (records.go, keys.go, record_codec.go, packer.go,
//     packed_records.go, bitmap.go). No function there reads or changes a Cache.
//   - The Cache and its apply functions (cache.go and the apply_*.go files). Apply processes one
//     change of one record. Changes may arrive in any order; stale ones are dropped.
//   - The types that the Cache owns, each in a file of its own: jobTable, machineTable,
//     dependencyGraph, completionSets, chunkedDescriptions, victimIndex, sortedViews, imageSizes and
//     changeFeed. Only their own methods write their fields.
//
// A Cache has no locks and must not be used by several goroutines at once. docs/ARCHITECTURE.md
// describes the package's place between the state service and the scheduler.
package storage
