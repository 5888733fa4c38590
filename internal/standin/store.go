// Package standin holds stand-ins for the state service, the cloud, the workers
// and the users, with faults, so that whole deployments can be played in
// virtual time without a network.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/transport"
)

type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type hold struct {
	ttl  time.Duration
	ends time.Time
}

// Store stands in for the state service.
type Store struct {
	mu      sync.Mutex
	keys    map[string]entry
	rev     uint64
	log     []protocol.Event
	changed chan struct{}
	holds   map[uint64]*hold
	lastID  uint64
	down    bool
	refused map[string]bool // nodes that alone get 503
	Writes  int
	// Limited makes the store refuse what is over the deployment's rates.
	Limited  bool
	Requests int
	Over     int // requests refused for their rate
	rates    [2]bucket
	// MaxValue and MaxOps, if set, are how many bytes a value may have and how many
	// changes a transaction; four times as many conditions.
	MaxValue, MaxOps int
	TooLarge         int // transactions refused for their size
	// Check, if set, looks at every transaction once it is applied.
	Check func(protocol.Txn)
	// Lag, if set, is how long a follow's answer takes to a node.
	Lag func(node string) time.Duration
}

// bucket is one of a service's limits.
type bucket struct {
	rate, burst, have float64
	at                time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.have = min(b.burst, b.have+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.have < n {
		return false
	}
	b.have -= n
	return true
}

// Limit makes the store enforce its rates, as the state service does.
func (s *Store) Limit(rps, writes float64) {
	s.Limited = true
	s.rates = [2]bucket{{rate: rps, burst: rps}, {rate: writes, burst: writes}}
}

// over counts a request; called with the lock held.
func (s *Store) over() bool {
	s.Requests++
	if s.Limited && !s.rates[0].take(1) {
		s.Over++
		return true
	}
	return false
}

// NewStore is empty.
func NewStore() *Store {
	return &Store{keys: map[string]entry{}, changed: make(chan struct{}), holds: map[uint64]*hold{}, refused: map[string]bool{}}
}

// SetDown begins or ends an outage; after one every hold has its full time again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, h := range s.holds {
			h.ends = time.Now().Add(h.ttl)
		}
	}
	s.down = down
}

// Refuse lets one node alone get 503.
func (s *Store) Refuse(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
}

// expire ends holds; called with the lock held.
func (s *Store) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, h := range s.holds {
		if now.After(h.ends) {
			delete(s.holds, id)
			s.rev++
			for k, e := range s.keys {
				if e.lease == id {
					s.change(protocol.Event{Delete: k, Version: s.rev})
				}
			}
		}
	}
}

func (s *Store) change(e protocol.Event) {
	if e.Delete != "" {
		delete(s.keys, e.Delete)
	}
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Shrink lowers the store's limits, without notice.
func (s *Store) Shrink(value, ops int, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValue, s.MaxOps = value, ops
	s.rates[1].rate, s.rates[1].burst = writes, writes
}

// tooLarge tells whether a transaction is over the limits of size.
func (s *Store) tooLarge(t protocol.Txn) bool {
	if s.MaxOps > 0 && (len(t.Then) > s.MaxOps || len(t.If) > 4*s.MaxOps) {
		return true
	}
	return s.MaxValue > 0 && slices.ContainsFunc(t.Then, func(c protocol.Change) bool { return len(c.Value) > s.MaxValue })
}

func (s *Store) apply(t protocol.Txn) (uint64, []string, error) {
	if s.tooLarge(t) {
		return 0, nil, fmt.Errorf("%w: %w", protocol.ErrRefused, protocol.ErrTooLarge)
	}
	s.expire()
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return s.rev, failed, nil
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.holds[c.Lease] == nil {
			return 0, nil, protocol.ErrNoLease
		}
	}
	if len(t.Then) > 0 {
		s.rev++
	}
	for _, c := range t.Then {
		s.Writes++
		if c.Delete != "" {
			if _, ok := s.keys[c.Delete]; ok {
				s.change(protocol.Event{Delete: c.Delete, Version: s.rev})
			}
			continue
		}
		s.keys[c.Put] = entry{slices.Clone(c.Value), s.rev, c.Lease}
		s.change(protocol.Event{Put: c.Put, Value: slices.Clone(c.Value), Version: s.rev})
	}
	if s.Check != nil {
		s.Check(t)
	}
	return s.rev, nil, nil
}

// StoreLink is one node's way to the store.
type StoreLink struct {
	store  *Store
	node   *Node
	budget *transport.StateBudget // nil: none
	// Late delays transactions: the caller learns nothing, and they apply later.
	Late func(protocol.Txn) time.Duration
	// After, if set, is called once a transaction is applied, before the caller
	// learns of it.
	After func(protocol.Txn)
}

// stateTimeout is how long a node waits for the state service.
const stateTimeout = 3 * time.Second

