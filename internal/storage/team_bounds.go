package storage

import (
	"fmt"
	"net/url"

	"dykeledge/internal/config"
)

// BoundsOf are a team's bounds in the settings file.
func BoundsOf(team config.Team) TeamBounds {
	return TeamBounds{team.Cpus, team.CpusMax, team.Gpus, team.GpusMax}
}

// Team is a team with these bounds.
func (b TeamBounds) Team(name string) config.Team {
	return config.Team{Name: name, Cpus: b.Cpus, CpusMax: b.CpusMax, Gpus: b.Gpus, GpusMax: b.GpusMax}
}

// TeamEntry is a changed team as the cache has it. A controller of a version before LayoutTeams
// reads no such record, and would go by the settings file: they are written only once every
// controller that the settings name reads them.
type TeamEntry struct {
	TeamRecord
	Version uint64
}

// applyTeam takes a team's record. One of a team that the settings name no more is left alone.
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
