// Package client is an HTTP client for the users' interface of a deployment: it submits and cancels jobs, queries
// their state, and retries requests that got no conclusive response, as the protocol prescribes.
//
// See docs/ARCHITECTURE.md for the package's place in the system.
package client
