package storage

import (
	"encoding/json"
	"fmt"
	"slices"

	"dykeledge/internal/config"
)

// Cache is a copy of the whole state in the state service as of Revision. NewCache, Apply and
// UpdateCatalog set the exported fields except Revision, ReadRevision and ForcePlainLayout, which the
// cache's owner sets.
type Cache struct {
	Teams      []config.Team
	TeamIndex  *NameIndex
	Zones      *NameIndex
	TypeIndex  *NameIndex
	Images     *NameIndex
	Classes    *NameIndex
	Types      []MachineType // by type index; Cpus is 0 for types that are not in the catalog
	NumShards  int
	Shards     []Shard
	Members    map[string]*Member // by name
	Leader     Leader
	Jobs       []*Job // by index; nil: unused index
	Machines   []*Machine
	Groups     []*MachineGroup       // by id
	VictimSets map[string]*VictimSet // by the id of the job that the victims are preempted for
	Catalog    RawRecord
	Settings   RawRecord
	TeamUsage  []Usage // by team, over all shards
	// TeamEntries holds, by team, the records that override the settings file's guarantees and limits;
	// Teams includes the overrides.
	TeamEntries      map[int]TeamEntry
	Baseline         Baseline
	Arrivals         map[ClassQueue]Arrivals // of all jobs that this process has read while they were open
	Revision         uint64                  // of the state service; all changes up to it were applied
	ReadRevision     uint64                  // of the last page of the latest full read
	Layout           Layout
	ForcePlainLayout bool // ignore the layout record and write the plain layout, as versions without it do

	configuredTeams []config.Team // from the settings file
	jobs            *jobTable
	machines        *machineTable
	dependencies    *dependencyGraph
	completions     *completionSets
	descriptions    *chunkedDescriptions
	undescribed     *undescribedJobs
	rejected        *rejectedRecords
	victims         *victimIndex
	imageSizes      *imageSizes
	sorted          *sortedViews
	feed            *changeFeed
	revisions       map[string]uint64 // by key, for record kinds whose revision no other field holds
}

// RawRecord is a record that the cache keeps in encoded form.
type RawRecord struct {
	Value   json.RawMessage
	Version uint64 // 0: no record
}

// ShardCount returns a deployment's number of shards: one per controller, but at most one per team
// and at least 1.
func ShardCount(deployment *config.Deployment) int {
	return max(1, min(deployment.Controllers, len(deployment.Teams)))
}

// NewCache returns a cache without records, with the teams and zones of the settings.
func NewCache(settings *config.Settings) *Cache {
	deployment := &settings.Deployment
	feed, jobs := &changeFeed{}, newJobTable()
	cache := &Cache{
		Teams:       slices.Clone(deployment.Teams),
		TeamIndex:   NewNameIndex(),
		Zones:       NewNameIndex(deployment.Zones...),
		TypeIndex:   NewNameIndex(),
		Images:      NewNameIndex(),
		Classes:     NewNameIndex(),
		NumShards:   ShardCount(deployment),
		Shards:      make([]Shard, ShardCount(deployment)),
		Members:     map[string]*Member{},
		VictimSets:  map[string]*VictimSet{},
		TeamUsage:   make([]Usage, len(deployment.Teams)),
		TeamEntries: map[int]TeamEntry{},
		Arrivals:    map[ClassQueue]Arrivals{},

		configuredTeams: deployment.Teams,
		jobs:            jobs,
		machines:        newMachineTable(),
		dependencies:    newDependencyGraph(jobs, feed),
		completions:     newCompletionSets(),
		descriptions:    newChunkedDescriptions(),
		undescribed:     newUndescribedJobs(),
		rejected:        newRejectedRecords(),
		victims:         newVictimIndex(),
		imageSizes:      &imageSizes{},
		sorted:          newSortedViews(len(deployment.Teams)),
		feed:            feed,
		revisions:       map[string]uint64{},
	}
	for _, team := range deployment.Teams {
		cache.TeamIndex.Index(team.Name)
	}
	return cache
}

// Consistent reports whether the cache holds every record as of one revision. The pages of a full read
// are of different revisions, so after it, and until the watch has reached that of the last page, a
// machine group's record may be missing or may have been rejected because it refers to a record of an
// earlier page. Tasks then seem not to be placed that are.
func (c *Cache) Consistent() bool { return c.Revision >= c.ReadRevision }

