package controller

import "dykeledge/internal/storage"

// recordSizes is what a group's record takes, in bytes, at most: by itself, a machine, a task
// and a completed task.
type recordSizes struct{ base, machine, task, completedTask int }

var (
	plainSizes  = recordSizes{base: 200, machine: 120, task: 60, completedTask: 8}
	packedSizes = recordSizes{base: 100, machine: 24, task: 12, completedTask: 3}
)

// recordCapacity is how many more tasks a group's record can list.
func (c *Controller) recordCapacity(group *storage.MachineGroup) int {
	limit, size := c.valueLimit(), plainSizes
	if c.cache.Packed() {
		// What ends needs some room too: a completed task stays listed for a while.
		limit, size = limit*8/10, packedSizes
	}
	used := group.Size
	if !c.cache.Packed() || !group.Packed { // it is not known yet what it will take
		used = size.base + size.machine*len(group.Machines) + size.completedTask*len(group.Completed)
		for _, m := range group.Machines {
			used += size.task * len(m.Tasks)
		}
	}
	return max(0, limit-used) / size.task
}
