package storage

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
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
	Shard    int
	Shape    protocol.Shape
	Priority protocol.Priority
	Tasks    int
	Cpus     float64
	Gpus     float64
	Mem      float64
	Size     float64 // see Cache.sizeOf
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
	Due      time.Duration     // 0: none
	Own      protocol.Priority // its own; Priority is the highest of any job that needs it
	// Submitted is when it was; At is from when on its times count: its submission,
	// or the end of the last job that it awaited.
	Submitted, At time.Time
	By, Late      time.Time // when it must be over for itself and all that need it; zero: no such time

	Needs  []string // the jobs that it awaits
	unmet  int      // of them, those that are not done
	Doomed bool     // cancelled with a job that it needs, its own record does not say so yet
	EndMs  int64    // when it became final, if it is
	Long   string   // its description is in parts of this name
	parts  int

	Final   protocol.JobStatus // "" while open
	Done    Bitmap             // all tasks known to be completed
	Saved   Bitmap             // those that the job's own record shows
	NDone   int
	Suspect bool // failed on several machines before any of its tasks had completed
	Version uint64
	Spec    *SpecRecord

	Machine []int32  // by task: the machine whose record holds it, or Nowhere
	Attempt []uint64 // by task: the attempt in that record
	NPlaced int
	ByZone  []int32 // placed tasks by zone

	firstOpen int // no task before it waits
	noted     bool
}

// ZoneMost is how many tasks of a job that is spread may be in one zone: half, rounded up (PROTOCOL, `scatter`).
func (j *Job) ZoneMost() int { return (j.Tasks + 1) / 2 }

// Open tells whether the job still has work to do.
func (j *Job) Open() bool { return j.Final == "" }

