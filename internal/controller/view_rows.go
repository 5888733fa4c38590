package controller

import (
	"math"
	"slices"
	"strings"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
	"dykeledge/internal/view"
)

// thousandths returns a value in thousandths, rounded.
func thousandths(v float64) uint64 { return uint64(math.Round(1000 * v)) }

// millionths returns a value in millionths, rounded.
func millionths(v float64) uint64 { return uint64(math.Round(1e6 * v)) }

// teamRow returns the row of a team with its guarantee and limit.
func teamRow(team config.Team) view.Team {
	return view.Team{
		Name:    team.Name,
		Cpus:    thousandths(team.Cpus),
		CpusMax: thousandths(team.CpusMax),
		Gpus:    thousandths(team.Gpus),
		GpusMax: thousandths(team.GpusMax),
	}
}

// jobRow returns the row of a job.
func (c *Controller) jobRow(job *storage.Job) view.Job {
	row := view.Job{
		ID:          job.ID,
		Team:        c.cache.Teams[job.Team].Name,
		Class:       c.cache.Classes.Name(job.Class),
		Priority:    job.OwnPriority,
		Service:     job.Shape == protocol.Service,
		Suspect:     job.Suspect,
		Preempting:  c.cache.VictimSets[job.ID] != nil,
		Tasks:       uint32(job.Tasks),
		Done:        uint32(job.DoneCount),
		Placed:      uint32(job.PlacedCount),
		Shard:       uint32(job.Shard),
		Cpus:        thousandths(job.Cpus),
		Gpus:        thousandths(job.Gpus),
		SubmittedMs: job.Submitted.UnixMilli(),
		ReadyMs:     job.ReadyAt.UnixMilli(),
		EstimateMs:  thousandths(job.Estimate),
		EndedMs:     job.FinalAtMs,
	}
	switch {
	case job.Final == protocol.Done:
		row.Status = view.Done
	case !job.Open() || job.DependencyFailed:
		row.Status = view.Cancelled
	case job.PlacedCount > 0:
		row.Status = view.Running
	default:
		row.UnmetDependencies = uint32(job.UnmetDependencies())
	}
	if job.Deadline > 0 {
		row.DeadlineMs = row.SubmittedMs + job.Deadline.Milliseconds()
	}
	return row
}

// machineRow returns the row of a machine.
func (c *Controller) machineRow(machine *storage.Machine) view.Machine {
	machineType := c.cache.Types[machine.Type]
	price := machineType.Price
	if machine.Spot {
		price = machineType.SpotPrice
	}
	row := view.Machine{
		Name:  machine.Name,
		State: machineRowState(machine),
		Type:  c.cache.TypeIndex.Name(machine.Type),
		Zone:  c.cache.Zones.Name(machine.Zone),
		Spot:  machine.Spot,
		Shard: uint32(machine.Shard),
		Tasks: uint32(len(machine.Tasks)),
		Cpus:  thousandths(machineType.Cpus),
		Gpus:  thousandths(machineType.Gpus),
		Price: millionths(price),
	}
	for _, placed := range machine.Tasks {
		cpus, gpus := thousandths(placed.Job.Cpus), thousandths(placed.Job.Gpus)
		row.UsedCpus += cpus
		row.UsedGpus += gpus
		use := machineUseByTeam(&row, c.cache.Teams[placed.Job.Team].Name)
		use.Tasks++
		use.Cpus += cpus
		use.Gpus += gpus
	}
	return row
}

// machineUseByTeam returns the entry for what a team uses of a machine and creates it on first use. The
// entries are in order of the teams' names.
func machineUseByTeam(row *view.Machine, team string) *view.MachineUse {
	i, ok := slices.BinarySearchFunc(row.Uses, team, func(use view.MachineUse, name string) int { return strings.Compare(use.Team, name) })
	if !ok {
		row.Uses = slices.Insert(row.Uses, i, view.MachineUse{Team: team})
	}
	return &row.Uses[i]
}

// machineRowState returns the state of a machine according to the records alone, like all of the read model.
// machineState also considers the heartbeats that this controller receives from the worker.
func machineRowState(machine *storage.Machine) view.MachineState {
	switch {
	case machine.Returning:
		return view.Returning
	case machine.Draining:
		return view.Draining
	case machine.Unhealthy:
		return view.Unhealthy
	case machine.Incarnation == 0:
		return view.Booting
	case len(machine.Tasks) > 0:
		return view.Busy
	}
	return view.Idle
}

// memberRow returns the row of a controller.
func (c *Controller) memberRow(name string) view.Member {
	row := view.Member{Name: name, Leader: c.holdsLeadership(name), Shards: []uint32{}}
	if member := c.cache.Members[name]; member != nil {
		row.Alive, row.NotReady = true, member.NotReady
	}
	for _, shard := range c.shardsOf(name) {
		row.Shards = append(row.Shards, uint32(shard))
	}
	return row
}

// reasonRow returns why a job waits. examples holds one machine of each category.
func (c *Controller) reasonRow(job *storage.Job, examples []*storage.Machine) view.Reason {
	return view.Reason{
		Job:       job.ID,
		Why:       c.waitReason(job, examples),
		Member:    c.cfg.MemberName,
		OwnsShard: c.ownsShard(job.Shard),
		AtMs:      time.Now().UnixMilli(),
	}
}

// updateVictimSetRow updates the row of a victim set. If the record is gone the row is marked as closed and
// stays among the latest ones.
func (c *Controller) updateVictimSetRow(id string) {
	model := c.readModel.model
	previous, wasShown := model.LatestVictimSet(id)
	victimSet := c.cache.VictimSets[id]
	if victimSet == nil {
		if wasShown && previous.Open {
			previous.Open = false
			model.PutVictimSet(previous)
		}
		return
	}
	row := view.VictimSet{
		Job:        id,
		Team:       c.teamOf(id),
		ChosenAtMs: victimSet.ChosenAtMs,
		Shard:      uint32(victimSet.Shard),
		Open:       true,
		Victims:    []view.Victim{},
	}
	if wasShown && previous.Open && previous.ChosenAtMs == row.ChosenAtMs {
		row.Key = previous.Key
	}
	for _, victim := range victimSet.Victims {
		row.Victims = append(row.Victims, view.Victim{
			Job:     victim.Job,
			Team:    c.teamOf(victim.Job),
			Task:    uint32(victim.Task),
			Attempt: victim.Attempt,
			Score:   victim.Score,
		})
	}
	model.PutVictimSet(row)
}

// teamOf returns the name of a job's team, "" if only the final state of the job is stored.
func (c *Controller) teamOf(id string) string {
	if job := c.cache.Job(id); job != nil {
		return c.cache.Teams[job.Team].Name
	}
	return ""
}
