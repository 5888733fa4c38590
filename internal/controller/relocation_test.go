package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestTasksStoppedOnDrainingMachine guards against stopping tasks on draining machines that would have
// ended about as soon where they were: they fetched their images again elsewhere, and their jobs
// were late.
func TestTasksStoppedOnDrainingMachine(t *testing.T) {
	for _, test := range []struct {
		name      string
		estimateS float64
		ranS      int64
		age       time.Duration
		want      bool
	}{
		{"much of the run is left, and the job can still be in time", 100, 10, 20 * time.Second, true},
		{"it would end about as soon where it is", 100, 80, 90 * time.Second, false},
		{"stopping it would make its job late", 100, 10, 75 * time.Second, false},
		{"its job is late already", 100, 10, 300 * time.Second, true},
		{"it has run longer than estimated", 100, 130, 10 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCore(t)
			c.cfg.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 180}}
			c.cache.Types[0].FetchGBPerSecond = 0.25
			now := time.Now()
			job := c.cache.Job("job-000001")
			job.Estimate, job.CheckpointCost, job.CheckpointInterval = test.estimateS, 3, 15
			job.ImageGB, job.ReadyAt = 5, now.Add(-test.age)
			machine := c.cache.Machine("m")
			placed := storage.PlacedTask{Job: job, PlacedAt: now.Unix() - test.ranS}
			if got := c.stopsForDrain(machine, c.workerState(machine), placed, now); got != test.want {
				t.Errorf("task is stopped: %v, want %v", got, test.want)
			}
		})
	}
}

// placeService applies the record of a service to a controller's cache, and places its first
// replicas on the named machines.
func placeService(t *testing.T, controller *Controller, id string, tasks int, on ...string) *storage.Job {
	t.Helper()
	controller.follower.highestRevision++
	revision := controller.follower.highestRevision
	if err := controller.cache.Apply(storage.JobKey(id), storage.Encode(storage.JobRecord{Tasks: tasks, Team: "red",
		Spec: &storage.SpecRecord{Class: "s", Shape: uint8(protocol.Service), Priority: 3, Cpus: 4, Mem: 1, Image: "serve", ImageGB: 8, Spread: true}}), revision, false); err != nil {
		t.Fatal(err)
	}
	job := controller.cache.Job(id)
	job.PlacedByZone = make([]int32, 3)
	for task, name := range on {
		machine := controller.cache.Machine(name)
		machine.Tasks = append(machine.Tasks, storage.PlacedTask{Job: job, Task: task, Attempt: revision})
		job.MachineOf[task], job.AttemptOf[task], job.PlacedCount = machine.Index, revision, job.PlacedCount+1
		job.PlacedByZone[machine.Zone]++
	}
	return job
}

// TestReplicasRelocatedOneByOne checks that replicas are relocated from a draining machine one of a
// service at a time, and only if another machine has their image.
func TestReplicasRelocatedOneByOne(t *testing.T) {
	controller, now := newZonesCore(t, 3), time.Now()
	for _, machine := range controller.cache.Machines {
		worker := controller.workerState(machine)
		worker.Incarnation, worker.lastMessageAt = 1, now
	}
	one := placeService(t, controller, "job-000010", 3, "a0", "b0", "a0")
	two := placeService(t, controller, "job-000011", 1, "a0")
	from := controller.cache.Machine("a0")
	from.Draining = true
	leaving := func() (replicas int) {
		controller.relocateReplicas(now)
		controller.relocateReplicas(now.Add(time.Second))
		for _, placed := range from.Tasks {
			if controller.desiredState(from, controller.workerState(from), placed).Stop {
				replicas++
			}
		}
		return replicas
	}
	if n := leaving(); n != 0 {
		t.Errorf("%d replicas are relocated although no other machine has their image", n)
	}
	controller.workerState(controller.cache.Machine("c0")).images = []int{one.Image}
	if n := leaving(); n != 2 || controller.jobState(one).relocating == controller.jobState(two).relocating {
		t.Errorf("%d replicas are relocated, want one of each service", n)
	}
}
