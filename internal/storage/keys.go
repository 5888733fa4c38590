package storage

import (
	"net/url"
	"strconv"
	"strings"
)

// Root is the prefix of every key, so that one watch sees them all.
const Root = "dykeledge/"

// The prefixes of keys. Their text is part of the stored layout and outlives the names in the code.
const (
	memberPrefix     = Root + "node/"
	shardPrefix      = Root + "share/"
	jobPrefix        = Root + "job/"
	fleetPrefix      = Root + "fleet/"
	groupPrefix      = Root + "rack/"
	victimSetPrefix  = Root + "evict/"
	completionPrefix = Root + "set/"
	teamPrefix       = Root + "team/"
	chunkPrefix      = Root + "bit/"     // sorts before the jobs, whose records name them
	retiredPrefix    = Root + "machine/" // of a layout that is not read any more
)

// The keys of records of which there is one each.
const (
	// LeaderKey holds who leads.
	LeaderKey = Root + "leader"
	// CatalogKey holds the cloud's machine types.
	CatalogKey = Root + "catalog"
	// SettingsKey holds the settings that the cache only passes on.
	SettingsKey = Root + "settings"
	// LayoutKey holds the gate between the layouts.
	LayoutKey = Root + "layout"
	// BaselineKey holds what the classes of the teams usually ask for.
	BaselineKey = Root + "usual"
)

// The barrier keys keep older versions out: a version that does not read the layout that a barrier
// announces takes the key for a record of the layout that it refuses, and so does not become ready
// if it is started again.
const (
	// BarrierKey is written when the packed layout is enabled. A version before it would read packed
	// groups as empty ones and start what runs there twice.
	BarrierKey = retiredPrefix + "packed"
	// TeamsBarrierKey is written with the first change of a team. A version before it would go by
	// the settings file.
	TeamsBarrierKey = retiredPrefix + "teams"
)

// isBarrier tells whether a key only keeps older versions out.
func isBarrier(key string) bool { return key == BarrierKey || key == TeamsBarrierKey }

// MemberKey is where a controller says that it is alive.
func MemberKey(name string) string { return memberPrefix + name }

// ShardKey holds who owns a shard.
func ShardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// JobKey holds a job.
func JobKey(id string) string { return jobPrefix + id }

// JobIDOf returns the id of the job that a key holds; ok is false for a key of another kind.
func JobIDOf(key string) (id string, ok bool) { return keySuffix(key, jobPrefix) }

// FleetKey holds what does not change of machines that came together.
func FleetKey(id string) string { return fleetPrefix + id }

// GroupKey holds a machine group: the part of its machines' records that changes.
func GroupKey(group int) string { return groupPrefix + strconv.Itoa(group) }

// GroupOf returns the id of the machine group that a key holds; ok is false for a key of another
// kind or without a number.
func GroupOf(key string) (group int, ok bool) {
	number, ok := keySuffix(key, groupPrefix)
	if !ok {
		return 0, false
	}
	group, err := strconv.Atoi(number)
	return group, err == nil && group >= 0
}

// VictimSetKey holds the victim set that makes room for a job.
func VictimSetKey(job string) string { return victimSetPrefix + job }

// TeamKey holds a team's guarantee and limit, if they were changed since the settings file.
func TeamKey(name string) string { return teamPrefix + url.PathEscape(name) }

// CompletionKey holds a part of the set of a job's completed tasks: the part with this task.
func CompletionKey(job string, task int) string {
	return completionPrefix + job + "/" + strconv.Itoa(task/tasksPerCompletionSet)
}

// chunkKey holds a chunk of a job's description, as one attempt to accept the job wrote it.
func chunkKey(job, attempt string, chunk int) string {
	return chunkPrefix + job + "/" + attempt + "/" + strconv.Itoa(chunk)
}

// keySuffix returns what follows a prefix of a key; ok is false if nothing does.
func keySuffix(key, prefix string) (suffix string, ok bool) {
	suffix, ok = strings.CutPrefix(key, prefix)
	return suffix, ok && suffix != ""
}
