package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// A controller that had stood still found all others silent: it gave up its shards, or
// returned machines, although it was the one that had been away.
func TestStallIsDetected(t *testing.T) {
	controller := newCore(t)
	controller.session.lease = 1
	machine := controller.cache.Machine("m")
	worker := controller.workerState(machine)
	machine.Incarnation, worker.missedProbes = 1, 5
	controller.cache.Members["n1"] = &storage.Member{Version: 1}
	controller.cache.Members["n0"] = &storage.Member{Version: 1}
	start := time.Now()
	woke := start.Add(9 * time.Second)
	controller.session.leaseRenewedAt, controller.storeHealth.servedAt, controller.shards.takenOverAt = start, start, start.Add(-time.Minute)
	controller.reachability.disconnected["n1"] = woke.Add(-2 * time.Second) // its deadline passed meanwhile
	worker.heard, worker.since, controller.workers.anyHeardAt = start, start.Add(-time.Minute), start
	look := func(now time.Time) (silent, lost, alone bool) {
		controller.reachability.peers["n1"] = peerState{protocol.PeerHeartbeat{StateOK: true}, now, time.Time{}}
		return controller.silenceOf(worker.heard, now) > 4*time.Second, controller.memberLost("n1", now), controller.isolatedFromStore(now)
	}
	if silent, lost, alone := look(woke); !silent || !lost || !alone {
		t.Fatalf("without noticing: silent %v, lost %v, alone %v: the case proves nothing", silent, lost, alone)
	}
	controller.detectStall(start)
	controller.detectStall(start.Add(controller.timing.Tick))
	if !controller.reachability.resumedAt.IsZero() {
		t.Fatal("a tick in time is no standstill")
	}
	if !controller.leaseCertain(start.Add(time.Second)) || controller.leaseCertain(woke) {
		t.Error("a hold lasts as long as it was last renewed for")
	}
	controller.detectStall(woke)
	if silent, lost, alone := look(woke); silent || lost || alone {
		t.Errorf("after noticing: silent %v, lost %v, alone %v", silent, lost, alone)
	}
	if silent, _, _ := look(woke.Add(5 * time.Second)); !silent {
		t.Error("silence counts again from waking")
	}
	if !controller.reachability.stalledSince(start) || controller.reachability.stalledSince(woke) {
		t.Error("what began before the standstill was slept over, what begins after was not")
	}
}

// scaleOutCounter is a cloud that counts what is asked of it.
type scaleOutCounter struct {
	Cloud
	asked chan string
}

func (r scaleOutCounter) ScaleOut(_ context.Context, x protocol.ScaleOutRequest) ([]string, error) {
	r.asked <- x.Name
	return nil, protocol.ErrNoCapacity
}

func (r scaleOutCounter) List(context.Context, string) (protocol.MachineList, error) {
	r.asked <- "list"
	return protocol.MachineList{}, errors.New("none")
}

// A leader that wakes may lead no more: it must not rent beside its successor.
func TestNoScaleOutWithAnUncertainLease(t *testing.T) {
	for _, x := range []struct {
		name  string
		since time.Duration
		want  bool
	}{{"renewed a moment ago", time.Second, true}, {"renewed before a standstill", 6 * time.Second, false}} {
		controller := newCore(t)
		asked := make(chan string, 100)
		controller.cloud = scaleOutCounter{asked: asked}
		controller.cache.Leader = storage.Leader{LeaderRecord: storage.LeaderRecord{Member: "n0", Incarnation: 1}, Version: 1}
		now := time.Now()
		controller.session.lease, controller.session.leaseRenewedAt = 1, now.Add(-x.since)
		controller.autoscaleAsLeader(t.Context(), now)
		got := false
		if controller.leader.listing || len(controller.leader.scaleOuts) > 0 {
			got = true
			<-asked
		}
		if got != x.want {
			t.Errorf("%s: the cloud was asked: %v, want %v", x.name, got, x.want)
		}
	}
}

// A controller that the state service alone refused kept its shards until its hold ran out,
// although it knew, and could tell, at once.
func TestDeniedMembersAreLost(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, x := range []struct {
		name    string
		refused time.Duration // says so since
		heard   time.Duration
		served  bool
		want    bool
	}{
		{"for a while, and this node is served", 2 * time.Second, 0, true, true},
		{"just now", 500 * time.Millisecond, 0, true, false},
		{"in an outage nobody is served", 2 * time.Second, 0, false, false},
		{"not heard any more: that is another matter", 9 * time.Second, 5 * time.Second, true, false},
	} {
		c := newCore(t)
		c.reachability.resumedAt = now.Add(-time.Second) // its own word counts even then
		c.reachability.peers["n1"] = peerState{protocol.PeerHeartbeat{}, now.Add(-x.heard), now.Add(-x.refused)}
		if c.storeHealth.servedAt = now; !x.served {
			c.storeHealth.servedAt = now.Add(-time.Minute)
		}
		if got := c.memberLost("n1", now); got != x.want {
			t.Errorf("%s: lost %v, want %v", x.name, got, x.want)
		}
	}
}

