package simulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"

	"dykeledge/internal/protocol"
)

// errOverRate is a refusal for the rate; the outside sees 429.
var errOverRate = fmt.Errorf("%w: over the rate", protocol.ErrRefused)

// defaultKeptChanges is how many changes a watch may lag behind before it has to read again.
const defaultKeptChanges = 10_000

// entry is what is kept under a key.
type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

// lease is a controller's session lease: what is attached to it is removed as it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// renew gives the lease its full time again.
func (l *lease) renew() { l.expires = time.Now().Add(l.ttl) }

// Store stands in for the state service.
type Store struct {
	mu                 sync.Mutex
	keys               *btree.Map[string, entry]
	rev                uint64
	log                []protocol.Event
	compactedTo        uint64 // changes up to this revision are not kept any more
	changed            chan struct{}
	leases             map[uint64]*lease
	lastLeaseID        uint64
	down               bool
	refusedControllers map[string]bool // controllers that alone get 503
	Writes             int
	// Limited makes the store refuse what is over the deployment's rates.
	Limited  bool
	Requests int
	OverRate int // requests refused for their rate
	rates    stateRates
	// MaxValue and MaxOps, if set, are how many bytes a value may have and how many
	// changes a transaction; four times as many conditions.
	MaxValue, MaxOps int
	Keep             int // changes that are kept for watches; 0: as many as the protocol says
	TooLarge         int // transactions refused for their size
	// Check, if set, looks at every transaction once it is applied.
	Check func(protocol.Txn)
	// Slow, if set, is how long a controller's request takes to be looked at.
	Slow func(controller string) time.Duration
	// Lag, if set, is how long a watch's answer takes to a controller.
	Lag func(controller string) time.Duration
}

// stateRates are the rates that the store enforces.
type stateRates struct{ requests, writes bucket }

// bucket is one of a service's limits.
type bucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

// take takes a number of requests from the bucket, if it holds so many.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Value is what is kept under a key.
func (s *Store) Value(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys.Get(key)
	return e.value, ok
}

// Changes are the changes after a revision up to another, as far as they are kept.
func (s *Store) Changes(after, upTo uint64) []protocol.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.Event
	for _, e := range s.log {
		if e.Version > after && e.Version <= upTo {
			out = append(out, e)
		}
	}
	return out
}

// Compact refuses watches from before now, as if more changes than the service keeps had come
// since: whoever is behind has to read again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.rev
}

// Limit makes the store enforce its rates, as the state service does.
func (s *Store) Limit(rps, writes float64) {
	s.Limited = true
	s.rates = stateRates{
		requests: bucket{rate: rps, burst: rps},
		writes:   bucket{rate: writes, burst: writes},
	}
}

// Size is how many keys the store holds, and the bytes of keys and values.
func (s *Store) Size() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Scan(func(k string, e entry) bool {
		bytes += len(k) + len(e.value)
		return true
	})
	return s.keys.Len(), bytes
}

// overRequestRate counts a request; called with the lock held.
func (s *Store) overRequestRate() bool {
	s.Requests++
	if s.Limited && !s.rates.requests.take(1) {
		s.OverRate++
		return true
	}
	return false
}

// overWriteRate counts a transaction's changes, and tells whether they are over the rate; called with the lock held.
func (s *Store) overWriteRate(changes int) bool {
	if s.Limited && !s.down && changes > 0 && !s.rates.writes.take(float64(changes)) {
		s.OverRate++
		return true
	}
	return false
}

// refuses tells whether the store answers a controller with 503; called with the lock held.
func (s *Store) refuses(controller string) bool { return s.down || s.refusedControllers[controller] }

// treeDegree is the degree of the tree that holds the keys.
const treeDegree = 32

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		keys:               btree.NewMap[string, entry](treeDegree),
		changed:            make(chan struct{}),
		leases:             map[uint64]*lease{},
		refusedControllers: map[string]bool{},
	}
}

// SetDown begins or ends an outage; after one every lease has its full time again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, held := range s.leases {
			held.renew()
		}
	}
	s.down = down
}

// Deny lets one controller alone get 503.
func (s *Store) Deny(controller string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedControllers[controller] = on
}

