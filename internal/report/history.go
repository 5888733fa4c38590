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

// A history is a file with one JSON object per line: samples of the totals, jobs when they become final, and
// victim sets when they are chosen. Lines are only appended. A line that a crash truncated is skipped and
// counted. The files of several recorders may be read together.

// Line is one line of a history. Exactly one of its fields is set.
type Line struct {
	Sample    *Sample         `json:"sample,omitempty"`
	Job       *FinalJob       `json:"job,omitempty"`
	VictimSet *view.VictimSet `json:"evict,omitempty"`
}

// Sample holds the totals at one time.
type Sample struct {
	At       int64        `json:"at_ms"`
	Revision uint64       `json:"revision"`
	Teams    []view.Team  `json:"teams"`
	Fleet    view.Fleet   `json:"fleet"`
	Others   *view.Totals `json:"others,omitempty"` // set by Line.ForScope for a team
}

// FinalJob is the row of a job that is done or cancelled.
type FinalJob struct {
	view.Job
	// StartedMs is when the recorder first saw a task of the job placed or done; 0 if it never did. Its
	// precision is the interval between the states that the recorder receives.
	StartedMs   int64 `json:"started_ms"`
	SeenFinalMs int64 `json:"seen_ms"` // when the recorder first saw the job final
}

// Recorder writes a history. Only one goroutine may use it.
type Recorder struct {
	w                  io.Writer
	sampleInterval     time.Duration
	startedMs          map[string]int64 // by job id, see FinalJob.StartedMs
	recordedJobs       map[string]bool  // by id: final jobs that were seen
	recordedVictimSets map[string]int   // by key: number of victims
	sampledAt          time.Time        // when the latest sample was written
	firstState         bool             // no state was recorded yet
	LinesWritten       int              // lines written
}

// NewRecorder returns a recorder that writes at most one sample per sampleInterval, and final jobs and victim
// sets when they first appear.
func NewRecorder(w io.Writer, sampleInterval time.Duration) *Recorder {
	return &Recorder{w: w, sampleInterval: sampleInterval, startedMs: map[string]int64{}, recordedJobs: map[string]bool{}, recordedVictimSets: map[string]int{}, firstState: true}
}

// Run records the states of a follower until ctx ends or a line cannot be written.
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

// Record writes what is new in a state. It ignores states older than viewclient.MaxFreshAge.
func (r *Recorder) Record(state *viewclient.State, now time.Time) error {
	if state.Snapshot == nil || state.Age(now) > viewclient.MaxFreshAge {
		return nil // a stale state would be recorded with the present time
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
			r.startedMs[job.ID] = state.NowMs
		}
		if job.Status.Final() && !r.recordedJobs[job.ID] {
			r.recordedJobs[job.ID] = true
			// The start of a job that was final before the recorder started is not known, and the job may be
			// recorded already.
			if !r.firstState {
				write(Line{Job: &FinalJob{*job, r.startedMs[job.ID], state.NowMs}})
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
	state.VictimSets(func(e *view.VictimSet) bool {
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
		write(Line{Sample: &Sample{At: state.NowMs, Revision: state.Revision, Teams: state.Teams, Fleet: state.Fleet}})
	}
	r.firstState = false
	return err
}

func (r *Recorder) write(l Line) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("encode history line: %w", err)
	}
	// Each line is one write, so that the lines of two recorders that share a file do not mix.
	if _, err := r.w.Write(append(raw, '\n')); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	r.LinesWritten++
	return nil
}

// ForScope returns the part of a line that the scope may see, false if nothing. As in the read model it is
// applied before anything is displayed.
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

// History is what was recorded in a period, as far as a scope may see it. Times are Unix times in
// milliseconds.
type History struct {
	From, To        int64 // the requested period; To is exclusive
	FirstSampleMs   int64 // time of the first sample in the files, also outside of the period; 0 if there is none
	Samples         []Sample
	Jobs            []FinalJob
	VictimSets      []view.VictimSet
	UnreadableLines int // lines that are not valid JSON
}

// Read reads the given history files. A missing file is an error; unreadable lines are counted.
func Read(paths []string, scope view.Scope, from, to int64) (*History, error) {
	history := &History{From: from, To: to}
	seenJobs, victimSets, seenSamples := map[string]bool{}, map[string]bool{}, map[int64]bool{}
	for _, path := range paths {
		file, err := os.Open(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("history %s: no such file; dykectl record and dykectl up write one", path)
		} else if err != nil {
			return nil, fmt.Errorf("open history: %w", err)
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
			case line.VictimSet != nil && inRange(line.VictimSet.ChosenAtMs):
				// Two recorders, or one recorder that switched to a controller with other keys, may record
				// the same victim set twice.
				key := fmt.Sprint(line.VictimSet.ChosenAtMs, line.VictimSet.Job, len(line.VictimSet.Victims))
				if !victimSets[key] {
					victimSets[key] = true
					history.VictimSets = append(history.VictimSets, *line.VictimSet)
				}
			}
		}
		err = errors.Join(scanner.Err(), file.Close())
		if err != nil {
			return nil, fmt.Errorf("read history %s: %w", path, err)
		}
	}
	slices.SortFunc(history.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(history.VictimSets, func(a, b view.VictimSet) int { return cmp.Compare(a.ChosenAtMs, b.ChosenAtMs) })
	slices.SortFunc(history.Jobs, func(a, b FinalJob) int { return cmp.Compare(a.SeenFinalMs, b.SeenFinalMs) })
	return history, nil
}
