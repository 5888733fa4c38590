package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

func (idleStore) SetLimit(float64) {}

// A transaction in doubt whose repetition is refused for its size is still in doubt: the
// first copy may have been carried out before the limits fell, or come late. It was
// repeated for ever.
func TestInDoubtTransactionIsSettled(t *testing.T) {
	controller := newCore(t)
	builder, _ := controller.plan(controller.workerState(controller.cache.Machine("m")).heard, 12)
	txn := builder.build()
	controller.workers.directCommands = maxDirectCommands
	controller.sent(txn, 0, nil, protocol.ErrUnknown)
	tooLarge := fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)
	controller.sent(*controller.commits.inDoubt, 0, nil, tooLarge)
	if controller.commits.inDoubt == nil || len(controller.commits.inDoubt.Then) != 1 || controller.commits.inDoubt.Then[0].Put != storage.ShardKey(0) || controller.commits.inDoubt.If[0].Version != 2 {
		t.Fatalf("it is not settled by rewriting the ownership stamp: %+v", controller.commits.inDoubt)
	}
	settle := *controller.commits.inDoubt
	controller.sent(settle, 0, nil, protocol.ErrUnknown) // it may be in doubt itself
	controller.sent(settle, 0, nil, protocol.ErrRefused)
	if controller.commits.inDoubt == nil {
		t.Fatal("given up before it was known")
	}
	controller.sent(settle, 20, nil, nil)
	if controller.commits.inDoubt != nil || controller.commits.awaitedRevision != 20 || controller.cache.Shards[0].Version != 20 {
		t.Fatalf("doubt %v, waiting for %d, stamp %d", controller.commits.inDoubt != nil, controller.commits.awaitedRevision, controller.cache.Shards[0].Version)
	}
	if slices.ContainsFunc(txn.If, func(x protocol.Condition) bool {
		return x.Key == storage.ShardKey(0) && x.Version == controller.cache.Shards[0].Version
	}) {
		t.Fatal("a late copy would still be carried out")
	}
	if !controller.gates.limitsLowered {
		t.Error("the limits to come are not taken up")
	}
	// Without a doubt a refusal for size is definite.
	controller = newCore(t)
	builder, _ = controller.plan(controller.workerState(controller.cache.Machine("m")).heard, 12)
	if controller.sent(builder.build(), 0, nil, tooLarge); controller.commits.inDoubt != nil || !controller.gates.limitsLowered {
		t.Errorf("doubt %v, lowered %v", controller.commits.inDoubt != nil, controller.gates.limitsLowered)
	}
}

