package console

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/x/ansi"

	"dykeledge/internal/config"
	"dykeledge/internal/loadgen"
	"dykeledge/internal/protocol"
	"dykeledge/internal/simulator"
	"dykeledge/internal/storage"
	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

// simulationSource asks the controllers of a played deployment.
type simulationSource struct {
	simulation *simulator.Simulation
	nodes      int
	garbles    func([]byte) []byte
}

func (s simulationSource) Controllers() (out []string) {
	for i := range s.nodes {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

func (s simulationSource) Page(ctx context.Context, node int, scope view.Scope, cur view.Cursor, wait time.Duration) ([]byte, error) {
	process := s.simulation.Controller(node)
	if process.Ended() {
		return nil, errors.New("does not answer")
	}
	short, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	snap := process.Core.View(short, cur)
	switch {
	case process.Ended():
		return nil, errors.New("does not answer")
	case snap == nil:
		return nil, errors.New("has not read the records yet")
	}
	raw := snap.AppendPage(nil, scope, cur, time.Now().UnixMilli())
	if s.garbles != nil {
		raw = s.garbles(raw)
	}
	return raw, nil
}

func (s simulationSource) Reasons(ctx context.Context, node int, scope view.Scope, ids []string) ([]view.Reason, error) {
	return s.simulation.Controller(node).Core.Reasons(ctx, scope, ids)
}

// reference is the scheduler's own state, made anew from what the state service holds.
type reference struct {
	store *simulator.Store
	cache *storage.Cache
}

func (r *reference) advance(t *testing.T, to uint64) {
	t.Helper()
	for _, e := range r.store.Changes(r.cache.Revision, to) {
		if err := r.cache.Apply(e.Put+e.Delete, e.Value, e.Version, e.Delete != ""); err != nil {
			t.Fatal(err)
		}
	}
	r.cache.Revision = to
	r.cache.PruneFinalJobs()
}

// cells are what a job's row must show: team, priority, tasks, done, placed, waiting.
func (r *reference) cells(j *storage.Job) []string {
	waits := fmt.Sprint(j.Waiting())
	if !j.Ready() && j.Open() && !j.DependencyFailed {
		waits = "-"
	}
	prio := j.OwnPriority.String()
	return []string{j.ID, r.cache.Teams[j.Team].Name, prio[:min(4, len(prio))], fmt.Sprint(j.Tasks), fmt.Sprint(j.DoneCount), fmt.Sprint(j.PlacedCount), waits}
}

// differs tells how a snapshot differs from the reference at its revision, "" if it does not.
func (r *reference) differs(snapshot *view.Snapshot) string {
	sums := make([]view.Totals, len(r.cache.Teams))
	open := 0
	for _, job := range r.cache.Jobs {
		if job == nil {
			continue
		}
		row := snapshot.Job(job.ID)
		if row == nil {
			return fmt.Sprintf("%s is not shown", job.ID)
		}
		want := view.Queued
		switch {
		case !job.Open():
			want = map[protocol.JobStatus]view.Status{protocol.Done: view.Done, protocol.Cancelled: view.Cancelled}[job.Final]
		case job.DependencyFailed:
			want = view.Cancelled
		case job.PlacedCount > 0:
			want = view.Running
		}
		if !want.Final() {
			open++
		}
		if row.Status != want || int(row.Placed) != job.PlacedCount || int(row.Done) != job.DoneCount || int(row.Tasks) != job.Tasks || row.Waiting() != uint32(job.Waiting()) ||
			row.Team != r.cache.Teams[job.Team].Name || row.Priority != job.OwnPriority {
			return fmt.Sprintf("%s is %+v, want %s with %d placed and %d done", job.ID, *row, want, job.PlacedCount, job.DoneCount)
		}
		sum := &sums[job.Team]
		switch want {
		case view.Queued:
			sum.Queued++
		case view.Running:
			sum.Running++
		}
		sum.Waiting += uint64(job.Waiting())
		sum.Placed += uint64(job.PlacedCount)
	}
	shown, wrong := 0, ""
	snapshot.Jobs("", func(j *view.Job) bool {
		if !j.Status.Final() {
			shown++
		} else if f, _ := r.cache.FinalState(j.ID); string(f) != j.Status.String() {
			wrong = fmt.Sprintf("%s is shown %s and is %q", j.ID, j.Status, f)
		}
		return wrong == ""
	})
	if wrong != "" || shown != open {
		return fmt.Sprintf("%d open jobs are shown of %d. %s", shown, open, wrong)
	}
	for i, t := range snapshot.Teams {
		if t.Queued != sums[i].Queued || t.Running != sums[i].Running || t.Waiting != sums[i].Waiting || t.Placed != sums[i].Placed ||
			t.UsedCpus != uint64(math.Round(1000*r.cache.TeamUsage[i].Cpus)) {
			return fmt.Sprintf("team %s sums up to %+v, want %+v and %v cpus", t.Name, t.Totals, sums[i], r.cache.TeamUsage[i].Cpus)
		}
	}
	machines := 0
	for _, machine := range r.cache.Machines {
		if machine.Gone {
			continue
		}
		machines++
		found := false
		snapshot.Machines(func(x *view.Machine) bool {
			if x.Name == machine.Name {
				found = int(x.Tasks) == len(machine.Tasks) && int(x.Shard) == machine.Shard
			}
			return x.Name != machine.Name
		})
		if !found {
			return "machine " + machine.Name + " is not shown as it is"
		}
	}
	if uint64(machines) != snapshot.Fleet.Machines {
		return fmt.Sprintf("%d machines are shown of %d", snapshot.Fleet.Machines, machines)
	}
	return ""
}

// expectedScreen holds what is drawn against the reference: every row on the screen cell by cell, all
// rows of the table by their number, and the sums above them.
func (r *reference) expectedScreen(model *Model) string {
	lines := strings.Split(ansi.Strip(model.View()), "\n")
	if len(lines) != model.height {
		return fmt.Sprintf("%d lines on a screen of %d", len(lines), model.height)
	}
	for _, l := range lines {
		if ansi.StringWidth(l) > model.width {
			return fmt.Sprintf("line of %d on a screen of %d: %q", ansi.StringWidth(l), model.width, l)
		}
	}
	queued, running, wait, placed, inQueue, inRunning := 0, 0, 0, 0, 0, 0
	for _, job := range r.cache.Jobs {
		if job == nil || !job.Open() || job.DependencyFailed {
			if job != nil {
				placed += job.PlacedCount // a cancelled job's, until they are gone
			}
			continue
		}
		wait, placed = wait+job.Waiting(), placed+job.PlacedCount
		if job.PlacedCount > 0 {
			running++
			inRunning++
		} else {
			queued++
		}
		if job.Waiting() > 0 || !job.Ready() {
			inQueue++
		}
	}
	if !strings.HasPrefix(lines[1], "!") {
		var late int
		var got [4]int
		if _, err := fmt.Sscanf(lines[1], "%d queued, %d running, %d late; tasks %d wait, %d placed", &got[0], &got[1], &late, &got[2], &got[3]); err != nil && model.width >= 80 {
			return fmt.Sprintf("%q: %v", lines[1], err)
		}
		if got != [4]int{queued, running, wait, placed} {
			return fmt.Sprintf("%q, want %d %d %d %d", lines[1], queued, running, wait, placed)
		}
	}
	want, table := -1, model.tables[model.tab].Name
	switch table {
	case Queue:
		want = inQueue
	case Running:
		want = inRunning
	}
	if want >= 0 && len(model.cached) != want {
		return fmt.Sprintf("%d rows in %s, want %d", len(model.cached), table, want)
	}
	if want < 0 {
		return ""
	}
	for i := range model.visible() {
		f := strings.Fields(strings.TrimLeft(lines[4+i], ">!? "))
		other := r.cache.Job(f[0])
		if other == nil {
			return fmt.Sprintf("%q is of no job", lines[4+i])
		}
		cells := r.cells(other)
		if model.width < 90 && table == Queue { // without those done
			cells = slices.Delete(cells, 4, 5)
		}
		if model.width >= 100 { // the class comes third then
			cells = slices.Insert(cells, 2, r.cache.Classes.Name(other.Class))
		}
		if len(f) < len(cells) || !slices.Equal(f[:len(cells)], cells) {
			return fmt.Sprintf("%q, want %v", lines[4+i], cells)
		}
	}
	return ""
}

// seesChanges tells whether the comparison notices a row that is dropped, two that are swapped,
// and a snapshot with a row changed, dropped or brought back.
func (r *reference) seesChanges(model *Model) bool {
	rows := model.cached
	defer func() { model.cached = rows }()
	model.cached = slices.Concat(rows[:1], rows[2:])
	if r.expectedScreen(model) == "" {
		return false
	}
	model.cached = slices.Clone(rows)
	first, second := model.cached[0], model.cached[1]
	first.Cells, second.Cells = slices.Clone(first.Cells), slices.Clone(second.Cells)
	first.Cells[1], second.Cells[1] = second.Cells[1], first.Cells[1] // the ids change places
	first.Cells[2], second.Cells[2] = "x", first.Cells[2]
	model.cached[0], model.cached[1] = first, second
	if r.expectedScreen(model) == "" {
		return false
	}
	for _, change := range []func(*view.Model, view.Job){
		func(x *view.Model, j view.Job) { x.DropJob(j.ID) },
		func(x *view.Model, j view.Job) { j.Done++; x.PutJob(j) },
		func(x *view.Model, j view.Job) { j.ID = "job-000000001"; x.PutJob(j) },
	} {
		s, mirror := model.state.Snapshot, view.NewMirror()
		s.Jobs("", func(j *view.Job) bool { return mirror.PutJob(*j) })
		s.Machines(func(x *view.Machine) bool { mirror.PutMachine(*x); return true })
		if r.differs(mirror.Mirrored(s.Head)) != "" {
			return false // the copy is the same so far
		}
		change(mirror, *s.Job(rows[0].Key))
		if r.differs(mirror.Mirrored(s.Head)) == "" {
			return false
		}
	}
	return true
}

func burstSettings() *config.Settings {
	s := &config.Settings{MemberName: "n0", Zone: "a", PublicAddr: "10.0.0.1:1", PeerListen: "10.0.0.1:2"}
	s.Deployment = config.Deployment{Controllers: 3, Zones: []string{"a", "b", "c"},
		Teams:     []config.Team{{Name: "red", Cpus: 60, CpusMax: 120}, {Name: "blue", Cpus: 100}, {Name: "green"}, {Name: "grey"}},
		Workers:   config.Workers{HeartbeatS: 1, LeaseS: 10, GangWaitS: 30, GangPeerS: 4, CancelS: 12},
		State:     config.State{RPS: 1000, WriteRPS: 500, ValueKB: 64, TxnOps: 16},
		Cloud:     config.Cloud{RPS: 10, ListLagS: 5},
		Resources: config.Resources{CPU: 1, MemMB: 100, MaxConnections: 500}}
	return s
}

// TestScreensAreTrue replays a recorded burst, kept as a profile and a seed, over the
// stand-ins, through what may happen to the controller that is asked. Whatever is drawn is the
// scheduler's own state at the revision that the screen states, and is no older than 2 s or
// says so. What was shown as over is never shown as open again.
func TestScreensAreTrue(t *testing.T) {
	raw, err := os.ReadFile("testdata/burst.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name  string
		part  float64 // of the burst
		fault func(sim *simulator.Simulation)
		warns bool // the screen has to say that it is old
	}{
		{name: "the node that is asked ends", part: 1, fault: func(w *simulator.Simulation) {
			time.Sleep(30 * time.Second)
			w.Kill(0)
			time.Sleep(6 * time.Second)
			w.Start(0)
		}},
		{name: "the state service is out", part: 0.1, warns: true, fault: func(w *simulator.Simulation) {
			time.Sleep(20 * time.Second)
			w.Store.SetDown(true)
			time.Sleep(12 * time.Second)
			w.Store.SetDown(false)
		}},
		{name: "the node that is asked is refused alone, and follows from too far back", part: 0.1, fault: func(w *simulator.Simulation) {
			time.Sleep(20 * time.Second)
			w.Store.Deny("n0", true)
			time.Sleep(9 * time.Second)
			w.Store.Compact()
			w.Store.Deny("n0", false)
		}},
		{name: "all shares change hands", part: 0.1, fault: func(w *simulator.Simulation) {
			for i := range 3 {
				time.Sleep(10 * time.Second)
				w.Controller(i).Cut(simulator.NoWorkers | simulator.NoUsers)
				time.Sleep(8 * time.Second)
				w.Controller(i).Cut(0)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				profile, err := loadgen.Parse(raw)
				if err != nil {
					t.Fatal(err)
				}
				for i := range profile.Streams {
					profile.Streams[i].PerMinute *= test.part
				}
				plan, err := profile.Plan(18)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				simulation := simulator.NewSimulation(ctx, burstSettings(), 18)
				simulation.CapacityOf, simulation.Views, simulation.Store.Keep = 90, true, 1<<30
				for i := range 3 {
					simulation.Start(i)
				}
				simulation.PeerDelay()
				for i := range 45 {
					simulation.AddMachine(simulation.Settings.Deployment.Zones[i%3], i%2 == 0)
				}
				ref := &reference{simulation.Store, storage.NewCache(simulation.Settings)}
				follower := viewclient.NewFollower(simulationSource{simulation: simulation, nodes: 3}, view.Operators, 300*time.Millisecond)
				ended := make(chan error, 1)
				go func() { ended <- follower.Run(ctx) }()
				model := New(ctx, follower, "burst")
				time.Sleep(3 * time.Second)
				go test.fault(simulation)
				users := &loadgen.Runner{To: simulator.Users{Simulation: simulation}, Upload: func(_ string, raw []byte) error {
					var u simulator.Upload
					if err := json.Unmarshal(raw, &u); err != nil {
						return err
					}
					return simulation.AddJob(u)
				}}
				res := make(chan loadgen.Result, 1)
				go func() { res <- users.Run(ctx, plan, 2*time.Minute) }()
				final := map[string]view.Status{}
				screens, old, most, lastRev, provedWrong := 0, 0, 0, uint64(0), false
				began := time.Now()
				look := func() string {
					model.state = follower.State()
					snapshot := model.state.Snapshot
					if snapshot == nil {
						return ""
					}
					if snapshot.Revision < lastRev {
						return fmt.Sprintf("revision %d after %d", snapshot.Revision, lastRev)
					}
					if snapshot.Revision > lastRev {
						lastRev = snapshot.Revision
						ref.advance(t, snapshot.Revision)
						if d := ref.differs(snapshot); d != "" {
							return fmt.Sprintf("revision %d: %s", snapshot.Revision, d)
						}
						back := ""
						snapshot.Jobs("", func(j *view.Job) bool {
							if was, ok := final[j.ID]; ok && was != j.Status {
								back = fmt.Sprintf("%s was shown %s and is shown %s", j.ID, was, j.Status)
							}
							if j.Status.Final() {
								final[j.ID] = j.Status
							}
							return back == ""
						})
						if back != "" {
							return back
						}
					}
					for tab := range model.tables {
						model.width, model.height = 80, 24
						if screens%2 == 0 {
							model.width, model.height = 160, 50
						}
						model.turn(tab)
						model.list()
						if d := ref.expectedScreen(model); d != "" {
							return fmt.Sprintf("revision %d, table %s: %s\n%s", snapshot.Revision, model.tables[tab].Name, d, ansi.Strip(model.View()))
						}
						screens++
						if !provedWrong && tab < 2 && len(model.visible()) > 2 {
							if provedWrong = true; !ref.seesChanges(model) {
								return "a changed screen is taken for a true one"
							}
						}
						most = max(most, len(model.cached))
					}
					if age := model.state.Age(time.Now()); age > viewclient.Fresh {
						if old++; !strings.Contains(ansi.Strip(model.View()), "THIS IS") {
							return fmt.Sprintf("it is %v old and does not say so", age)
						}
					}
					return ""
				}
				for time.Since(began) < 100*time.Second && !t.Failed() {
					time.Sleep(250 * time.Millisecond)
					if wrong := look(); wrong != "" {
						t.Error(wrong)
						cancel()
					}
				}
				result := <-res
				t.Logf("%d screens, %d jobs on one, old on %d; %d jobs, %d accepted, %d done, accepted within %+v ms, done within %+v ms", screens, most, old, result.Jobs, result.Accepted, result.Done, result.Accept, result.Complete)
				if result.Accepted != result.Jobs || result.Open > 0 || result.WentBack > 0 || len(final) < result.Jobs*9/10 {
					t.Errorf("%+v, %d seen over", result, len(final))
				}
				if !provedWrong {
					t.Error("no screen was changed to see whether that is noticed")
				}
				if (old > 0) != test.warns && test.warns {
					t.Error("an outage was not told")
				}
				for _, b := range simulation.BrokenRules() {
					t.Error(b)
				}
				cancel()
				if err := <-ended; err != nil {
					t.Error(err)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
