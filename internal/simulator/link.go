package simulator

import (
	"context"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/transport"
	"errors"
	"slices"
	"strings"
	"time"
)

// StoreLink is one controller's way to the store.
type StoreLink struct {
	store      *Store
	controller *ControllerProcess
	budget     *transport.StateBudget // nil: none
	// Late delays transactions: the caller learns nothing, and they apply later.
	Late func(protocol.Txn) time.Duration
	// After, if set, is called once a transaction is applied, before the caller
	// learns of it.
	After func(protocol.Txn)
	// Requests counts what came over HTTP.
	Requests StateRequests
}

// maxPageBytes is about how much one page of a read holds.
const maxPageBytes = 480 << 10

// stateTimeout is how long a controller waits for the state service.
const stateTimeout = 3 * time.Second

func (l *StoreLink) begin(ctx context.Context) error {
	l.controller.pause()
	time.Sleep(2 * time.Millisecond)
	if l.store.Slow != nil {
		time.Sleep(l.store.Slow(l.controller.Name))
	}
	if l.controller.ended() {
		<-ctx.Done()
		return protocol.ErrUnknown
	}
	if l.controller.cut(NoState) {
		time.Sleep(2 * time.Second)
		return protocol.ErrUnknown
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.expire()
	if l.store.down || l.store.denied[l.controller.Name] {
		return protocol.ErrRefused
	}
	if l.store.over() {
		return errOverRate
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
	page, size := protocol.Page{Revision: l.store.rev}, 0
	l.store.keys.Ascend(max(prefix, after), func(k string, simulatorEntry entry) bool {
		if k == after {
			return true
		}
		if !strings.HasPrefix(k, prefix) {
			return false
		}
		if page.More = len(page.Items) == limit || size > maxPageBytes; page.More {
			return false
		}
		size += len(k) + len(simulatorEntry.value)
		page.Items = append(page.Items, protocol.Item{Key: k, Value: slices.Clone(simulatorEntry.value), Version: simulatorEntry.version})
		return true
	})
	return page, nil
}

// Txn carries out a transaction.
func (l *StoreLink) Txn(ctx context.Context, txn protocol.Txn, haste protocol.RequestPriority) (uint64, []string, error) {
	if l.budget != nil {
		if err := l.budget.Admit(ctx, len(txn.Then), haste); err != nil {
			return 0, nil, err
		}
	}
	l.store.mu.Lock()
	over := l.store.Limited && !l.store.down && len(txn.Then) > 0 && !l.store.rates[1].take(float64(len(txn.Then)))
	if over {
		l.store.OverRate++
	}
	l.store.mu.Unlock()
	if over {
		if l.budget != nil {
			l.budget.StepBack()
		}
		return 0, nil, errOverRate
	}
	if err := l.begin(ctx); err != nil {
		return 0, nil, err
	}
	if l.Late != nil {
		if duration := l.Late(txn); duration > 0 {
			go func() {
				time.Sleep(duration)
				l.store.mu.Lock()
				defer l.store.mu.Unlock()
				// Nobody waits for it any more.
				if _, failed, err := l.store.apply(txn); err == nil && len(failed) == 0 {
					l.controller.simulation.LateDone.Add(1)
				} else {
					l.controller.simulation.LateDenied.Add(1)
				}
			}()
			time.Sleep(min(duration, time.Second))
			return 0, nil, protocol.ErrUnknown
		}
	}
	began := time.Now()
	l.store.mu.Lock()
	rev, failed, err := l.store.apply(txn)
	if errors.Is(err, protocol.ErrTooLarge) {
		l.store.TooLarge++ // a late copy from before the limits fell is not counted: nobody waits for it
	}
	l.store.mu.Unlock()
	if l.After != nil && err == nil && len(failed) == 0 {
		l.After(txn)
	}
	if w := l.controller.simulation; w != nil && w.LostAnswers != nil && err == nil && len(txn.Then) > 0 && w.LostAnswers(l.controller.Name, txn) {
		if len(failed) == 0 {
			kind, _, _ := strings.Cut(strings.TrimPrefix(txn.Then[0].Put+txn.Then[0].Delete, storage.Root), "/")
			w.mu.Lock()
			w.AnswersLost[kind]++
			w.mu.Unlock()
		}
		time.Sleep(time.Second)
		return 0, nil, protocol.ErrUnknown
	}
	time.Sleep(2 * time.Millisecond)
	if l.controller.stalledThrough(began, stateTimeout) || l.controller.ended() || l.controller.cut(NoState|NoAnswers) {
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

// ChangesUsed is how many changes the controller has made, where there is a budget.
func (l *StoreLink) ChangesUsed() uint64 {
	if l.budget == nil {
		return 0
	}
	return l.budget.ChangesUsed()
}

// SetLimit sets the rate for all controllers.
func (l *StoreLink) SetLimit(changes float64) {
	if l.budget != nil {
		l.budget.SetLimit(changes)
	}
}

// SetRateShare sets the controller's part of the rate.
func (l *StoreLink) SetRateShare(part float64, leads bool, used, others float64) {
	if l.budget != nil {
		l.budget.SetRateShare(part, leads, used, others)
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
	l.store.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	l.store.mu.Unlock()
	if l.controller.stalledThrough(began, stateTimeout) || l.controller.cut(NoAnswers) {
		return 0, protocol.ErrUnknown
	}
	return id, nil
}

// End ends a hold and removes what is attached to it.
func (l *StoreLink) End(ctx context.Context, lease uint64) error {
	if err := l.begin(ctx); err != nil {
		return err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if l.store.leases[lease] == nil {
		return protocol.ErrNoLease
	}
	delete(l.store.leases, lease)
	l.store.rev++
	l.store.release(lease)
	return nil
}

// Read reads one key.
func (l *StoreLink) Read(ctx context.Context, key string) (it protocol.Item, lease, rev uint64, err error) {
	if err := l.begin(ctx); err != nil {
		return it, 0, 0, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	e, ok := l.store.keys.Get(key)
	if !ok {
		return it, 0, l.store.rev, protocol.ErrNotFound
	}
	return protocol.Item{Key: key, Value: slices.Clone(e.value), Version: e.version}, e.lease, l.store.rev, nil
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
	h := l.store.leases[lease]
	if h != nil {
		h.ends = time.Now().Add(h.ttl)
	}
	l.store.mu.Unlock()
	switch {
	case l.controller.stalledThrough(began, stateTimeout) || l.controller.cut(NoAnswers):
		return protocol.ErrUnknown
	case h == nil:
		return protocol.ErrNoLease
	}
	return nil
}

// Watch waits for changes.
func (l *StoreLink) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error) {
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
		blind := l.store.down || l.store.denied[l.controller.Name] || l.controller.ended() || l.controller.cut(NoState|NoAnswers)
		events := protocol.Events{Revision: l.store.rev}
		if from < l.store.compactedTo && !blind {
			l.store.mu.Unlock()
			return protocol.Events{}, protocol.ErrTooOld
		}
		i, _ := slices.BinarySearchFunc(l.store.log, from, func(e protocol.Event, r uint64) int {
			if e.Version <= r {
				return -1
			}
			return 1
		})
		for _, e := range l.store.log[i:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				events.Events = append(events.Events, e)
			}
		}
		ch := l.store.changed
		l.store.mu.Unlock()
		if !blind && (len(events.Events) > 0 || time.Now().After(deadline)) {
			if l.store.Lag != nil {
				time.Sleep(l.store.Lag(l.controller.Name))
			}
			l.controller.pause()
			return events, nil
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
