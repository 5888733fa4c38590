package controller

import "dykeledge/internal/storage"

// maxGroupSize bounds how many machines move, and change their owner, together.
const maxGroupSize = 24

// groupSize is how many machines share a record: as few as let every group be written about once
// a second with half of the state service's rate of changes.
func (c *Controller) groupSize() int {
	machines := len(c.leader.pendingMachines)
	for range c.machinesInService() {
		machines++
	}
	groups := max(1, int(c.limits().WriteRPS/2))
	return min(maxGroupSize, (machines+groups-1)/groups)
}

// groupAllocator finds groups for new machines. Spot and on-demand machines do not share a group:
// work that may not use spot machines moves none of them with it.
type groupAllocator struct {
	groupSize int
	nextID    int
	groups    map[int]*groupCapacity
}

// groupCapacity is how many more machines a group takes, and of which kind.
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

// allocate returns the group of a shard with the most free places, and takes one of them; a new
// group if there is none.
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
