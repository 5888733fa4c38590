package simulator

import (
	"fmt"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// attemptHistory records which attempts the machine groups' records have held. An attempt that was removed from the
// records must not be placed again, by any controller: a worker that has cleared the attempt would start it again.
type attemptHistory struct {
	current     map[int]map[string]uint64 // attempt number by group and task
	lastRemoved map[string]uint64         // by task: the highest attempt number that was removed
	events      *eventRecord              // nil: placements and removals are not recorded
}

// note updates the history with a transaction, and returns a message for each task that the transaction places
// under an attempt number that the task had before. It records the attempts that the transaction places and removes.
func (a *attemptHistory) note(txn protocol.Txn) (reused []string) {
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
		if removed[task] != attempt {
			a.events.addCommit(attemptPlaced, task, attempt)
		}
		if attempt <= a.lastRemoved[task] {
			reused = append(reused, fmt.Sprintf("records: %s is placed under attempt %d, which it had before", task, attempt))
		}
	}
	for task, attempt := range removed {
		if placed[task] != attempt {
			a.events.addCommit(attemptRemoved, task, attempt)
			a.lastRemoved[task] = max(a.lastRemoved[task], attempt)
		}
	}
	return reused
}
