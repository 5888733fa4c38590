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

// errOverRate is a refusal because of a rate limit. Over HTTP it becomes status 429.
var errOverRate = fmt.Errorf("%w: over the rate", protocol.ErrRefused)

// defaultKeptChanges is how many changes the store keeps for watches by default. A watch that needs older ones
// fails, and its caller has to read the records again.
const defaultKeptChanges = 10_000

// entry is the value of a key, with its version and the lease that it is attached to.
type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

// lease is a controller's session lease. The keys that are attached to it are removed when it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// renew extends the lease by its full time to live.
func (l *lease) renew() { l.expires = time.Now().Add(l.ttl) }

// Store stands in for the state service.
type Store struct {
	mu                 sync.Mutex
	keys               *btree.Map[string, entry]
	revision           uint64
	log                []protocol.Event
	compactedTo        uint64 // changes up to this revision are no longer kept
	changed            chan struct{}
	leases             map[uint64]*lease
	lastLeaseID        uint64
	down               bool
	refusedControllers map[string]bool // controllers whose requests are refused with status 503
	Writes             int
	// Limited makes the store enforce the deployment's rate limits.
	Limited  bool
	Requests int
	OverRate int // requests refused because of their rate
	rates    stateRates
	// MaxValueBytes is the largest size of a value in bytes, and MaxChanges the largest number of changes in a transaction;
	// 0: no limit. A transaction may have four times as many conditions as changes.
	MaxValueBytes, MaxChanges int
	MaxKeptChanges            int // changes kept for watches; 0: defaultKeptChanges
	TooLargeTxns              int // transactions refused because of their size
	// AfterApply, if set, is called with every transaction after it was applied.
	AfterApply func(protocol.Txn)
	// RequestDelay, if set, returns by how much a controller's requests are delayed.
	RequestDelay func(controller string) time.Duration
	// WatchDelay, if set, returns by how much the answers to a controller's watches are delayed.
	WatchDelay func(controller string) time.Duration
}

// stateRates are the rate limits of the store, for requests and for changes.
type stateRates struct{ requests, writes tokenBucket }

// tokenBucket limits a rate: it refills at a rate per second up to its burst.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

// take removes n tokens and reports true, or reports false if the bucket holds fewer.
func (b *tokenBucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Value returns the value of a key, and whether the key exists.
func (s *Store) Value(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys.Get(key)
	return e.value, ok
}

// Changes returns the changes after a revision up to and including another, as far as they are kept.
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

// Compact makes a watch from an earlier revision fail, so that its caller has to read the records again, as if more
// changes had followed than the service keeps.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.revision
}

// LimitRates sets the store's rate limits in requests and changes per second, and makes the store enforce them.
func (s *Store) LimitRates(rps, writes float64) {
	s.Limited = true
	s.rates = stateRates{
		requests: tokenBucket{rate: rps, burst: rps},
		writes:   tokenBucket{rate: writes, burst: writes},
	}
}

// Size returns the number of keys, and the total size of keys and values in bytes.
func (s *Store) Size() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Scan(func(k string, e entry) bool {
		bytes += len(k) + len(e.value)
		return true
	})
	return s.keys.Len(), bytes
}

// overRequestRate counts a request and reports whether it exceeds the rate limit. The caller must hold the store's
// mutex.
func (s *Store) overRequestRate() bool {
	s.Requests++
	if s.Limited && !s.rates.requests.take(1) {
		s.OverRate++
		return true
	}
	return false
}

// overWriteRate reports whether a number of changes exceeds the rate limit for changes. The caller must hold the
// store's mutex.
func (s *Store) overWriteRate(changes int) bool {
	if s.Limited && !s.down && changes > 0 && !s.rates.writes.take(float64(changes)) {
		s.OverRate++
		return true
	}
	return false
}

// refuses reports whether the store answers a controller with status 503. The caller must hold the store's mutex.
func (s *Store) refuses(controller string) bool { return s.down || s.refusedControllers[controller] }

