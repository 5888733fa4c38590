package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dykeledge/internal/config"
	"dykeledge/internal/golden"
	"dykeledge/internal/protocol"
)

// The golden files hold records as a released version wrote them into the state service. A file's name
// consists of the record's kind and the layout that writes it; "any" stands for all layouts.
// A difference means that controllers of two versions can't read each other's records.

// rewrite decodes a record and encodes it again.
type rewrite func(raw json.RawMessage) (json.RawMessage, error)

func rewriteJSON[T any](raw json.RawMessage) (json.RawMessage, error) {
	var record T
	err := json.Unmarshal(raw, &record)
	return Encode(record), err
}

func checkRewrite(t *testing.T, from, to string, rewrite rewrite) {
	t.Helper()
	got, err := rewrite(golden.Read(t, from))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, to, got)
}

// TestGoldenRecords checks the records that are plain JSON in every layout.
func TestGoldenRecords(t *testing.T) {
	cases := []struct {
		file    string
		rewrite rewrite
	}{
		{"job-open.any.json", rewriteJSON[JobRecord]},
		{"job-final.any.json", rewriteJSON[JobRecord]},
		{"job-long.any.json", rewriteJSON[JobRecord]},
		{"node.any.json", rewriteJSON[MemberRecord]},
		{"share.any.json", rewriteJSON[ShardRecord]},
		{"leader.any.json", rewriteJSON[LeaderRecord]},
		{"set.any.json", rewriteJSON[CompletionRecord]},
		{"part.any.json", rewriteJSON[chunkRecord]},
		{"layout.plain.json", rewriteJSON[LayoutRecord]},
		{"layout.packed.json", rewriteJSON[LayoutRecord]},
		{"layout.teams.json", rewriteJSON[LayoutRecord]},
		{"usual.packed.json", rewriteJSON[BaselineRecord]},
		{"team.teams.json", rewriteJSON[TeamRecord]},
		{"catalog.any.json", rewriteJSON[protocol.Catalog]},
	}
	for _, test := range cases {
		t.Run(test.file, func(t *testing.T) { checkRewrite(t, test.file, test.file, test.rewrite) })
	}
}

// TestGoldenLayouts checks the records that differ between the plain and the packed layout.
func TestGoldenLayouts(t *testing.T) {
	cases := []struct {
		record  string
		rewrite func(packed bool) rewrite
	}{
		{"rack", func(packed bool) rewrite {
			return func(raw json.RawMessage) (json.RawMessage, error) {
				record, err := DecodeGroup(raw)
				return EncodeGroup(&record, packed), err
			}
		}},
		{"fleet", func(packed bool) rewrite {
			return func(raw json.RawMessage) (json.RawMessage, error) {
				record, err := DecodeFleet(raw)
				return EncodeFleet(&record, packed), err
			}
		}},
		{"evict", func(packed bool) rewrite {
			return func(raw json.RawMessage) (json.RawMessage, error) {
				record, err := DecodeVictimSet(raw)
				return EncodeVictimSet(&record, packed), err
			}
		}},
	}
	for _, test := range cases {
		plain, packed := test.record+".plain.json", test.record+".packed.json"
		t.Run(plain, func(t *testing.T) { checkRewrite(t, plain, plain, test.rewrite(false)) })
		t.Run(packed+" from plain", func(t *testing.T) { checkRewrite(t, plain, packed, test.rewrite(true)) })
		t.Run(packed, func(t *testing.T) { checkRewrite(t, packed, packed, test.rewrite(true)) })
	}
}

// TestGoldenFields checks that every field of every record occurs in a golden file.
func TestGoldenFields(t *testing.T) {
	records := []struct {
		record     string
		recordType reflect.Type
	}{
		{"job", reflect.TypeFor[JobRecord]()},
		{"rack", reflect.TypeFor[GroupRecord]()},
		{"fleet", reflect.TypeFor[FleetRecord]()},
		{"evict", reflect.TypeFor[VictimSetRecord]()},
		{"node", reflect.TypeFor[MemberRecord]()},
		{"share", reflect.TypeFor[ShardRecord]()},
		{"leader", reflect.TypeFor[LeaderRecord]()},
		{"set", reflect.TypeFor[CompletionRecord]()},
		{"part", reflect.TypeFor[chunkRecord]()},
		{"layout", reflect.TypeFor[LayoutRecord]()},
		{"usual", reflect.TypeFor[BaselineRecord]()},
		{"team", reflect.TypeFor[TeamRecord]()},
		{"catalog", reflect.TypeFor[protocol.Catalog]()},
	}
	for _, test := range records {
		t.Run(test.record, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join("testdata", "golden", test.record+`[.\-]*`))
			if err != nil || len(files) == 0 {
				t.Fatalf("no golden file for the record (error: %v)", err)
			}
			text := ""
			for _, file := range files {
				text += string(golden.Read(t, filepath.Base(file)))
			}
			for _, field := range wireNames(test.recordType) {
				if !strings.Contains(text, fmt.Sprintf("%q:", field)) {
					t.Errorf("no golden file has field %q", field)
				}
			}
		})
	}
}

