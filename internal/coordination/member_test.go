package coordination

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

func (s putStore) Txn(_ context.Context, t protocol.Txn, _ protocol.Haste) (uint64, []string, error) {
	for _, c := range t.Then {
		s.puts <- c
	}
	return 50, nil, nil
}

// A transaction of the process before was applied late: the record said what that had been,
// and vanished with its hold. The node lived on as no member, and the gate never opened.
func TestARecordThatIsNotItsOwnIsWrittenAnew(t *testing.T) {
	own := storage.NodeRecord{Incarnation: 7, Layout: storage.LayoutTeams, Frames: protocol.FramesWord}
	for _, x := range []struct {
		name string
		rec  *storage.NodeRecord
		read uint64 // how far the cache is; the record was written at 40
		want bool
	}{
		{"its own", &own, 45, false},
		{"of the process before", &storage.NodeRecord{Incarnation: 3}, 45, true},
		{"none", nil, 45, true},
		{"none yet: the cache has not come so far", nil, 39, false},
		{"unfit, from an attempt with unknown outcome", &storage.NodeRecord{Incarnation: 7, Layout: storage.LayoutTeams, Unfit: true}, 45, true},
		{"of a later process", &storage.NodeRecord{Incarnation: 9, Layout: storage.LayoutPacked}, 45, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCore(t)
			s := putStore{puts: make(chan protocol.Change, 4)}
			c.state, c.lease, c.incarnation, c.memberAt, c.cache.Revision = s, 11, 7, 40, x.read
			if x.rec != nil {
				c.cache.Nodes["n0"] = &storage.Node{NodeRecord: *x.rec, Version: 41}
			}
			c.keepMembership(t.Context())
			if c.memberBusy != x.want {
				t.Fatalf("written anew: %v, want %v", c.memberBusy, x.want)
			}
			if !x.want {
				return
			}
			put := <-s.puts
			if string(put.Value) != string(storage.Encode(own)) || put.Lease != 11 || put.Put != storage.NodeKey("n0") {
				t.Errorf("%s: %s under hold %d", put.Put, put.Value, put.Lease)
			}
			(<-c.inbox)() // its outcome
			if c.keepMembership(t.Context()); c.memberBusy {
				t.Error("it is written again although it was just written")
			}
		})
	}
}
