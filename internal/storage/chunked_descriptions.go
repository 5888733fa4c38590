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

// abandonedChunkAge is how long chunks may stay that no job's record names: that record goes out
// seconds after them, and only if they are still there.
const abandonedChunkAge = 10 * time.Minute

// chunkOverheadBytes is how many bytes of a chunk's record are not its text, at most.
const chunkOverheadBytes = 64

// chunkedDescriptions are the descriptions that are longer than a record may be: of thousands of
// dependencies, or of allowed machine types. One is written in chunks before the job's own record,
// which names them. The chunks of one attempt to accept a job have a name of their own, so two
// controllers that are asked to accept the same job do not mix theirs.
type chunkedDescriptions struct {
	sets map[string]*chunkSet // by job id, a slash and the attempt
}

// chunkSet is what is known of the chunks of one description.
type chunkSet struct {
	texts     map[int]string // until they are joined
	revisions map[int]uint64
	writtenAt time.Time
}

func newChunkedDescriptions() *chunkedDescriptions {
	return &chunkedDescriptions{map[string]*chunkSet{}}
}

// revision is that of a chunk's record; 0 if there is none.
func (d *chunkedDescriptions) revision(name string, chunk int) uint64 {
	if set := d.sets[name]; set != nil {
		return set.revisions[chunk]
	}
	return 0
}

func (d *chunkedDescriptions) put(name string, chunk int, record chunkRecord, revision uint64) {
	set := d.sets[name]
	if set == nil {
		set = &chunkSet{texts: map[int]string{}, revisions: map[int]uint64{}, writtenAt: time.UnixMilli(record.WrittenAtMs)}
		d.sets[name] = set
	}
	set.texts[chunk], set.revisions[chunk] = record.Text, revision
}

func (d *chunkedDescriptions) remove(name string, chunk int) {
	set := d.sets[name]
	if set == nil {
		return
	}
	delete(set.texts, chunk)
	if delete(set.revisions, chunk); len(set.revisions) == 0 {
		delete(d.sets, name)
	}
}

// join puts the chunks of a long description into its job's record. Their text is not kept
// any longer than until then. The error wraps ErrUnknownReference if a chunk is not known.
func (d *chunkedDescriptions) join(id string, record *JobRecord) error {
	set := d.sets[id+"/"+record.ChunkSet]
	text := ""
	for i := range record.ChunkCount {
		if set == nil || set.texts[i] == "" {
			return fmt.Errorf("%w: chunk %d of its description", ErrUnknownReference, i)
		}
		text += set.texts[i]
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return wrapCorrupt(fmt.Errorf("its description: %w", err))
	}
	description, err := decodeJSON[JobRecord](raw)
	if err != nil {
		return fmt.Errorf("its description: %w", err)
	}
	record.Spec, record.Dependencies = description.Spec, description.Dependencies
	clear(set.texts)
	return nil
}

// staleRecords are chunks that are needed no more: of jobs that are over, of attempts that lost to
// another, and of those that were abandoned.
func (d *chunkedDescriptions) staleRecords(jobs *jobTable, limit int, now time.Time) (records []protocol.Condition) {
	for name, set := range d.sets {
		id, attempt, _ := strings.Cut(name, "/")
		if set.isNeeded(attempt, jobs.find(id), now) && !jobs.isPruned(id) {
			continue
		}
		chunks := slices.Sorted(maps.Keys(set.revisions))
		slices.Reverse(chunks) // the last first: the job's record depends on it
		for _, chunk := range chunks {
			if len(records) >= limit {
				return records
			}
			records = append(records, protocol.Condition{Key: chunkKey(id, attempt, chunk), Version: set.revisions[chunk]})
		}
	}
	return records
}

// isNeeded tells whether a job's record names the chunks of an attempt, or may still do so. job is nil
// if it is not known.
func (s *chunkSet) isNeeded(attempt string, job *Job, now time.Time) bool {
	if job == nil {
		return now.Sub(s.writtenAt) < abandonedChunkAge
	}
	return job.ChunkSet == attempt
}

// dropUnseen forgets the chunks whose keys are not among those seen.
func (d *chunkedDescriptions) dropUnseen(seen map[string]bool) {
	for name, set := range d.sets {
		for chunk := range set.revisions {
			if !seen[chunkPrefix+name+"/"+strconv.Itoa(chunk)] {
				delete(set.revisions, chunk)
			}
		}
	}
}

// SplitDescription writes a job's record whose description is over the limit in bytes: its chunks,
// and the record that names them. attempt is the name of this attempt to accept the job.
func SplitDescription(id, attempt string, record *JobRecord, limit int) (chunks []protocol.Change, main json.RawMessage) {
	text := base64.RawStdEncoding.EncodeToString(Encode(&JobRecord{Spec: record.Spec, Dependencies: record.Dependencies}))
	for i := 0; len(text) > 0; i++ {
		length := min(limit-chunkOverheadBytes, len(text))
		chunk := chunkRecord{text[:length], record.SubmittedMs}
		chunks = append(chunks, protocol.Change{Put: chunkKey(id, attempt, i), Value: Encode(chunk)})
		text = text[length:]
	}
	short := *record
	short.Spec, short.Dependencies, short.ChunkSet, short.ChunkCount = nil, "", attempt, len(chunks)
	return chunks, Encode(&short)
}

// applyChunk takes a chunk of a description; name is the job's id, the attempt and the chunk's
// number, with slashes between.
func (c *Cache) applyChunk(name string, change recordChange) error {
	separator := strings.LastIndexByte(name, '/')
	chunk, err := strconv.Atoi(name[separator+1:])
	if separator < 0 || err != nil || chunk < 0 || chunk > protocol.MaxBody {
		return fmt.Errorf("%w: no such chunk", ErrInvalidKey)
	}
	setName := name[:separator]
	if c.descriptions.revision(setName, chunk) >= change.revision {
		return nil
	}
	if change.deleted {
		c.descriptions.remove(setName, chunk)
		return nil
	}
	record, err := decodeJSON[chunkRecord](change.value)
	if err != nil {
		return err
	}
	c.descriptions.put(setName, chunk, record, change.revision)
	return nil
}