// Records of the plain layout that are far over the limits to come: full groups, whose
// machines' tasks must be able to leave, a large array with most of its tasks completed,
// a large evicted set. Every transaction keeps to the lower limits, from the gate on or with the
// limits falling at once, and at the end all is worked off.
func TestLowerLimits(t *testing.T) {
	const racks, machines, tasks = 4, 24, 40
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			controller := newCore(t)
			controller.cfg.Deployment.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 64, TxnOps: 12,
				Next: &config.StateNext{WriteRPS: 56, ValueKB: 2, TxnOps: 4}}
			version := uint64(10)
			apply := func(key string, v any) {
				version++
				if err := controller.cache.Apply(key, storage.Encode(v), version, false); err != nil {
					t.Fatal(err)
				}
				controller.cache.Revision, controller.follower.highestRevision = version, version
			}
			type place struct {
				job  string
				task int
			}
			on := map[place]string{}
			next := map[string]int{}
			var jobs []string
			for i := range 60 {
				id := fmt.Sprintf("job-%06d", 100+random.IntN(1000)*100+i)
				jobs = append(jobs, id)
				n := 200
				if i == 0 {
					n = 100_000
				}
				apply(storage.JobKey(id), storage.JobRecord{Tasks: n, Team: "red", Spec: &storage.SpecRecord{Class: "c", Cpus: 0.01, Mem: 0.01, Image: "i", Spot: true}})
			}
			fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
			for i := range racks * machines {
				fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprintf("host-%06d", i), Group: 1 + i/machines, Addr: fmt.Sprintf("10.1.%d.%d:9000", i/200, i%200)})
			}
			apply(storage.FleetKey("host"), fleet)
			for k := range racks {
				rec := storage.GroupRecord{}
				for _, entry := range fleet.Machines[k*machines : (k+1)*machines] {
					groupMachine := storage.GroupMachine{Name: entry.Name, Incarnation: 1}
					for range tasks {
						id := jobs[random.IntN(len(jobs))]
						if next[id] >= 200 {
							continue
						}
						p := place{id, next[id]}
						if id == jobs[0] {
							p.task = next[id] * 499 // far apart
						}
						next[id]++
						on[p] = entry.Name
						groupMachine.Tasks = append(groupMachine.Tasks, storage.PlacedTasks{Job: id, Numbers: []uint64{uint64(p.task), 5 + random.Uint64N(50_000), 1_700_000_000 + random.Uint64N(300), random.Uint64N(90)}})
					}
					rec.Machines = append(rec.Machines, groupMachine)
				}
				apply(storage.GroupKey(k+1), rec)
			}
			apply(storage.LayoutKey, storage.LayoutRecord{Version: storage.LayoutPacked})
			controller.workers.directCommands = maxDirectCommands // no workers here
			controller.changed()
			for _, m := range controller.cache.Machines {
				if m.Name != "m" {
					controller.applyHeartbeat(m, controller.workerState(m), reportOf(m, 1), 4, false)
				}
			}
			limit, total, steps := 2<<10, len(on), 0
			for ; steps < 4000; steps++ {
				if steps == 100*int(seed%2) { // then what is there only runs out
					for _, j := range controller.cache.Jobs {
						if j != nil {
							controller.jobState(j).backoff = time.Now().Add(time.Hour)
						}
					}
				}
				for _, m := range controller.cache.Machines { // some tasks complete
					if m.Name == "m" || len(m.Tasks) == 0 || random.IntN(10) > 0 {
						continue
					}
					v := controller.workerState(m)
					rep := reportOf(m, v.Seq+1)
					for i := range rep.Tasks {
						if random.IntN(3) == 0 {
							rep.Tasks[i].State, rep.Tasks[i].Cause = protocol.TaskExited, protocol.CauseDone
						}
					}
					controller.applyHeartbeat(m, v, rep, controller.cache.FencingToken(m), false)
				}
				txn, _ := controller.nextTxn(controller.workerState(controller.cache.Machine("m")).heard)
				if len(txn.Then) == 0 {
					placed := 0
					for _, j := range controller.cache.Jobs {
						if j != nil {
							placed += j.PlacedCount
						}
					}
					if placed == 0 {
						break
					}
					continue
				}
				if len(txn.Then) > 4 || len(txn.If) > 16 {
					t.Fatalf("%d changes on %d conditions", len(txn.Then), len(txn.If))
				}
				for _, ch := range txn.Then {
					if len(ch.Value) > limit {
						t.Fatalf("%s takes %d bytes", ch.Put, len(ch.Value))
					}
				}
				version++
				controller.sent(txn, version, nil, nil)
				controller.cache.Revision = version
				seen := map[place]int32{}
				for _, m := range controller.cache.Machines {
					for _, p := range m.Tasks {
						at := place{p.Job.ID, p.Task}
						if o, twice := seen[at]; twice {
							t.Fatalf("%v is on %d and %d", at, o, m.Index)
						}
						seen[at] = m.Index
						if p.Job.Done.Get(p.Task) {
							t.Fatalf("%v is completed and placed", at)
						}
					}
				}
				for p, name := range on {
					m, placed := seen[p]
					switch j := controller.cache.Job(p.job); {
					case placed && controller.cache.Machines[m].Name != name && m != 0 && j.AttemptOf[p.task] < 50_100:
						t.Fatalf("%v is on %s, not %s", p, controller.cache.Machines[m].Name, name)
					case !placed && j != nil && j.Open() && !j.Done.Get(p.task):
						t.Fatalf("%v is lost", p)
					case !placed:
						delete(on, p)
					}
				}
			}
			if len(on) > 0 {
				t.Fatalf("%d of %d tasks are still there after %d steps", len(on), total, steps)
			}
			for _, k := range controller.cache.Groups {
				if k.Size > limit {
					t.Errorf("rack %d takes %d bytes", k.ID, k.Size)
				}
			}
			t.Logf("%d tasks worked off in %d steps, %d racks", total, steps, len(controller.cache.Groups))
		})
	}
}

