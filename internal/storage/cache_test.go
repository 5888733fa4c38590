package storage

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// newTestCache returns an empty cache for a deployment with one controller, zone a and the given teams.
func newTestCache(t *testing.T, teams ...string) *Cache {
	t.Helper()
	deployment := config.Deployment{Controllers: 1, Zones: []string{"a"}}
	for _, name := range teams {
		deployment.Teams = append(deployment.Teams, config.Team{Name: name})
	}
	return NewCache(&config.Settings{Deployment: deployment})
}

// applyRecord applies a record and fails the test if the cache rejects it.
func applyRecord(t *testing.T, cache *Cache, key string, record any, revision uint64) {
	t.Helper()
	if err := cache.Apply(key, Encode(record), revision, false); err != nil {
		t.Fatal(err)
	}
}

const (
	testJob     = "job-000001"
	testMachine = "m"
)

// cacheChange is a record change in TestCache.
type cacheChange struct {
	key       string
	value     json.RawMessage // nil: deleted
	revision  uint64
	wantError bool
	sweepAt   uint64 // the cache's revision when PruneFinalJobs is called after the change; 0: PruneFinalJobs is not called
}

// jobChange writes the record of the test job, which has two tasks.
func jobChange(revision uint64, final string) cacheChange {
	record := JobRecord{Spec: &SpecRecord{Cpus: 2, Mem: 1, Image: "i"}, Tasks: 2, Team: "red", Final: final}
	return cacheChange{key: JobKey(testJob), value: Encode(record), revision: revision}
}

// groupChange writes a group record with the given tasks (as PlacedTasks.Numbers) of the test job on
// the test machine.
func groupChange(revision uint64, numbers ...uint64) cacheChange {
	return cacheChange{key: GroupKey(0), value: encodeTestGroup(numbers...), revision: revision}
}

func encodeTestGroup(numbers ...uint64) json.RawMessage {
	record := GroupRecord{}
	if len(numbers) > 0 {
		record.Machines = []GroupMachine{{Name: testMachine, Tasks: []PlacedTasks{{testJob, numbers}}}}
	}
	return Encode(record)
}

func (c cacheChange) expectError() cacheChange {
	c.wantError = true
	return c
}

func (c cacheChange) thenSweepAt(revision uint64) cacheChange {
	c.sweepAt = revision
	return c
}

// TestCache applies changes in orders in which a controller may receive them, which are not always the
// order in which they were committed.
func TestCache(t *testing.T) {
	doneRecord := Encode(JobRecord{Tasks: 2, Team: "red", Final: "done", DoneCount: 2})
	completedRecord := Encode(GroupRecord{Completed: []CompletedTasks{{testJob, []int{1}}}})
	cases := []struct {
		name       string
		changes    []cacheChange
		wantFinal  protocol.JobStatus
		wantPlaced int
		wantCpus   float64
	}{
		{"placed", []cacheChange{
			jobChange(1, ""),
			groupChange(2, 0, 9, 0, 0, 1, 9, 0, 0),
		}, "", 2, 4},
		{"a stale change is dropped", []cacheChange{
			jobChange(1, ""),
			groupChange(3),
			groupChange(2, 0, 9, 0, 0),
		}, "", 0, 0},
		{"done stays done", []cacheChange{
			{key: JobKey(testJob), value: doneRecord, revision: 5},
			jobChange(1, ""),
		}, protocol.Done, 0, 0},
		{"placed tasks of a cancelled job still count", []cacheChange{
			jobChange(1, ""),
			groupChange(2, 0, 9, 0, 0),
			jobChange(3, "cancelled").thenSweepAt(3),
		}, protocol.Cancelled, 1, 2},
		// The controller cancelled the job itself and then receives an older placement from the watch.
		{"a cancelled job is kept until the watch reaches its final record", []cacheChange{
			jobChange(1, ""),
			jobChange(3, "cancelled").thenSweepAt(1),
			groupChange(2, 0, 9, 0, 0),
		}, protocol.Cancelled, 1, 2},
		{"deleting a machine removes its placements", []cacheChange{
			jobChange(1, ""),
			groupChange(2, 0, 9, 0, 0),
			{key: FleetKey(testMachine), revision: 3},
		}, "", 0, 0},
		{"a task stays completed when its group no longer lists it", []cacheChange{
			jobChange(1, ""),
			{key: GroupKey(0), value: completedRecord, revision: 2},
			groupChange(3, 0, 9, 0, 0),
		}, "", 1, 2},
		// A full read takes several pages, so a group may be newer than the jobs that were read before it.
		{"a group that names an unknown job is accepted when it is read again", []cacheChange{
			groupChange(4, 0, 9, 0, 0).expectError(),
			jobChange(3, ""),
			groupChange(4, 0, 9, 0, 0),
		}, "", 1, 2},
		{"the barrier key that blocks versions without the packed layout is accepted", []cacheChange{
			jobChange(1, ""),
			{key: BarrierKey, value: encodeTestGroup(), revision: 2},
		}, "", 0, 0},
		{"a record of a foreign layout is rejected", []cacheChange{
			jobChange(1, ""),
			{key: Root + "machine/m", value: encodeTestGroup(), revision: 2, wantError: true},
		}, "", 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			applyRecord(t, cache, FleetKey(testMachine), FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: testMachine}}}, 1)
			for _, change := range test.changes {
				err := cache.Apply(change.key, change.value, change.revision, change.value == nil)
				if (err != nil) != change.wantError {
					t.Fatalf("%s: unexpected result: %v", change.key, err)
				}
				if change.sweepAt > 0 {
					cache.Revision = change.sweepAt
					cache.PruneFinalJobs()
				}
			}
			if final, _ := cache.FinalState(testJob); final != test.wantFinal {
				t.Errorf("final state %q, want %q", final, test.wantFinal)
			}
			placed := 0
			if job := cache.Job(testJob); job != nil {
				placed = job.PlacedCount
			}
			if placed != test.wantPlaced || cache.TeamUsage[0].Cpus != test.wantCpus {
				t.Errorf("%d tasks placed using %v CPUs, want %d using %v", placed, cache.TeamUsage[0].Cpus, test.wantPlaced, test.wantCpus)
			}
		})
	}
}