// wireNames returns the JSON names of a type's fields, including those of nested types.
func wireNames(recordType reflect.Type) (names []string) {
	switch recordType.Kind() {
	case reflect.Pointer, reflect.Slice:
		return wireNames(recordType.Elem())
	case reflect.Struct:
		for field := range recordType.Fields() {
			if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
				names = append(names, name)
			}
			names = append(names, wireNames(field.Type)...)
		}
	}
	return names
}

// TestGoldenSpec checks the conversion of a submission into the description in a job's record.
func TestGoldenSpec(t *testing.T) {
	submission, err := protocol.ParseSubmission(golden.Read(t, "submission.any.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckBytes(t, "spec.any.json", Encode(SpecOf(submission)))
}

// TestGoldenPackedStrings checks the packed strings in records: lists of job ids and task bitmaps.
func TestGoldenPackedStrings(t *testing.T) {
	t.Run("ids", func(t *testing.T) {
		ids := []string{"job-000398", "job-000399", "job-1234567", "job-000000000000000001", "job-000398"}
		golden.CheckBytes(t, "ids.any.txt", []byte(PackIDs(ids)))
		got, err := unpackIDs(string(golden.Read(t, "ids.any.txt")))
		if err != nil || !reflect.DeepEqual(got, ids) {
			t.Errorf("decoded as %v (error: %v)", got, err)
		}
	})
	t.Run("tasks", func(t *testing.T) {
		const tasks = 20
		done := NewBitmap(tasks)
		for _, task := range []int{0, 7, 8, 19} {
			done.Set(task)
		}
		golden.CheckBytes(t, "tasks.any.txt", []byte(done.encode()))
		got, err := decodeBitmap(string(golden.Read(t, "tasks.any.txt")), tasks)
		if err != nil || !bytes.Equal(got, done) {
			t.Errorf("decoded as %v (error: %v)", got, err)
		}
	})
}

// TestGoldenChunkedDescription splits a description into chunks, joins them and splits the result
// again.
func TestGoldenChunkedDescription(t *testing.T) {
	const job, attempt, limit = "job-000007", "n0-1-7", 192
	var record JobRecord
	if err := json.Unmarshal(golden.Read(t, "job-open.any.json"), &record); err != nil {
		t.Fatal(err)
	}
	chunks, main := SplitDescription(job, attempt, &record, limit)
	golden.CheckBytes(t, "long-parts.any.json", Encode(chunks))
	golden.CheckBytes(t, "long-main.any.json", main)

	cache := NewCache(&config.Settings{})
	if err := json.Unmarshal(golden.Read(t, "long-parts.any.json"), &chunks); err != nil {
		t.Fatal(err)
	}
	for i, chunk := range chunks {
		if err := cache.Apply(chunk.Put, chunk.Value, uint64(i+1), false); err != nil {
			t.Fatal(err)
		}
	}
	var joined JobRecord
	if err := json.Unmarshal(golden.Read(t, "long-main.any.json"), &joined); err != nil {
		t.Fatal(err)
	}
	if err := cache.descriptions.join(job, &joined); err != nil {
		t.Fatal(err)
	}
	again, _ := SplitDescription(job, attempt, &joined, limit)
	golden.CheckBytes(t, "long-parts.any.json", Encode(again))
}

// TestGoldenKeys checks the keys of the records.
func TestGoldenKeys(t *testing.T) {
	keys := []string{
		MemberKey("n0"), ShardKey(5), JobKey("job-000007"), FleetKey("host-000001"), GroupKey(300), VictimSetKey("job-000007"),
		CompletionKey("job-000007", 8191), CompletionKey("job-000007", 8192), chunkKey("job-000007", "n0-1-7", 2), TeamKey("red/blue team"),
		LeaderKey, CatalogKey, SettingsKey, LayoutKey, BaselineKey, BarrierKey, TeamsBarrierKey,
	}
	golden.CheckBytes(t, "keys.any.txt", []byte(strings.Join(keys, "\n")+"\n"))
}
