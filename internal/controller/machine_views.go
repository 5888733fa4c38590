package controller

import (
	"context"
	"time"

	"dykeledge/internal/storage"
)

// MachineInfo is the state of a machine as shown to operators.
type MachineInfo struct {
	Name          string           `json:"name"`
	State         string           `json:"state"`
	Shard         int              `json:"share"`
	Type          string           `json:"type"`
	Zone          string           `json:"zone"`
	Spot          bool             `json:"spot"`
	Incarnation   uint64           `json:"session"`
	FencingToken  uint64           `json:"token"`
	Tasks         int              `json:"tasks"`
	UsedCpus      float64          `json:"used_cpus"`
	UsedGpus      float64          `json:"used_gpus"`
	HeartbeatAgeS float64          `json:"silent_s"` // time since its worker's last message; -1: not known to this controller
	Placed        []PlacedTaskView `json:"placed,omitempty"`
}

// PlacedTaskView is a placed task as shown to operators.
type PlacedTaskView struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	WaitedS uint64 `json:"waited_s"`
}

func (c *Controller) machineInfo(machine *storage.Machine, tasks bool) MachineInfo {
	info := MachineInfo{
		Name:          machine.Name,
		State:         c.machineState(machine),
		Shard:         machine.Shard,
		Type:          c.cache.TypeIndex.Name(machine.Type),
		Zone:          c.cache.Zones.Name(machine.Zone),
		Spot:          machine.Spot,
		Incarnation:   machine.Incarnation,
		FencingToken:  c.cache.FencingToken(machine),
		Tasks:         len(machine.Tasks),
		HeartbeatAgeS: -1,
	}
	for _, placed := range machine.Tasks {
		info.UsedCpus += placed.Job.Cpus
		info.UsedGpus += placed.Job.Gpus
		if tasks {
			info.Placed = append(info.Placed, PlacedTaskView{placed.Job.ID, placed.Task, placed.Attempt, placed.WaitedSeconds})
		}
	}
	if worker := c.workers.states[machine.Index]; worker != nil && c.ownsShard(machine.Shard) {
		info.HeartbeatAgeS = time.Since(worker.lastMessageAt).Seconds()
	}
	return info
}

// machineState returns the state of a machine as shown to operators and in metrics.
func (c *Controller) machineState(machine *storage.Machine) string {
	worker := c.workers.states[machine.Index]
	switch {
	case machine.Returning:
		return "returning"
	case machine.Draining:
		return "draining"
	case machine.Unhealthy || worker != nil && worker.unhealthy:
		return "sick"
	case worker != nil && !worker.preemptionAt.IsZero():
		return "leaving"
	case !c.hasBooted(machine) && c.bootOverdue(machine, bootTimeoutFactor, time.Now()):
		return "overdue"
	case !c.hasBooted(machine):
		return "booting"
	case len(machine.Tasks) == 0:
		return "idle"
	}
	return "busy"
}

// MachineInfos returns machines in order of their names, starting after the name after. more reports whether
// there are further ones beyond limit.
func (c *Controller) MachineInfos(ctx context.Context, after string, limit int) (infos []MachineInfo, more bool, err error) {
	infos = []MachineInfo{}
	err = c.call(ctx, func() {
		c.cache.MachinesAfter(after, func(machine *storage.Machine) bool {
			if more = len(infos) == limit; more {
				return false
			}
			infos = append(infos, c.machineInfo(machine, false))
			return true
		})
	})
	return infos, more, err
}

// MachineInfo returns one machine with its tasks; known reports whether the machine exists.
func (c *Controller) MachineInfo(ctx context.Context, name string) (info MachineInfo, known bool, err error) {
	err = c.call(ctx, func() {
		if machine := c.cache.Machine(name); machine != nil {
			info, known = c.machineInfo(machine, true), true
		}
	})
	return info, known, err
}
