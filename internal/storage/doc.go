// Package storage holds a controller's copy of the cluster state: jobs, tasks, machines and teams
// by dense index, and the translation between them and the records in the state service.
//
// The package has three layers:
//
//   - The records and their codec (records.go, keys.go, record_codec.go, packer.go,
//     packed_records.go, bitmap.go). They are pure: no function there reads or changes a Cache.
//   - The Cache and its appliers (cache.go and the apply_*.go files). Apply takes one change of one
//     record, in any order in which a controller may learn of it, and drops what is out of date.
//   - The types that the Cache owns, each in a file of its own: jobTable, machineTable,
//     dependencyGraph, completionSets, chunkedDescriptions, victimIndex, sortedViews, imageSizes and
//     changeFeed. Only their own methods write their fields.
//
// A Cache is used by one goroutine at a time; it has no locks. docs/ARCHITECTURE.md shows how the
// package fits between the state service and the scheduler.
package storage
