package membership

import (
	"slices"
	"testing"
)

func TestAssign(t *testing.T) {
	member, membershipMember, c := Member{"a", 1}, Member{"b", 2}, Member{"c", 3}
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
		{"first of all", make([]Owner, 3), []Member{c, member, membershipMember}, nil, []Owner{member, membershipMember, c}},
		{"nobody alive", []Owner{member, membershipMember}, nil, nil, []Owner{member, membershipMember}},
		{"one alone", []Owner{member, membershipMember, c}, []Member{membershipMember}, nil, []Owner{membershipMember, membershipMember, membershipMember}},
		{"only the dead node's share moves", []Owner{member, membershipMember, c}, []Member{member, c}, nil, []Owner{member, member, c}},
		{"a restarted node keeps its share anew", []Owner{member, membershipMember, c}, []Member{a2, membershipMember, c}, nil, []Owner{a2, membershipMember, c}},
		{"no balance before membership settles", []Owner{member, member, c}, []Member{member, membershipMember, c}, nil, []Owner{member, member, c}},
		{"balance moves one", []Owner{member, member, c}, []Member{member, membershipMember, c}, all, []Owner{member, membershipMember, c}},
		{"fewer shares than nodes", []Owner{member, member}, []Member{member, membershipMember, c}, all, []Owner{member, membershipMember}},
		{"of those taken a moment ago only", []Owner{member, member, member, membershipMember}, []Member{member, membershipMember, c}, only(0), []Owner{c, member, member, membershipMember}},
		{"none that was taken a moment ago", []Owner{member, member, member}, []Member{member, membershipMember}, only(), []Owner{member, member, member}},
		{"balanced stays", []Owner{membershipMember, member, c}, []Member{member, membershipMember, c}, all, []Owner{membershipMember, member, c}},
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
