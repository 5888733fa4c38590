package membership

import (
	"slices"
	"testing"
)

func TestAssign(t *testing.T) {
	member, b, c := Member{"a", 1}, Member{"b", 2}, Member{"c", 3}
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
		{"no shard has an owner yet", make([]Owner, 3), []Member{c, member, b}, nil, []Owner{member, b, c}},
		{"no living member", []Owner{member, b}, nil, nil, []Owner{member, b}},
		{"one member alone", []Owner{member, b, c}, []Member{b}, nil, []Owner{b, b, b}},
		{"only the dead member's shard moves", []Owner{member, b, c}, []Member{member, c}, nil, []Owner{member, member, c}},
		{"a restarted member keeps its shard", []Owner{member, b, c}, []Member{restartedA, b, c}, nil, []Owner{restartedA, b, c}},
		{"no balance before membership settles", []Owner{member, member, c}, []Member{member, b, c}, nil, []Owner{member, member, c}},
		{"balance moves one", []Owner{member, member, c}, []Member{member, b, c}, all, []Owner{member, b, c}},
		{"fewer shards than members", []Owner{member, member}, []Member{member, b, c}, all, []Owner{member, b}},
		{"only shards that may move", []Owner{member, member, member, b}, []Member{member, b, c}, only(0), []Owner{c, member, member, b}},
		{"no shard may move", []Owner{member, member, member}, []Member{member, b}, only(), []Owner{member, member, member}},
		{"balanced owners stay", []Owner{b, member, c}, []Member{member, b, c}, all, []Owner{b, member, c}},
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
