package storage

import (
	"encoding/base64"
	"encoding/json"
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
	Index              int32
	ID                 string
	Team               int
	Class              int
	Shard              int
	Shape              protocol.Shape
	Priority           protocol.Priority
	Tasks              int
	Cpus               float64
	Gpus               float64
	Mem                float64
	Size               float64 // see Cache.sizeOf
	Image              int
	ImageGB            float64
	Types              []int
	Zone               int // -1: any
	OneZone            bool
	Spread             bool
	Spot               bool
	Estimate           float64
	CheckpointInterval float64
	CheckpointCost     float64
	Deadline           time.Duration     // 0: none
	OwnPriority        protocol.Priority // its own; Priority is the highest of any job that needs it
	// Submitted is when it was; At is from when on its times count: its submission,
	// or the end of the last job that it awaited.
	Submitted, ReadyAt     time.Time
	FinishBy, FinishLatest time.Time // when it must be over for itself and all that need it; zero: no such time

	Dependencies      []string // the jobs that it awaits
	unmetDependencies int      // of them, those that are not done
	DependencyFailed  bool     // cancelled with a job that it needs, its own record does not say so yet
	FinalAtMs         int64    // when it became final, if it is
	ChunkSet          string   // its description is in parts of this name
	chunkCount        int

	Final     protocol.JobStatus // "" while open
	Done      Bitmap             // all tasks known to be completed
	SavedDone Bitmap             // those that the job's own record shows
	DoneCount int
	Suspect   bool // failed on several machines before any of its tasks had completed
	Version   uint64
	Spec      *SpecRecord

	MachineOf   []int32  // by task: the machine whose record holds it, or Nowhere
	AttemptOf   []uint64 // by task: the attempt in that record
	PlacedCount int
	ByZone      []int32 // placed tasks by zone

	firstOpen    int // no task before it waits
	inChangeFeed bool
}

// MaxPerZone is how many tasks of a job that is spread may be in one zone: half, rounded up (PROTOCOL, `scatter`).
func (j *Job) MaxPerZone() int { return (j.Tasks + 1) / 2 }

// Open tells whether the job still has work to do.
func (j *Job) Open() bool { return j.Final == "" }

// Waiting is the number of tasks that are neither done nor placed, of a job that may start.
func (j *Job) Waiting() int {
	if !j.Open() || !j.Ready() {
		return 0
	}
	return j.Tasks - j.DoneCount - j.PlacedCount
}

// NextWaiting returns the first waiting task at or after from, or -1.
func (j *Job) NextWaiting(from int) int {
	if from <= j.firstOpen {
		for j.firstOpen < j.Tasks && (j.Done.Get(j.firstOpen) || j.MachineOf[j.firstOpen] != Nowhere) {
			j.firstOpen++
		}
		from = j.firstOpen
	}
	for t := from; t < j.Tasks; t++ {
		if !j.Done.Get(t) && j.MachineOf[t] == Nowhere {
			return t
		}
	}
	return -1
}

// PlacedTask is a task in a machine's record.
type PlacedTask struct {
	Job      *Job
	Task     int
	Attempt  uint64
	PlacedAt int64  // when it was placed, in seconds of the day's clock
	WaitedS  uint64 // the seconds it had waited before
}

// Machine is a machine as the records have it.
type Machine struct {
	Index         int32
	Name          string
	Group         *MachineGroup
	Shard         int // its group's
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
	Tasks         []PlacedTask
	Version       uint64 // when its own part of the records last changed
	Gone          bool   // its record was deleted, or its group is not known yet
	Moved         bool   // it was in another group before
	FleetEntries  int    // fleet records that list it
	Images        []int  // of tasks that were on it, the most recently used last

	Fleet        *Fleet
	record       FleetMachine
	exists       bool // a fleet record holds it
	changed      bool
	inChangeFeed bool
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
	Completed    []CompletedTask
}

