package controller

import (
	"context"
	"slices"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file manages the change from one record layout to the next while controllers of both versions run.
// Until the layout gate opens, records are written and read as the previous version does. Code that exists
// only for this transition checks cache.Packed().

// gateState holds the state of changes to the record layout and to the limits of records. It is written by
// this file, state_limits.go, record_splitting.go and by job submission (descriptionWrites).
type gateState struct {
	layoutWriteInFlight bool
	fleetWriteInFlight  bool
	limitsLowered       bool   // the state service has refused a transaction for its size
	rateLowered         bool   // the rate limit of changes has been set to that of the effective limits
	descriptionWrites   uint64 // descriptions that this process began to write, chunked or not
}

// openLayoutGate opens the layout gate if this controller is the leader. The gate opens once every configured
// controller has shown that it reads the packed layout. The layout record lists the controllers that have shown
// it, because one of them may be down when the last one appears. A leader of the previous version does not do
// this, so the gate stays closed until a controller of this version leads.
func (c *Controller) openLayoutGate(ctx context.Context) {
	if !c.isLeader() || c.gates.layoutWriteInFlight || c.Layout < storage.LayoutPacked || c.cache.Packed() || c.cache.Revision < c.cache.Leader.Version {
		return
	}
	members := c.membersReadingPacked()
	all := containsAll(members, c.configuredMembers())
	if !all && len(members) == len(c.cache.Layout.Members) {
		return // no further member reads the packed layout
	}
	slices.Sort(members)
	record := storage.LayoutRecord{Version: storage.LayoutPlain, Members: members}
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
	c.commitOutsideCycle(ctx, txn, protocol.UrgentRequest, func(ok bool) {
		c.gates.layoutWriteInFlight = false
		if ok {
			c.log.Info("record layout written", "layout", record.Version, "members", members)
		}
	})
}

// membersReadingPacked returns the controllers that have at any time shown that they read the packed layout.
func (c *Controller) membersReadingPacked() []string {
	members := slices.Clone(c.cache.Layout.Members)
	for name, member := range c.cache.Members {
		if member.Layout >= storage.LayoutPacked && !slices.Contains(members, name) {
			members = append(members, name)
		}
	}
	return members
}

// configuredMembers returns the names of all configured controllers, this one first.
func (c *Controller) configuredMembers() []string {
	names := []string{c.cfg.MemberName}
	for _, peer := range c.cfg.KnownPeers {
		names = append(names, peer.MemberName)
	}
	return names
}

// containsAll reports whether list contains all names.
func containsAll(list, names []string) bool {
	for _, name := range names {
		if !slices.Contains(list, name) {
			return false
		}
	}
	return true
}
