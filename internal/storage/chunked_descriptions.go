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

// abandonedChunkAge is the age at which chunks that no job record names are deleted. The job record
// is written seconds after its chunks, and only if they still exist.
const abandonedChunkAge = 10 * time.Minute

// chunkOverheadBytes is the maximum size of a chunk record without its text.
const chunkOverheadBytes = 64

// chunkedDescriptions holds the chunks of job descriptions that exceed the record size limit, such as
// those with thousands of dependencies or with many allowed machine types. The chunks are written
// before the job's own record, which names them. Each attempt to accept a job names its chunks
// differently, so two controllers that are asked to accept the same job do not mix their chunks.
type chunkedDescriptions struct {
	sets map[string]*chunkSet // by "<job id>/<attempt>"
}

// chunkSet holds the chunks of one description, as written by one attempt to accept the job.
type chunkSet struct {
	texts     map[int]string // by chunk number; cleared once they are joined
	revisions map[int]uint64 // by chunk number
	writtenAt time.Time      // when the first chunk that was read was written
}

func newChunkedDescriptions() *chunkedDescriptions {
	return &chunkedDescriptions{map[string]*chunkSet{}}
}

// revision returns the revision of a chunk's record; 0 if there is none.
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

// join decodes a chunked description into its job's record and releases the chunk texts. The error
// wraps ErrUnknownReference if a chunk is missing.
func (d *chunkedDescriptions) join(id string, record *JobRecord) error {
	set := d.sets[id+"/"+record.ChunkSet]
	text := ""
	for i := range record.ChunkCount {
		if set == nil || set.texts[i] == "" {
			return fmt.Errorf("%w: chunk %d of the job description", ErrUnknownReference, i)
		}
		text += set.texts[i]
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return wrapCorrupt(fmt.Errorf("job description: %w", err))
	}
	description, err := decodeJSON[JobRecord](raw)
	if err != nil {
		return fmt.Errorf("job description: %w", err)
	}
	record.Spec, record.Dependencies = description.Spec, description.Dependencies
	clear(set.texts)
	return nil
}

// stale returns up to limit chunk records that are no longer needed: those of final jobs, of
// attempts that lost to another attempt, and of abandoned attempts.
func (d *chunkedDescriptions) stale(jobs *jobTable, limit int, now time.Time) (records []protocol.Condition) {
	for name, set := range d.sets {
		id, attempt, _ := strings.Cut(name, "/")
		if set.isNeeded(attempt, jobs.find(id), now) && !jobs.isPruned(id) {
			continue
		}
		chunks := slices.Sorted(maps.Keys(set.revisions))
		slices.Reverse(chunks) // the last chunk first: writing the job record is conditional on it
		for _, chunk := range chunks {
			if len(records) >= limit {
				return records
			}
			records = append(records, protocol.Condition{Key: chunkKey(id, attempt, chunk), Version: set.revisions[chunk]})
		}
	}
	return records
}

// isNeeded reports whether a job's record names the chunks of an attempt or may still do so. job is
// nil if it is not in the cache.
func (s *chunkSet) isNeeded(attempt string, job *Job, now time.Time) bool {
	if job == nil {
		return now.Sub(s.writtenAt) < abandonedChunkAge
	}
	return job.ChunkSet == attempt
}

// dropUnseen removes the chunks up to a revision whose keys are not in seen.
func (d *chunkedDescriptions) dropUnseen(seen map[string]bool, upTo uint64) {
	for name, set := range d.sets {
		for chunk, revision := range set.revisions {
			if revision <= upTo && !seen[chunkPrefix+name+"/"+strconv.Itoa(chunk)] {
				delete(set.revisions, chunk)
			}
		}
	}
}

// SplitDescription encodes a job record whose description exceeds limit bytes as chunk records and a
// main record that names them. attempt is the name of this attempt to accept the job.
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

// applyChunk applies a change of a description chunk; name is "<job id>/<attempt>/<chunk number>".
func (c *Cache) applyChunk(name string, change recordChange) error {
	separator := strings.LastIndexByte(name, '/')
	chunk, err := strconv.Atoi(name[separator+1:])
	if separator < 0 || err != nil || chunk < 0 || chunk > protocol.MaxBodyBytes {
		return fmt.Errorf("%w: chunk number missing or out of range", ErrInvalidKey)
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
