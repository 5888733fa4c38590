package controller

import (
	"context"
	"iter"
	"time"

	"dykeledge/internal/controller/autoscale"
	"dykeledge/internal/storage"
)

// This file collects the input of the autoscaling decision (package autoscale) and carries the decision out.

// targetTimeFraction is the fraction of its allowed time in which waiting work should be completed. With
// a larger fraction fewer machines are requested, but jobs end later and work within guarantees starts later.
const targetTimeFraction = 0.45

// autoscale runs one autoscaling decision: it requests the machines that the demand needs, and drains surplus
// machines or returns them to the cloud.
func (c *Controller) autoscale(ctx context.Context, now time.Time) {
	demands := c.demands(now)
	if demand, expected := c.expectedServiceDemand(now); expected {
		demands = append(demands, demand)
	}
	machines, owned := c.autoscaleMachines(now)
	offers := c.autoscaleOffers(owned, now)
	c.retryScaleOuts(ctx)
	plan := autoscale.Decide(demands, machines, offers, targetTimeFraction)
	for _, request := range plan.ScaleOuts {
		c.requestScaleOut(ctx, request)
	}
	retention := autoscale.IdleRetention(c.longestBootS(), c.shortestFinishObjectiveS())
	c.scaleInIdle(now, plan, retention)
	c.drainSurplus(now, plan, retention)
}

// poolOf returns the pool that a machine belongs to.
func poolOf(m *storage.Machine) autoscale.Pool {
	return autoscale.Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// machinePrice returns the price of a machine of a type, either on demand or as a spot machine.
func machinePrice(t *storage.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// machinesInService yields the machines that are neither gone nor being returned.
func (c *Controller) machinesInService() iter.Seq[*storage.Machine] {
	return func(yield func(*storage.Machine) bool) {
		for _, machine := range c.cache.Machines {
			if !machine.Gone && !machine.Returning && !yield(machine) {
				return
			}
		}
	}
}

// autoscaleMachines returns the machines as input of the autoscaler, and the number of machines of each pool
// that are not being returned.
func (c *Controller) autoscaleMachines(now time.Time) (machines []autoscale.Machine, owned map[autoscale.Pool]int) {
	owned = map[autoscale.Pool]int{}
	for _, machine := range c.cache.Machines {
		if machine.Gone {
			continue
		}
		pool, machineType := poolOf(machine), &c.cache.Types[machine.Type]
		if !machine.Returning {
			owned[pool]++
		}
		machines = append(machines, autoscale.Machine{Pool: pool, Cpus: machineType.Cpus, Gpus: machineType.Gpus,
			Mem: machineType.Mem, Usable: c.countsAsCapacity(machine, now)})
	}
	return machines, owned
}

// countsAsCapacity reports whether a machine, running or still booting, counts as capacity for waiting work.
func (c *Controller) countsAsCapacity(m *storage.Machine, now time.Time) bool {
	if m.Returning || m.Unhealthy {
		return false
	}
	worker := c.workers.states[m.Index]
	if worker != nil && (worker.unhealthy || !worker.preemptionAt.IsZero() || c.unresponsive(worker, now)) {
		return false
	}
	return !c.bootOverdue(m, bootTimeoutFactor, now) && !c.reachability.zoneUnreachable(m.Zone)
}

// autoscaleOffers returns the pools that the catalog offers, spot and on-demand.
func (c *Controller) autoscaleOffers(owned map[autoscale.Pool]int, now time.Time) []autoscale.Offer {
	var offers []autoscale.Offer
	for typeIndex := range c.cache.Types {
		machineType := &c.cache.Types[typeIndex]
		if machineType.Cpus <= 0 {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				price := machinePrice(machineType, spot)
				if spot && price <= 0 {
					continue
				}
				pool := autoscale.Pool{Type: typeIndex, Zone: zone, Spot: spot}
				offers = append(offers, autoscale.Offer{Pool: pool, Cpus: machineType.Cpus, Gpus: machineType.Gpus, Mem: machineType.Mem,
					Price: price, BootSeconds: machineType.BootSeconds, Owned: owned[pool],
					Blocked: !c.leader.canRequest(pool, now) || c.reachability.zoneUnreachable(zone)})
			}
		}
	}
	return offers
}

// longestBootS returns the boot time, in seconds, of the machine type that boots slowest.
func (c *Controller) longestBootS() float64 {
	longest := 0.0
	for i := range c.cache.Types {
		if t := &c.cache.Types[i]; t.Cpus > 0 {
			longest = max(longest, t.BootSeconds)
		}
	}
	return longest
}

// shortestFinishObjectiveS returns the shortest time, in seconds, within which an objective requires jobs
// finished; 0: there is no such objective. Objectives on the start of work, of a class or within a guarantee,
// are left out: when they were read as objectives on finishing, every idle machine was retained and the
// cluster never scaled in.
func (c *Controller) shortestFinishObjectiveS() float64 {
	tightest := 0.0
	for _, objective := range c.cfg.Deployment.Objectives {
		if objective.Kind == "finished" && objective.WithinS > 0 && (tightest == 0 || objective.WithinS < tightest) {
			tightest = objective.WithinS
		}
	}
	return tightest
}
