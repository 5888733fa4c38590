package controller

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/storage"
)

// newTeamCore returns a core in which teams may be changed: the packed layout is in use, and every
// member can read changed teams.
func newTeamCore(t *testing.T) *Controller {
	t.Helper()
	c := newCore(t)
	c.cache.Layout.Version = storage.LayoutPacked
	c.cache.Members["n0"] = &storage.Member{MemberRecord: storage.MemberRecord{Incarnation: 1, Layout: storage.LayoutTeams}, Version: 2}
	return c
}

// TestTeamChange checks which changes of a team are refused, and what an accepted change writes.
// The core's accepted job needs 4 CPUs for each task.
func TestTeamChange(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(controller *Controller)
		team    string
		version uint64
		change  string
		refused string // part of the expected error, "" if the change is accepted
		want    string // expected record of the team
	}{
		{name: "first limit of a team", team: "red", change: `{"cpus_max":8}`, want: `{"cpus":0,"cpus_max":8,"gpus":0,"gpus_max":0,"was":{"cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}}`},
		{name: "a guarantee takes effect immediately", team: "red", change: `{"cpus":8}`, want: `{"cpus":8,"cpus_max":0,"gpus":0,"gpus_max":0}`},
		{name: "no such team", team: "pink", change: `{"cpus":8}`, refused: "no such team"},
		{name: "outdated version", team: "red", version: 3, change: `{"cpus":8}`, refused: "changed since"},
		{name: "unknown name", team: "red", change: `{"cpu":8}`, refused: "field cpu"},
		{name: "amount is a string", team: "red", change: `{"cpus":"8"}`, refused: "field cpus"},
		{name: "null", team: "red", change: `{"cpus":null}`, refused: "field cpus"},
		{name: "empty change", team: "red", change: `{}`, refused: "field team"},
		{name: "negative amount", team: "red", change: `{"gpus_max":-1}`, refused: "field gpus_max"},
		{name: "a guarantee above the limit", team: "red", change: `{"cpus":9,"cpus_max":8}`, refused: "field cpus"},
		{name: "an accepted job could never run", team: "red", change: `{"cpus_max":3}`, refused: "job-000001"},
		{name: "a member cannot read changed teams", prepare: func(c *Controller) { c.cache.Members["n0"].Layout = storage.LayoutPacked }, team: "red", change: `{"cpus":8}`, refused: "missing: n0"},
		{name: "a known controller has no member record", prepare: func(c *Controller) { c.cfg.KnownPeers = []config.Peer{{MemberName: "n1"}} }, team: "red", change: `{"cpus":8}`, refused: "missing: n1"},
		{name: "the packed layout is not in use yet", prepare: func(c *Controller) { c.cache.Layout.Version = storage.LayoutPlain }, team: "red", change: `{"cpus":8}`, refused: "missing: n0"},
		{name: "limit raised while it is being lowered", prepare: func(c *Controller) {
			was := storage.TeamBounds{CpusMax: 40}
			applyTeamRecord(t, c, storage.TeamRecord{TeamBounds: storage.TeamBounds{CpusMax: 8}, PreviousBounds: &was}, 9)
		}, team: "red", version: 9, change: `{"cpus_max":20}`, want: `{"cpus":0,"cpus_max":20,"gpus":0,"gpus_max":0,"was":{"cpus":0,"cpus_max":40,"gpus":0,"gpus_max":0}}`},
		{name: "one limit lowered, the other raised", prepare: func(c *Controller) {
			applyTeamRecord(t, c, storage.TeamRecord{TeamBounds: storage.TeamBounds{CpusMax: 40, GpusMax: 4}}, 9)
		}, team: "red", version: 9, change: `{"cpus_max":20,"gpus_max":8}`, want: `{"cpus":0,"cpus_max":20,"gpus":0,"gpus_max":8,"was":{"cpus":0,"cpus_max":40,"gpus":0,"gpus_max":8}}`},
		{name: "limit raised above the former one while being lowered", prepare: func(c *Controller) {
			was := storage.TeamBounds{CpusMax: 40}
			applyTeamRecord(t, c, storage.TeamRecord{TeamBounds: storage.TeamBounds{CpusMax: 8}, PreviousBounds: &was}, 9)
		}, team: "red", version: 9, change: `{"cpus_max":50}`, want: `{"cpus":0,"cpus_max":50,"gpus":0,"gpus_max":0}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			core := newTeamCore(t)
			if test.prepare != nil {
				test.prepare(core)
			}
			txn, err := core.teamTxn(test.team, test.version, json.RawMessage(test.change))
			if test.refused != "" {
				if err == nil || !strings.Contains(err.Error(), test.refused) || len(txn.Then) > 0 {
					t.Fatalf("error %v, want one that contains %q", err, test.refused)
				}
				return
			}
			if err != nil || len(txn.Then) < 1 || string(txn.Then[0].Value) != test.want || txn.If[0].Version != test.version || txn.If[0].Key != storage.TeamKey(test.team) {
				t.Fatalf("transaction %+v, error %v: want one that writes the team's record", txn, err)
			}
			if gate := len(txn.Then) == 3 && txn.Then[1].Put == storage.LayoutKey && txn.Then[2].Put == storage.TeamsBarrierKey; !gate || len(txn.If) != 2 {
				t.Errorf("the first change of a team does not also write the layout and the teams barrier: %+v", txn)
			}
		})
	}
}

func applyTeamRecord(t *testing.T, c *Controller, r storage.TeamRecord, version uint64) {
	t.Helper()
	if err := c.cache.Apply(storage.TeamKey("red"), storage.Encode(r), version, false); err != nil {
		t.Fatal(err)
	}
}

// TestLoweredLimit checks that a lowered limit counts only once the records are within it. Until
// then one victim set at a time names the tasks to evict, in the order of the preemption ranking.
func TestLoweredLimit(t *testing.T) {
	none := storage.TeamBounds{}
	for _, test := range []struct {
		name    string
		limit   float64
		stopped bool // the records hold no tasks of the team
		victims int
		counts  bool
	}{
		{"the records are within the limit", 8, false, 0, true},
		{"one of two tasks has to be evicted", 4, false, 1, false},
		{"all tasks have ended", 4, true, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newTeamCore(t)
			now := time.Now()
			job, machine := controller.cache.Job("job-000001"), controller.cache.Machine("m")
			if !test.stopped {
				for task := range 2 {
					machine.Tasks = append(machine.Tasks, storage.PlacedTask{Job: job, Task: task, Attempt: 4, PlacedAt: now.Unix() - 10*int64(task)})
					job.MachineOf[task], job.AttemptOf[task], job.PlacedCount = machine.Index, 4, job.PlacedCount+1
				}
				controller.cache.TeamUsage[0].Add(job, 2)
			}
			applyTeamRecord(t, controller, storage.TeamRecord{TeamBounds: storage.TeamBounds{CpusMax: test.limit}, PreviousBounds: &none}, 9)
			planned := &plannedTxn{txnBuilder: newTxnBuilder(), maxOps: 12}
			controller.planLimits(now, planned)
			put, counts := planned.puts[storage.TeamKey("red")]
			if counts != test.counts || counts && strings.Contains(string(put.Value), "was") || counts && planned.conditions[storage.TeamKey("red")] != 9 {
				t.Errorf("limit recorded as in force: %v, want %v: %s", counts, test.counts, put.Value)
			}
			set, evicts := planned.puts[storage.VictimSetKey(limitSetName(0))]
			if evicts != (test.victims > 0) {
				t.Fatalf("evicts: %v, want %d victims", evicts, test.victims)
			}
			if evicts {
				victimSet, err := storage.DecodeVictimSet(set.Value)
				if err != nil || len(victimSet.Victims) != test.victims || victimSet.Victims[0].Task != 0 {
					t.Errorf("victim set %+v, error %v: want the task that has run for the shortest time", victimSet, err)
				}
			}
			view := controller.teamView(0, now)
			if want := 8 - test.limit; !test.stopped && (view.State != TeamLowering || view.ExcessCpus != want) {
				t.Errorf("team view %+v, want a limit being lowered with %v CPUs to go", view, want)
			}
		})
	}
}

// TestTeamRecordsAreRead checks that team records change the limits that placement uses, that
// outdated records and those of unknown teams change nothing, and that the teams barrier does not
// keep out controllers of this version.
func TestTeamRecordsAreRead(t *testing.T) {
	controller := newTeamCore(t)
	file := controller.cfg.Deployment.Teams[0]
	limit := func(v float64) storage.TeamRecord {
		return storage.TeamRecord{TeamBounds: storage.TeamBounds{CpusMax: v}}
	}
	for _, test := range []struct {
		key     string
		rec     any
		version uint64
		deleted bool
		want    float64
	}{
		{storage.TeamKey("red"), limit(8), 9, false, 8},
		{storage.TeamKey("red"), limit(6), 7, false, 8},
		{storage.TeamKey("green"), limit(5), 10, false, 8},
		{storage.TeamsBarrierKey, limit(5), 11, false, 8},
		{storage.TeamKey("red"), nil, 12, true, 0},
	} {
		if err := controller.cache.Apply(test.key, storage.Encode(test.rec), test.version, test.deleted); err != nil && !errors.Is(err, storage.ErrForeignLayout) {
			t.Fatal(err)
		} else if err != nil {
			t.Errorf("reading %s gives a layout error, which keeps this version out", test.key)
		}
		if got := controller.cache.Teams[0].CpusMax; got != test.want {
			t.Errorf("%s at %d: limit %v, want %v", test.key, test.version, got, test.want)
		}
	}
	if controller.cfg.Deployment.Teams[0] != file {
		t.Error("reading team records has changed the settings")
	}
}

// TestLoweredLimitInFullTransaction guards against lowered limits that wait for a minute
// at peak load, when completions and placements fill every transaction.
func TestLoweredLimitInFullTransaction(t *testing.T) {
	c := newTeamCore(t)
	none := storage.TeamBounds{}
	applyTeamRecord(t, c, storage.TeamRecord{TeamBounds: storage.TeamBounds{CpusMax: 8}, PreviousBounds: &none}, 9)
	builder, _ := c.plan(time.Now(), 1)
	if _, ok := builder.puts[storage.TeamKey("red")]; !ok {
		t.Errorf("a transaction of one change holds %v, want the team's record", builder.order)
	}
}
