package controller

import "dykeledge/internal/storage"

// recordSizes holds upper bounds, in bytes, on what the parts of a group's record take: the record
// without entries, a machine, a task and a completed task.
type recordSizes struct{ base, machine, task, completedTasks int }

var (
	plainSizes  = recordSizes{base: 200, machine: 120, task: 60, completedTasks: 8}
	packedSizes = recordSizes{base: 100, machine: 24, task: 12, completedTasks: 3}
)

// recordCapacity returns how many more tasks a group's record can list.
func (c *Controller) recordCapacity(group *storage.MachineGroup) int {
	limit, size := c.valueLimit(), plainSizes
	if c.cache.Packed() {
		// Leave room for completed tasks, which stay listed for a while.
		limit, size = limit*8/10, packedSizes
	}
	used := group.Size
	if !c.cache.Packed() || !group.Packed { // a record's size in the packed layout is known only once it is written in that layout
		used = size.base + size.machine*len(group.Machines) + size.completedTasks*len(group.Completed)
		for _, m := range group.Machines {
			used += size.task * len(m.Tasks)
		}
	}
	return max(0, limit-used) / size.task
}
