// Package membership decides who leads and which controller owns which shard.
package membership

import (
	"cmp"
	"slices"
)

// Member is a living controller.
type Member struct {
	Name        string
	Incarnation uint64
}

// Owner is who owns a shard; the zero value is nobody.
type Owner = Member

// Assign gives every shard a living owner and moves as few as it can: a shard
// stays with its owner's present incarnation; one whose owner is gone or has
// started anew goes to its old name if that lives, else to the controller with the
// fewest shards. Shards that may be moved, if movable is set, also move from a controller
// that owns at least two more than another.
func Assign(shares []Owner, nodes []Member, movable func(share int) bool) []Owner {
	if len(nodes) == 0 {
		return shares
	}
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	out := slices.Clone(shares)
	count := make([]int, len(nodes))
	byName := func(name string) int {
		return slices.IndexFunc(nodes, func(n Member) bool { return n.Name == name })
	}
	fewest := func() int {
		best := 0
		for i := range count {
			if count[i] < count[best] {
				best = i
			}
		}
		return best
	}
	limit := (len(shares) + len(nodes) - 1) / len(nodes)
	var open []int
	for s, o := range out {
		i := byName(o.Name)
		switch {
		case i < 0:
			open = append(open, s)
		case nodes[i].Incarnation != o.Incarnation && count[i] >= limit:
			open = append(open, s)
		default:
			out[s] = nodes[i]
			count[i]++
		}
	}
	for _, s := range open {
		i := fewest()
		out[s] = nodes[i]
		count[i]++
	}
	if movable != nil {
		for s := len(out) - 1; s >= 0; s-- {
			from, to := byName(out[s].Name), fewest()
			if count[from] >= count[to]+2 && movable(s) {
				out[s] = nodes[to]
				count[from]--
				count[to]++
			}
		}
	}
	return out
}
