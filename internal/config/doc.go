// Package config loads and validates the two files that a controller is started with: the settings
// file, which the platform provides ([Load]), and the features file, which enables optional features
// of a deployment ([LoadFeatures]).
//
// Field tags hold the keys in the files; the Go fields use the program's own names. Suffixes of keys
// and fields are units: S for seconds, Ms for milliseconds, KB and MB for 1024 and 1024² bytes, RPS for
// requests per second. docs/ARCHITECTURE.md shows how the package relates to the others.
package config
