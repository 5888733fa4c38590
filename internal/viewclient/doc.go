// Package viewclient follows the read model of a deployment over the network. It polls one controller,
// switches to the next one when that controller fails or is behind, and publishes only complete states,
// never one of an earlier revision than before.
//
// See docs/ARCHITECTURE.md for how the read model gets from the controllers to its readers.
package viewclient
