package storage

import (
	"fmt"
	"strconv"

	"dykeledge/internal/protocol"
)

// Shard is a part of the machines and teams, with its owner.
type Shard struct {
	ShardRecord
	Version uint64 // 0: no record
}

// Member is a living controller.
type Member struct {
	MemberRecord
	Version uint64
}

// Leader is the leading controller.
type Leader struct {
	LeaderRecord
	Version uint64 // 0: no record
}

// applyMember takes a controller's membership record.
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

// applyShard takes the record of who owns a shard.
func (c *Cache) applyShard(number string, change recordChange) error {
	shard, err := strconv.Atoi(number)
	if err != nil || shard < 0 || shard >= c.NumShards {
		delete(c.revisions, shardPrefix+number)
		return fmt.Errorf("%w: no such shard", ErrInvalidKey)
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

// applyLeader takes the record of who leads.
func (c *Cache) applyLeader(change recordChange) error {
	c.Leader = Leader{}
	if change.deleted {
		return nil
	}
	record, err := decodeJSON[LeaderRecord](change.value)
	c.Leader = Leader{record, change.revision}
	return err
}

// applyCatalog takes the cloud's machine types; they outlive their record.
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
	c.feed.addMachines(c.sorted.machines) // what they cost has changed
	return nil
}

// applySettings takes the operators' settings.
func (c *Cache) applySettings(change recordChange) {
	if change.deleted {
		c.Settings = RawRecord{}
		return
	}
	c.Settings = RawRecord{change.value, change.revision}
}
