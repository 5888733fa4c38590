package storage

import (
	"fmt"
	"net/url"

	"dykeledge/internal/config"
)

// BoundsOf returns a configured team's guarantee and limit.
func BoundsOf(team config.Team) TeamBounds {
	return TeamBounds{team.Cpus, team.CpusMax, team.Gpus, team.GpusMax}
}

// Team returns a team with these bounds.
func (b TeamBounds) Team(name string) config.Team {
	return config.Team{Name: name, Cpus: b.Cpus, CpusMax: b.CpusMax, Gpus: b.Gpus, GpusMax: b.GpusMax}
}

// TeamEntry is a cached team record. Versions without LayoutTeams ignore team records and would use
// the settings file, so team records are written only once every controller named in the settings can
// read them.
type TeamEntry struct {
	TeamRecord
	Version uint64
}

// applyTeam applies a change of a team's record. Records of teams that are not in the settings are
// ignored.
func (c *Cache) applyTeam(escaped string, change recordChange) error {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidKey, err)
	}
	team := c.TeamIndex.Find(name)
	if team < 0 || c.TeamEntries[team].Version >= change.revision {
		return nil
	}
	if change.deleted {
		delete(c.TeamEntries, team)
		c.Teams[team] = c.configuredTeams[team]
		return nil
	}
	record, err := decodeJSON[TeamRecord](change.value)
	if err != nil {
		return err
	}
	c.TeamEntries[team] = TeamEntry{record, change.revision}
	c.Teams[team] = record.Team(name)
	return nil
}
