package storage

import (
	"net/url"
	"strconv"
	"strings"
)

// Root is the common prefix of all keys, so that one watch covers them all.
const Root = "dykeledge/"

// Key prefixes by kind of record. They are part of the stored layout and don't change when the code's
// names do.
const (
	memberPrefix     = Root + "node/"
	shardPrefix      = Root + "share/"
	jobPrefix        = Root + "job/"
	fleetPrefix      = Root + "fleet/"
	groupPrefix      = Root + "rack/"
	victimSetPrefix  = Root + "evict/"
	completionPrefix = Root + "set/"
	teamPrefix       = Root + "team/"
	chunkPrefix      = Root + "bit/"     // sorts before jobPrefix: a full read returns chunks before the job records that name them
	retiredPrefix    = Root + "machine/" // machine records of a foreign layout, and the barrier keys
)

// Keys of the record kinds that have a single record.
const (
	// LeaderKey is the key of the leadership record.
	LeaderKey = Root + "leader"
	// CatalogKey is the key of the catalog of the cloud's machine types.
	CatalogKey = Root + "catalog"
	// SettingsKey is the key of the operators' settings, which the cache keeps in encoded form.
	SettingsKey = Root + "settings"
	// LayoutKey is the key of the LayoutRecord.
	LayoutKey = Root + "layout"
	// BaselineKey is the key of the baseline demand of the teams' classes.
	BaselineKey = Root + "usual"
)

// Barrier keys keep older versions from becoming ready after a restart: a version that can't read the
// layout that a barrier announces treats the key as a record of the foreign layout and rejects it.
const (
	// BarrierKey is written when the packed layout is enabled. An older version would read packed
	// machine groups as empty and start their running tasks a second time.
	BarrierKey = retiredPrefix + "packed"
	// TeamsBarrierKey is written with the first change of a team's guarantee or limit. An older
	// version would use the values in the settings file.
	TeamsBarrierKey = retiredPrefix + "teams"
)

// isBarrier reports whether a key is a barrier key.
func isBarrier(key string) bool { return key == BarrierKey || key == TeamsBarrierKey }

// MemberKey returns the key of a controller's membership record.
func MemberKey(name string) string { return memberPrefix + name }

// ShardKey returns the key of a shard's ownership record.
func ShardKey(shard int) string { return shardPrefix + strconv.Itoa(shard) }

// JobKey returns the key of a job's record.
func JobKey(id string) string { return jobPrefix + id }

// JobIDOf returns the job id in a job record's key; ok is false for a key of another kind.
func JobIDOf(key string) (id string, ok bool) { return keySuffix(key, jobPrefix) }

// FleetKey returns the key of a fleet's record.
func FleetKey(id string) string { return fleetPrefix + id }

// GroupKey returns the key of a machine group's record.
func GroupKey(group int) string { return groupPrefix + strconv.Itoa(group) }

// GroupOf returns the id in a machine group record's key; ok is false for a key of another kind or
// without a valid number.
func GroupOf(key string) (group int, ok bool) {
	number, ok := keySuffix(key, groupPrefix)
	if !ok {
		return 0, false
	}
	group, err := strconv.Atoi(number)
	return group, err == nil && group >= 0
}

// VictimSetKey returns the key of the victim set that is preempted for a job.
func VictimSetKey(job string) string { return victimSetPrefix + job }

// TeamKey returns the key of the record that overrides a team's guarantee and limit in the settings
// file.
func TeamKey(name string) string { return teamPrefix + url.PathEscape(name) }

// CompletionKey returns the key of the completion set that contains a job's task.
func CompletionKey(job string, task int) string {
	return completionPrefix + job + "/" + strconv.Itoa(task/tasksPerCompletionSet)
}

// chunkKey returns the key of a chunk of a job's description that an attempt to accept the job wrote.
func chunkKey(job, attempt string, chunk int) string {
	return chunkPrefix + job + "/" + attempt + "/" + strconv.Itoa(chunk)
}

// keySuffix returns the part of a key after a prefix; ok is false if the key does not start with the
// prefix or nothing follows it.
func keySuffix(key, prefix string) (suffix string, ok bool) {
	suffix, ok = strings.CutPrefix(key, prefix)
	return suffix, ok && suffix != ""
}