// CompletedTask is a completed task that its job's own record may not show yet.
type CompletedTask struct {
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

// Member is a living controller.
type Member struct {
	MemberRecord
	Version uint64
}

// Leader is the leading controller.
type Leader struct {
	LeaderRecord
	Version uint64
}

// VictimSet is an evicted set.
type VictimSet struct {
	VictimSetRecord
	Job     string
	Version uint64
}

// MachineType is a machine type of the catalog, by index.
type MachineType struct {
	Cpus, Gpus, Mem   float64
	CacheGB, FetchGBs float64
	Price, SpotPrice  float64
	BootS             float64
	Zones             []int
}

// RawRecord is a record that the cache only passes on.
type RawRecord struct {
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
	Teams      []config.Team
	TeamIndex  *NameIndex
	Zones      *NameIndex
	TypeIndex  *NameIndex
	Images     *NameIndex
	Classes    *NameIndex
	Types      []MachineType // by type index; zero Cpus: unknown
	NumShards  int
	Shards     []Shard
	Members    map[string]*Member
	Leader     Leader
	Jobs       []*Job // nil: free
	Machines   []*Machine
	Groups     []*MachineGroup // by id
	VictimSets map[string]*VictimSet
	Catalog    RawRecord
	Settings   RawRecord
	Used       []Usage // by team, all shards
	// TeamEntries are the teams whose bounds were changed since the settings file; Teams has these.
	TeamEntries map[int]TeamEntry
	Baseline    Baseline
	Arrivals    map[ClassQueue]Arrivals // by all jobs that this process has learned of
	Revision    uint64
	Layout      Layout
	ForcePlain  bool // the gate is not looked at, as in the version before

	fileTeams        []config.Team // as the settings file has them
	sorted           sortedViews
	final            map[string]FinalState
	jobByID          map[string]*Job
	dependents       map[string][]*Job // by id: open jobs that await it
	dependencyFailed []*Job
	newlyReady       []*Job
	inheritors       map[*Job]int // jobs that have inherited
	graphChanged     bool         // the graph has changed since
	completionSets   map[string]map[int]completionSet
	chunkSets        map[string]*chunkSet // by job and try
	machineByName    map[string]*Machine
	freeJobs         []int32
	fleets           map[string]*Fleet
	revisions        map[string]uint64 // of keys that have no place elsewhere
	imageGB          []float64         // by image
	changedMachines  []*Machine        // changed since they were last asked for
	endedJobs        []*Job            // became final or complete since then
	victims          map[victim]bool   // of all evicted sets
	feed             *changeFeed       // nil: nobody watches
}

// Layout is the gate between the layouts as the cache has it.
type Layout struct {
	LayoutRecord
	Revision uint64 // of its record
}

// Packed tells whether every controller reads the packed layout, so that it may be written.
func (c *Cache) Packed() bool { return c.Layout.Version >= LayoutPacked && !c.ForcePlain }

// completionSet is a part of the set of a job's completed tasks.
type completionSet struct {
	bits    Bitmap
	version uint64
}

type victim struct {
	job     string
	task    int
	attempt uint64
}

// ShardCount is how many shards a deployment has: one a controller, but none without a team.
func ShardCount(d *config.Deployment) int { return max(1, min(d.Controllers, len(d.Teams))) }

// NewCache is an empty cache.
func NewCache(settings *config.Settings) *Cache {
	cache := &Cache{
		Teams: slices.Clone(settings.Deployment.Teams), fileTeams: settings.Deployment.Teams, TeamEntries: map[int]TeamEntry{}, TeamIndex: NewNameIndex(), Zones: NewNameIndex(settings.Deployment.Zones...),
		TypeIndex: NewNameIndex(), Images: NewNameIndex(), Classes: NewNameIndex(),
		NumShards: ShardCount(&settings.Deployment), Members: map[string]*Member{}, VictimSets: map[string]*VictimSet{},
		final: map[string]FinalState{}, jobByID: map[string]*Job{}, dependents: map[string][]*Job{}, completionSets: map[string]map[int]completionSet{}, chunkSets: map[string]*chunkSet{},
		machineByName: map[string]*Machine{}, fleets: map[string]*Fleet{}, revisions: map[string]uint64{}, victims: map[victim]bool{},
	}
	for _, t := range settings.Deployment.Teams {
		cache.TeamIndex.Index(t.Name)
	}
	cache.sorted, cache.Arrivals = newSortedViews(len(cache.Teams)), map[ClassQueue]Arrivals{}
	cache.Shards = make([]Shard, cache.NumShards)
	cache.Used = make([]Usage, len(cache.Teams))
	return cache
}

// ShardOf is the shard that a team belongs to, whoever owns it.
func (c *Cache) ShardOf(team int) int { return team % c.NumShards }

// Job finds an open or not yet forgotten job.
func (c *Cache) Job(id string) *Job { return c.jobByID[id] }

// FinalState returns the final state of a job, "" if it is open or unknown. It is
// cancelled as soon as one that it needs is, whatever its own record says: that job will
// never be done, so this one can't be either.
func (c *Cache) FinalState(id string) (protocol.JobStatus, int) {
	if f, ok := c.recordedFinal(id); ok {
		return f.Status, int(f.Tasks)
	}
	if j := c.jobByID[id]; j != nil && j.DependencyFailed {
		return protocol.Cancelled, 0
	}
	return "", 0
}

// Machine finds a machine by name.
func (c *Cache) Machine(name string) *Machine {
	if m := c.machineByName[name]; m != nil && !m.Gone {
		return m
	}
	return nil
}

// FencingToken is the token under which a machine is commanded.
func (c *Cache) FencingToken(m *Machine) uint64 {
	return max(m.FencingToken, m.Group.FencingToken, c.Shards[m.Shard].FencingToken)
}

// TakeChanged returns the machines that changed, and the jobs that ended, since it was
// last called: what follows from a change is worked out for these only.
func (c *Cache) TakeChanged() (machines []*Machine, jobs []*Job) {
	machines, jobs = c.changedMachines, c.endedJobs
	c.changedMachines, c.endedJobs = nil, nil
	for _, m := range machines {
		m.changed = false
	}
	return machines, jobs
}

func (c *Cache) markChanged(m *Machine) {
	c.feedMachine(m)
	if !m.changed {
		m.changed = true
		c.changedMachines = append(c.changedMachines, m)
	}
}

// IsVictim tells whether an attempt is in an evicted set.
func (c *Cache) IsVictim(p PlacedTask) bool {
	return len(c.victims) > 0 && c.victims[victim{p.Job.ID, p.Task, p.Attempt}]
}

// group finds a group, and makes an empty one that no record describes yet.
func (c *Cache) group(id int) *MachineGroup {
	for len(c.Groups) <= id {
		c.Groups = append(c.Groups, &MachineGroup{ID: len(c.Groups)})
	}
	return c.Groups[id]
}

// UpdateCatalog takes the cloud's machine types.
func (c *Cache) UpdateCatalog(catalog *protocol.Catalog) {
	for _, t := range catalog.Types {
		i := c.TypeIndex.Index(t.Name)
		c.growTypes()
		ty := MachineType{Cpus: t.Cpus, Gpus: t.Gpus, Mem: t.MemGB, CacheGB: t.CacheGB, FetchGBs: t.FetchGBs,
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS}
		for _, z := range t.Zones {
			ty.Zones = append(ty.Zones, c.Zones.Index(z))
		}
		c.Types[i] = ty
	}
	for _, j := range c.Jobs {
		if j != nil {
			j.Size = c.sizeOf(j)
		}
	}
}

// sizeOf is what one task of a job takes of a machine, in CPUs: its own, or those that its
// accelerators or its memory stand for, if these bind. Of several types it is the one of which the
// task takes least. A machine whose accelerators are all taken has nothing left, however many of its CPUs idle.
func (c *Cache) sizeOf(job *Job) float64 {
	least := 0.0
	for i, machineType := range c.Types {
		if machineType.Cpus <= 0 || job.Cpus > machineType.Cpus || job.Gpus > machineType.Gpus || job.Mem > machineType.Mem || len(job.Types) > 0 && !slices.Contains(job.Types, i) {
			continue
		}
		size := job.Cpus
		if machineType.Gpus > 0 {
			size = max(size, job.Gpus*machineType.Cpus/machineType.Gpus)
		}
		if machineType.Mem > 0 {
			size = max(size, job.Mem*machineType.Cpus/machineType.Mem)
		}
		if least == 0 || size < least {
			least = size
		}
	}
	return max(least, job.Cpus)
}

func (c *Cache) growTypes() {
	for len(c.Types) < c.TypeIndex.Len() {
		c.Types = append(c.Types, MachineType{})
	}
}

// HasCatalog tells whether any machine type is known.
func (c *Cache) HasCatalog() bool { return len(c.Types) > 0 && c.Types[0].Cpus > 0 }

// Apply takes one change; an event that is no newer than what is known is dropped.
func (c *Cache) Apply(key string, value json.RawMessage, version uint64, deleted bool) error {
	if id, ok := keySuffix(key, fleetPrefix); ok {
		return c.applyFleet(id, value, version, deleted)
	}
	if id, ok := keySuffix(key, jobPrefix); ok {
		return c.applyJob(id, value, version, deleted)
	}
	if id, ok := keySuffix(key, chunkPrefix); ok {
		return c.applyChunk(id, value, version, deleted)
	}
	if id, ok := keySuffix(key, completionPrefix); ok {
		return c.applyCompletions(id, value, version, deleted)
	}
	if _, ok := keySuffix(key, groupPrefix); ok {
		id, ok := GroupOf(key)
		if !ok || id > maxGroups || deleted {
			return fmt.Errorf("record %s: no such rack", key)
		}
		return c.applyGroup(id, value, version)
	}
	if _, ok := keySuffix(key, retiredPrefix); ok && !deleted && !isBarrier(key) {
		return fmt.Errorf("record %s: %w", key, ErrLayout)
	}
	if c.revisions[key] >= version {
		return nil
	}
	c.revisions[key] = version
	if deleted {
		value = nil
	}
	if name, ok := keySuffix(key, memberPrefix); ok {
		return c.applyMember(name, value, version, deleted)
	}
	if number, ok := keySuffix(key, shardPrefix); ok {
		return c.applyShard(number, value, version, deleted)
	}
	if id, ok := keySuffix(key, victimSetPrefix); ok {
		return c.applyVictimSet(id, value, version, deleted)
	}
	if escaped, ok := keySuffix(key, teamPrefix); ok {
		return c.applyTeam(escaped, value, version, deleted)
	}
	return c.applySingle(key, value, version, deleted)
}

// applyMember takes a controller's membership record.
func (c *Cache) applyMember(name string, value json.RawMessage, version uint64, deleted bool) error {
	if deleted {
		delete(c.Members, name)
		return nil
	}
	n := &Member{Version: version}
	if err := json.Unmarshal(value, &n.MemberRecord); err != nil {
		return fmt.Errorf("record %s: %w", MemberKey(name), err)
	}
	c.Members[name] = n
	return nil
}

// applyShard takes the record of who owns a shard.
func (c *Cache) applyShard(number string, value json.RawMessage, version uint64, deleted bool) error {
	i, err := strconv.Atoi(number)
	if err != nil || i < 0 || i >= c.NumShards {
		delete(c.revisions, shardPrefix+number)
		return fmt.Errorf("record %s%s: no such share", shardPrefix, number)
	}
	if deleted {
		c.Shards[i] = Shard{}
		return nil
	}
	sh := Shard{Version: version}
	if err := json.Unmarshal(value, &sh.ShardRecord); err != nil {
		return fmt.Errorf("record %s: %w", ShardKey(i), err)
	}
	c.Shards[i] = sh
	return nil
}

// applyVictimSet takes the record of an evicted set.
func (c *Cache) applyVictimSet(id string, value json.RawMessage, version uint64, deleted bool) error {
	e := &VictimSet{Job: id, Version: version}
	if !deleted {
		var err error
		if e.VictimSetRecord, err = DecodeVictimSet(value); err != nil {
			return fmt.Errorf("record %s: %w", VictimSetKey(id), err)
		}
	}
	c.setVictimSet(id, e, deleted)
	if deleted {
		delete(c.revisions, VictimSetKey(id))
	}
	return nil
}

// applySingle takes a record of which there is one; a key that this version does not know is left alone.
func (c *Cache) applySingle(key string, value json.RawMessage, version uint64, deleted bool) error {
	switch key {
	case LeaderKey:
		return c.applyLeader(value, version, deleted)
	case CatalogKey:
		if !deleted {
			return c.applyCatalog(value, version)
		}
	case LayoutKey:
		return c.applyLayout(value, version)
	case BaselineKey:
		if deleted {
			c.Baseline = Baseline{}
			return nil
		}
		return c.applyBaseline(value, version)
	case SettingsKey:
		c.Settings = RawRecord{value, version}
		if deleted {
			c.Settings = RawRecord{}
		}
	}
	return nil
}

func (c *Cache) applyLeader(value json.RawMessage, version uint64, deleted bool) error {
	c.Leader = Leader{}
	if deleted {
		return nil
	}
	c.Leader.Version = version
	if err := json.Unmarshal(value, &c.Leader.LeaderRecord); err != nil {
		return fmt.Errorf("record %s: %w", LeaderKey, err)
	}
	return nil
}

func (c *Cache) applyCatalog(value json.RawMessage, version uint64) error {
	var catalog protocol.Catalog
	if err := json.Unmarshal(value, &catalog); err != nil {
		return fmt.Errorf("record %s: %w", CatalogKey, err)
	}
	c.Catalog = RawRecord{value, version}
	c.UpdateCatalog(&catalog)
	c.feedAllMachines()
	return nil
}

func (c *Cache) applyLayout(value json.RawMessage, version uint64) error {
	l := Layout{Revision: version}
	if err := json.Unmarshal(value, &l.LayoutRecord); err != nil {
		return fmt.Errorf("record %s: %w", LayoutKey, err)
	}
	if l.Version >= c.Layout.Version { // the gate never closes again
		c.Layout = l
	}
	return nil
}

func (c *Cache) setVictimSet(id string, victimSet *VictimSet, deleted bool) {
	c.feedVictimSet(id)
	if j := c.jobByID[id]; j != nil {
		c.feedJob(j)
	}
	mark := func(old *VictimSet, on bool) {
		for _, x := range old.Victims {
			v := victim{x.Job, x.Task, x.Attempt}
			if on {
				c.victims[v] = true
			} else {
				delete(c.victims, v)
			}
			if m := c.Machine(x.Machine); m != nil {
				c.markChanged(m)
			}
		}
	}
	if old := c.VictimSets[id]; old != nil {
		mark(old, false)
	}
	delete(c.VictimSets, id)
	if !deleted {
		c.VictimSets[id] = victimSet
		mark(victimSet, true)
	}
}

func (c *Cache) applyJob(id string, value json.RawMessage, version uint64, deleted bool) error {
	if _, ok := c.final[id]; ok {
		return nil // final states never change
	}
	job := c.jobByID[id]
	if job != nil && job.Version >= version {
		return nil
	}
	if deleted {
		return fmt.Errorf("job %s was deleted from the state service", id)
	}
	var record JobRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	final := FinalState{protocol.JobStatus(record.Final), int32(record.DoneCount), record.FinalAtMs}
	if record.Final != "" && record.Spec == nil && (job == nil || job.PlacedCount == 0) {
		c.forget(id, job, final)
		return nil
	}
	if job == nil {
		if record.ChunkCount > 0 {
			if err := c.joinChunks(id, &record); err != nil && record.Final != "" {
				// The parts of a job that is over are deleted once none of its tasks is placed.
				c.forget(id, nil, final)
				return nil
			} else if err != nil {
				return err
			}
		}
		var err error
		if job, err = c.newJob(id, &record); err != nil {
			return err
		}
		job.ChunkSet, job.chunkCount = record.ChunkSet, record.ChunkCount
	}
	// A job that is done has no set any more; a completed task stays completed.
	if record.Final != string(protocol.Done) {
		saved, err := decodeBitmap(record.Done, record.Tasks)
		if err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		job.SavedDone = saved
		job.Done.Merge(saved)
	}
	job.DoneCount = max(record.DoneCount, job.Done.Count())
	job.Final = protocol.JobStatus(record.Final)
	job.Suspect = job.Suspect || record.Suspect
	job.Version = version
	job.FinalAtMs = record.FinalAtMs
	c.feedJob(job)
	if !job.Open() {
		c.endedJobs = append(c.endedJobs, job)
		c.notifyDependents(id, job.outcome())
	}
	return nil
}

func (c *Cache) forget(id string, job *Job, finalState FinalState) {
	c.final[id] = finalState
	c.notifyDependents(id, finalState)
	if job != nil {
		job.Final = finalState.Status // groups may still name it
		job.DoneCount, job.FinalAtMs = max(job.DoneCount, int(finalState.Tasks)), finalState.RecordedMs
		c.feedJob(job)
		delete(c.inheritors, job)
		delete(c.jobByID, id)
		c.sorted.dropJob(job)
		c.Jobs[job.Index] = nil
		c.freeJobs = append(c.freeJobs, job.Index)
	}
}

func (c *Cache) newJob(id string, record *JobRecord) (*Job, error) {
	team := c.TeamIndex.Find(record.Team)
	spec := record.Spec
	if team < 0 || spec == nil {
		return nil, fmt.Errorf("job %s: unknown team %q or no description", id, record.Team)
	}
	needs, err := unpackIDs(record.Dependencies)
	if err != nil {
		return nil, fmt.Errorf("job %s: what it awaits: %w", id, err)
	}
	at, own := time.UnixMilli(record.SubmittedMs), protocol.Priority(min(spec.Priority, 3))
	job := &Job{
		ID: id, Team: team, Class: c.Classes.Index(spec.Class), Shard: c.ShardOf(team),
		Shape: protocol.Shape(spec.Shape), Priority: own, OwnPriority: own, Tasks: record.Tasks,
		Cpus: spec.Cpus, Gpus: spec.Gpus, Mem: spec.Mem, Image: c.Images.Index(spec.Image), ImageGB: spec.ImageGB,
		Zone: -1, OneZone: spec.OneZone, Spread: spec.Spread, Spot: spec.Spot, Estimate: spec.Estimate,
		CheckpointInterval: spec.CheckpointInterval, CheckpointCost: spec.CheckpointCost, Deadline: time.Duration(spec.Deadline * float64(time.Second)),
		Submitted: at, ReadyAt: at, Spec: record.Spec, Dependencies: needs,
		MachineOf: make([]int32, record.Tasks), AttemptOf: make([]uint64, record.Tasks), Done: NewBitmap(record.Tasks), SavedDone: NewBitmap(record.Tasks),
	}
	for i := range job.MachineOf {
		job.MachineOf[i] = Nowhere
	}
	for _, t := range spec.Types {
		job.Types = append(job.Types, c.TypeIndex.Index(t))
	}
	c.growTypes()
	if spec.Zone != "" {
		job.Zone = c.Zones.Index(spec.Zone)
	}
	if n := len(c.freeJobs); n > 0 {
		job.Index = c.freeJobs[n-1]
		c.freeJobs = c.freeJobs[:n-1]
		c.Jobs[job.Index] = job
	} else {
		job.Index = int32(len(c.Jobs))
		c.Jobs = append(c.Jobs, job)
	}
	job.Size = c.sizeOf(job)
	c.jobByID[id] = job
	c.recordImageSize(job)
	c.sorted.addJob(job)
	for part, x := range c.completionSets[id] {
		job.completed(part, x.bits)
	}
	if record.Final == "" {
		c.countArrival(job)
		c.addDependencies(job)
	}
	if len(c.dependents[id]) > 0 {
		c.graphChanged = true
	}
	return job, nil
}

// completed takes in a part of the set of completed tasks.
func (j *Job) completed(part int, bits Bitmap) {
	if from := part * (tasksPerCompletionSet / 8); from < len(j.Done) {
		j.SavedDone[from:].Merge(bits)
		j.Done[from:].Merge(bits)
		j.DoneCount = max(j.DoneCount, j.Done.Count())
	}
}

// applyCompletions takes a part of the set of a job's completed tasks. Parts stay until the job
// is over; then its shard's owner deletes them.
func (c *Cache) applyCompletions(name string, value json.RawMessage, version uint64, deleted bool) error {
	id, num, _ := strings.Cut(name, "/")
	part, err := strconv.Atoi(num)
	if err != nil || part < 0 || part > protocol.MaxTasks/tasksPerCompletionSet {
		return fmt.Errorf("record %s%s: no such part", completionPrefix, name)
	}
	if c.completionSets[id][part].version >= version {
		return nil
	}
	if deleted {
		if delete(c.completionSets[id], part); len(c.completionSets[id]) == 0 {
			delete(c.completionSets, id)
		}
		return nil
	}
	var completionRecord CompletionRecord
	if err := json.Unmarshal(value, &completionRecord); err != nil {
		return fmt.Errorf("record %s%s: %w", completionPrefix, name, err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(completionRecord.Done)
	if err != nil || len(raw) > tasksPerCompletionSet/8 {
		return fmt.Errorf("record %s%s: no set of %d tasks", completionPrefix, name, tasksPerCompletionSet)
	}
	if c.completionSets[id] == nil {
		c.completionSets[id] = map[int]completionSet{}
	}
	c.completionSets[id][part] = completionSet{raw, version}
	if j := c.jobByID[id]; j != nil {
		j.completed(part, raw)
		c.feedJob(j)
	}
	return nil
}

// CompletionRecordOf writes the part of a job's set that holds a task, with the version that it
// replaces.
func (c *Cache) CompletionRecordOf(j *Job, done Bitmap, task int) (CompletionRecord, uint64) {
	part := task / tasksPerCompletionSet
	from := part * (tasksPerCompletionSet / 8)
	return CompletionRecord{base64.RawStdEncoding.EncodeToString(done[from:min(len(done), from+tasksPerCompletionSet/8)])}, c.completionSets[j.ID][part].version
}

// StaleRecords returns records that are needed no more, with their versions: parts of sets of jobs
// that are over, and of descriptions as abandoned tells.
func (c *Cache) StaleRecords(limit int, now time.Time) []protocol.Condition {
	var out []protocol.Condition
	for id, parts := range c.completionSets {
		if _, over := c.recordedFinal(id); !over {
			continue
		}
		for part, x := range parts {
			out = append(out, protocol.Condition{Key: CompletionKey(id, part*tasksPerCompletionSet), Version: x.version})
		}
	}
	if len(out) < limit {
		out = append(out, c.staleChunks(limit-len(out), now)...)
	}
	return out[:min(len(out), limit)]
}

const maxGroups = 100_000

// applyFleet takes a fleet's record. A machine is in the latest record that lists it: a
// record that is over a lower limit is worked off by small ones which list its machines
// anew, in the same groups, and is deleted when it lists none that they do not.
func (c *Cache) applyFleet(id string, value json.RawMessage, version uint64, deleted bool) error {
	fleet := c.fleets[id]
	if fleet != nil && fleet.Version >= version {
		return nil
	}
	var record FleetRecord
	if !deleted {
		var err error
		if record, err = DecodeFleet(value); err != nil {
			return fmt.Errorf("fleet %s: %w", id, err)
		}
	}
	for _, x := range record.Machines {
		if m := c.machineByName[x.Name]; x.Group < 0 || x.Group > maxGroups || (m != nil && m.exists && m.Fleet.ID != id && m.record.Group != x.Group) {
			return fmt.Errorf("fleet %s: machine %s cannot be in rack %d", id, x.Name, x.Group)
		}
	}
	if fleet == nil {
		fleet = &Fleet{ID: id}
		c.fleets[id] = fleet
	}
	before := fleet.record.Machines
	fleet.record, fleet.Version, fleet.Size = record, version, len(value)
	for _, x := range record.Machines {
		c.addMachine(fleet, x)
	}
	for _, x := range before { // what is listed still was counted once more just now
		m := c.machineByName[x.Name]
		if m.FleetEntries--; m.FleetEntries == 0 {
			c.removeMachine(m, version)
		}
	}
	return nil
}

func (c *Cache) removeMachine(m *Machine, version uint64) {
	c.setTasks(m, nil)
	m.Gone, m.exists, m.Version = true, false, version
	m.leaveGroup()
	c.sorted.machines.Delete(m)
	c.markChanged(m)
}

func (m *Machine) leaveGroup() {
	m.Group.Machines = slices.DeleteFunc(m.Group.Machines, func(o *Machine) bool { return o == m })
}

func (m *Machine) joinGroup(k *MachineGroup) {
	m.Group = k
	k.Machines = append(k.Machines, m)
}

func (c *Cache) addMachine(fleet *Fleet, entry FleetMachine) {
	machine := c.machineByName[entry.Name]
	if machine == nil {
		machine = &Machine{Index: int32(len(c.Machines)), Name: entry.Name}
		c.Machines = append(c.Machines, machine)
		c.machineByName[entry.Name] = machine
	}
	machine.FleetEntries++
	if machine.exists {
		if machine.Fleet != fleet && fleet.Version > machine.Fleet.Version {
			machine.Fleet, machine.record = fleet, entry
		}
		return
	}
	machine.Fleet, machine.record, machine.exists, machine.Version = fleet, entry, true, fleet.Version
	machine.Moved = false
	c.sorted.machines.Set(machine)
	machine.joinGroup(c.group(entry.Group))
	machine.Shard, machine.Gone = machine.Group.Shard, machine.Group.Version == 0
	machine.Type = c.TypeIndex.Index(fleet.record.Type)
	c.growTypes()
	machine.Zone = c.Zones.Index(fleet.record.Zone)
	machine.Spot, machine.ProvisionedAt, machine.Addr, machine.FencingToken = fleet.record.Spot, fleet.record.ProvisionedAt, entry.Addr, fleet.record.FencingToken
	c.markChanged(machine)
}

// OversizedFleet returns a fleet whose record is over a limit, and whether it fits when it is
// written packed.
func (c *Cache) OversizedFleet(limit int) (f *Fleet, fits bool) {
	for _, f := range c.fleets {
		if f.Size > limit && len(f.record.Machines) > 0 {
			return f, len(EncodeFleet(&f.record, true)) <= limit
		}
	}
	return nil, false
}

// SplitFleet writes a fleet's machines as records that are within a limit, leaving out those
// that a later record lists.
func (c *Cache) SplitFleet(fleet *Fleet, limit int) []FleetRecord {
	var out []FleetRecord
	for _, entry := range fleet.record.Machines {
		if m := c.machineByName[entry.Name]; m == nil || m.Fleet != fleet {
			continue
		}
		if n := len(out) - 1; n >= 0 {
			out[n].Machines = append(out[n].Machines, entry)
			if len(EncodeFleet(&out[n], true)) <= limit {
				continue
			}
			out[n].Machines = out[n].Machines[:len(out[n].Machines)-1]
		}
		r := fleet.record
		r.Machines = []FleetMachine{entry}
		out = append(out, r)
	}
	return out
}

// FleetWithout writes a fleet's record without some of its machines; none is left
// if ok is false.
func (c *Cache) FleetWithout(f *Fleet, gone map[*Machine]bool) (r FleetRecord, ok bool) {
	r = f.record
	r.Machines = slices.DeleteFunc(slices.Clone(r.Machines), func(x FleetMachine) bool { return gone[c.machineByName[x.Name]] })
	return r, len(r.Machines) > 0
}

// applyGroup takes a group's record. One that names a job or a machine that is not
// known yet is left alone: it was read before the record that it names, and comes
// again with the follow.
func (c *Cache) applyGroup(id int, value json.RawMessage, version uint64) error {
	if id < len(c.Groups) && c.Groups[id].Version >= version {
		return nil
	}
	record, err := DecodeGroup(value)
	if err != nil {
		return fmt.Errorf("rack %d: %w", id, err)
	}
	if record.Shard < 0 || record.Shard >= c.NumShards {
		return fmt.Errorf("rack %d: no share %d", id, record.Shard)
	}
	entries := make(map[*Machine]*GroupMachine, len(record.Machines))
	tasks := make(map[*Machine][]PlacedTask, len(record.Machines))
	for i := range record.Machines {
		entry := &record.Machines[i]
		machine := c.machineByName[entry.Name]
		if machine == nil {
			return fmt.Errorf("rack %d: unknown machine %s", id, entry.Name)
		}
		if !machine.exists {
			continue // deleted by a later change that is known already
		}
		entries[machine] = entry
		n := 0
		for _, p := range entry.Tasks {
			n += len(p.Numbers) / numbersPerTask
		}
		list := make([]PlacedTask, 0, n)
		for _, placedTasks := range entry.Tasks {
			j := c.jobByID[placedTasks.Job]
			if j == nil {
				if f, _ := c.FinalState(placedTasks.Job); f == protocol.Done {
					continue // every task has ended; the owner's next record leaves it out
				}
				return fmt.Errorf("rack %d: unknown job %s", id, placedTasks.Job)
			}
			for n := placedTasks.Numbers; len(n) >= numbersPerTask; n = n[numbersPerTask:] {
				if n[0] < uint64(j.Tasks) {
					list = append(list, PlacedTask{j, int(n[0]), n[1], int64(n[2]), n[3]})
				}
			}
		}
		tasks[machine] = list
	}
	var ended []CompletedTask
	for _, completedTasks := range record.Completed {
		j := c.jobByID[completedTasks.Job]
		if j == nil {
			if f, _ := c.FinalState(completedTasks.Job); f == "" {
				return fmt.Errorf("rack %d: unknown job %s", id, completedTasks.Job)
			}
			continue
		}
		for _, t := range completedTasks.Tasks {
			if t >= 0 && t < j.Tasks {
				ended = append(ended, CompletedTask{j, t})
			}
		}
	}
	group := c.group(id)
	for m, x := range entries {
		if !x.Moved {
			continue
		}
		if m.Moved = true; m.Group != group {
			// It comes from a group whose record it left in the same change or before.
			c.setTasks(m, nil)
			m.leaveGroup()
			m.joinGroup(group)
		}
	}
	moved := group.Version == 0 || group.Shard != record.Shard || group.FencingToken != record.FencingToken
	group.Packed = record.Packed != "" || len(record.Machines)+len(record.Completed) == 0
	group.Shard, group.FencingToken, group.Version, group.Completed, group.Size = record.Shard, record.FencingToken, version, ended, len(value)
	for _, e := range ended {
		if !e.Job.Done.Get(e.Task) {
			e.Job.Done.Set(e.Task)
			if e.Job.Open() {
				// The record of a job that is over has counted them all: one that was read
				// before the group's was called done with 4 of 2 tasks.
				e.Job.DoneCount++
			}
			c.feedJob(e.Job)
		}
	}
	for _, storageMachine := range group.Machines {
		groupMachine := entries[storageMachine]
		if groupMachine == nil {
			groupMachine = &GroupMachine{}
		}
		token := max(groupMachine.FencingToken, storageMachine.Fleet.record.FencingToken)
		if moved || token != storageMachine.FencingToken || groupMachine.Incarnation != storageMachine.Incarnation || groupMachine.Returning != storageMachine.Returning || groupMachine.Unhealthy != storageMachine.Unhealthy ||
			groupMachine.Draining != storageMachine.Draining || !slices.Equal(tasks[storageMachine], storageMachine.Tasks) {
			storageMachine.Shard, storageMachine.FencingToken, storageMachine.Incarnation = group.Shard, token, groupMachine.Incarnation
			storageMachine.Returning, storageMachine.Unhealthy, storageMachine.Draining = groupMachine.Returning, groupMachine.Unhealthy, groupMachine.Draining
			storageMachine.Gone, storageMachine.Version = false, version
			c.markChanged(storageMachine)
		}
		if groupMachine.Addr != "" {
			storageMachine.Addr = groupMachine.Addr
		}
		if !slices.Equal(tasks[storageMachine], storageMachine.Tasks) {
			c.setTasks(storageMachine, tasks[storageMachine])
		}
	}
	return nil
}

// setTasks replaces the tasks of a machine's record and keeps the counts true.
func (c *Cache) setTasks(machine *Machine, tasks []PlacedTask) {
	old := machine.Tasks
	c.recordImages(machine, old)
	for _, p := range old {
		j := p.Job
		if j.MachineOf[p.Task] == machine.Index {
			j.MachineOf[p.Task], j.AttemptOf[p.Task] = Nowhere, 0
		}
		j.PlacedCount--
		j.ByZone[machine.Zone]--
		j.firstOpen = min(j.firstOpen, p.Task)
		c.Used[j.Team].Add(j, -1)
		c.feedJob(j)
	}
	for _, p := range tasks {
		j := p.Job
		j.MachineOf[p.Task], j.AttemptOf[p.Task] = machine.Index, p.Attempt
		j.PlacedCount++
		for len(j.ByZone) <= machine.Zone {
			j.ByZone = append(j.ByZone, 0)
		}
		j.ByZone[machine.Zone]++
		c.Used[j.Team].Add(j, 1)
		c.feedJob(j)
	}
	machine.Tasks = tasks
}

// Sweep forgets all but the final state of jobs that are over and have no task
// placed. A cancelled job is kept until then: its tasks still take room and quota.
// A controller that cancelled a job itself knows so before its follow has brought what
// was placed just before: until it has, the job must stay known, or the machine's
// record could not be read.
func (c *Cache) Sweep() {
	for _, j := range c.Jobs {
		if j != nil && !j.Open() && j.PlacedCount == 0 && j.Version <= c.Revision {
			c.forget(j.ID, j, j.outcome())
		}
	}
}

// GroupMachineOf writes a machine's part of its group's record, with other tasks.
func (c *Cache) GroupMachineOf(machine *Machine, tasks []PlacedTask) GroupMachine {
	entry := GroupMachine{Name: machine.Name, Incarnation: machine.Incarnation, Returning: machine.Returning, Draining: machine.Draining, Unhealthy: machine.Unhealthy, Moved: machine.Moved}
	if machine.FencingToken > machine.Fleet.record.FencingToken {
		entry.FencingToken = machine.FencingToken
	}
	if machine.Addr != machine.record.Addr {
		entry.Addr = machine.Addr
	}
	for _, p := range tasks {
		i := slices.IndexFunc(entry.Tasks, func(t PlacedTasks) bool { return t.Job == p.Job.ID })
		if i < 0 {
			i = len(entry.Tasks)
			entry.Tasks = append(entry.Tasks, PlacedTasks{Job: p.Job.ID})
		}
		entry.Tasks[i].Numbers = append(entry.Tasks[i].Numbers, uint64(p.Task), p.Attempt, uint64(p.PlacedAt), p.WaitedS)
	}
	return entry
}

// GroupRecordOf writes a group's record. change, if set, changes a machine's part and
// tells whether the machine stays.
func (c *Cache) GroupRecordOf(k *MachineGroup, ended []CompletedTask, change func(*Machine) (GroupMachine, bool)) *GroupRecord {
	r := &GroupRecord{Shard: k.Shard, FencingToken: k.FencingToken, Completed: endedTasksOf(ended)}
	for _, m := range k.Machines {
		x, stays := c.GroupMachineOf(m, m.Tasks), true
		if change != nil {
			x, stays = change(m)
		}
		if stays && (x.FencingToken > 0 || x.Incarnation > 0 || x.Addr != "" || x.Returning || x.Unhealthy || x.Draining || x.Moved || len(x.Tasks) > 0) {
			r.Machines = append(r.Machines, x)
		}
	}
	return r
}

// UnsavedCompletions are the completed tasks that must stay in a group's record, since their
// job's own does not show them.
func (k *MachineGroup) UnsavedCompletions() []CompletedTask {
	out := make([]CompletedTask, 0, len(k.Completed))
	for _, e := range k.Completed {
		if e.Job.Open() && !e.Job.SavedDone.Get(e.Task) {
			out = append(out, e)
		}
	}
	return out
}

func endedTasksOf(list []CompletedTask) []CompletedTasks {
	var out []CompletedTasks
	at := map[*Job]int{}
	for _, e := range list {
		i, ok := at[e.Job]
		if !ok {
			i = len(out)
			at[e.Job] = i
			out = append(out, CompletedTasks{Job: e.Job.ID})
		}
		out[i].Tasks = append(out[i].Tasks, e.Task)
	}
	return out
}

// JobRecordOf writes a job's record with another set of completed tasks.
func (c *Cache) JobRecordOf(job *Job, done Bitmap, n int, final protocol.JobStatus) *JobRecord {
	record := &JobRecord{Tasks: job.Tasks, DoneCount: n, Final: string(final), Team: c.Teams[job.Team].Name}
	if final == protocol.Done || job.DependencyFailed && job.PlacedCount == 0 {
		return record
	}
	record.Spec, record.SubmittedMs, record.Suspect = job.Spec, job.Submitted.UnixMilli(), job.Suspect
	if final == "" || !c.Packed() {
		// In the packed layout an open job's record is rewritten only while none of its tasks
		// has completed: a large set would be over the limit, and is kept in parts.
		record.Done = done.encode()
	}
	if final == "" {
		record.Dependencies = PackIDs(job.Dependencies)
	}
	if job.ChunkSet != "" {
		record.Spec, record.Dependencies, record.ChunkSet, record.ChunkCount = nil, "", job.ChunkSet, job.chunkCount
	}
	return record
}

// DropUnseen forgets every record that was not seen in a full read begun at revision.
func (c *Cache) DropUnseen(seen map[string]bool, revision uint64) error {
	for id, f := range c.fleets {
		if len(f.record.Machines) > 0 && !seen[FleetKey(id)] {
			if err := c.applyFleet(id, nil, max(revision, f.Version+1), true); err != nil {
				return err
			}
		}
	}
	for name, l := range c.chunkSets {
		for i := range l.versions {
			if !seen[chunkPrefix+name+"/"+strconv.Itoa(i)] {
				delete(l.versions, i)
			}
		}
	}
	for id, parts := range c.completionSets {
		for part := range parts {
			if !seen[CompletionKey(id, part*tasksPerCompletionSet)] {
				delete(parts, part)
			}
		}
	}
	for key := range c.revisions {
		if !seen[key] {
			if err := c.Apply(key, nil, max(revision, c.revisions[key]+1), true); err != nil {
				return err
			}
		}
	}
	return nil
}

// MachineSeen tells whether a machine has or had a record. One whose group has not been
// read yet counts too: it must not get another.
func (c *Cache) MachineSeen(name string) bool { return c.machineByName[name] != nil }
