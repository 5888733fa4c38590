package membership

import (
	"slices"
	"testing"
)

func TestAssign(t *testing.T) {
	a, b, c := Member{"a", 1}, Member{"b", 2}, Member{"c", 3}
	restartedA := Member{"a", 9}
	all := func(int) bool { return true }
	only := func(shards ...int) func(int) bool {
		return func(s int) bool { return slices.Contains(shards, s) }
	}
	cases := []struct {
		name    string
		owners  []Owner // by shard
		members []Member
		movable func(int) bool
		want    []Owner
	}{
		{"no shard has an owner yet", make([]Owner, 3), []Member{c, a, b}, nil, []Owner{a, b, c}},
		{"no live member", []Owner{a, b}, nil, nil, []Owner{a, b}},
		{"a single member", []Owner{a, b, c}, []Member{b}, nil, []Owner{b, b, b}},
		{"only the dead member's shard moves", []Owner{a, b, c}, []Member{a, c}, nil, []Owner{a, a, c}},
		{"a restarted member keeps its shard", []Owner{a, b, c}, []Member{restartedA, b, c}, nil, []Owner{restartedA, b, c}},
		{"no balancing without movable", []Owner{a, a, c}, []Member{a, b, c}, nil, []Owner{a, a, c}},
		{"balancing moves one shard", []Owner{a, a, c}, []Member{a, b, c}, all, []Owner{a, b, c}},
		{"fewer shards than members", []Owner{a, a}, []Member{a, b, c}, all, []Owner{a, b}},
		{"only movable shards move", []Owner{a, a, a, b}, []Member{a, b, c}, only(0), []Owner{c, a, a, b}},
		{"no shard is movable", []Owner{a, a, a}, []Member{a, b}, only(), []Owner{a, a, a}},
		{"balanced owners stay", []Owner{b, a, c}, []Member{a, b, c}, all, []Owner{b, a, c}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := Assign(test.owners, test.members, test.movable)
			if !slices.Equal(got, test.want) {
				t.Fatalf("got %v, want %v", got, test.want)
			}
		})
	}
}
