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

// simulationSource is a Source that asks the controllers of a simulated deployment.
type simulationSource struct {
	simulation      *simulator.Simulation
	controllerCount int
	corrupt         func([]byte) []byte
}

func (s simulationSource) Controllers() (out []string) {
	for i := range s.controllerCount {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

func (s simulationSource) Page(ctx context.Context, index int, scope view.Scope, cursor view.Cursor, wait time.Duration) ([]byte, error) {
	controller := s.simulation.Controller(index)
	if controller.Ended() {
		return nil, errors.New("does not answer")
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	snapshot := controller.Core.View(waitCtx, cursor)
	switch {
	case controller.Ended():
		return nil, errors.New("does not answer")
	case snapshot == nil:
		return nil, errors.New("has not read the records yet")
	}
	raw := snapshot.AppendPage(nil, scope, cursor, time.Now().UnixMilli())
	if s.corrupt != nil {
		raw = s.corrupt(raw)
	}
	return raw, nil
}

func (s simulationSource) Reasons(ctx context.Context, index int, scope view.Scope, ids []string) ([]view.Reason, error) {
	return s.simulation.Controller(index).Core.Reasons(ctx, scope, ids)
}

// reference is the scheduler's state, rebuilt independently of the view from the changes in the state
// service.
type reference struct {
	store *simulator.Store
	cache *storage.Cache
}

// advance applies the changes of the state service up to a revision.
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

// expectedCells returns the cells that the row of a job must show: id, team, priority, tasks, done, placed and
// waiting.
func (r *reference) expectedCells(j *storage.Job) []string {
	waits := fmt.Sprint(j.Waiting())
	if !j.Ready() && j.Open() && !j.DependencyFailed {
		waits = "-"
	}
	prio := j.OwnPriority.String()
	return []string{j.ID, r.cache.Teams[j.Team].Name, prio[:min(4, len(prio))], fmt.Sprint(j.Tasks), fmt.Sprint(j.DoneCount), fmt.Sprint(j.PlacedCount), waits}
}

// difference describes the first difference between a snapshot and the reference at the same revision, "" if
// there is none.
func (r *reference) difference(snapshot *view.Snapshot) string {
	totals := make([]view.Totals, len(r.cache.Teams))
	open := 0
	for _, job := range r.cache.Jobs {
		if job == nil {
			continue
		}
		row := snapshot.Job(job.ID)
		if row == nil {
			return fmt.Sprintf("%s is missing in the snapshot", job.ID)
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
			return fmt.Sprintf("row of %s is %+v, want status %s with %d placed and %d done", job.ID, *row, want, job.PlacedCount, job.DoneCount)
		}
		sum := &totals[job.Team]
		switch want {
		case view.Queued:
			sum.Queued++
		case view.Running:
			sum.Running++
		}
		sum.Waiting += uint64(job.Waiting())
		sum.Placed += uint64(job.PlacedCount)
	}
	openShown, mismatch := 0, ""
	snapshot.Jobs("", func(j *view.Job) bool {
		if !j.Status.Final() {
			openShown++
		} else if final, _ := r.cache.FinalState(j.ID); string(final) != j.Status.String() {
			mismatch = fmt.Sprintf("%s has status %s, want %q", j.ID, j.Status, final)
		}
		return mismatch == ""
	})
	if mismatch != "" || openShown != open {
		return fmt.Sprintf("%d rows of open jobs, want %d. %s", openShown, open, mismatch)
	}
	for i, t := range snapshot.Teams {
		if t.Queued != totals[i].Queued || t.Running != totals[i].Running || t.Waiting != totals[i].Waiting || t.Placed != totals[i].Placed ||
			t.UsedCpus != uint64(math.Round(1000*r.cache.TeamUsage[i].Cpus)) {
			return fmt.Sprintf("totals of team %s are %+v, want %+v and %v cpus", t.Name, t.Totals, totals[i], r.cache.TeamUsage[i].Cpus)
		}
	}
	machines := 0
	for _, machine := range r.cache.Machines {
		if machine.Gone {
			continue
		}
		machines++
		found := false
		snapshot.Machines(func(row *view.Machine) bool {
			if row.Name == machine.Name {
				found = int(row.Tasks) == len(machine.Tasks) && int(row.Shard) == machine.Shard
			}
			return row.Name != machine.Name
		})
		if !found {
			return "machine " + machine.Name + " is missing or has another shard or number of tasks"
		}
	}
	if uint64(machines) != snapshot.Fleet.Machines {
		return fmt.Sprintf("%d machines in the totals, want %d", snapshot.Fleet.Machines, machines)
	}
	return ""
}

// screenDifference compares the drawn screen with the reference: the cells of every row on the screen, the
// number of rows in the table, and the totals in the summary. It returns "" if they are equal.
func (r *reference) screenDifference(model *Model) string {
	lines := strings.Split(ansi.Strip(model.View()), "\n")
	if len(lines) != model.height {
		return fmt.Sprintf("%d lines on a screen of %d lines", len(lines), model.height)
	}
	for _, l := range lines {
		if ansi.StringWidth(l) > model.width {
			return fmt.Sprintf("line of %d columns on a screen of %d: %q", ansi.StringWidth(l), model.width, l)
		}
	}
	queued, running, wait, placed, inQueue, inRunning := 0, 0, 0, 0, 0, 0
	for _, job := range r.cache.Jobs {
		if job == nil || !job.Open() || job.DependencyFailed {
			if job != nil {
				placed += job.PlacedCount // tasks of a cancelled job count as placed until they have stopped
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
			return fmt.Sprintf("summary %q, want %d queued, %d running, %d waiting, %d placed", lines[1], queued, running, wait, placed)
		}
	}
	wantRows, table := -1, model.tables[model.tab].Name
	switch table {
	case Queue:
		wantRows = inQueue
	case Running:
		wantRows = inRunning
	}
	if wantRows >= 0 && len(model.rows) != wantRows {
		return fmt.Sprintf("%d rows in table %s, want %d", len(model.rows), table, wantRows)
	}
	if wantRows < 0 {
		return ""
	}
	for i := range model.visibleRows() {
		fields := strings.Fields(strings.TrimLeft(lines[4+i], ">!? "))
		job := r.cache.Job(fields[0])
		if job == nil {
			return fmt.Sprintf("row %q is of no known job", lines[4+i])
		}
		cells := r.expectedCells(job)
		if model.width < 90 && table == Queue { // a narrow screen has no column of done tasks
			cells = slices.Delete(cells, 4, 5)
		}
		if model.width >= 100 { // a wide screen has the class as the third column
			cells = slices.Insert(cells, 2, r.cache.Classes.Name(job.Class))
		}
		if len(fields) < len(cells) || !slices.Equal(fields[:len(cells)], cells) {
			return fmt.Sprintf("row %q, want %v", lines[4+i], cells)
		}
	}
	return ""
}

// detectsChanges reports whether the comparisons detect a dropped row, two swapped rows, and a snapshot with a
// row changed, dropped or added under another id.
func (r *reference) detectsChanges(model *Model) bool {
	rows := model.rows
	defer func() { model.rows = rows }()
	model.rows = slices.Concat(rows[:1], rows[2:])
	if r.screenDifference(model) == "" {
		return false
	}
	model.rows = slices.Clone(rows)
	first, second := model.rows[0], model.rows[1]
	first.Cells, second.Cells = slices.Clone(first.Cells), slices.Clone(second.Cells)
	first.Cells[1], second.Cells[1] = second.Cells[1], first.Cells[1] // swap the ids
	first.Cells[2], second.Cells[2] = "x", first.Cells[2]
	model.rows[0], model.rows[1] = first, second
	if r.screenDifference(model) == "" {
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
		if r.difference(mirror.SnapshotWithHead(s.Head)) != "" {
			return false // the unchanged copy must equal the reference
		}
		change(mirror, *s.Job(rows[0].Key))
		if r.difference(mirror.SnapshotWithHead(s.Head)) == "" {
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

// TestScreensMatchState replays a recorded burst, stored as a profile and a seed, in the simulator with faults
// of the polled controller and of the state service. Every screen must show the scheduler's state at the stated
// revision and must warn if it is older than 2 s. A job that was shown as final must never be shown as open
// again.
func TestScreensMatchState(t *testing.T) {
	raw, err := os.ReadFile("testdata/burst.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name        string
		loadFactor  float64 // part of the recorded burst that is replayed
		fault       func(sim *simulator.Simulation)
		wantWarning bool // the screen must warn that it is out of date
	}{
		{name: "polled controller ends", loadFactor: 1, fault: func(sim *simulator.Simulation) {
			time.Sleep(30 * time.Second)
			sim.Kill(0)
			time.Sleep(6 * time.Second)
			sim.Start(0)
		}},
		{name: "state service outage", loadFactor: 0.1, wantWarning: true, fault: func(sim *simulator.Simulation) {
			time.Sleep(20 * time.Second)
			sim.Store.SetDown(true)
			time.Sleep(12 * time.Second)
			sim.Store.SetDown(false)
		}},
		{name: "state service refuses polled controller, then compacts", loadFactor: 0.1, fault: func(sim *simulator.Simulation) {
			time.Sleep(20 * time.Second)
			sim.Store.RefuseController("n0", true)
			time.Sleep(9 * time.Second)
			sim.Store.Compact()
			sim.Store.RefuseController("n0", false)
		}},
		{name: "all shards change owners", loadFactor: 0.1, fault: func(sim *simulator.Simulation) {
			for i := range 3 {
				time.Sleep(10 * time.Second)
				sim.Controller(i).SetPartitions(simulator.NoWorkers | simulator.NoUsers)
				time.Sleep(8 * time.Second)
				sim.Controller(i).SetPartitions(0)
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
					profile.Streams[i].PerMinute *= test.loadFactor
				}
				plan, err := profile.Plan(18)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				simulation := simulator.NewSimulation(ctx, burstSettings(), 18)
				simulation.Capacity, simulation.Views, simulation.Store.MaxKeptChanges = 90, true, 1<<30
				for i := range 3 {
					simulation.Start(i)
				}
				simulation.ExchangePeerHeartbeats()
				for i := range 45 {
					simulation.AddMachine(simulation.Settings.Deployment.Zones[i%3], i%2 == 0)
				}
				ref := &reference{simulation.Store, storage.NewCache(simulation.Settings)}
				follower := viewclient.NewFollower(simulationSource{simulation: simulation, controllerCount: 3}, view.Operators, 300*time.Millisecond)
				followerErr := make(chan error, 1)
				go func() { followerErr <- follower.Run(ctx) }()
				model := New(ctx, follower, "burst")
				time.Sleep(3 * time.Second)
				go test.fault(simulation)
				users := &loadgen.Runner{Deployment: simulator.RetryingUsers{Simulation: simulation}, Upload: func(_ string, raw []byte) error {
					var u simulator.Upload
					if err := json.Unmarshal(raw, &u); err != nil {
						return err
					}
					return simulation.AddJob(u)
				}}
				results := make(chan loadgen.Result, 1)
				go func() { results <- users.Run(ctx, plan, 2*time.Minute) }()
				finalStatus := map[string]view.Status{}
				screensChecked, staleScreens, maxRows, lastRevision, changesDetected := 0, 0, 0, uint64(0), false
				startedAt := time.Now()
				checkScreens := func() string {
					model.state = follower.State()
					snapshot := model.state.Snapshot
					if snapshot == nil {
						return ""
					}
					if snapshot.Revision < lastRevision {
						return fmt.Sprintf("shown revision %d after %d", snapshot.Revision, lastRevision)
					}
					if snapshot.Revision > lastRevision {
						lastRevision = snapshot.Revision
						ref.advance(t, snapshot.Revision)
						if d := ref.difference(snapshot); d != "" {
							return fmt.Sprintf("revision %d: %s", snapshot.Revision, d)
						}
						reverted := ""
						snapshot.Jobs("", func(j *view.Job) bool {
							if was, ok := finalStatus[j.ID]; ok && was != j.Status {
								reverted = fmt.Sprintf("%s was shown as %s and is now shown as %s", j.ID, was, j.Status)
							}
							if j.Status.Final() {
								finalStatus[j.ID] = j.Status
							}
							return reverted == ""
						})
						if reverted != "" {
							return reverted
						}
					}
					for tab := range model.tables {
						model.width, model.height = 80, 24
						if screensChecked%2 == 0 {
							model.width, model.height = 160, 50
						}
						model.selectTable(tab)
						model.refreshRows()
						if d := ref.screenDifference(model); d != "" {
							return fmt.Sprintf("revision %d, table %s: %s\n%s", snapshot.Revision, model.tables[tab].Name, d, ansi.Strip(model.View()))
						}
						screensChecked++
						if !changesDetected && tab < 2 && len(model.visibleRows()) > 2 {
							if changesDetected = true; !ref.detectsChanges(model) {
								return "the comparison does not detect a changed screen or snapshot"
							}
						}
						maxRows = max(maxRows, len(model.rows))
					}
					if age := model.state.Age(time.Now()); age > viewclient.MaxFreshAge {
						if staleScreens++; !strings.Contains(ansi.Strip(model.View()), "THIS IS") {
							return fmt.Sprintf("the state is %v old and the screen has no warning", age)
						}
					}
					return ""
				}
				for time.Since(startedAt) < 100*time.Second && !t.Failed() {
					time.Sleep(250 * time.Millisecond)
					if mismatch := checkScreens(); mismatch != "" {
						t.Error(mismatch)
						cancel()
					}
				}
				result := <-results
				t.Logf("%d screens checked, up to %d rows, %d stale states; %d jobs, %d accepted, %d done, accepted within %+v ms, done within %+v ms", screensChecked, maxRows, staleScreens, result.Jobs, result.Accepted, result.Done, result.AcceptTimes, result.CompletionTimes)
				if result.Accepted != result.Jobs || result.Open > 0 || result.Regressed > 0 || len(finalStatus) < result.Jobs*9/10 {
					t.Errorf("%+v, %d jobs shown as final", result, len(finalStatus))
				}
				if !changesDetected {
					t.Error("no screen had enough rows to check that changes are detected")
				}
				if (staleScreens > 0) != test.wantWarning && test.wantWarning {
					t.Error("the screen did not warn of the outage")
				}
				for _, rule := range simulation.BrokenRules() {
					t.Error(rule)
				}
				cancel()
				if err := <-followerErr; err != nil {
					t.Error(err)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
