package controller

import (
	"fmt"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// An owner that the state service refused alone answered its workers for as long as it believed in its
// ownership: tasks that others had confirmed as cancelled ran on. Now it answers while it has read what was
// cancelled lately, or every other process vouches that it has confirmed nothing that this one does not know.
func TestWhoMayRenew(t *testing.T) {
	cancelled := []protocol.Cancellation{{Version: 9, Job: "job-000001"}}
	for _, test := range []struct {
		name   string
		read   time.Duration // ago
		clocks float64       // milliseconds that a clock may be off
		// n1's digest: sent and its process started so long ago, and the list; n2's is sent now, if it sends any.
		sent, started time.Duration
		from          uint64
		list          []protocol.Cancellation
		silent        bool // n2
		status        int
		kills         int
	}{
		{name: "served", read: time.Second, silent: true, status: 200},
		{name: "not served for long, one is silent", read: 19 * time.Second, started: time.Hour, silent: true, status: 503},
		{name: "not served, but all vouch", read: time.Hour, started: 2 * time.Hour, status: 200},
		{name: "a digest that was held up", read: time.Hour, sent: 19 * time.Second, started: 2 * time.Hour, status: 503},
		{name: "a digest that was held up, but not for long", read: time.Hour, sent: 15 * time.Second, started: 2 * time.Hour, status: 200},
		{name: "the same, where clocks may be apart", read: time.Hour, clocks: 2000, sent: 15 * time.Second, started: 2 * time.Hour, status: 503},
		{name: "of a process younger than the last reading: who vouches for its predecessor?", read: time.Hour, started: time.Minute, status: 503},
		{name: "its list begins after what this controller has read", read: time.Hour, started: 2 * time.Hour, from: 7, status: 503},
		{name: "it lists what this controller has not read", read: time.Hour, started: 2 * time.Hour, from: 4, list: cancelled, status: 200, kills: 1},
		{name: "gossiped in time, but not known to be all", read: 2 * time.Second, started: time.Second, from: 7, list: cancelled, silent: true, status: 200, kills: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t) // lease 10 s, cancellations 30 s; its cache is at 4
			controller.cfg.Known = []config.Peer{{MemberName: "n1"}, {MemberName: "n2"}}
			controller.cfg.Deployment.ClockSkewMs = test.clocks
			machine := controller.cache.Machine("m")
			applyRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
				Tasks: []storage.PlacedTasks{{Job: "job-000001", Numbers: []uint64{0, 3, 0, 0}}}}}}, 5)
			now := time.Now()
			controller.follower.cacheCurrentAt = now.Add(-test.read)
			receive := func(member string, sent, started time.Duration, from uint64, list []protocol.Cancellation) {
				controller.applyDigest(member, protocol.CancellationDigest{At: now.Add(-sent).UnixMilli(), ProcessStart: now.Add(-started).UnixMilli(), From: from, Cancellations: list}, now)
			}
			receive("n1", test.sent, test.started, test.from, test.list)
			if !test.silent {
				receive("n2", 0, 2*time.Hour, 0, nil)
			}
			status, kills := 0, 0
			controller.handleHeartbeat(t.Context(), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: 4,
				Tasks: []protocol.TaskStatus{{Task: "job-000001/0", Attempt: 3, State: protocol.TaskRunning}}}, func(s int, body any) {
				status = s
				if a, ok := body.(protocol.HeartbeatResponse); ok {
					kills = len(a.Commands)
				}
			})
			controller.flushHeldReplies(now, true)
			if status != test.status || kills != test.kills {
				t.Errorf("%s: answered %d with %d kill commands, want %d with %d", machine.Name, status, kills, test.status, test.kills)
			}
		})
	}
}

// A list of cancellations never claims more than it holds: whatever order the records come in, and however many.
func TestEndedListsAreWhole(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []uint64
		from     uint64
		listed   int
	}{
		{"in any order, some twice", []uint64{5, 3, 9, 3, 4}, 0, 4},
		{"too many: the earliest fall out", sequence(protocol.MaxCancellations + 3), 3, protocol.MaxCancellations},
		{"those of one record fall out together", append([]uint64{1, 1, 1}, sequence(protocol.MaxCancellations)[1:]...), 1, protocol.MaxCancellations - 1},
		{"one that comes late, from before the list", append(sequence(protocol.MaxCancellations+3), 2), 3, protocol.MaxCancellations},
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
				t.Errorf("%d listed from %d on, want %d from %d", len(recorded.list), recorded.from, test.listed, test.from)
			}
			for i := 1; i < len(recorded.list); i++ {
				if recorded.list[i].Version < recorded.list[i-1].Version {
					t.Error("not in order")
				}
			}
		})
	}
}

// sequence is the numbers from 1 to n.
func sequence(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

// Digests go only to controllers whose record says that they read them, and only with what those have not read:
// a controller of the version before would close the connection at the first.
func TestDigestsGoToThoseWhoReadThem(t *testing.T) {
	controller := newCore(t)
	controller.cancellations.digest.recorded.add(6, "job-000006")
	controller.cancellations.digest.recorded.add(8, "job-000008")
	controller.cache.Members["n1"] = &storage.Member{MemberRecord: storage.MemberRecord{FrameLevel: protocol.FramesCancellationDigest}}
	controller.cache.Members["n2"] = &storage.Member{}
	controller.reachability.peers["n1"] = peerState{heartbeat: protocol.PeerHeartbeat{Revision: 7}}
	controller.publish(time.Now())
	if w, ok := controller.CancellationDigest("n1"); !ok || w.From != 7 || len(w.Cancellations) != 1 || w.Cancellations[0].Version != 8 {
		t.Errorf("to one that has read up to 7: %+v, %v", w, ok)
	}
	for _, member := range []string{"n2", "n3"} {
		if _, ok := controller.CancellationDigest(member); ok {
			t.Errorf("a digest to %s, which does not say that it reads any", member)
		}
	}
	controller.Frames = 0
	controller.publish(time.Now())
	if _, ok := controller.CancellationDigest("n1"); ok {
		t.Error("a digest of a controller that knows none")
	}
}

// A watch's answer may be held up on its way for as long as its caller waits: it shows what was committed
// until it was sent, no later.
func TestWatchCountsFromWhenItWasSent(t *testing.T) {
	c := newCore(t)
	c.cfg.Known = []config.Peer{{MemberName: "n1"}}
	now := time.Now()
	c.onEvents(protocol.Events{Revision: 5}, now.Add(-19*time.Second))
	if c.mayRenewLeases(now) {
		t.Error("what was asked for 19 s ago counts as read now")
	}
	c.onEvents(protocol.Events{Revision: 5}, now.Add(-time.Second))
	if !c.mayRenewLeases(now) {
		t.Error("what was asked for a second ago does not count")
	}
}
