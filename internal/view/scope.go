package view

import "slices"

// Scope limits a view to what one team may see; the empty scope is the operators'. The limit is applied
// where the view is made, so that what a team may not see never reaches the program that displays it. A team
// sees the other teams as one total. It sees no machines, because tasks of other teams run on them, and no
// names of controllers.
type Scope string

// Operators is the scope that sees everything.
const Operators Scope = ""

// job returns the row if the scope may see it, nil otherwise.
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

// VictimSet returns the part of a victim set that the scope may see, nil if nothing. A team sees only its own
// tasks among the victims, and the job that needs the room only if that job is its own.
func (s Scope) VictimSet(victimSet *VictimSet) *VictimSet {
	if s == Operators {
		return victimSet
	}
	out := *victimSet
	out.Victims = slices.DeleteFunc(slices.Clone(victimSet.Victims), func(v Victim) bool { return v.Team != string(s) })
	if victimSet.Team != string(s) {
		if len(out.Victims) == 0 {
			return nil
		}
		out.Job, out.Team = "", ""
	}
	return &out
}

// Head returns the part of a head that the scope may see.
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

// ForScope returns the complete snapshot as the scope may see it.
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
	s.victimSets.Scan(func(_ string, e *VictimSet) bool {
		if e = scope.VictimSet(e); e != nil {
			model.victimSets.Set(e.Key, e)
		}
		return true
	})
	return &Snapshot{Head: scope.Head(s.Head), jobs: model.jobs, machines: model.machines, victimSets: model.victimSets, log: model.log, logFloor: s.logFloor}
}
