package storage

import (
	"fmt"
	"slices"
)

// Fleet is the cached state of a fleet record.
type Fleet struct {
	ID      string
	Version uint64
	Size    int // of the record, in bytes
	record  FleetRecord
}

// applyFleet applies a change of a fleet record. A machine belongs to the latest record that lists
// it: a record that exceeds a lowered size limit is replaced by smaller records, which list its
// machines again in the same groups, and is deleted once they list all of its machines.
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
	for _, entry := range previousEntries { // machines that are still listed were counted again above
		machine := c.machines.find(entry.Name)
		if machine.FleetEntries--; machine.FleetEntries == 0 {
			c.removeMachine(machine, change.revision)
		}
	}
	return nil
}

// checkFleetMachine rejects a group id that is out of range, or that differs from the machine's
// group in another fleet's record.
func (c *Cache) checkFleetMachine(fleet string, entry *FleetMachine) error {
	machine := c.machines.find(entry.Name)
	regrouped := machine != nil && machine.exists && machine.Fleet.ID != fleet && machine.record.Group != entry.Group
	if entry.Group < 0 || entry.Group > maxGroupID || regrouped {
		return fmt.Errorf("%w: machine %s cannot be in group %d", ErrCorrupt, entry.Name, entry.Group)
	}
	return nil
}

// addFleetEntry adds a machine that a fleet record lists, or updates it if that record is the latest
// that lists it.
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

// addMachine initializes a machine that no fleet record listed before this change.
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

// removeMachine removes a machine that no fleet record lists any more.
func (c *Cache) removeMachine(machine *Machine, revision uint64) {
	c.setTasks(machine, nil)
	machine.Gone, machine.exists, machine.Version = true, false, revision
	machine.leaveGroup()
	c.sorted.removeMachine(machine)
	c.markChanged(machine)
}

// OversizedFleet returns a fleet whose record exceeds a limit in bytes, and whether the record fits
// in the packed layout; nil if there is no such fleet.
func (c *Cache) OversizedFleet(limit int) (fleet *Fleet, fits bool) {
	for _, fleet := range c.machines.fleets {
		if fleet.Size > limit && len(fleet.record.Machines) > 0 {
			return fleet, len(EncodeFleet(&fleet.record, true)) <= limit
		}
	}
	return nil, false
}

// SplitFleet splits a fleet's machines into records that in the packed layout stay within a limit in
// bytes. Machines that a later record lists are left out.
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

// appendIfFits appends a machine to the record unless the packed record would exceed limit bytes. It
// reports whether it appended the machine.
func (r *FleetRecord) appendIfFits(entry FleetMachine, limit int) bool {
	r.Machines = append(r.Machines, entry)
	if len(EncodeFleet(r, true)) <= limit {
		return true
	}
	r.Machines = r.Machines[:len(r.Machines)-1]
	return false
}

// FleetRecordWithout returns a fleet's record without some of its machines; ok is false if no machine is
// left.
func (c *Cache) FleetRecordWithout(fleet *Fleet, removed map[*Machine]bool) (record FleetRecord, ok bool) {
	record = fleet.record
	isRemoved := func(entry FleetMachine) bool { return removed[c.machines.find(entry.Name)] }
	record.Machines = slices.DeleteFunc(slices.Clone(record.Machines), isRemoved)
	return record, len(record.Machines) > 0
}
