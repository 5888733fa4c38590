package storage

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dykeledge/internal/protocol"
)

// A description may be longer than a record may be: thousands of awaited jobs, or of
// allowed machine types. It is written in parts before the job's own record, which names
// them. The parts of one try have a name of their own, so two controllers that are asked to
// accept the same job do not mix theirs.

// chunkSet is what is known of the parts of one description.
type chunkSet struct {
	chunks    map[int]string
	versions  map[int]uint64
	writtenAt time.Time
}

// abandonedChunksAfter is how long parts may stay that no job's record names: that record goes out
// seconds after them, and only if they are still there.
const abandonedChunksAfter = 10 * time.Minute

// SplitDescription writes a job's record whose description is over the limit: the parts, and the
// record that names them.
func SplitDescription(id, try string, r *JobRecord, limit int) (parts []protocol.Change, main json.RawMessage) {
	text := base64.RawStdEncoding.EncodeToString(Encode(&JobRecord{Spec: r.Spec, Dependencies: r.Dependencies}))
	size := limit - 64
	for i := 0; len(text) > 0; i++ {
		n := min(size, len(text))
		parts = append(parts, protocol.Change{Put: chunkKey(id, try, i), Value: Encode(chunkRecord{text[:n], r.SubmittedMs})})
		text = text[n:]
	}
	x := *r
	x.Spec, x.Dependencies, x.ChunkSet, x.ChunkCount = nil, "", try, len(parts)
	return parts, Encode(&x)
}

func (c *Cache) applyChunk(name string, value json.RawMessage, version uint64, deleted bool) error {
	at := strings.LastIndexByte(name, '/')
	i, err := strconv.Atoi(name[at+1:])
	if at < 0 || err != nil || i < 0 || i > protocol.MaxBody {
		return fmt.Errorf("record %s%s: no such part", chunkPrefix, name)
	}
	storageChunkSet := c.chunkSets[name[:at]]
	if storageChunkSet != nil && storageChunkSet.versions[i] >= version {
		return nil
	}
	if deleted {
		if storageChunkSet != nil {
			delete(storageChunkSet.chunks, i)
			if delete(storageChunkSet.versions, i); len(storageChunkSet.versions) == 0 {
				delete(c.chunkSets, name[:at])
			}
		}
		return nil
	}
	var r chunkRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("record %s%s: %w", chunkPrefix, name, err)
	}
	if storageChunkSet == nil {
		storageChunkSet = &chunkSet{chunks: map[int]string{}, versions: map[int]uint64{}, writtenAt: time.UnixMilli(r.AtMs)}
		c.chunkSets[name[:at]] = storageChunkSet
	}
	storageChunkSet.chunks[i], storageChunkSet.versions[i] = r.Text, version
	return nil
}

// joinChunks puts the parts of a long description into its record. Their text is not kept
// any longer than until then.
func (c *Cache) joinChunks(id string, record *JobRecord) error {
	chunkSet := c.chunkSets[id+"/"+record.ChunkSet]
	text := ""
	for i := range record.ChunkCount {
		if chunkSet == nil || chunkSet.chunks[i] == "" {
			return fmt.Errorf("job %s: part %d of its description is not known", id, i)
		}
		text += chunkSet.chunks[i]
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	var x JobRecord
	if err == nil {
		err = json.Unmarshal(raw, &x)
	}
	if err != nil {
		return fmt.Errorf("job %s: its description: %w", id, err)
	}
	record.Spec, record.Dependencies = x.Spec, x.Dependencies
	clear(chunkSet.chunks)
	return nil
}

// staleChunks are parts that are needed no more: of jobs that are over, of tries that lost to
// another, and of those that were given up.
func (c *Cache) staleChunks(limit int, now time.Time) (out []protocol.Condition) {
	for name, chunkSet := range c.chunkSets {
		id, try, _ := strings.Cut(name, "/")
		_, over := c.final[id]
		j := c.jobByID[id]
		if !over && (j == nil && now.Sub(chunkSet.writtenAt) < abandonedChunksAfter || j != nil && j.ChunkSet == try) {
			continue
		}
		order := slices.Sorted(maps.Keys(chunkSet.versions))
		slices.Reverse(order) // the last first: the job's record depends on it
		for _, i := range order {
			if len(out) >= limit {
				return out
			}
			out = append(out, protocol.Condition{Key: chunkKey(id, try, i), Version: chunkSet.versions[i]})
		}
	}
	return out
}
