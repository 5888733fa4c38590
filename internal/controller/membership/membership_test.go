package membership

import (
	"slices"
	"testing"
)

func TestAssign(t *testing.T) {
	a, b, c := Member{"a", 1}, Member{"b", 2}, Member{"c", 3}
	a2 := Member{"a", 9}
	all := func(int) bool { return true }
	only := func(shares ...int) func(int) bool {
		return func(s int) bool { return slices.Contains(shares, s) }
	}
	cases := []struct {
		name    string
		shares  []Owner
		nodes   []Member
		movable func(int) bool
		want    []Owner
	}{
		{"first of all", make([]Owner, 3), []Member{c, a, b}, nil, []Owner{a, b, c}},
		{"nobody alive", []Owner{a, b}, nil, nil, []Owner{a, b}},
		{"one alone", []Owner{a, b, c}, []Member{b}, nil, []Owner{b, b, b}},
		{"only the dead node's share moves", []Owner{a, b, c}, []Member{a, c}, nil, []Owner{a, a, c}},
		{"a restarted node keeps its share anew", []Owner{a, b, c}, []Member{a2, b, c}, nil, []Owner{a2, b, c}},
		{"no balance before membership settles", []Owner{a, a, c}, []Member{a, b, c}, nil, []Owner{a, a, c}},
		{"balance moves one", []Owner{a, a, c}, []Member{a, b, c}, all, []Owner{a, b, c}},
		{"fewer shares than nodes", []Owner{a, a}, []Member{a, b, c}, all, []Owner{a, b}},
		{"of those taken a moment ago only", []Owner{a, a, a, b}, []Member{a, b, c}, only(0), []Owner{c, a, a, b}},
		{"none that was taken a moment ago", []Owner{a, a, a}, []Member{a, b}, only(), []Owner{a, a, a}},
		{"balanced stays", []Owner{b, a, c}, []Member{a, b, c}, all, []Owner{b, a, c}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			got := Assign(x.shares, x.nodes, x.movable)
			for i := range x.want {
				if got[i] != x.want[i] {
					t.Fatalf("got %v, want %v", got, x.want)
				}
			}
		})
	}
}
