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
// them. The parts of one try have a name of their own, so two nodes that are asked to
// accept the same job do not mix theirs.

// partRecord is a part of a long description.
type partRecord struct {
	Text string `json:"x"`
	AtMs int64  `json:"at"` // when it was written, time of day
}

// longText is what is known of the parts of one description.
type longText struct {
	parts    map[int]string
	versions map[int]uint64
	at       time.Time
}

// abandoned is how long parts may stay that no job's record names: that record goes out
// seconds after them, and only if they are still there.
const abandoned = 10 * time.Minute

func partKey(id, try string, i int) string {
	return partPrefix + id + "/" + try + "/" + strconv.Itoa(i)
}

// SplitLong writes a job's record whose description is over the limit: the parts, and the
// record that names them.
func SplitLong(id, try string, r *JobRecord, limit int) (parts []protocol.Change, main json.RawMessage) {
	text := base64.RawStdEncoding.EncodeToString(Encode(&JobRecord{Spec: r.Spec, Needs: r.Needs}))
	size := limit - 64
	for i := 0; len(text) > 0; i++ {
		n := min(size, len(text))
		parts = append(parts, protocol.Change{Put: partKey(id, try, i), Value: Encode(partRecord{text[:n], r.AtMs})})
		text = text[n:]
	}
	x := *r
	x.Spec, x.Needs, x.Long, x.Parts = nil, "", try, len(parts)
	return parts, Encode(&x)
}

func (b *Cache) applyPart(name string, value json.RawMessage, version uint64, deleted bool) error {
	at := strings.LastIndexByte(name, '/')
	i, err := strconv.Atoi(name[at+1:])
	if at < 0 || err != nil || i < 0 || i > protocol.MaxBody {
		return fmt.Errorf("record %s%s: no such part", partPrefix, name)
	}
	l := b.long[name[:at]]
	if l != nil && l.versions[i] >= version {
		return nil
	}
	if deleted {
		if l != nil {
			delete(l.parts, i)
			if delete(l.versions, i); len(l.versions) == 0 {
				delete(b.long, name[:at])
			}
		}
		return nil
	}
	var r partRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("record %s%s: %w", partPrefix, name, err)
	}
	if l == nil {
		l = &longText{parts: map[int]string{}, versions: map[int]uint64{}, at: time.UnixMilli(r.AtMs)}
		b.long[name[:at]] = l
	}
	l.parts[i], l.versions[i] = r.Text, version
	return nil
}

// lengthen puts the parts of a long description into its record. Their text is not kept
// any longer than until then.
func (b *Cache) lengthen(id string, r *JobRecord) error {
	l := b.long[id+"/"+r.Long]
	text := ""
	for i := range r.Parts {
		if l == nil || l.parts[i] == "" {
			return fmt.Errorf("job %s: part %d of its description is not known", id, i)
		}
		text += l.parts[i]
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	var x JobRecord
	if err == nil {
		err = json.Unmarshal(raw, &x)
	}
	if err != nil {
		return fmt.Errorf("job %s: its description: %w", id, err)
	}
	r.Spec, r.Needs = x.Spec, x.Needs
	clear(l.parts)
	return nil
}

// staleParts are parts that are needed no more: of jobs that are over, of tries that lost to
// another, and of those that were given up.
func (b *Cache) staleParts(limit int, now time.Time) (out []protocol.Condition) {
	for name, l := range b.long {
		id, try, _ := strings.Cut(name, "/")
		_, over := b.final[id]
		j := b.jobByID[id]
		if !over && (j == nil && now.Sub(l.at) < abandoned || j != nil && j.Long == try) {
			continue
		}
		order := slices.Sorted(maps.Keys(l.versions))
		slices.Reverse(order) // the last first: the job's record depends on it
		for _, i := range order {
			if len(out) >= limit {
				return out
			}
			out = append(out, protocol.Condition{Key: partKey(id, try, i), Version: l.versions[i]})
		}
	}
	return out
}
