package storage

import (
	"fmt"
	"slices"
)

// Fleet is a fleet record as the cache has it.
type Fleet struct {
	ID      string
	Version uint64
	Size    int // of its record, in bytes
	record  FleetRecord
}

// applyFleet takes a fleet's record. A machine is in the latest record that lists it: a
// record that is over a lower limit is worked off by small ones which list its machines
// anew, in the same groups, and is deleted when it lists none that they do not.
func (c *Cache) applyFleet(id string, change recordChange) error {
	if fleet := c.machines.fleets[id]; fleet != nil && fleet.Version >= change.revision {
		return nil
	}
	var record FleetRecord
	if !change.deleted {
		var err error
		if record, err = DecodeFleet(change.value); err != nil {
			return err
		}
	}
	for i := range record.Machines {
		if err := c.checkFleetMachine(id, &record.Machines[i]); err != nil {
			return err
		}
	}
	fleet := c.machines.ensureFleet(id)
	previousEntries := fleet.record.Machines
	fleet.record, fleet.Version, fleet.Size = record, change.revision, len(change.value)
	for _, entry := range record.Machines {
		c.addFleetEntry(fleet, entry)
	}
	for _, entry := range previousEntries { // what is listed still was counted once more just now
		machine := c.machines.find(entry.Name)
		if machine.FleetEntries--; machine.FleetEntries == 0 {
			c.removeMachine(machine, change.revision)
		}
	}
	return nil
}

// checkFleetMachine refuses a group that there may not be, or other than that in which the machine
// is by another fleet's record.
func (c *Cache) checkFleetMachine(fleet string, entry *FleetMachine) error {
	known := c.machines.find(entry.Name)
	regrouped := known != nil && known.exists && known.Fleet.ID != fleet && known.record.Group != entry.Group
	if entry.Group < 0 || entry.Group > maxGroupID || regrouped {
		return fmt.Errorf("%w: machine %s cannot be in group %d", ErrCorrupt, entry.Name, entry.Group)
	}
	return nil
}

// addFleetEntry takes in that a fleet's record lists a machine.
func (c *Cache) addFleetEntry(fleet *Fleet, entry FleetMachine) {
	machine := c.machines.find(entry.Name)
	if machine == nil {
		machine = &Machine{Index: int32(len(c.Machines)), Name: entry.Name}
		c.Machines = append(c.Machines, machine)
		c.machines.add(machine)
	}
	machine.FleetEntries++
	if !machine.exists {
		c.addMachine(machine, fleet, entry)
	} else if machine.Fleet != fleet && fleet.Version > machine.Fleet.Version {
		machine.Fleet, machine.record = fleet, entry
	}
}

// addMachine takes in a machine that no fleet's record listed before.
func (c *Cache) addMachine(machine *Machine, fleet *Fleet, entry FleetMachine) {
	machine.Fleet, machine.record, machine.exists, machine.Version = fleet, entry, true, fleet.Version
	machine.Moved = false
	c.sorted.addMachine(machine)
	machine.joinGroup(c.ensureGroup(entry.Group))
	machine.Shard, machine.Gone = machine.Group.Shard, machine.Group.Version == 0
	machine.Type = c.TypeIndex.Index(fleet.record.Type)
	c.growTypes()
	machine.Zone = c.Zones.Index(fleet.record.Zone)
	machine.Spot, machine.ProvisionedAt = fleet.record.Spot, fleet.record.ProvisionedAt
	machine.Addr, machine.FencingToken = entry.Addr, fleet.record.FencingToken
	c.markChanged(machine)
}

// removeMachine takes out a machine that no fleet's record lists any more.
func (c *Cache) removeMachine(machine *Machine, revision uint64) {
	c.setTasks(machine, nil)
	machine.Gone, machine.exists, machine.Version = true, false, revision
	machine.leaveGroup()
	c.sorted.removeMachine(machine)
	c.markChanged(machine)
}

// OversizedFleet returns a fleet whose record is over a limit in bytes, and whether it fits when it
// is written packed; nil if there is none.
func (c *Cache) OversizedFleet(limit int) (fleet *Fleet, fits bool) {
	for _, fleet := range c.machines.fleets {
		if fleet.Size > limit && len(fleet.record.Machines) > 0 {
			return fleet, len(EncodeFleet(&fleet.record, true)) <= limit
		}
	}
	return nil, false
}

// SplitFleet writes a fleet's machines as packed records that are within a limit in bytes, leaving
// out those that a later record lists.
func (c *Cache) SplitFleet(fleet *Fleet, limit int) []FleetRecord {
	var records []FleetRecord
	for _, entry := range fleet.record.Machines {
		if machine := c.machines.find(entry.Name); machine == nil || machine.Fleet != fleet {
			continue
		}
		if len(records) > 0 && records[len(records)-1].appendIfFits(entry, limit) {
			continue
		}
		record := fleet.record
		record.Machines = []FleetMachine{entry}
		records = append(records, record)
	}
	return records
}

// appendIfFits adds a machine to a record unless that takes more than so many bytes packed.
func (r *FleetRecord) appendIfFits(entry FleetMachine, limit int) bool {
	r.Machines = append(r.Machines, entry)
	if len(EncodeFleet(r, true)) <= limit {
		return true
	}
	r.Machines = r.Machines[:len(r.Machines)-1]
	return false
}

// FleetWithout writes a fleet's record without some of its machines; none is left
// if ok is false.
func (c *Cache) FleetWithout(fleet *Fleet, removed map[*Machine]bool) (record FleetRecord, ok bool) {
	record = fleet.record
	isRemoved := func(entry FleetMachine) bool { return removed[c.machines.find(entry.Name)] }
	record.Machines = slices.DeleteFunc(slices.Clone(record.Machines), isRemoved)
	return record, len(record.Machines) > 0
}
