package storage

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

const (
	// chunkedJob is the id of the test job with a chunked description.
	chunkedJob = "job-900000"
	// recordLimit is the maximum size of a record in limitedStore, in bytes.
	recordLimit = 2 << 10
)

// limitedStore imitates a state service with a record size limit and applies its changes to a cache.
type limitedStore struct {
	cache    *Cache
	revision uint64
	keys     map[string]bool // of the existing records
}

func (s *limitedStore) put(t *testing.T, key string, value json.RawMessage) error {
	t.Helper()
	if len(value) > recordLimit {
		t.Fatalf("record %s has %d bytes, more than the limit", key, len(value))
	}
	s.keys[key] = true
	s.revision++
	return s.cache.Apply(key, value, s.revision, false)
}

func (s *limitedStore) mustPut(t *testing.T, key string, value json.RawMessage) {
	t.Helper()
	if err := s.put(t, key, value); err != nil {
		t.Fatalf("%s: %v", key, err)
	}
}

// deleteStale deletes the records that the cache reports as stale, up to four at a time.
func (s *limitedStore) deleteStale(t *testing.T) {
	t.Helper()
	for range 1000 {
		stale := s.cache.StaleRecords(4, time.UnixMilli(5000))
		if len(stale) == 0 {
			return
		}
		for _, record := range stale {
			if s.revision++; record.Version == 0 || s.cache.Apply(record.Key, nil, s.revision, true) != nil {
				t.Fatalf("record %s has no version or its deletion was rejected", record.Key)
			}
			delete(s.keys, record.Key)
		}
	}
}

// TestChunkedDescriptionLifecycle accepts, rewrites, completes and cancels jobs with the longest
// descriptions that the protocol allows; no record may exceed 2 KiB.
func TestChunkedDescriptionLifecycle(t *testing.T) {
	var ids, types []string
	for i := range 4500 {
		ids = append(ids, fmt.Sprintf("job-%06d", i*37))
	}
	for i := range 400 {
		types = append(types, strings.Repeat(fmt.Sprint(i, "<>\"&"), 30)[:120])
	}
	cases := []struct {
		name         string
		tasks        int
		dependencies []string
		types        []string
	}{
		{"many dependencies", 3, ids, nil},
		{"many types", 100_000, nil, types},
		{"both", 1, ids[:2000], types[:200]},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			name := strings.Repeat("n", 128)
			spec := &SpecRecord{Class: name, Image: name, Zone: name, Types: test.types, Cpus: 1}
			record := &JobRecord{Tasks: test.tasks, Team: "red", SubmittedMs: 5000, Dependencies: PackIDs(test.dependencies), Spec: spec}
			store := &limitedStore{cache: newTestCache(t, "red"), revision: 1, keys: map[string]bool{}}
			store.cache.Layout.Version = LayoutPacked
			job := acceptOnSecondAttempt(t, store, record)
			if !reflect.DeepEqual(job.Dependencies, test.dependencies) || !reflect.DeepEqual(job.Spec, spec) || job.UnmetDependencies() != len(test.dependencies) {
				t.Fatalf("job differs from its record: %d dependencies and %d types", len(job.Dependencies), len(job.Spec.Types))
			}
			rewriteAndComplete(t, store, job)
			store.cache.Revision = store.revision
			store.cache.PruneFinalJobs()
			store.deleteStale(t)
			if final, _ := store.cache.FinalState(job.ID); len(store.keys) != 1 || final != protocol.Cancelled {
				t.Errorf("%d records left and final state %q, want 1 record of a cancelled job", len(store.keys), final)
			}
		})
	}
}

// acceptOnSecondAttempt writes the chunks of two attempts to accept a job, and the job record of the
// second.
func acceptOnSecondAttempt(t *testing.T, store *limitedStore, record *JobRecord) *Job {
	t.Helper()
	lostChunks, _ := SplitDescription(chunkedJob, "1-1", record, recordLimit)
	chunks, main := SplitDescription(chunkedJob, "2-1", record, recordLimit)
	if err := store.put(t, JobKey(chunkedJob), main); err == nil {
		t.Fatal("job record accepted without its chunks")
	}
	for _, chunk := range append(lostChunks, chunks...) {
		store.mustPut(t, chunk.Put, chunk.Value)
	}
	store.mustPut(t, JobKey(chunkedJob), main)
	return store.cache.Job(chunkedJob)
}

