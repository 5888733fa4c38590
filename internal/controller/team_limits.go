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
	var v TeamView
	if err := c.Barrier(ctx); err != nil {
		return v, ErrUnavailable
	}
	known := false
	err := c.call(ctx, func() {
		if team := c.cache.TeamIndex.Find(name); team >= 0 {
			v, known = c.teamView(team, time.Now()), true
		}
	})
	if err == nil && !known {
		err = ErrNoTeam
	}
	return v, err
}

func (c *Controller) teamView(team int, now time.Time) TeamView {
	t := c.cache.Teams[team]
	v := TeamView{Name: t.Name, TeamBounds: storage.BoundsOf(t), State: TeamFromFile}
	entry, changed := c.cache.TeamEntries[team]
	if !changed {
		return v
	}
	v.Version, v.State, v.Behind = entry.Version, TeamInForce, c.behind(entry.Version, now)
	if len(v.Behind) > 0 {
		v.State = TeamSpreads
	}
	if entry.Former != nil {
		v.State = TeamLowering
		v.CpusToGo, v.GpusToGo = excessOf(entry.TeamBounds, c.cache.Used[team])
	}
	return v
}

// behind are the living controllers that have not shown that they have read a revision.
func (c *Controller) behind(revision uint64, now time.Time) []string {
	var out []string
	for name := range c.cache.Members {
		p, heard := c.peers[name]
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
func changeBounds(b storage.TeamBounds, raw json.RawMessage) (storage.TeamBounds, error) {
	var names map[string]json.RawMessage
	if err := json.Unmarshal(raw, &names); err != nil || len(names) == 0 {
		return b, &FieldError{"team", "an object of at least one name and value"}
	}
	for name := range names {
		if !slices.Contains([]string{"cpus", "cpus_max", "gpus", "gpus_max"}, name) {
			return b, &FieldError{name, "cpus, cpus_max, gpus or gpus_max"}
		}
		if bytes.Equal(bytes.TrimSpace(names[name]), []byte("null")) {
			return b, &FieldError{name, amountExpected}
		}
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return b, &FieldError{wrong.Field, amountExpected}
		}
		return b, &FieldError{"team", "an object of names and amounts"}
	}
	return b, checkBounds(b)
}

const amountExpected = "a number of 0 or more; a limit of 0 is none"

func checkBounds(b storage.TeamBounds) error {
	for _, x := range []struct {
		name  string
		value float64
	}{{"cpus", b.Cpus}, {"cpus_max", b.CpusMax}, {"gpus", b.Gpus}, {"gpus_max", b.GpusMax}} {
		if !(x.value >= 0) || math.IsInf(x.value, 0) {
			return &FieldError{x.name, amountExpected}
		}
	}
	if b.CpusMax > 0 && b.Cpus > b.CpusMax {
		return &FieldError{"cpus", "a guarantee that is not above the limit"}
	}
	if b.GpusMax > 0 && b.Gpus > b.GpusMax {
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
	var t protocol.Txn
	var refused error
	if err := c.call(ctx, func() { t, refused = c.teamTxn(name, version, change) }); err != nil {
		return view, err
	}
	if refused != nil {
		return view, refused
	}
	rev, failed, err := c.store.Txn(ctx, t, protocol.UserRequest)
	switch {
	case err != nil:
		return view, ErrUnavailable // whether it was done shows in the entry's version
	case len(failed) > 0:
		return view, ErrVersion
	}
	err = c.call(ctx, func() {
		c.applyTxn(t, rev)
		c.changed()
		c.requestCycle()
		view = c.teamView(c.cache.TeamIndex.Find(name), time.Now())
	})
	c.log.Info("team changed by an operator", "team", name, "version", rev, "change", string(change))
	return view, err
}

// teamTxn is the transaction that changes a team.
func (c *Controller) teamTxn(name string, version uint64, change json.RawMessage) (protocol.Txn, error) {
	var t protocol.Txn
	team := c.cache.TeamIndex.Find(name)
	if team < 0 {
		return t, ErrNoTeam
	}
	entry := c.cache.TeamEntries[team]
	if version != entry.Version {
		return t, ErrVersion
	}
	if missing := c.notReadingTeams(); len(missing) > 0 {
		return t, &GateError{missing}
	}
	now := storage.BoundsOf(c.cache.Teams[team])
	next, err := changeBounds(now, change)
	if err != nil {
		return t, err
	}
	if tighter(next, now) {
		if err := c.checkAccepted(team, next); err != nil {
			return t, err
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
	t.If = []protocol.Condition{{Key: storage.TeamKey(name), Version: entry.Version}}
	t.Then = []protocol.Change{{Put: storage.TeamKey(name), Value: storage.Encode(rec)}}
	if !c.cache.TeamChangesEnabled() {
		gate := storage.Encode(storage.LayoutRecord{Version: storage.LayoutTeams})
		t.If = append(t.If, protocol.Condition{Key: storage.LayoutKey, Version: c.cache.Layout.Revision})
		t.Then = append(t.Then, protocol.Change{Put: storage.LayoutKey, Value: gate}, protocol.Change{Put: storage.TeamsBarrierKey, Value: gate})
	}
	return t, nil
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
func (c *Controller) checkAccepted(team int, b storage.TeamBounds) error {
	bounds := b.Team(c.cache.Teams[team].Name)
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
func (c *Controller) planLimits(now time.Time, d *plannedTxn) {
	for team, entry := range c.cache.TeamEntries {
		if entry.Former == nil || !c.ownsShard(c.cache.ShardOf(team)) || d.usedOps >= max(1, d.maxOps/limitsPart) {
			continue
		}
		if isUnder(entry.TeamBounds, c.cache.Used[team]) {
			key := storage.TeamKey(c.cache.Teams[team].Name)
			d.put(key, entry.Version, protocol.Change{Put: key, Value: storage.Encode(storage.TeamRecord{TeamBounds: entry.TeamBounds})})
			d.usedOps++
			continue
		}
		if c.cache.VictimSets[limitSetOf(team)] == nil {
			c.evictForLimit(now, d, team, entry.TeamBounds)
		}
	}
}

// limitsPart is the part of a transaction, one in so many, that lowered limits may fill.
const limitsPart = 4

// evictForLimit names the tasks that have to go for a team to be under its limit, as one record before any stop.
func (c *Controller) evictForLimit(now time.Time, d *plannedTxn, team int, b storage.TeamBounds) {
	candidates := c.limitCandidates(now, team)
	schedule.RankCandidates(c.alpha, candidates)
	chosen := schedule.EvictExcess(c.stillUsed(team), b.Team(""), candidates)
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
	d.put(key, 0, protocol.Change{Put: key, Value: storage.EncodeVictimSet(&e, c.cache.Packed())})
	d.usedOps++
}

// stillUsed is what a team uses without what is known to have ended, which leaves the records by itself.
func (c *Controller) stillUsed(team int) storage.Usage {
	used := c.cache.Used[team]
	for _, m := range c.cache.Machines {
		v := c.workerStates[m.Index]
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
	for _, m := range c.cache.Machines {
		if m.Gone {
			continue
		}
		slot := &schedule.Slot{Machine: m}
		for _, p := range m.Tasks {
			j := p.Job
			if j.Team != team || !j.Open() || c.cache.IsVictim(p) {
				continue
			}
			v := c.workerState(m)
			if v.hasEnded(dispatch.RefOf(p)) {
				continue
			}
			ran := lossOf(v, p, now)
			victim := schedule.Victim{Slot: slot, Job: j, Task: p.Task, Attempt: p.Attempt}
			if i, ok := services[j]; ok {
				out[i].Victims = append(out[i].Victims, victim)
				out[i].Lost, out[i].Waited = out[i].Lost+ran, max(out[i].Waited, float64(p.WaitedS))
				continue
			}
			if j.Shape == protocol.Service {
				services[j] = len(out)
			}
			out = append(out, schedule.Candidate{Victims: []schedule.Victim{victim}, Lost: ran, Waited: float64(p.WaitedS), SubmittedAt: j.ReadyAt, TopPriority: j.Priority.Top()})
		}
	}
	return out
}
