package bookkeeping

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// Nowhere is the machine of a task that is not placed.
const Nowhere = int32(-1)

// Job is an accepted job. Once it is final and none of its tasks is placed,
// only its final state is kept.
type Job struct {
	Index    int32
	ID       string
	Team     int
	Class    int
	Share    int
	Shape    protocol.Shape
	Priority protocol.Priority
	Tasks    int
	Cpus     float64
	Gpus     float64
	Mem      float64
	Image    int
	ImageGB  float64
	Types    []int
	Zone     int // -1: any
	OneZone  bool
	Spread   bool
	Spot     bool
	Estimate float64
	Mark     float64
	Save     float64
	Due      time.Duration // 0: none
	At       time.Time

	Final   protocol.JobStatus // "" while open
	Done    Bitmap
	NDone   int
	Version uint64
	Spec    *SpecRecord

	Machine []int32  // by task: the machine whose record holds it, or Nowhere
	Attempt []uint64 // by task: the attempt in that record
	NPlaced int
	ByZone  []int32 // placed tasks by zone

	firstOpen int // no task before it waits
}

// Open tells whether the job still has work to do.
func (j *Job) Open() bool { return j.Final == "" }

// Waiting is the number of tasks that are neither done nor placed.
func (j *Job) Waiting() int {
	if !j.Open() {
		return 0
	}
	return j.Tasks - j.NDone - j.NPlaced
}

// NextWaiting returns the first waiting task at or after from, or -1.
func (j *Job) NextWaiting(from int) int {
	if from <= j.firstOpen {
		for j.firstOpen < j.Tasks && (j.Done.Get(j.firstOpen) || j.Machine[j.firstOpen] != Nowhere) {
			j.firstOpen++
		}
		from = j.firstOpen
	}
	for t := from; t < j.Tasks; t++ {
		if !j.Done.Get(t) && j.Machine[t] == Nowhere {
			return t
		}
	}
	return -1
}

// Placed is a task in a machine's record.
type Placed struct {
	Job     *Job
	Task    int
	Attempt uint64
	At      int64  // when it was placed, in seconds of the day's clock
	Waited  uint64 // the seconds it had waited before
}

// Machine is a machine with its committed record.
type Machine struct {
	Index   int32
	Name    string
	Share   int
	Token   uint64
	Session uint64
	Addr    string
	Type    int
	Zone    int
	Spot    bool
	Closing bool
	Drains  bool
	Sick    bool
	Rented  int64 // time of day in seconds, 0: unknown
	Tasks   []Placed
	Version uint64 // 0: no record
	Gone    bool   // its record was deleted
}

// Find returns the position of a task in the record, or -1.
func (m *Machine) Find(job *Job, task int) int {
	for i := range m.Tasks {
		if m.Tasks[i].Job == job && m.Tasks[i].Task == task {
			return i
		}
	}
	return -1
}

// Share is a part of the machines and teams.
type Share struct {
	ShareRecord
	Version uint64
}

// Node is a living node.
type Node struct {
	NodeRecord
	Version uint64
}

// Leader is the leading node.
type Leader struct {
	LeaderRecord
	Version uint64
}

// Evicted is an evicted set.
type Evicted struct {
	EvictRecord
	Job     string
	Version uint64
}

// Type is a machine type of the catalog, by index.
type Type struct {
	Cpus, Gpus, Mem  float64
	Cache, Fetch     float64
	Price, SpotPrice float64
	Boot             float64
	Zones            []int
}

// Raw is a record that the book only passes on.
type Raw struct {
	Value   json.RawMessage
	Version uint64
}

// Usage is what a team's placed tasks take.
type Usage struct{ Cpus, Gpus, Mem float64 }

// Book is the whole state as the state service has it, up to Revision.
type Book struct {
	Teams    []config.Team
	TeamIdx  *Names
	Zones    *Names
	TypeIdx  *Names
	Images   *Names
	Classes  *Names
	Types    []Type // by type index; zero Cpus: unknown
	NShares  int
	Shares   []Share
	Nodes    map[string]*Node
	Leader   Leader
	Jobs     []*Job // nil: free
	Machines []*Machine
	Evicted  map[string]*Evicted
	Catalog  Raw
	Settings Raw
	Used     []Usage // by team, all shares
	Revision uint64

	final      map[string]protocol.JobStatus
	finalTasks map[string]int32
	jobByID    map[string]*Job
	byName     map[string]*Machine
	freeJobs   []int32
	versions   map[string]uint64 // of keys that have no place elsewhere
}

// ShareCount is how many shares a deployment has: one a node, but none without a team.
func ShareCount(d *config.Deployment) int { return max(1, min(d.Nodes, len(d.Teams))) }

