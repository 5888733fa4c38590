// Package transport implements a controller's network communication: the servers for users, workers and
// operators, the clients of the state service, the cloud and the workers, the connections to the other
// controllers, and the budgets that keep a controller within the rate limits of the services it calls.
//
// The package makes no scheduling decisions: the servers pass requests to the interfaces that a
// controller implements ([Core], [AdminCore], [ViewCore], [PeerCore]). docs/ARCHITECTURE.md shows how the
// package relates to the others.
package transport
