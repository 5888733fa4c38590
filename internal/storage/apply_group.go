package storage

import (
	"encoding/json"
	"fmt"
	"slices"

	"dykeledge/internal/protocol"
)

// maxGroupID is the highest id that a machine group may have.
const maxGroupID = 100_000

// resolvedMachine is a machine's part of a group's record, with the jobs that it names. The zero
// value is a machine that the record does not list.
type resolvedMachine struct {
	entry *GroupMachine
	tasks []PlacedTask
}

// applyGroup takes a group's record. One that names a job or a machine that is not
// known yet is left alone: it was read before the record that it names, and comes
// again with the watch.
func (c *Cache) applyGroup(id int, change recordChange) error {
	if change.deleted {
		return fmt.Errorf("%w: a machine group", ErrUnexpectedDeletion)
	}
	if id < len(c.Groups) && c.Groups[id].Version >= change.revision {
		return nil
	}
	record, err := c.decodeGroup(change.value)
	if err != nil {
		return err
	}
	resolved, err := c.resolveMachines(record.Machines)
	if err != nil {
		return err
	}
	completed, err := c.resolveCompletions(record.Completed)
	if err != nil {
		return err
	}
	group := c.ensureGroup(id)
	c.moveMachines(group, resolved)
	reassigned := group.Version == 0 || group.Shard != record.Shard || group.FencingToken != record.FencingToken
	group.Shard, group.FencingToken, group.Completed = record.Shard, record.FencingToken, completed
	group.Packed = record.Packed != "" || len(record.Machines)+len(record.Completed) == 0
	group.Version, group.Size = change.revision, len(change.value)
	c.recordCompletions(completed)
	for _, machine := range group.Machines {
		c.updateMachine(machine, resolved[machine], reassigned)
	}
	return nil
}

// decodeGroup reads a group's record and checks its shard.
func (c *Cache) decodeGroup(value json.RawMessage) (GroupRecord, error) {
	record, err := DecodeGroup(value)
	if err == nil && (record.Shard < 0 || record.Shard >= c.NumShards) {
		err = fmt.Errorf("%w: shard %d", ErrUnknownReference, record.Shard)
	}
	return record, err
}

// resolveMachines finds the machines that a group's record lists and the jobs of their tasks. The
// record's entries are referred to, not copied.
func (c *Cache) resolveMachines(entries []GroupMachine) (map[*Machine]resolvedMachine, error) {
	resolved := make(map[*Machine]resolvedMachine, len(entries))
	for index := range entries {
		entry := &entries[index]
		machine := c.machines.find(entry.Name)
		if machine == nil {
			return nil, fmt.Errorf("%w: machine %s", ErrUnknownReference, entry.Name)
		}
		if !machine.exists {
			continue // deleted by a later change that is known already
		}
		tasks, err := c.resolveTasks(entry)
		if err != nil {
			return nil, err
		}
		resolved[machine] = resolvedMachine{entry, tasks}
	}
	return resolved, nil
}

// resolveTasks finds the jobs of a machine's tasks.
func (c *Cache) resolveTasks(entry *GroupMachine) ([]PlacedTask, error) {
	count := 0
	for _, placed := range entry.Tasks {
		count += len(placed.Numbers) / numbersPerTask
	}
	tasks := make([]PlacedTask, 0, count)
	for _, placed := range entry.Tasks {
		job := c.jobs.find(placed.Job)
		if job == nil {
			if status, _ := c.FinalState(placed.Job); status == protocol.Done {
				continue // every task has ended; the owner's next record leaves it out
			}
			return nil, fmt.Errorf("%w: job %s", ErrUnknownReference, placed.Job)
		}
		for numbers := placed.Numbers; len(numbers) >= numbersPerTask; numbers = numbers[numbersPerTask:] {
			if numbers[0] < uint64(job.Tasks) {
				tasks = append(tasks, PlacedTask{job, int(numbers[0]), numbers[1], int64(numbers[2]), numbers[3]})
			}
		}
	}
	return tasks, nil
}

// resolveCompletions finds the jobs of the completed tasks that a group's record lists. Those of
// forgotten jobs are left out.
func (c *Cache) resolveCompletions(entries []CompletedTasks) ([]CompletedTask, error) {
	var completed []CompletedTask
	for _, entry := range entries {
		job := c.jobs.find(entry.Job)
		if job == nil {
			if status, _ := c.FinalState(entry.Job); status == "" {
				return nil, fmt.Errorf("%w: job %s", ErrUnknownReference, entry.Job)
			}
			continue
		}
		for _, task := range entry.Tasks {
			if task >= 0 && task < job.Tasks {
				completed = append(completed, CompletedTask{job, task})
			}
		}
	}
	return completed, nil
}

// moveMachines takes machines into a group that were in another before. Each comes from a group
// whose record it left in the same change or before.
func (c *Cache) moveMachines(group *MachineGroup, resolved map[*Machine]resolvedMachine) {
	for machine, part := range resolved {
		if !part.entry.Moved {
			continue
		}
		machine.Moved = true
		if machine.Group != group {
			c.setTasks(machine, nil)
			machine.leaveGroup()
			machine.joinGroup(group)
		}
	}
}

// recordCompletions counts completed tasks that were not known yet.
func (c *Cache) recordCompletions(list []CompletedTask) {
	for _, completed := range list {
		job := completed.Job
		if job.Done.Get(completed.Task) {
			continue
		}
		job.Done.Set(completed.Task)
		if job.Open() {
			// The record of a job that is over has counted them all: one that was read
			// before the group's was called done with 4 of 2 tasks.
			job.DoneCount++
		}
		c.feed.addJob(job)
	}
}

// updateMachine takes over a machine's part of its group's record. reassigned tells that the group
// has another shard or fencing token than before.
func (c *Cache) updateMachine(machine *Machine, part resolvedMachine, reassigned bool) {
	entry := part.entry
	if entry == nil {
		entry = &GroupMachine{}
	}
	token := max(entry.FencingToken, machine.Fleet.record.FencingToken)
	tasksChanged := !slices.Equal(part.tasks, machine.Tasks)
	if reassigned || tasksChanged || token != machine.FencingToken || entry.differsFrom(machine) {
		machine.Shard, machine.FencingToken, machine.Incarnation = machine.Group.Shard, token, entry.Incarnation
		machine.Returning, machine.Unhealthy, machine.Draining = entry.Returning, entry.Unhealthy, entry.Draining
		machine.Gone, machine.Version = false, machine.Group.Version
		c.markChanged(machine)
	}
	if entry.Addr != "" {
		machine.Addr = entry.Addr
	}
	if tasksChanged {
		c.setTasks(machine, part.tasks)
	}
}

// differsFrom tells whether a machine's worker or state is another in its group's record.
func (m *GroupMachine) differsFrom(machine *Machine) bool {
	return m.Incarnation != machine.Incarnation || m.Returning != machine.Returning ||
		m.Unhealthy != machine.Unhealthy || m.Draining != machine.Draining
}
