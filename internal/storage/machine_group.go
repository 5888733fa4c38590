package storage

import "slices"

// MachineGroup is a group of machines that share one record of their changing state.
type MachineGroup struct {
	ID           int
	Shard        int
	FencingToken uint64
	Version      uint64 // 0: no record
	Size         int    // of the record, in bytes
	Packed       bool   // the record has the packed layout or lists nothing
	Machines     []*Machine
	Completed    []CompletedTask
}

// CompletedTask is a completed task that may not be in its job's own record yet.
type CompletedTask struct {
	Job  *Job
	Task int
}

// UnsavedCompletions returns the completed tasks that must stay in the group's record because their
// jobs' own records and completion sets do not contain them yet.
func (g *MachineGroup) UnsavedCompletions() []CompletedTask {
	unsaved := make([]CompletedTask, 0, len(g.Completed))
	for _, completed := range g.Completed {
		if completed.Job.Open() && !completed.Job.SavedDone.Get(completed.Task) {
			unsaved = append(unsaved, completed)
		}
	}
	return unsaved
}

// ensureGroup returns the group with the given id; it creates missing groups, without records, up to
// that id.
func (c *Cache) ensureGroup(id int) *MachineGroup {
	for len(c.Groups) <= id {
		c.Groups = append(c.Groups, &MachineGroup{ID: len(c.Groups)})
	}
	return c.Groups[id]
}

// GroupMachineOf returns a machine's entry for its group's record, with the given tasks.
func (c *Cache) GroupMachineOf(machine *Machine, tasks []PlacedTask) GroupMachine {
	entry := GroupMachine{
		Name:        machine.Name,
		Incarnation: machine.Incarnation,
		Returning:   machine.Returning,
		Draining:    machine.Draining,
		Unhealthy:   machine.Unhealthy,
		Moved:       machine.Moved,
	}
	if machine.FencingToken > machine.Fleet.record.FencingToken {
		entry.FencingToken = machine.FencingToken
	}
	if machine.Addr != machine.record.Addr {
		entry.Addr = machine.Addr
	}
	for _, placed := range tasks {
		entry.addTask(placed)
	}
	return entry
}

func (m *GroupMachine) addTask(placed PlacedTask) {
	i := slices.IndexFunc(m.Tasks, func(tasks PlacedTasks) bool { return tasks.Job == placed.Job.ID })
	if i < 0 {
		i = len(m.Tasks)
		m.Tasks = append(m.Tasks, PlacedTasks{Job: placed.Job.ID})
	}
	m.Tasks[i].Numbers = append(m.Tasks[i].Numbers, uint64(placed.Task), placed.Attempt, uint64(placed.PlacedAt), placed.WaitedSeconds)
}

// isEmpty reports whether the entry holds nothing and can be left out of its group's record.
func (m *GroupMachine) isEmpty() bool {
	flagged := m.Returning || m.Unhealthy || m.Draining || m.Moved
	return !flagged && m.FencingToken == 0 && m.Incarnation == 0 && m.Addr == "" && len(m.Tasks) == 0
}

// GroupRecordOf returns a group's record with the given completed tasks. change, if not nil, returns
// a machine's new entry and whether the machine stays in the group.
func (c *Cache) GroupRecordOf(group *MachineGroup, completed []CompletedTask, change func(*Machine) (GroupMachine, bool)) *GroupRecord {
	record := &GroupRecord{Shard: group.Shard, FencingToken: group.FencingToken, Completed: completedTasksOf(completed)}
	for _, machine := range group.Machines {
		entry, stays := c.GroupMachineOf(machine, machine.Tasks), true
		if change != nil {
			entry, stays = change(machine)
		}
		if stays && !entry.isEmpty() {
			record.Machines = append(record.Machines, entry)
		}
	}
	return record
}

// completedTasksOf groups completed tasks by job, in the order in which the jobs first occur.
func completedTasksOf(list []CompletedTask) []CompletedTasks {
	var records []CompletedTasks
	position := map[*Job]int{}
	for _, completed := range list {
		i, ok := position[completed.Job]
		if !ok {
			i = len(records)
			position[completed.Job] = i
			records = append(records, CompletedTasks{Job: completed.Job.ID})
		}
		records[i].Tasks = append(records[i].Tasks, completed.Task)
	}
	return records
}
