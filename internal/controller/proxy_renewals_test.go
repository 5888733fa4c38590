package controller

import (
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// A controller that has read no records renews a worker's lease only if no cancelled task can run
// longer than cancel_s because of it, and if it does not keep the worker from a controller that has
// read the records.
func TestUnverifiedRenewals(t *testing.T) {
	workers := config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 40}
	running := []protocol.TaskStatus{{Task: "job-000001/0", Attempt: 3, State: protocol.TaskRunning}}
	for _, test := range []struct {
		name       string
		age        time.Duration
		tasks      []protocol.TaskStatus
		peer       uint64        // the revision of the other controller's cache
		heard      time.Duration // time since the other controller's last peer heartbeat; below 0: there was none
		renewedAgo time.Duration // how long ago this controller last renewed the lease; 0: never
		want       bool
	}{
		{name: "just restarted", age: time.Second, tasks: running, want: true},
		{name: "a worker without tasks", age: time.Second},
		{name: "started too long ago: tasks cancelled before must end", age: 19 * time.Second, tasks: running},
		{name: "another controller has read the records", age: time.Second, tasks: running, peer: 7},
		{name: "another controller had read the records, but is silent: it may have confirmed a cancellation", age: 9 * time.Second, tasks: running, peer: 7, heard: 4 * time.Second},
		{name: "another controller has been silent since this one started", age: time.Second, tasks: running, heard: -1},
		{name: "twice in a row", age: 9 * time.Second, tasks: running, renewedAgo: 1500 * time.Millisecond},
		{name: "again after the worker has tried the other controllers", age: 9 * time.Second, tasks: running, renewedAgo: 4 * time.Second, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.follower.loaded, controller.cfg.Deployment.Workers = false, workers
			now := time.Now()
			controller.cancellations.unverified.startedAt = now.Add(-test.age)
			controller.cfg.KnownPeers = []config.Peer{{MemberName: "n1"}}
			if test.heard >= 0 {
				controller.reachability.peers["n1"] = peerState{heartbeat: protocol.PeerHeartbeat{Revision: test.peer}, receivedAt: now.Add(-test.heard)}
			}
			if test.renewedAgo > 0 {
				controller.cancellations.unverified.lastRenewals["m"] = now.Add(-test.renewedAgo)
			}
			response, ok := controller.renewUnverified(&protocol.Heartbeat{Machine: "m", Incarnation: 1, FencingToken: 41, Tasks: test.tasks}, now)
			if ok != test.want {
				t.Errorf("renewed: %v, want %v", ok, test.want)
			}
			if ok && (response.FencingToken != 41 || len(response.Commands) != 0) {
				t.Errorf("answered with token %d and %d commands, want the worker's own token 41 and none", response.FencingToken, len(response.Commands))
			}
		})
	}
	// With the deployments' settings, the last lease that is renewed without a cancellation expires
	// within cancel_s of that cancellation.
	for _, settings := range []config.Workers{{LeaseS: 10, CancelS: 40}, {LeaseS: 11, CancelS: 41}, {LeaseS: 15.25, CancelS: 45.25}, {LeaseS: 16, CancelS: 36}, {LeaseS: 26.5, CancelS: 46.5}} {
		if end := unverifiedRenewalWindow(settings) + seconds(2*settings.LeaseS); end > seconds(settings.CancelS) {
			t.Errorf("%+v: a lease renewed without records may expire %v after a cancellation", settings, end)
		}
		if end := maxCancellationInfoAge(settings) + seconds(settings.LeaseS); end > seconds(settings.CancelS) {
			t.Errorf("%+v: a lease renewed as proxy may expire %v after a cancellation", settings, end)
		}
	}
}

