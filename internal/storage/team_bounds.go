package storage

import (
	"encoding/json"
	"fmt"
	"net/url"

	"dykeledge/internal/config"
)

// This file owns the records of teams' guarantees and limits that were changed since the settings file. A controller of a version
// before it reads no such key, and would go by the settings file: they are written only once every controller that the settings
// name reads them (LayoutTeams).

// BoundsOf are a team's bounds in the settings file.
func BoundsOf(t config.Team) TeamBounds { return TeamBounds{t.Cpus, t.CpusMax, t.Gpus, t.GpusMax} }

// Team is a team with these bounds.
func (b TeamBounds) Team(name string) config.Team {
	return config.Team{Name: name, Cpus: b.Cpus, CpusMax: b.CpusMax, Gpus: b.Gpus, GpusMax: b.GpusMax}
}

// TeamEntry is a changed team as the cache has it.
type TeamEntry struct {
	TeamRecord
	Version uint64
}

// applyTeam takes a team's record. One of a team that the settings name no more is left alone.
func (c *Cache) applyTeam(escaped string, value json.RawMessage, version uint64, deleted bool) error {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return fmt.Errorf("record %s%s: %w", teamPrefix, escaped, err)
	}
	team := c.TeamIndex.Find(name)
	if team < 0 || c.TeamEntries[team].Version >= version {
		return nil
	}
	if deleted {
		delete(c.TeamEntries, team)
		c.Teams[team] = c.fileTeams[team]
		return nil
	}
	entry := TeamEntry{Version: version}
	if err := json.Unmarshal(value, &entry.TeamRecord); err != nil {
		return fmt.Errorf("record %s%s: %w", teamPrefix, escaped, err)
	}
	c.TeamEntries[team] = entry
	c.Teams[team] = entry.Team(name)
	return nil
}

// TeamChangesEnabled tells whether every controller reads changed teams, so that there may be some.
func (c *Cache) TeamChangesEnabled() bool { return c.Layout.Version >= LayoutTeams && !c.ForcePlain }
