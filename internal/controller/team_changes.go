package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file shows teams' guarantees and limits to operators and changes them. Any controller makes a change
// by one conditional write of the team's own record; team_limits.go carries it out.

// TeamView is the state of a team's guarantee and limit as shown to operators.
type TeamView struct {
	Name string `json:"name"`
	storage.TeamBounds
	Version        uint64   `json:"version"` // 0: unchanged from the settings file
	State          string   `json:"state"`
	ExcessCpus     float64  `json:"cpus_to_go,omitempty"` // usage above a limit that is being lowered
	ExcessGpus     float64  `json:"gpus_to_go,omitempty"`
	LaggingMembers []string `json:"behind,omitempty"` // controllers that have not shown that they have read the change
}

// The states of a team's entry.
const (
	TeamFromFile    = "settings file"
	TeamInForce     = "in force"
	TeamLowering    = "being lowered"
	TeamPropagating = "not yet in force" // some controller has not shown that it has read the change
)

// LayoutGateError is returned when a change would not be applied by all controllers; Members are those that would
// not.
type LayoutGateError struct{ Members []string }

// Error returns a text with the names of the controllers that do not read changed teams yet.
func (e *LayoutGateError) Error() string {
	return "not before all nodes read changed teams; missing: " + strings.Join(e.Members, ", ")
}

// ErrUnknownTeam is returned for a team that the settings do not name.
var ErrUnknownTeam = errors.New("no such team")

// Teams returns the teams in the order of the settings file.
func (c *Controller) Teams(ctx context.Context) ([]TeamView, error) {
	if err := c.Barrier(ctx); err != nil {
		return nil, ErrStoreUnavailable
	}
	var views []TeamView
	err := c.call(ctx, func() {
		for team := range c.cache.Teams {
			views = append(views, c.teamView(team, time.Now()))
		}
	})
	return views, err
}

// Team returns one team; ErrUnknownTeam if the settings name no team of that name.
func (c *Controller) Team(ctx context.Context, name string) (TeamView, error) {
	var view TeamView
	if err := c.Barrier(ctx); err != nil {
		return view, ErrStoreUnavailable
	}
	known := false
	err := c.call(ctx, func() {
		if team := c.cache.TeamIndex.Find(name); team >= 0 {
			view, known = c.teamView(team, time.Now()), true
		}
	})
	if err == nil && !known {
		err = ErrUnknownTeam
	}
	return view, err
}

func (c *Controller) teamView(team int, now time.Time) TeamView {
	bounds := c.cache.Teams[team]
	view := TeamView{Name: bounds.Name, TeamBounds: storage.BoundsOf(bounds), State: TeamFromFile}
	entry, changed := c.cache.TeamEntries[team]
	if !changed {
		return view
	}
	view.Version, view.State, view.LaggingMembers = entry.Version, TeamInForce, c.laggingMembers(entry.Version, now)
	if len(view.LaggingMembers) > 0 {
		view.State = TeamPropagating
	}
	if entry.PreviousBounds != nil {
		view.State = TeamLowering
		view.ExcessCpus, view.ExcessGpus = excessOf(entry.TeamBounds, c.cache.TeamUsage[team])
	}
	return view
}

