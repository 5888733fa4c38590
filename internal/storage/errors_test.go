package storage

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestRecordErrors checks that errors.Is distinguishes the reasons for rejecting a change, and that the
// error names the record's key and the revision of the change.
func TestRecordErrors(t *testing.T) {
	reasons := []error{ErrForeignLayout, ErrCorrupt, ErrUnknownReference, ErrInvalidKey, ErrUnexpectedDeletion}
	cases := []struct {
		name    string
		key     string
		value   string // "": deleted
		reason  error
		mention string // text that the error must contain
	}{
		{"foreign layout", Root + "machine/m", `{}`, ErrForeignLayout, "earlier layout"},
		{"job cut short", JobKey("job-000001"), `{"n":`, ErrCorrupt, "JSON"},
		{"job without a description", JobKey("job-000001"), `{"n":1,"tm":"red"}`, ErrCorrupt, "description"},
		{"job with malformed dependencies", JobKey("job-000001"), `{"s":{},"n":1,"tm":"red","aw":"!"}`, ErrCorrupt, "dependencies"},
		{"job with a bitmap of the wrong length", JobKey("job-000001"), `{"s":{},"n":1,"tm":"red","d":"AAAA"}`, ErrCorrupt, "bitmap of 1 tasks"},
		{"job of an unknown team", JobKey("job-000001"), `{"s":{},"n":1,"tm":"green"}`, ErrUnknownReference, "green"},
		{"job with missing chunks", JobKey("job-000001"), `{"n":1,"tm":"red","lg":"n0-1","lp":2}`, ErrUnknownReference, "chunk 0"},
		{"deleted job", JobKey("job-000001"), "", ErrUnexpectedDeletion, "job"},
		{"group with a malformed list", GroupKey(0), `{"s":0,"y":"!"}`, ErrCorrupt, "base64"},
		{"group with a list cut short", GroupKey(0), `{"s":0,"y":"BQ"}`, ErrCorrupt, "cut short"},
		{"group of an unknown shard", GroupKey(0), `{"s":7}`, ErrUnknownReference, "shard 7"},
		{"group with an unknown machine", GroupKey(0), `{"s":0,"m":[{"h":"host-9"}]}`, ErrUnknownReference, "host-9"},
		{"group with an unknown job", GroupKey(0), `{"s":0,"m":[{"h":"m","x":[{"j":"job-000009","p":[0,1,0,0]}]}]}`, ErrUnknownReference, "job-000009"},
		{"group with completed tasks of an unknown job", GroupKey(0), `{"s":0,"e":[{"j":"job-000009","n":[0]}]}`, ErrUnknownReference, "job-000009"},
		{"group without a number", groupPrefix + "x", `{}`, ErrInvalidKey, "group"},
		{"deleted group", GroupKey(0), "", ErrUnexpectedDeletion, "group"},
		{"fleet with a machine of another group", FleetKey("other"), `{"m":[{"h":"m","r":5}]}`, ErrCorrupt, "machine m cannot be in group 5"},
		{"shard number out of range", ShardKey(3), `{}`, ErrInvalidKey, "shard"},
		{"chunk without a number", chunkPrefix + "job-000001/n0-1/x", `{}`, ErrInvalidKey, "chunk"},
		{"completion set without a number", completionPrefix + "job-000001", `{}`, ErrInvalidKey, "completion set"},
		{"completion set that is not base64", CompletionKey("job-000001", 0), `{"d":"!"}`, ErrCorrupt, "base64"},
		{"team with a malformed name", teamPrefix + "%zz", `{}`, ErrInvalidKey, "%zz"},
		{"member cut short", MemberKey("n0"), `{`, ErrCorrupt, "JSON"},
		{"deleted layout", LayoutKey, "", ErrUnexpectedDeletion, "layout"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			applyRecord(t, cache, FleetKey(testMachine), FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: testMachine}}}, 1)
			err := cache.Apply(test.key, json.RawMessage(test.value), 42, test.value == "")
			var recordError *RecordError
			if !errors.As(err, &recordError) {
				t.Fatalf("error %v is not a RecordError", err)
			}
			if recordError.Key != test.key || recordError.Revision != 42 {
				t.Errorf("error has key %s and revision %d", recordError.Key, recordError.Revision)
			}
			for _, reason := range reasons {
				if is := errors.Is(err, reason); is != errors.Is(test.reason, reason) {
					t.Errorf("error %v: errors.Is(%q) is %v", err, reason, is)
				}
			}
			for _, mention := range []string{test.key, "42", test.mention} {
				if !strings.Contains(err.Error(), mention) {
					t.Errorf("error %q does not mention %q", err, mention)
				}
			}
		})
	}
}

// TestStaleChangeIsNoError checks that a change that is not newer than the cached record is dropped
// without an error, even if its value is malformed.
func TestStaleChangeIsNoError(t *testing.T) {
	cache := newTestCache(t, "red")
	fleet := FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: testMachine}}}
	records := []struct {
		key    string
		record any
	}{
		{FleetKey("f"), fleet},
		{JobKey(testJob), JobRecord{Spec: &SpecRecord{Cpus: 1}, Tasks: 1, Team: "red"}},
		{GroupKey(0), GroupRecord{}},
		{CompletionKey(testJob, 0), CompletionRecord{}},
		{chunkKey(testJob, "n0-1", 0), chunkRecord{Text: "t"}},
		{VictimSetKey(testJob), VictimSetRecord{}},
		{MemberKey("n0"), MemberRecord{}},
	}
	for _, test := range records {
		t.Run(test.key, func(t *testing.T) {
			applyRecord(t, cache, test.key, test.record, 10)
			for _, revision := range []uint64{9, 10} {
				if err := cache.Apply(test.key, json.RawMessage(`{`), revision, false); err != nil {
					t.Errorf("change at revision %d: %v", revision, err)
				}
			}
		})
	}
}
