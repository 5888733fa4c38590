package storage

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// TestLongDescription: the longest submissions that the protocol allows are accepted, kept,
// rewritten and ended in records of 2 KiB.
func TestLongDescription(t *testing.T) {
	const limit = 2 << 10
	var ids, types []string
	for i := range 4500 {
		ids = append(ids, fmt.Sprintf("job-%06d", i*37))
	}
	for i := range 400 {
		types = append(types, strings.Repeat(fmt.Sprint(i, "<>\"&"), 30)[:120])
	}
	for _, c := range []struct {
		name         string
		tasks        int
		needs, types []string
	}{{"many awaited", 3, ids, nil}, {"many types", 100_000, nil, types}, {"both", 1, ids[:2000], types[:200]}} {
		b := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}}})
		b.Layout.Version = LayoutPacked
		name := strings.Repeat("n", 128)
		r := JobRecord{Tasks: c.tasks, Team: "red", SubmittedMs: 5000, Dependencies: PackIDs(c.needs), Spec: &SpecRecord{Class: name, Image: name, Zone: name, Types: c.types, Cpus: 1}}
		version, records := uint64(1), map[string]bool{}
		put := func(key string, raw json.RawMessage) error {
			if len(raw) > limit {
				t.Fatalf("%s: %s takes %d bytes", c.name, key, len(raw))
			}
			records[key] = true
			version++
			return b.Apply(key, raw, version, false)
		}
		lost, _ := SplitDescription("job-900000", "1-1", &r, limit) // of a try that came to nothing
		parts, main := SplitDescription("job-900000", "2-1", &r, limit)
		if err := put(JobKey("job-900000"), main); err == nil {
			t.Fatalf("%s: taken without its parts", c.name)
		}
		for _, p := range append(lost, parts...) {
			if err := put(p.Put, p.Value); err != nil {
				t.Fatal(err)
			}
		}
		if err := put(JobKey("job-900000"), main); err != nil {
			t.Fatal(err)
		}
		j := b.Job("job-900000")
		if !reflect.DeepEqual(j.Dependencies, c.needs) || !reflect.DeepEqual(j.Spec, r.Spec) || j.UnmetDependencies() != len(c.needs) {
			t.Fatalf("%s: read as %d needs and %d types", c.name, len(j.Dependencies), len(j.Spec.Types))
		}
		j.Suspect = true
		if err := put(JobKey(j.ID), Encode(b.JobRecordOf(j, j.Done, 0, ""))); err != nil || b.Job(j.ID) != j {
			t.Fatalf("%s: rewritten: %v", c.name, err)
		}
		for task := 0; task < c.tasks; task += 5000 { // part by part, as they are folded
			j.Done.Set(task)
			s, _ := b.CompletionRecordOf(j, j.Done, task)
			if err := put(CompletionKey(j.ID, task), Encode(s)); err != nil || !j.SavedDone.Get(task) {
				t.Fatalf("%s: task %d is not kept: %v", c.name, task, err)
			}
		}
		if err := put(JobKey(j.ID), Encode(b.JobRecordOf(j, j.Done, j.DoneCount, protocol.Cancelled))); err != nil {
			t.Fatal(err)
		}
		b.Revision = version
		b.Sweep()
		for range 1000 {
			stale := b.StaleRecords(4, time.UnixMilli(5000))
			if len(stale) == 0 {
				break
			}
			for _, x := range stale {
				if version++; x.Version == 0 || b.Apply(x.Key, nil, version, true) != nil {
					t.Fatalf("%s cannot be deleted", x.Key)
				}
				delete(records, x.Key)
			}
		}
		if f, _ := b.FinalState(j.ID); len(records) != 1 || f != protocol.Cancelled {
			t.Errorf("%s: %d records are left of a job that is %q", c.name, len(records), f)
		}
	}
}
