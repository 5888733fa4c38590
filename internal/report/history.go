package report

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"time"

	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

// A history is a file of lines, each a JSON object: samples of the sums, jobs when they are
// over, evicted sets when they are made. Lines are only added; one that was cut short by a
// crash is passed over. Several recorders' files may be read together.

// Line is one line of a history; one of its parts is set.
type Line struct {
	Sample *Sample        `json:"sample,omitempty"`
	Job    *JobEnd        `json:"job,omitempty"`
	Evict  *view.Eviction `json:"evict,omitempty"`
}

// Sample is the sums at a time.
type Sample struct {
	At       int64        `json:"at_ms"`
	Revision uint64       `json:"revision"`
	Teams    []view.Team  `json:"teams"`
	Fleet    view.Fleet   `json:"fleet"`
	Others   *view.Totals `json:"others,omitempty"` // made by a scope only
}

// JobEnd is a job that is over.
type JobEnd struct {
	view.Job
	// Started is when a task of it was first seen on a machine, 0: never. It is as exact as the
	// recorder looks often.
	Started int64 `json:"started_ms"`
	Seen    int64 `json:"seen_ms"` // over
}

// Recorder writes a history. It is for one goroutine.
type Recorder struct {
	w        io.Writer
	every    time.Duration
	started  map[string]int64
	over     map[string]bool
	evicted  map[string]int // by key: its victims
	sampled  time.Time
	first    bool
	Recorded int // lines written
}

// NewRecorder returns a recorder that writes a sample every so often, and jobs and evicted sets as they come.
func NewRecorder(w io.Writer, every time.Duration) *Recorder {
	return &Recorder{w: w, every: every, started: map[string]int64{}, over: map[string]bool{}, evicted: map[string]int{}, first: true}
}

// Run records what a follower brings until ctx ends, or until something cannot be written.
func (r *Recorder) Run(ctx context.Context, f *viewclient.Follower) error {
	for ctx.Err() == nil {
		changed := f.Changed()
		if err := r.Take(f.State(), time.Now()); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// Take records a state.
func (r *Recorder) Take(state *viewclient.State, now time.Time) error {
	if state.Snapshot == nil || state.Age(now) > viewclient.Fresh {
		return nil // a stale state would be recorded as if it were the present
	}
	var err error
	write := func(l Line) {
		if err == nil {
			err = r.write(l)
		}
	}
	listed := map[string]bool{}
	state.Jobs("", func(job *view.Job) bool {
		listed[job.ID] = true
		if (job.Placed > 0 || job.Done > 0) && r.started[job.ID] == 0 {
			r.started[job.ID] = state.Now
		}
		if job.Status.Final() && !r.over[job.ID] {
			r.over[job.ID] = true
			// What was over before the recorder began has no known start, and may be recorded already.
			if !r.first {
				write(Line{Job: &JobEnd{*job, r.started[job.ID], state.Now}})
			}
		}
		return true
	})
	for id := range r.started {
		if !listed[id] {
			delete(r.started, id)
		}
	}
	for id := range r.over {
		if !listed[id] {
			delete(r.over, id)
		}
	}
	seen := map[string]bool{}
	state.Evictions(func(e *view.Eviction) bool {
		seen[e.Key] = true
		if _, known := r.evicted[e.Key]; !known {
			r.evicted[e.Key] = len(e.Victims)
			if !r.first {
				write(Line{Evict: e})
			}
		}
		return true
	})
	for key := range r.evicted {
		if !seen[key] {
			delete(r.evicted, key)
		}
	}
	if now.Sub(r.sampled) >= r.every {
		r.sampled = now
		write(Line{Sample: &Sample{At: state.Now, Revision: state.Revision, Teams: state.Teams, Fleet: state.Fleet}})
	}
	r.first = false
	return err
}

func (r *Recorder) write(l Line) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	// One write a line: two recorders that share a file don't mix theirs.
	if _, err := r.w.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	r.Recorded++
	return nil
}

// Within is what of a line a scope may see, false if nothing. As in the view, it is applied
// before anybody draws.
func (l Line) Within(scope view.Scope) (Line, bool) {
	if scope == view.Operators {
		return l, true
	}
	switch {
	case l.Job != nil:
		return l, l.Job.Team == string(scope)
	case l.Evict != nil:
		e := scope.Eviction(l.Evict)
		return Line{Evict: e}, e != nil
	case l.Sample != nil:
		h := scope.Head(view.Head{Teams: l.Sample.Teams, Fleet: l.Sample.Fleet})
		return Line{Sample: &Sample{At: l.Sample.At, Revision: l.Sample.Revision, Teams: h.Teams, Fleet: h.Fleet, Others: h.Others}}, true
	}
	return l, false
}

// History is what was recorded in a span of time, as a scope may see it.
type History struct {
	From, To int64 // asked for
	Since    int64 // the first sample there is at all, whatever was asked for; 0: none
	Samples  []Sample
	Jobs     []JobEnd
	Evicts   []view.Eviction
	Broken   int // lines that could not be read
}

// Read reads histories. Files that are missing are an error; lines that can't be read are counted.
func Read(paths []string, scope view.Scope, from, to int64) (*History, error) {
	history := &History{From: from, To: to}
	jobs, evicts, samples := map[string]bool{}, map[string]bool{}, map[int64]bool{}
	for _, path := range paths {
		file, err := os.Open(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("history %s: there is none; dykectl record writes one, and dykectl up does", path)
		} else if err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(make([]byte, 64<<10), 16<<20)
		for scanner.Scan() {
			var line Line
			if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
				history.Broken++
				continue
			}
			if line.Sample != nil && (history.Since == 0 || line.Sample.At < history.Since) {
				history.Since = line.Sample.At
			}
			line, ok := line.Within(scope)
			if !ok {
				continue
			}
			in := func(at int64) bool { return at >= from && at < to }
			switch {
			case line.Sample != nil && in(line.Sample.At) && !samples[line.Sample.At]:
				samples[line.Sample.At] = true
				history.Samples = append(history.Samples, *line.Sample)
			case line.Job != nil && in(line.Job.Seen) && !jobs[line.Job.ID]:
				jobs[line.Job.ID] = true
				history.Jobs = append(history.Jobs, *line.Job)
			case line.Evict != nil && in(line.Evict.At):
				// Two recorders, or one and another controller's keys, may tell of one set.
				key := fmt.Sprint(line.Evict.At, line.Evict.Job, len(line.Evict.Victims))
				if !evicts[key] {
					evicts[key] = true
					history.Evicts = append(history.Evicts, *line.Evict)
				}
			}
		}
		err = errors.Join(scanner.Err(), file.Close())
		if err != nil {
			return nil, fmt.Errorf("history %s: %w", path, err)
		}
	}
	slices.SortFunc(history.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(history.Evicts, func(a, b view.Eviction) int { return cmp.Compare(a.At, b.At) })
	slices.SortFunc(history.Jobs, func(a, b JobEnd) int { return cmp.Compare(a.Seen, b.Seen) })
	return history, nil
}
