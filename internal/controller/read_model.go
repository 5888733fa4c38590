package controller

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/view"
)

// readModel keeps the read model that console, report and scripts share. It belongs to the
// core's goroutine, all but the hub.
type readModel struct {
	model    *view.Model
	hub      *view.Hub
	head     view.Head // of the latest snapshot
	asOf     time.Time // the cache was certainly complete then
	shown    time.Time // when a snapshot was last taken
	whole    bool      // the model is what the cache is
	stated   bool      // what the head says of the state service
	readable bool      // the first read is over
}

// How the model follows the cache.
const (
	viewRows = 2000                   // rows that are brought up to date at one go
	viewGap  = 250 * time.Millisecond // least time between two snapshots
	viewKept = 5000                   // changed rows that are left alone while nobody reads
	viewLag  = time.Second            // a reader whose snapshot is older has the revision asked for
)

// EnableView makes the controller keep a read model. It is called before Run.
func (c *Controller) EnableView() {
	teams := make([]view.Team, len(c.cache.Teams))
	for i, t := range c.cache.Teams {
		teams[i] = teamRow(t)
	}
	now := time.Now()
	c.readModel = &readModel{model: view.NewModel(teams), hub: view.NewHub(), head: view.Head{Epoch: uint64(now.UnixNano()), Since: now.UnixMilli(), Member: c.cfg.MemberName}}
	c.cache.EnableChangeFeed()
}

// teamRow is a team's guarantee and limit.
func teamRow(t config.Team) view.Team {
	return view.Team{Name: t.Name, Cpus: milli(t.Cpus), CpusMax: milli(t.CpusMax), Gpus: milli(t.Gpus), GpusMax: milli(t.GpusMax)}
}

func milli(v float64) uint64 { return uint64(math.Round(1000 * v)) }

// showView brings the model up to date and takes a snapshot, if somebody reads and the cache is
// exactly what the state service has at its revision: a controller applies its own commits before
// its follow brings what others committed in between, and what is shown in such a moment
// would be the state at no revision.
//
// A row that changes ten times between two snapshots is made once, and while nobody reads none is
// made before many wait: rows at every change took 5 to 7 % of a controller's processor time.
func (c *Controller) showView(now time.Time, ask bool) {
	readModel := c.readModel
	if readModel == nil || !c.follower.loaded {
		return
	}
	if n := c.cache.PendingChanges(); !ask && n < viewKept && (!readModel.hub.Wanted(now) || now.Sub(readModel.shown) < viewGap) {
		readModel.whole = false
		return
	}
	if !readModel.readable {
		readModel.readable, readModel.head.Since = true, now.UnixMilli()
	}
	whole := c.cache.Revision >= c.follower.highestRevision
	jobs, machines, evicted, more := c.cache.TakeChanges(viewRows)
	readModel.whole = whole && !more
	for _, j := range jobs {
		readModel.model.PutJob(c.jobRow(j))
	}
	for _, m := range machines {
		if m.Gone {
			readModel.model.DropMachine(m.Name)
		} else {
			readModel.model.PutMachine(c.machineRow(m))
		}
	}
	for _, id := range evicted {
		c.showEvicted(id)
	}
	for team := range c.cache.TeamEntries {
		readModel.model.SetTeam(teamRow(c.cache.Teams[team]))
	}
	if readModel.whole && now.Sub(readModel.shown) >= viewGap && readModel.hub.Wanted(now) {
		c.publishView(now)
	}
}

// publishView hands a snapshot over, in the same time whatever it holds.
func (c *Controller) publishView(now time.Time) {
	readModel := c.readModel
	readModel.shown = now
	head := readModel.head
	head.Revision, head.Now, head.AsOf, head.StateOK = c.cache.Revision, now.UnixMilli(), readModel.asOf.UnixMilli(), c.storeHealth.served(now)
	for _, name := range c.memberNames() {
		n := view.Member{Name: name, Shares: []uint32{}}
		if r := c.cache.Members[name]; r != nil {
			n.Alive, n.Unfit = true, r.NotReady
		}
		n.Leader = c.cache.Leader.Version > 0 && c.cache.Leader.Member == name
		for i, s := range c.cache.Shards {
			if s.Member == name {
				n.Shares = append(n.Shares, uint32(i))
			}
		}
		head.Members = append(head.Members, n)
	}
	readModel.hub.Publish(readModel.model.Snapshot(head))
}

// View waits for a snapshot that is newer than a cursor, until ctx ends, and returns the
// latest there is then; nil: there is none yet, or the view is off. One whose revision is not
// known to be the latest for a second asks for it, as polls do, and so costs at most a
// request a second.
func (c *Controller) View(ctx context.Context, cur view.Cursor) *view.Snapshot {
	readModel := c.readModel
	if readModel == nil {
		return nil
	}
	snapshot := readModel.hub.Wait(ctx, cur)
	if snapshot != nil && time.Since(time.UnixMilli(snapshot.AsOf)) < viewLag {
		return snapshot
	}
	began := time.Now()
	short, cancel := context.WithTimeout(context.Background(), viewLag)
	defer cancel()
	err := c.Barrier(short)
	_ = c.call(short, func() { // without it the snapshot is shown as old as it is
		now := time.Now()
		if err == nil && c.cache.Revision >= c.follower.highestRevision {
			readModel.asOf = maxTime(readModel.asOf, began)
		}
		c.showView(now, true)
		if served := c.storeHealth.served(now); readModel.whole && (err == nil || served != readModel.stated) {
			readModel.stated = served
			c.publishView(now)
		}
	})
	return readModel.hub.Latest()
}

