package view

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dykeledge/internal/protocol"
)

var teams = []Team{{Name: "team-red-x", Cpus: 4000}, {Name: "team-blue-x", CpusMax: 9000}, {Name: "team-green-x"}}

// randomJob draws a job whose id and class contain the name of its team.
func randomJob(t *rapid.T) Job {
	team := rapid.SampledFrom(teams).Draw(t, "team").Name
	tasks := rapid.Uint32Range(1, 9).Draw(t, "tasks")
	done := rapid.Uint32Range(0, tasks).Draw(t, "done")
	j := Job{Team: team, Tasks: tasks, Done: done, Placed: rapid.Uint32Range(0, tasks-done).Draw(t, "placed"),
		Status: Status(rapid.IntRange(0, 3).Draw(t, "status")), Priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, "prio")),
		UnmetDependencies: rapid.Uint32Range(0, 2).Draw(t, "awaits"), Cpus: rapid.Uint64Range(1, 5000).Draw(t, "cpus"), Gpus: rapid.Uint64Range(0, 2000).Draw(t, "gpus"),
		SubmittedMs: rapid.Int64Range(-5, 1e12).Draw(t, "submit"), DeadlineMs: rapid.Int64Range(0, 1e12).Draw(t, "due"), Preempting: rapid.Bool().Draw(t, "evicting")}
	j.ID = fmt.Sprintf("job-%d-of-%s", rapid.IntRange(0, 30).Draw(t, "id"), team)
	j.Class = "class-of-" + team
	return j
}

// applyRandomChange applies one random change to a model, of the kinds that a controller makes.
func applyRandomChange(t *rapid.T, model *Model) {
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		model.DropJob(randomJob(t).ID)
	case 1:
		model.DropMachine(fmt.Sprintf("host-%d", rapid.IntRange(0, 9).Draw(t, "machine")))
	case 2, 3:
		a, b := randomJob(t), randomJob(t)
		e := VictimSet{Job: a.ID, Team: a.Team, ChosenAtMs: rapid.Int64Range(0, 50).Draw(t, "at"), Open: true, Victims: []Victim{{Job: b.ID, Team: b.Team, Task: 1, Attempt: 7, Score: 0.5}}}
		if old, ok := model.LatestVictimSet(a.ID); ok && rapid.Bool().Draw(t, "same") {
			old.Open = false
			e = old
		}
		model.PutVictimSet(e)
	case 4:
		x := Machine{Name: fmt.Sprintf("host-%d", rapid.IntRange(0, 9).Draw(t, "machine")), Type: "t", Zone: "z", Cpus: 16000, Price: 1_500_000,
			State: MachineState(rapid.IntRange(0, 5).Draw(t, "state"))}
		j := randomJob(t)
		x.Uses, x.UsedCpus, x.Tasks = []MachineUse{{j.Team, 1, j.Cpus, 0}}, j.Cpus, 1
		model.PutMachine(x)
	default:
		model.PutJob(randomJob(t))
	}
}

// TestFeedReproducesModel reads the feed of a model that changes at random, and restarts at times from a
// cursor of another epoch. After each page the reader must have the rows of the snapshot, as far as its scope
// may see them, and consistent totals.
func TestFeedReproducesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, mirror, cursor := NewModel(teams), NewMirror(), Cursor{}
		scope := Scope(rapid.SampledFrom([]string{"", teams[0].Name}).Draw(t, "scope"))
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			for range rapid.IntRange(0, 40).Draw(t, "changes") {
				applyRandomChange(t, model)
			}
			snapshot := model.Snapshot(Head{Epoch: 7, Revision: model.seq})
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				cursor = Cursor{Epoch: rapid.Uint64Range(6, 7).Draw(t, "epoch"), Seq: rapid.Uint64Range(0, model.seq+1).Draw(t, "seq")}
				mirror = NewMirror()
				cursor.Epoch = 6 // a reader without rows restarts with an epoch that no model has
			}
			raw := snapshot.AppendPage(nil, scope, cursor, 5)
			page, err := ReadPage(raw)
			if err != nil {
				t.Fatal(err)
			}
			if page.Reset {
				mirror = NewMirror()
			}
			page.Apply(mirror)
			cursor = page.Next
			got := mirror.SnapshotWithHead(*page.Head)
			if err := got.Check(); err != nil {
				t.Fatal(err)
			}
			want := snapshot.ForScope(scope)
			var a, b []string
			list := func(s *Snapshot) (out []string) {
				s.Jobs("", func(j *Job) bool { x := *j; x.seq = 0; out = append(out, fmt.Sprintf("%+v", x)); return true })
				s.Machines(func(j *Machine) bool { x := *j; x.seq = 0; out = append(out, fmt.Sprintf("%+v", x)); return true })
				s.VictimSets(func(j *VictimSet) bool { x := *j; x.seq = 0; out = append(out, fmt.Sprintf("%+v", x)); return true })
				return out
			}
			if scope == Operators {
				want = snapshot
			}
			if a, b = list(got), list(want); !slices.Equal(a, b) {
				t.Fatalf("the reader has rows\n%s\nthe model has\n%s", strings.Join(a, "\n"), strings.Join(b, "\n"))
			}
		}
	})
}

