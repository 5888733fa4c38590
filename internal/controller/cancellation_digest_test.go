package controller

import (
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Guards against an owner renewing its workers' leases while only it is refused by the state service:
// tasks whose cancellation other controllers had confirmed ran on. An owner may renew leases only while
// its cache is recent, or while the digests of all other controllers show that it has every
// cancellation.
func TestLeaseRenewalRequiresCurrentCancellations(t *testing.T) {
	cancelled := []protocol.Cancellation{{Version: 9, Job: "job-000001"}}
	for _, test := range []struct {
		name         string
		read         time.Duration // age of the cache
		clockErrorMs float64       // largest clock error in milliseconds
		// n1's digest: how long ago it was sent and its process started, and its list. n2's digest is sent
		// now.
		sent, started time.Duration
		from          uint64
		list          []protocol.Cancellation
		silent        bool // n2 sends no digest
		status        int
		kills         int
	}{
		{name: "the state service answers", read: time.Second, silent: true, status: 200},
		{name: "no answer of the state service for long, and one controller is silent", read: 19 * time.Second, started: time.Hour, silent: true, status: 503},
		{name: "no answer of the state service, but digests of all controllers", read: time.Hour, started: 2 * time.Hour, status: 200},
		{name: "a digest that was delayed", read: time.Hour, sent: 19 * time.Second, started: 2 * time.Hour, status: 503},
		{name: "a digest that was delayed, but not for long", read: time.Hour, sent: 15 * time.Second, started: 2 * time.Hour, status: 200},
		{name: "the same delay, with a large clock error", read: time.Hour, clockErrorMs: 2000, sent: 15 * time.Second, started: 2 * time.Hour, status: 503},
		{name: "a digest of a process that started after the cache was current", read: time.Hour, started: time.Minute, status: 503},
		{name: "a digest whose list begins after the cache's revision", read: time.Hour, started: 2 * time.Hour, from: 7, status: 503},
		{name: "a digest that lists a cancellation missing from the cache", read: time.Hour, started: 2 * time.Hour, from: 4, list: cancelled, status: 200, kills: 1},
		{name: "a listed cancellation in a digest that is not complete", read: 2 * time.Second, started: time.Second, from: 7, list: cancelled, silent: true, status: 200, kills: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t) // lease_s 10, cancel_s 30; the cache is at revision 4
			controller.cfg.KnownPeers = []config.Peer{{MemberName: "n1"}, {MemberName: "n2"}}
			controller.cfg.Deployment.ClockSkewMs = test.clockErrorMs
			machine := controller.cache.Machine("m")
			applyRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
				Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{0, 3, 0, 0}}}}}}, 5)
			now := time.Now()
			controller.follower.cacheCurrentAt = now.Add(-test.read)
			receive := func(member string, sent, started time.Duration, from uint64, list []protocol.Cancellation) {
				controller.applyDigest(member, protocol.CancellationDigest{CreatedAtMs: now.Add(-sent).UnixMilli(), ProcessStartMs: now.Add(-started).UnixMilli(), AfterVersion: from, Cancellations: list}, now)
			}
			receive("n1", test.sent, test.started, test.from, test.list)
			if !test.silent {
				receive("n2", 0, 2*time.Hour, 0, nil)
			}
			status, kills := 0, 0
			controller.handleHeartbeat(t.Context(), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: 4,
				Tasks: []protocol.TaskStatus{{Task: "job-000001/0", Attempt: 3, State: protocol.TaskRunning}}}, func(s int, body any) {
				status = s
				if response, ok := body.(protocol.HeartbeatResponse); ok {
					for _, command := range response.Commands {
						if command.Op == protocol.OpKill {
							kills++
						} else if status := (protocol.TaskStatus{Task: command.Task}); !status.IsRenewalMarker() {
							t.Errorf("command %v is neither a kill nor a renewal marker", command)
						}
					}
				}
			})
			controller.flushHeldReplies(now, true)
			if status != test.status || kills != test.kills {
				t.Errorf("%s: answered %d with %d kill commands, want %d with %d", machine.Name, status, kills, test.status, test.kills)
			}
		})
	}
}

