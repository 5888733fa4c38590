package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns changes of teams' guarantees and limits while the deployment serves. A change is one conditional write of the
// team's own record, by any controller. A limit that is raised counts at once: an owner that has not seen it places less. A limit
// that is lowered bounds what starts as soon as the owner of the team's shard reads it, and counts only from when that owner
// says so in the record, since what its records hold is under it; until then the former limit counts, and tasks beyond the new one are evicted by the ranking
// of all evictions. Only the owner places a team's tasks, and its commits depend on its ownership: so an owner that stands
// still over a change and wakes later may still place by the former limit, while that one counts, and never after.

// TeamView is a team's guarantee and limit as operators see them.
type TeamView struct {
	Name string `json:"name"`
	storage.TeamBounds
	Version  uint64   `json:"version"` // 0: as the settings file has it
	State    string   `json:"state"`
	CpusToGo float64  `json:"cpus_to_go,omitempty"` // that the team still uses beyond a limit that is being lowered
	GpusToGo float64  `json:"gpus_to_go,omitempty"`
	Behind   []string `json:"behind,omitempty"` // controllers that have not shown that they go by it
}

// The states of a team's entry.
const (
	TeamFromFile = "settings file"
	TeamInForce  = "in force"
	TeamLowering = "being lowered"
	TeamSpreads  = "not yet in force" // some controller has not shown that it goes by it
)

// GateError says that a change would not be gone by everywhere, and why.
type GateError struct{ Members []string }

func (e *GateError) Error() string {
	return "not before all nodes read changed teams; missing: " + strings.Join(e.Members, ", ")
}

// ErrNoTeam says that the settings name no such team.
var ErrNoTeam = errors.New("no such team")

// Teams lists the teams in the settings file's order.
func (c *Controller) Teams(ctx context.Context) ([]TeamView, error) {
	var out []TeamView
	if err := c.Barrier(ctx); err != nil {
		return nil, ErrUnavailable
	}
	err := c.call(ctx, func() {
		for team := range c.cache.Teams {
			out = append(out, c.teamView(team, time.Now()))
		}
	})
	return out, err
}

// Team tells one team; ErrNoTeam if the settings name none of that name.
func (c *Controller) Team(ctx context.Context, name string) (TeamView, error) {
	var teamView TeamView
	if err := c.Barrier(ctx); err != nil {
		return teamView, ErrUnavailable
	}
	known := false
	err := c.call(ctx, func() {
		if team := c.cache.TeamIndex.Find(name); team >= 0 {
			teamView, known = c.teamView(team, time.Now()), true
		}
	})
	if err == nil && !known {
		err = ErrNoTeam
	}
	return teamView, err
}

func (c *Controller) teamView(team int, now time.Time) TeamView {
	configTeam := c.cache.Teams[team]
	controllerTeamView := TeamView{Name: configTeam.Name, TeamBounds: storage.BoundsOf(configTeam), State: TeamFromFile}
	entry, changed := c.cache.TeamEntries[team]
	if !changed {
		return controllerTeamView
	}
	controllerTeamView.Version, controllerTeamView.State, controllerTeamView.Behind = entry.Version, TeamInForce, c.behind(entry.Version, now)
	if len(controllerTeamView.Behind) > 0 {
		controllerTeamView.State = TeamSpreads
	}
	if entry.Former != nil {
		controllerTeamView.State = TeamLowering
		controllerTeamView.CpusToGo, controllerTeamView.GpusToGo = excessOf(entry.TeamBounds, c.cache.Used[team])
	}
	return controllerTeamView
}

