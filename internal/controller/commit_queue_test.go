package controller

import (
	"reflect"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// TestInDoubtTransactions checks that a transaction whose outcome is unknown, and which may
// therefore still be applied, is repeated unchanged, and that nothing else is committed until its
// outcome is known.
func TestInDoubtTransactions(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision uint64
		failed   []string
		err      error
		inDoubt  bool
		placed   int
		awaited  uint64 // revision that the cache must reach before the next plan
	}{
		{"committed", 9, nil, nil, false, 2, 0},
		{"conflict: the cache has to catch up", 9, []string{"x"}, nil, false, 0, 9},
		{"refused: not applied", 0, nil, protocol.ErrRefused, false, 0, 0},
		{"unknown", 0, nil, protocol.ErrOutcomeUnknown, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			builder, _ := controller.plan(controller.workerState(controller.cache.Machine("m")).lastMessageAt, 12)
			txn := builder.build()
			controller.workers.directCommands = maxDirectCommands // keeps direct commands from being sent: there are no workers
			controller.handleTxnOutcome(txn, test.revision, test.failed, test.err)
			commits := &controller.commits
			if (commits.inDoubt != nil) != test.inDoubt || commits.awaitedRevision != test.awaited {
				t.Fatalf("in doubt: %v, awaited revision %d", commits.inDoubt != nil, commits.awaitedRevision)
			}
			if commits.inDoubt != nil && !reflect.DeepEqual(*commits.inDoubt, txn) {
				t.Fatal("the in-doubt transaction differs from the one that was sent")
			}
			if placedCount := controller.cache.Job("job-000001").PlacedCount; placedCount != test.placed {
				t.Fatalf("%d tasks placed, want %d", placedCount, test.placed)
			}
		})
	}
}

// TestNoPlanBeforeWatchCompletesRead guards against tasks that start twice: the pages of a full read are of different
// revisions, so a machine group's record may have been rejected, and its tasks seem to wait until the watch delivers it
// again. And a cancelled job whose tasks seem not to be placed must not be dropped.
func TestNoPlanBeforeWatchCompletesRead(t *testing.T) {
	const readRevision = 9
	controller := newCore(t)
	controller.cache.ReadRevision = readRevision
	cancelled := storage.JobRecord{Tasks: 2, Team: "red", Spec: &storage.SpecRecord{Class: "c", Cpus: 4}, Final: string(protocol.Cancelled)}
	applyRecord(t, controller, storage.JobKey("job-000002"), cancelled, 4)
	store := &countingStore{}
	controller.store = store
	controller.cycle(t.Context())
	controller.cache.PruneFinalJobs()
	if store.paced > 0 || controller.commits.inFlight || controller.cache.Job("job-000002") == nil {
		t.Fatalf("planned %d times, cancelled job dropped: %v", store.paced, controller.cache.Job("job-000002") == nil)
	}
	controller.cache.Revision = readRevision
	controller.cycle(t.Context())
	controller.cache.PruneFinalJobs()
	if store.paced != 1 || controller.cache.Job("job-000002") != nil {
		t.Errorf("planned %d times after the watch had caught up, cancelled job kept: %v", store.paced, controller.cache.Job("job-000002") != nil)
	}
}

// countingStore counts the calls of Pace, which each planning cycle makes, and postpones the plans.
type countingStore struct {
	StateStore
	paced int
}

func (s *countingStore) Pace(int) time.Duration {
	s.paced++
	return time.Hour
}
