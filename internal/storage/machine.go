package storage

import "slices"

// PlacedTask is a task that is placed on a machine.
type PlacedTask struct {
	Job           *Job
	Task          int
	Attempt       uint64
	PlacedAt      int64  // when it was placed, in Unix seconds
	WaitedSeconds uint64 // how long it waited before this placement, in seconds
}

// Machine is the cached state of a machine, from its fleet's and its group's records.
type Machine struct {
	Index         int32
	Name          string
	Group         *MachineGroup
	Shard         int // the shard of its group
	FencingToken  uint64
	Incarnation   uint64
	Addr          string
	Type          int
	Zone          int
	Spot          bool
	Returning     bool
	Draining      bool
	Unhealthy     bool
	ProvisionedAt int64 // in Unix seconds; 0: unknown
	Tasks         []PlacedTask
	Version       uint64 // revision at which its entry in the records last changed
	Gone          bool   // no fleet record lists it any more, or its group's record was not read yet
	Moved         bool   // it has been moved from its original group
	FleetEntries  int    // number of fleet records that list it
	Images        []int  // indices of the images that its tasks have fetched, the most recently used last

	Fleet        *Fleet
	record       FleetMachine
	exists       bool // a fleet record lists it
	changed      bool // it is in machineTable.changed
	inChangeFeed bool
}

// Find returns the position of a task in Tasks, or -1.
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

// machineTable indexes machines by name and fleets by id. It keeps removed machines, so that a
// machine's index never changes.
type machineTable struct {
	byName  map[string]*Machine
	fleets  map[string]*Fleet // by id
	changed []*Machine        // machines that changed since takeChanged was last called
}

func newMachineTable() *machineTable {
	return &machineTable{byName: map[string]*Machine{}, fleets: map[string]*Fleet{}}
}

// find returns a machine that a fleet record lists or once listed, or nil.
func (t *machineTable) find(name string) *Machine { return t.byName[name] }

func (t *machineTable) add(machine *Machine) { t.byName[machine.Name] = machine }

// ensureFleet returns the fleet with the given id and creates an empty one if there is none.
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

// Machine returns a machine by name; nil if no fleet record lists it or its group's record was not
// read yet.
func (c *Cache) Machine(name string) *Machine {
	if machine := c.machines.find(name); machine != nil && !machine.Gone {
		return machine
	}
	return nil
}

// MachineEverListed reports whether a fleet record lists or once listed a machine. A machine whose group's
// record was not read yet counts too: it must not get another record.
func (c *Cache) MachineEverListed(name string) bool { return c.machines.find(name) != nil }

// FencingToken returns the fencing token for commands to a machine: the highest of the tokens of the
// machine, its group and its shard.
func (c *Cache) FencingToken(machine *Machine) uint64 {
	return max(machine.FencingToken, machine.Group.FencingToken, c.Shards[machine.Shard].FencingToken)
}

// TakeChangedAndEnded returns the machines that changed and the jobs that became final since the last call,
// so that the caller can update derived state for these only.
func (c *Cache) TakeChangedAndEnded() (machines []*Machine, jobs []*Job) {
	return c.machines.takeChanged(), c.jobs.takeEnded()
}

func (c *Cache) markChanged(machine *Machine) {
	c.feed.addMachine(machine)
	c.machines.markChanged(machine)
}
