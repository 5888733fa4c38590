package controller

import (
	"context"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// putStore takes whatever is put.
type putStore struct {
	StateStore
	puts chan protocol.Change
}

func (putStore) Pace(int) time.Duration { return 0 }

func (s putStore) Txn(_ context.Context, t protocol.Txn, _ protocol.RequestPriority) (uint64, []string, error) {
	for _, c := range t.Then {
		s.puts <- c
	}
	return 50, nil, nil
}

// A transaction of the process before was applied late: the record said what that had been,
// and vanished with its session lease. The controller lived on as no member, and the gate never opened.
func TestARecordThatIsNotItsOwnIsWrittenAnew(t *testing.T) {
	own := storage.MemberRecord{Incarnation: 7, Layout: storage.LayoutTeams, FrameLevel: protocol.FramesCancellationDigest}
	for _, test := range []struct {
		name string
		rec  *storage.MemberRecord
		read uint64 // how far the cache is; the record was written at 40
		want bool
	}{
		{"its own", &own, 45, false},
		{"of the process before", &storage.MemberRecord{Incarnation: 3}, 45, true},
		{"none", nil, 45, true},
		{"none yet: the cache has not come so far", nil, 39, false},
		{"not ready, from an attempt with unknown outcome", &storage.MemberRecord{Incarnation: 7, Layout: storage.LayoutTeams, NotReady: true}, 45, true},
		{"of a later process", &storage.MemberRecord{Incarnation: 9, Layout: storage.LayoutPacked}, 45, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			store := putStore{puts: make(chan protocol.Change, 4)}
			controller.store, controller.cache.Revision = store, test.read
			controller.session.lease, controller.session.incarnation, controller.session.memberRevision = 11, 7, 40
			if test.rec != nil {
				controller.cache.Members["n0"] = &storage.Member{MemberRecord: *test.rec, Version: 41}
			}
			controller.repairMemberRecord(t.Context())
			if controller.session.memberWriteInFlight != test.want {
				t.Fatalf("written again: %v, want %v", controller.session.memberWriteInFlight, test.want)
			}
			if !test.want {
				return
			}
			put := <-store.puts
			if string(put.Value) != string(storage.Encode(own)) || put.Lease != 11 || put.Put != storage.MemberKey("n0") {
				t.Errorf("%s: %s under session lease %d", put.Put, put.Value, put.Lease)
			}
			(<-controller.inbox)() // its outcome
			if controller.repairMemberRecord(t.Context()); controller.session.memberWriteInFlight {
				t.Error("it is written again although it was just written")
			}
		})
	}
}
