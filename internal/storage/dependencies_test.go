package storage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// newGraphCache applies job records to a cache in the order of the steps. "b<a,c" submits job b, which
// depends on a and c; "a+" marks job a as done, "a-" as cancelled. The first step is at second 1, each
// further step a second later.
func newGraphCache(t *testing.T, steps ...string) (cache *Cache, job func(name string) *Job) {
	t.Helper()
	cache = newTestCache(t, "red")
	for i, step := range steps {
		revision := uint64(i + 1)
		applyRecord(t, cache, JobKey(graphJobID(step[:1])), graphRecord(step, 1000*int64(revision)), revision)
	}
	return cache, func(name string) *Job { return cache.Job(graphJobID(name)) }
}

// graphJobID returns the id of a job that a step of newGraphCache names by one character.
func graphJobID(name string) string { return "job-00000" + name }

func graphRecord(step string, atMs int64) JobRecord {
	record := JobRecord{Tasks: 1, Team: "red", SubmittedMs: atMs}
	switch {
	case len(step) > 1 && step[1] == '+':
		record.Final, record.DoneCount, record.FinalAtMs = "done", 1, atMs
	case len(step) > 1 && step[1] == '-':
		record.Final = "cancelled"
	default:
		var dependencies []string
		for i := 2; i < len(step); i += 2 {
			dependencies = append(dependencies, graphJobID(step[i:i+1]))
		}
		record.Spec, record.Dependencies = &SpecRecord{Cpus: 1, Image: "i", Estimate: 10}, PackIDs(dependencies)
	}
	return record
}

// TestDependencies checks a job's state after changes of its dependencies, in orders in which the
// records may be read.
func TestDependencies(t *testing.T) {
	cases := []struct {
		name        string
		steps       []string
		job         string
		ready       bool
		final       protocol.JobStatus // as reported to users
		readySecond int                // ReadyAt, in seconds
	}{
		{"waits", []string{"1", "2<1"}, "2", false, "", 2},
		{"ready once the last dependency is done", []string{"1", "2", "3<1,2", "2+", "1+"}, "3", true, "", 5},
		{"waits for the last dependency", []string{"1", "2", "3<1,2", "2+"}, "3", false, "", 4},
		{"dependency done before submission", []string{"1", "1+", "2<1"}, "2", true, "", 3},
		{"dependency cancelled", []string{"1", "2<1", "1-"}, "2", false, protocol.Cancelled, 2},
		{"indirect dependency cancelled", []string{"1", "2<1", "3<2", "4<3,1", "1-"}, "4", false, protocol.Cancelled, 4},
		{"dependency cancelled before submission", []string{"1", "1-", "2<1"}, "2", false, protocol.Cancelled, 3},
		{"indirect dependency cancelled before submission", []string{"1", "2<1", "1-", "3<2"}, "3", false, protocol.Cancelled, 4},
		{"diamond with one side cancelled", []string{"1", "2<1", "3<1", "4<2,3", "1+", "3-"}, "4", false, protocol.Cancelled, 4},
		{"diamond with one side cancelled, then the other done", []string{"1", "2<1", "3<1", "4<2,3", "1+", "3-", "2+"}, "4", false, protocol.Cancelled, 7},
		// Records are read in pages and in key order, so a job may be read before its dependencies.
		{"read before its dependency", []string{"3<4", "4"}, "3", false, "", 1},
		{"read before its dependency, which is done", []string{"3<4", "4+"}, "3", true, "", 2},
		{"read before its dependency, which is cancelled because of its own", []string{"3<4", "4<5", "5-"}, "3", false, protocol.Cancelled, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cache, find := newGraphCache(t, test.steps...)
			job := find(test.job)
			if job.Ready() != test.ready || !job.ReadyAt.Equal(time.UnixMilli(int64(test.readySecond)*1000)) {
				t.Errorf("ready %v, ReadyAt %v ms", job.Ready(), job.ReadyAt.UnixMilli())
			}
			if final, _ := cache.FinalState(job.ID); final != test.final {
				t.Errorf("final state %q, want %q", final, test.final)
			}
			becameReady := 0
			for _, ready := range cache.TakeNewlyReady() {
				if ready == job {
					becameReady++
				}
			}
			if (becameReady == 1) != test.ready || becameReady > 1 {
				t.Errorf("TakeNewlyReady returned the job %d times", becameReady)
			}
			if (job.Waiting() > 0) != test.ready {
				t.Errorf("%d tasks are waiting", job.Waiting())
			}
			if failed := slices.Contains(cache.JobsWithFailedDependency(), job); failed != (test.final == protocol.Cancelled) {
				t.Errorf("job is in JobsWithFailedDependency: %v", failed)
			}
		})
	}
}

