package simulator

import (
	"context"
	"errors"
	"slices"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/transport"
	"dykeledge/internal/wait"
)

// StoreLink is one controller's connection to the store.
type StoreLink struct {
	store      *Store
	controller *ControllerProcess
	budget     *transport.StateBudget // limits the request rates; nil: no limit
	// LateTransactions, if set, returns the delay of a transaction. The caller of a delayed transaction gets no answer.
	LateTransactions func(protocol.Txn) time.Duration
	// DuplicateTransactions, if set, returns the delay after which a duplicate of a transaction arrives; 0: there is none.
	DuplicateTransactions func(protocol.Txn) time.Duration
	// AfterTransaction, if set, is called after a transaction was applied, before the caller gets the answer.
	AfterTransaction func(protocol.Txn)
	// Requests counts the requests that arrived over HTTP.
	Requests StateRequests
}

const (
	// maxPageBytes is the approximate size limit of one page of a listing.
	maxPageBytes = 480 << 10
	// stateTimeout is how long a controller waits for the state service's answer.
	stateTimeout = 3 * time.Second
	// stateLatency is how long a request takes to arrive. The answer to a transaction takes as long again.
	stateLatency = 2 * time.Millisecond
	// statePartitionDelay is how long a request takes to fail if it cannot reach the state service.
	statePartitionDelay = 2 * time.Second
	// lostAnswerDelay is the longest time that a caller waits for a transaction whose answer is lost.
	lostAnswerDelay = time.Second
	// watchPollInterval is the time after which a waiting watch checks again whether it must answer or fail.
	watchPollInterval = 200 * time.Millisecond
)

