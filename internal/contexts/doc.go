// Package contexts reads and writes dykectl's configuration file, which lists the clusters (contexts) and names the
// current one.
//
// docs/ARCHITECTURE.md says which programs and packages there are.
package contexts
