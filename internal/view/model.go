package view

import (
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/btree"
)

// What a model keeps of the past.
const (
	maxFinalJobs  = 2000 // jobs that are over
	maxVictimSets = 50
	maxRemovals   = 4000 // removed rows: a reader that is further behind begins anew
)

// rowKind of a row.
type rowKind uint8

const (
	kindJob rowKind = iota + 1
	kindMachine
	kindVictimSet
)

// logEntry says which row changed last under a sequence number. Each row has one logEntry.
type logEntry struct {
	kind      rowKind
	key       string
	removed   bool
	job       *Job      // of a removed row, for whoever may not know of it
	victimSet *Eviction // likewise
}

// Model is the read model. One goroutine owns it. Its maps are copied on write: a copy of a
// whole map costs nothing, and a change after it copies the few tree nodes on its way.
type Model struct {
	teams          []Team // guarantee and limit only
	teamIndex      map[string]int
	jobs           *btree.Map[string, *Job]
	machines       *btree.Map[string, *Machine]
	evictions      *btree.Map[string, *Eviction]
	log            *btree.Map[uint64, logEntry]
	seq            uint64
	logFloor       uint64   // changes up to it are not all in the log any more
	finalJobs      []string // jobs, in the order of their ends
	removals       []uint64 // sequence numbers of removals
	totals         []Totals // by team
	ratesMicro     []uint64 // by team
	fleet          Fleet
	mirror         bool   // a copy of another model, which alone decides what is dropped
	victimSetCount uint64 // evicted sets so far
	unlistedTotals Totals // jobs of teams that are not in the head
}

// SetTeam takes a team's changed guarantee and limit.
func (m *Model) SetTeam(t Team) {
	if i, ok := m.teamIndex[t.Name]; ok {
		t.Totals, t.RateMicro, t.DominantPM = Totals{}, 0, 0
		m.teams[i] = t
	}
}

// NewModel is empty; teams tell guarantees and limits.
func NewModel(teams []Team) *Model {
	m := &Model{teams: slices.Clone(teams), teamIndex: map[string]int{}, totals: make([]Totals, len(teams)), ratesMicro: make([]uint64, len(teams)),
		jobs: btree.NewMap[string, *Job](16), machines: btree.NewMap[string, *Machine](16),
		evictions: btree.NewMap[string, *Eviction](16), log: btree.NewMap[uint64, logEntry](16)}
	for i := range m.teams {
		m.teams[i].Totals, m.teams[i].RateMicro, m.teams[i].DominantPM = Totals{}, 0, 0
		m.teamIndex[m.teams[i].Name] = i
	}
	return m
}

// NewMirror is an empty copy of a controller's model, for one who reads its feed.
func NewMirror() *Model {
	m := NewModel(nil)
	m.mirror = true
	return m
}

// SnapshotWithHead is the model as it is now under a whole head, such as came with a mirror's last page.
func (m *Model) SnapshotWithHead(h Head) *Snapshot {
	return &Snapshot{Head: h, jobs: m.jobs.Copy(), machines: m.machines.Copy(), evictions: m.evictions.Copy(), log: m.log.Copy(), logFloor: m.logFloor}
}

// logChange writes down that a row changed, and returns its sequence number.
func (m *Model) logChange(old uint64, changed logEntry) uint64 {
	if old > 0 {
		m.log.Delete(old)
	}
	m.seq++
	m.log.Set(m.seq, changed)
	if changed.removed {
		if m.removals = append(m.removals, m.seq); len(m.removals) > maxRemovals {
			m.logFloor = m.removals[0]
			m.log.Delete(m.removals[0])
			m.removals = m.removals[1:]
		}
	}
	return m.seq
}

func (m *Model) totalsOf(team string) *Totals {
	if i, ok := m.teamIndex[team]; ok {
		return &m.totals[i]
	}
	return &m.unlistedTotals
}

// PutJob puts a job's row in the place of the one before. A final row is never replaced by
// one that is not: such a row is dropped, and false returned.
func (m *Model) PutJob(job Job) bool {
	old, had := m.jobs.Get(job.ID)
	if had {
		if old.Status.Final() && !job.Status.Final() {
			return false
		}
		job.seq = old.seq
		if job == *old {
			return true
		}
		m.totalsOf(old.Team).add(old, -1)
	}
	job.seq = m.logChange(job.seq, logEntry{kind: kindJob, key: job.ID})
	m.jobs.Set(job.ID, &job)
	m.totalsOf(job.Team).add(&job, 1)
	if job.Status.Final() && (!had || !old.Status.Final()) && !m.mirror {
		m.finalJobs = append(m.finalJobs, job.ID)
		for len(m.finalJobs) > maxFinalJobs {
			m.DropJob(m.finalJobs[0])
		}
	}
	return true
}

// DropJob removes a job's row.
func (m *Model) DropJob(id string) {
	if old, ok := m.jobs.Delete(id); ok {
		m.totalsOf(old.Team).add(old, -1)
		m.logChange(old.seq, logEntry{kind: kindJob, key: id, removed: true, job: old})
		if i := slices.Index(m.finalJobs, id); i >= 0 && !m.mirror {
			m.finalJobs = slices.Delete(m.finalJobs, i, i+1)
		}
	}
}

// addMachine adds a machine to the sums, or takes it away with sign -1.
func (m *Model) addMachine(machine *Machine, sign int64) {
	m.fleet.add(machine, sign)
	for _, use := range machine.Uses {
		if i, ok := m.teamIndex[use.Team]; ok {
			m.ratesMicro[i] += uint64(sign) * use.rateMicro(machine)
		}
	}
}

