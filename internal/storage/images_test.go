package storage

import (
	"slices"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// TestMachineImagesFromRecords: what a machine has fetched is known from the records alone; a task that was
// there too shortly has fetched nothing, and the size of an image outlives its jobs.
func TestMachineImagesFromRecords(t *testing.T) {
	cache := newTestCache(t, "red")
	cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, Gpus: 4, MemGB: 64, FetchGBs: 0.5, CacheGB: 50}}})
	revision := uint64(1)
	put := func(key string, record any) {
		t.Helper()
		revision++
		applyRecord(t, cache, key, record, revision)
	}
	for _, job := range []struct{ id, image string }{{"job-000001", "i"}, {"job-000002", "k"}, {"job-000003", "l"}} {
		put(JobKey(job.id), JobRecord{Tasks: 1, Team: "red", Spec: &SpecRecord{Class: "c", Cpus: 1, Mem: 1, Image: job.image, ImageGB: 5}})
	}
	put(GroupKey(0), GroupRecord{})
	put(FleetKey(testMachine), FleetRecord{Type: "t", Zone: "a", FencingToken: 3, Machines: []FleetMachine{{Name: testMachine}}})
	place := func(tasks ...PlacedTasks) {
		t.Helper()
		put(GroupKey(0), GroupRecord{Machines: []GroupMachine{{Name: testMachine, Incarnation: 1, Tasks: tasks}}})
	}
	placedBefore := func(id string, seconds int64) PlacedTasks {
		return PlacedTasks{Job: id, Numbers: []uint64{0, 9, uint64(time.Now().Unix() - seconds), 0}}
	}
	place(placedBefore("job-000001", 60), placedBefore("job-000002", 5), placedBefore("job-000003", 60))
	place(placedBefore("job-000003", 60))
	place()
	machine := cache.Machine(testMachine)
	if want := []int{cache.Images.Find("i"), cache.Images.Find("l")}; !slices.Equal(machine.Images, want) {
		t.Errorf("images %v, want %v", machine.Images, want)
	}
	put(JobKey("job-000001"), JobRecord{Tasks: 1, Team: "red", Final: string(protocol.Done), DoneCount: 1})
	if size := cache.ImageGB(cache.Images.Find("i")); cache.Job("job-000001") != nil || size != 5 {
		t.Errorf("the job is known: %v, its image's size %v", cache.Job("job-000001") != nil, size)
	}
}

// TestJobSizeUsesBindingResource: sizes count what binds, since a machine whose accelerators are all taken has idle CPUs
// that nobody can use.
func TestJobSizeUsesBindingResource(t *testing.T) {
	types := []protocol.MachineType{{Name: "cpu", Cpus: 16, MemGB: 64}, {Name: "gpu", Cpus: 48, Gpus: 8, MemGB: 384}}
	for _, test := range []struct {
		name string
		spec SpecRecord
		want float64
	}{
		{"CPUs bind", SpecRecord{Cpus: 4, Mem: 15}, 4},
		{"memory binds on the smaller, so the larger counts", SpecRecord{Cpus: 2, Mem: 24}, 3},
		{"memory binds where it may run", SpecRecord{Cpus: 2, Mem: 24, Types: []string{"cpu"}}, 6},
		{"accelerators bind", SpecRecord{Cpus: 4, Gpus: 1, Mem: 29}, 6},
		{"no type has room: its own CPUs", SpecRecord{Cpus: 99}, 99},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			test.spec.Class, test.spec.Image = "c", "i"
			applyRecord(t, cache, JobKey(testJob), JobRecord{Tasks: 1, Team: "red", Spec: &test.spec}, 2)
			cache.UpdateCatalog(&protocol.Catalog{Types: types})
			if got := cache.Job(testJob).Size; got != test.want {
				t.Errorf("size %v, want %v", got, test.want)
			}
		})
	}
}
