package storage

import (
	"slices"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// TestMachineImagesFromRecords checks that a machine's image list follows from the records alone, that a
// task that was placed for too short a time adds no image, and that an image's size is kept after its
// jobs are pruned.
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
		t.Errorf("job in the cache: %v, image size %v GB, want false and 5", cache.Job("job-000001") != nil, size)
	}
}

// TestJobSizeUsesBindingResource checks that a task's size follows from the resource that limits how
// many tasks fit: a machine whose accelerators are all in use has no room, however many CPUs are idle.
func TestJobSizeUsesBindingResource(t *testing.T) {
	types := []protocol.MachineType{{Name: "cpu", Cpus: 16, MemGB: 64}, {Name: "gpu", Cpus: 48, Gpus: 8, MemGB: 384}}
	for _, test := range []struct {
		name string
		spec SpecRecord
		want float64
	}{
		{"CPUs limit", SpecRecord{Cpus: 4, Mem: 15}, 4},
		{"memory limits; the type with the smallest size counts", SpecRecord{Cpus: 2, Mem: 24}, 3},
		{"memory limits on the only allowed type", SpecRecord{Cpus: 2, Mem: 24, Types: []string{"cpu"}}, 6},
		{"accelerators limit", SpecRecord{Cpus: 4, Gpus: 1, Mem: 29}, 6},
		{"no type has room: requested CPUs", SpecRecord{Cpus: 99}, 99},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newTestCache(t, "red")
			test.spec.Class, test.spec.Image = "c", "i"
			applyRecord(t, cache, JobKey(testJob), JobRecord{Tasks: 1, Team: "red", Spec: &test.spec}, 2)
			cache.UpdateCatalog(&protocol.Catalog{Types: types})
			if got := cache.Job(testJob).TaskSize; got != test.want {
				t.Errorf("size %v, want %v", got, test.want)
			}
		})
	}
}
