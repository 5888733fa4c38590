package storage

import "slices"

// PlacedTask is a task in a machine's record.
type PlacedTask struct {
	Job      *Job
	Task     int
	Attempt  uint64
	PlacedAt int64  // when it was placed, in Unix seconds
	WaitedS  uint64 // the seconds it had waited before
}

// Machine is a machine as the records have it.
type Machine struct {
	Index         int32
	Name          string
	Group         *MachineGroup
	Shard         int // its group's
	FencingToken  uint64
	Incarnation   uint64
	Addr          string
	Type          int
	Zone          int
	Spot          bool
	Returning     bool
	Draining      bool
	Unhealthy     bool
	ProvisionedAt int64 // in Unix seconds, 0: unknown
	Tasks         []PlacedTask
	Version       uint64 // when its own part of the records last changed
	Gone          bool   // its record was deleted, or its group is not known yet
	Moved         bool   // it was in another group before
	FleetEntries  int    // fleet records that list it
	Images        []int  // of tasks that were on it, the most recently used last

	Fleet        *Fleet
	record       FleetMachine
	exists       bool // a fleet record holds it
	changed      bool // it is among machineTable.changed
	inChangeFeed bool
}

// Find returns the position of a task in the record, or -1.
func (m *Machine) Find(job *Job, task int) int {
	for i := range m.Tasks {
		if m.Tasks[i].Job == job && m.Tasks[i].Task == task {
			return i
		}
	}
	return -1
}

func (m *Machine) leaveGroup() {
	m.Group.Machines = slices.DeleteFunc(m.Group.Machines, func(other *Machine) bool { return other == m })
}

func (m *Machine) joinGroup(group *MachineGroup) {
	m.Group = group
	group.Machines = append(group.Machines, m)
}

// machineTable finds machines and fleets by name. It keeps the names of all machines that there
// were: none gets another index later.
type machineTable struct {
	byName  map[string]*Machine
	fleets  map[string]*Fleet // by id
	changed []*Machine        // since they were last taken
}

func newMachineTable() *machineTable {
	return &machineTable{byName: map[string]*Machine{}, fleets: map[string]*Fleet{}}
}

// find returns a machine that has or had a record, or nil.
func (t *machineTable) find(name string) *Machine { return t.byName[name] }

func (t *machineTable) add(machine *Machine) { t.byName[machine.Name] = machine }

// ensureFleet finds a ensureFleet, and makes an empty one that no record describes yet.
func (t *machineTable) ensureFleet(id string) *Fleet {
	fleet := t.fleets[id]
	if fleet == nil {
		fleet = &Fleet{ID: id}
		t.fleets[id] = fleet
	}
	return fleet
}

func (t *machineTable) markChanged(machine *Machine) {
	if !machine.changed {
		machine.changed = true
		t.changed = append(t.changed, machine)
	}
}

func (t *machineTable) takeChanged() []*Machine {
	changed := t.changed
	t.changed = nil
	for _, machine := range changed {
		machine.changed = false
	}
	return changed
}

// Machine finds a machine by name; nil if it has no record or its group's is not known yet.
func (c *Cache) Machine(name string) *Machine {
	if machine := c.machines.find(name); machine != nil && !machine.Gone {
		return machine
	}
	return nil
}

// MachineSeen tells whether a machine has or had a record. One whose group has not been
// read yet counts too: it must not get another.
func (c *Cache) MachineSeen(name string) bool { return c.machines.find(name) != nil }

// FencingToken is the token under which a machine is commanded.
func (c *Cache) FencingToken(machine *Machine) uint64 {
	return max(machine.FencingToken, machine.Group.FencingToken, c.Shards[machine.Shard].FencingToken)
}

// TakeChanged returns the machines that changed, and the jobs that ended, since it was
// last called: what follows from a change is worked out for these only.
func (c *Cache) TakeChanged() (machines []*Machine, jobs []*Job) {
	return c.machines.takeChanged(), c.jobs.takeEnded()
}

func (c *Cache) markChanged(machine *Machine) {
	c.feed.addMachine(machine)
	c.machines.markChanged(machine)
}