// grant gives a lease and returns its number; called with the lock held.
func (s *Store) grant(ttl time.Duration) uint64 {
	s.lastLeaseID++
	granted := &lease{ttl: ttl}
	granted.renew()
	s.leases[s.lastLeaseID] = granted
	return s.lastLeaseID
}

// endLease ends a lease and removes what is attached to it; called with the lock held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	s.release(id)
}

// expire ends the leases whose time is over; called with the lock held.
func (s *Store) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.endLease(id)
		}
	}
}

// release removes what is attached to a lease that has ended.
func (s *Store) release(id uint64) {
	var keys []string
	s.keys.Scan(func(k string, e entry) bool {
		if e.lease == id {
			keys = append(keys, k)
		}
		return true
	})
	for _, k := range keys {
		s.recordEvent(protocol.Event{Delete: k, Version: s.rev})
	}
}

// page reads a page of the keys after one; called with the lock held.
func (s *Store) page(prefix, after string, limit int) protocol.Page {
	page, size := protocol.Page{Revision: s.rev}, 0
	s.keys.Ascend(max(prefix, after), func(key string, e entry) bool {
		if key == after {
			return true
		}
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		if page.More = len(page.Items) == limit || size > maxPageBytes; page.More {
			return false
		}
		size += len(key) + len(e.value)
		page.Items = append(page.Items, protocol.Item{Key: key, Value: slices.Clone(e.value), Version: e.version})
		return true
	})
	return page
}

// eventsAfter lists the changes after a revision that are kept; called with the lock held.
func (s *Store) eventsAfter(prefix string, revision uint64) protocol.Events {
	events := protocol.Events{Revision: s.rev}
	first, _ := slices.BinarySearchFunc(s.log, revision, func(e protocol.Event, r uint64) int {
		if e.Version <= r {
			return -1
		}
		return 1
	})
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Put+e.Delete, prefix) {
			events.Events = append(events.Events, e)
		}
	}
	return events
}

// recordEvent notes a recordEvent of a key; called with the lock held.
func (s *Store) recordEvent(event protocol.Event) {
	if event.Delete != "" {
		s.keys.Delete(event.Delete)
	}
	keep := defaultKeptChanges
	if s.Keep > 0 {
		keep = s.Keep
	}
	if s.log = append(s.log, event); len(s.log) > 2*keep {
		s.compactedTo = s.log[len(s.log)-keep-1].Version
		s.log = slices.Clone(s.log[len(s.log)-keep:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Shrink lowers the store's limits, without notice.
func (s *Store) Shrink(value, ops int, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValue, s.MaxOps = value, ops
	s.rates.writes.rate, s.rates.writes.burst = writes, writes
}

// tooLarge tells whether a transaction is over the limits of size.
func (s *Store) tooLarge(t protocol.Txn) bool {
	if s.MaxOps > 0 && (len(t.Then) > s.MaxOps || len(t.If) > 4*s.MaxOps) {
		return true
	}
	return s.MaxValue > 0 && slices.ContainsFunc(t.Then, func(c protocol.Change) bool { return len(c.Value) > s.MaxValue })
}

// apply carries out a transaction, or tells which conditions don't hold; called with the lock held.
func (s *Store) apply(txn protocol.Txn) (uint64, []string, error) {
	if s.tooLarge(txn) {
		return 0, nil, fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)
	}
	s.expire()
	var failed []string
	for _, c := range txn.If {
		if e, _ := s.keys.Get(c.Key); e.version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return s.rev, failed, nil
	}
	for _, c := range txn.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 0, nil, protocol.ErrNoLease
		}
	}
	if len(txn.Then) > 0 {
		s.rev++
	}
	for _, c := range txn.Then {
		s.Writes++
		if c.Delete != "" {
			if _, ok := s.keys.Get(c.Delete); ok {
				s.recordEvent(protocol.Event{Delete: c.Delete, Version: s.rev})
			}
			continue
		}
		s.keys.Set(c.Put, entry{slices.Clone(c.Value), s.rev, c.Lease})
		s.recordEvent(protocol.Event{Put: c.Put, Value: slices.Clone(c.Value), Version: s.rev})
	}
	if s.Check != nil {
		s.Check(txn)
	}
	return s.rev, nil, nil
}
