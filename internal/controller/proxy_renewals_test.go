package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// A controller that has read no records answers a worker only where that loses nothing and holds
// it at no controller that can do nothing for it.
func TestUnverifiedRenewals(t *testing.T) {
	workers := config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 40}
	running := []protocol.TaskStatus{{Task: "job-000001/0", Attempt: 3, State: protocol.TaskRunning}}
	for _, test := range []struct {
		name  string
		age   time.Duration
		tasks []protocol.TaskStatus
		peer  uint64        // the revision of the other controller's cache
		heard time.Duration // and how long ago it was heard; below 0: never
		again time.Duration // since this controller last renewed it; 0: never
		want  bool
	}{
		{name: "just restarted", age: time.Second, tasks: running, want: true},
		{name: "nothing to lose", age: time.Second},
		{name: "too old: what was cancelled before must end", age: 19 * time.Second, tasks: running},
		{name: "another knows the records", age: time.Second, tasks: running, peer: 7},
		{name: "another knew the records, but is silent: it may have confirmed what nobody stopped", age: 9 * time.Second, tasks: running, peer: 7, heard: 4 * time.Second},
		{name: "another is silent since this one began", age: time.Second, tasks: running, heard: -1},
		{name: "twice in a row", age: 9 * time.Second, tasks: running, again: 1500 * time.Millisecond},
		{name: "after a round of the others", age: 9 * time.Second, tasks: running, again: 4 * time.Second, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.follower.loaded, controller.cfg.Deployment.Workers = false, workers
			now := time.Now()
			controller.cancellations.unverified.since = now.Add(-test.age)
			controller.cfg.Known = []config.Peer{{MemberName: "n1"}}
			if test.heard >= 0 {
				controller.reachability.peers["n1"] = peerState{heartbeat: protocol.PeerHeartbeat{Revision: test.peer}, heardAt: now.Add(-test.heard)}
			}
			if test.again > 0 {
				controller.cancellations.unverified.renewed["m"] = now.Add(-test.again)
			}
			a, ok := controller.renewUnverified(&protocol.Heartbeat{Machine: "m", Incarnation: 1, FencingToken: 41, Tasks: test.tasks}, now)
			if ok != test.want {
				t.Errorf("renewed: %v, want %v", ok, test.want)
			}
			if ok && (a.FencingToken != 41 || len(a.Commands) != 0) {
				t.Errorf("token %d and %d commands, want the worker's own token and none", a.FencingToken, len(a.Commands))
			}
		})
	}
	// As long as a lease may last on, the last renewal ends within cancel_s of what no controller
	// could know: for the deployments' times.
	for _, w := range []config.Workers{{LeaseS: 10, CancelS: 40}, {LeaseS: 11, CancelS: 41}, {LeaseS: 15.25, CancelS: 45.25}, {LeaseS: 16, CancelS: 36}, {LeaseS: 26.5, CancelS: 46.5}} {
		if end := unverifiedRenewalWindow(w) + seconds(2*w.LeaseS); end > seconds(w.CancelS) {
			t.Errorf("%+v: a lease may end %v after a cancellation", w, end)
		}
		if end := maxKnowledgeAge(w) + seconds(w.LeaseS); end > seconds(w.CancelS) {
			t.Errorf("%+v: a lease renewed as proxy may end %v after a cancellation", w, end)
		}
	}
}

// A worker is kept alive for an owner that has ended or falls silent in an outage, by a controller
// whose records are not too old for it.
func TestProxyRenewals(t *testing.T) {
	const restarted = -time.Second // the owner's name is heard, from a process that has read nothing
	for _, test := range []struct {
		name   string
		member uint64        // the owner's incarnation as a member; its shard names 3
		served time.Duration // the state service answered this controller so long ago
		heard  time.Duration // and the owner was heard
		read   time.Duration // and the cache was brought up to date
		want   bool
	}{
		{"it lives", 3, 0, 0, 0, false},
		{"it has ended, and nobody has its shard yet", 0, 0, 9 * time.Second, 0, true},
		{"it has restarted", 4, 0, 0, 0, true},
		{"an outage, but it is heard", 3, 5 * time.Second, 0, 5 * time.Second, false},
		{"an outage, and it is silent", 3, 5 * time.Second, 5 * time.Second, 5 * time.Second, true},
		{"for too long", 3, 19 * time.Second, 19 * time.Second, 19 * time.Second, false},
		{"an outage, and its successor is heard, which has read nothing", 3, 5 * time.Second, restarted, 5 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t) // lease 10 s, cancellations 30 s
			now := time.Now()
			controller.cache.Shards[0].Member, controller.cache.Shards[0].Incarnation = "n1", 3
			if test.member > 0 {
				controller.cache.Members["n1"] = &storage.Member{MemberRecord: storage.MemberRecord{Incarnation: test.member}, Version: 1}
			}
			controller.storeHealth.servedAt, controller.follower.cacheCurrentAt = now.Add(-test.served), now.Add(-test.read)
			controller.reachability.peers["n1"] = peerState{heardAt: now.Add(-test.heard), heartbeat: protocol.PeerHeartbeat{Revision: 4}}
			if test.heard == restarted {
				controller.reachability.peers["n1"] = peerState{heardAt: now}
			}
			if got := controller.renewsAsProxy(controller.cache.Machine("m"), now); got != test.want {
				t.Errorf("renews as proxy: %v, want %v", got, test.want)
			}
		})
	}
}

// A shard's new owner had shown its token to a worker, and then the machine's group moved to another
// shard under a token that was worked out before. Nobody could command the worker any more: its
// heartbeats were refused, what the record placed there stayed placed, and its job ran for ever.
func TestFencingTokenBelowTheWorkersIsRaised(t *testing.T) {
	for _, test := range []struct {
		name   string
		token  uint64
		status int
		raised bool
	}{
		{"equal", 4, 200, false},
		{"lower: it has not seen the present one", 3, 200, false},
		{"higher", 9, 421, true},
		{"higher than any that was committed", 1 << 60, 421, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCore(t)
			c.follower.highestRevision = 12
			status := 0
			c.handleHeartbeat(t.Context(), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: test.token}, func(s int, _ any) { status = s })
			c.flushHeldReplies(time.Now(), true)
			if status != test.status {
				t.Errorf("answered %d, want %d", status, test.status)
			}
			b, _ := c.plan(time.Now(), 12)
			if r := machineIn(t, b); (r.FencingToken > test.token) != test.raised {
				t.Errorf("the record's token is %d, the worker's %d", r.FencingToken, test.token)
			}
		})
	}
}
