package membership

import (
	"cmp"
	"slices"
)

// Member is a live controller.
type Member struct {
	Name        string
	Incarnation uint64 // of its process; a restarted controller has another
}

// Owner is the owner of a shard; the zero value means that the shard has none.
type Owner = Member

// minImbalance is the difference in shard counts from which a shard moves to balance two members: with a
// difference of one, a move would only swap their counts.
const minImbalance = 2

// Assign gives every shard a live owner and moves as few shards as possible. A shard stays with its owner if
// that is live with the same incarnation. If its owner is not live or was restarted, the shard goes to the
// member with the owner's name if that is live and owns less than its fair share, else to the member with
// the fewest shards. If movable is set, shards for which it returns true also move from a member that owns at
// least minImbalance shards more than another. The result holds the owner of each shard; without members it is owners
// itself. Assign does not modify its arguments.
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

// assignment holds the state of one run of Assign.
type assignment struct {
	owners  []Owner  // by shard
	members []Member // sorted by name
	counts  []int    // shards owned, by member index
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

// indexOf returns the index of the member with a name, -1 if there is none.
func (a *assignment) indexOf(name string) int {
	return slices.IndexFunc(a.members, func(member Member) bool { return member.Name == name })
}

// leastLoaded returns the index of the member with the fewest shards, the first by name among equals.
func (a *assignment) leastLoaded() int {
	least := 0
	for i, count := range a.counts {
		if count < a.counts[least] {
			least = i
		}
	}
	return least
}

// assign makes a member the owner of a shard and counts the shard for it.
func (a *assignment) assign(shard, member int) {
	a.owners[shard] = a.members[member]
	a.counts[member]++
}

// keepOwners leaves shards with their live owners and returns the other shards. A member that was restarted
// gets its shards back up to its fair share.
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

// balance moves movable shards, the last first, to members with fewer shards.
func (a *assignment) balance(movable func(shard int) bool) {
	for shard := len(a.owners) - 1; shard >= 0; shard-- {
		from, to := a.indexOf(a.owners[shard].Name), a.leastLoaded()
		if a.counts[from] >= a.counts[to]+minImbalance && movable(shard) {
			a.counts[from]--
			a.assign(shard, to)
		}
	}
}
