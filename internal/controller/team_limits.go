package controller

import (
	"fmt"
	"strings"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file applies changes of teams' limits at run time. A raised limit takes effect immediately:
// an owner that has not seen it places fewer tasks than it could. A lowered limit bounds new
// placements as soon as the owner of the team's shard reads it. It counts as in force only once
// that owner writes so in the team's record, because the tasks in its records are within the limit;
// until then the former limit counts, and tasks beyond the new one are evicted in the order of the
// preemption ranking. Only the owner places a team's tasks, and its commits are conditional on its
// ownership. Therefore an owner that stalls during a change and resumes later can place tasks by
// the former limit only while that limit still counts.

const (
	// limitSetPrefix is the prefix of the names of victim sets that bring a team within its limit.
	limitSetPrefix = "limit:"
	// limitChangesDivisor bounds the changes for lowered limits in a transaction: they are added
	// only while fewer than the maximum number of operations divided by it are used.
	limitChangesDivisor = 4
)

// limitSetName returns the name of the victim set for a team's limit.
func limitSetName(team int) string { return fmt.Sprintf("%s%d", limitSetPrefix, team) }

// limitSetTeam returns the team's index, as text, from the name of a victim set for a team's limit,
// and reports whether the name is one.
func limitSetTeam(id string) (string, bool) { return strings.CutPrefix(id, limitSetPrefix) }

// planLimits continues lowering the limits of teams whose shards this controller owns. A lowered
// limit is recorded as in force if the records show that the team is within it (the tasks placed by
// this transaction are too); otherwise tasks beyond it are evicted. This is planned before
// completions and placements: at peak load those fill every transaction, and lowered limits would
// wait for a minute.
func (c *Controller) planLimits(now time.Time, planned *plannedTxn) {
	for team, entry := range c.cache.TeamEntries {
		if entry.PreviousBounds == nil || !c.ownsShard(c.cache.ShardOf(team)) || planned.usedOps >= max(1, planned.maxOps/limitChangesDivisor) {
			continue
		}
		if withinBounds(entry.TeamBounds, c.cache.TeamUsage[team]) {
			key := storage.TeamKey(c.cache.Teams[team].Name)
			planned.put(key, entry.Version, protocol.Change{Put: key, Value: storage.Encode(storage.TeamRecord{TeamBounds: entry.TeamBounds})})
			planned.usedOps++
			continue
		}
		if c.cache.VictimSets[limitSetName(team)] == nil {
			c.evictForLimit(now, planned, team, entry.TeamBounds)
		}
	}
}

// evictForLimit adds one record that names the tasks to evict for a team's limit, so that it is
// written before any of them is stopped.
func (c *Controller) evictForLimit(now time.Time, planned *plannedTxn, team int, bounds storage.TeamBounds) {
	candidates := c.limitCandidates(now, team)
	schedule.RankCandidates(c.planner.alpha, candidates)
	chosen := schedule.EvictExcess(c.usedByRunning(team), bounds.Team(""), candidates)
	chosen = c.truncateToRecordLimit(chosen)
	if len(chosen) == 0 {
		return
	}
	record := storage.VictimSetRecord{Shard: c.cache.ShardOf(team), ChosenAtMs: now.UnixMilli(), Victims: victimRecords(chosen)}
	c.log.Info("evicting tasks above team limit", "team", c.cache.Teams[team].Name, "victims", len(record.Victims))
	key := storage.VictimSetKey(limitSetName(team))
	planned.put(key, 0, protocol.Change{Put: key, Value: storage.EncodeVictimSet(&record, c.cache.Packed())})
	planned.usedOps++
}

// usedByRunning returns a team's usage without tasks that are known to have ended and are still in
// the records; those are removed without an eviction.
func (c *Controller) usedByRunning(team int) storage.Usage {
	used := c.cache.TeamUsage[team]
	for _, machine := range c.cache.Machines {
		worker := c.workers.states[machine.Index]
		if machine.Gone || worker == nil || len(worker.Gone) == 0 {
			continue
		}
		for _, placed := range machine.Tasks {
			if placed.Job.Team == team && worker.hasEnded(dispatch.AttemptRefOf(placed)) {
				used.Add(placed.Job, -1)
			}
		}
	}
	return used
}

// limitCandidates returns a team's tasks on all machines, except those that are known to have ended
// or are already victims.
func (c *Controller) limitCandidates(now time.Time, team int) []schedule.Candidate {
	var list candidateList
	for _, machine := range c.cache.Machines {
		if machine.Gone {
			continue
		}
		slot := &schedule.Slot{Machine: machine}
		for _, placed := range machine.Tasks {
			if placed.Job.Team != team || !placed.Job.Open() || c.cache.IsVictim(placed) {
				continue
			}
			worker := c.workerState(machine)
			if !worker.hasEnded(dispatch.AttemptRefOf(placed)) {
				list.add(slot, placed, lostRunSeconds(worker, placed, now), worker.isFetching(placed))
			}
		}
	}
	return list.candidates
}