// ShardOf returns the shard that a team belongs to.
func (c *Cache) ShardOf(team int) int { return team % c.NumShards }

// recordChange is a write or a deletion of one record.
type recordChange struct {
	value    json.RawMessage // nil if deleted
	revision uint64
	deleted  bool
}

// Apply applies one change of a record. A change that is not newer than the cached record is dropped
// without an error. Any error is a RecordError whose cause wraps one of ErrForeignLayout, ErrCorrupt,
// ErrUnknownReference, ErrInvalidKey and ErrUnexpectedDeletion.
func (c *Cache) Apply(key string, value json.RawMessage, revision uint64, deleted bool) error {
	change := recordChange{value, revision, deleted}
	err := c.applyChange(key, change)
	c.rejected.note(key, change, err)
	if err != nil {
		return &RecordError{Key: key, Revision: revision, Cause: err}
	}
	return nil
}

// applyChange dispatches a change by the kind of its record. The kinds that it handles itself store
// their own revisions; applyTracked handles the others.
func (c *Cache) applyChange(key string, change recordChange) error {
	if id, ok := keySuffix(key, fleetPrefix); ok {
		return c.applyFleet(id, change)
	}
	if id, ok := keySuffix(key, jobPrefix); ok {
		return c.applyJob(id, change)
	}
	if name, ok := keySuffix(key, chunkPrefix); ok {
		return c.applyChunk(name, change)
	}
	if name, ok := keySuffix(key, completionPrefix); ok {
		return c.applyCompletions(name, change)
	}
	if _, ok := keySuffix(key, groupPrefix); ok {
		id, ok := GroupOf(key)
		if !ok || id > maxGroupID {
			return fmt.Errorf("%w: machine group number missing or out of range", ErrInvalidKey)
		}
		return c.applyGroup(id, change)
	}
	if _, ok := keySuffix(key, retiredPrefix); ok && !change.deleted && !isBarrier(key) {
		return ErrForeignLayout
	}
	if c.revisions[key] >= change.revision {
		return nil
	}
	c.revisions[key] = change.revision
	return c.applyTracked(key, change)
}

// applyTracked applies a change of a record whose revision is stored in c.revisions. Unknown keys are
// ignored.
func (c *Cache) applyTracked(key string, change recordChange) error {
	if change.deleted {
		change.value = nil
	}
	if name, ok := keySuffix(key, memberPrefix); ok {
		return c.applyMember(name, change)
	}
	if number, ok := keySuffix(key, shardPrefix); ok {
		return c.applyShard(number, change)
	}
	if id, ok := keySuffix(key, victimSetPrefix); ok {
		return c.applyVictimSet(id, change)
	}
	if escaped, ok := keySuffix(key, teamPrefix); ok {
		return c.applyTeam(escaped, change)
	}
	switch key {
	case LeaderKey:
		return c.applyLeader(change)
	case CatalogKey:
		return c.applyCatalog(change)
	case LayoutKey:
		return c.applyLayout(change)
	case BaselineKey:
		return c.applyBaseline(change)
	case SettingsKey:
		c.applySettings(change)
	}
	return nil
}

// DropUnseen removes the cached records that a full read of the state service, begun at revision, did
// not return: fleets, description chunks, completion sets and the records whose revisions
// Cache.revisions holds. Records that are newer than revision stay, such as those that this controller
// itself wrote during the read: the watch from revision delivers their changes.
func (c *Cache) DropUnseen(seen map[string]bool, revision uint64) error {
	for id, fleet := range c.machines.fleets {
		if key := FleetKey(id); len(fleet.record.Machines) > 0 && fleet.Version <= revision && !seen[key] {
			if err := c.Apply(key, nil, max(revision, fleet.Version+1), true); err != nil {
				return err
			}
		}
	}
	c.descriptions.dropUnseen(seen, revision)
	c.completions.dropUnseen(seen, revision)
	c.rejected.dropUnseen(seen, revision)
	for key, lastRevision := range c.revisions {
		if lastRevision <= revision && !seen[key] {
			if err := c.Apply(key, nil, max(revision, lastRevision+1), true); err != nil {
				return err
			}
		}
	}
	return nil
}
