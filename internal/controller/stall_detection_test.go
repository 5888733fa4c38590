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

// Guards against a controller that has stalled concluding that all others are silent: it gave up its shards, or
// returned machines, although only it had not handled messages.
func TestStallIsDetected(t *testing.T) {
	controller := newCore(t)
	controller.session.lease = 1
	machine := controller.cache.Machine("m")
	worker := controller.workerState(machine)
	machine.Incarnation, worker.missedProbes = 1, 5
	controller.cache.Members["n1"] = &storage.Member{Version: 1}
	controller.cache.Members["n0"] = &storage.Member{Version: 1}
	start := time.Now()
	resumed := start.Add(9 * time.Second)
	controller.session.leaseRenewedAt, controller.storeHealth.servedAt, controller.shards.takenOverAt = start, start, start.Add(-time.Minute)
	controller.reachability.disconnected["n1"] = resumed.Add(-2 * time.Second) // the connection's deadline passed during the stall
	worker.lastMessageAt, worker.trackedSince, controller.workers.lastWorkerMessageAt = start, start.Add(-time.Minute), start
	observe := func(now time.Time) (silent, lost, isolated bool) {
		controller.reachability.peers["n1"] = peerState{protocol.PeerHeartbeat{StateOK: true}, now, time.Time{}}
		return controller.silenceOf(worker.lastMessageAt, now) > 4*time.Second, controller.memberLost("n1", now), controller.isolatedFromStore(now)
	}
	if silent, lost, isolated := observe(resumed); !silent || !lost || !isolated {
		t.Fatalf("before the stall is detected: silent %v, lost %v, isolated %v; want all, otherwise the test does not cover the stall", silent, lost, isolated)
	}
	controller.detectStall(start)
	controller.detectStall(start.Add(controller.timing.Tick))
	if !controller.reachability.resumedAt.IsZero() {
		t.Fatal("a tick in time was detected as a stall")
	}
	if !controller.leaseCertain(start.Add(time.Second)) || controller.leaseCertain(resumed) {
		t.Error("the session lease must be certain 1 s after its renewal, and uncertain after the stall")
	}
	controller.detectStall(resumed)
	if silent, lost, isolated := observe(resumed); silent || lost || isolated {
		t.Errorf("after the stall is detected: silent %v, lost %v, isolated %v; want none", silent, lost, isolated)
	}
	if silent, _, _ := observe(resumed.Add(5 * time.Second)); !silent {
		t.Error("silence after the stall is not counted")
	}
	if !controller.reachability.stalledSince(start) || controller.reachability.stalledSince(resumed) {
		t.Error("stalledSince must hold for a time before the stall, and not for one after it")
	}
}

// refusingCloud is a cloud that refuses every request and passes its name to requests.
type refusingCloud struct {
	Cloud
	requests chan string
}

func (r refusingCloud) ScaleOut(_ context.Context, x protocol.ScaleOutRequest) ([]string, error) {
	r.requests <- x.Name
	return nil, protocol.ErrNoCapacity
}

func (r refusingCloud) List(context.Context, string) (protocol.MachineList, error) {
	r.requests <- "list"
	return protocol.MachineList{}, errors.New("none")
}