// A cancellation list never claims to be complete for a version that it dropped, whatever the order and
// number of the records.
func TestCancellationListIsComplete(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []uint64
		from     uint64
		listed   int
	}{
		{"out of order, with duplicates", []uint64{5, 3, 9, 3, 4}, 0, 4},
		{"too many: the earliest are removed", sequence(protocol.MaxCancellations + 3), 3, protocol.MaxCancellations},
		{"cancellations with the same version are removed together", append([]uint64{1, 1, 1}, sequence(protocol.MaxCancellations)[1:]...), 1, protocol.MaxCancellations - 1},
		{"a late one with a version below the list's start", append(sequence(protocol.MaxCancellations+3), 2), 3, protocol.MaxCancellations},
	} {
		t.Run(test.name, func(t *testing.T) {
			var recorded cancellationList
			for i, v := range test.versions {
				job := fmt.Sprintf("job-%06d", v)
				if v == 1 {
					job = fmt.Sprintf("job-1%05d", i)
				}
				recorded.add(v, job)
			}
			if recorded.from != test.from || len(recorded.list) != test.listed {
				t.Errorf("%d cancellations listed above version %d, want %d above %d", len(recorded.list), recorded.from, test.listed, test.from)
			}
			for i := 1; i < len(recorded.list); i++ {
				if recorded.list[i].Version < recorded.list[i-1].Version {
					t.Error("list is not ordered by version")
				}
			}
		})
	}
}

// sequence returns the numbers from 1 to n.
func sequence(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

// Digests are sent only to controllers whose member record shows that they read them, and list only
// cancellations that the receiver has not read. A controller of an earlier version would close the
// connection when it receives one.
func TestDigestsAreSentOnlyToReaders(t *testing.T) {
	controller := newCore(t)
	controller.cancellations.digest.recorded.add(6, "job-000006")
	controller.cancellations.digest.recorded.add(8, "job-000008")
	controller.cache.Members["n1"] = &storage.Member{MemberRecord: storage.MemberRecord{FrameLevel: protocol.FrameLevelCancellationDigest}}
	controller.cache.Members["n2"] = &storage.Member{}
	controller.reachability.peers["n1"] = peerState{heartbeat: protocol.PeerHeartbeat{Revision: 7}}
	controller.publish(time.Now())
	if outgoing, ok := controller.CancellationDigest("n1"); !ok || outgoing.AfterVersion != 7 || len(outgoing.Cancellations) != 1 || outgoing.Cancellations[0].Version != 8 {
		t.Errorf("digest to a member that has read up to revision 7: %+v, %v; want only version 8", outgoing, ok)
	}
	for _, member := range []string{"n2", "n3"} {
		if _, ok := controller.CancellationDigest(member); ok {
			t.Errorf("a digest for %s, whose member record does not show that it reads digests", member)
		}
	}
	controller.Frames = 0
	controller.publish(time.Now())
	if _, ok := controller.CancellationDigest("n1"); ok {
		t.Error("a digest from a controller whose frame level has no digests")
	}
}

// The answer of a watch request may be delayed for as long as its caller waits. It proves the cache
// current only up to the time at which the request was sent.
func TestCacheIsCurrentUpToWatchRequest(t *testing.T) {
	controller := newCore(t)
	controller.cfg.KnownPeers = []config.Peer{{MemberName: "n1"}}
	now := time.Now()
	controller.onEvents(protocol.Events{Revision: 5}, now.Add(-19*time.Second))
	if controller.mayRenewLeases(now) {
		t.Error("leases may be renewed after the answer of a watch request sent 19 s ago")
	}
	controller.onEvents(protocol.Events{Revision: 5}, now.Add(-time.Second))
	if !controller.mayRenewLeases(now) {
		t.Error("leases may not be renewed after the answer of a watch request sent 1 s ago")
	}
}
