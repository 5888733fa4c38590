package view

import (
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/btree"
)

// How many rows and log entries of the past a model keeps.
const (
	maxFinalJobs  = 2000 // done and cancelled jobs
	maxVictimSets = 50
	maxRemovals   = 4000 // log entries of removed rows; a reader that is further behind must start again
)

// rowKind is the kind of a row.
type rowKind uint8

const (
	kindJob rowKind = iota + 1
	kindMachine
	kindVictimSet
)

// logEntry is the latest change of a row. The log holds one entry per row, by sequence number.
type logEntry struct {
	kind      rowKind
	key       string
	removed   bool
	job       *Job       // the removed row, to decide which scopes may see its removal
	victimSet *VictimSet // the removed row, for the same purpose
}

// Model is the read model, owned by one goroutine. Its maps are copy-on-write B-trees: copying a whole
// map takes constant time, and a change after a copy copies only the tree nodes on its path.
type Model struct {
	teams          []Team         // names, guarantees and limits only
	teamIndex      map[string]int // by name, index into teams, totals and ratesMicro
	jobs           *btree.Map[string, *Job]
	machines       *btree.Map[string, *Machine]
	victimSets     *btree.Map[string, *VictimSet]
	log            *btree.Map[uint64, logEntry]
	seq            uint64   // sequence number of the latest change
	logFloor       uint64   // the log is incomplete for cursors before this sequence number
	finalJobs      []string // ids of done and cancelled jobs, in the order in which they became final
	removals       []uint64 // sequence numbers of removed rows in the log
	totals         []Totals // by team
	ratesMicro     []uint64 // cost per hour by team, in millionths
	fleet          Fleet
	mirror         bool   // copies another model, which alone decides which rows are dropped
	victimSetCount uint64 // number of victim sets that were given a key
	unlistedTotals Totals // totals of jobs whose team is not in teams
}

// SetTeam updates the guarantee and limit of a team that the model has. Other teams are ignored.
func (m *Model) SetTeam(t Team) {
	if i, ok := m.teamIndex[t.Name]; ok {
		t.Totals, t.RateMicro, t.DominantPM = Totals{}, 0, 0
		m.teams[i] = t
	}
}

// NewModel returns a model without rows. teams holds the guarantees and limits.
func NewModel(teams []Team) *Model {
	m := &Model{teams: slices.Clone(teams), teamIndex: map[string]int{}, totals: make([]Totals, len(teams)), ratesMicro: make([]uint64, len(teams)),
		jobs: btree.NewMap[string, *Job](16), machines: btree.NewMap[string, *Machine](16),
		victimSets: btree.NewMap[string, *VictimSet](16), log: btree.NewMap[uint64, logEntry](16)}
	for i := range m.teams {
		m.teams[i].Totals, m.teams[i].RateMicro, m.teams[i].DominantPM = Totals{}, 0, 0
		m.teamIndex[m.teams[i].Name] = i
	}
	return m
}

// NewMirror returns an empty model to which the pages of a controller's feed are applied.
func NewMirror() *Model {
	m := NewModel(nil)
	m.mirror = true
	return m
}

// SnapshotWithHead returns the present rows with the given head, for example the one that the last page of
// a feed carried for a mirror.
func (m *Model) SnapshotWithHead(h Head) *Snapshot {
	return &Snapshot{Head: h, jobs: m.jobs.Copy(), machines: m.machines.Copy(), victimSets: m.victimSets.Copy(), log: m.log.Copy(), logFloor: m.logFloor}
}

// logChange logs a change of a row in place of its previous change, which has sequence number old, and
// returns the new sequence number.
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

// PutJob inserts or replaces the row of a job. It ignores a row that is not final, and returns false, if
// the present row is final.
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

// DropJob removes the row of a job.
func (m *Model) DropJob(id string) {
	if old, ok := m.jobs.Delete(id); ok {
		m.totalsOf(old.Team).add(old, -1)
		m.logChange(old.seq, logEntry{kind: kindJob, key: id, removed: true, job: old})
		if i := slices.Index(m.finalJobs, id); i >= 0 && !m.mirror {
			m.finalJobs = slices.Delete(m.finalJobs, i, i+1)
		}
	}
}

// addMachine adds a machine to the totals, or subtracts it if sign is -1.
func (m *Model) addMachine(machine *Machine, sign int64) {
	m.fleet.add(machine, sign)
	for _, use := range machine.Uses {
		if i, ok := m.teamIndex[use.Team]; ok {
			m.ratesMicro[i] += uint64(sign) * use.rateMicro(machine)
		}
	}
}

