package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"dykeledge/internal/controller/schedule"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// operatorState is the operators' settings in force, and the preemptions shown to them.
type operatorState struct {
	settings          OperatorSettings
	version           uint64 // of the settings' record that was last looked at
	recentPreemptions []EvictionView
	preemptionsSeen   map[string]uint64 // by job: version of its victim set
}

// OperatorSettings are what operators may change while the service runs.
type OperatorSettings struct {
	Alpha      float64 `json:"alpha"`
	MoveEveryS float64 `json:"move_every_s"`
	LogLevel   string  `json:"log_level"`
}

// DefaultOperatorSettings hold until an operator changes them.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{Alpha: DefaultAlpha, MoveEveryS: DefaultTiming().RebalanceInterval.Seconds(), LogLevel: "as_started"}
}

// SettingInfo explains one setting.
type SettingInfo struct {
	Name    string `json:"name"`
	Default any    `json:"default"`
	Range   string `json:"range"`
	Reason  string `json:"reason"`
}

// SettingsInfo explains all settings.
func SettingsInfo() []SettingInfo {
	d := DefaultOperatorSettings()
	return []SettingInfo{
		{"alpha", d.Alpha, "0 to 1", "weight of work lost against time waited when evictions are ranked; 0 looks only at waiting, 1 only at loss"},
		{"move_every_s", d.MoveEveryS, "0.25 to 60", "how often the leader moves machines between shares"},
		{"log_level", d.LogLevel, "as_started, error, info or debug", "how much all nodes log; as_started follows LOG_LEVEL"},
	}
}

// FieldError names the setting that was refused.
type FieldError struct{ Field, Expected string }

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: expected %s", e.Field, e.Expected) }

// ErrVersion says that the settings have changed since they were read.
var ErrVersion = errors.New("the settings have changed since this version was read")

// ErrUnavailable says that the state service does not answer.
var ErrUnavailable = errors.New("the state service does not answer")

// Change applies a change, given as a JSON object of names and values, to
// settings; the whole of it is checked.
func (s OperatorSettings) Change(raw json.RawMessage) (OperatorSettings, error) {
	var names map[string]json.RawMessage
	if err := json.Unmarshal(raw, &names); err != nil || names == nil {
		return s, &FieldError{"settings", "an object of names and values"}
	}
	if len(names) == 0 {
		return s, &FieldError{"settings", "at least one name"}
	}
	keys := make([]string, 0, len(names))
	for name := range names {
		keys = append(keys, name)
	}
	sort.Strings(keys)
	for _, name := range keys {
		v := names[name]
		bad := func(err error, ok bool) error {
			if err == nil && ok && !bytes.Equal(bytes.TrimSpace(v), []byte("null")) {
				return nil
			}
			for _, i := range SettingsInfo() {
				if i.Name == name {
					return &FieldError{name, i.Range}
				}
			}
			return &FieldError{name, "a known setting"}
		}
		var err error
		switch name {
		case "alpha":
			err = json.Unmarshal(v, &s.Alpha)
			err = bad(err, s.Alpha >= 0 && s.Alpha <= 1)
		case "move_every_s":
			err = json.Unmarshal(v, &s.MoveEveryS)
			err = bad(err, s.MoveEveryS >= 0.25 && s.MoveEveryS <= 60)
		case "log_level":
			err = json.Unmarshal(v, &s.LogLevel)
			err = bad(err, slices.Contains([]string{"as_started", "error", "info", "debug"}, s.LogLevel))
		default:
			err = bad(nil, false)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// applySettings takes up what the state service holds.
func (c *Controller) applySettings() {
	if c.cache.Settings.Version == c.operator.version {
		return
	}
	operatorSettings := DefaultOperatorSettings()
	if c.cache.Settings.Value != nil {
		var err error
		if operatorSettings, err = operatorSettings.Change(c.cache.Settings.Value); err != nil {
			c.log.Error("settings in the state service are not taken up", "err", err)
			c.operator.version = c.cache.Settings.Version
			return
		}
	}
	c.operator.version = c.cache.Settings.Version
	c.operator.settings = operatorSettings
	c.planner.alpha = operatorSettings.Alpha
	c.timing.RebalanceInterval = seconds(operatorSettings.MoveEveryS)
	if c.OnLogLevel != nil {
		c.OnLogLevel(operatorSettings.LogLevel)
	}
	c.log.Info("settings taken up", "version", c.operator.version, "alpha", operatorSettings.Alpha, "move_every_s", operatorSettings.MoveEveryS, "log_level", operatorSettings.LogLevel)
}

// Settings returns the operators' settings with their version.
func (c *Controller) Settings(ctx context.Context) (OperatorSettings, uint64, error) {
	var s OperatorSettings
	var v uint64
	if err := c.Barrier(ctx); err != nil {
		return s, 0, ErrUnavailable
	}
	err := c.call(ctx, func() { s, v = c.operator.settings, c.cache.Settings.Version })
	return s, v, err
}

// ChangeSettings changes the operators' settings if version is still theirs.
func (c *Controller) ChangeSettings(ctx context.Context, version uint64, change json.RawMessage) (OperatorSettings, uint64, error) {
	cur, at, err := c.Settings(ctx)
	if err != nil {
		return cur, 0, err
	}
	next, err := cur.Change(change)
	if err != nil {
		return cur, at, err
	}
	if version != at {
		return cur, at, ErrVersion
	}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: storage.SettingsKey, Version: at}},
		Then: []protocol.Change{{Put: storage.SettingsKey, Value: storage.Encode(next)}},
	}
	rev, failed, err := c.store.Txn(ctx, txn, protocol.UserRequest)
	switch {
	case err != nil:
		return cur, at, ErrUnavailable
	case len(failed) > 0:
		return cur, at, ErrVersion
	}
	err = c.call(ctx, func() { c.applyTxn(txn, rev); c.changed() })
	c.log.Info("settings changed by an operator", "version", rev, "change", string(change))
	return next, rev, err
}

