package storage

import (
	"fmt"
	"strconv"

	"dykeledge/internal/protocol"
)

// Shard is a subset of the machine groups and teams, with the controller that owns it.
type Shard struct {
	ShardRecord
	Version uint64 // 0: no record
}

// Member is a controller that has a membership record.
type Member struct {
	MemberRecord
	Version uint64
}

// Leader is the controller that holds the leadership.
type Leader struct {
	LeaderRecord
	Version uint64 // 0: no record
}

// applyMember applies a change of a controller's membership record.
func (c *Cache) applyMember(name string, change recordChange) error {
	if change.deleted {
		delete(c.Members, name)
		return nil
	}
	member := &Member{Version: change.revision}
	if err := decodeInto(change.value, &member.MemberRecord); err != nil {
		return err
	}
	c.Members[name] = member
	return nil
}

// applyShard applies a change of a shard's ownership record.
func (c *Cache) applyShard(number string, change recordChange) error {
	shard, err := strconv.Atoi(number)
	if err != nil || shard < 0 || shard >= c.NumShards {
		delete(c.revisions, shardPrefix+number)
		return fmt.Errorf("%w: shard number missing or out of range", ErrInvalidKey)
	}
	if change.deleted {
		c.Shards[shard] = Shard{}
		return nil
	}
	record, err := decodeJSON[ShardRecord](change.value)
	if err != nil {
		return err
	}
	c.Shards[shard] = Shard{record, change.revision}
	return nil
}

// applyLeader applies a change of the leadership record.
func (c *Cache) applyLeader(change recordChange) error {
	c.Leader = Leader{}
	if change.deleted {
		return nil
	}
	record, err := decodeJSON[LeaderRecord](change.value)
	c.Leader = Leader{record, change.revision}
	return err
}

// applyCatalog applies a change of the catalog of the cloud's machine types. The types stay in the
// cache when the record is deleted.
func (c *Cache) applyCatalog(change recordChange) error {
	if change.deleted {
		return nil
	}
	catalog, err := decodeJSON[protocol.Catalog](change.value)
	if err != nil {
		return err
	}
	c.Catalog = RawRecord{change.value, change.revision}
	c.UpdateCatalog(&catalog)
	c.feed.addMachines(c.sorted.machines) // machine prices, in currency units per hour, may have changed
	return nil
}

// applySettings applies a change of the operators' settings record.
func (c *Cache) applySettings(change recordChange) {
	if change.deleted {
		c.Settings = RawRecord{}
		return
	}
	c.Settings = RawRecord{change.value, change.revision}
}