// TestDependenciesInAnyOrder checks that the result does not depend on the order in which the records
// of a dependency graph are read.
func TestDependenciesInAnyOrder(t *testing.T) {
	steps := []string{"1", "2<1", "3<1", "4<2,3", "5<4", "6", "7<6,5", "8<7", "9<6"}
	ends := []string{"1+", "", "", "", "", "6-", "", "", ""}
	random := rand.New(rand.NewPCG(9, 9))
	want := ""
	for range 200 {
		order := random.Perm(len(steps))
		var list []string
		for _, i := range order { // a final job's open record may not be read at all
			if ends[i] == "" || random.IntN(2) == 0 {
				list = append(list, steps[i])
			}
		}
		for _, i := range random.Perm(len(steps)) {
			if ends[i] != "" {
				list = append(list, ends[i])
			}
		}
		got := describeGraph(t, steps, list)
		if want == "" {
			want = got
		} else if got != want {
			t.Fatalf("steps %v:\ngot  %s\nwant %s", list, got, want)
		}
	}
}

// describeGraph applies steps in the given order and returns a description of each job's state.
func describeGraph(t *testing.T, steps, order []string) string {
	t.Helper()
	cache, find := newGraphCache(t, order...)
	description := ""
	for _, step := range steps {
		name := step[:1]
		final, _ := cache.FinalState(graphJobID(name))
		description += fmt.Sprint(final, " ")
		if job := find(name); job != nil && final == "" {
			description += fmt.Sprint(job.Ready(), job.UnmetDependencies(), ";")
		}
	}
	return description
}

// TestInherit checks that jobs inherit priorities and finish times from their dependents while these
// are open.
func TestInherit(t *testing.T) {
	cache, job := newGraphCache(t, "1", "2<1", "3<1", "4<2,3", "5<1")
	due := map[string]time.Duration{"job-000004": 100 * time.Second, "job-000005": 200 * time.Second}
	inherit := func() {
		cache.InheritFromDependents(func(j *Job) (time.Time, time.Time) {
			if d := due[j.ID]; d > 0 {
				return j.Submitted.Add(d), j.Submitted.Add(d * 3 / 2)
			}
			return time.Time{}, time.Time{}
		}, func(*Job) time.Duration { return 10 * time.Second })
	}
	job("4").OwnPriority, job("2").OwnPriority = protocol.High, protocol.Low
	cache.dependencies.changed = true
	inherit()
	for name, wantSecond := range map[string]int{"4": 104, "3": 94, "2": 94, "1": 84} {
		j := job(name)
		if j.Priority != protocol.High || !j.TargetFinish.Equal(time.UnixMilli(int64(wantSecond)*1000)) {
			t.Errorf("job %s has priority %v and TargetFinish %d ms", name, j.Priority, j.TargetFinish.UnixMilli())
		}
	}
	if j := job("5"); j.Priority != protocol.Low || j.LatestFinish.UnixMilli() != 305_000 {
		t.Errorf("job 5 has priority %v and LatestFinish %d ms", j.Priority, j.LatestFinish.UnixMilli())
	}
	// The dependencies of a cancelled job no longer inherit from it.
	if err := cache.Apply(JobKey("job-000004"), Encode(JobRecord{Tasks: 1, Team: "red", Final: "cancelled"}), 99, false); err != nil {
		t.Fatal(err)
	}
	inherit()
	if j := job("2"); j.Priority != protocol.Low || !j.TargetFinish.IsZero() {
		t.Errorf("job 2 still has priority %v and TargetFinish %v", j.Priority, j.TargetFinish)
	}
	if j := job("1"); j.Priority != protocol.Low || j.TargetFinish.UnixMilli() != 195_000 {
		t.Errorf("job 1 has priority %v and TargetFinish %v ms", j.Priority, j.TargetFinish.UnixMilli())
	}
}