// HasTeam tells whether the deployment has a team.
func (c *Controller) HasTeam(name string) bool {
	return slices.ContainsFunc(c.cfg.Deployment.Teams, func(t config.Team) bool { return t.Name == name })
}

// ViewEnabled tells whether the controller keeps a read model.
func (c *Controller) ViewEnabled() bool { return c.readModel != nil }

func (c *Controller) jobRow(job *storage.Job) view.Job {
	viewJob := view.Job{ID: job.ID, Team: c.cache.Teams[job.Team].Name, Class: c.cache.Classes.Name(job.Class), Priority: job.OwnPriority,
		Service: job.Shape == protocol.Service, Suspect: job.Suspect, Evicting: c.cache.VictimSets[job.ID] != nil, Tasks: uint32(job.Tasks), Done: uint32(job.DoneCount),
		Placed: uint32(job.PlacedCount), Shard: uint32(job.Shard), Cpus: milli(job.Cpus), Gpus: milli(job.Gpus), Submit: job.Submitted.UnixMilli(),
		From: job.ReadyAt.UnixMilli(), Estimate: milli(job.Estimate), End: job.FinalAtMs}
	switch {
	case job.Final == protocol.Done:
		viewJob.Status = view.Done
	case !job.Open() || job.DependencyFailed:
		viewJob.Status = view.Cancelled
	case job.PlacedCount > 0:
		viewJob.Status = view.Running
	default:
		viewJob.Awaits = uint32(job.UnmetDependencies())
	}
	if job.Deadline > 0 {
		viewJob.Due = viewJob.Submit + job.Deadline.Milliseconds()
	}
	return viewJob
}

func (c *Controller) machineRow(machine *storage.Machine) view.Machine {
	machineType := c.cache.Types[machine.Type]
	viewMachine := view.Machine{Name: machine.Name, Type: c.cache.TypeIndex.Name(machine.Type), Zone: c.cache.Zones.Name(machine.Zone), Spot: machine.Spot, Shard: uint32(machine.Shard),
		Tasks: uint32(len(machine.Tasks)), Cpus: milli(machineType.Cpus), Gpus: milli(machineType.Gpus), Price: uint64(math.Round(1e6 * machineType.Price))}
	if machine.Spot {
		viewMachine.Price = uint64(math.Round(1e6 * machineType.SpotPrice))
	}
	for _, p := range machine.Tasks {
		team := c.cache.Teams[p.Job.Team].Name
		i, ok := slices.BinarySearchFunc(viewMachine.Uses, team, func(u view.Use, name string) int { return strings.Compare(u.Team, name) })
		if !ok {
			viewMachine.Uses = slices.Insert(viewMachine.Uses, i, view.Use{Team: team})
		}
		u := &viewMachine.Uses[i]
		u.Tasks, u.Cpus, u.Gpus = u.Tasks+1, u.Cpus+milli(p.Job.Cpus), u.Gpus+milli(p.Job.Gpus)
		viewMachine.UsedCpus, viewMachine.UsedGpus = viewMachine.UsedCpus+milli(p.Job.Cpus), viewMachine.UsedGpus+milli(p.Job.Gpus)
	}
	switch {
	case machine.Returning:
		viewMachine.State = view.Returning
	case machine.Draining:
		viewMachine.State = view.Draining
	case machine.Unhealthy:
		viewMachine.State = view.Sick
	case machine.Incarnation == 0:
		viewMachine.State = view.Booting
	case len(machine.Tasks) > 0:
		viewMachine.State = view.Busy
	default:
		viewMachine.State = view.Idle
	}
	return viewMachine
}

// showEvicted brings an evicted set's row up to date. A set that is gone from the records is
// over; its row stays among the latest.
func (c *Controller) showEvicted(id string) {
	model := c.readModel.model
	old, had := model.EvictionOf(id)
	victimSet := c.cache.VictimSets[id]
	if victimSet == nil {
		if had && old.Open {
			old.Open = false
			model.PutEviction(old)
		}
		return
	}
	row := view.Eviction{Job: id, Team: c.teamOf(id), At: victimSet.AtMs, Shard: uint32(victimSet.Shard), Open: true, Victims: []view.Victim{}}
	if had && old.Open && old.At == row.At {
		row.Key = old.Key
	}
	for _, x := range victimSet.Victims {
		row.Victims = append(row.Victims, view.Victim{Job: x.Job, Team: c.teamOf(x.Job), Task: uint32(x.Task), Attempt: x.Attempt, Score: x.Score})
	}
	model.PutEviction(row)
}

// teamOf is the name of a job's team, "" when only its final state is known.
func (c *Controller) teamOf(id string) string {
	if j := c.cache.Job(id); j != nil {
		return c.cache.Teams[j.Team].Name
	}
	return ""
}

// Reasons tells why jobs wait, for those of them that a scope may know of and that this controller
// has. It costs the core as much as it tells, and is asked for what is on a screen.
func (c *Controller) Reasons(ctx context.Context, scope view.Scope, ids []string) (out []view.Reason, err error) {
	out = []view.Reason{}
	err = c.call(ctx, func() {
		examples := c.exampleMachines()
		for _, id := range ids[:min(len(ids), view.MaxReasons)] {
			j := c.cache.Job(id)
			if j == nil || scope != view.Operators && c.cache.Teams[j.Team].Name != string(scope) {
				continue
			}
			out = append(out, view.Reason{Job: id, Why: c.waitReason(j, examples), Member: c.cfg.MemberName, Owner: c.ownsShard(j.Shard), At: time.Now().UnixMilli()})
		}
	})
	return out, err
}
