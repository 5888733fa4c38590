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
	ErrOff    = errors.New("the view is switched off on this node")
	ErrNoTeam = errors.New("no such team")
)

// State is what a view client shows now. It never changes, and may be read by any number of goroutines.
type State struct {
	*view.Snapshot        // nil: nothing yet
	Asked          string // the controller that it came from
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

// Fresh is how old a state may be without its age being shown as a warning.
const Fresh = 2 * time.Second

// How a follower asks.
const (
	waitNew    = 500 * time.Millisecond // a controller may wait for something new
	answerIn   = 4 * time.Second
	retryFirst = 200 * time.Millisecond
	retryMost  = 5 * time.Second
	turnFirst  = 3 * time.Second // a controller that is behind is left after
	turnMost   = time.Minute
)

// Follower keeps a state up to date while Run runs.
type Follower struct {
	source Source
	scope  view.Scope
	pause  time.Duration
	state  atomic.Pointer[State]
	mu     sync.Mutex
	fresh  chan struct{}
	turn   time.Duration
}

// NewFollower returns a follower of what a scope may see; pause is the least time between two requests.
func NewFollower(source Source, scope view.Scope, pause time.Duration) *Follower {
	f := &Follower{source: source, scope: scope, pause: pause, fresh: make(chan struct{}), turn: turnFirst}
	f.state.Store(&State{Warning: "asking " + source.Controllers()[0]})
	return f
}

// State returns what there is to show now. It may be called by any goroutine.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed when the state changes next. It may be called by any goroutine.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

func (f *Follower) set(s *State) {
	f.state.Store(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.fresh)
	f.fresh = make(chan struct{})
}

// warn keeps what is shown, and says what is wrong.
func (f *Follower) warn(why string) {
	s := *f.state.Load()
	s.Warning = why
	f.set(&s)
}

// Run follows until ctx ends, or until a controller gives an answer that no other would change:
// the view is off everywhere, or there is no such team.
func (f *Follower) Run(ctx context.Context) error {
	retry, off := retryFirst, 0
	for controller := 0; ctx.Err() == nil; controller = (controller + 1) % len(f.source.Controllers()) {
		name := f.source.Controllers()[controller]
		before := f.State().Snapshot
		err := f.follow(ctx, controller)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrNoTeam):
			return err
		case errors.Is(err, ErrOff):
			if off++; off >= len(f.source.Controllers()) {
				return err
			}
		default:
			off = 0
		}
		f.warn(fmt.Sprintf("%s: %v", name, err))
		if f.State().Snapshot != before {
			retry = retryFirst
		}
		wait.For(ctx, retry)
		retry = min(retryMost, 2*retry)
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
		snapshot, err := f.read(ctx, session)
		if err != nil {
			return err
		}
		if snapshot == nil {
			continue
		}
		f.show(session, &State{Snapshot: snapshot, Asked: f.source.Controllers()[controller], Sent: sent})
		if f.leaves(session) {
			return errBehind
		}
		wait.For(ctx, f.pause)
	}
	return ctx.Err()
}

// read asks for one page and returns the snapshot that it completes, nil if more pages have to follow.
func (f *Follower) read(ctx context.Context, session *session) (*view.Snapshot, error) {
	within, cancel := context.WithTimeout(ctx, waitNew+answerIn)
	defer cancel()
	raw, err := f.source.Page(within, session.controller, f.scope, session.cursor, waitNew)
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
	snapshot := session.mirror.Mirrored(*page.Head)
	if err := snapshot.Check(); err != nil {
		return nil, err // never shown
	}
	return snapshot, nil
}

// show shows a state, unless a newer one was shown before, and notes since when its controller is behind.
func (f *Follower) show(session *session, next *State) {
	now := time.Now()
	old := next.Age(now) > Fresh
	if !old {
		session.behindSince, f.turn = time.Time{}, turnFirst
	} else if session.behindSince.IsZero() {
		session.behindSince = now
	}
	switch {
	case !next.StateOK:
		next.Warning = "the state service does not answer"
	case old:
		next.Warning = "behind the state service"
	}
	if shown := f.State(); shown.Snapshot == nil || next.Revision >= shown.Revision {
		f.set(next)
		return
	}
	// What was shown before is newer: a job that was shown as over would be open again.
	f.warn(next.Asked + " is behind what is shown")
	if session.behindSince.IsZero() {
		session.behindSince = now
	}
}

// leaves tells whether it is another controller's turn.
func (f *Follower) leaves(session *session) bool {
	if session.behindSince.IsZero() || time.Since(session.behindSince) <= f.turn || len(f.source.Controllers()) < 2 {
		return false
	}
	f.turn = min(turnMost, 2*f.turn) // in an outage all controllers are behind
	return true
}

// Why is why a job waits, and when that was heard.
type Why struct {
	view.Reason
	Got time.Time
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
	within, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	controllers := f.source.Controllers()
	answers := make(chan answer, len(controllers))
	for i := range controllers {
		go func() {
			at := time.Now()
			list, err := f.source.Reasons(within, i, f.scope, ids)
			if err != nil {
				list = nil // others may know it
			}
			answers <- answer{list, at}
		}()
	}
	for range controllers {
		a := <-answers
		for _, r := range a.list {
			if old, ok := out[r.Job]; !ok || r.Owner && !old.Owner {
				out[r.Job] = Why{r, a.at}
			}
		}
	}
	return out
}
