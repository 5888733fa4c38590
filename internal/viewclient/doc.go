// Package viewclient follows a deployment's read model from outside: it asks one controller, goes on to
// the next when that one fails, and shows only what is whole and no older than what it
// has shown before.
//
// docs/ARCHITECTURE.md says how the read model gets from the controllers to those who read it.
package viewclient
