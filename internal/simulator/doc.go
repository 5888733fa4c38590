// Package simulator simulates everything that the controllers depend on: the state service, the cloud, the workers
// and the users, with faults injected into each of them. Whole deployments run with it in virtual time and without a
// network; the same parts can also be served over HTTP to controllers that run as processes of their own.
//
// docs/ARCHITECTURE.md shows where the package stands among the others.
package simulator