// A controller renews a worker's lease as a proxy if the machine's owner has ended or is silent in an
// outage, and if its own cache is recent enough.
func TestProxyRenewals(t *testing.T) {
	const restarted = -time.Second // the owner was restarted: its peer heartbeats have no revision
	for _, test := range []struct {
		name   string
		member uint64        // the owner's incarnation in its member record; the shard's record has 3
		served time.Duration // time since the state service last answered this controller
		heard  time.Duration // time since the owner's last peer heartbeat
		read   time.Duration // age of the cache
		want   bool
	}{
		{"the owner is alive", 3, 0, 0, 0, false},
		{"the owner has ended, and its shard has no new owner yet", 0, 0, 9 * time.Second, 0, true},
		{"the owner has restarted", 4, 0, 0, 0, true},
		{"an outage, but the owner sends peer heartbeats", 3, 5 * time.Second, 0, 5 * time.Second, false},
		{"an outage, and the owner is silent", 3, 5 * time.Second, 5 * time.Second, 5 * time.Second, true},
		{"an outage that has lasted too long", 3, 19 * time.Second, 19 * time.Second, 19 * time.Second, false},
		{"an outage, and the owner sends peer heartbeats, but was restarted and has read no records", 3, 5 * time.Second, restarted, 5 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t) // lease_s 10, cancel_s 30
			now := time.Now()
			controller.cache.Shards[0].Member, controller.cache.Shards[0].Incarnation = "n1", 3
			if test.member > 0 {
				controller.cache.Members["n1"] = &storage.Member{MemberRecord: storage.MemberRecord{Incarnation: test.member}, Version: 1}
			}
			controller.storeHealth.servedAt, controller.follower.cacheCurrentAt = now.Add(-test.served), now.Add(-test.read)
			controller.reachability.peers["n1"] = peerState{receivedAt: now.Add(-test.heard), heartbeat: protocol.PeerHeartbeat{Revision: 4}}
			if test.heard == restarted {
				controller.reachability.peers["n1"] = peerState{receivedAt: now}
			}
			if got := controller.renewsAsProxy(controller.cache.Machine("m"), now); got != test.want {
				t.Errorf("renews as proxy: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against cancelled tasks whose leases are renewed without a kill: a proxy sent kills only for tasks in the
// machine's record, although it may know of a cancellation by a digest and not have read the task's placement; an owner
// sent none in the answer to a heartbeat that was not the latest.
func TestRenewalsKillCancelledTasks(t *testing.T) {
	const reported, recorded = "job-000002", "job-000001"
	for _, test := range []struct {
		name  string
		owner bool
	}{{"proxy", false}, {"owner, not the latest heartbeat", true}} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			now := time.Now()
			controller.storeHealth.servedAt, controller.follower.cacheCurrentAt = now.Add(-5*time.Second), now.Add(-5*time.Second)
			machine := controller.cache.Machine("m")
			applyRecord(t, controller, storage.GroupKey(0), storage.GroupRecord{Machines: []storage.GroupMachine{{Name: "m", Incarnation: 1,
				Tasks: []storage.PlacedTasks{{Job: recorded, Numbers: []uint64{0, 3, 0, 0}}}}}}, 5)
			controller.cancellations.digest.addGossiped([]protocol.Cancellation{{Version: 7, Job: recorded}, {Version: 8, Job: reported}}, 5)
			heartbeat := &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: 4}
			for _, job := range []string{recorded, reported} {
				heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: protocol.TaskName(job, 0), Attempt: 3, State: protocol.TaskRunning})
			}
			kills := map[string]int{}
			reply := func(_ int, body any) {
				response, _ := body.(protocol.HeartbeatResponse)
				for _, command := range response.Commands {
					if command.Op == protocol.OpKill {
						kills[command.Task]++
					}
				}
			}
			if test.owner {
				controller.applyHeartbeat(machine, controller.workerState(machine), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 3, FencingToken: 4}, 4, false)
				controller.answerHeartbeat(heldReply{machine: "m", heartbeat: heartbeat, reply: reply})
			} else {
				controller.cache.Shards[0].Member, controller.cache.Shards[0].Incarnation = "n1", 3
				controller.handleHeartbeat(t.Context(), heartbeat, reply)
			}
			if kills[protocol.TaskName(recorded, 0)] != 1 || kills[protocol.TaskName(reported, 0)] != 1 {
				t.Errorf("kills %v, want one of each job's task", kills)
			}
		})
	}
}

// Guards against a machine that no controller can command: a shard's new owner had sent its fencing
// token to a worker, and then the machine's group moved to another shard under a token computed before.
// The worker's heartbeats were refused, its tasks stayed in the record, and their job never ended.
func TestFencingTokenIsRaisedAboveWorkers(t *testing.T) {
	for _, test := range []struct {
		name   string
		token  uint64
		status int
		raised bool
	}{
		{"equal", 4, 200, false},
		{"lower: the worker has not seen the record's token yet", 3, 200, false},
		{"higher", 9, 421, true},
		{"higher than any committed token", 1 << 60, 421, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.follower.highestRevision = 12
			status := 0
			controller.handleHeartbeat(t.Context(), &protocol.Heartbeat{Machine: "m", Incarnation: 1, Seq: 2, FencingToken: test.token}, func(s int, _ any) { status = s })
			controller.flushHeldReplies(time.Now(), true)
			if status != test.status {
				t.Errorf("answered %d, want %d", status, test.status)
			}
			builder, _ := controller.plan(time.Now(), 12)
			if record := machineIn(t, builder); (record.FencingToken > test.token) != test.raised {
				t.Errorf("the record's token is %d and the worker's %d; the former must be raised in the case 'higher' only", record.FencingToken, test.token)
			}
		})
	}
}