// A leader that resumes from a stall may no longer be the leader: it must not scale out at the same
// time as its successor.
func TestNoScaleOutWithUncertainLease(t *testing.T) {
	for _, test := range []struct {
		name  string
		since time.Duration
		want  bool
	}{{"renewed 1 s ago", time.Second, true}, {"renewed before a stall", 6 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			requests := make(chan string, 100)
			controller.cloud = refusingCloud{requests: requests}
			controller.cache.Leader = storage.Leader{LeaderRecord: storage.LeaderRecord{Member: "n0", Incarnation: 1}, Version: 1}
			now := time.Now()
			controller.session.lease, controller.session.leaseRenewedAt = 1, now.Add(-test.since)
			controller.autoscaleAsLeader(t.Context(), now)
			got := false
			if controller.leader.listInFlight || len(controller.leader.scaleOuts) > 0 {
				got = true
				<-requests
			}
			if got != test.want {
				t.Errorf("requests sent to the cloud: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a controller that only the state service refuses keeping its shards until its session
// lease expires, although its peer heartbeats can report the refusal at once.
func TestMembersRefusedByStoreAreLost(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		refused time.Duration // time since the member first reported that it is refused
		heard   time.Duration // time since its last peer heartbeat
		served  bool          // whether the state service answers this controller
		want    bool
	}{
		{"refused for longer than memberLostAfter, and this controller is not", 2 * time.Second, 0, true, true},
		{"refused just now", 500 * time.Millisecond, 0, true, false},
		{"an outage for all", 2 * time.Second, 0, false, false},
		{"silent since, so its report is out of date", 9 * time.Second, 5 * time.Second, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.reachability.resumedAt = now.Add(-time.Second) // a member's own report counts even right after a stall
			controller.reachability.peers["n1"] = peerState{protocol.PeerHeartbeat{}, now.Add(-test.heard), now.Add(-test.refused)}
			if controller.storeHealth.servedAt = now; !test.served {
				controller.storeHealth.servedAt = now.Add(-time.Minute)
			}
			if got := controller.memberLost("n1", now); got != test.want {
				t.Errorf("lost %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against two controllers that are both alive, but receive nothing from each other, taking
// leadership and shards from one another: they did so eight times a second for the rest of the day.
func TestMemberLost(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name    string
		members int                  // number of member records, this controller's included
		lost    map[string]time.Time // by member: when its connection ended
		want    bool
	}{
		{"connected", 3, nil, false},
		{"disconnected just now: it may reconnect", 3, map[string]time.Time{"n1": ago(time.Second)}, false},
		{"disconnected for longer than memberLostAfter", 3, map[string]time.Time{"n1": ago(2 * time.Second)}, true},
		{"disconnected for longer than its session lease: it is alive", 3, map[string]time.Time{"n1": ago(20 * time.Second)}, false},
		{"disconnected together with half of the others", 5, map[string]time.Time{"n1": ago(2 * time.Second), "n2": ago(2 * time.Second)}, true},
		{"disconnected together with most others: the network filters traffic, or this controller is isolated", 5, map[string]time.Time{"n1": ago(2 * time.Second),
			"n2": ago(2 * time.Second), "n3": ago(2 * time.Second), "n4": ago(2 * time.Second)}, false},
		{"others were disconnected long ago", 4, map[string]time.Time{"n1": ago(2 * time.Second),
			"n2": ago(time.Minute), "n3": ago(time.Minute)}, true},
		{"both others of three members: two crashes are as likely", 3, map[string]time.Time{"n1": ago(2 * time.Second), "n2": ago(2 * time.Second)}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			for _, n := range []string{"n0", "n1", "n2", "n3", "n4"}[:test.members] {
				controller.cache.Members[n] = &storage.Member{Version: 1}
			}
			controller.reachability.disconnected = test.lost
			if got := controller.memberLost("n1", now); got != test.want {
				t.Errorf("lost: %v, want %v", got, test.want)
			}
		})
	}
}

// refusingStore refuses every transaction.
type refusingStore struct{ StateStore }

func (refusingStore) Txn(context.Context, protocol.Txn, protocol.RequestPriority) (uint64, []string, error) {
	return 0, nil, protocol.ErrRefused
}

// Guards against a controller that is cut off from its workers keeping its shards for too long: with
// heartbeats due every 2.5 s it kept them for 6.5 s, although a hundred workers had been silent for
// longer than any single one may be.
func TestManySilentWorkersShortenReadinessLimit(t *testing.T) {
	for _, test := range []struct {
		machines int
		silent   time.Duration
		notReady bool
	}{
		{4, 3 * time.Second, false}, {4, 5 * time.Second, true},
		{20, 2 * time.Second, false}, {20, 3 * time.Second, true},
	} {
		t.Run(fmt.Sprintf("%d machines silent for %v", test.machines, test.silent), func(t *testing.T) {
			controller := newCore(t)
			controller.store, controller.session.lease = refusingStore{}, 1
			controller.cache.Members["n1"] = &storage.Member{Version: 1}
			fleet := storage.FleetRecord{Type: "t", Zone: "a"}
			for i := range test.machines {
				fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprint("x", i)})
			}
			applyRecord(t, controller, storage.FleetKey("x0"), fleet, 5)
			for _, machine := range controller.cache.Machines {
				machine.Incarnation = 1
			}
			now := time.Now()
			controller.workers.lastWorkerMessageAt = now.Add(-test.silent)
			controller.checkReadiness(t.Context(), now)
			if controller.session.notReady.Load() != test.notReady {
				t.Errorf("not ready: %v, want %v", controller.session.notReady.Load(), test.notReady)
			}
		})
	}
}

// stallingStore is a state service that calls meanwhile during each read of the revision. The test
// uses it to simulate a stall of the controller at that point.
type stallingStore struct {
	StateStore
	meanwhile func()
}

func (s stallingStore) Revision(context.Context) (uint64, error) {
	s.meanwhile()
	return 1, nil
}

// An answer computed before a stall may be older than answers that other controllers have given the
// user since.
func TestAnswersComputedAcrossStallAreRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		stalls bool
		id     string
		status int
	}{
		{"an open job", false, "job-000001", 200},
		{"an open job, after a stall during the query", true, "job-000001", 503},
		{"an unknown job", false, "job-000009", 404},
		{"an unknown job, after a stall during the query", true, "job-000009", 503},
		{"a final state never changes", true, "job-000002", 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			applyRecord(t, controller, storage.JobKey("job-000002"), storage.JobRecord{Tasks: 1, DoneCount: 1, Final: "done"}, 5)
			controller.store = stallingStore{meanwhile: func() {
				if test.stalls {
					controller.post(func() { controller.reachability.resumedAt = time.Now() })
				}
			}}
			serveCalls(t, controller)
			if answer := controller.Query(t.Context(), test.id); answer.Status != test.status {
				t.Errorf("answered %d, want %d", answer.Status, test.status)
			}
		})
	}
}
