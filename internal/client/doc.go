// Package client is a user of a deployment: it submits, asks and cancels as the protocol wants
// its users to, repeating what has no certain answer.
//
// docs/ARCHITECTURE.md says how users reach a controller.
package client