// treeDegree is the degree of the B-tree that holds the keys.
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

// SetDown begins or ends an outage. When an outage ends, every lease is renewed for its full time to live.
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

// RefuseController begins or ends the refusal of a single controller's requests with status 503.
func (s *Store) RefuseController(controller string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedControllers[controller] = on
}

// grant grants a lease and returns its ID. The caller must hold the store's mutex.
func (s *Store) grant(ttl time.Duration) uint64 {
	s.lastLeaseID++
	granted := &lease{ttl: ttl}
	granted.renew()
	s.leases[s.lastLeaseID] = granted
	return s.lastLeaseID
}

// endLease ends a lease and removes the keys that are attached to it. The caller must hold the store's mutex.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	s.removeAttached(id)
}

// expire ends the leases that have expired, except during an outage. The caller must hold the store's mutex.
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

// removeAttached removes the keys that are attached to a lease that has ended. The caller must hold the store's mutex.
func (s *Store) removeAttached(id uint64) {
	var keys []string
	s.keys.Scan(func(k string, e entry) bool {
		if e.lease == id {
			keys = append(keys, k)
		}
		return true
	})
	for _, k := range keys {
		s.recordEvent(protocol.Event{Delete: k, Version: s.revision})
	}
}

// page returns a page of the items whose keys have a prefix and come after a key. The caller must hold the store's
// mutex.
func (s *Store) page(prefix, after string, limit int) protocol.Page {
	page, size := protocol.Page{Revision: s.revision}, 0
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

// eventsAfter returns the kept changes after a revision, of keys with a prefix. The caller must hold the store's
// mutex.
func (s *Store) eventsAfter(prefix string, revision uint64) protocol.Events {
	events := protocol.Events{Revision: s.revision}
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

// recordEvent adds a change to the kept changes, and removes the key if it is a deletion. The caller must hold the
// store's mutex.
func (s *Store) recordEvent(event protocol.Event) {
	if event.Delete != "" {
		s.keys.Delete(event.Delete)
	}
	keep := defaultKeptChanges
	if s.MaxKeptChanges > 0 {
		keep = s.MaxKeptChanges
	}
	if s.log = append(s.log, event); len(s.log) > 2*keep {
		s.compactedTo = s.log[len(s.log)-keep-1].Version
		s.log = slices.Clone(s.log[len(s.log)-keep:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// LowerLimits lowers the store's limits while it runs.
func (s *Store) LowerLimits(value, ops int, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValueBytes, s.MaxChanges = value, ops
	s.rates.writes.rate, s.rates.writes.burst = writes, writes
}

// tooLarge reports whether a transaction exceeds the size limits.
func (s *Store) tooLarge(t protocol.Txn) bool {
	if s.MaxChanges > 0 && (len(t.Then) > s.MaxChanges || len(t.If) > 4*s.MaxChanges) {
		return true
	}
	return s.MaxValueBytes > 0 && slices.ContainsFunc(t.Then, func(c protocol.Change) bool { return len(c.Value) > s.MaxValueBytes })
}

// apply applies a transaction and returns the new revision, or returns the keys whose conditions failed. The caller
// must hold the store's mutex.
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
		return s.revision, failed, nil
	}
	for _, c := range txn.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 0, nil, protocol.ErrLeaseExpired
		}
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, c := range txn.Then {
		s.Writes++
		if c.Delete != "" {
			if _, ok := s.keys.Get(c.Delete); ok {
				s.recordEvent(protocol.Event{Delete: c.Delete, Version: s.revision})
			}
			continue
		}
		s.keys.Set(c.Put, entry{slices.Clone(c.Value), s.revision, c.Lease})
		s.recordEvent(protocol.Event{Put: c.Put, Value: slices.Clone(c.Value), Version: s.revision})
	}
	if s.AfterApply != nil {
		s.AfterApply(txn)
	}
	return s.revision, nil, nil
}
