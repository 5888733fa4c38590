// Package transport holds what a controller says and hears over the network: the servers for users,
// workers and operators, the clients of the state service, the cloud and the workers, the links to the
// other controllers, and the budgets that keep a controller under the rates of the services it calls.
//
// Nothing is decided here: servers hand requests to the interfaces that a controller implements
// ([Core], [AdminCore], [ViewCore], [PeerCore]). docs/ARCHITECTURE.md shows how the package fits in
// with the others.
package transport
