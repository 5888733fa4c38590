package controller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

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
	controller.handleTxnOutcome(txn, 0, nil, protocol.ErrUnknown)
	tooLarge := fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)
	controller.handleTxnOutcome(*controller.commits.inDoubt, 0, nil, tooLarge)
	if controller.commits.inDoubt == nil || len(controller.commits.inDoubt.Then) != 1 || controller.commits.inDoubt.Then[0].Put != storage.ShardKey(0) || controller.commits.inDoubt.If[0].Version != 2 {
		t.Fatalf("it is not settled by rewriting the shard's record: %+v", controller.commits.inDoubt)
	}
	settle := *controller.commits.inDoubt
	controller.handleTxnOutcome(settle, 0, nil, protocol.ErrUnknown) // it may be in doubt itself
	controller.handleTxnOutcome(settle, 0, nil, protocol.ErrRefused)
	if controller.commits.inDoubt == nil {
		t.Fatal("given up before it was known")
	}
	controller.handleTxnOutcome(settle, 20, nil, nil)
	if controller.commits.inDoubt != nil || controller.commits.awaitedRevision != 20 || controller.cache.Shards[0].Version != 20 {
		t.Fatalf("in doubt %v, waiting for %d, shard's version %d", controller.commits.inDoubt != nil, controller.commits.awaitedRevision, controller.cache.Shards[0].Version)
	}
	if slices.ContainsFunc(txn.If, func(x protocol.Condition) bool {
		return x.Key == storage.ShardKey(0) && x.Version == controller.cache.Shards[0].Version
	}) {
		t.Fatal("a late copy would still be carried out")
	}
	if !controller.gates.limitsLowered {
		t.Error("the limits to come are not taken up")
	}
	// Where nothing is in doubt a refusal for size is definite.
	controller = newCore(t)
	builder, _ = controller.plan(controller.workerState(controller.cache.Machine("m")).heard, 12)
	if controller.handleTxnOutcome(builder.build(), 0, nil, tooLarge); controller.commits.inDoubt != nil || !controller.gates.limitsLowered {
		t.Errorf("in doubt %v, lowered %v", controller.commits.inDoubt != nil, controller.gates.limitsLowered)
	}
}

// scriptStore answers transactions by a script, and notes them.
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
	answer := s.answers[len(s.asked)]
	s.asked = append(s.asked, t)
	return answer.rev, answer.failed, answer.err
}

// runInbox does a controller's work until ctx ends.
func runInbox(ctx context.Context, c *Controller) {
	for {
		select {
		case work := <-c.inbox:
			work()
		case <-ctx.Done():
			return
		}
	}
}

// newScriptedLeader is a controller with a scripted store. It leads, or n1 does.
func newScriptedLeader(t *testing.T, store StateStore, leads bool) *Controller {
	t.Helper()
	c := newCore(t)
	c.store, c.workers.directCommands, c.session.lease = store, maxDirectCommands, 7
	leader := "n1"
	if leads {
		leader = "n0"
	}
	c.applyTxn(protocol.Txn{Then: []protocol.Change{{Put: storage.LeaderKey,
		Value: storage.Encode(storage.LeaderRecord{Member: leader, Incarnation: 1})}}}, 5)
	return c
}

// The leader's transactions in doubt are settled likewise: its key is rewritten, and the
// cache is waited for before anybody looks at what became of them.
func TestLeadersInDoubtTransactionIsSettled(t *testing.T) {
	tooLarge := scriptAnswer{err: fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)}
	unknown, refused := scriptAnswer{err: protocol.ErrUnknown}, scriptAnswer{err: protocol.ErrRefused}
	for _, test := range []struct {
		name    string
		answers []scriptAnswer
		leads   bool
		rewrite bool // the last one rewrites the leader's key
		waits   bool
		ok      bool
	}{
		{"refused with nothing in doubt", []scriptAnswer{tooLarge}, true, false, false, false},
		{"committed after it was in doubt", []scriptAnswer{unknown, {rev: 20}}, true, false, false, true},
		{"settled", []scriptAnswer{unknown, tooLarge, {rev: 20}}, true, true, true, false},
		{"settled after it was in doubt again", []scriptAnswer{unknown, refused, tooLarge, unknown, refused, {rev: 20}}, true, true, true, false},
		{"another leads: the late copy fails by itself", []scriptAnswer{unknown, tooLarge, {rev: 20, failed: []string{"leader"}}}, true, true, true, false},
		{"a comparison settles nothing", []scriptAnswer{unknown, tooLarge, {rev: 15}, {rev: 20, failed: []string{"leader"}}}, false, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &scriptStore{answers: test.answers}
				controller := newScriptedLeader(t, store, test.leads)
				go runInbox(ctx, controller)
				txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: 5}},
					Then: []protocol.Change{{Put: storage.VictimSetKey("x"), Value: storage.Encode(storage.VictimSetRecord{})}}}
				done, ok := false, false
				go controller.commitWithRetry(ctx, txn, func(committed bool) { done, ok = true, committed })
				time.Sleep(10 * time.Second)
				if done == test.waits {
					t.Fatalf("told before the cache had reached the revision: %v", done)
				}
				controller.post(func() { controller.cache.Revision = 20 })
				time.Sleep(time.Second)
				if !done || ok != test.ok || len(store.asked) != len(test.answers) {
					t.Fatalf("told %v, %v after %d requests", done, ok, len(store.asked))
				}
				last := store.asked[len(store.asked)-1]
				rewrites := len(last.Then) == 1 && last.Then[0].Put == storage.LeaderKey
				if rewrites != test.rewrite || rewrites && (last.Then[0].Lease != 7 || last.If[0].Version != 5) {
					t.Errorf("the last request is %+v", last)
				}
			})
		})
	}
}