// recountTask identifies a task in TestDerivedCountsMatchRecords, by job and task number.
type recountTask struct{ job, task int }

// recountModel holds the tasks that TestDerivedCountsMatchRecords has placed and completed; the group
// records are written from it.
type recountModel struct {
	random    *rand.Rand
	machineOf map[recountTask]int
	completed map[recountTask]bool // true: completed, never placed again
}

const (
	recountMachines = 12
	recountGroups   = 3
	recountJobs     = 6
	recountTasks    = 20 // of each job
)

// TestDerivedCountsMatchRecords applies random changes of machine groups and compares the counts that
// the cache maintains with a full recount of the machines' tasks.
func TestDerivedCountsMatchRecords(t *testing.T) {
	cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a", "z"}, Teams: []config.Team{{Name: "red"}, {Name: "blue"}}}})
	for i := range recountJobs {
		record := JobRecord{Tasks: recountTasks, Team: []string{"red", "blue"}[i%2], Spec: &SpecRecord{Cpus: float64(1 + i), Image: "i"}}
		applyRecord(t, cache, JobKey(fmt.Sprint("j", i)), record, 1)
	}
	for first, zone := range []string{"a", "z"} {
		fleet := FleetRecord{Type: "t", Zone: zone}
		for i := first; i < recountMachines; i += 2 {
			fleet.Machines = append(fleet.Machines, FleetMachine{Name: fmt.Sprint("m", i), Group: i % recountGroups})
		}
		applyRecord(t, cache, FleetKey(zone), fleet, 2)
	}
	model := &recountModel{random: rand.New(rand.NewPCG(4, 2)), machineOf: map[recountTask]int{}, completed: map[recountTask]bool{}}
	for revision := uint64(3); revision < 400; revision++ {
		group := model.random.IntN(recountGroups)
		applyRecord(t, cache, GroupKey(group), model.changeGroup(group, revision), revision)
		checkCounts(t, cache, revision)
	}
}

// changeGroup ends and starts random tasks on a group's machines and returns the group's record.
func (m *recountModel) changeGroup(group int, revision uint64) GroupRecord {
	record := GroupRecord{}
	for machine := group; machine < recountMachines; machine += recountGroups {
		record.Machines = append(record.Machines, m.changeMachine(machine, revision))
	}
	for placed := range m.completed {
		if m.completed[placed] && placed.job%recountGroups == group {
			record.Completed = append(record.Completed, CompletedTasks{fmt.Sprint("j", placed.job), []int{placed.task}})
		}
	}
	return record
}

func (m *recountModel) changeMachine(machine int, revision uint64) GroupMachine {
	for placed, on := range m.machineOf {
		if on == machine && m.random.IntN(3) == 0 {
			delete(m.machineOf, placed)
			m.completed[placed] = m.completed[placed] || m.random.IntN(2) == 0
		}
	}
	for range m.random.IntN(3) {
		placed := recountTask{m.random.IntN(recountJobs), m.random.IntN(recountTasks)}
		if _, ok := m.machineOf[placed]; !ok && !m.completed[placed] {
			m.machineOf[placed] = machine
		}
	}
	entry := GroupMachine{Name: fmt.Sprint("m", machine)}
	for placed, on := range m.machineOf {
		if on == machine {
			entry.Tasks = append(entry.Tasks, PlacedTasks{fmt.Sprint("j", placed.job), []uint64{uint64(placed.task), revision, 0, 0}})
		}
	}
	return entry
}