// NewBook is an empty book.
func NewBook(s *config.Settings) *Book {
	b := &Book{
		Teams: s.Deployment.Teams, TeamIdx: NewNames(), Zones: NewNames(s.Deployment.Zones...),
		TypeIdx: NewNames(), Images: NewNames(), Classes: NewNames(),
		NShares: ShareCount(&s.Deployment), Nodes: map[string]*Node{}, Evicted: map[string]*Evicted{},
		final: map[string]protocol.JobStatus{}, finalTasks: map[string]int32{}, jobByID: map[string]*Job{},
		byName: map[string]*Machine{}, versions: map[string]uint64{},
	}
	for _, t := range s.Deployment.Teams {
		b.TeamIdx.Index(t.Name)
	}
	b.Shares = make([]Share, b.NShares)
	b.Used = make([]Usage, len(b.Teams))
	return b
}

// ShareOf is the share that a team belongs to, whoever owns it.
func (b *Book) ShareOf(team int) int { return team % b.NShares }

// Job finds an open or not yet forgotten job.
func (b *Book) Job(id string) *Job { return b.jobByID[id] }

// FinalState returns the final state of a job, "" if it is open or unknown.
func (b *Book) FinalState(id string) (protocol.JobStatus, int) {
	if s, ok := b.final[id]; ok {
		return s, int(b.finalTasks[id])
	}
	if j := b.jobByID[id]; j != nil && !j.Open() {
		return j.Final, j.NDone
	}
	return "", 0
}

// Machine finds a machine by name.
func (b *Book) Machine(name string) *Machine {
	if m := b.byName[name]; m != nil && !m.Gone {
		return m
	}
	return nil
}

// Token is the token under which a machine is commanded.
func (b *Book) Token(m *Machine) uint64 { return max(m.Token, b.Shares[m.Share].Token) }

// SetCatalog takes the cloud's machine types.
func (b *Book) SetCatalog(c *protocol.Catalog) {
	for _, t := range c.Types {
		i := b.TypeIdx.Index(t.Name)
		b.growTypes()
		ty := Type{Cpus: t.Cpus, Gpus: t.Gpus, Mem: t.MemGB, Cache: t.CacheGB, Fetch: t.FetchGBs,
			Price: t.Price, SpotPrice: t.SpotPrice, Boot: t.BootS}
		for _, z := range t.Zones {
			ty.Zones = append(ty.Zones, b.Zones.Index(z))
		}
		b.Types[i] = ty
	}
}

func (b *Book) growTypes() {
	for len(b.Types) < b.TypeIdx.Len() {
		b.Types = append(b.Types, Type{})
	}
}

// HasCatalog tells whether any machine type is known.
func (b *Book) HasCatalog() bool { return len(b.Types) > 0 && b.Types[0].Cpus > 0 }

// Apply takes one change; an event that is no newer than what is known is dropped.
func (b *Book) Apply(key string, value json.RawMessage, version uint64, deleted bool) error {
	if name, ok := suffix(key, machinePrefix); ok {
		return b.applyMachine(name, value, version, deleted)
	}
	if id, ok := suffix(key, jobPrefix); ok {
		return b.applyJob(id, value, version, deleted)
	}
	if b.versions[key] >= version {
		return nil
	}
	if deleted {
		b.versions[key] = version
		value = nil
	}
	if name, ok := suffix(key, nodePrefix); ok {
		b.versions[key] = version
		if deleted {
			delete(b.Nodes, name)
			return nil
		}
		n := &Node{Version: version}
		if err := json.Unmarshal(value, &n.NodeRecord); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		b.Nodes[name] = n
		return nil
	}
	if num, ok := suffix(key, sharePrefix); ok {
		i, err := strconv.Atoi(num)
		if err != nil || i < 0 || i >= b.NShares {
			return fmt.Errorf("record %s: no such share", key)
		}
		b.versions[key] = version
		sh := Share{Version: version}
		if deleted {
			b.Shares[i] = Share{}
			return nil
		}
		if err := json.Unmarshal(value, &sh.ShareRecord); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		b.Shares[i] = sh
		return nil
	}
	if id, ok := suffix(key, evictPrefix); ok {
		b.versions[key] = version
		if deleted {
			delete(b.Evicted, id)
			delete(b.versions, key)
			return nil
		}
		e := &Evicted{Job: id, Version: version}
		if err := json.Unmarshal(value, &e.EvictRecord); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		b.Evicted[id] = e
		return nil
	}
	b.versions[key] = version
	switch key {
	case LeaderKey:
		b.Leader = Leader{}
		if !deleted {
			b.Leader.Version = version
			if err := json.Unmarshal(value, &b.Leader.LeaderRecord); err != nil {
				return fmt.Errorf("record %s: %w", key, err)
			}
		}
	case CatalogKey:
		if !deleted {
			var c protocol.Catalog
			if err := json.Unmarshal(value, &c); err != nil {
				return fmt.Errorf("record %s: %w", key, err)
			}
			b.Catalog = Raw{value, version}
			b.SetCatalog(&c)
		}
	case SettingsKey:
		b.Settings = Raw{value, version}
		if deleted {
			b.Settings = Raw{}
		}
	}
	return nil
}

