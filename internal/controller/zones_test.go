package controller

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// deafWorkers answer nobody but those in the zones that are heard.
type deafWorkers string

func (d deafWorkers) Command(addr string, cmd protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	if strings.Contains(string(d), addr[:1]) {
		return &protocol.Heartbeat{Machine: addr, Incarnation: cmd.Incarnation}, 409, nil
	}
	time.Sleep(timeout)
	return nil, 0, errors.New("no answer")
}

// hall is a controller that owns n machines in each of three zones, a to c.
func hall(t *testing.T, n int) *Controller {
	t.Helper()
	controller := newCore(t)
	controller.cfg.Known = []config.Peer{{MemberName: "n1", Zone: "b"}, {MemberName: "n2", Zone: "c"}}
	controller.cfg.Deployment.Workers.CancelS = 40
	rev := uint64(10)
	for _, z := range []string{"a", "b", "c"} {
		for i := range n {
			rev++
			name := fmt.Sprint(z, i)
			if err := controller.cache.Apply(storage.FleetKey(name), storage.Encode(storage.FleetRecord{Type: "t", Zone: z, FencingToken: rev,
				Machines: []storage.FleetMachine{{Name: name, Addr: name}}}), rev, false); err != nil {
				t.Fatal(err)
			}
			m := controller.cache.Machine(name)
			m.Incarnation, m.Gone = 1, false
			controller.workerState(m)
		}
	}
	return controller
}

// A zone was cut off: machines were rented in it, where nobody reached them until the cut ended, and the
// replicas that ran on there were lost with their machines' return.
func TestZoneUnreachable(t *testing.T) {
	for _, x := range []struct {
		name        string
		heard       string // zones that answer
		machines    int
		before      func(controller *Controller, now time.Time)
		away, lives bool // lives: somebody inside is taken to live
	}{
		{"one zone is silent, its node lived", "ac", 4, func(*Controller, time.Time) {}, true, true},
		{"its node's connection broke off just before", "ac", 4, func(c *Controller, now time.Time) { c.reachability.brokenConnections["n1"] = now.Add(-3 * time.Second) }, true, false},
		{"its node was no member any more", "ac", 4, func(c *Controller, _ time.Time) { delete(c.cache.Members, "n1") }, true, false},
		{"this process has only just begun", "ac", 4, func(c *Controller, now time.Time) { c.session.startedAt = now }, true, false},
		{"all are silent: the fault is on this side", "", 4, func(*Controller, time.Time) {}, false, false},
		{"two machines may fall silent together", "ac", 2, func(*Controller, time.Time) {}, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := hall(t, x.machines)
				core.workerLink = deafWorkers(x.heard)
				for _, n := range []string{"n0", "n1", "n2"} {
					core.cache.Members[n] = &storage.Member{Version: 1}
				}
				core.session.startedAt = time.Now().Add(-time.Minute)
				x.before(core, time.Now())
				b := core.cache.Zones.Find("b")
				for i := range 24 {
					core.superviseZones(time.Now())
					time.Sleep(250 * time.Millisecond)
					for len(core.inbox) > 0 {
						(<-core.inbox)()
					}
					if i == 10 {
						delete(core.cache.Members, "n1") // its hold has ended
					}
				}
				now := time.Now()
				if core.reachability.zoneUnreachable(b) != x.away || x.away && core.hasControllerInside(b) != x.lives {
					t.Fatalf("away: %v, inhabited: %v", core.reachability.zoneUnreachable(b), core.hasControllerInside(b))
				}
				if x.away && (!core.needsNoReplacement(b, now) || core.needsNoReplacement(b, now.Add(time.Minute))) {
					t.Error("what runs there needs no other room for a while, and then it does")
				}
				for _, m := range core.cache.Machines {
					m.Gone = m.Zone == b && x.name == "its node was no member any more"
				}
				for range 2 { // in a zone without machines nobody will ever be heard
					core.superviseZones(now)
					if core.reachability.zoneUnreachable(b) != x.away {
						t.Error("a zone is tried again at once")
					}
					core.superviseZones(now.Add(emptyFor - time.Second))
				}
				empty := x.name == "its node was no member any more"
				if core.superviseZones(now.Add(emptyFor + time.Second)); core.reachability.zoneUnreachable(b) != (x.away && !empty) {
					t.Errorf("away: %v, without machines in it: %v", core.reachability.zoneUnreachable(b), empty)
				}
				if core.hearZone(b, now); core.reachability.zoneUnreachable(b) {
					t.Error("a zone that is heard is back")
				}
				time.Sleep(2 * probeTimeout)
			})
		})
	}
}

// Tasks that would have ended as soon were stopped to empty machines, fetched their images elsewhere
// and made their jobs late.
func TestWhatLeavesADrainedMachine(t *testing.T) {
	for _, x := range []struct {
		name     string
		estimate float64
		ran      int64
		age      time.Duration
		want     bool
	}{
		{"much is left and there is time", 100, 10, 20 * time.Second, true},
		{"it ends about as soon as it is moved", 100, 80, 90 * time.Second, false},
		{"its job would be late by it", 100, 10, 75 * time.Second, false},
		{"its job is late already", 100, 10, 300 * time.Second, true},
		{"longer than its owner thought", 100, 130, 10 * time.Second, false},
	} {
		c := newCore(t)
		c.cfg.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 180}}
		c.cache.Types[0].FetchGBs = 0.25
		now := time.Now()
		j := c.cache.Job("job-000001")
		j.Estimate, j.CheckpointCost, j.CheckpointInterval, j.ImageGB, j.ReadyAt = x.estimate, 3, 15, 5, now.Add(-x.age)
		m := c.cache.Machine("m")
		if got := c.leavesDrained(m, c.workerState(m), storage.PlacedTask{Job: j, PlacedAt: now.Unix() - x.ran}, now); got != x.want {
			t.Errorf("%s: leaves %v", x.name, got)
		}
	}
}

