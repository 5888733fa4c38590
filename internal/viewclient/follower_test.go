package viewclient

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/view"
)

// script is a source whose controllers answer as told.
type script struct {
	controllers []func(cur view.Cursor) ([]byte, error)
	asked       []int
	reason      func(controller int) []view.Reason
}

func (s *script) Controllers() []string { return []string{"n1", "n2"}[:len(s.controllers)] }
func (s *script) Page(_ context.Context, controller int, _ view.Scope, cur view.Cursor, wait time.Duration) ([]byte, error) {
	s.asked = append(s.asked, controller)
	time.Sleep(wait)
	return s.controllers[controller](cur)
}
func (s *script) Reasons(_ context.Context, controller int, _ view.Scope, _ []string) ([]view.Reason, error) {
	return s.reason(controller), nil
}

// answers answers with a job in a state at a revision, as old as told.
func answers(epoch, rev uint64, status view.Status, age time.Duration, stateOK bool) func(view.Cursor) ([]byte, error) {
	return func(cur view.Cursor) ([]byte, error) {
		m := view.NewModel([]view.Team{{Name: "red"}})
		m.PutJob(view.Job{ID: "job-000001", Team: "red", Tasks: 1, Status: status})
		now := time.Now().UnixMilli()
		s := m.Snapshot(view.Head{Epoch: epoch, Revision: rev, AsOf: now - age.Milliseconds(), StateOK: stateOK})
		return s.AppendPage(nil, view.Operators, cur, now), nil
	}
}

func fails(why string) func(view.Cursor) ([]byte, error) {
	return func(view.Cursor) ([]byte, error) { return nil, errors.New(why) }
}

func TestFollower(t *testing.T) {
	torn := func(view.Cursor) ([]byte, error) {
		raw, _ := answers(1, 9, view.Done, 0, true)(view.Cursor{})
		raw[len(raw)-30]++ // some sum of the head
		return raw, nil
	}
	off := func(view.Cursor) ([]byte, error) { return nil, ErrOff }
	for _, test := range []struct {
		name        string
		controllers []func(view.Cursor) ([]byte, error)
		rev         uint64 // shown in the end; 0: nothing
		warning     string // said in the end
		ends        error
	}{
		{"one answers", []func(view.Cursor) ([]byte, error){answers(1, 9, view.Done, 0, true), fails("x")}, 9, "", nil},
		{"the first is dead", []func(view.Cursor) ([]byte, error){fails("does not answer"), answers(1, 9, view.Done, 0, true)}, 9, "", nil},
		{"the first is behind", []func(view.Cursor) ([]byte, error){answers(1, 7, view.Running, time.Minute, true), answers(2, 9, view.Done, 0, true)}, 9, "", nil},
		{"an outage", []func(view.Cursor) ([]byte, error){answers(1, 9, view.Done, time.Minute, false), answers(2, 9, view.Done, time.Minute, false)}, 9, "state service", nil},
		{"garbage", []func(view.Cursor) ([]byte, error){func(view.Cursor) ([]byte, error) { return []byte("<html>"), nil }, answers(1, 9, view.Done, 0, true)}, 9, "", nil},
		{"torn pages are not shown", []func(view.Cursor) ([]byte, error){torn}, 0, "n1", nil},
		{"all are dead", []func(view.Cursor) ([]byte, error){fails("does not answer"), fails("does not answer")}, 0, "does not answer", nil},
		{"the view is off", []func(view.Cursor) ([]byte, error){off, off}, 0, "off", ErrOff},
		{"off on one", []func(view.Cursor) ([]byte, error){off, answers(1, 9, view.Done, 0, true)}, 9, "", nil},
		{"no such team", []func(view.Cursor) ([]byte, error){func(view.Cursor) ([]byte, error) { return nil, ErrNoTeam }}, 0, "", ErrNoTeam},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				f := NewFollower(&script{controllers: test.controllers}, view.Operators, 200*time.Millisecond)
				if err := f.Run(ctx); !errors.Is(err, test.ends) {
					t.Errorf("ended with %v, want %v", err, test.ends)
				}
				s := f.State()
				if s.Snapshot == nil != (test.rev == 0) || s.Snapshot != nil && s.Revision != test.rev {
					t.Errorf("shows %+v, want revision %d", s.Snapshot, test.rev)
				}
				if !strings.Contains(s.Warning, test.warning) || test.warning == "" && test.rev > 0 && s.Warning != "" {
					t.Errorf("says %q, want %q", s.Warning, test.warning)
				}
			})
		})
	}
}

// TestNeverBack: when the controller that is asked ends, the next one may know less. What was shown
// stays until it knows as much.
func TestNeverBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		first := answers(1, 9, view.Done, 0, true)
		follower := NewFollower(&script{controllers: []func(view.Cursor) ([]byte, error){
			func(cur view.Cursor) ([]byte, error) {
				if time.Since(began) > 5*time.Second {
					return nil, errors.New("does not answer")
				}
				return first(cur)
			},
			func(cur view.Cursor) ([]byte, error) {
				if time.Since(began) > 20*time.Second {
					return answers(2, 12, view.Done, 0, true)(cur)
				}
				return answers(2, 7, view.Running, 0, true)(cur)
			},
		}}, view.Operators, 200*time.Millisecond)
		var told atomic.Bool
		go func() {
			for ctx.Err() == nil {
				if s := follower.State(); s.Snapshot != nil {
					if j := s.Job("job-000001"); j.Status != view.Done {
						t.Errorf("shown %s after it was shown done, at revision %d", j.Status, s.Revision)
					}
					if strings.Contains(s.Warning, "behind what is shown") {
						told.Store(true)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		if err := follower.Run(ctx); err != nil {
			t.Error(err)
		}
		if s := follower.State(); s.Revision != 12 || !told.Load() {
			t.Errorf("revision %d in the end, told %v", s.Revision, told.Load())
		}
		time.Sleep(time.Second)
	})
}

// TestReasons: the controller that decides why a job waits is believed, whoever answers first.
func TestReasons(t *testing.T) {
	src := &script{controllers: make([]func(view.Cursor) ([]byte, error), 2), reason: func(controller int) []view.Reason {
		if controller == 1 {
			return []view.Reason{{Job: "job-000001", Why: "no room", Owner: true}}
		}
		return []view.Reason{{Job: "job-000001", Why: "decided by node n2"}, {Job: "job-000002", Why: "its share has no owner"}}
	}}
	got := NewFollower(src, view.Operators, time.Second).Reasons(t.Context(), []string{"job-000001", "job-000002"})
	if got["job-000001"].Why != "no room" || got["job-000002"].Why != "its share has no owner" {
		t.Error(got)
	}
}