// PutMachine inserts or replaces the row of a machine.
func (m *Model) PutMachine(machine Machine) {
	if old, had := m.machines.Get(machine.Name); had {
		m.addMachine(old, -1)
		machine.seq = old.seq
	}
	machine.seq = m.logChange(machine.seq, logEntry{kind: kindMachine, key: machine.Name})
	m.machines.Set(machine.Name, &machine)
	m.addMachine(&machine, 1)
}

// DropMachine removes the row of a machine.
func (m *Model) DropMachine(name string) {
	if old, ok := m.machines.Delete(name); ok {
		m.addMachine(old, -1)
		m.logChange(old.seq, logEntry{kind: kindMachine, key: name, removed: true})
	}
}

// PutVictimSet replaces the row of a victim set, or inserts it under a new key if it has none. The latest
// maxVictimSets rows are kept. The key does not contain the id of the job that needs the room: a team that
// sees the set because one of its own tasks is a victim must not learn for which job.
func (m *Model) PutVictimSet(victimSet VictimSet) {
	if victimSet.Key == "" {
		m.victimSetCount++
		victimSet.Key = fmt.Sprintf("%015d/%d", victimSet.ChosenAtMs, m.victimSetCount)
	}
	if old, had := m.victimSets.Get(victimSet.Key); had {
		victimSet.seq = old.seq
	}
	victimSet.seq = m.logChange(victimSet.seq, logEntry{kind: kindVictimSet, key: victimSet.Key})
	m.victimSets.Set(victimSet.Key, &victimSet)
	for m.victimSets.Len() > maxVictimSets && !m.mirror {
		key, _, _ := m.victimSets.Min()
		m.DropVictimSet(key)
	}
}

// DropVictimSet removes the row of a victim set.
func (m *Model) DropVictimSet(key string) {
	if old, ok := m.victimSets.Delete(key); ok {
		m.logChange(old.seq, logEntry{kind: kindVictimSet, key: key, removed: true, victimSet: old})
	}
}

// LatestVictimSet returns the latest victim set that makes room for a job.
func (m *Model) LatestVictimSet(job string) (VictimSet, bool) {
	var found VictimSet
	ok := false
	m.victimSets.Reverse(func(_ string, e *VictimSet) bool {
		if ok = e.Job == job; ok {
			found = *e
		}
		return !ok
	})
	return found, ok
}

// Snapshot returns the present state of the model. h holds the fields of the head that the model does not
// compute. The time that it takes does not depend on the number of rows.
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

// Snapshot is the state of a model at one revision. It is immutable.
type Snapshot struct {
	Head
	jobs       *btree.Map[string, *Job]
	machines   *btree.Map[string, *Machine]
	victimSets *btree.Map[string, *VictimSet]
	log        *btree.Map[uint64, logEntry]
	logFloor   uint64
}

// Jobs calls yield for the rows of the jobs whose id is greater than after, in the order of their ids, until
// yield returns false.
func (s *Snapshot) Jobs(after string, yield func(*Job) bool) {
	s.jobs.Ascend(after, func(id string, j *Job) bool { return id == after || yield(j) })
}

// Job returns the row of a job, nil if there is none.
func (s *Snapshot) Job(id string) *Job {
	j, _ := s.jobs.Get(id)
	return j
}

// Machines calls yield for the rows of the machines in the order of their names, until yield returns false.
func (s *Snapshot) Machines(yield func(*Machine) bool) {
	s.machines.Scan(func(_ string, m *Machine) bool { return yield(m) })
}

// VictimSets calls yield for the latest victim sets, newest first, until yield returns false.
func (s *Snapshot) VictimSets(yield func(*VictimSet) bool) {
	s.victimSets.Reverse(func(_ string, e *VictimSet) bool { return yield(e) })
}

// Counts returns the numbers of jobs, machines and victim sets in the snapshot.
func (s *Snapshot) Counts() (jobs, machines, victimSets int) {
	return s.jobs.Len(), s.machines.Len(), s.victimSets.Len()
}

// Check compares the totals of the head with the totals of the rows. Its error names the first difference;
// the snapshot is then inconsistent and must not be shown.
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
			return fmt.Errorf("revision %d: totals of the job rows of team %s are %+v, the head has %+v", s.Revision, t.Name, got, t.Totals)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		return fmt.Errorf("revision %d: there are job rows of team %s, which the head does not list", s.Revision, name)
	}
	if s.Scope != "" {
		return nil // the scope of a team has no machine rows
	}
	var f Fleet
	s.machines.Scan(func(_ string, m *Machine) bool {
		f.add(m, 1)
		return true
	})
	if f != s.Fleet {
		return fmt.Errorf("revision %d: totals of the machine rows are %+v, the head has %+v", s.Revision, f, s.Fleet)
	}
	return nil
}