// MemberView is a controller as operators see it.
type MemberView struct {
	Name          string  `json:"name"`
	Alive         bool    `json:"alive"`
	Leader        bool    `json:"leader"`
	Incarnation   uint64  `json:"incarnation"`
	Shards        []int   `json:"shares"`
	HeartbeatAgeS float64 `json:"pulse_age_s"` // -1: not heard directly
	StateOK       bool    `json:"state_ok"`
}

// MemberViews lists the controllers.
func (c *Controller) MemberViews(ctx context.Context) ([]MemberView, error) {
	var out []MemberView
	err := c.call(ctx, func() {
		names := []string{c.cfg.MemberName}
		for _, k := range c.cfg.Known {
			names = append(names, k.MemberName)
		}
		slices.Sort(names)
		for _, n := range names {
			memberView := MemberView{Name: n, HeartbeatAgeS: -1, Shards: []int{}}
			if r := c.cache.Members[n]; r != nil {
				memberView.Alive, memberView.Incarnation = true, r.Incarnation
			}
			memberView.Leader = c.cache.Leader.Version > 0 && c.cache.Leader.Member == n
			for i, s := range c.cache.Shards {
				if s.Member == n {
					memberView.Shards = append(memberView.Shards, i)
				}
			}
			if p, ok := c.reachability.peers[n]; ok {
				memberView.HeartbeatAgeS, memberView.StateOK = time.Since(p.heardAt).Seconds(), p.heartbeat.StateOK
			}
			if n == c.cfg.MemberName {
				memberView.HeartbeatAgeS, memberView.StateOK = 0, c.PeerHeartbeat().StateOK
			}
			out = append(out, memberView)
		}
	})
	return out, err
}

// ShardView is a shard as operators see it.
type ShardView struct {
	Shard        int      `json:"share"`
	Owner        string   `json:"owner"`
	FencingToken uint64   `json:"token"`
	Teams        []string `json:"teams"`
	Machines     int      `json:"machines"`
	Cpus         float64  `json:"cpus"`
	UsedCpus     float64  `json:"used_cpus"`
	Gpus         float64  `json:"gpus"`
	UsedGpus     float64  `json:"used_gpus"`
	WaitingGpus  float64  `json:"waiting_gpus"`
	WaitingCpus  float64  `json:"waiting_cpus"`
}

// ShardViews lists the shards.
func (c *Controller) ShardViews(ctx context.Context) ([]ShardView, error) {
	var out []ShardView
	err := c.call(ctx, func() {
		out = make([]ShardView, c.cache.NumShards)
		for i := range out {
			out[i] = ShardView{Shard: i, Owner: c.cache.Shards[i].Member, FencingToken: c.cache.Shards[i].FencingToken, Teams: []string{}}
		}
		for t, team := range c.cache.Teams {
			s := &out[c.cache.ShardOf(t)]
			s.Teams = append(s.Teams, team.Name)
		}
		for _, m := range c.cache.Machines {
			if m.Gone {
				continue
			}
			s := &out[m.Shard]
			s.Machines++
			s.Cpus += c.cache.Types[m.Type].Cpus
			s.Gpus += c.cache.Types[m.Type].Gpus
			for _, p := range m.Tasks {
				s.UsedCpus += p.Job.Cpus
				s.UsedGpus += p.Job.Gpus
			}
		}
		for _, j := range c.cache.Jobs {
			if j != nil {
				out[j.Shard].WaitingCpus += float64(j.Waiting()) * j.Cpus
				out[j.Shard].WaitingGpus += float64(j.Waiting()) * j.Gpus
			}
		}
	})
	return out, err
}

