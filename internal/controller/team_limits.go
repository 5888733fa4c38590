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

// This file carries out changes of teams' limits while the deployment serves. A limit that is raised
// counts at once: an owner that has not seen it places less. A limit that is lowered bounds what
// starts as soon as the owner of the team's shard reads it, and counts only from when that owner
// says so in the record, since what its records hold is under it; until then the former limit
// counts, and tasks beyond the new one are evicted by the ranking of all preemptions. Only the owner
// places a team's tasks, and its commits depend on its ownership: so an owner that stalls over a
// change and resumes later may still place by the former limit, while that one counts, and never after.

const (
	// limitSetPrefix begins the names of victim sets that bring a team under its limit.
	limitSetPrefix = "limit:"
	// limitChangesDivisor is the part of a transaction, one in so many, that lowered limits may fill.
	limitChangesDivisor = 4
)

// limitSetName is the name of the victim set for a team's limit.
func limitSetName(team int) string { return fmt.Sprintf("%s%d", limitSetPrefix, team) }

// limitSetTeam tells whether a victim set is for a team's limit, and which team's.
func limitSetTeam(id string) (string, bool) { return strings.CutPrefix(id, limitSetPrefix) }

// planLimits carries on with limits that are being lowered, of teams whose shard this controller
// owns: those that the records prove to be kept count from now on (what this transaction places is
// within them), and tasks beyond the others are evicted. It comes before what ends and starts: at
// the peak those fill every transaction, and lowered limits waited for a minute.
func (c *Controller) planLimits(now time.Time, planned *plannedTxn) {
	for team, entry := range c.cache.TeamEntries {
		if entry.Former == nil || !c.ownsShard(c.cache.ShardOf(team)) || planned.usedOps >= max(1, planned.maxOps/limitChangesDivisor) {
			continue
		}
		if withinBounds(entry.TeamBounds, c.cache.Used[team]) {
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

// evictForLimit names the tasks that have to go for a team to be under its limit, as one record
// before any of them is stopped.
func (c *Controller) evictForLimit(now time.Time, planned *plannedTxn, team int, bounds storage.TeamBounds) {
	candidates := c.limitCandidates(now, team)
	schedule.RankCandidates(c.planner.alpha, candidates)
	chosen := schedule.EvictExcess(c.usedByRunning(team), bounds.Team(""), candidates)
	chosen = c.truncateToRecordLimit(chosen)
	if len(chosen) == 0 {
		return
	}
	record := storage.VictimSetRecord{Shard: c.cache.ShardOf(team), AtMs: now.UnixMilli(), Victims: victimRecords(chosen)}
	c.log.Info("evicting for a limit", "team", c.cache.Teams[team].Name, "victims", len(record.Victims))
	key := storage.VictimSetKey(limitSetName(team))
	planned.put(key, 0, protocol.Change{Put: key, Value: storage.EncodeVictimSet(&record, c.cache.Packed())})
	planned.usedOps++
}

// usedByRunning is what a team uses without what is known to have ended, which leaves the records by itself.
func (c *Controller) usedByRunning(team int) storage.Usage {
	used := c.cache.Used[team]
	for _, machine := range c.cache.Machines {
		worker := c.workers.states[machine.Index]
		if machine.Gone || worker == nil || len(worker.Gone) == 0 {
			continue
		}
		for _, placed := range machine.Tasks {
			if placed.Job.Team == team && worker.hasEnded(dispatch.RefOf(placed)) {
				used.Add(placed.Job, -1)
			}
		}
	}
	return used
}

// limitCandidates are a team's tasks, wherever they run, that are not known to have ended and that
// no other set evicts.
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
			if !worker.hasEnded(dispatch.RefOf(placed)) {
				list.add(slot, placed, lostRunSeconds(worker, placed, now))
			}
		}
	}
	return list.candidates
}