// rewriteAndComplete rewrites a job's record, completes one task in each of its completion sets and
// cancels the job.
func rewriteAndComplete(t *testing.T, store *limitedStore, job *Job) {
	t.Helper()
	job.Suspect = true
	store.mustPut(t, JobKey(job.ID), Encode(store.cache.JobRecordOf(job, job.Done, 0, "")))
	if store.cache.Job(job.ID) != job {
		t.Fatal("rewriting the job record created another job")
	}
	for task := 0; task < job.Tasks; task += 5000 {
		job.Done.Set(task)
		record, _ := store.cache.CompletionRecordOf(job, job.Done, task)
		store.mustPut(t, CompletionKey(job.ID, task), Encode(record))
		if !job.SavedDone.Get(task) {
			t.Fatalf("completed task %d is not in SavedDone", task)
		}
	}
	store.mustPut(t, JobKey(job.ID), Encode(store.cache.JobRecordOf(job, job.Done, job.DoneCount, protocol.Cancelled)))
}

// TestStaleChunks checks that chunks are stale only if no job record names them or may still do so.
func TestStaleChunks(t *testing.T) {
	writtenAt := time.UnixMilli(5000)
	record := &JobRecord{Tasks: 1, Team: "red", SubmittedMs: writtenAt.UnixMilli(), Spec: &SpecRecord{Cpus: 1, Class: "c"}}
	chunks, main := SplitDescription(chunkedJob, "1-1", record, chunkOverheadBytes+16)
	cases := []struct {
		name      string
		accept    bool // write the job record that names the chunks of attempt 1-1
		attempt   string
		age       time.Duration
		wantStale bool
	}{
		{"job record not written yet", false, "1-1", abandonedChunkAge - time.Second, false},
		{"abandoned", false, "1-1", abandonedChunkAge, true},
		{"named by an open job", true, "1-1", 2 * abandonedChunkAge, false},
		{"of a lost attempt", true, "2-1", 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			key := chunkKey(chunkedJob, test.attempt, 0)
			applyRecord(t, cache, key, chunkRecord{Text: "t", WrittenAtMs: writtenAt.UnixMilli()}, 1)
			if test.accept {
				for _, chunk := range chunks {
					applyRecord(t, cache, chunk.Put, chunk.Value, 2)
				}
				applyRecord(t, cache, JobKey(chunkedJob), main, 3)
			}
			stale := cache.StaleRecords(10, writtenAt.Add(test.age))
			if test.wantStale != (len(stale) == 1) || len(stale) > 1 {
				t.Fatalf("stale records: %v", stale)
			}
			if test.wantStale && (stale[0] != protocol.Condition{Key: key, Version: 1}) {
				t.Errorf("stale record %v, want %s", stale[0], key)
			}
		})
	}
}

// cancelledChunkedJob returns the chunks of a job's description and the job's records while it is open and once it is
// cancelled.
func cancelledChunkedJob(record *JobRecord) (chunks []protocol.Change, open, cancelled json.RawMessage) {
	chunks, open = SplitDescription(chunkedJob, "1-1", record, chunkOverheadBytes+16)
	final := *record
	final.Spec, final.ChunkSet, final.ChunkCount, final.Final = nil, "1-1", len(chunks), string(protocol.Cancelled)
	return chunks, open, Encode(final)
}

