package controller

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// newLargeCore returns a controller that owns one shard with the given numbers of machines and open jobs.
// About four fifths of the machines' capacity is used, and most tasks of the jobs wait.
func newLargeCore(b *testing.B, machines, jobs int) *Controller {
	b.Helper()
	cfg := &config.Settings{MemberName: "n0", Deployment: config.Deployment{Controllers: 1, Zones: []string{"a"},
		Teams: []config.Team{{Name: "red"}, {Name: "blue"}}, Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
		State: config.State{TxnOps: 12, ValueKB: 32, WriteRPS: 80}}}
	controller := New(cfg, stubStore{}, nil, nil, slog.New(slog.DiscardHandler), DefaultTiming())
	controller.follower.loaded, controller.session.incarnation = true, 1
	controller.cache.UpdateCatalog(&protocol.Catalog{Types: []protocol.MachineType{{Name: "t", Cpus: 16, MemGB: 64, FetchGBs: 0.4, CacheGB: 30}}})
	put := func(key string, v any, version uint64) {
		if err := controller.cache.Apply(key, storage.Encode(v), version, false); err != nil {
			b.Fatal(err)
		}
	}
	put(storage.ShardKey(0), storage.ShardRecord{Member: "n0", Incarnation: 1, FencingToken: 2}, 2)
	job := func(i int) string { return fmt.Sprintf("job-%06d", i) }
	for i := range jobs {
		put(storage.JobKey(job(i)), storage.JobRecord{Tasks: 40, Team: []string{"red", "blue"}[i%2], SubmittedMs: time.Now().UnixMilli(),
			Spec: &storage.SpecRecord{Class: "c", Cpus: 4, Mem: 15, Image: fmt.Sprint("i", i%12), ImageGB: 0.6, Spot: true, Estimate: 15}}, 3)
	}
	const groupSize = 14
	fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
	for i := range machines {
		fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("m", i), Group: i / groupSize})
	}
	put(storage.FleetKey("m0"), fleet, 4)
	for group := 0; group*groupSize < machines; group++ {
		record := storage.GroupRecord{}
		for i := group * groupSize; i < min(machines, (group+1)*groupSize); i++ {
			entry := storage.GroupMachine{Name: fmt.Sprint("m", i), Incarnation: 1}
			for t := range uint64(3 + i%2) {
				entry.Tasks = append(entry.Tasks, storage.PlacedTasks{Job: job(i), Numbers: []uint64{t, 4, 1_700_000_000, 2}})
			}
			record.Machines = append(record.Machines, entry)
		}
		put(storage.GroupKey(group), record, 5)
	}
	controller.cache.Revision, controller.follower.highestRevision = 5, 5
	controller.shards.owned[0] = 2
	for _, m := range controller.cache.Machines {
		controller.applyHeartbeat(m, controller.workerState(m), heartbeatOf(m, 1), 4, false)
	}
	controller.cache.TakeChangedAndEnded()
	return controller
}

func heartbeatOf(machine *storage.Machine, seq uint64) *protocol.Heartbeat {
	heartbeat := &protocol.Heartbeat{Machine: machine.Name, Incarnation: 1, Seq: seq, FencingToken: 4}
	for _, placed := range machine.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: protocol.TaskName(placed.Job.ID, placed.Task), Attempt: placed.Attempt, State: protocol.TaskRunning})
	}
	return heartbeat
}

var sizes = []struct{ machines, jobs int }{{50, 50}, {400, 400}, {1250, 5000}, {5000, 20000}}

// runAllSizes runs a benchmark for all sizes. prepare gets a controller that sends no direct
// commands, and returns the step to measure.
func runAllSizes(b *testing.B, prepare func(ctx context.Context, core *Controller) (step func() error)) {
	b.Helper()
	for _, size := range sizes {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", size.machines, size.jobs), func(b *testing.B) {
			controller := newLargeCore(b, size.machines, size.jobs)
			controller.workers.directCommands = maxDirectCommands
			step := prepare(b.Context(), controller)
			b.ReportAllocs()
			for b.Loop() {
				if err := step(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	runAllSizes(b, func(_ context.Context, c *Controller) func() error {
		return func() error {
			c.plan(time.Now(), 12)
			return nil
		}
	})
}

// BenchmarkPlanFull measures a pass over a fleet without usable machines: nothing is placed.
func BenchmarkPlanFull(b *testing.B) {
	runAllSizes(b, func(_ context.Context, c *Controller) func() error {
		for _, machine := range c.cache.Machines {
			machine.Draining = true
		}
		return func() error {
			c.plan(time.Now(), 12)
			return nil
		}
	})
}

func BenchmarkHeartbeat(b *testing.B) {
	runAllSizes(b, func(ctx context.Context, c *Controller) func() error {
		machine := c.cache.Machines[len(c.cache.Machines)/2]
		seq := uint64(1)
		return func() error {
			seq++
			c.handleHeartbeat(ctx, heartbeatOf(machine, seq), func(int, any) {})
			c.flushHeldReplies(time.Now(), true)
			return nil
		}
	})
}

// BenchmarkChange measures applying a new version of a machine group's record.
func BenchmarkChange(b *testing.B) {
	runAllSizes(b, func(_ context.Context, c *Controller) func() error {
		raw := storage.Encode(c.cache.GroupRecordOf(c.cache.Groups[1], nil, nil))
		version := uint64(5)
		return func() error {
			version++
			if err := c.cache.Apply(storage.GroupKey(1), raw, version, false); err != nil {
				return err
			}
			c.onRecordsChanged()
			return nil
		}
	})
}

// BenchmarkLists measures reading all jobs and all machines page by page, as operators' tools do.
func BenchmarkLists(b *testing.B) {
	runAllSizes(b, func(ctx context.Context, c *Controller) func() error {
		go serveInbox(ctx, c)
		return func() error {
			if err := readAllJobs(ctx, c); err != nil {
				return err
			}
			return readAllMachines(ctx, c)
		}
	})
}

// serveInbox runs the work that is posted to a controller until ctx ends.
func serveInbox(ctx context.Context, c *Controller) {
	for {
		select {
		case work := <-c.inbox:
			work()
		case <-ctx.Done():
			return
		}
	}
}

func readAllJobs(ctx context.Context, c *Controller) error {
	for after, more := "", true; more; {
		rows, hasMore, err := c.JobViews(ctx, "", after, MaxListRows)
		if err != nil {
			return err
		}
		after, more = rows[len(rows)-1].ID, hasMore
	}
	return nil
}

func readAllMachines(ctx context.Context, c *Controller) error {
	for after, more := "", true; more; {
		rows, hasMore, err := c.MachineInfos(ctx, after, MaxListRows)
		if err != nil {
			return err
		}
		after, more = rows[len(rows)-1].Name, hasMore
	}
	return nil
}
