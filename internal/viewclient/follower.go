package viewclient

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dykeledge/internal/view"
	"dykeledge/internal/wait"
)

// Source asks the controllers of a deployment.
type Source interface {
	// Controllers returns the names by which the controllers are called in messages to people.
	Controllers() []string
	// Page asks a controller for the changes after a cursor, and lets it wait that long for some.
	Page(ctx context.Context, controller int, scope view.Scope, cursor view.Cursor, wait time.Duration) ([]byte, error)
	// Reasons asks a controller why jobs wait.
	Reasons(ctx context.Context, controller int, scope view.Scope, ids []string) ([]view.Reason, error)
}

// Errors of a source that another controller would not answer better.
var (
	ErrViewDisabled = errors.New("the view is switched off on this node")
	ErrUnknownTeam  = errors.New("no such team")
)

// State is what a view client shows now. It never changes, and may be read by any number of goroutines.
type State struct {
	*view.Snapshot        // nil: nothing yet
	Controller     string // the controller that it came from
	Sent           time.Time
	Warning        string // why it may be older than it should, "" if all is well
}

// Age is how old the state may be at most: the time since its revision was certainly the
// latest one. Only differences of one clock are used.
func (s *State) Age(now time.Time) time.Duration {
	if s.Snapshot == nil {
		return 0
	}
	return time.Duration(s.Now-s.AsOf)*time.Millisecond + now.Sub(s.Sent)
}

// MaxFreshAge is how old a state may be without its age being shown as a warning.
const MaxFreshAge = 2 * time.Second

// How a follower asks.
const (
	pollWait         = 500 * time.Millisecond // a controller may wait for something new
	answerTimeout    = 4 * time.Second
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = 5 * time.Second
	minBehindTimeout = 3 * time.Second // a controller that is behind is left after
	maxBehindTimeout = time.Minute
)

// Follower keeps a state up to date while Run runs.
type Follower struct {
	source        Source
	scope         view.Scope
	pollInterval  time.Duration
	state         atomic.Pointer[State]
	mu            sync.Mutex
	changed       chan struct{}
	behindTimeout time.Duration
}

// NewFollower returns a follower of what a scope may see; pause is the least time between two requests.
func NewFollower(source Source, scope view.Scope, pause time.Duration) *Follower {
	f := &Follower{source: source, scope: scope, pollInterval: pause, changed: make(chan struct{}), behindTimeout: minBehindTimeout}
	f.state.Store(&State{Warning: "asking " + source.Controllers()[0]})
	return f
}

// State returns what there is to show now. It may be called by any goroutine.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed when the state changes next. It may be called by any goroutine.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Follower) setState(s *State) {
	f.state.Store(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// setWarning keeps what is shown, and says what is wrong.
func (f *Follower) setWarning(why string) {
	s := *f.state.Load()
	s.Warning = why
	f.setState(&s)
}

// Run follows until ctx ends, or until a controller gives an answer that no other would change:
// the view is off everywhere, or there is no such team.
func (f *Follower) Run(ctx context.Context) error {
	retryDelay, disabledCount := minRetryDelay, 0
	for controller := 0; ctx.Err() == nil; controller = (controller + 1) % len(f.source.Controllers()) {
		name := f.source.Controllers()[controller]
		before := f.State().Snapshot
		err := f.follow(ctx, controller)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrUnknownTeam):
			return err
		case errors.Is(err, ErrViewDisabled):
			if disabledCount++; disabledCount >= len(f.source.Controllers()) {
				return err
			}
		default:
			disabledCount = 0
		}
		f.setWarning(fmt.Sprintf("%s: %v", name, err))
		if f.State().Snapshot != before {
			retryDelay = minRetryDelay
		}
		wait.For(ctx, retryDelay)
		retryDelay = min(maxRetryDelay, 2*retryDelay)
	}
	return nil
}

var errBehind = errors.New("behind the state service, asking another node")

// session is what has been read of one controller's feed.
type session struct {
	controller  int
	mirror      *view.Model
	cursor      view.Cursor
	behindSince time.Time // zero: it is not behind
}

