package controller

import (
	"context"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// acceptingStore is a state service that accepts every transaction and passes its changes to puts.
type acceptingStore struct {
	StateStore
	puts chan protocol.Change
}

func (acceptingStore) Pace(int) time.Duration { return 0 }

func (s acceptingStore) Txn(_ context.Context, t protocol.Txn, _ protocol.RequestPriority) (uint64, []string, error) {
	for _, c := range t.Then {
		s.puts <- c
	}
	return 50, nil, nil
}

// Guards against a late transaction of the previous process replacing the member record: the record
// was then deleted with that process's session lease, the running controller was no longer a member,
// and the layout gate never opened.
func TestRepairMemberRecord(t *testing.T) {
	own := storage.MemberRecord{Incarnation: 7, Layout: storage.LayoutTeams, FrameLevel: protocol.FrameLevelCancellationDigest}
	for _, test := range []struct {
		name   string
		record *storage.MemberRecord
		read   uint64 // the cache's revision; the record was written at revision 40
		want   bool
	}{
		{"its own", &own, 45, false},
		{"written by the previous process", &storage.MemberRecord{Incarnation: 3}, 45, true},
		{"no record", nil, 45, true},
		{"no record, but the cache has not reached its revision yet", nil, 39, false},
		{"not ready, from an in-doubt transaction", &storage.MemberRecord{Incarnation: 7, Layout: storage.LayoutTeams, NotReady: true}, 45, true},
		{"written by a later process", &storage.MemberRecord{Incarnation: 9, Layout: storage.LayoutPacked}, 45, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			store := acceptingStore{puts: make(chan protocol.Change, 4)}
			controller.store, controller.cache.Revision = store, test.read
			controller.session.lease, controller.session.incarnation, controller.session.memberRevision = 11, 7, 40
			if test.record != nil {
				controller.cache.Members["n0"] = &storage.Member{MemberRecord: *test.record, Version: 41}
			}
			controller.repairMemberRecord(t.Context())
			if controller.session.memberWriteInFlight != test.want {
				t.Fatalf("member record written again: %v, want %v", controller.session.memberWriteInFlight, test.want)
			}
			if !test.want {
				return
			}
			put := <-store.puts
			if string(put.Value) != string(storage.Encode(own)) || put.Lease != 11 || put.Put != storage.MemberKey("n0") {
				t.Errorf("wrote %s: %s under session lease %d, want this process's record under lease 11", put.Put, put.Value, put.Lease)
			}
			(<-controller.inbox)() // handles the transaction's outcome
			if controller.repairMemberRecord(t.Context()); controller.session.memberWriteInFlight {
				t.Error("member record written again right after a successful write")
			}
		})
	}
}