// checkCounts compares a cache's counts with a recount of its machines' tasks.
func checkCounts(t *testing.T, cache *Cache, revision uint64) {
	t.Helper()
	var used [2]float64
	placed := make([]int, recountJobs)
	for _, group := range cache.Groups {
		for _, machine := range group.Machines {
			for _, task := range machine.Tasks {
				used[task.Job.Team] += task.Job.Cpus
				placed[task.Job.Index]++
				if on := task.Job.MachineOf[task.Task]; on != machine.Index {
					t.Fatalf("revision %d: MachineOf of %s/%d is %d, want %d", revision, task.Job.ID, task.Task, on, machine.Index)
				}
			}
		}
	}
	for team, cpus := range used {
		if math.Abs(cpus-cache.TeamUsage[team].Cpus) > 1e-6 {
			t.Fatalf("revision %d: team %d uses %v CPUs, recount gives %v", revision, team, cache.TeamUsage[team].Cpus, cpus)
		}
	}
	for i, job := range cache.Jobs {
		inZones := int32(0)
		for _, tasks := range job.PlacedByZone {
			inZones += tasks
		}
		if job.PlacedCount != placed[i] || int(inZones) != placed[i] || job.DoneCount != job.Done.Count() {
			t.Fatalf("revision %d: %s has %d tasks placed, %d by zone, %d done; recount gives %d placed, %d done", revision, job.ID, job.PlacedCount, inZones, job.DoneCount, placed[i], job.Done.Count())
		}
	}
}

// TestCompletedTasksCountedOnce applies a job's final record before the group record that lists its
// completed tasks. The final record counts them already; counting them again reported a job of two
// tasks as done with four.
func TestCompletedTasksCountedOnce(t *testing.T) {
	cache := newTestCache(t, "red")
	for i, change := range []struct {
		key    string
		record any
	}{
		{FleetKey(testMachine), FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: testMachine}}}},
		{JobKey(testJob), JobRecord{Spec: &SpecRecord{Cpus: 1}, Tasks: 2, Team: "red"}},
		{GroupKey(0), GroupRecord{Machines: []GroupMachine{{Name: testMachine, Tasks: []PlacedTasks{{testJob, []uint64{0, 5, 0, 0}}}}}}},
		{JobKey(testJob), JobRecord{Tasks: 2, DoneCount: 2, Team: "red", Final: "done"}},
		{GroupKey(0), GroupRecord{Completed: []CompletedTasks{{testJob, []int{0, 1}}}}},
	} {
		applyRecord(t, cache, change.key, change.record, uint64(i+1))
	}
	if _, tasks := cache.FinalState(testJob); tasks != 2 {
		t.Errorf("done with %d of 2 tasks", tasks)
	}
}

// TestDropUnseenKeepsNewerRecords guards against records that are lost for good: a controller that read all records
// again dropped those that it had written itself during the read, and then also the watch's copies of them.
func TestDropUnseenKeepsNewerRecords(t *testing.T) {
	const readRevision = 5
	chunk := chunkKey(chunkedJob, "1-1", 0)
	for _, test := range []struct {
		name   string
		key    string
		record any
		inUse  func(*Cache) bool
	}{
		{"shard", ShardKey(0), ShardRecord{Member: "n"}, func(c *Cache) bool { return c.Shards[0].Member == "n" }},
		{"victim set", VictimSetKey(testJob), VictimSetRecord{}, func(c *Cache) bool { return c.VictimSets[testJob] != nil }},
		{"fleet", FleetKey("f"), FleetRecord{Type: "t", Zone: "a", Machines: []FleetMachine{{Name: "f"}}},
			func(c *Cache) bool { return c.machines.find("f").exists }},
		{"chunk", chunk, chunkRecord{Text: "t"}, func(c *Cache) bool { return c.descriptions.revision(chunkedJob+"/1-1", 0) > 0 }},
		{"completion set", CompletionKey(testJob, 0), CompletionRecord{}, func(c *Cache) bool { return c.completions.revision(testJob, 0) > 0 }},
	} {
		for revision, kept := range map[uint64]bool{readRevision: false, readRevision + 2: true} {
			t.Run(fmt.Sprint(test.name, " at revision ", revision), func(t *testing.T) {
				cache := newTestCache(t, "red")
				applyRecord(t, cache, test.key, test.record, revision)
				if err := cache.DropUnseen(map[string]bool{}, readRevision); err != nil {
					t.Fatal(err)
				}
				if test.inUse(cache) != kept {
					t.Errorf("in use: %v, want %v", !kept, kept)
				}
				applyRecord(t, cache, test.key, test.record, readRevision+2)
				if !test.inUse(cache) {
					t.Error("the watch's copy was dropped")
				}
			})
		}
	}
}