// admitRequest admits a request to the store, or returns the error with which it fails.
func (l *StoreLink) admitRequest(ctx context.Context) error {
	l.controller.waitWhileStalled()
	time.Sleep(stateLatency)
	if l.store.RequestDelay != nil {
		time.Sleep(l.store.RequestDelay(l.controller.Name))
	}
	if l.controller.ended() {
		<-ctx.Done()
		return protocol.ErrOutcomeUnknown
	}
	if l.controller.isPartitionedFrom(NoState) {
		time.Sleep(statePartitionDelay)
		return protocol.ErrOutcomeUnknown
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.expire()
	if l.store.refuses(l.controller.Name) {
		return protocol.ErrRefused
	}
	if l.store.overRequestRate() {
		return errOverRate
	}
	return nil
}

// answerIsLost reports whether the answer to a request that began at a time reaches the controller too late or not
// at all.
func (l *StoreLink) answerIsLost(began time.Time, cuts Partitions) bool {
	return l.controller.stalledThrough(began, stateTimeout) || l.controller.isPartitionedFrom(cuts)
}

// Revision returns the store's revision.
func (l *StoreLink) Revision(ctx context.Context) (uint64, error) {
	if l.budget != nil {
		if err := l.budget.WaitForRequest(ctx); err != nil {
			return 0, err
		}
	}
	if err := l.admitRequest(ctx); err != nil {
		return 0, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.store.revision, nil
}

// List returns a page of the items whose keys have a prefix and come after a key.
func (l *StoreLink) List(ctx context.Context, prefix, after string, limit int) (protocol.Page, error) {
	if err := l.admitRequest(ctx); err != nil {
		return protocol.Page{}, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.store.page(prefix, after, limit), nil
}

// Read returns one item, with the lease that it is attached to and the store's revision.
func (l *StoreLink) Read(ctx context.Context, key string) (item protocol.Item, lease, rev uint64, err error) {
	if err := l.admitRequest(ctx); err != nil {
		return item, 0, 0, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	e, ok := l.store.keys.Get(key)
	if !ok {
		return item, 0, l.store.revision, protocol.ErrNotFound
	}
	return protocol.Item{Key: key, Value: slices.Clone(e.value), Version: e.version}, e.lease, l.store.revision, nil
}

// Txn applies a transaction. It returns the new revision, or the keys whose conditions failed.
func (l *StoreLink) Txn(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) (uint64, []string, error) {
	if err := l.admitTxn(ctx, txn, priority); err != nil {
		return 0, nil, err
	}
	if err := l.admitRequest(ctx); err != nil {
		return 0, nil, err
	}
	if l.LateTransactions != nil {
		if delay := l.LateTransactions(txn); delay > 0 {
			go l.applyLate(txn, delay)
			time.Sleep(min(delay, lostAnswerDelay))
			return 0, nil, protocol.ErrOutcomeUnknown
		}
	}
	began := time.Now()
	rev, failed, err := l.apply(txn)
	applied := err == nil && len(failed) == 0
	if l.AfterTransaction != nil && applied {
		l.AfterTransaction(txn)
	}
	if l.DuplicateTransactions != nil && applied {
		if after := l.DuplicateTransactions(txn); after > 0 {
			go l.applyAgain(txn, after)
		}
	}
	if err == nil && len(txn.Then) > 0 && l.losesAnswer(txn, applied) {
		time.Sleep(lostAnswerDelay)
		return 0, nil, protocol.ErrOutcomeUnknown
	}
	time.Sleep(stateLatency)
	if l.answerIsLost(began, NoState|NoStateAnswers) || l.controller.ended() {
		return 0, nil, protocol.ErrOutcomeUnknown
	}
	return rev, failed, err
}

// admitTxn waits until the controller's budget allows a transaction. It returns an error if the store's write rate
// is exceeded.
func (l *StoreLink) admitTxn(ctx context.Context, txn protocol.Txn, priority protocol.RequestPriority) error {
	if l.budget != nil {
		if err := l.budget.Admit(ctx, len(txn.Then), priority); err != nil {
			return err
		}
	}
	l.store.mu.Lock()
	over := l.store.overWriteRate(len(txn.Then))
	l.store.mu.Unlock()
	if !over {
		return nil
	}
	if l.budget != nil {
		l.budget.BackOff()
	}
	return errOverRate
}

// apply applies a transaction and counts it if it is too large.
func (l *StoreLink) apply(txn protocol.Txn) (uint64, []string, error) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	rev, failed, err := l.store.apply(txn)
	if errors.Is(err, protocol.ErrTooLarge) {
		l.store.TooLargeTxns++ // a late copy is not counted, as nobody waits for its answer: it may date from before the limits were lowered
	}
	return rev, failed, err
}

// applyLate applies a transaction after a delay, when the caller no longer waits for it.
func (l *StoreLink) applyLate(txn protocol.Txn, delay time.Duration) {
	time.Sleep(delay)
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	_, failed, err := l.store.apply(txn)
	l.controller.simulation.lateTransaction(err == nil && len(failed) == 0)
}

// applyAgain applies a duplicate of a transaction after a delay.
func (l *StoreLink) applyAgain(txn protocol.Txn, delay time.Duration) {
	sim := l.controller.simulation
	if !wait.For(sim.ctx, delay) {
		return
	}
	l.store.mu.Lock()
	_, failed, err := l.store.apply(txn)
	l.store.mu.Unlock()
	if err == nil && len(failed) == 0 && len(txn.Then) > 0 {
		sim.mu.Lock()
		sim.DuplicateTxns[kindOf(txn)]++
		sim.mu.Unlock()
	}
}

// losesAnswer reports whether the hook lets the answer to a transaction be lost. It counts the lost answers of
// transactions that were applied.
func (l *StoreLink) losesAnswer(txn protocol.Txn, applied bool) bool {
	sim := l.controller.simulation
	if sim == nil || sim.LostAnswers == nil || !sim.LostAnswers(l.controller.Name, txn) {
		return false
	}
	if applied {
		sim.mu.Lock()
		sim.answerLost(txn)
		sim.mu.Unlock()
	}
	return true
}

// Pace returns how long it takes until the budget allows n changes.
func (l *StoreLink) Pace(n int) time.Duration {
	if l.budget == nil {
		return 0
	}
	return l.budget.Pace(n)
}

// ChangesUsed returns how many changes the controller has made; 0 without a budget.
func (l *StoreLink) ChangesUsed() uint64 {
	if l.budget == nil {
		return 0
	}
	return l.budget.ChangesUsed()
}

// SetLimit sets the rate limit of all controllers together, in changes per second.
func (l *StoreLink) SetLimit(changes float64) {
	if l.budget != nil {
		l.budget.SetLimit(changes)
	}
}

// SetRateShare sets the controller's share of the rate limit.
func (l *StoreLink) SetRateShare(part float64, leads bool, used, others float64) {
	if l.budget != nil {
		l.budget.SetRateShare(part, leads, used, others)
	}
}

// Grant grants a session lease.
func (l *StoreLink) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	if l.budget != nil {
		l.budget.ChargeRequest()
	}
	if err := l.admitRequest(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	l.store.mu.Lock()
	id := l.store.grant(ttl)
	l.store.mu.Unlock()
	if l.answerIsLost(began, NoStateAnswers) {
		return 0, protocol.ErrOutcomeUnknown
	}
	return id, nil
}

// End ends a session lease and removes the items that are attached to it.
func (l *StoreLink) End(ctx context.Context, lease uint64) error {
	if err := l.admitRequest(ctx); err != nil {
		return err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	if l.store.leases[lease] == nil {
		return protocol.ErrLeaseExpired
	}
	l.store.endLease(lease)
	return nil
}

// Renew renews a session lease.
func (l *StoreLink) Renew(ctx context.Context, lease uint64, _ time.Duration) error {
	if l.budget != nil {
		l.budget.ChargeRequest()
	}
	if err := l.admitRequest(ctx); err != nil {
		return err
	}
	began := time.Now()
	l.store.mu.Lock()
	held := l.store.leases[lease]
	if held != nil {
		held.renew()
	}
	l.store.mu.Unlock()
	switch {
	case l.answerIsLost(began, NoStateAnswers):
		return protocol.ErrOutcomeUnknown
	case held == nil:
		return protocol.ErrLeaseExpired
	}
	return nil
}

// Watch waits until keys with a prefix have changed after a revision, or until the time is over, and returns the
// changes.
func (l *StoreLink) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (protocol.Events, error) {
	if l.budget != nil {
		l.budget.ChargeRequest()
	}
	if err := l.admitRequest(ctx); err != nil {
		return protocol.Events{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		events, unreachable, changed, err := l.changesNow(prefix, from)
		if err != nil {
			return protocol.Events{}, err
		}
		if !unreachable && (len(events.Events) > 0 || time.Now().After(deadline)) {
			if l.store.WatchDelay != nil {
				time.Sleep(l.store.WatchDelay(l.controller.Name))
			}
			l.controller.waitWhileStalled()
			return events, nil
		}
		if err := awaitChange(ctx, changed, unreachable); err != nil {
			return protocol.Events{}, err
		}
	}
}

// changesNow returns the changes after a revision. unreachable reports that the controller cannot receive them now.
// The channel is closed at the next change.
func (l *StoreLink) changesNow(prefix string, from uint64) (events protocol.Events, unreachable bool, changed <-chan struct{}, err error) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.expire()
	unreachable = l.store.refuses(l.controller.Name) || l.controller.ended() || l.controller.isPartitionedFrom(NoState|NoStateAnswers)
	if from < l.store.compactedTo && !unreachable {
		return protocol.Events{}, false, nil, protocol.ErrRevisionTooOld
	}
	return l.store.eventsAfter(prefix, from), unreachable, l.store.changed, nil
}

// awaitChange waits for the next change or for watchPollInterval.
func awaitChange(ctx context.Context, changed <-chan struct{}, unreachable bool) error {
	timer := time.NewTimer(watchPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		if unreachable {
			time.Sleep(watchPollInterval)
		}
	case <-timer.C:
	}
	return nil
}
