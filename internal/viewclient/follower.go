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

// Source sends requests to the controllers of a deployment.
type Source interface {
	// Controllers returns the names of the controllers for messages to users.
	Controllers() []string
	// Page requests the changes after a cursor. The controller may wait up to wait until there are some.
	Page(ctx context.Context, controller int, scope view.Scope, cursor view.Cursor, wait time.Duration) ([]byte, error)
	// Reasons requests why jobs wait.
	Reasons(ctx context.Context, controller int, scope view.Scope, ids []string) ([]view.Reason, error)
}

// Errors of a Source that end Follower.Run: ErrUnknownTeam at once, ErrViewDisabled once all controllers have
// returned it in a row.
var (
	ErrViewDisabled = errors.New("the view is switched off on this node")
	ErrUnknownTeam  = errors.New("no such team")
)

// State is what a view client shows at a time. It is immutable and may be read by any number of goroutines.
type State struct {
	*view.Snapshot           // nil until the first one was received
	Controller     string    // the controller that sent the snapshot
	RequestedAt    time.Time // when the page was requested
	Warning        string    // why the state may be out of date, "" if it is not
}

// Age returns the maximum age of the state: the time since its revision was known to be the newest one. It
// adds differences of times of the same clock, so the clocks need not agree.
func (s *State) Age(now time.Time) time.Duration {
	if s.Snapshot == nil {
		return 0
	}
	return time.Duration(s.NowMs-s.AsOfMs)*time.Millisecond + now.Sub(s.RequestedAt)
}

// MaxFreshAge is the maximum age of a state that is shown without a warning.
const MaxFreshAge = 2 * time.Second

// Times of a follower.
const (
	pollWait         = 500 * time.Millisecond // how long a controller may wait for changes before it answers
	answerTimeout    = 4 * time.Second        // for a request, besides pollWait
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = 5 * time.Second
	minBehindTimeout = 3 * time.Second // a controller that is behind for longer is left
	maxBehindTimeout = time.Minute
)

// Follower keeps a state up to date while Run runs.
type Follower struct {
	source        Source
	scope         view.Scope
	pollInterval  time.Duration
	state         atomic.Pointer[State]
	mu            sync.Mutex    // guards changed
	changed       chan struct{} // closed at the next change of the state
	behindTimeout time.Duration // a controller that is behind for longer is left
}

// NewFollower returns a follower of what a scope may see. pollInterval is the time between a complete state and
// the next request.
func NewFollower(source Source, scope view.Scope, pollInterval time.Duration) *Follower {
	f := &Follower{source: source, scope: scope, pollInterval: pollInterval, changed: make(chan struct{}), behindTimeout: minBehindTimeout}
	f.state.Store(&State{Warning: "asking " + source.Controllers()[0]})
	return f
}

// State returns the present state. It may be called by any goroutine.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state. It may be called by any goroutine.
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

// setWarning replaces the warning of the state and keeps its snapshot.
func (f *Follower) setWarning(why string) {
	s := *f.state.Load()
	s.Warning = why
	f.setState(&s)
}

// Run polls the controllers until ctx ends. It returns an error if the view is disabled on all controllers or
// the team does not exist.
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

// session is the state of reading one controller's feed.
type session struct {
	controller  int
	mirror      *view.Model
	cursor      view.Cursor
	behindSince time.Time // zero if the controller is not behind
}

// follow reads one controller's feed until a request fails, the controller is behind for too long, or ctx ends.
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
		f.showIfNewer(session, &State{Snapshot: snapshot, Controller: f.source.Controllers()[controller], RequestedAt: sent})
		if f.shouldSwitch(session) {
			return errBehind
		}
		wait.For(ctx, f.pollInterval)
	}
	return ctx.Err()
}

// readPage requests one page and returns the snapshot that it completes, nil if more pages follow.
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
		return nil, err // an inconsistent snapshot is never published
	}
	return snapshot, nil
}

// showIfNewer publishes a state unless one of a later revision was published before, and records since when its
// controller is behind.
func (f *Follower) showIfNewer(session *session, next *State) {
	now := time.Now()
	stale := next.Age(now) > MaxFreshAge
	if !stale {
		session.behindSince, f.behindTimeout = time.Time{}, minBehindTimeout
	} else if session.behindSince.IsZero() {
		session.behindSince = now
	}
	switch {
	case !next.StateServiceOK:
		next.Warning = "the state service does not answer"
	case stale:
		next.Warning = "behind the state service"
	}
	if shown := f.State(); shown.Snapshot == nil || next.Revision >= shown.Revision {
		f.setState(next)
		return
	}
	// The published state is newer. With the older one, a job that was shown as final would be open again.
	f.setWarning(next.Controller + " is behind what is shown")
	if session.behindSince.IsZero() {
		session.behindSince = now
	}
}

// shouldSwitch reports whether the follower should switch to another controller. It doubles the time after
// which it does so again, because in an outage of the state service all controllers are behind.
func (f *Follower) shouldSwitch(session *session) bool {
	if session.behindSince.IsZero() || time.Since(session.behindSince) <= f.behindTimeout || len(f.source.Controllers()) < 2 {
		return false
	}
	f.behindTimeout = min(maxBehindTimeout, 2*f.behindTimeout)
	return true
}

// WaitReason is the reason why a job waits, with the time at which it was requested.
type WaitReason struct {
	view.Reason
	ReceivedAt time.Time
}

// Reasons asks all controllers why jobs wait, for the first view.MaxReasons ids. The answer of the controller
// that owns a job's shard has precedence. Some reasons exist only in that controller's memory, so they are as
// old as its answer.
func (f *Follower) Reasons(ctx context.Context, ids []string) map[string]WaitReason {
	ids = ids[:min(len(ids), view.MaxReasons)]
	out := map[string]WaitReason{}
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
				list = nil // other controllers may answer
			}
			answers <- answer{list, at}
		}()
	}
	for range controllers {
		a := <-answers
		for _, r := range a.list {
			if previous, ok := out[r.Job]; !ok || r.OwnsShard && !previous.OwnsShard {
				out[r.Job] = WaitReason{r, a.at}
			}
		}
	}
	return out
}