// TestGroupsReferToCancelledChunkedJob guards against tasks that start a second time and against a shard whose
// transactions all fail: the final record of a cancelled job with a chunked description has no description of its own,
// so the job was dropped although a task of it was placed, and the machine group's record, which lists the tasks of
// other jobs too, was rejected.
func TestGroupsReferToCancelledChunkedJob(t *testing.T) {
	const otherJob = "job-900001"
	record := &JobRecord{Tasks: 1, Team: "red", SubmittedMs: 5000, Spec: &SpecRecord{Cpus: 1, Class: "c"}}
	chunks, open, cancelled := cancelledChunkedJob(record)
	tasks := []PlacedTasks{{chunkedJob, []uint64{0, 9, 0, 0}}, {otherJob, []uint64{0, 8, 0, 0}}}
	group := Encode(GroupRecord{Machines: []GroupMachine{{Name: testMachine, Tasks: tasks}}})
	const openRevision, groupRevision, finalRevision = 3, 4, 5
	for _, test := range []struct {
		name     string
		knowsJob bool // the open job is in the cache when its final record is applied
	}{
		{"a controller reads the records after a restart", false},
		{"the owner cancels the job before it has the answer to the placement", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			apply := func(key string, value json.RawMessage, revision uint64) {
				t.Helper()
				if err := cache.Apply(key, value, revision, false); err != nil {
					t.Fatal(err)
				}
				cache.PruneFinalJobs()
			}
			apply(FleetKey(testMachine), Encode(FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: testMachine}}}), 1)
			apply(JobKey(otherJob), Encode(record), 1)
			for _, chunk := range chunks {
				apply(chunk.Put, chunk.Value, 2)
			}
			if test.knowsJob {
				apply(JobKey(chunkedJob), open, openRevision)
			}
			apply(JobKey(chunkedJob), cancelled, finalRevision)
			apply(GroupKey(0), group, groupRevision)
			cache.Revision = finalRevision
			cache.PruneFinalJobs()
			if placed := cache.Job(otherJob).PlacedCount; placed != 1 || cache.Job(chunkedJob) == nil || cache.TeamUsage[0].Cpus != 2 {
				t.Fatalf("%d tasks of the other job placed, %v CPUs used, want 1 and 2", placed, cache.TeamUsage[0].Cpus)
			}
			apply(GroupKey(0), Encode(GroupRecord{}), finalRevision+1)
			if final, _ := cache.FinalState(chunkedJob); cache.Job(chunkedJob) != nil || final != protocol.Cancelled {
				t.Errorf("job kept without a placed task, or final state %q", final)
			}
		})
	}
}

// TestFinalJobWithoutChunks guards against a machine group's record that is rejected because the chunks of a cancelled
// job were read after its final record, or were deleted by an earlier version although the job's task was placed.
func TestFinalJobWithoutChunks(t *testing.T) {
	chunks, open, cancelled := cancelledChunkedJob(&JobRecord{Tasks: 1, Team: "red", SubmittedMs: 5000, Spec: &SpecRecord{Cpus: 2, Class: "c"}})
	const openRevision, placedRevision, finalRevision = 3, 4, 5
	type step struct {
		key      string
		value    json.RawMessage
		revision uint64
	}
	final := step{JobKey(chunkedJob), cancelled, finalRevision}
	group := step{GroupKey(0), Encode(GroupRecord{Machines: []GroupMachine{{Name: testMachine,
		Tasks: []PlacedTasks{{chunkedJob, []uint64{0, 9, 0, 0}}}}}}), placedRevision}
	var watch []step
	for i, chunk := range chunks {
		watch = append(watch, step{chunk.Put, chunk.Value, uint64(2 + i)})
	}
	watch = append(watch, step{JobKey(chunkedJob), open, openRevision}, group, final)
	for _, test := range []struct {
		name       string
		read       []step // the full read
		watch      []step // what the watch delivers after it
		wantPlaced int
		wantCpus   float64
	}{
		{"its task is placed", []step{final, group}, nil, 1, 0},
		{"its task is placed, the watch delivers its chunks", []step{final, group}, watch, 1, 2},
		{"the watch delivers its chunks and its placement", []step{final}, watch, 1, 2},
		{"the watch delivers its chunks, its placement is read later", []step{final}, append(slices.Clone(watch[:len(chunks)]), final, group), 1, 2},
		{"no task is placed", []step{final}, nil, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			cache.ReadRevision = finalRevision
			applyRecord(t, cache, FleetKey(testMachine), FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: testMachine}}}, 1)
			for _, step := range append(test.read, test.watch...) {
				if err := cache.Apply(step.key, step.value, step.revision, false); err != nil {
					t.Fatal(err)
				}
				cache.PruneFinalJobs()
				if status, _ := cache.FinalState(chunkedJob); status != protocol.Cancelled {
					t.Fatalf("final state %q after %s", status, step.key)
				}
			}
			cache.Revision = finalRevision
			cache.PruneFinalJobs()
			placed := 0
			if job := cache.Job(chunkedJob); job != nil {
				placed = job.PlacedCount
			}
			if placed != test.wantPlaced || cache.TeamUsage[0].Cpus != test.wantCpus {
				t.Errorf("%d tasks placed using %v CPUs, want %d using %v", placed, cache.TeamUsage[0].Cpus, test.wantPlaced, test.wantCpus)
			}
			if status, _ := cache.FinalState(chunkedJob); status != protocol.Cancelled {
				t.Errorf("final state %q", status)
			}
		})
	}
}