// JobView is an unfinished job as operators see it.
type JobView struct {
	ID       string  `json:"id"`
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Shard    int     `json:"share"`
	Priority string  `json:"priority"`
	Status   string  `json:"status"`
	Tasks    int     `json:"tasks"`
	Done     int     `json:"done"`
	Placed   int     `json:"placed"`
	Waiting  int     `json:"waiting"`
	AgeS     float64 `json:"age_s"`
	Why      string  `json:"why,omitempty"` // why its tasks wait
}

// Page bounds what a list returns.
const Page = 200

// JobViews lists unfinished jobs in id order, beginning after a given one.
func (c *Controller) JobViews(ctx context.Context, team, after string, limit int) (out []JobView, more bool, err error) {
	out = []JobView{}
	err = c.call(ctx, func() {
		of := -1
		if team != "" {
			if of = c.cache.TeamIndex.Find(team); of < 0 {
				return
			}
		}
		kinds := c.kinds()
		c.cache.JobsAfter(of, after, func(j *storage.Job) bool {
			if !(j.Open() && !j.DependencyFailed || j.PlacedCount > 0) {
				return true
			}
			if more = len(out) == limit; more {
				return false
			}
			out = append(out, JobView{ID: j.ID, Class: c.cache.Classes.Name(j.Class), Team: c.cache.Teams[j.Team].Name,
				Shard: j.Shard, Priority: j.Priority.String(), Status: string(c.statusOf(j).Status), Tasks: j.Tasks,
				Done: j.DoneCount, Placed: j.PlacedCount, Waiting: j.Waiting(), AgeS: time.Since(j.ReadyAt).Seconds(), Why: c.whyWaits(j, kinds)})
			return true
		})
	})
	return out, more, err
}

// kinds are the machines of each shard that are alike to a job, one of each.
func (c *Controller) kinds() []*storage.Machine {
	type kind struct {
		share, ty, zone int
		spot            bool
	}
	seen := map[kind]bool{}
	var out []*storage.Machine
	for _, m := range c.cache.Machines {
		if k := (kind{m.Shard, m.Type, m.Zone, m.Spot}); !m.Gone && !seen[k] {
			seen[k] = true
			out = append(out, m)
		}
	}
	return out
}

// whyWaits says why a job's tasks wait, "" if none does; kinds are the machines to look at.
func (c *Controller) whyWaits(job *storage.Job, kinds []*storage.Machine) string {
	now := time.Now()
	if n := job.UnmetDependencies(); n > 0 && job.Open() && !job.DependencyFailed {
		return fmt.Sprintf("waits for %d other jobs", n)
	}
	if job.Waiting() == 0 {
		return ""
	}
	if !c.ownsShard(job.Shard) {
		if s := c.cache.Shards[job.Shard]; s.Member != "" && s.Member != c.cfg.MemberName {
			return "decided by node " + s.Member
		}
		return "its share has no owner"
	}
	if c.storeFailing() {
		return "the state service does not answer"
	}
	if jv := c.jobStates[job]; c.suspect(job) {
		again := 0.0
		if jv != nil {
			again = max(0, jv.backoff.Sub(now).Seconds())
		}
		return fmt.Sprintf("fails on every machine that tried it, one task is tried again in %.0f s", again)
	} else if jv != nil && now.Before(jv.backoff) {
		return fmt.Sprintf("failed %d times, tried again in %.0f s", jv.failures, jv.backoff.Sub(now).Seconds())
	}
	if !schedule.WithinLimit(c.cache.Teams[job.Team], c.cache.Used[job.Team], job, 1) {
		return "the team's limit is reached"
	}
	if c.cache.VictimSets[job.ID] != nil {
		return "evicted tasks are still stopping"
	}
	for _, m := range kinds {
		if m.Shard == job.Shard && schedule.Allowed(job, m) {
			if c.isIdleWork(job, now) {
				return "idle-time work, waits for room that others leave"
			}
			return "no room"
		}
	}
	return "no machine that it may use"
}

