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
	Sample    *Sample        `json:"sample,omitempty"`
	Job       *FinalJob      `json:"job,omitempty"`
	VictimSet *view.Eviction `json:"evict,omitempty"`
}

// Sample is the sums at a time.
type Sample struct {
	At       int64        `json:"at_ms"`
	Revision uint64       `json:"revision"`
	Teams    []view.Team  `json:"teams"`
	Fleet    view.Fleet   `json:"fleet"`
	Others   *view.Totals `json:"others,omitempty"` // made by a scope only
}

// FinalJob is a job that is over.
type FinalJob struct {
	view.Job
	// StartedMs is when a task of it was first seen on a machine, 0: never. It is as exact as the
	// recorder looks often.
	StartedMs   int64 `json:"started_ms"`
	SeenFinalMs int64 `json:"seen_ms"` // over
}

// Recorder writes a history. It is for one goroutine.
type Recorder struct {
	w                  io.Writer
	sampleInterval     time.Duration
	startedMs          map[string]int64
	recordedJobs       map[string]bool
	recordedVictimSets map[string]int // by key: its victims
	sampledAt          time.Time
	firstState         bool
	Recorded           int // lines written
}

// NewRecorder returns a recorder that writes a sample every so often, and jobs and evicted sets as they come.
func NewRecorder(w io.Writer, every time.Duration) *Recorder {
	return &Recorder{w: w, sampleInterval: every, startedMs: map[string]int64{}, recordedJobs: map[string]bool{}, recordedVictimSets: map[string]int{}, firstState: true}
}

// Run records what a follower brings until ctx ends, or until something cannot be written.
func (r *Recorder) Run(ctx context.Context, f *viewclient.Follower) error {
	for ctx.Err() == nil {
		changed := f.Changed()
		if err := r.Record(f.State(), time.Now()); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// Record records a state.
func (r *Recorder) Record(state *viewclient.State, now time.Time) error {
	if state.Snapshot == nil || state.Age(now) > viewclient.MaxFreshAge {
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
		if (job.Placed > 0 || job.Done > 0) && r.startedMs[job.ID] == 0 {
			r.startedMs[job.ID] = state.Now
		}
		if job.Status.Final() && !r.recordedJobs[job.ID] {
			r.recordedJobs[job.ID] = true
			// What was over before the recorder began has no known start, and may be recorded already.
			if !r.firstState {
				write(Line{Job: &FinalJob{*job, r.startedMs[job.ID], state.Now}})
			}
		}
		return true
	})
	for id := range r.startedMs {
		if !listed[id] {
			delete(r.startedMs, id)
		}
	}
	for id := range r.recordedJobs {
		if !listed[id] {
			delete(r.recordedJobs, id)
		}
	}
	seen := map[string]bool{}
	state.Evictions(func(e *view.Eviction) bool {
		seen[e.Key] = true
		if _, known := r.recordedVictimSets[e.Key]; !known {
			r.recordedVictimSets[e.Key] = len(e.Victims)
			if !r.firstState {
				write(Line{VictimSet: e})
			}
		}
		return true
	})
	for key := range r.recordedVictimSets {
		if !seen[key] {
			delete(r.recordedVictimSets, key)
		}
	}
	if now.Sub(r.sampledAt) >= r.sampleInterval {
		r.sampledAt = now
		write(Line{Sample: &Sample{At: state.Now, Revision: state.Revision, Teams: state.Teams, Fleet: state.Fleet}})
	}
	r.firstState = false
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

// ForScope is what of a line a scope may see, false if nothing. As in the view, it is applied
// before anybody draws.
func (l Line) ForScope(scope view.Scope) (Line, bool) {
	if scope == view.Operators {
		return l, true
	}
	switch {
	case l.Job != nil:
		return l, l.Job.Team == string(scope)
	case l.VictimSet != nil:
		e := scope.VictimSet(l.VictimSet)
		return Line{VictimSet: e}, e != nil
	case l.Sample != nil:
		h := scope.Head(view.Head{Teams: l.Sample.Teams, Fleet: l.Sample.Fleet})
		return Line{Sample: &Sample{At: l.Sample.At, Revision: l.Sample.Revision, Teams: h.Teams, Fleet: h.Fleet, Others: h.Others}}, true
	}
	return l, false
}

// History is what was recorded in a span of time, as a scope may see it.
type History struct {
	From, To        int64 // asked for
	FirstSampleMs   int64 // the first sample there is at all, whatever was asked for; 0: none
	Samples         []Sample
	Jobs            []FinalJob
	VictimSets      []view.Eviction
	UnreadableLines int // lines that could not be read
}

// Read reads histories. Files that are missing are an error; lines that can't be read are counted.
func Read(paths []string, scope view.Scope, from, to int64) (*History, error) {
	history := &History{From: from, To: to}
	seenJobs, victimSets, seenSamples := map[string]bool{}, map[string]bool{}, map[int64]bool{}
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
				history.UnreadableLines++
				continue
			}
			if line.Sample != nil && (history.FirstSampleMs == 0 || line.Sample.At < history.FirstSampleMs) {
				history.FirstSampleMs = line.Sample.At
			}
			line, ok := line.ForScope(scope)
			if !ok {
				continue
			}
			inRange := func(at int64) bool { return at >= from && at < to }
			switch {
			case line.Sample != nil && inRange(line.Sample.At) && !seenSamples[line.Sample.At]:
				seenSamples[line.Sample.At] = true
				history.Samples = append(history.Samples, *line.Sample)
			case line.Job != nil && inRange(line.Job.SeenFinalMs) && !seenJobs[line.Job.ID]:
				seenJobs[line.Job.ID] = true
				history.Jobs = append(history.Jobs, *line.Job)
			case line.VictimSet != nil && inRange(line.VictimSet.At):
				// Two recorders, or one and another controller's keys, may tell of one set.
				key := fmt.Sprint(line.VictimSet.At, line.VictimSet.Job, len(line.VictimSet.Victims))
				if !victimSets[key] {
					victimSets[key] = true
					history.VictimSets = append(history.VictimSets, *line.VictimSet)
				}
			}
		}
		err = errors.Join(scanner.Err(), file.Close())
		if err != nil {
			return nil, fmt.Errorf("history %s: %w", path, err)
		}
	}
	slices.SortFunc(history.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(history.VictimSets, func(a, b view.Eviction) int { return cmp.Compare(a.At, b.At) })
	slices.SortFunc(history.Jobs, func(a, b FinalJob) int { return cmp.Compare(a.SeenFinalMs, b.SeenFinalMs) })
	return history, nil
}
