package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

// recordHistory records 300 s of three teams, with a gap from second 120 to 200 and a truncated last line, and
// returns the file. The names of the classes contain markup.
func recordHistory(t *testing.T, began time.Time) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "history.jsonl")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // the file is only read after this
	model := view.NewModel([]view.Team{{Name: "team-red-x", Cpus: 8000, CpusMax: 20000}, {Name: "team-blue-x", Cpus: 4000}, {Name: "team-green-x"}})
	model.PutMachine(view.Machine{Name: "host-1", Cpus: 16000, Price: 2_000_000, State: view.Busy,
		Uses: []view.MachineUse{{Team: "team-blue-x", Tasks: 1, Cpus: 4000}, {Team: "team-red-x", Tasks: 1, Cpus: 8000}}})
	recorder := NewRecorder(file, 10*time.Second)
	putJob := func(team string, i int, s view.Status, placed uint32, at time.Time) {
		j := view.Job{ID: fmt.Sprintf("job-of-%s-%d", team, i), Team: team, Class: "class-<script>-of-" + team, Tasks: 2, Placed: placed, Cpus: 1000, Status: s,
			SubmittedMs: began.UnixMilli(), ReadyMs: began.UnixMilli(), DeadlineMs: began.Add(time.Minute).UnixMilli()}
		if s.Final() {
			j.Done, j.EndedMs = 2, at.UnixMilli()
		}
		model.PutJob(j)
	}
	for sec := range 300 {
		now := began.Add(time.Duration(sec) * time.Second)
		for i, team := range []string{"team-red-x", "team-blue-x"} {
			switch sec {
			case 1:
				putJob(team, 1, view.Queued, 0, now)
			case 20 + i:
				putJob(team, 1, view.Running, 2, now)
			case 40:
				putJob(team, 2, view.Running, 1, now)
				model.PutVictimSet(view.VictimSet{Job: "job-of-team-red-x-2", Team: "team-red-x", ChosenAtMs: now.UnixMilli(),
					Victims: []view.Victim{{Job: "job-of-team-blue-x-2", Team: "team-blue-x"}, {Job: "job-of-team-green-x-1", Team: "team-green-x"}}})
			case 90 + i:
				putJob(team, 1, view.Done, 0, now)
			case 100:
				putJob(team, 2, view.Cancelled, 0, now)
			}
		}
		if sec >= 120 && sec < 200 {
			continue // no recorder is running
		}
		s := model.Snapshot(view.Head{Epoch: 1, Revision: uint64(sec), NowMs: now.UnixMilli(), AsOfMs: now.UnixMilli()})
		if err := recorder.Record(&viewclient.State{Snapshot: s, RequestedAt: now}, now); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := file.WriteString("{\"sample\":{\"at_ms\":1"); err != nil { // as after a crash
		t.Fatal(err)
	}
	return path
}

// TestReport checks that the figures match what was recorded, that the page shows the figures of the JSON file,
// and that the files for one team contain no name of another team.
func TestReport(t *testing.T) {
	began := time.Date(2026, 11, 30, 18, 0, 0, 0, time.Local)
	path := recordHistory(t, began)
	for _, test := range []struct {
		scope view.Scope
		teams int
		check func(report *Report) bool
	}{
		{view.Operators, 3, func(r *Report) bool {
			return r.Others == nil && r.Teams[0].Name == "team-blue-x" && r.Teams[0].Evicted == 1 && r.Teams[2].EvictedFor == 2
		}},
		{"team-red-x", 1, func(r *Report) bool {
			x := r.Teams[0]
			return x.Done == 1 && x.Cancelled == 1 && x.Late == 1 && x.LateBy.Most == 30 && x.Waits.Count == 1 && x.Waits.Most == 20 && x.EvictedFor == 0 &&
				x.Limit == 20 && r.Others.MostCpus == 3 && x.MostCpus == 3
		}},
		{"team-green-x", 1, func(r *Report) bool {
			return r.Teams[0].Evicted == 1 && r.Teams[0].Done == 0 && r.Teams[0].Money == 0
		}},
	} {
		t.Run("scope "+string(test.scope), func(t *testing.T) {
			history, err := Read([]string{path, path}, test.scope, began.UnixMilli(), began.Add(time.Hour).UnixMilli())
			if err != nil {
				t.Fatal(err)
			}
			made := Make(history, "Night <of> the 30th", test.scope, began.Add(time.Hour))
			if len(made.Teams) != test.teams || !test.check(made) || len(made.Gaps) != 1 || made.Gaps[0].S < 60 || history.UnreadableLines != 2 || !made.KnownFrom.Equal(began) {
				raw, _ := json.MarshalIndent(made, "", " ")
				t.Fatalf("%s", raw)
			}
			out := filepath.Join(t.TempDir(), "page.html")
			if err := made.Write(out); err != nil {
				t.Fatal(err)
			}
			page, err := os.ReadFile(out)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := os.ReadFile(FiguresPath(out))
			if err != nil {
				t.Fatal(err)
			}
			for _, other := range []string{"team-red-x", "team-blue-x", "team-green-x"} {
				if test.scope != view.Operators && other != string(test.scope) && (bytes.Contains(page, []byte(other)) || bytes.Contains(raw, []byte(other))) {
					t.Errorf("%s is named in the report for %s", other, test.scope)
				}
			}
			if bytes.Contains(page, []byte("<script>")) || bytes.Contains(page, []byte("<of>")) || regexp.MustCompile(`(src|href)="?http`).Match(page) {
				t.Error("the page contains unescaped markup or a link to an external resource")
			}
			// Each figure of the JSON file appears on the page with the same value.
			var doc struct {
				Teams []map[string]any `json:"teams"`
			}
			if err := json.Unmarshal(raw, &doc); err != nil {
				t.Fatal(err)
			}
			text := regexp.MustCompile(`(?s)<svg.*?</svg>`).ReplaceAllString(string(page), "")
			for _, team := range doc.Teams {
				for name, v := range team {
					if n, ok := v.(float64); ok && (n != 0 || name != "limit_cpus") && !strings.Contains(text, ">"+fmt.Sprint(n)+"<") {
						t.Errorf("%s is %v in the JSON file and missing on the page", name, n)
					}
				}
			}
			if n := strings.Count(string(page), "<svg"); n != 5*test.teams || strings.Count(string(page), "<figcaption>") != n {
				t.Errorf("%d plots, want 5 for each team, each with a caption", n)
			}
		})
	}
	if _, err := Read([]string{path + ".none"}, "", 0, 1); err == nil || !strings.Contains(err.Error(), "dykectl record") {
		t.Error(err)
	}
}

// TestRecorderSkipsStaleState checks that a stale state is not recorded as if it were the present one.
func TestRecorderSkipsStaleState(t *testing.T) {
	var b bytes.Buffer
	r := NewRecorder(&b, time.Second)
	s := view.NewModel(nil).Snapshot(view.Head{NowMs: 10_000, AsOfMs: 1_000})
	if err := r.Record(&viewclient.State{Snapshot: s, RequestedAt: time.Now()}, time.Now()); err != nil || b.Len() > 0 {
		t.Error(b.String(), err)
	}
}
