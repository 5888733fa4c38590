package storage

import (
	"slices"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
)

// What a machine has fetched is known from the records alone; a task that was there too shortly has
// fetched nothing, and the size of an image outlives its jobs.
func TestImagesOfMachines(t *testing.T) {
	cache := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}}})
	cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 8, Gpus: 4, MemGB: 64, FetchGBs: 0.5, CacheGB: 50}}})
	rev := uint64(1)
	put := func(key string, v any) {
		rev++
		if err := cache.Apply(key, Encode(v), rev, false); err != nil {
			t.Fatal(err)
		}
	}
	for _, x := range []struct{ id, image string }{{"job-000001", "i"}, {"job-000002", "k"}, {"job-000003", "l"}} {
		put(JobKey(x.id), JobRecord{Tasks: 1, Team: "red", Spec: &SpecRecord{Class: "c", Cpus: 1, Mem: 1, Image: x.image, ImageGB: 5}})
	}
	put(GroupKey(0), GroupRecord{})
	put(FleetKey("m"), FleetRecord{Type: "t", Zone: "a", FencingToken: 3, Machines: []FleetMachine{{Name: "m"}}})
	rack := func(tasks ...PlacedTasks) {
		put(GroupKey(0), GroupRecord{Machines: []GroupMachine{{Name: "m", Incarnation: 1, Tasks: tasks}}})
	}
	since := func(id string, ago int64) PlacedTasks {
		return PlacedTasks{Job: id, Numbers: []uint64{0, 9, uint64(time.Now().Unix() - ago), 0}}
	}
	rack(since("job-000001", 60), since("job-000002", 5), since("job-000003", 60))
	rack(since("job-000003", 60))
	rack()
	m := cache.Machine("m")
	if want := []int{cache.Images.Find("i"), cache.Images.Find("l")}; !slices.Equal(m.Images, want) {
		t.Errorf("images %v, want %v", m.Images, want)
	}
	put(JobKey("job-000001"), JobRecord{Tasks: 1, Team: "red", Final: string(protocol.Done), DoneCount: 1})
	if gb := cache.ImageGB(cache.Images.Find("i")); cache.Job("job-000001") != nil || gb != 5 {
		t.Errorf("the job is known: %v, its image's size %v", cache.Job("job-000001") != nil, gb)
	}
}

// Sizes count what binds: a machine whose accelerators are all taken has idle CPUs that nobody can use.
func TestSizes(t *testing.T) {
	types := []protocol.MachineType{{Name: "cpu", Cpus: 16, MemGB: 64}, {Name: "gpu", Cpus: 48, Gpus: 8, MemGB: 384}}
	for _, x := range []struct {
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
		b := NewCache(&config.Settings{Deployment: config.Deployment{Controllers: 1, Teams: []config.Team{{Name: "red"}}}})
		x.spec.Class, x.spec.Image = "c", "i"
		if err := b.Apply(JobKey("job-000001"), Encode(JobRecord{Tasks: 1, Team: "red", Spec: &x.spec}), 2, false); err != nil {
			t.Fatal(err)
		}
		b.UpdateCatalog(&protocol.Catalog{Types: types})
		if got := b.Job("job-000001").Size; got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}
