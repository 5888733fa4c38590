package controller

import (
	"context"
	"slices"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns the change from one layout of the records to the next while both versions serve.
// Until the gate opens everything is written as the version in production writes and reads it;
// what is only needed for that is what asks cache.Packed().

// gateState is what this controller does about layouts and limits of records. It is written by
// this file, state_limits.go, record_splitting.go and by job submission (descriptionWrites).
type gateState struct {
	layoutWriteInFlight bool
	fleetWriteInFlight  bool
	limitsLowered       bool   // the state service has refused something for its size
	rateLowered         bool   // the rate of changes to come is kept to already
	descriptionWrites   uint64 // chunked descriptions written by this process
}

// openLayoutGate is the leader's loop over the gate: it opens once every controller that the settings
// name has shown that it reads the packed layout. Which have is remembered, for one may be down
// while the last one comes. A leader of the version before does none of it, so the gate waits until
// a controller that knows of it leads.
func (c *Controller) openLayoutGate(ctx context.Context) {
	if !c.isLeader() || c.gates.layoutWriteInFlight || c.Layout < storage.LayoutPacked || c.cache.Packed() || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	reading := c.membersReadingPacked()
	all := containsAll(reading, c.configuredMembers())
	if !all && len(reading) == len(c.cache.Layout.Members) {
		return // nobody new
	}
	slices.Sort(reading)
	record := storage.LayoutRecord{Version: storage.LayoutPlain, Members: reading}
	if all {
		record = storage.LayoutRecord{Version: storage.LayoutPacked}
	}
	txn := c.leaderTxn()
	txn.If = append(txn.If, protocol.Condition{Key: storage.LayoutKey, Version: c.cache.Layout.Revision})
	txn.Then = []protocol.Change{{Put: storage.LayoutKey, Value: storage.Encode(record)}}
	if all {
		txn.Then = append(txn.Then, protocol.Change{Put: storage.BarrierKey, Value: storage.Encode(record)})
	}
	c.gates.layoutWriteInFlight = true
	c.commitAside(ctx, txn, protocol.UrgentRequest, func(ok bool) {
		c.gates.layoutWriteInFlight = false
		if ok {
			c.log.Info("layout of the records written", "layout", record.Version, "members", reading)
		}
	})
}

// membersReadingPacked are the controllers that have ever shown that they read the packed layout.
func (c *Controller) membersReadingPacked() []string {
	reading := slices.Clone(c.cache.Layout.Members)
	for name, member := range c.cache.Members {
		if member.Layout >= storage.LayoutPacked && !slices.Contains(reading, name) {
			reading = append(reading, name)
		}
	}
	return reading
}

// configuredMembers are the controllers that the settings name, this one first.
func (c *Controller) configuredMembers() []string {
	names := []string{c.cfg.MemberName}
	for _, peer := range c.cfg.Known {
		names = append(names, peer.MemberName)
	}
	return names
}

// containsAll tells whether a list holds all of some names.
func containsAll(list, names []string) bool {
	for _, name := range names {
		if !slices.Contains(list, name) {
			return false
		}
	}
	return true
}
