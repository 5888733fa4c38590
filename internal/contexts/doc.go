// Package contexts owns dykectl's configuration file: which clusters there are, and which one
// is meant.
//
// docs/ARCHITECTURE.md says which programs and packages there are.
package contexts
