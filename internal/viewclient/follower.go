// Package viewclient follows a deployment's read model from outside: it asks one controller, goes on to
// the next when that one fails, and shows only what is whole and no older than what it
// has shown before.
package viewclient

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dykeledge/internal/view"
)

// Source asks the controllers of a deployment.
type Source interface {
	// Controllers are the names by which the controllers are called in messages to people.
	Nodes() []string
	// Page asks a controller for the changes after a cursor, and lets it wait that long for some.
	Page(ctx context.Context, node int, scope view.Scope, cur view.Cursor, wait time.Duration) ([]byte, error)
	// Reasons asks a controller why jobs wait.
	Reasons(ctx context.Context, node int, scope view.Scope, ids []string) ([]view.Reason, error)
}

// Errors of a source that another controller would not answer better.
var (
	ErrOff    = errors.New("the view is switched off on this node")
	ErrNoTeam = errors.New("no such team")
)

// State is what a viewer shows now.
type State struct {
	*view.Snapshot        // nil: nothing yet
	Asked          string // the controller that it came from
	Sent           time.Time
	Trouble        string // why it may be older than it should, "" if all is well
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

// Follower keeps a state up to date.
type Follower struct {
	src   Source
	scope view.Scope
	pause time.Duration
	state atomic.Pointer[State]
	mu    sync.Mutex
	fresh chan struct{}
	turn  time.Duration
}

// NewFollower follows what a scope may see; pause is the least time between two requests.
func NewFollower(src Source, scope view.Scope, pause time.Duration) *Follower {
	f := &Follower{src: src, scope: scope, pause: pause, fresh: make(chan struct{}), turn: turnFirst}
	f.state.Store(&State{Trouble: "asking " + src.Nodes()[0]})
	return f
}

// State is what there is to show now.
func (f *Follower) State() *State { return f.state.Load() }

// Changed is closed when the state changes next.
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

// trouble keeps what is shown, and says what is wrong.
func (f *Follower) trouble(why string) {
	s := *f.state.Load()
	s.Trouble = why
	f.set(&s)
}

// Run follows until ctx ends, or until a controller gives an answer that no other would change:
// the view is off everywhere, or there is no such team.
func (f *Follower) Run(ctx context.Context) error {
	retry, off := retryFirst, 0
	for node := 0; ctx.Err() == nil; node = (node + 1) % len(f.src.Nodes()) {
		name := f.src.Nodes()[node]
		had := f.State().Snapshot
		err := f.follow(ctx, node)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrNoTeam):
			return err
		case errors.Is(err, ErrOff):
			if off++; off >= len(f.src.Nodes()) {
				return err
			}
		default:
			off = 0
		}
		f.trouble(fmt.Sprintf("%s: %v", name, err))
		if f.State().Snapshot != had {
			retry = retryFirst
		}
		sleep(ctx, retry)
		retry = min(retryMost, 2*retry)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

var errBehind = errors.New("behind the state service, asking another node")

// follow reads one controller's feed until something is wrong with it.
func (f *Follower) follow(ctx context.Context, node int) error {
	mirror, cur := view.NewMirror(), view.Cursor{}
	var behind time.Time
	for ctx.Err() == nil {
		sent := time.Now()
		within, cancel := context.WithTimeout(ctx, waitNew+answerIn)
		raw, err := f.src.Page(within, node, f.scope, cur, waitNew)
		cancel()
		if err != nil {
			return err
		}
		page, err := view.ReadPage(raw)
		if err != nil {
			return err
		}
		if page.Reset {
			mirror = view.NewMirror()
		}
		page.Apply(mirror)
		cur = page.Next
		if page.Head == nil {
			continue
		}
		snap := mirror.Mirrored(*page.Head)
		if err := snap.Check(); err != nil {
			return err // never shown
		}
		was := f.State()
		now := time.Now()
		next := &State{Snapshot: snap, Asked: f.src.Nodes()[node], Sent: sent}
		old := next.Age(now) > Fresh
		if !old {
			behind, f.turn = time.Time{}, turnFirst
		} else if behind.IsZero() {
			behind = now
		}
		switch {
		case !snap.StateOK:
			next.Trouble = "the state service does not answer"
		case old:
			next.Trouble = "behind the state service"
		}
		if was.Snapshot == nil || snap.Revision >= was.Revision {
			f.set(next)
		} else {
			// What was shown before is newer: a job that was shown as over would be open again.
			f.trouble(next.Asked + " is behind what is shown")
			if behind.IsZero() {
				behind = now
			}
		}
		if !behind.IsZero() && now.Sub(behind) > f.turn && len(f.src.Nodes()) > 1 {
			f.turn = min(turnMost, 2*f.turn) // in an outage all controllers are behind
			return errBehind
		}
		sleep(ctx, f.pause)
	}
	return ctx.Err()
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
	nodes := f.src.Nodes()
	ch := make(chan answer, len(nodes))
	for i := range nodes {
		go func() {
			at := time.Now()
			list, err := f.src.Reasons(within, i, f.scope, ids)
			if err != nil {
				list = nil // others may know it
			}
			ch <- answer{list, at}
		}()
	}
	for range nodes {
		a := <-ch
		for _, r := range a.list {
			if old, ok := out[r.Job]; !ok || r.Owner && !old.Owner {
				out[r.Job] = Why{r, a.at}
			}
		}
	}
	return out
}