func (b *Book) applyJob(id string, value json.RawMessage, version uint64, deleted bool) error {
	if _, ok := b.final[id]; ok {
		return nil // final states never change
	}
	j := b.jobByID[id]
	if j != nil && j.Version >= version {
		return nil
	}
	if deleted {
		return fmt.Errorf("job %s was deleted from the state service", id)
	}
	var r JobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	if r.Final != "" && r.Spec == nil && (j == nil || j.NPlaced == 0) {
		b.forget(id, j, protocol.JobStatus(r.Final), r.NDone)
		return nil
	}
	if j == nil {
		var err error
		if j, err = b.newJob(id, &r); err != nil {
			return err
		}
	}
	if r.Final == "" {
		done, err := decodeBitmap(r.Done, r.Tasks)
		if err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		j.Done = done
	}
	j.NDone = r.NDone
	j.Final = protocol.JobStatus(r.Final)
	j.Version = version
	return nil
}

func (b *Book) forget(id string, j *Job, s protocol.JobStatus, done int) {
	b.final[id] = s
	b.finalTasks[id] = int32(done)
	if j != nil {
		delete(b.jobByID, id)
		b.Jobs[j.Index] = nil
		b.freeJobs = append(b.freeJobs, j.Index)
	}
}

func (b *Book) newJob(id string, r *JobRecord) (*Job, error) {
	team := b.TeamIdx.Find(r.Team)
	s := r.Spec
	if team < 0 || s == nil {
		return nil, fmt.Errorf("job %s: unknown team %q or no description", id, r.Team)
	}
	j := &Job{
		ID: id, Team: team, Class: b.Classes.Index(s.Class), Share: b.ShareOf(team),
		Shape: protocol.Shape(s.Shape), Priority: protocol.Priority(min(s.Priority, 3)), Tasks: r.Tasks,
		Cpus: s.Cpus, Gpus: s.Gpus, Mem: s.Mem, Image: b.Images.Index(s.Image), ImageGB: s.ImageGB,
		Zone: -1, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot, Estimate: s.Estimate,
		Mark: s.Mark, Save: s.Save, Due: time.Duration(s.Due * float64(time.Second)),
		At: time.UnixMilli(r.AtMs), Spec: r.Spec,
		Machine: make([]int32, r.Tasks), Attempt: make([]uint64, r.Tasks), Done: NewBitmap(r.Tasks),
	}
	for i := range j.Machine {
		j.Machine[i] = Nowhere
	}
	for _, t := range s.Types {
		j.Types = append(j.Types, b.TypeIdx.Index(t))
	}
	b.growTypes()
	if s.Zone != "" {
		j.Zone = b.Zones.Index(s.Zone)
	}
	if n := len(b.freeJobs); n > 0 {
		j.Index = b.freeJobs[n-1]
		b.freeJobs = b.freeJobs[:n-1]
		b.Jobs[j.Index] = j
	} else {
		j.Index = int32(len(b.Jobs))
		b.Jobs = append(b.Jobs, j)
	}
	b.jobByID[id] = j
	return j, nil
}

func (b *Book) applyMachine(name string, value json.RawMessage, version uint64, deleted bool) error {
	m := b.byName[name]
	if m != nil && m.Version >= version {
		return nil
	}
	if deleted {
		if m != nil {
			b.place(m, nil)
			m.Gone, m.Version = true, version
		}
		return nil
	}
	var r MachineRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("machine %s: %w", name, err)
	}
	if r.Share < 0 || r.Share >= b.NShares {
		return fmt.Errorf("machine %s: no share %d", name, r.Share)
	}
	if m == nil {
		m = &Machine{Index: int32(len(b.Machines)), Name: name}
		b.Machines = append(b.Machines, m)
		b.byName[name] = m
	}
	var tasks []Placed
	for _, p := range r.Tasks {
		j := b.jobByID[p.Job]
		if j == nil {
			if f, _ := b.FinalState(p.Job); f == protocol.Done {
				continue // every task has ended; the owner's next record leaves it out
			}
			return fmt.Errorf("machine %s: unknown job %s", name, p.Job)
		}
		for n := p.Numbers; len(n) >= numbersPerTask; n = n[numbersPerTask:] {
			if n[0] < uint64(j.Tasks) {
				tasks = append(tasks, Placed{j, int(n[0]), n[1], int64(n[2]), n[3]})
			}
		}
	}
	m.Type = b.TypeIdx.Index(r.Type)
	b.growTypes()
	zone := b.Zones.Index(r.Zone)
	m.Zone = zone
	m.Share, m.Token, m.Session, m.Spot, m.Closing = r.Share, r.Token, r.Session, r.Spot, r.Closing
	m.Drains, m.Rented, m.Sick = r.Draining, r.RentedAt, r.Sick
	if r.Addr != "" {
		m.Addr = r.Addr
	}
	m.Version, m.Gone = version, false
	b.place(m, tasks)
	return nil
}

