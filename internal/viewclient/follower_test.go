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

// scriptedSource is a Source whose controllers give scripted answers.
type scriptedSource struct {
	controllers []func(cursor view.Cursor) ([]byte, error)
	asked       []int
	reason      func(controller int) []view.Reason
}

func (s *scriptedSource) Controllers() []string { return []string{"n1", "n2"}[:len(s.controllers)] }
func (s *scriptedSource) Page(_ context.Context, controller int, _ view.Scope, cursor view.Cursor, wait time.Duration) ([]byte, error) {
	s.asked = append(s.asked, controller)
	time.Sleep(wait)
	return s.controllers[controller](cursor)
}
func (s *scriptedSource) Reasons(_ context.Context, controller int, _ view.Scope, _ []string) ([]view.Reason, error) {
	return s.reason(controller), nil
}

// answerWith returns a controller that answers with one job of the given status at a revision, in a snapshot of
// the given age.
func answerWith(epoch, revision uint64, status view.Status, age time.Duration, stateOK bool) func(view.Cursor) ([]byte, error) {
	return func(cursor view.Cursor) ([]byte, error) {
		m := view.NewModel([]view.Team{{Name: "red"}})
		m.PutJob(view.Job{ID: "job-000001", Team: "red", Tasks: 1, Status: status})
		now := time.Now().UnixMilli()
		s := m.Snapshot(view.Head{Epoch: epoch, Revision: revision, AsOfMs: now - age.Milliseconds(), StateServiceOK: stateOK})
		return s.AppendPage(nil, view.Operators, cursor, now), nil
	}
}

func failWith(why string) func(view.Cursor) ([]byte, error) {
	return func(view.Cursor) ([]byte, error) { return nil, errors.New(why) }
}

func TestFollower(t *testing.T) {
	torn := func(view.Cursor) ([]byte, error) {
		raw, _ := answerWith(1, 9, view.Done, 0, true)(view.Cursor{})
		raw[len(raw)-30]++ // changes a total in the head
		return raw, nil
	}
	off := func(view.Cursor) ([]byte, error) { return nil, ErrViewDisabled }
	for _, test := range []struct {
		name         string
		controllers  []func(view.Cursor) ([]byte, error)
		wantRevision uint64 // of the last state; 0: no snapshot
		wantWarning  string // part of the warning of the last state
		wantErr      error
	}{
		{"first controller answers", []func(view.Cursor) ([]byte, error){answerWith(1, 9, view.Done, 0, true), failWith("x")}, 9, "", nil},
		{"first controller does not answer", []func(view.Cursor) ([]byte, error){failWith("does not answer"), answerWith(1, 9, view.Done, 0, true)}, 9, "", nil},
		{"first controller is behind", []func(view.Cursor) ([]byte, error){answerWith(1, 7, view.Running, time.Minute, true), answerWith(2, 9, view.Done, 0, true)}, 9, "", nil},
		{"state service outage", []func(view.Cursor) ([]byte, error){answerWith(1, 9, view.Done, time.Minute, false), answerWith(2, 9, view.Done, time.Minute, false)}, 9, "state service", nil},
		{"answer is not a page", []func(view.Cursor) ([]byte, error){func(view.Cursor) ([]byte, error) { return []byte("<html>"), nil }, answerWith(1, 9, view.Done, 0, true)}, 9, "", nil},
		{"snapshot with inconsistent totals is not shown", []func(view.Cursor) ([]byte, error){torn}, 0, "n1", nil},
		{"no controller answers", []func(view.Cursor) ([]byte, error){failWith("does not answer"), failWith("does not answer")}, 0, "does not answer", nil},
		{"view is disabled on all controllers", []func(view.Cursor) ([]byte, error){off, off}, 0, "off", ErrViewDisabled},
		{"view is disabled on one controller", []func(view.Cursor) ([]byte, error){off, answerWith(1, 9, view.Done, 0, true)}, 9, "", nil},
		{"no such team", []func(view.Cursor) ([]byte, error){func(view.Cursor) ([]byte, error) { return nil, ErrUnknownTeam }}, 0, "", ErrUnknownTeam},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				f := NewFollower(&scriptedSource{controllers: test.controllers}, view.Operators, 200*time.Millisecond)
				if err := f.Run(ctx); !errors.Is(err, test.wantErr) {
					t.Errorf("Run returned %v, want %v", err, test.wantErr)
				}
				s := f.State()
				if s.Snapshot == nil != (test.wantRevision == 0) || s.Snapshot != nil && s.Revision != test.wantRevision {
					t.Errorf("snapshot is %+v, want revision %d", s.Snapshot, test.wantRevision)
				}
				if !strings.Contains(s.Warning, test.wantWarning) || test.wantWarning == "" && test.wantRevision > 0 && s.Warning != "" {
					t.Errorf("warning is %q, want %q", s.Warning, test.wantWarning)
				}
			})
		})
	}
}

// TestRevisionNeverGoesBack checks that the published state stays when the polled controller ends and the next
// one is at an earlier revision, until that one has caught up.
func TestRevisionNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		startedAt := time.Now()
		first := answerWith(1, 9, view.Done, 0, true)
		follower := NewFollower(&scriptedSource{controllers: []func(view.Cursor) ([]byte, error){
			func(cursor view.Cursor) ([]byte, error) {
				if time.Since(startedAt) > 5*time.Second {
					return nil, errors.New("does not answer")
				}
				return first(cursor)
			},
			func(cursor view.Cursor) ([]byte, error) {
				if time.Since(startedAt) > 20*time.Second {
					return answerWith(2, 12, view.Done, 0, true)(cursor)
				}
				return answerWith(2, 7, view.Running, 0, true)(cursor)
			},
		}}, view.Operators, 200*time.Millisecond)
		var warned atomic.Bool
		go func() {
			for ctx.Err() == nil {
				if s := follower.State(); s.Snapshot != nil {
					if j := s.Job("job-000001"); j.Status != view.Done {
						t.Errorf("job shown as %s after it was shown as done, at revision %d", j.Status, s.Revision)
					}
					if strings.Contains(s.Warning, "behind what is shown") {
						warned.Store(true)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		if err := follower.Run(ctx); err != nil {
			t.Error(err)
		}
		if s := follower.State(); s.Revision != 12 || !warned.Load() {
			t.Errorf("last revision %d, want 12; warned of a controller that is behind: %v", s.Revision, warned.Load())
		}
		time.Sleep(time.Second)
	})
}

// TestReasonsPreferShardOwner checks that the answer of the controller that owns a job's shard has precedence,
// in whatever order the answers arrive.
func TestReasonsPreferShardOwner(t *testing.T) {
	src := &scriptedSource{controllers: make([]func(view.Cursor) ([]byte, error), 2), reason: func(controller int) []view.Reason {
		if controller == 1 {
			return []view.Reason{{Job: "job-000001", Why: "no room", OwnsShard: true}}
		}
		return []view.Reason{{Job: "job-000001", Why: "decided by node n2"}, {Job: "job-000002", Why: "its share has no owner"}}
	}}
	got := NewFollower(src, view.Operators, time.Second).Reasons(t.Context(), []string{"job-000001", "job-000002"})
	if got["job-000001"].Why != "no room" || got["job-000002"].Why != "its share has no owner" {
		t.Error(got)
	}
}
