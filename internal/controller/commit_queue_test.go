package controller

import (
	"reflect"
	"testing"

	"dykeledge/internal/protocol"
)

// A transaction whose outcome is unknown may still be applied: it is repeated
// unchanged, and nothing else is committed, until its outcome is known.
func TestInDoubtTransactions(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision uint64
		failed   []string
		err      error
		inDoubt  bool
		placed   int
		awaited  uint64 // revision before which nothing is planned
	}{
		{"committed", 9, nil, nil, false, 2, 0},
		{"conflict: the watch tells", 9, []string{"x"}, nil, false, 0, 9},
		{"refused: not executed", 0, nil, protocol.ErrRefused, false, 0, 0},
		{"unknown", 0, nil, protocol.ErrUnknown, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			builder, _ := controller.plan(controller.workerState(controller.cache.Machine("m")).heard, 12)
			txn := builder.build()
			controller.workers.directCommands = maxDirectCommands // no workers here
			controller.handleTxnOutcome(txn, test.revision, test.failed, test.err)
			commits := &controller.commits
			if (commits.inDoubt != nil) != test.inDoubt || commits.awaitedRevision != test.awaited {
				t.Fatalf("in doubt: %v, waiting for revision %d", commits.inDoubt != nil, commits.awaitedRevision)
			}
			if commits.inDoubt != nil && !reflect.DeepEqual(*commits.inDoubt, txn) {
				t.Fatal("another transaction than the one in doubt")
			}
			if n := controller.cache.Job("job-000001").PlacedCount; n != test.placed {
				t.Fatalf("%d tasks placed, want %d", n, test.placed)
			}
		})
	}
}
