package storage

import (
	"encoding/json"
	"fmt"
	"slices"

	"dykeledge/internal/config"
)

// Cache is the whole state as the state service has it, up to Revision. Apply sets the exported
// fields, but for Revision and ForcePlain, which the owner of the cache sets.
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
	Members    map[string]*Member // by name
	Leader     Leader
	Jobs       []*Job // by index; nil: free
	Machines   []*Machine
	Groups     []*MachineGroup       // by id
	VictimSets map[string]*VictimSet // by the id of the job that they make room for
	Catalog    RawRecord
	Settings   RawRecord
	Used       []Usage // by team, all shards
	// TeamEntries are the teams whose bounds were changed since the settings file; Teams has these.
	TeamEntries map[int]TeamEntry
	Baseline    Baseline
	Arrivals    map[ClassQueue]Arrivals // by all jobs that this process has learned of
	Revision    uint64                  // of the state service, up to which all changes were applied
	Layout      Layout
	ForcePlain  bool // the layout gate is not looked at, as in the version before it

	configuredTeams []config.Team // as the settings file has them
	jobs            *jobTable
	machines        *machineTable
	dependencies    *dependencyGraph
	completions     *completionSets
	descriptions    *chunkedDescriptions
	victims         *victimIndex
	imageSizes      *imageSizes
	sorted          *sortedViews
	feed            *changeFeed
	revisions       map[string]uint64 // of keys whose revision no other field keeps
}

// RawRecord is a record that the cache only passes on.
type RawRecord struct {
	Value   json.RawMessage
	Version uint64 // 0: no record
}

// ShardCount is how many shards a deployment has: one a controller, but none without a team.
func ShardCount(deployment *config.Deployment) int {
	return max(1, min(deployment.Controllers, len(deployment.Teams)))
}

// NewCache returns a cache of no records. It knows the settings' teams and zones.
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
		Used:        make([]Usage, len(deployment.Teams)),
		TeamEntries: map[int]TeamEntry{},
		Arrivals:    map[ClassQueue]Arrivals{},

		configuredTeams: deployment.Teams,
		jobs:            jobs,
		machines:        newMachineTable(),
		dependencies:    newDependencyGraph(jobs, feed),
		completions:     newCompletionSets(),
		descriptions:    newChunkedDescriptions(),
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

// ShardOf is the shard that a team belongs to, whoever owns it.
func (c *Cache) ShardOf(team int) int { return team % c.NumShards }

// recordChange is one change of one record.
type recordChange struct {
	value    json.RawMessage // nil if deleted
	revision uint64
	deleted  bool
}

// Apply takes one change of a record. A change that is no newer than what is known is dropped
// without an error. Any error is a RecordError whose cause wraps one of ErrLayout, ErrCorrupt,
// ErrUnknownReference, ErrInvalidKey and ErrUnexpectedDeletion.
func (c *Cache) Apply(key string, value json.RawMessage, version uint64, deleted bool) error {
	if err := c.applyChange(key, recordChange{value, version, deleted}); err != nil {
		return &RecordError{Key: key, Revision: version, Cause: err}
	}
	return nil
}

// applyChange passes a change on by its record's kind. The first kinds keep the revisions of their
// records themselves.
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
			return fmt.Errorf("%w: no such machine group", ErrInvalidKey)
		}
		return c.applyGroup(id, change)
	}
	if _, ok := keySuffix(key, retiredPrefix); ok && !change.deleted && !isBarrier(key) {
		return ErrLayout
	}
	if c.revisions[key] >= change.revision {
		return nil
	}
	c.revisions[key] = change.revision
	return c.applyTracked(key, change)
}

// applyTracked takes a change of a kind of record whose revision is in c.revisions. A key that this
// version does not know is left alone.
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

// DropUnseen forgets every record that was not seen in a full read begun at revision.
func (c *Cache) DropUnseen(seen map[string]bool, revision uint64) error {
	for id, fleet := range c.machines.fleets {
		if key := FleetKey(id); len(fleet.record.Machines) > 0 && !seen[key] {
			if err := c.Apply(key, nil, max(revision, fleet.Version+1), true); err != nil {
				return err
			}
		}
	}
	c.descriptions.dropUnseen(seen)
	c.completions.dropUnseen(seen)
	for key, known := range c.revisions {
		if !seen[key] {
			if err := c.Apply(key, nil, max(revision, known+1), true); err != nil {
				return err
			}
		}
	}
	return nil
}
