package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/controller/dispatch"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// scaleInState is the leader's state of machines that are not needed.
type scaleInState struct {
	returning     bool // a scale-in request is in flight
	emptyMachines map[int32]emptyObservation
	surplusSince  map[autoscale.Pool]time.Time // since when the pool has had at least one surplus machine
}

// emptyObservation records when the leader first saw a machine's record empty at its present version.
type emptyObservation struct {
	version uint64
	since   time.Time
}

func newScaleInState(returning bool) scaleInState {
	return scaleInState{
		returning:     returning,
		emptyMachines: map[int32]emptyObservation{},
		surplusSince:  map[autoscale.Pool]time.Time{},
	}
}

// observeSurplus records since when each pool has had at least one surplus machine.
func (s *scaleInState) observeSurplus(surplus map[autoscale.Pool]float64, now time.Time) {
	for pool := range s.surplusSince {
		if surplus[pool] < 1 {
			delete(s.surplusSince, pool)
		}
	}
	for pool, machines := range surplus {
		if machines >= 1 && s.surplusSince[pool].IsZero() {
			s.surplusSince[pool] = now
		}
	}
}

// surplusPersists reports whether a pool has had at least one surplus machine for the retention time.
func (s *scaleInState) surplusPersists(pool autoscale.Pool, retention time.Duration, now time.Time) bool {
	since := s.surplusSince[pool]
	return !since.IsZero() && now.Sub(since) >= retention
}

// emptySince returns since when the leader has seen a machine's record empty and unchanged.
func (s *scaleInState) emptySince(m *storage.Machine, now time.Time) time.Time {
	observation, ok := s.emptyMachines[m.Index]
	if !ok || observation.version != m.Version {
		observation = emptyObservation{m.Version, now}
		s.emptyMachines[m.Index] = observation
	}
	return observation.since
}

// scaleInIdle gives machines back to the cloud that have been empty and surplus for the retention time, the
// most expensive first.
func (c *Controller) scaleInIdle(now time.Time, plan autoscale.Plan, retention time.Duration) {
	candidates := c.emptyMachinesByPrice()
	c.leader.observeSurplus(plan.Surplus, now)
	remaining := map[autoscale.Pool]float64{}
	for pool, machines := range plan.Surplus {
		remaining[pool] = machines
	}
	for _, machine := range candidates {
		pool := poolOf(machine)
		if !c.leader.surplusPersists(pool, retention, now) || remaining[pool] < 1 || now.Sub(c.leader.emptySince(machine, now)) < retention {
			continue
		}
		remaining[pool]--
		c.returnMachine(machine, reasonNotNeeded)
	}
}

// emptyMachinesByPrice returns the machines without tasks that accept placements, the most expensive first.
func (c *Controller) emptyMachinesByPrice() []*storage.Machine {
	var empty []*storage.Machine
	for machine := range c.machinesInService() {
		if len(machine.Tasks) == 0 && !c.workers.pendingUpdates[machine.Index].blocksPlacement() {
			empty = append(empty, machine)
		}
	}
	price := func(m *storage.Machine) float64 { return machinePrice(&c.cache.Types[m.Type], m.Spot) }
	slices.SortFunc(empty, func(a, b *storage.Machine) int {
		return cmp.Or(cmp.Compare(price(b), price(a)), cmp.Compare(a.Name, b.Name))
	})
	return empty
}

// scaleIn asks the cloud to take machines back. Its confirmation is proof that the machines and
// everything that ran on them are gone; the next cycle then deletes their records.
func (c *Controller) scaleIn(ctx context.Context, names []string) {
	if len(names) == 0 || c.leader.returning {
		return
	}
	names = names[:min(len(names), protocol.MaxScaleIn)]
	c.leader.returning = true
	go func() {
		err := c.cloud.ScaleIn(ctx, names)
		c.post(func() {
			c.leader.returning = false
			if err != nil {
				c.log.Info("scale-in request failed", "machines", len(names), "err", err)
				return
			}
			now := time.Now()
			for _, name := range names {
				if machine := c.cache.Machine(name); machine != nil && c.ownsShard(machine.Shard) {
					c.recordTermination(machine, now)
				}
			}
			c.requestCycle()
		})
	}()
}

// recordTermination marks a machine as terminated after the cloud's confirmation, and the tasks that ran on
// it as lost.
func (c *Controller) recordTermination(machine *storage.Machine, now time.Time) {
	worker := c.workerState(machine)
	worker.terminated = true
	for _, placed := range machine.Tasks {
		ref := dispatch.AttemptRefOf(placed)
		if !worker.hasEnded(ref) {
			worker.Gone[ref] = dispatch.Lost
			c.noteOutcome(machine, worker, ref, dispatch.Lost, now)
		}
	}
}