// PutMachine puts a machine's row in the place of the one before.
func (m *Model) PutMachine(machine Machine) {
	if old, had := m.machines.Get(machine.Name); had {
		m.addMachine(old, -1)
		machine.seq = old.seq
	}
	machine.seq = m.logChange(machine.seq, logEntry{kind: kindMachine, key: machine.Name})
	m.machines.Set(machine.Name, &machine)
	m.addMachine(&machine, 1)
}

// DropMachine removes a machine's row.
func (m *Model) DropMachine(name string) {
	if old, ok := m.machines.Delete(name); ok {
		m.addMachine(old, -1)
		m.logChange(old.seq, logEntry{kind: kindMachine, key: name, removed: true})
	}
}

// PutEviction puts an evicted set's row in the place of the one before, or in a new place if
// it has no key yet. The latest are kept. A key names no job: those who see a set because it
// has a victim of theirs need not know for whom.
func (m *Model) PutEviction(eviction Eviction) {
	if eviction.Key == "" {
		m.victimSetCount++
		eviction.Key = fmt.Sprintf("%015d/%d", eviction.At, m.victimSetCount)
	}
	if old, had := m.evictions.Get(eviction.Key); had {
		eviction.seq = old.seq
	}
	eviction.seq = m.logChange(eviction.seq, logEntry{kind: kindVictimSet, key: eviction.Key})
	m.evictions.Set(eviction.Key, &eviction)
	for m.evictions.Len() > maxVictimSets && !m.mirror {
		key, _, _ := m.evictions.Min()
		m.DropVictimSet(key)
	}
}

// DropVictimSet removes an evicted set's row.
func (m *Model) DropVictimSet(key string) {
	if old, ok := m.evictions.Delete(key); ok {
		m.logChange(old.seq, logEntry{kind: kindVictimSet, key: key, removed: true, victimSet: old})
	}
}

// EvictionOf finds the latest row of the set that makes room for a job.
func (m *Model) EvictionOf(job string) (Eviction, bool) {
	var found Eviction
	ok := false
	m.evictions.Reverse(func(_ string, e *Eviction) bool {
		if ok = e.Job == job; ok {
			found = *e
		}
		return !ok
	})
	return found, ok
}

// Snapshot is the model as it is now, with a head that tells what only its maker knows. It
// takes as long whatever the model holds.
func (m *Model) Snapshot(h Head) *Snapshot {
	h.Seq, h.Fleet = m.seq, m.fleet
	h.Teams = make([]Team, len(m.teams))
	for i, t := range m.teams {
		t.Totals, t.RateMicro = m.totals[i], m.ratesMicro[i]
		t.DominantPM = max(permille(t.UsedCpus, m.fleet.Cpus), permille(t.UsedGpus, m.fleet.Gpus))
		h.Teams[i] = t
	}
	return m.SnapshotWithHead(h)
}

func permille(part, all uint64) uint64 {
	if all == 0 {
		return 0
	}
	return 1000 * part / all
}

// Snapshot is a model at one revision. It never changes.
type Snapshot struct {
	Head
	jobs      *btree.Map[string, *Job]
	machines  *btree.Map[string, *Machine]
	evictions *btree.Map[string, *Eviction]
	log       *btree.Map[uint64, logEntry]
	logFloor  uint64
}

// Jobs shows the jobs' rows in the order of their ids, beginning after one, until yield
// returns false.
func (s *Snapshot) Jobs(after string, yield func(*Job) bool) {
	s.jobs.Ascend(after, func(id string, j *Job) bool { return id == after || yield(j) })
}

// Job finds a job's row, nil if there is none.
func (s *Snapshot) Job(id string) *Job {
	j, _ := s.jobs.Get(id)
	return j
}

// Machines shows the machines' rows in the order of their names.
func (s *Snapshot) Machines(yield func(*Machine) bool) {
	s.machines.Scan(func(_ string, m *Machine) bool { return yield(m) })
}

// Evictions shows the latest evicted sets, newest first.
func (s *Snapshot) Evictions(yield func(*Eviction) bool) {
	s.evictions.Reverse(func(_ string, e *Eviction) bool { return yield(e) })
}

// Counts is how many jobs, machines and evicted sets it lists.
func (s *Snapshot) Counts() (jobs, machines, evictions int) {
	return s.jobs.Len(), s.machines.Len(), s.evictions.Len()
}

// Check holds the sums of the head against the rows, whatever made both. An error names the
// first sum that is off: then the snapshot is torn and must not be shown.
func (s *Snapshot) Check() error {
	sums := map[string]*Totals{}
	s.jobs.Scan(func(_ string, j *Job) bool {
		if sums[j.Team] == nil {
			sums[j.Team] = &Totals{}
		}
		sums[j.Team].add(j, 1)
		return true
	})
	for _, t := range s.Teams {
		got := Totals{}
		if sums[t.Name] != nil {
			got = *sums[t.Name]
		}
		delete(sums, t.Name)
		if got != t.Totals {
			return fmt.Errorf("revision %d: rows of team %s sum up to %+v, the head says %+v", s.Revision, t.Name, got, t.Totals)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		return fmt.Errorf("revision %d: rows of team %s, which the head does not list", s.Revision, name)
	}
	if s.Scope != "" {
		return nil // machines are not listed
	}
	var f Fleet
	s.machines.Scan(func(_ string, m *Machine) bool {
		f.add(m, 1)
		return true
	})
	if f != s.Fleet {
		return fmt.Errorf("revision %d: machines sum up to %+v, the head says %+v", s.Revision, f, s.Fleet)
	}
	return nil
}
