package membership

import (
	"slices"
	"testing"
)

func TestAssign(t *testing.T) {
	a, b, c := Node{"a", 1}, Node{"b", 2}, Node{"c", 3}
	a2 := Node{"a", 9}
	all := func(int) bool { return true }
	only := func(shares ...int) func(int) bool {
		return func(s int) bool { return slices.Contains(shares, s) }
	}
	cases := []struct {
		name    string
		shares  []Owner
		nodes   []Node
		movable func(int) bool
		want    []Owner
	}{
		{"first of all", make([]Owner, 3), []Node{c, a, b}, nil, []Owner{a, b, c}},
		{"nobody alive", []Owner{a, b}, nil, nil, []Owner{a, b}},
		{"one alone", []Owner{a, b, c}, []Node{b}, nil, []Owner{b, b, b}},
		{"only the dead node's share moves", []Owner{a, b, c}, []Node{a, c}, nil, []Owner{a, a, c}},
		{"a restarted node keeps its share anew", []Owner{a, b, c}, []Node{a2, b, c}, nil, []Owner{a2, b, c}},
		{"no balance before membership settles", []Owner{a, a, c}, []Node{a, b, c}, nil, []Owner{a, a, c}},
		{"balance moves one", []Owner{a, a, c}, []Node{a, b, c}, all, []Owner{a, b, c}},
		{"fewer shares than nodes", []Owner{a, a}, []Node{a, b, c}, all, []Owner{a, b}},
		{"of those taken a moment ago only", []Owner{a, a, a, b}, []Node{a, b, c}, only(0), []Owner{c, a, a, b}},
		{"none that was taken a moment ago", []Owner{a, a, a}, []Node{a, b}, only(), []Owner{a, a, a}},
		{"balanced stays", []Owner{b, a, c}, []Node{a, b, c}, all, []Owner{b, a, c}},
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