func (l *StoreLink) begin(ctx context.Context) error {
	l.node.pause()
	time.Sleep(2 * time.Millisecond)
	if l.node.dead() {
		<-ctx.Done()
		return protocol.ErrUnknown
	}
	if l.node.cut(NoState) {
		time.Sleep(2 * time.Second)
		return protocol.ErrUnknown
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.expire()
	if l.store.down || l.store.refused[l.node.Name] || l.store.over() {
		return protocol.ErrRefused
	}
	return nil
}

// Revision learns the revision.
func (l *StoreLink) Revision(ctx context.Context) (uint64, error) {
	if l.budget != nil {
		if err := l.budget.Request(ctx); err != nil {
			return 0, err
		}
	}
	if err := l.begin(ctx); err != nil {
		return 0, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.store.rev, nil
}

// List reads a page.
func (l *StoreLink) List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error) {
	if err := l.begin(ctx); err != nil {
		return protocol.Page{}, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	var keys []string
	for k := range l.store.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	p := protocol.Page{Revision: l.store.rev, More: len(keys) > limit}
	for _, k := range keys[:min(limit, len(keys))] {
		e := l.store.keys[k]
		p.Items = append(p.Items, protocol.Item{Key: k, Value: slices.Clone(e.value), Version: e.version})
	}
	return p, nil
}

// Txn carries out a transaction.
func (l *StoreLink) Txn(ctx context.Context, t protocol.Txn, haste protocol.Haste) (uint64, []string, error) {
	if l.budget != nil {
		if err := l.budget.Admit(ctx, len(t.Then), haste); err != nil {
			return 0, nil, err
		}
		l.store.mu.Lock()
		over := l.store.Limited && !l.store.down && len(t.Then) > 0 && !l.store.rates[1].take(float64(len(t.Then)))
		if over {
			l.store.Over++
		}
		l.store.mu.Unlock()
		if over {
			l.budget.StepBack()
			return 0, nil, protocol.ErrRefused
		}
	}
	if err := l.begin(ctx); err != nil {
		return 0, nil, err
	}
	if l.Late != nil {
		if d := l.Late(t); d > 0 {
			go func() {
				time.Sleep(d)
				l.store.mu.Lock()
				defer l.store.mu.Unlock()
				_, _, _ = l.store.apply(t) // nobody waits for it any more
			}()
			time.Sleep(min(d, time.Second))
			return 0, nil, protocol.ErrUnknown
		}
	}
	began := time.Now()
	l.store.mu.Lock()
	rev, failed, err := l.store.apply(t)
	if errors.Is(err, protocol.ErrTooLarge) {
		l.store.TooLarge++ // a late copy from before the limits fell is not counted: nobody waits for it
	}
	l.store.mu.Unlock()
	if l.After != nil && err == nil && len(failed) == 0 {
		l.After(t)
	}
	time.Sleep(2 * time.Millisecond)
	if l.node.overslept(began, stateTimeout) || l.node.dead() || l.node.cut(NoState|NoAnswers) {
		return 0, nil, protocol.ErrUnknown
	}
	return rev, failed, err
}

// Pace is how long it takes until n changes may go out.
func (l *StoreLink) Pace(n int) time.Duration {
	if l.budget == nil {
		return 0
	}
	return l.budget.Pace(n)
}

// Spent is how many changes the node has made, where there is a budget.
func (l *StoreLink) Spent() uint64 {
	if l.budget == nil {
		return 0
	}
	return l.budget.Spent()
}

// SetLimit sets the rate for all nodes.
func (l *StoreLink) SetLimit(changes float64) {
	if l.budget != nil {
		l.budget.SetLimit(changes)
	}
}

// SetPart sets the node's part of the rate.
func (l *StoreLink) SetPart(part float64, leads bool, used, others float64) {
	if l.budget != nil {
		l.budget.SetPart(part, leads, used, others)
	}
}

// Grant takes a hold.
func (l *StoreLink) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if l.budget != nil {
		l.budget.Owe()
	}
	if err := l.begin(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	l.store.mu.Lock()
	l.store.lastID++
	id := l.store.lastID
	l.store.holds[id] = &hold{ttl, time.Now().Add(ttl)}
	l.store.mu.Unlock()
	if l.node.overslept(began, stateTimeout) || l.node.cut(NoAnswers) {
		return 0, protocol.ErrUnknown
	}
	return id, nil
}

// Renew renews a hold.
func (l *StoreLink) Renew(ctx context.Context, lease uint64, _ time.Duration) error {
	if l.budget != nil {
		l.budget.Owe()
	}
	if err := l.begin(ctx); err != nil {
		return err
	}
	began := time.Now()
	l.store.mu.Lock()
	h := l.store.holds[lease]
	if h != nil {
		h.ends = time.Now().Add(h.ttl)
	}
	l.store.mu.Unlock()
	switch {
	case l.node.overslept(began, stateTimeout) || l.node.cut(NoAnswers):
		return protocol.ErrUnknown
	case h == nil:
		return protocol.ErrNoLease
	}
	return nil
}

// Follow waits for changes.
func (l *StoreLink) Follow(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error) {
	if l.budget != nil {
		l.budget.Owe()
	}
	if err := l.begin(ctx); err != nil {
		return protocol.Events{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		l.store.mu.Lock()
		l.store.expire()
		blind := l.store.down || l.store.refused[l.node.Name] || l.node.dead() || l.node.cut(NoState|NoAnswers)
		ev := protocol.Events{Revision: l.store.rev}
		i, _ := slices.BinarySearchFunc(l.store.log, from, func(e protocol.Event, r uint64) int {
			if e.Version <= r {
				return -1
			}
			return 1
		})
		for _, e := range l.store.log[i:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				ev.Events = append(ev.Events, e)
			}
		}
		ch := l.store.changed
		l.store.mu.Unlock()
		if !blind && (len(ev.Events) > 0 || time.Now().After(deadline)) {
			if l.store.Lag != nil {
				time.Sleep(l.store.Lag(l.node.Name))
			}
			l.node.pause()
			return ev, nil
		}
		t := time.NewTimer(200 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return protocol.Events{}, ctx.Err()
		case <-ch:
			t.Stop()
			if blind {
				time.Sleep(200 * time.Millisecond)
			}
		case <-t.C:
		}
	}
}