// Waiting is the number of tasks that are neither done nor placed, of a job that may start.
func (j *Job) Waiting() int {
	if !j.Open() || !j.Ready() {
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

// Machine is a machine as the records have it.
type Machine struct {
	Index         int32
	Name          string
	Group         *MachineGroup
	Shard         int // its rack's
	FencingToken  uint64
	Incarnation   uint64
	Addr          string
	Type          int
	Zone          int
	Spot          bool
	Returning     bool
	Draining      bool
	Unhealthy     bool
	ProvisionedAt int64 // time of day in seconds, 0: unknown
	Tasks         []Placed
	Version       uint64 // when its own part of the records last changed
	Gone          bool   // its record was deleted, or its rack is not known yet
	Moved         bool   // it was in another rack before
	FleetEntries  int    // fleet records that list it
	Images        []int  // of tasks that were on it, the most recently used last

	Fleet  *Fleet
	record FleetMachine
	exists bool // a fleet record holds it
	dirty  bool
	noted  bool
}

// Fleet is a fleet record.
type Fleet struct {
	ID      string
	Version uint64
	Size    int // of its record, in bytes
	record  FleetRecord
}

// MachineGroup is a group of machines whose records change together.
type MachineGroup struct {
	ID           int
	Shard        int
	FencingToken uint64
	Version      uint64 // 0: no record
	Size         int    // of its record, in bytes
	Packed       bool   // its record is of the packed layout
	Machines     []*Machine
	Ended        []Ended
}

// Ended is a completed task that its job's own record may not show yet.
type Ended struct {
	Job  *Job
	Task int
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

// Shard is a part of the machines and teams.
type Shard struct {
	ShardRecord
	Version uint64
}

// Member is a living node.
type Member struct {
	MemberRecord
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

// Raw is a record that the cache only passes on.
type Raw struct {
	Value   json.RawMessage
	Version uint64
}

// Usage is what a team's placed tasks take.
type Usage struct{ Cpus, Gpus, Mem float64 }

// Add adds n tasks of a job.
func (u *Usage) Add(j *Job, n float64) {
	u.Cpus, u.Gpus, u.Mem = u.Cpus+n*j.Cpus, u.Gpus+n*j.Gpus, u.Mem+n*j.Mem
}

// Cache is the whole state as the state service has it, up to Revision.
type Cache struct {
	Teams     []config.Team
	TeamIdx   *Names
	Zones     *Names
	TypeIdx   *Names
	Images    *Names
	Classes   *Names
	Types     []Type // by type index; zero Cpus: unknown
	NumShards int
	Shards    []Shard
	Members   map[string]*Member
	Leader    Leader
	Jobs      []*Job // nil: free
	Machines  []*Machine
	Groups    []*MachineGroup // by id
	Evicted   map[string]*Evicted
	Catalog   Raw
	Settings  Raw
	Used      []Usage // by team, all shares
	// TeamEntries are the teams whose bounds were changed since the settings file; Teams has these.
	TeamEntries map[int]TeamEntry
	Usual       Usual
	Asked       map[Lane]Asked // by all jobs that this process has learned of
	Revision    uint64
	Layout      Layout
	Plain       bool // the gate is not looked at, as in the version before

	fileTeams []config.Team // as the settings file has them
	order     order
	final     map[string]Final
	jobByID   map[string]*Job
	after     map[string][]*Job // by id: open jobs that await it
	doomed    []*Job
	readied   []*Job
	heirs     map[*Job]int // jobs that have inherited
	inherits  bool         // the graph has changed since
	sets      map[string]map[int]setPart
	long      map[string]*longText // by job and try
	byName    map[string]*Machine
	freeJobs  []int32
	fleets    map[string]*Fleet
	versions  map[string]uint64 // of keys that have no place elsewhere
	imageGB   []float64         // by image
	dirty     []*Machine        // changed since they were last asked for
	ended     []*Job            // became final or complete since then
	victims   map[victim]bool   // of all evicted sets
	news      *news             // nil: nobody watches
}

// Layout is the gate between the layouts as the cache has it.
type Layout struct {
	LayoutRecord
	Revision uint64 // of its record
}

// Packed tells whether every node reads the packed layout, so that it may be written.
func (b *Cache) Packed() bool { return b.Layout.Version >= LayoutPacked && !b.Plain }

// setPart is a part of the set of a job's completed tasks.
type setPart struct {
	bits    Bitmap
	version uint64
}

type victim struct {
	job     string
	task    int
	attempt uint64
}

// ShardCount is how many shares a deployment has: one a node, but none without a team.
func ShardCount(d *config.Deployment) int { return max(1, min(d.Controllers, len(d.Teams))) }

// NewCache is an empty cache.
func NewCache(s *config.Settings) *Cache {
	b := &Cache{
		Teams: slices.Clone(s.Deployment.Teams), fileTeams: s.Deployment.Teams, TeamEntries: map[int]TeamEntry{}, TeamIdx: NewNames(), Zones: NewNames(s.Deployment.Zones...),
		TypeIdx: NewNames(), Images: NewNames(), Classes: NewNames(),
		NumShards: ShardCount(&s.Deployment), Members: map[string]*Member{}, Evicted: map[string]*Evicted{},
		final: map[string]Final{}, jobByID: map[string]*Job{}, after: map[string][]*Job{}, sets: map[string]map[int]setPart{}, long: map[string]*longText{},
		byName: map[string]*Machine{}, fleets: map[string]*Fleet{}, versions: map[string]uint64{}, victims: map[victim]bool{},
	}
	for _, t := range s.Deployment.Teams {
		b.TeamIdx.Index(t.Name)
	}
	b.order, b.Asked = newOrder(len(b.Teams)), map[Lane]Asked{}
	b.Shards = make([]Shard, b.NumShards)
	b.Used = make([]Usage, len(b.Teams))
	return b
}

// ShardOf is the share that a team belongs to, whoever owns it.
func (b *Cache) ShardOf(team int) int { return team % b.NumShards }

// Job finds an open or not yet forgotten job.
func (b *Cache) Job(id string) *Job { return b.jobByID[id] }

// FinalState returns the final state of a job, "" if it is open or unknown. It is
// cancelled as soon as one that it needs is, whatever its own record says: that job will
// never be done, so this one can't be either.
func (b *Cache) FinalState(id string) (protocol.JobStatus, int) {
	if f, ok := b.recorded(id); ok {
		return f.Status, int(f.Tasks)
	}
	if j := b.jobByID[id]; j != nil && j.Doomed {
		return protocol.Cancelled, 0
	}
	return "", 0
}

// Machine finds a machine by name.
func (b *Cache) Machine(name string) *Machine {
	if m := b.byName[name]; m != nil && !m.Gone {
		return m
	}
	return nil
}

// FencingToken is the token under which a machine is commanded.
func (b *Cache) FencingToken(m *Machine) uint64 {
	return max(m.FencingToken, m.Group.FencingToken, b.Shards[m.Shard].FencingToken)
}

// Changed returns the machines that changed, and the jobs that ended, since it was
// last called: what follows from a change is worked out for these only.
func (b *Cache) Changed() (machines []*Machine, jobs []*Job) {
	machines, jobs = b.dirty, b.ended
	b.dirty, b.ended = nil, nil
	for _, m := range machines {
		m.dirty = false
	}
	return machines, jobs
}

func (b *Cache) touch(m *Machine) {
	b.noteMachine(m)
	if !m.dirty {
		m.dirty = true
		b.dirty = append(b.dirty, m)
	}
}

// Victim tells whether an attempt is in an evicted set.
func (b *Cache) Victim(p Placed) bool {
	return len(b.victims) > 0 && b.victims[victim{p.Job.ID, p.Task, p.Attempt}]
}

// group finds a rack, and makes an empty one that no record describes yet.
func (b *Cache) group(id int) *MachineGroup {
	for len(b.Groups) <= id {
		b.Groups = append(b.Groups, &MachineGroup{ID: len(b.Groups)})
	}
	return b.Groups[id]
}

// SetCatalog takes the cloud's machine types.
func (b *Cache) SetCatalog(c *protocol.Catalog) {
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
	for _, j := range b.Jobs {
		if j != nil {
			j.Size = b.sizeOf(j)
		}
	}
}

// sizeOf is what one task of a job takes of a machine, in CPUs: its own, or those that its
// accelerators or its memory stand for, if these bind. Of several types it is the one of which the
// task takes least. A machine whose accelerators are all taken has nothing left, however many of its CPUs idle.
func (b *Cache) sizeOf(j *Job) float64 {
	least := 0.0
	for i, t := range b.Types {
		if t.Cpus <= 0 || j.Cpus > t.Cpus || j.Gpus > t.Gpus || j.Mem > t.Mem || len(j.Types) > 0 && !slices.Contains(j.Types, i) {
			continue
		}
		size := j.Cpus
		if t.Gpus > 0 {
			size = max(size, j.Gpus*t.Cpus/t.Gpus)
		}
		if t.Mem > 0 {
			size = max(size, j.Mem*t.Cpus/t.Mem)
		}
		if least == 0 || size < least {
			least = size
		}
	}
	return max(least, j.Cpus)
}

func (b *Cache) growTypes() {
	for len(b.Types) < b.TypeIdx.Len() {
		b.Types = append(b.Types, Type{})
	}
}

// HasCatalog tells whether any machine type is known.
func (b *Cache) HasCatalog() bool { return len(b.Types) > 0 && b.Types[0].Cpus > 0 }

// Apply takes one change; an event that is no newer than what is known is dropped.
func (b *Cache) Apply(key string, value json.RawMessage, version uint64, deleted bool) error {
	if id, ok := suffix(key, fleetPrefix); ok {
		return b.applyFleet(id, value, version, deleted)
	}
	if id, ok := suffix(key, jobPrefix); ok {
		return b.applyJob(id, value, version, deleted)
	}
	if id, ok := suffix(key, partPrefix); ok {
		return b.applyPart(id, value, version, deleted)
	}
	if id, ok := suffix(key, setPrefix); ok {
		return b.applySet(id, value, version, deleted)
	}
	if _, ok := suffix(key, groupPrefix); ok {
		id, ok := GroupOf(key)
		if !ok || id > maxGroups || deleted {
			return fmt.Errorf("record %s: no such rack", key)
		}
		return b.applyGroup(id, value, version)
	}
	if _, ok := suffix(key, oldPrefix); ok && !deleted && !isBar(key) {
		return fmt.Errorf("record %s: %w", key, ErrLayout)
	}
	if b.versions[key] >= version {
		return nil
	}
	b.versions[key] = version
	if deleted {
		value = nil
	}
	if name, ok := suffix(key, memberPrefix); ok {
		return b.applyMember(name, value, version, deleted)
	}
	if number, ok := suffix(key, shardPrefix); ok {
		return b.applyShard(number, value, version, deleted)
	}
	if id, ok := suffix(key, evictPrefix); ok {
		return b.applyEvicted(id, value, version, deleted)
	}
	if escaped, ok := suffix(key, teamPrefix); ok {
		return b.applyTeam(escaped, value, version, deleted)
	}
	return b.applySingle(key, value, version, deleted)
}

// applyMember takes a node's membership record.
func (b *Cache) applyMember(name string, value json.RawMessage, version uint64, deleted bool) error {
	if deleted {
		delete(b.Members, name)
		return nil
	}
	n := &Member{Version: version}
	if err := json.Unmarshal(value, &n.MemberRecord); err != nil {
		return fmt.Errorf("record %s: %w", MemberKey(name), err)
	}
	b.Members[name] = n
	return nil
}

// applyShard takes the record of who owns a share.
func (b *Cache) applyShard(number string, value json.RawMessage, version uint64, deleted bool) error {
	i, err := strconv.Atoi(number)
	if err != nil || i < 0 || i >= b.NumShards {
		delete(b.versions, shardPrefix+number)
		return fmt.Errorf("record %s%s: no such share", shardPrefix, number)
	}
	if deleted {
		b.Shards[i] = Shard{}
		return nil
	}
	sh := Shard{Version: version}
	if err := json.Unmarshal(value, &sh.ShardRecord); err != nil {
		return fmt.Errorf("record %s: %w", ShardKey(i), err)
	}
	b.Shards[i] = sh
	return nil
}

// applyEvicted takes the record of an evicted set.
func (b *Cache) applyEvicted(id string, value json.RawMessage, version uint64, deleted bool) error {
	e := &Evicted{Job: id, Version: version}
	if !deleted {
		var err error
		if e.EvictRecord, err = DecodeEvict(value); err != nil {
			return fmt.Errorf("record %s: %w", EvictKey(id), err)
		}
	}
	b.setEvicted(id, e, deleted)
	if deleted {
		delete(b.versions, EvictKey(id))
	}
	return nil
}

// applySingle takes a record of which there is one; a key that this version does not know is left alone.
func (b *Cache) applySingle(key string, value json.RawMessage, version uint64, deleted bool) error {
	switch key {
	case LeaderKey:
		return b.applyLeader(value, version, deleted)
	case CatalogKey:
		if !deleted {
			return b.applyCatalog(value, version)
		}
	case LayoutKey:
		return b.applyLayout(value, version)
	case UsualKey:
		if deleted {
			b.Usual = Usual{}
			return nil
		}
		return b.applyUsual(value, version)
	case SettingsKey:
		b.Settings = Raw{value, version}
		if deleted {
			b.Settings = Raw{}
		}
	}
	return nil
}

func (b *Cache) applyLeader(value json.RawMessage, version uint64, deleted bool) error {
	b.Leader = Leader{}
	if deleted {
		return nil
	}
	b.Leader.Version = version
	if err := json.Unmarshal(value, &b.Leader.LeaderRecord); err != nil {
		return fmt.Errorf("record %s: %w", LeaderKey, err)
	}
	return nil
}

func (b *Cache) applyCatalog(value json.RawMessage, version uint64) error {
	var c protocol.Catalog
	if err := json.Unmarshal(value, &c); err != nil {
		return fmt.Errorf("record %s: %w", CatalogKey, err)
	}
	b.Catalog = Raw{value, version}
	b.SetCatalog(&c)
	b.noteTypes()
	return nil
}

func (b *Cache) applyLayout(value json.RawMessage, version uint64) error {
	l := Layout{Revision: version}
	if err := json.Unmarshal(value, &l.LayoutRecord); err != nil {
		return fmt.Errorf("record %s: %w", LayoutKey, err)
	}
	if l.Version >= b.Layout.Version { // the gate never closes again
		b.Layout = l
	}
	return nil
}

func (b *Cache) setEvicted(id string, e *Evicted, deleted bool) {
	b.noteEvicted(id)
	if j := b.jobByID[id]; j != nil {
		b.noteJob(j)
	}
	mark := func(old *Evicted, on bool) {
		for _, x := range old.Victims {
			v := victim{x.Job, x.Task, x.Attempt}
			if on {
				b.victims[v] = true
			} else {
				delete(b.victims, v)
			}
			if m := b.Machine(x.Machine); m != nil {
				b.touch(m)
			}
		}
	}
	if old := b.Evicted[id]; old != nil {
		mark(old, false)
	}
	delete(b.Evicted, id)
	if !deleted {
		b.Evicted[id] = e
		mark(e, true)
	}
}

func (b *Cache) applyJob(id string, value json.RawMessage, version uint64, deleted bool) error {
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
	final := Final{protocol.JobStatus(r.Final), int32(r.NDone), r.EndMs}
	if r.Final != "" && r.Spec == nil && (j == nil || j.NPlaced == 0) {
		b.forget(id, j, final)
		return nil
	}
	if j == nil {
		if r.Parts > 0 {
			if err := b.lengthen(id, &r); err != nil && r.Final != "" {
				// The parts of a job that is over are deleted once none of its tasks is placed.
				b.forget(id, nil, final)
				return nil
			} else if err != nil {
				return err
			}
		}
		var err error
		if j, err = b.newJob(id, &r); err != nil {
			return err
		}
		j.Long, j.parts = r.Long, r.Parts
	}
	// A job that is done has no set any more; a completed task stays completed.
	if r.Final != string(protocol.Done) {
		saved, err := decodeBitmap(r.Done, r.Tasks)
		if err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		j.Saved = saved
		j.Done.Merge(saved)
	}
	j.NDone = max(r.NDone, j.Done.Count())
	j.Final = protocol.JobStatus(r.Final)
	j.Suspect = j.Suspect || r.Suspect
	j.Version = version
	j.EndMs = r.EndMs
	b.noteJob(j)
	if !j.Open() {
		b.ended = append(b.ended, j)
		b.settle(id, j.outcome())
	}
	return nil
}

func (b *Cache) forget(id string, j *Job, f Final) {
	b.final[id] = f
	b.settle(id, f)
	if j != nil {
		j.Final = f.Status // racks may still name it
		j.NDone, j.EndMs = max(j.NDone, int(f.Tasks)), f.At
		b.noteJob(j)
		delete(b.heirs, j)
		delete(b.jobByID, id)
		b.order.dropJob(j)
		b.Jobs[j.Index] = nil
		b.freeJobs = append(b.freeJobs, j.Index)
	}
}

func (b *Cache) newJob(id string, r *JobRecord) (*Job, error) {
	team := b.TeamIdx.Find(r.Team)
	s := r.Spec
	if team < 0 || s == nil {
		return nil, fmt.Errorf("job %s: unknown team %q or no description", id, r.Team)
	}
	needs, err := unpackIDs(r.Needs)
	if err != nil {
		return nil, fmt.Errorf("job %s: what it awaits: %w", id, err)
	}
	at, own := time.UnixMilli(r.AtMs), protocol.Priority(min(s.Priority, 3))
	j := &Job{
		ID: id, Team: team, Class: b.Classes.Index(s.Class), Shard: b.ShardOf(team),
		Shape: protocol.Shape(s.Shape), Priority: own, Own: own, Tasks: r.Tasks,
		Cpus: s.Cpus, Gpus: s.Gpus, Mem: s.Mem, Image: b.Images.Index(s.Image), ImageGB: s.ImageGB,
		Zone: -1, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot, Estimate: s.Estimate,
		Mark: s.Mark, Save: s.Save, Due: time.Duration(s.Due * float64(time.Second)),
		Submitted: at, At: at, Spec: r.Spec, Needs: needs,
		Machine: make([]int32, r.Tasks), Attempt: make([]uint64, r.Tasks), Done: NewBitmap(r.Tasks), Saved: NewBitmap(r.Tasks),
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
	j.Size = b.sizeOf(j)
	b.jobByID[id] = j
	b.noteImageGB(j)
	b.order.addJob(j)
	for part, x := range b.sets[id] {
		j.completed(part, x.bits)
	}
	if r.Final == "" {
		b.ask(j)
		b.await(j)
	}
	if len(b.after[id]) > 0 {
		b.inherits = true
	}
	return j, nil
}

// completed takes in a part of the set of completed tasks.
func (j *Job) completed(part int, bits Bitmap) {
	if from := part * (setTasks / 8); from < len(j.Done) {
		j.Saved[from:].Merge(bits)
		j.Done[from:].Merge(bits)
		j.NDone = max(j.NDone, j.Done.Count())
	}
}

// applySet takes a part of the set of a job's completed tasks. Parts stay until the job
// is over; then its share's owner deletes them.
func (b *Cache) applySet(name string, value json.RawMessage, version uint64, deleted bool) error {
	id, num, _ := strings.Cut(name, "/")
	part, err := strconv.Atoi(num)
	if err != nil || part < 0 || part > protocol.MaxTasks/setTasks {
		return fmt.Errorf("record %s%s: no such part", setPrefix, name)
	}
	if b.sets[id][part].version >= version {
		return nil
	}
	if deleted {
		if delete(b.sets[id], part); len(b.sets[id]) == 0 {
			delete(b.sets, id)
		}
		return nil
	}
	var r SetRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("record %s%s: %w", setPrefix, name, err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(r.Done)
	if err != nil || len(raw) > setTasks/8 {
		return fmt.Errorf("record %s%s: no set of %d tasks", setPrefix, name, setTasks)
	}
	if b.sets[id] == nil {
		b.sets[id] = map[int]setPart{}
	}
	b.sets[id][part] = setPart{raw, version}
	if j := b.jobByID[id]; j != nil {
		j.completed(part, raw)
		b.noteJob(j)
	}
	return nil
}

// SetRecordOf writes the part of a job's set that holds a task, with the version that it
// replaces.
func (b *Cache) SetRecordOf(j *Job, done Bitmap, task int) (SetRecord, uint64) {
	part := task / setTasks
	from := part * (setTasks / 8)
	return SetRecord{base64.RawStdEncoding.EncodeToString(done[from:min(len(done), from+setTasks/8)])}, b.sets[j.ID][part].version
}

// Stale returns records that are needed no more, with their versions: parts of sets of jobs
// that are over, and of descriptions as abandoned tells.
func (b *Cache) Stale(limit int, now time.Time) []protocol.Condition {
	var out []protocol.Condition
	for id, parts := range b.sets {
		if _, over := b.recorded(id); !over {
			continue
		}
		for part, x := range parts {
			out = append(out, protocol.Condition{Key: SetKey(id, part*setTasks), Version: x.version})
		}
	}
	if len(out) < limit {
		out = append(out, b.staleParts(limit-len(out), now)...)
	}
	return out[:min(len(out), limit)]
}

// ErrLayout says that the records are of an earlier layout, one key a machine,
// which this version does not read: see the operators' handbook.
var ErrLayout = errors.New("a record of an earlier layout; the state service must be emptied before this version starts")

const maxGroups = 100_000

// applyFleet takes a fleet's record. A machine is in the latest record that lists it: a
// record that is over a lower limit is worked off by small ones which list its machines
// anew, in the same racks, and is deleted when it lists none that they do not.
func (b *Cache) applyFleet(id string, value json.RawMessage, version uint64, deleted bool) error {
	f := b.fleets[id]
	if f != nil && f.Version >= version {
		return nil
	}
	var r FleetRecord
	if !deleted {
		var err error
		if r, err = DecodeFleet(value); err != nil {
			return fmt.Errorf("fleet %s: %w", id, err)
		}
	}
	for _, x := range r.Machines {
		if m := b.byName[x.Name]; x.Group < 0 || x.Group > maxGroups || (m != nil && m.exists && m.Fleet.ID != id && m.record.Group != x.Group) {
			return fmt.Errorf("fleet %s: machine %s cannot be in rack %d", id, x.Name, x.Group)
		}
	}
	if f == nil {
		f = &Fleet{ID: id}
		b.fleets[id] = f
	}
	before := f.record.Machines
	f.record, f.Version, f.Size = r, version, len(value)
	for _, x := range r.Machines {
		b.enroll(f, x)
	}
	for _, x := range before { // what is listed still was counted once more just now
		m := b.byName[x.Name]
		if m.FleetEntries--; m.FleetEntries == 0 {
			b.depart(m, version)
		}
	}
	return nil
}

func (b *Cache) depart(m *Machine, version uint64) {
	b.place(m, nil)
	m.Gone, m.exists, m.Version = true, false, version
	m.leaveGroup()
	b.order.machines.Delete(m)
	b.touch(m)
}

func (m *Machine) leaveGroup() {
	m.Group.Machines = slices.DeleteFunc(m.Group.Machines, func(o *Machine) bool { return o == m })
}

func (m *Machine) joinGroup(k *MachineGroup) {
	m.Group = k
	k.Machines = append(k.Machines, m)
}

func (b *Cache) enroll(f *Fleet, x FleetMachine) {
	m := b.byName[x.Name]
	if m == nil {
		m = &Machine{Index: int32(len(b.Machines)), Name: x.Name}
		b.Machines = append(b.Machines, m)
		b.byName[x.Name] = m
	}
	m.FleetEntries++
	if m.exists {
		if m.Fleet != f && f.Version > m.Fleet.Version {
			m.Fleet, m.record = f, x
		}
		return
	}
	m.Fleet, m.record, m.exists, m.Version = f, x, true, f.Version
	m.Moved = false
	b.order.machines.Set(m)
	m.joinGroup(b.group(x.Group))
	m.Shard, m.Gone = m.Group.Shard, m.Group.Version == 0
	m.Type = b.TypeIdx.Index(f.record.Type)
	b.growTypes()
	m.Zone = b.Zones.Index(f.record.Zone)
	m.Spot, m.ProvisionedAt, m.Addr, m.FencingToken = f.record.Spot, f.record.ProvisionedAt, x.Addr, f.record.FencingToken
	b.touch(m)
}

// Oversized returns a fleet whose record is over a limit, and whether it fits when it is
// written packed.
func (b *Cache) Oversized(limit int) (f *Fleet, fits bool) {
	for _, f := range b.fleets {
		if f.Size > limit && len(f.record.Machines) > 0 {
			return f, len(EncodeFleet(&f.record, true)) <= limit
		}
	}
	return nil, false
}

// Pieces writes a fleet's machines as records that are within a limit, leaving out those
// that a later record lists.
func (b *Cache) Pieces(f *Fleet, limit int) []FleetRecord {
	var out []FleetRecord
	for _, x := range f.record.Machines {
		if m := b.byName[x.Name]; m == nil || m.Fleet != f {
			continue
		}
		if n := len(out) - 1; n >= 0 {
			out[n].Machines = append(out[n].Machines, x)
			if len(EncodeFleet(&out[n], true)) <= limit {
				continue
			}
			out[n].Machines = out[n].Machines[:len(out[n].Machines)-1]
		}
		r := f.record
		r.Machines = []FleetMachine{x}
		out = append(out, r)
	}
	return out
}

// FleetWithout writes a fleet's record without some of its machines; none is left
// if ok is false.
func (b *Cache) FleetWithout(f *Fleet, gone map[*Machine]bool) (r FleetRecord, ok bool) {
	r = f.record
	r.Machines = slices.DeleteFunc(slices.Clone(r.Machines), func(x FleetMachine) bool { return gone[b.byName[x.Name]] })
	return r, len(r.Machines) > 0
}

// applyGroup takes a rack's record. One that names a job or a machine that is not
// known yet is left alone: it was read before the record that it names, and comes
// again with the follow.
func (b *Cache) applyGroup(id int, value json.RawMessage, version uint64) error {
	if id < len(b.Groups) && b.Groups[id].Version >= version {
		return nil
	}
	r, err := DecodeGroup(value)
	if err != nil {
		return fmt.Errorf("rack %d: %w", id, err)
	}
	if r.Shard < 0 || r.Shard >= b.NumShards {
		return fmt.Errorf("rack %d: no share %d", id, r.Shard)
	}
	entries := make(map[*Machine]*GroupMachine, len(r.Machines))
	tasks := make(map[*Machine][]Placed, len(r.Machines))
	for i := range r.Machines {
		x := &r.Machines[i]
		m := b.byName[x.Name]
		if m == nil {
			return fmt.Errorf("rack %d: unknown machine %s", id, x.Name)
		}
		if !m.exists {
			continue // deleted by a later change that is known already
		}
		entries[m] = x
		n := 0
		for _, p := range x.Tasks {
			n += len(p.Numbers) / numbersPerTask
		}
		list := make([]Placed, 0, n)
		for _, p := range x.Tasks {
			j := b.jobByID[p.Job]
			if j == nil {
				if f, _ := b.FinalState(p.Job); f == protocol.Done {
					continue // every task has ended; the owner's next record leaves it out
				}
				return fmt.Errorf("rack %d: unknown job %s", id, p.Job)
			}
			for n := p.Numbers; len(n) >= numbersPerTask; n = n[numbersPerTask:] {
				if n[0] < uint64(j.Tasks) {
					list = append(list, Placed{j, int(n[0]), n[1], int64(n[2]), n[3]})
				}
			}
		}
		tasks[m] = list
	}
	var ended []Ended
	for _, e := range r.Ended {
		j := b.jobByID[e.Job]
		if j == nil {
			if f, _ := b.FinalState(e.Job); f == "" {
				return fmt.Errorf("rack %d: unknown job %s", id, e.Job)
			}
			continue
		}
		for _, t := range e.Tasks {
			if t >= 0 && t < j.Tasks {
				ended = append(ended, Ended{j, t})
			}
		}
	}
	k := b.group(id)
	for m, x := range entries {
		if !x.Moved {
			continue
		}
		if m.Moved = true; m.Group != k {
			// It comes from a rack whose record it left in the same change or before.
			b.place(m, nil)
			m.leaveGroup()
			m.joinGroup(k)
		}
	}
	moved := k.Version == 0 || k.Shard != r.Shard || k.FencingToken != r.FencingToken
	k.Packed = r.Packed != "" || len(r.Machines)+len(r.Ended) == 0
	k.Shard, k.FencingToken, k.Version, k.Ended, k.Size = r.Shard, r.FencingToken, version, ended, len(value)
	for _, e := range ended {
		if !e.Job.Done.Get(e.Task) {
			e.Job.Done.Set(e.Task)
			if e.Job.Open() {
				// The record of a job that is over has counted them all: one that was read
				// before the rack's was called done with 4 of 2 tasks.
				e.Job.NDone++
			}
			b.noteJob(e.Job)
		}
	}
	for _, m := range k.Machines {
		x := entries[m]
		if x == nil {
			x = &GroupMachine{}
		}
		token := max(x.FencingToken, m.Fleet.record.FencingToken)
		if moved || token != m.FencingToken || x.Incarnation != m.Incarnation || x.Returning != m.Returning || x.Unhealthy != m.Unhealthy ||
			x.Draining != m.Draining || !slices.Equal(tasks[m], m.Tasks) {
			m.Shard, m.FencingToken, m.Incarnation = k.Shard, token, x.Incarnation
			m.Returning, m.Unhealthy, m.Draining = x.Returning, x.Unhealthy, x.Draining
			m.Gone, m.Version = false, version
			b.touch(m)
		}
		if x.Addr != "" {
			m.Addr = x.Addr
		}
		if !slices.Equal(tasks[m], m.Tasks) {
			b.place(m, tasks[m])
		}
	}
	return nil
}

// place replaces the tasks of a machine's record and keeps the counts true.
func (b *Cache) place(m *Machine, tasks []Placed) {
	old := m.Tasks
	b.noteImages(m, old)
	for _, p := range old {
		j := p.Job
		if j.Machine[p.Task] == m.Index {
			j.Machine[p.Task], j.Attempt[p.Task] = Nowhere, 0
		}
		j.NPlaced--
		j.ByZone[m.Zone]--
		j.firstOpen = min(j.firstOpen, p.Task)
		b.Used[j.Team].Add(j, -1)
		b.noteJob(j)
	}
	for _, p := range tasks {
		j := p.Job
		j.Machine[p.Task], j.Attempt[p.Task] = m.Index, p.Attempt
		j.NPlaced++
		for len(j.ByZone) <= m.Zone {
			j.ByZone = append(j.ByZone, 0)
		}
		j.ByZone[m.Zone]++
		b.Used[j.Team].Add(j, 1)
		b.noteJob(j)
	}
	m.Tasks = tasks
}

// Sweep forgets all but the final state of jobs that are over and have no task
// placed. A cancelled job is kept until then: its tasks still take room and quota.
// A node that cancelled a job itself knows so before its follow has brought what
// was placed just before: until it has, the job must stay known, or the machine's
// record could not be read.
func (b *Cache) Sweep() {
	for _, j := range b.Jobs {
		if j != nil && !j.Open() && j.NPlaced == 0 && j.Version <= b.Revision {
			b.forget(j.ID, j, j.outcome())
		}
	}
}

// GroupMachineOf writes a machine's part of its rack's record, with other tasks.
func (b *Cache) GroupMachineOf(m *Machine, tasks []Placed) GroupMachine {
	r := GroupMachine{Name: m.Name, Incarnation: m.Incarnation, Returning: m.Returning, Draining: m.Draining, Unhealthy: m.Unhealthy, Moved: m.Moved}
	if m.FencingToken > m.Fleet.record.FencingToken {
		r.FencingToken = m.FencingToken
	}
	if m.Addr != m.record.Addr {
		r.Addr = m.Addr
	}
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

// GroupRecordOf writes a rack's record. change, if set, changes a machine's part and
// tells whether the machine stays.
func (b *Cache) GroupRecordOf(k *MachineGroup, ended []Ended, change func(*Machine) (GroupMachine, bool)) *GroupRecord {
	r := &GroupRecord{Shard: k.Shard, FencingToken: k.FencingToken, Ended: endedOf(ended)}
	for _, m := range k.Machines {
		x, stays := b.GroupMachineOf(m, m.Tasks), true
		if change != nil {
			x, stays = change(m)
		}
		if stays && (x.FencingToken > 0 || x.Incarnation > 0 || x.Addr != "" || x.Returning || x.Unhealthy || x.Draining || x.Moved || len(x.Tasks) > 0) {
			r.Machines = append(r.Machines, x)
		}
	}
	return r
}

// UnsavedCompletions are the completed tasks that must stay in a rack's record, since their
// job's own does not show them.
func (k *MachineGroup) UnsavedCompletions() []Ended {
	out := make([]Ended, 0, len(k.Ended))
	for _, e := range k.Ended {
		if e.Job.Open() && !e.Job.Saved.Get(e.Task) {
			out = append(out, e)
		}
	}
	return out
}

func endedOf(list []Ended) []EndedTasks {
	var out []EndedTasks
	at := map[*Job]int{}
	for _, e := range list {
		i, ok := at[e.Job]
		if !ok {
			i = len(out)
			at[e.Job] = i
			out = append(out, EndedTasks{Job: e.Job.ID})
		}
		out[i].Tasks = append(out[i].Tasks, e.Task)
	}
	return out
}

// JobRecordOf writes a job's record with another set of completed tasks.
func (b *Cache) JobRecordOf(j *Job, done Bitmap, n int, final protocol.JobStatus) *JobRecord {
	r := &JobRecord{Tasks: j.Tasks, NDone: n, Final: string(final), Team: b.Teams[j.Team].Name}
	if final == protocol.Done || j.Doomed && j.NPlaced == 0 {
		return r
	}
	r.Spec, r.AtMs, r.Suspect = j.Spec, j.Submitted.UnixMilli(), j.Suspect
	if final == "" || !b.Packed() {
		// In the packed layout an open job's record is rewritten only while none of its tasks
		// has completed: a large set would be over the limit, and is kept in parts.
		r.Done = done.encode()
	}
	if final == "" {
		r.Needs = PackIDs(j.Needs)
	}
	if j.Long != "" {
		r.Spec, r.Needs, r.Long, r.Parts = nil, "", j.Long, j.parts
	}
	return r
}

// Drop forgets every record that was not seen in a full read begun at revision.
func (b *Cache) Drop(seen map[string]bool, revision uint64) error {
	for id, f := range b.fleets {
		if len(f.record.Machines) > 0 && !seen[FleetKey(id)] {
			if err := b.applyFleet(id, nil, max(revision, f.Version+1), true); err != nil {
				return err
			}
		}
	}
	for name, l := range b.long {
		for i := range l.versions {
			if !seen[partPrefix+name+"/"+strconv.Itoa(i)] {
				delete(l.versions, i)
			}
		}
	}
	for id, parts := range b.sets {
		for part := range parts {
			if !seen[SetKey(id, part*setTasks)] {
				delete(parts, part)
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

// Known tells whether a machine has or had a record. One whose rack has not been
// read yet counts too: it must not get another.
func (b *Cache) Known(name string) bool { return b.byName[name] != nil }
