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

func (stubStore) SetLimit(float64) {}

// TestInDoubtTransactionIsResolved guards against repeating an in-doubt transaction forever when the
// state service refuses the repetition because of its size. The transaction is then still in doubt,
// since the first copy may have been committed before the limits were lowered, or may arrive late.
func TestInDoubtTransactionIsResolved(t *testing.T) {
	controller := newCore(t)
	builder, _ := controller.plan(controller.workerState(controller.cache.Machine("m")).lastMessageAt, 12)
	txn := builder.build()
	controller.workers.directCommands = maxDirectCommands
	controller.handleTxnOutcome(txn, 0, nil, protocol.ErrOutcomeUnknown)
	tooLarge := fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)
	controller.handleTxnOutcome(*controller.commits.inDoubt, 0, nil, tooLarge)
	if controller.commits.inDoubt == nil || len(controller.commits.inDoubt.Then) != 1 || controller.commits.inDoubt.Then[0].Put != storage.ShardKey(0) || controller.commits.inDoubt.If[0].Version != 2 {
		t.Fatalf("the in-doubt transaction is not replaced by one that rewrites the shard's record: %+v", controller.commits.inDoubt)
	}
	resolving := *controller.commits.inDoubt
	controller.handleTxnOutcome(resolving, 0, nil, protocol.ErrOutcomeUnknown) // the replacement can be in doubt too
	controller.handleTxnOutcome(resolving, 0, nil, protocol.ErrRefused)
	if controller.commits.inDoubt == nil {
		t.Fatal("the in-doubt transaction was dropped before its outcome was known")
	}
	controller.handleTxnOutcome(resolving, 20, nil, nil)
	if controller.commits.inDoubt != nil || controller.commits.awaitedRevision != 20 || controller.cache.Shards[0].Version != 20 {
		t.Fatalf("in doubt %v, awaited revision %d, version of the shard's record %d", controller.commits.inDoubt != nil, controller.commits.awaitedRevision, controller.cache.Shards[0].Version)
	}
	if slices.ContainsFunc(txn.If, func(x protocol.Condition) bool {
		return x.Key == storage.ShardKey(0) && x.Version == controller.cache.Shards[0].Version
	}) {
		t.Fatal("a late copy of the transaction would still be committed")
	}
	if !controller.gates.limitsLowered {
		t.Error("the announced limits are not applied after the refusal")
	}
	// If nothing is in doubt, a refusal because of the size is definite.
	controller = newCore(t)
	builder, _ = controller.plan(controller.workerState(controller.cache.Machine("m")).lastMessageAt, 12)
	if controller.handleTxnOutcome(builder.build(), 0, nil, tooLarge); controller.commits.inDoubt != nil || !controller.gates.limitsLowered {
		t.Errorf("in doubt %v, limits lowered %v: want false and true", controller.commits.inDoubt != nil, controller.gates.limitsLowered)
	}
}

// scriptedStore answers transactions with scripted answers, and records the transactions.
type scriptedStore struct {
	stubStore
	answers  []scriptedAnswer
	requests []protocol.Txn
}

type scriptedAnswer struct {
	rev    uint64
	failed []string
	err    error
}

func (s *scriptedStore) Txn(_ context.Context, t protocol.Txn, _ protocol.RequestPriority) (uint64, []string, error) {
	answer := s.answers[len(s.requests)]
	s.requests = append(s.requests, t)
	return answer.rev, answer.failed, answer.err
}

// newScriptedLeader returns a controller that uses the given store. The leader is this controller
// if leads is set, otherwise member n1.
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

// TestLeadersInDoubtTransactionIsResolved checks that a leader's in-doubt transaction is resolved
// when its repetition is refused because of its size: the leader's key is rewritten, and the
// outcome is reported only after the cache has reached the revision of that write.
func TestLeadersInDoubtTransactionIsResolved(t *testing.T) {
	tooLarge := scriptedAnswer{err: fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)}
	unknown, refused := scriptedAnswer{err: protocol.ErrOutcomeUnknown}, scriptedAnswer{err: protocol.ErrRefused}
	for _, test := range []struct {
		name    string
		answers []scriptedAnswer
		leads   bool
		rewrite bool // the last request rewrites the leader's key
		waits   bool // the outcome is reported only once the cache has reached the revision
		ok      bool // the transaction is reported as committed
	}{
		{"refused without being in doubt", []scriptedAnswer{tooLarge}, true, false, false, false},
		{"committed after it was in doubt", []scriptedAnswer{unknown, {rev: 20}}, true, false, false, true},
		{"resolved", []scriptedAnswer{unknown, tooLarge, {rev: 20}}, true, true, true, false},
		{"resolved after the rewrite was in doubt too", []scriptedAnswer{unknown, refused, tooLarge, unknown, refused, {rev: 20}}, true, true, true, false},
		{"another member leads: the late copy fails in any case", []scriptedAnswer{unknown, tooLarge, {rev: 20, failed: []string{"leader"}}}, true, true, true, false},
		{"a transaction without changes does not resolve the doubt", []scriptedAnswer{unknown, tooLarge, {rev: 15}, {rev: 20, failed: []string{"leader"}}}, false, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &scriptedStore{answers: test.answers}
				controller := newScriptedLeader(t, store, test.leads)
				go serveInbox(ctx, controller)
				txn := protocol.Txn{If: []protocol.Condition{{Key: storage.LeaderKey, Version: 5}},
					Then: []protocol.Change{{Put: storage.VictimSetKey("x"), Value: storage.Encode(storage.VictimSetRecord{})}}}
				done, ok := false, false
				go controller.commitWithRetry(ctx, txn, func(committed bool) { done, ok = true, committed })
				time.Sleep(10 * time.Second)
				if done == test.waits {
					t.Fatalf("outcome reported before the cache reached revision 20: %v", done)
				}
				controller.post(func() { controller.cache.Revision = 20 })
				time.Sleep(time.Second)
				if !done || ok != test.ok || len(store.requests) != len(test.answers) {
					t.Fatalf("outcome reported %v, committed %v after %d requests", done, ok, len(store.requests))
				}
				last := store.requests[len(store.requests)-1]
				rewrites := len(last.Then) == 1 && last.Then[0].Put == storage.LeaderKey
				if rewrites != test.rewrite || rewrites && (last.Then[0].Lease != 7 || last.If[0].Version != 5) {
					t.Errorf("unexpected last request %+v", last)
				}
			})
		})
	}
}