// behind are the living controllers that have not shown that they have read a revision.
func (c *Controller) behind(revision uint64, now time.Time) []string {
	var out []string
	for name := range c.cache.Members {
		p, heard := c.reachability.peers[name]
		if name == c.cfg.MemberName || heard && now.Sub(p.heardAt) < peerFresh && p.heartbeat.Revision >= revision {
			continue
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// excessOf is what a team uses beyond a limit.
func excessOf(b storage.TeamBounds, u storage.Usage) (cpus, gpus float64) {
	if b.CpusMax > 0 {
		cpus = max(0, u.Cpus-b.CpusMax)
	}
	if b.GpusMax > 0 {
		gpus = max(0, u.Gpus-b.GpusMax)
	}
	return cpus, gpus
}

// limitSlack is by how much usage may be above a limit, for rounding.
const limitSlack = 1e-6

func isUnder(b storage.TeamBounds, u storage.Usage) bool {
	cpus, gpus := excessOf(b, u)
	return cpus <= limitSlack && gpus <= limitSlack
}

// tighter tells whether some limit of a is lower than that of b.
func tighter(a, b storage.TeamBounds) bool {
	lower := func(x, y float64) bool { return x > 0 && (y <= 0 || x < y) }
	return lower(a.CpusMax, b.CpusMax) || lower(a.GpusMax, b.GpusMax)
}

// looser has the higher limit of both in each resource, with the guarantees of b: of a change that lowers one limit and raises another,
// the raised one counts at once.
func looser(a, b storage.TeamBounds) storage.TeamBounds {
	higher := func(x, y float64) float64 {
		if x <= 0 || y <= 0 {
			return 0 // none
		}
		return max(x, y)
	}
	b.CpusMax, b.GpusMax = higher(a.CpusMax, b.CpusMax), higher(a.GpusMax, b.GpusMax)
	return b
}

// changeBounds applies a change, given as a JSON object of names and values; the whole of it is checked.
func changeBounds(bounds storage.TeamBounds, raw json.RawMessage) (storage.TeamBounds, error) {
	var names map[string]json.RawMessage
	if err := json.Unmarshal(raw, &names); err != nil || len(names) == 0 {
		return bounds, &FieldError{"team", "an object of at least one name and value"}
	}
	for name := range names {
		if !slices.Contains([]string{"cpus", "cpus_max", "gpus", "gpus_max"}, name) {
			return bounds, &FieldError{name, "cpus, cpus_max, gpus or gpus_max"}
		}
		if bytes.Equal(bytes.TrimSpace(names[name]), []byte("null")) {
			return bounds, &FieldError{name, amountExpected}
		}
	}
	if err := json.Unmarshal(raw, &bounds); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return bounds, &FieldError{wrong.Field, amountExpected}
		}
		return bounds, &FieldError{"team", "an object of names and amounts"}
	}
	return bounds, checkBounds(bounds)
}

const amountExpected = "a number of 0 or more; a limit of 0 is none"

func checkBounds(bounds storage.TeamBounds) error {
	for _, x := range []struct {
		name  string
		value float64
	}{{"cpus", bounds.Cpus}, {"cpus_max", bounds.CpusMax}, {"gpus", bounds.Gpus}, {"gpus_max", bounds.GpusMax}} {
		if !(x.value >= 0) || math.IsInf(x.value, 0) {
			return &FieldError{x.name, amountExpected}
		}
	}
	if bounds.CpusMax > 0 && bounds.Cpus > bounds.CpusMax {
		return &FieldError{"cpus", "a guarantee that is not above the limit"}
	}
	if bounds.GpusMax > 0 && bounds.Gpus > bounds.GpusMax {
		return &FieldError{"gpus", "a guarantee that is not above the limit"}
	}
	return nil
}

// ChangeTeam changes a team's guarantee or limit if version is still that of its entry.
func (c *Controller) ChangeTeam(ctx context.Context, name string, version uint64, change json.RawMessage) (TeamView, error) {
	var view TeamView
	if err := c.Barrier(ctx); err != nil {
		return view, ErrUnavailable
	}
	var txn protocol.Txn
	var refused error
	if err := c.call(ctx, func() { txn, refused = c.teamTxn(name, version, change) }); err != nil {
		return view, err
	}
	if refused != nil {
		return view, refused
	}
	rev, failed, err := c.store.Txn(ctx, txn, protocol.UserRequest)
	switch {
	case err != nil:
		return view, ErrUnavailable // whether it was done shows in the entry's version
	case len(failed) > 0:
		return view, ErrVersion
	}
	err = c.call(ctx, func() {
		c.applyTxn(txn, rev)
		c.changed()
		c.requestCycle()
		view = c.teamView(c.cache.TeamIndex.Find(name), time.Now())
	})
	c.log.Info("team changed by an operator", "team", name, "version", rev, "change", string(change))
	return view, err
}

// teamTxn is the transaction that changes a team.
func (c *Controller) teamTxn(name string, version uint64, change json.RawMessage) (protocol.Txn, error) {
	var txn protocol.Txn
	team := c.cache.TeamIndex.Find(name)
	if team < 0 {
		return txn, ErrNoTeam
	}
	entry := c.cache.TeamEntries[team]
	if version != entry.Version {
		return txn, ErrVersion
	}
	if missing := c.notReadingTeams(); len(missing) > 0 {
		return txn, &GateError{missing}
	}
	now := storage.BoundsOf(c.cache.Teams[team])
	next, err := changeBounds(now, change)
	if err != nil {
		return txn, err
	}
	if tighter(next, now) {
		if err := c.checkAccepted(team, next); err != nil {
			return txn, err
		}
	}
	rec := storage.TeamRecord{TeamBounds: next}
	counts := now // the limit that counts now
	if entry.Former != nil {
		counts = *entry.Former
	}
	if tighter(next, counts) {
		was := looser(next, counts)
		rec.Former = &was
	}
	txn.If = []protocol.Condition{{Key: storage.TeamKey(name), Version: entry.Version}}
	txn.Then = []protocol.Change{{Put: storage.TeamKey(name), Value: storage.Encode(rec)}}
	if !c.cache.TeamChangesEnabled() {
		gate := storage.Encode(storage.LayoutRecord{Version: storage.LayoutTeams})
		txn.If = append(txn.If, protocol.Condition{Key: storage.LayoutKey, Version: c.cache.Layout.Revision})
		txn.Then = append(txn.Then, protocol.Change{Put: storage.LayoutKey, Value: gate}, protocol.Change{Put: storage.TeamsBarrierKey, Value: gate})
	}
	return txn, nil
}

// notReadingTeams are the controllers that the settings name and that have not shown that they read changed teams. Once a team has
// been changed no older version becomes ready, so nobody is missing.
func (c *Controller) notReadingTeams() []string {
	if c.cache.TeamChangesEnabled() {
		return nil
	}
	var missing []string
	names := []string{c.cfg.MemberName}
	for _, p := range c.cfg.Known {
		names = append(names, p.MemberName)
	}
	for _, name := range names {
		if n := c.cache.Members[name]; n == nil || n.Layout < storage.LayoutTeams || !c.cache.Packed() {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// checkAccepted refuses a limit under which an accepted job could never run any more.
func (c *Controller) checkAccepted(team int, teamBounds storage.TeamBounds) error {
	bounds := teamBounds.Team(c.cache.Teams[team].Name)
	for _, j := range c.cache.Jobs {
		if j == nil || j.Team != team || !j.Open() {
			continue
		}
		n := 1
		if j.Shape == protocol.Service {
			n = j.Tasks
		}
		if !schedule.WithinLimit(bounds, storage.Usage{}, j, n) {
			return &FieldError{"cpus_max", fmt.Sprintf("a limit under which the accepted job %s can run", j.ID)}
		}
	}
	return nil
}

// limitSetPrefix begins the names of evicted sets that bring a team under its limit.
const limitSetPrefix = "limit:"

func limitSetOf(team int) string { return fmt.Sprintf("%s%d", limitSetPrefix, team) }

// limitSetTeam tells whether an evicted set is for a team's limit.
func limitSetTeam(id string) (string, bool) { return strings.CutPrefix(id, limitSetPrefix) }

// planLimits works off limits that are being lowered, of teams whose shard this controller owns: those that the records prove to be
// kept count from now on (what this transaction places is within them), and tasks beyond the others are evicted. It comes before what ends and
// starts: at the peak those fill every transaction, and lowered limits waited for a minute.
func (c *Controller) planLimits(now time.Time, planned *plannedTxn) {
	for team, entry := range c.cache.TeamEntries {
		if entry.Former == nil || !c.ownsShard(c.cache.ShardOf(team)) || planned.usedOps >= max(1, planned.maxOps/limitsPart) {
			continue
		}
		if isUnder(entry.TeamBounds, c.cache.Used[team]) {
			key := storage.TeamKey(c.cache.Teams[team].Name)
			planned.put(key, entry.Version, protocol.Change{Put: key, Value: storage.Encode(storage.TeamRecord{TeamBounds: entry.TeamBounds})})
			planned.usedOps++
			continue
		}
		if c.cache.VictimSets[limitSetOf(team)] == nil {
			c.evictForLimit(now, planned, team, entry.TeamBounds)
		}
	}
}

// limitsPart is the part of a transaction, one in so many, that lowered limits may fill.
const limitsPart = 4

// evictForLimit names the tasks that have to go for a team to be under its limit, as one record before any stop.
func (c *Controller) evictForLimit(now time.Time, planned *plannedTxn, team int, bounds storage.TeamBounds) {
	candidates := c.limitCandidates(now, team)
	schedule.RankCandidates(c.planner.alpha, candidates)
	chosen := schedule.EvictExcess(c.stillUsed(team), bounds.Team(""), candidates)
	chosen = c.fitRecord(chosen)
	if len(chosen) == 0 {
		return
	}
	e := storage.VictimSetRecord{Shard: c.cache.ShardOf(team), AtMs: now.UnixMilli()}
	for _, x := range chosen {
		for _, v := range x.Victims {
			e.Victims = append(e.Victims, storage.VictimRecord{Machine: v.Slot.Machine.Name, Job: v.Job.ID, Task: v.Task, Attempt: v.Attempt,
				Score: float64(int(x.Score*10)) / 10})
		}
	}
	c.log.Info("evicting for a limit", "team", c.cache.Teams[team].Name, "victims", len(e.Victims))
	key := storage.VictimSetKey(limitSetOf(team))
	planned.put(key, 0, protocol.Change{Put: key, Value: storage.EncodeVictimSet(&e, c.cache.Packed())})
	planned.usedOps++
}

// stillUsed is what a team uses without what is known to have ended, which leaves the records by itself.
func (c *Controller) stillUsed(team int) storage.Usage {
	used := c.cache.Used[team]
	for _, m := range c.cache.Machines {
		v := c.workers.states[m.Index]
		if m.Gone || v == nil || len(v.Gone) == 0 {
			continue
		}
		for _, p := range m.Tasks {
			if p.Job.Team == team && v.hasEnded(dispatch.RefOf(p)) {
				used.Add(p.Job, -1)
			}
		}
	}
	return used
}

// limitCandidates are a team's tasks, wherever they run, that are not known to have ended and that no other set evicts.
func (c *Controller) limitCandidates(now time.Time, team int) []schedule.Candidate {
	var out []schedule.Candidate
	services := map[*storage.Job]int{}
	for _, machine := range c.cache.Machines {
		if machine.Gone {
			continue
		}
		slot := &schedule.Slot{Machine: machine}
		for _, placed := range machine.Tasks {
			job := placed.Job
			if job.Team != team || !job.Open() || c.cache.IsVictim(placed) {
				continue
			}
			worker := c.workerState(machine)
			if worker.hasEnded(dispatch.RefOf(placed)) {
				continue
			}
			ran := lossOf(worker, placed, now)
			victim := schedule.Victim{Slot: slot, Job: job, Task: placed.Task, Attempt: placed.Attempt}
			if i, ok := services[job]; ok {
				out[i].Victims = append(out[i].Victims, victim)
				out[i].Lost, out[i].Waited = out[i].Lost+ran, max(out[i].Waited, float64(placed.WaitedS))
				continue
			}
			if job.Shape == protocol.Service {
				services[job] = len(out)
			}
			out = append(out, schedule.Candidate{Victims: []schedule.Victim{victim}, Lost: ran, Waited: float64(placed.WaitedS), SubmittedAt: job.ReadyAt, TopPriority: job.Priority.Top()})
		}
	}
	return out
}
