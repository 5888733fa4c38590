// Package config reads and checks the two files that a controller is started with: the settings that
// the platform hands it ([Load]), and the features that a deployment switches on ([LoadFeatures]).
//
// Field tags give the keys in the files; the fields have the names that the program uses. Suffixes of
// keys and fields are units: S seconds, Ms milliseconds, KB and MB 1024 and 1024² bytes, RPS requests
// a second. docs/ARCHITECTURE.md shows how the package fits in with the others.
package config
