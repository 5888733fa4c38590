package controller

import "dykeledge/internal/storage"

// maxGroupSize limits how many machines share a group, and so move and change their owner together.
const maxGroupSize = 24

// groupSize returns the number of machines that share a record: the smallest that allows every
// group's record to be written about once a second with half of the state service's write rate.
func (c *Controller) groupSize() int {
	machines := len(c.leader.pendingMachines)
	for range c.machinesInService() {
		machines++
	}
	groups := max(1, int(c.limits().WriteRPS/2))
	return min(maxGroupSize, (machines+groups-1)/groups)
}

// groupAllocator assigns new machines to groups. Spot and on-demand machines do not share a group,
// so that a move of on-demand machines for work that must not use spot machines moves no spot
// machines.
type groupAllocator struct {
	groupSize int
	nextID    int
	groups    map[int]*groupCapacity
}

// groupCapacity holds how many more machines a group takes, and whether they must be spot machines. An
// empty group takes machines of either kind.
type groupCapacity struct {
	shard, free int
	empty, spot bool
}

func newGroupAllocator(cache *storage.Cache, groupSize int) *groupAllocator {
	allocator := &groupAllocator{groupSize: groupSize, nextID: len(cache.Groups), groups: map[int]*groupCapacity{}}
	for _, group := range cache.Groups {
		if group.Version == 0 {
			continue
		}
		capacity := &groupCapacity{shard: group.Shard, free: groupSize, empty: true}
		for _, machine := range group.Machines {
			capacity.empty, capacity.spot = false, machine.Spot
			if !machine.Returning {
				capacity.free--
			}
		}
		allocator.groups[group.ID] = capacity
	}
	return allocator
}

// allocate takes a place in the shard's group with the most free places and returns the group's ID.
// It creates a group if none has a free place.
func (a *groupAllocator) allocate(shard int, spot bool) (id int, created bool) {
	var best *groupCapacity
	for candidate := range a.nextID {
		group := a.groups[candidate]
		if group == nil || group.shard != shard || group.free <= 0 || !group.empty && group.spot != spot {
			continue
		}
		if best == nil || group.free > best.free {
			id, best = candidate, group
		}
	}
	if best == nil {
		best = &groupCapacity{shard: shard, free: a.groupSize}
		id, created = a.nextID, true
		a.groups[id] = best
		a.nextID++
	}
	best.free--
	best.empty, best.spot = false, spot
	return id, created
}