// TestScopeHidesOtherTeams checks for random models that nothing sent to a team contains the name of another
// team, of one of its jobs or classes, or of a controller.
func TestScopeHidesOtherTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := NewModel(teams)
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			applyRandomChange(t, model)
		}
		team := rapid.SampledFrom(teams).Draw(t, "me").Name
		head := Head{Epoch: 7, Member: "hidden-controller", Members: []Member{{Name: "hidden-controller"}}}
		snapshot := model.Snapshot(head)
		var out bytes.Buffer
		for seq := uint64(0); seq <= model.seq; seq += 1 + model.seq/9 {
			out.Write(snapshot.AppendPage(nil, Scope(team), Cursor{7, seq}, 5))
		}
		seen := snapshot.ForScope(Scope(team))
		enc := json.NewEncoder(&out)
		_ = enc.Encode(seen.Head)
		seen.Jobs("", func(j *Job) bool { return enc.Encode(j) == nil })
		seen.Machines(func(x *Machine) bool { return enc.Encode(x) == nil })
		seen.VictimSets(func(e *VictimSet) bool { return enc.Encode(e) == nil })
		for _, other := range teams {
			if other.Name != team && strings.Contains(out.String(), other.Name) {
				t.Fatalf("%s sees %s: %q", team, other.Name, out.String())
			}
		}
		if strings.Contains(out.String(), "hidden-controller") {
			t.Fatal("the view of a team contains the name of a controller")
		}
		// The team sees its own totals, and those of all others as one total.
		own, others := model.totals[model.teamIndex[team]], Totals{}
		for i := range model.totals {
			if i != model.teamIndex[team] {
				others.addTotals(model.totals[i])
			}
		}
		if len(seen.Teams) != 1 || seen.Teams[0].Totals != own || *seen.Others != others || seen.Check() != nil {
			t.Fatalf("head %+v, want own totals %+v and totals of others %+v", seen.Head, own, others)
		}
	})
}

// FuzzReadPage checks that any input gives a page or ErrMalformedPage, never a panic or a huge allocation.
func FuzzReadPage(f *testing.F) {
	model := NewModel(teams)
	model.PutJob(Job{ID: "job-000001", Team: teams[0].Name, Tasks: 3, Placed: 1, Status: Running})
	model.PutMachine(Machine{Name: "host-1", Uses: []MachineUse{{teams[0].Name, 1, 1, 0}}})
	model.PutVictimSet(VictimSet{Job: "job-000001", Victims: []Victim{{Job: "job-000002"}}})
	model.DropJob("job-000001")
	f.Add(model.Snapshot(Head{Epoch: 3, Members: []Member{{Name: "n", Shards: []uint32{1}}}}).AppendPage(nil, Operators, Cursor{}, 5))
	f.Add([]byte{feedMagic, feedVersion, flagReset, 1, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := ReadPage(raw)
		if err != nil {
			if !errors.Is(err, ErrMalformedPage) {
				t.Fatal(err)
			}
			return
		}
		mirror := NewMirror()
		p.Apply(mirror)
		if p.Head != nil {
			_ = mirror.SnapshotWithHead(*p.Head).Check() // may fail: the totals of a decoded page need not match its rows
		}
	})
}

// TestFinalJobIsNotReopened checks that a row with an open status, which comes from an older state, does not
// replace a final row.
func TestFinalJobIsNotReopened(t *testing.T) {
	m := NewMirror()
	m.PutJob(Job{ID: "job-000001", Tasks: 1, Done: 1, Status: Done})
	if m.PutJob(Job{ID: "job-000001", Tasks: 1, Placed: 1, Status: Running}) {
		t.Error("a Running row replaced a Done row")
	}
	if s := m.SnapshotWithHead(Head{}); s.Job("job-000001").Status != Done {
		t.Error(s.Job("job-000001"))
	}
}

// largeModel returns a model with many open jobs on many machines.
func largeModel(jobs, machines int) *Model {
	m := NewModel(teams)
	for i := range jobs {
		m.PutJob(Job{ID: fmt.Sprintf("job-%09d", i), Team: teams[i%3].Name, Class: "c", Tasks: 3, Placed: uint32(i % 2), Cpus: 1000})
	}
	for i := range machines {
		m.PutMachine(Machine{Name: fmt.Sprintf("host-%06d", i), Cpus: 16000, Uses: []MachineUse{{teams[0].Name, 1, 1000, 0}}})
	}
	return m
}

// BenchmarkSnapshot measures the cost for the goroutine that owns the model: a snapshot alone, and a snapshot
// with a change after it, which copies the tree nodes on its path.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		m := largeModel(n, n/16)
		b.Run(fmt.Sprintf("alone/jobs=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Snapshot(Head{})
			}
		})
		b.Run(fmt.Sprintf("and-a-change/jobs=%d", n), func(b *testing.B) {
			for i := range b.N {
				m.Snapshot(Head{})
				m.PutJob(Job{ID: fmt.Sprintf("job-%09d", i*7919%n), Team: teams[0].Name, Class: "c", Tasks: 3, Done: uint32(i % 3), Cpus: 1000})
			}
		})
	}
}

// BenchmarkPage measures the cost of a reader that lacks the latest 100 changes, and of one that has nothing
// and reads all pages.
func BenchmarkPage(b *testing.B) {
	model := largeModel(20000, 1250)
	snapshot := model.Snapshot(Head{Epoch: 1})
	b.Run("latest=100", func(b *testing.B) {
		for b.Loop() {
			snapshot.AppendPage(nil, Operators, Cursor{1, snapshot.Seq - 100}, 0)
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			for cur := (Cursor{}); cur.Seq < snapshot.Seq; {
				p, err := ReadPage(snapshot.AppendPage(nil, Operators, cur, 0))
				if err != nil {
					b.Fatal(err)
				}
				cur = p.Next
			}
		}
	})
}