// place replaces the tasks of a machine's record and keeps the counts true.
func (b *Book) place(m *Machine, tasks []Placed) {
	old := m.Tasks
	for _, p := range old {
		j := p.Job
		if j.Machine[p.Task] == m.Index {
			j.Machine[p.Task], j.Attempt[p.Task] = Nowhere, 0
		}
		j.NPlaced--
		j.ByZone[m.Zone]--
		j.firstOpen = min(j.firstOpen, p.Task)
		u := &b.Used[j.Team]
		u.Cpus, u.Gpus, u.Mem = u.Cpus-j.Cpus, u.Gpus-j.Gpus, u.Mem-j.Mem
	}
	for _, p := range tasks {
		j := p.Job
		j.Machine[p.Task], j.Attempt[p.Task] = m.Index, p.Attempt
		j.NPlaced++
		for len(j.ByZone) <= m.Zone {
			j.ByZone = append(j.ByZone, 0)
		}
		j.ByZone[m.Zone]++
		u := &b.Used[j.Team]
		u.Cpus, u.Gpus, u.Mem = u.Cpus+j.Cpus, u.Gpus+j.Gpus, u.Mem+j.Mem
	}
	m.Tasks = tasks
}

// Sweep forgets all but the final state of jobs that are over and have no task
// placed. A cancelled job is kept until then: its tasks still take room and quota.
// A node that cancelled a job itself knows so before its follow has brought what
// was placed just before: until it has, the job must stay known, or the machine's
// record could not be read.
func (b *Book) Sweep() {
	for _, j := range b.Jobs {
		if j != nil && !j.Open() && j.NPlaced == 0 && j.Version <= b.Revision {
			b.forget(j.ID, j, j.Final, j.NDone)
		}
	}
}

// MachineRecordOf writes a machine's record with other tasks.
func (b *Book) MachineRecordOf(m *Machine, tasks []Placed) *MachineRecord {
	r := &MachineRecord{Share: m.Share, Token: m.Token, Session: m.Session, Addr: m.Addr,
		Type: b.TypeIdx.Name(m.Type), Zone: b.Zones.Name(m.Zone), Spot: m.Spot, Closing: m.Closing, Draining: m.Drains, RentedAt: m.Rented, Sick: m.Sick}
	for _, p := range tasks {
		i := slices.IndexFunc(r.Tasks, func(t PlacedTasks) bool { return t.Job == p.Job.ID })
		if i < 0 {
			i = len(r.Tasks)
			r.Tasks = append(r.Tasks, PlacedTasks{Job: p.Job.ID})
		}
		r.Tasks[i].Numbers = append(r.Tasks[i].Numbers, uint64(p.Task), p.Attempt, uint64(p.At), p.Waited)
	}
	return r
}

// JobRecordOf writes a job's record with another set of completed tasks.
func (b *Book) JobRecordOf(j *Job, done Bitmap, n int, final protocol.JobStatus) *JobRecord {
	r := &JobRecord{Tasks: j.Tasks, NDone: n, Final: string(final), Team: b.Teams[j.Team].Name}
	if final != protocol.Done {
		r.Spec, r.AtMs, r.Done = j.Spec, j.At.UnixMilli(), done.encode()
	}
	return r
}

// Drop forgets every record that was not seen in a full read begun at revision.
func (b *Book) Drop(seen map[string]bool, revision uint64) error {
	for _, m := range b.Machines {
		if !m.Gone && !seen[MachineKey(m.Name)] {
			if err := b.applyMachine(m.Name, nil, max(revision, m.Version+1), true); err != nil {
				return err
			}
		}
	}
	for key := range b.versions {
		if !seen[key] {
			if err := b.Apply(key, nil, max(revision, b.versions[key]+1), true); err != nil {
				return err
			}
		}
	}
	return nil
}

// Departed tells whether a machine had a record that was deleted.
func (b *Book) Departed(name string) bool {
	m := b.byName[name]
	return m != nil && m.Gone
}
