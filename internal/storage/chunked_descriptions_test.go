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
		cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}}})
		cache.Layout.Version = LayoutPacked
		name := strings.Repeat("n", 128)
		record := JobRecord{Tasks: c.tasks, Team: "red", SubmittedMs: 5000, Dependencies: PackIDs(c.needs), Spec: &SpecRecord{Class: name, Image: name, Zone: name, Types: c.types, Cpus: 1}}
		version, records := uint64(1), map[string]bool{}
		put := func(key string, raw json.RawMessage) error {
			if len(raw) > limit {
				t.Fatalf("%s: %s takes %d bytes", c.name, key, len(raw))
			}
			records[key] = true
			version++
			return cache.Apply(key, raw, version, false)
		}
		lost, _ := SplitDescription("job-900000", "1-1", &record, limit) // of a try that came to nothing
		parts, main := SplitDescription("job-900000", "2-1", &record, limit)
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
		job := cache.Job("job-900000")
		if !reflect.DeepEqual(job.Dependencies, c.needs) || !reflect.DeepEqual(job.Spec, record.Spec) || job.UnmetDependencies() != len(c.needs) {
			t.Fatalf("%s: read as %d needs and %d types", c.name, len(job.Dependencies), len(job.Spec.Types))
		}
		job.Suspect = true
		if err := put(JobKey(job.ID), Encode(cache.JobRecordOf(job, job.Done, 0, ""))); err != nil || cache.Job(job.ID) != job {
			t.Fatalf("%s: rewritten: %v", c.name, err)
		}
		for task := 0; task < c.tasks; task += 5000 { // part by part, as they are folded
			job.Done.Set(task)
			s, _ := cache.CompletionRecordOf(job, job.Done, task)
			if err := put(CompletionKey(job.ID, task), Encode(s)); err != nil || !job.SavedDone.Get(task) {
				t.Fatalf("%s: task %d is not kept: %v", c.name, task, err)
			}
		}
		if err := put(JobKey(job.ID), Encode(cache.JobRecordOf(job, job.Done, job.DoneCount, protocol.Cancelled))); err != nil {
			t.Fatal(err)
		}
		cache.Revision = version
		cache.Sweep()
		for range 1000 {
			stale := cache.StaleRecords(4, time.UnixMilli(5000))
			if len(stale) == 0 {
				break
			}
			for _, x := range stale {
				if version++; x.Version == 0 || cache.Apply(x.Key, nil, version, true) != nil {
					t.Fatalf("%s cannot be deleted", x.Key)
				}
				delete(records, x.Key)
			}
		}
		if f, _ := cache.FinalState(job.ID); len(records) != 1 || f != protocol.Cancelled {
			t.Errorf("%s: %d records are left of a job that is %q", c.name, len(records), f)
		}
	}
}
