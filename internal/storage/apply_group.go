package storage

import (
	"encoding/json"
	"fmt"
	"slices"

	"dykeledge/internal/protocol"
)

// maxGroupID is the highest permitted id of a machine group.
const maxGroupID = 100_000

// resolvedMachine is a machine's entry in a group record, with its tasks resolved to cached jobs.
// The zero value stands for a machine that the record does not list.
type resolvedMachine struct {
	entry *GroupMachine
	tasks []PlacedTask
}

// applyGroup applies a change of a machine group's record. A record that names a job or a machine
// that is not in the cache is rejected: it was read before the record that it names, and the watch
// delivers it again.
func (c *Cache) applyGroup(id int, change recordChange) error {
	if change.deleted {
		return fmt.Errorf("%w: machine group records are never deleted", ErrUnexpectedDeletion)
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

// decodeGroup decodes a group's record and checks its shard number.
func (c *Cache) decodeGroup(value json.RawMessage) (GroupRecord, error) {
	record, err := DecodeGroup(value)
	if err == nil && (record.Shard < 0 || record.Shard >= c.NumShards) {
		err = fmt.Errorf("%w: shard %d", ErrUnknownReference, record.Shard)
	}
	return record, err
}

// resolveMachines looks up the machines that a group's record lists and the jobs of their tasks. The
// result points into entries.
func (c *Cache) resolveMachines(entries []GroupMachine) (map[*Machine]resolvedMachine, error) {
	resolved := make(map[*Machine]resolvedMachine, len(entries))
	for index := range entries {
		entry := &entries[index]
		machine := c.machines.find(entry.Name)
		if machine == nil {
			return nil, fmt.Errorf("%w: machine %s", ErrUnknownReference, entry.Name)
		}
		if !machine.exists {
			continue // removed by a later change that was applied already
		}
		tasks, err := c.resolveTasks(entry)
		if err != nil {
			return nil, err
		}
		resolved[machine] = resolvedMachine{entry, tasks}
	}
	return resolved, nil
}

// resolveTasks looks up the jobs of a machine's tasks.
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
				continue // all tasks have completed; the owner's next record omits the job
			}
			job = c.restoreUndescribed(placed.Job)
		}
		if job == nil {
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

// resolveCompletions looks up the jobs of the completed tasks that a group's record lists. Tasks of
// pruned jobs are left out.
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

// moveMachines moves machines that were in another group into this one. The former group's record
// stopped listing the machine in the same transaction or earlier.
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

// recordCompletions marks tasks as completed and counts those that were not marked yet.
func (c *Cache) recordCompletions(list []CompletedTask) {
	for _, completed := range list {
		job := completed.Job
		if job.Done.Get(completed.Task) {
			continue
		}
		job.Done.Set(completed.Task)
		if job.Open() {
			// A final job record already counts all completed tasks. Counting them again when the
			// group record was read later reported a job as done with 4 of 2 tasks.
			job.DoneCount++
		}
		c.feed.addJob(job)
	}
}

// updateMachine updates a machine from its entry in the group's record. reassigned means that this is
// the group's first record or that its shard or fencing token has changed.
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

// differsFrom reports whether the entry's worker incarnation or state flags differ from the
// machine's.
func (m *GroupMachine) differsFrom(machine *Machine) bool {
	return m.Incarnation != machine.Incarnation || m.Returning != machine.Returning ||
		m.Unhealthy != machine.Unhealthy || m.Draining != machine.Draining
}
