package membership

import (
	"cmp"
	"slices"
)

// Member is a living controller.
type Member struct {
	Name        string
	Incarnation uint64 // of its process: a controller that has restarted has another
}

// Owner is who owns a shard; the zero value is nobody.
type Owner = Member

// minImbalance is by how many shards an owner must exceed another for one to move between them: where
// they differ by one, a move would only swap their counts.
const minImbalance = 2

// Assign gives every shard a living owner and moves as few as it can: a shard
// stays with its owner's present incarnation; one whose owner is gone or has
// restarted goes to its old name if that lives and has no more than its part, else to the controller
// with the fewest shards. Shards that movable allows to move, if it is set, also move from a controller
// that owns at least two more than another. The result is by shard, as owners; without any members it
// is owners itself. Neither list is changed.
func Assign(owners []Owner, members []Member, movable func(shard int) bool) []Owner {
	if len(members) == 0 {
		return owners
	}
	a := newAssignment(owners, members)
	for _, shard := range a.keepOwners() {
		a.assign(shard, a.leastLoaded())
	}
	if movable != nil {
		a.balance(movable)
	}
	return a.owners
}

// assignment is one run of Assign.
type assignment struct {
	owners  []Owner  // by shard
	members []Member // by name
	counts  []int    // shards by member
}

func newAssignment(owners []Owner, members []Member) *assignment {
	a := &assignment{
		owners:  slices.Clone(owners),
		members: slices.Clone(members),
		counts:  make([]int, len(members)),
	}
	slices.SortFunc(a.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return a
}

// indexOf is the index of the member with a name, -1 if it does not live.
func (a *assignment) indexOf(name string) int {
	return slices.IndexFunc(a.members, func(member Member) bool { return member.Name == name })
}

// leastLoaded is the index of the member with the fewest shards, of equals the first by name.
func (a *assignment) leastLoaded() int {
	least := 0
	for i, count := range a.counts {
		if count < a.counts[least] {
			least = i
		}
	}
	return least
}

// assign makes a member own a shard that has no owner.
func (a *assignment) assign(shard, member int) {
	a.owners[shard] = a.members[member]
	a.counts[member]++
}

// keepOwners leaves shards with their owners if those live, and returns the other shards. An owner that
// has restarted gets its shards back up to its part of all.
func (a *assignment) keepOwners() []int {
	fairShare := (len(a.owners) + len(a.members) - 1) / len(a.members)
	var unowned []int
	for shard, owner := range a.owners {
		member := a.indexOf(owner.Name)
		switch {
		case member < 0:
			unowned = append(unowned, shard)
		case a.members[member].Incarnation != owner.Incarnation && a.counts[member] >= fairShare:
			unowned = append(unowned, shard)
		default:
			a.assign(shard, member)
		}
	}
	return unowned
}

// balance moves shards that may move, the last first, to members with fewer shards.
func (a *assignment) balance(movable func(shard int) bool) {
	for shard := len(a.owners) - 1; shard >= 0; shard-- {
		from, to := a.indexOf(a.owners[shard].Name), a.leastLoaded()
		if a.counts[from] >= a.counts[to]+minImbalance && movable(shard) {
			a.counts[from]--
			a.assign(shard, to)
		}
	}
}