// A fleet's record that is over the lower limit even when packed is worked off in small
// steps; meanwhile no machine is lost, none counts twice, and none leaves, since the large
// record would bring it back.
func TestLargeFleetIsWorkedOff(t *testing.T) {
	for _, width := range []int{6, 100} {
		controller := newCore(t)
		controller.cfg.Deployment.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 64, TxnOps: 12,
			Next: &config.StateNext{WriteRPS: 56, ValueKB: 2, TxnOps: 4}}
		fleet := storage.FleetRecord{Type: "t", Zone: "a", FencingToken: 4}
		for i := range 200 {
			fleet.Machines = append(fleet.Machines, storage.FleetMachine{Name: fmt.Sprintf("%0*d-host", width, i), Group: i % 5, Addr: fmt.Sprintf("10.1.0.%d:9000", i)})
		}
		version := uint64(10)
		apply := func(ch protocol.Change) {
			key := ch.Put + ch.Delete
			if err := controller.cache.Apply(key, ch.Value, version, ch.Delete != ""); err != nil {
				t.Fatal(err)
			}
		}
		apply(protocol.Change{Put: storage.FleetKey("large"), Value: storage.Encode(fleet)})
		version++
		apply(protocol.Change{Put: storage.LayoutKey, Value: storage.Encode(storage.LayoutRecord{Version: storage.LayoutPacked})})
		steps := 0
		for ; steps < 100; steps++ {
			txn := controller.fleetTxn()
			if len(txn.Then) == 0 {
				break
			}
			if len(txn.Then) > 4 || len(txn.If) > 16 {
				t.Fatalf("%d changes, %d conditions", len(txn.Then), len(txn.If))
			}
			version++
			for _, ch := range txn.Then {
				if len(ch.Value) > 2<<10 {
					t.Fatalf("%s takes %d bytes", ch.Put, len(ch.Value))
				}
				apply(ch)
			}
			there := 0
			for _, m := range controller.cache.Machines {
				if controller.cache.MachineSeen(m.Name) && m.Fleet != nil && m.FleetEntries > 0 && len(m.Group.Machines) > 0 {
					there++
				}
			}
			if there != 201 {
				t.Fatalf("%d of 201 machines after step %d", there, steps)
			}
		}
		if f, _ := controller.cache.OversizedFleet(2 << 10); f != nil || steps == 0 {
			t.Errorf("width %d: not worked off after %d steps", width, steps)
		}
		for _, m := range controller.cache.Machines {
			if m.FleetEntries != 1 {
				t.Fatalf("%s is listed %d times", m.Name, m.FleetEntries)
			}
		}
	}
}

// scriptStore answers transactions as written down, and notes them.
type scriptStore struct {
	idleStore
	answers []scriptAnswer
	asked   []protocol.Txn
}

type scriptAnswer struct {
	rev    uint64
	failed []string
	err    error
}

func (s *scriptStore) Txn(_ context.Context, t protocol.Txn, _ protocol.RequestPriority) (uint64, []string, error) {
	a := s.answers[len(s.asked)]
	s.asked = append(s.asked, t)
	return a.rev, a.failed, a.err
}

// The leader's transactions in doubt are settled likewise: its key is rewritten, and the
// cache is waited for before anybody looks at what became of them.
func TestLeadersInDoubtTransactionIsSettled(t *testing.T) {
	tooLarge := scriptAnswer{err: fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)}
	unknown, refused := scriptAnswer{err: protocol.ErrUnknown}, scriptAnswer{err: protocol.ErrRefused}
	cases := []struct {
		name    string
		answers []scriptAnswer
		leads   bool
		rewrite bool // the last one rewrites the leader's key
		waits   bool
		ok      bool
	}{
		{"without a doubt it is refused", []scriptAnswer{tooLarge}, true, false, false, false},
		{"committed after a doubt", []scriptAnswer{unknown, {rev: 20}}, true, false, false, true},
		{"settled", []scriptAnswer{unknown, tooLarge, {rev: 20}}, true, true, true, false},
		{"settled after more doubt", []scriptAnswer{unknown, refused, tooLarge, unknown, refused, {rev: 20}}, true, true, true, false},
		{"another leads: the late copy fails by itself", []scriptAnswer{unknown, tooLarge, {rev: 20, failed: []string{"leader"}}}, true, true, true, false},
		{"a comparison settles nothing", []scriptAnswer{unknown, tooLarge, {rev: 15}, {rev: 20, failed: []string{"leader"}}}, false, false, true, false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				controller := newCore(t)
				store := &scriptStore{answers: x.answers}
				controller.store, controller.workers.directCommands, controller.session.lease = store, maxDirectCommands, 7
				node := map[bool]string{true: "n0", false: "n1"}[x.leads]
				controller.applyTxn(protocol.Txn{Then: []protocol.Change{{Put: storage.LeaderKey,
					Value: storage.Encode(storage.LeaderRecord{Member: node, Incarnation: 1})}}}, 5)
				go func() {
					for {
						select {
						case f := <-controller.inbox:
							f()
						case <-ctx.Done():
							return
						}
					}
				}()
				txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: 5}},
					Then: []protocol.Change{{Put: storage.VictimSetKey("x"), Value: storage.Encode(storage.VictimSetRecord{})}}}
				done, ok := false, false
				go controller.commitWithRetry(ctx, txn, func(o bool) { done, ok = true, o })
				time.Sleep(10 * time.Second)
				if done == x.waits {
					t.Fatalf("told before the follow came as far: %v", done)
				}
				controller.post(func() { controller.cache.Revision = 20 })
				time.Sleep(time.Second)
				if !done || ok != x.ok || len(store.asked) != len(x.answers) {
					t.Fatalf("told %v, %v after %d requests", done, ok, len(store.asked))
				}
				last := store.asked[len(store.asked)-1]
				rewrites := len(last.Then) == 1 && last.Then[0].Put == storage.LeaderKey
				if rewrites != x.rewrite || rewrites && (last.Then[0].Lease != 7 || last.If[0].Version != 5) {
					t.Errorf("the last request is %+v", last)
				}
			})
		})
	}
}
