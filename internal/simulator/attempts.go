package simulator

import (
	"fmt"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// attempts are what the groups' records have held: an attempt that has left them must never come again, whoever
// wrote it, since workers that have forgotten it would start it.
type attempts struct {
	current     map[int]map[string]uint64 // by group and task
	lastRemoved map[string]uint64         // by task: the latest that has left
}

// note takes in a transaction and tells which tasks it places under attempts that were used before.
func (a *attempts) note(txn protocol.Txn) (reused []string) {
	if a.current == nil {
		a.current, a.lastRemoved = map[int]map[string]uint64{}, map[string]uint64{}
	}
	removed, placed := map[string]uint64{}, map[string]uint64{}
	for _, change := range txn.Then {
		group, ok := storage.GroupOf(change.Put)
		if !ok {
			continue
		}
		record, err := storage.DecodeGroup(change.Value)
		if err != nil {
			return []string{err.Error()}
		}
		for task, attempt := range a.current[group] {
			removed[task] = attempt
		}
		tasks := map[string]uint64{}
		for _, m := range record.Machines {
			for _, p := range m.Tasks {
				for i := 0; i+3 < len(p.Numbers); i += 4 {
					task := protocol.TaskName(p.Job, int(p.Numbers[i]))
					tasks[task], placed[task] = p.Numbers[i+1], p.Numbers[i+1]
				}
			}
		}
		a.current[group] = tasks
	}
	for task, attempt := range placed {
		if attempt <= a.lastRemoved[task] {
			reused = append(reused, fmt.Sprintf("records: %s is placed under attempt %d, which it had before", task, attempt))
		}
	}
	for task, attempt := range removed {
		if placed[task] != attempt {
			a.lastRemoved[task] = max(a.lastRemoved[task], attempt)
		}
	}
	return reused
}