// Controllers that did not hear each other, although both lived, took leadership and the
// shards from one another eight times a second for the rest of the day.
func TestLostIsAHintWithAnEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name  string
		nodes int // living by the state service, this one included
		lost  map[string]time.Time
		want  bool
	}{
		{"not lost", 3, nil, false},
		{"just now: it may come back", 3, map[string]time.Time{"n1": ago(time.Second)}, false},
		{"for a while", 3, map[string]time.Time{"n1": ago(2 * time.Second)}, true},
		{"longer than its hold: it lives", 3, map[string]time.Time{"n1": ago(20 * time.Second)}, false},
		{"with half of the others", 5, map[string]time.Time{"n1": ago(2 * time.Second), "n2": ago(2 * time.Second)}, true},
		{"with most others: a filter, or this node is apart", 5, map[string]time.Time{"n1": ago(2 * time.Second),
			"n2": ago(2 * time.Second), "n3": ago(2 * time.Second), "n4": ago(2 * time.Second)}, false},
		{"others were lost long ago", 4, map[string]time.Time{"n1": ago(2 * time.Second),
			"n2": ago(time.Minute), "n3": ago(time.Minute)}, true},
		{"both others of three: two crashes are as likely", 3, map[string]time.Time{"n1": ago(2 * time.Second), "n2": ago(2 * time.Second)}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newCore(t)
			for _, n := range []string{"n0", "n1", "n2", "n3", "n4"}[:x.nodes] {
				c.cache.Members[n] = &storage.Member{Version: 1}
			}
			c.reachability.disconnected = x.lost
			if got := c.memberLost("n1", now); got != x.want {
				t.Errorf("lost: %v, want %v", got, x.want)
			}
		})
	}
}

// refusingStore refuses every transaction.
type refusingStore struct{ StateStore }

func (refusingStore) Txn(context.Context, protocol.Txn, protocol.RequestPriority) (uint64, []string, error) {
	return 0, nil, protocol.ErrRefused
}

// A controller cut off from its workers kept its shards for 6.5 s where heartbeats are due every
// 2.5 s, although a hundred workers had been silent for longer than any may be.
func TestManySilentWorkersTellSooner(t *testing.T) {
	for _, x := range []struct {
		machines int
		silent   time.Duration
		unfit    bool
	}{
		{4, 3 * time.Second, false}, {4, 5 * time.Second, true},
		{20, 2 * time.Second, false}, {20, 3 * time.Second, true},
	} {
		controller := newCore(t)
		controller.store, controller.session.lease = refusingStore{}, 1
		controller.cache.Members["n1"] = &storage.Member{Version: 1}
		fleet := storage.FleetRecord{Type: "t", Zone: "a"}
		for i := range x.machines {
			fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("x", i)})
		}
		if err := controller.cache.Apply(storage.FleetKey("x0"), storage.Encode(fleet), 5, false); err != nil {
			t.Fatal(err)
		}
		for _, m := range controller.cache.Machines {
			m.Incarnation = 1
		}
		now := time.Now()
		controller.workers.anyHeardAt = now.Add(-x.silent)
		controller.checkReadiness(t.Context(), now)
		if controller.session.notReady.Load() != x.unfit {
			t.Errorf("%d machines silent for %v: gives up %v, want %v", x.machines, x.silent, controller.session.notReady.Load(), x.unfit)
		}
	}
}

// sleepyStore lets its controller stand still while it reads the revision.
type sleepyStore struct {
	StateStore
	meanwhile func()
}

func (s sleepyStore) Revision(context.Context) (uint64, error) {
	s.meanwhile()
	return 1, nil
}

// What a controller slept over may be older than what others have told the user since.
func TestAnswersSleptOverAreRefused(t *testing.T) {
	for _, x := range []struct {
		name   string
		sleeps bool
		id     string
		status int
	}{
		{"an open job", false, "job-000001", 200}, {"an open job, slept over", true, "job-000001", 503},
		{"an unknown job", false, "job-000009", 404}, {"an unknown job, slept over", true, "job-000009", 503},
		{"a final state never changes", true, "job-000002", 200},
	} {
		controller := newCore(t)
		if err := controller.cache.Apply(storage.JobKey("job-000002"), storage.Encode(storage.JobRecord{Tasks: 1, DoneCount: 1, Final: "done"}), 5, false); err != nil {
			t.Fatal(err)
		}
		controller.store = sleepyStore{meanwhile: func() {
			if x.sleeps {
				controller.post(func() { controller.reachability.resumedAt = time.Now() })
			}
		}}
		go func() {
			for f := range controller.inbox {
				f()
			}
		}()
		if a := controller.Query(t.Context(), x.id); a.Status != x.status {
			t.Errorf("%s: %d, want %d", x.name, a.Status, x.status)
		}
	}
}
