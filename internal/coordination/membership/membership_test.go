package membership

import "testing"

func TestAssign(t *testing.T) {
	a, b, c := Node{"a", 1}, Node{"b", 2}, Node{"c", 3}
	a2 := Node{"a", 9}
	cases := []struct {
		name    string
		shares  []Owner
		nodes   []Node
		balance bool
		want    []Owner
	}{
		{"first of all", make([]Owner, 3), []Node{c, a, b}, false, []Owner{a, b, c}},
		{"nobody alive", []Owner{a, b}, nil, false, []Owner{a, b}},
		{"one alone", []Owner{a, b, c}, []Node{b}, false, []Owner{b, b, b}},
		{"only the dead node's share moves", []Owner{a, b, c}, []Node{a, c}, false, []Owner{a, a, c}},
		{"a restarted node keeps its share anew", []Owner{a, b, c}, []Node{a2, b, c}, false, []Owner{a2, b, c}},
		{"no balance before membership settles", []Owner{a, a, c}, []Node{a, b, c}, false, []Owner{a, a, c}},
		{"balance moves one", []Owner{a, a, c}, []Node{a, b, c}, true, []Owner{a, b, c}},
		{"fewer shares than nodes", []Owner{a, a}, []Node{a, b, c}, true, []Owner{a, b}},
		{"balanced stays", []Owner{b, a, c}, []Node{a, b, c}, true, []Owner{b, a, c}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			got := Assign(x.shares, x.nodes, x.balance)
			for i := range x.want {
				if got[i] != x.want[i] {
					t.Fatalf("got %v, want %v", got, x.want)
				}
			}
		})
	}
}