// MachineInfo is a machine as operators see it.
type MachineInfo struct {
	Name         string     `json:"name"`
	State        string     `json:"state"`
	Shard        int        `json:"share"`
	Type         string     `json:"type"`
	Zone         string     `json:"zone"`
	Spot         bool       `json:"spot"`
	Incarnation  uint64     `json:"session"`
	FencingToken uint64     `json:"token"`
	Tasks        int        `json:"tasks"`
	UsedCpus     float64    `json:"used_cpus"`
	UsedGpus     float64    `json:"used_gpus"`
	SilentS      float64    `json:"silent_s"` // -1: heartbeats go to another controller
	Placed       []TaskInfo `json:"placed,omitempty"`
}

// TaskInfo is a placed task.
type TaskInfo struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	WaitedS uint64 `json:"waited_s"`
}

func (c *Controller) machineInfo(machine *storage.Machine, tasks bool) MachineInfo {
	info := MachineInfo{Name: machine.Name, State: c.machineState(machine), Shard: machine.Shard, Type: c.cache.TypeIndex.Name(machine.Type),
		Zone: c.cache.Zones.Name(machine.Zone), Spot: machine.Spot, Incarnation: machine.Incarnation, FencingToken: c.cache.FencingToken(machine), Tasks: len(machine.Tasks), SilentS: -1}
	for _, p := range machine.Tasks {
		info.UsedCpus += p.Job.Cpus
		info.UsedGpus += p.Job.Gpus
		if tasks {
			info.Placed = append(info.Placed, TaskInfo{p.Job.ID, p.Task, p.Attempt, p.WaitedS})
		}
	}
	if v := c.workers.states[machine.Index]; v != nil && c.ownsShard(machine.Shard) {
		info.SilentS = time.Since(v.heard).Seconds()
	}
	return info
}

// MachineInfos lists machines in name order, beginning after a given one.
func (c *Controller) MachineInfos(ctx context.Context, after string, limit int) (out []MachineInfo, more bool, err error) {
	out = []MachineInfo{}
	err = c.call(ctx, func() {
		c.cache.MachinesAfter(after, func(m *storage.Machine) bool {
			if more = len(out) == limit; more {
				return false
			}
			out = append(out, c.machineInfo(m, false))
			return true
		})
	})
	return out, more, err
}

// MachineInfo is one machine with its tasks.
func (c *Controller) MachineInfo(ctx context.Context, name string) (info MachineInfo, known bool, err error) {
	err = c.call(ctx, func() {
		if m := c.cache.Machine(name); m != nil {
			info, known = c.machineInfo(m, true), true
		}
	})
	return info, known, err
}

// EvictionView is an evicted set with the scores that chose it.
type EvictionView struct {
	Job     string                 `json:"job"`
	At      time.Time              `json:"at"`
	Shard   int                    `json:"share"`
	Victims []storage.VictimRecord `json:"victims"`
}

const keptEvictions = 50

// recordPreemptions keeps the latest evicted sets for operators.
func (c *Controller) recordPreemptions() {
	for id, e := range c.cache.VictimSets {
		if c.operator.preemptionsSeen[id] == e.Version {
			continue
		}
		c.operator.preemptionsSeen[id] = e.Version
		c.metrics.preemptedTasks.Add(float64(len(e.Victims)))
		c.operator.recentPreemptions = append(c.operator.recentPreemptions, EvictionView{Job: id, At: time.UnixMilli(e.AtMs), Shard: e.Shard, Victims: e.Victims})
		if n := len(c.operator.recentPreemptions); n > keptEvictions {
			c.operator.recentPreemptions = slices.Clone(c.operator.recentPreemptions[n-keptEvictions:])
		}
	}
	for id := range c.operator.preemptionsSeen {
		if c.cache.VictimSets[id] == nil {
			delete(c.operator.preemptionsSeen, id)
		}
	}
}

// Evictions lists the latest evicted sets that this controller saw, newest first.
func (c *Controller) Evictions(ctx context.Context) ([]EvictionView, error) {
	out := []EvictionView{}
	err := c.call(ctx, func() {
		out = append(out, c.operator.recentPreemptions...)
		slices.Reverse(out)
	})
	return out, err
}

// Metrics returns this controller's figures.
func (c *Controller) Metrics() *Metrics { return c.metrics }

func (c *Controller) callWithin(d time.Duration, f func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return c.call(ctx, f)
}