// follow reads one controller's feed until something is wrong with it.
func (f *Follower) follow(ctx context.Context, controller int) error {
	session := &session{controller: controller, mirror: view.NewMirror()}
	for ctx.Err() == nil {
		sent := time.Now()
		snapshot, err := f.readPage(ctx, session)
		if err != nil {
			return err
		}
		if snapshot == nil {
			continue
		}
		f.showIfNewer(session, &State{Snapshot: snapshot, Controller: f.source.Controllers()[controller], Sent: sent})
		if f.shouldSwitch(session) {
			return errBehind
		}
		wait.For(ctx, f.pollInterval)
	}
	return ctx.Err()
}

// readPage asks for one page and returns the snapshot that it completes, nil if more pages have to follow.
func (f *Follower) readPage(ctx context.Context, session *session) (*view.Snapshot, error) {
	requestCtx, cancel := context.WithTimeout(ctx, pollWait+answerTimeout)
	defer cancel()
	raw, err := f.source.Page(requestCtx, session.controller, f.scope, session.cursor, pollWait)
	if err != nil {
		return nil, err
	}
	page, err := view.ReadPage(raw)
	if err != nil {
		return nil, err
	}
	if page.Reset {
		session.mirror = view.NewMirror()
	}
	page.Apply(session.mirror)
	session.cursor = page.Next
	if page.Head == nil {
		return nil, nil
	}
	snapshot := session.mirror.SnapshotWithHead(*page.Head)
	if err := snapshot.Check(); err != nil {
		return nil, err // never shown
	}
	return snapshot, nil
}

// showIfNewer shows a state, unless a newer one was shown before, and notes since when its controller is behind.
func (f *Follower) showIfNewer(session *session, next *State) {
	now := time.Now()
	stale := next.Age(now) > MaxFreshAge
	if !stale {
		session.behindSince, f.behindTimeout = time.Time{}, minBehindTimeout
	} else if session.behindSince.IsZero() {
		session.behindSince = now
	}
	switch {
	case !next.StateOK:
		next.Warning = "the state service does not answer"
	case stale:
		next.Warning = "behind the state service"
	}
	if shown := f.State(); shown.Snapshot == nil || next.Revision >= shown.Revision {
		f.setState(next)
		return
	}
	// What was shown before is newer: a job that was shown as over would be open again.
	f.setWarning(next.Controller + " is behind what is shown")
	if session.behindSince.IsZero() {
		session.behindSince = now
	}
}

// shouldSwitch tells whether it is another controller's turn.
func (f *Follower) shouldSwitch(session *session) bool {
	if session.behindSince.IsZero() || time.Since(session.behindSince) <= f.behindTimeout || len(f.source.Controllers()) < 2 {
		return false
	}
	f.behindTimeout = min(maxBehindTimeout, 2*f.behindTimeout) // in an outage all controllers are behind
	return true
}

// Why is why a job waits, and when that was heard.
type Why struct {
	view.Reason
	ReceivedAt time.Time
}

// Reasons tells why jobs wait, from the controllers that decide it where they answer. What only such
// a controller's memory holds is as old as its answer.
func (f *Follower) Reasons(ctx context.Context, ids []string) map[string]Why {
	ids = ids[:min(len(ids), view.MaxReasons)]
	out := map[string]Why{}
	if len(ids) == 0 {
		return out
	}
	type answer struct {
		list []view.Reason
		at   time.Time
	}
	requestCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	controllers := f.source.Controllers()
	answers := make(chan answer, len(controllers))
	for i := range controllers {
		go func() {
			at := time.Now()
			list, err := f.source.Reasons(requestCtx, i, f.scope, ids)
			if err != nil {
				list = nil // others may know it
			}
			answers <- answer{list, at}
		}()
	}
	for range controllers {
		a := <-answers
		for _, r := range a.list {
			if previous, ok := out[r.Job]; !ok || r.Owner && !previous.Owner {
				out[r.Job] = Why{r, a.at}
			}
		}
	}
	return out
}