// serve puts a service's first replicas on machines of their names.
func (c *Controller) serve(t *testing.T, id string, tasks int, on ...string) *storage.Job {
	t.Helper()
	c.follower.highestRevision++
	if err := c.cache.Apply(storage.JobKey(id), storage.Encode(storage.JobRecord{Tasks: tasks, Team: "red",
		Spec: &storage.SpecRecord{Class: "s", Shape: uint8(protocol.Service), Priority: 3, Cpus: 4, Mem: 1, Image: "serve", ImageGB: 8, Spread: true}}), c.follower.highestRevision, false); err != nil {
		t.Fatal(err)
	}
	j := c.cache.Job(id)
	j.ByZone = make([]int32, 3)
	for i, name := range on {
		m := c.cache.Machine(name)
		m.Tasks = append(m.Tasks, storage.PlacedTask{Job: j, Task: i, Attempt: c.follower.highestRevision})
		j.MachineOf[i], j.AttemptOf[i], j.PlacedCount = m.Index, c.follower.highestRevision, j.PlacedCount+1
		j.ByZone[m.Zone]++
	}
	return j
}

// Replicas leave a drained machine one of a service at a time, and only for one that has their image.
func TestReplicasMoveOneByOne(t *testing.T) {
	controller, now := hall(t, 3), time.Now()
	for _, m := range controller.cache.Machines {
		v := controller.workerState(m)
		v.Incarnation, v.heard = 1, now
	}
	one, two := controller.serve(t, "job-000010", 3, "a0", "b0", "a0"), controller.serve(t, "job-000011", 1, "a0")
	from := controller.cache.Machine("a0")
	from.Draining = true
	leaving := func() (n int) {
		controller.relocateReplicas(now)
		controller.relocateReplicas(now.Add(time.Second))
		for _, p := range from.Tasks {
			if controller.desiredState(from, controller.workerState(from), p).Stop {
				n++
			}
		}
		return n
	}
	if n := leaving(); n != 0 {
		t.Errorf("%d replicas leave although their image is nowhere else", n)
	}
	controller.workerState(controller.cache.Machine("c0")).images = []int{one.Image}
	if n := leaving(); n != 2 || controller.jobState(one).relocating == controller.jobState(two).relocating {
		t.Errorf("%d replicas leave, want one of each service", n)
	}
}

// Replicas waited for minutes beside free machines in a zone that had its half already: by the sums there was
// room, and nothing was rented elsewhere.
func TestSpreadIsAskedForByZone(t *testing.T) {
	controller := hall(t, 1)
	controller.leader.init()
	controller.cache.Types[0].Zones = []int{0, 1, 2}
	controller.serve(t, "job-000010", 6, "a0", "a0", "a0")
	need := map[int]int{}
	for _, d := range controller.demands(time.Now()) {
		if !d.Spot {
			need[d.Zone] += d.Tasks
		}
	}
	if a := controller.cache.Zones.Find("a"); need[a] != 3 || need[-1] != 0 || need[0]+need[1]+need[2] != 6 {
		t.Errorf("room asked for by zone: %v", need)
	}
}

// Renting went by each job's own part of its team's limit: once limits bound, a team with many jobs had several times the
// machines rented that it could use.
func TestDemandsKeepToTeamLimits(t *testing.T) {
	for _, x := range []struct {
		name          string
		limit         float64
		jobs, running int     // of six tasks of 4 CPUs each
		low, high     float64 // CPUs for which room is asked; the hall's own job has two small tasks that wait
	}{
		{"no limit", 0, 5, 0, 120, 128},
		{"one job under the limit", 40, 1, 0, 24, 32},
		{"many jobs share it", 40, 5, 0, 37, 40},
		{"what runs counts", 40, 5, 4, 37, 40},
		{"more runs than may", 12, 5, 4, 9, 12},
		{"less than a task is left", 19, 5, 4, 16, 19},
	} {
		controller := hall(t, 4)
		controller.leader.init()
		controller.cache.Teams[0].CpusMax = x.limit
		for i := range x.jobs {
			var on []string
			if i == 0 {
				on = []string{"a0", "b0", "c0", "a1"}[:x.running]
			}
			j := controller.serve(t, fmt.Sprintf("job-%06d", 10+i), 6, on...)
			j.Spread = false
			controller.cache.Used[j.Team].Add(j, float64(len(on)))
		}
		got := 0.0
		for _, d := range controller.demands(time.Now()) {
			got += min(float64(d.Tasks), math.Ceil(d.Work/(workHorizon*d.WithinS))) * d.Cpus // as provision.Decide counts
		}
		if got < x.low || got > x.high {
			t.Errorf("%s: room is asked for %v CPUs, want %v to %v", x.name, got, x.low, x.high)
		}
	}
}
