// Package contexts reads and writes dykectl's configuration file, which lists the clusters (contexts) and names the
// current one.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package contexts
