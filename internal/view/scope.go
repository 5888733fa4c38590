package view

import "slices"

// Scope is whose view it is: one team's, or the operators' if it is empty. What a team may
// not know leaves out here, where the view is made, and never reaches the one who draws it:
// of other teams it sees one sum. It is given no machines (others' tasks are on them) and no
// controller's name.
type Scope string

// Operators see everything.
const Operators Scope = ""

// job is what of a job's row may be seen, nil if nothing.
func (s Scope) job(j *Job) *Job {
	if s != Operators && j.Team != string(s) {
		return nil
	}
	return j
}

func (s Scope) machine(m *Machine) *Machine {
	if s != Operators {
		return nil
	}
	return m
}

// VictimSet is what of an evicted set may be seen. One that concerns a team through a victim
// of its own shows that victim only, and not for whom.
func (s Scope) VictimSet(eviction *Eviction) *Eviction {
	if s == Operators {
		return eviction
	}
	out := *eviction
	out.Victims = slices.DeleteFunc(slices.Clone(eviction.Victims), func(v Victim) bool { return v.Team != string(s) })
	if eviction.Team != string(s) {
		if len(out.Victims) == 0 {
			return nil
		}
		out.Job, out.Team = "", ""
	}
	return &out
}

// Head is what of a head may be seen.
func (s Scope) Head(head Head) Head {
	head.Scope = string(s)
	if s == Operators {
		return head
	}
	others, own := Totals{}, []Team{}
	for _, t := range head.Teams {
		if t.Name == string(s) {
			own = append(own, t)
			continue
		}
		others.addTotals(t.Totals)
	}
	head.Teams, head.Others = own, &others
	head.Member, head.Members, head.Fleet.RateMicro = "", []Member{}, 0
	return head
}

// ForScope is the snapshot as a scope sees it, whole.
func (s *Snapshot) ForScope(scope Scope) *Snapshot {
	if scope == Operators {
		return s
	}
	model := NewModel(nil)
	s.jobs.Scan(func(_ string, j *Job) bool {
		if j = scope.job(j); j != nil {
			model.jobs.Set(j.ID, j)
		}
		return true
	})
	s.evictions.Scan(func(_ string, e *Eviction) bool {
		if e = scope.VictimSet(e); e != nil {
			model.evictions.Set(e.Key, e)
		}
		return true
	})
	return &Snapshot{Head: scope.Head(s.Head), jobs: model.jobs, machines: model.machines, evictions: model.evictions, log: model.log, logFloor: s.logFloor}
}