// laggingMembers returns the live controllers that have not shown that they have read a revision.
func (c *Controller) laggingMembers(revision uint64, now time.Time) []string {
	var names []string
	for name := range c.cache.Members {
		peer, known := c.reachability.peers[name]
		if name == c.cfg.MemberName || known && now.Sub(peer.receivedAt) < peerFreshPeriod && peer.heartbeat.Revision >= revision {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ChangeTeam changes a team's guarantee or limit if version is still the version of its entry.
func (c *Controller) ChangeTeam(ctx context.Context, name string, version uint64, change json.RawMessage) (TeamView, error) {
	var view TeamView
	if err := c.Barrier(ctx); err != nil {
		return view, ErrStoreUnavailable
	}
	var txn protocol.Txn
	var refused error
	if err := c.call(ctx, func() { txn, refused = c.teamTxn(name, version, change) }); err != nil {
		return view, err
	}
	if refused != nil {
		return view, refused
	}
	revision, failed, err := c.store.Txn(ctx, txn, protocol.UserRequest)
	switch {
	case err != nil:
		return view, ErrStoreUnavailable // the version of the entry shows whether the change was committed
	case len(failed) > 0:
		return view, ErrVersionConflict
	}
	err = c.call(ctx, func() {
		c.applyTxn(txn, revision)
		c.onRecordsChanged()
		c.requestCycle()
		view = c.teamView(c.cache.TeamIndex.Find(name), time.Now())
	})
	c.log.Info("team changed by an operator", "team", name, "version", revision, "change", string(change))
	return view, err
}

// teamTxn returns the transaction that changes a team.
func (c *Controller) teamTxn(name string, version uint64, change json.RawMessage) (protocol.Txn, error) {
	var txn protocol.Txn
	team := c.cache.TeamIndex.Find(name)
	if team < 0 {
		return txn, ErrUnknownTeam
	}
	entry := c.cache.TeamEntries[team]
	if version != entry.Version {
		return txn, ErrVersionConflict
	}
	if missing := c.membersNotReadingTeams(); len(missing) > 0 {
		return txn, &LayoutGateError{missing}
	}
	current := storage.BoundsOf(c.cache.Teams[team])
	next, err := changeBounds(current, change)
	if err != nil {
		return txn, err
	}
	if lowersLimit(next, current) {
		if err := c.checkAcceptedJobsFit(team, next); err != nil {
			return txn, err
		}
	}
	if entry.PreviousBounds != nil {
		current = *entry.PreviousBounds // the former limit counts until the lowering is complete
	}
	key := storage.TeamKey(name)
	txn.If = []protocol.Condition{{Key: key, Version: entry.Version}}
	txn.Then = []protocol.Change{{Put: key, Value: storage.Encode(teamRecord(next, current))}}
	if !c.cache.TeamChangesEnabled() {
		c.requireTeamsLayout(&txn)
	}
	return txn, nil
}

// teamRecord returns the record of a team that changes its bounds to next while the bounds effective apply. If
// next lowers a limit, the record also holds the former limits: they stay the upper bound of the team's usage
// until the usage in the records is within the new limits (see team_limits.go).
func teamRecord(next, effective storage.TeamBounds) storage.TeamRecord {
	record := storage.TeamRecord{TeamBounds: next}
	if lowersLimit(next, effective) {
		former := higherLimits(next, effective)
		record.PreviousBounds = &former
	}
	return record
}

// requireTeamsLayout adds to a transaction the change to the record layout with changed teams. From then on
// no controller of a version that does not read changed teams becomes ready.
func (c *Controller) requireTeamsLayout(txn *protocol.Txn) {
	gate := storage.Encode(storage.LayoutRecord{Version: storage.LayoutTeams})
	txn.If = append(txn.If, protocol.Condition{Key: storage.LayoutKey, Version: c.cache.Layout.Revision})
	txn.Then = append(txn.Then, protocol.Change{Put: storage.LayoutKey, Value: gate}, protocol.Change{Put: storage.TeamsBarrierKey, Value: gate})
}

// membersNotReadingTeams returns the configured controllers that have not shown that they read changed teams.
// There are none once a team has been changed, because no older version becomes ready from then on.
func (c *Controller) membersNotReadingTeams() []string {
	if c.cache.TeamChangesEnabled() {
		return nil
	}
	var missing []string
	for _, name := range c.configuredMembers() {
		if member := c.cache.Members[name]; member == nil || member.Layout < storage.LayoutTeams || !c.cache.Packed() {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// checkAcceptedJobsFit returns an error if an accepted job could never run any more within the bounds.
func (c *Controller) checkAcceptedJobsFit(team int, teamBounds storage.TeamBounds) error {
	bounds := teamBounds.Team(c.cache.Teams[team].Name)
	for _, job := range c.cache.Jobs {
		if job == nil || job.Team != team || !job.Open() {
			continue
		}
		tasks := 1
		if job.Shape == protocol.Service {
			tasks = job.Tasks
		}
		if !schedule.WithinLimit(bounds, storage.Usage{}, job, tasks) {
			return &FieldError{"cpus_max", fmt.Sprintf("a limit under which the accepted job %s can run", job.ID)}
		}
	}
	return nil
}
