package controller

import (
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file detects unreachable zones: those whose machines are all silent. A zone that is cut off
// goes on working: a controller inside it that owned machines there has not seen that others own
// them now, and goes on answering their workers. So the replicas of services go on running, and
// returning their machines would end them. Machines provisioned there come up, but can't be used
// until the partition ends.

// zoneState holds what this controller has observed of a zone.
type zoneState struct {
	lastMessageAt  time.Time // when a message of any worker in the zone last arrived
	unreachable    bool
	reachableSince time.Time // when a worker's message arrived again after the zone was unreachable
	probedAt       time.Time // when a worker there was last probed
	probeInFlight  bool
	missedProbes   int       // direct commands and probes without an answer in a row
	nextProbe      int       // counter that selects the next machine to probe
	emptySince     time.Time // while unreachable: since when no machine that could answer is left; zero: there is one
}

const (
	// minZoneMachines is the minimum number of machines in a zone for its silence to count: so many
	// machines are unlikely to fall silent at the same time without a common cause.
	minZoneMachines = 3
	// minZoneMissedProbes is how many probes in a row a silent zone must have missed to be unreachable.
	minZoneMissedProbes = 2
	// unownedZoneFactor multiplies the limits of silence and of missed probes for a zone whose workers
	// send their heartbeats to another controller.
	unownedZoneFactor = 2
	// zoneProbeInterval is the minimum time between two probes of a zone.
	zoneProbeInterval = time.Second / 2
	// otherZonesMargin is added to zoneHeartbeatLimit when anyZoneReachable checks each zone's silence.
	otherZonesMargin = time.Second
	// controllerEndWindow is how long before its zone fell silent a controller's connection may have
	// broken off for the controller to count as ended: a new owner measures the zone's silence only
	// from its own start.
	controllerEndWindow = 10 * time.Second
	// emptyZoneTimeout is how long a zone stays unreachable after its last machine was given up. Nothing
	// is left in it that could answer: without this limit the zone stayed unreachable for ever, nothing
	// was provisioned in it, and tasks that may not run elsewhere waited.
	emptyZoneTimeout = 15 * time.Second
)

// zoneUnreachableAfter returns how long a zone must be silent to be unreachable: longer than the
// interval of its workers' heartbeats, shorter than the silence for which a single machine is returned.
func zoneUnreachableAfter(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 2) }

// zoneHeartbeatLimit returns the longest silence of a zone in normal operation.
func zoneHeartbeatLimit(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 0.75) }

// unreachableZoneLimit returns how long a machine with replicas in an unreachable zone may be silent
// before it is returned. A controller inside the zone that owned the machine goes on answering its
// worker, or another one there renews its lease as a proxy (proxy_renewals.go), and most partitions
// are over before the replicas would run elsewhere: the machines have their images, and without a
// third of the machines capacity is short. The time is limited because nobody outside the zone reaches
// the replicas. A machine with a cancelled job's task is returned at that task's deadline
// (terminations.go).
func unreachableZoneLimit(w config.Workers) time.Duration { return seconds(1.5 * w.CancelS) }

// recordMessage records that a message of a worker in the zone arrived, and reports whether the zone
// was unreachable until then.
func (z *zoneState) recordMessage(now time.Time) (wasUnreachable bool) {
	z.lastMessageAt, z.missedProbes = now, 0
	if !z.unreachable {
		return false
	}
	z.unreachable, z.reachableSince = false, now
	return true
}

// emptyTooLong records whether a zone has machines that could answer, and reports whether it has been
// unreachable without any for longer than emptyZoneTimeout.
func (z *zoneState) emptyTooLong(machines int, now time.Time) bool {
	switch {
	case machines > 0 || !z.unreachable:
		z.emptySince = time.Time{}
	case z.emptySince.IsZero():
		z.emptySince = now
	default:
		return now.Sub(z.emptySince) > emptyZoneTimeout
	}
	return false
}

// beginProbe reports whether a worker should be probed now. The index selects the worker; it increases
// by one with each probe.
func (z *zoneState) beginProbe(now time.Time) (index int, ok bool) {
	if z.probeInFlight || now.Sub(z.probedAt) < zoneProbeInterval {
		return 0, false
	}
	z.probeInFlight, z.probedAt = true, now
	z.nextProbe++
	return z.nextProbe, true
}

// zone returns the state of a zone by its index.
func (r *reachability) zone(zone int) *zoneState {
	for len(r.zones) <= zone {
		r.zones = append(r.zones, zoneState{lastMessageAt: time.Now()})
	}
	return &r.zones[zone]
}

// zoneUnreachable reports whether a zone is unreachable from this controller.
func (r *reachability) zoneUnreachable(zone int) bool {
	return zone < len(r.zones) && r.zones[zone].unreachable
}

// resetZones resets the state of all zones, as if a message from each arrived now.
func (r *reachability) resetZones(now time.Time) {
	for zone := range r.zones {
		r.zones[zone] = zoneState{lastMessageAt: now}
	}
}

func (c *Controller) zoneState(zoneIndex int) *zoneState { return c.reachability.zone(zoneIndex) }

// recordZoneMessage records that a message of a worker in a zone arrived.
func (c *Controller) recordZoneMessage(zoneIndex int, now time.Time) {
	if c.reachability.zone(zoneIndex).recordMessage(now) {
		c.log.Info("zone is reachable again", "zone", c.cache.Zones.Name(zoneIndex))
	}
}

// superviseZones probes workers in silent zones, one at a time in each, and determines which zones are
// unreachable. The leader does so even if it owns no shards, since it must not scale out in such zones.
func (c *Controller) superviseZones(now time.Time) {
	for name := range c.cache.Members {
		c.reachability.memberSeenAt[name] = now
	}
	if !c.isLeader() && !c.shards.ownsAny() {
		c.reachability.resetZones(now)
		return
	}
	machines := c.reachableMachinesByZone()
	anyReachable := c.anyZoneReachable(machines, now)
	for zone, inZone := range machines {
		c.superviseZone(zone, inZone, anyReachable, now)
	}
}

// reachableMachinesByZone returns, by zone, the machines in service that have come up and have an
// address, so that they can be probed.
func (c *Controller) reachableMachinesByZone() [][]*storage.Machine {
	machines := make([][]*storage.Machine, c.cache.Zones.Len())
	for machine := range c.machinesInService() {
		if machine.Incarnation > 0 && machine.Addr != "" {
			machines[machine.Zone] = append(machines[machine.Zone], machine)
		}
	}
	return machines
}

// anyZoneReachable reports whether some zone with machines is not silent. If all are silent, the fault
// may be this controller's.
func (c *Controller) anyZoneReachable(machines [][]*storage.Machine, now time.Time) bool {
	limit := zoneHeartbeatLimit(c.cfg.Deployment.Workers) + otherZonesMargin
	reachable := false
	for zone := range machines {
		reachable = reachable || len(machines[zone]) > 0 && c.silenceOf(c.zoneState(zone).lastMessageAt, now) < limit
	}
	return reachable
}

// superviseZone marks a zone as unreachable if its silence proves it, and probes one of its workers
// while it is silent.
func (c *Controller) superviseZone(zoneIndex int, machines []*storage.Machine, anyReachable bool, now time.Time) {
	zone := c.zoneState(zoneIndex)
	silence := c.silenceOf(zone.lastMessageAt, now)
	if zone.emptyTooLong(len(machines), now) {
		*zone = zoneState{lastMessageAt: now}
		c.log.Info("unreachable zone has no machines left, counting it as reachable again", "zone", c.cache.Zones.Name(zoneIndex))
	}
	if len(machines) == 0 || silence < zoneHeartbeatLimit(c.cfg.Deployment.Workers) {
		return
	}
	if !zone.unreachable && anyReachable && c.provesUnreachable(zone, machines, silence) {
		zone.unreachable = true
		c.log.Info("zone is unreachable", "zone", c.cache.Zones.Name(zoneIndex), "machines", len(machines))
	}
	if index, ok := zone.beginProbe(now); ok {
		c.probeZone(zoneIndex, machines[index%len(machines)])
	}
}

// provesUnreachable reports whether a zone is unreachable: it has enough machines, has been silent for
// long enough and has missed enough probes.
func (c *Controller) provesUnreachable(zone *zoneState, machines []*storage.Machine, silence time.Duration) bool {
	limit, misses := zoneUnreachableAfter(c.cfg.Deployment.Workers), minZoneMissedProbes
	if !c.ownsShard(machines[0].Shard) {
		// The workers there send no heartbeats to this controller: only its probes can be answered.
		limit, misses = unownedZoneFactor*limit, unownedZoneFactor*misses
	}
	return len(machines) >= minZoneMachines && silence > limit && zone.missedProbes >= misses
}

// probeZone probes the worker of one of a zone's machines.
func (c *Controller) probeZone(zoneIndex int, machine *storage.Machine) {
	c.probeHeartbeat(machine, func(answered bool) {
		zone := c.zoneState(zoneIndex)
		zone.probeInFlight = false
		if answered {
			c.recordZoneMessage(zoneIndex, time.Now())
		} else {
			zone.missedProbes++
		}
	})
}

// hasControllerInside reports whether a controller inside a zone was alive when the zone fell silent:
// its session lease had not expired, and its connection had not broken off, as it does when a
// controller ends. A controller that owned machines there goes on answering their workers. Most
// workers find another controller before their leases expire, even if two silent controllers come
// first in the order in which they try them.
func (c *Controller) hasControllerInside(zoneIndex int) bool {
	name, since := c.cache.Zones.Name(zoneIndex), c.reachability.zones[zoneIndex].lastMessageAt
	if since.Sub(c.session.startedAt) < controllerEndWindow {
		return false // this process started too late to have seen which controllers ended
	}
	return slices.ContainsFunc(c.cfg.KnownPeers, func(known config.Peer) bool {
		return known.Zone == name && c.reachability.memberSeenAt[known.MemberName].After(since) &&
			!c.reachability.brokenConnections[known.MemberName].After(since.Add(-controllerEndWindow))
	})
}

// hasServiceReplicas reports whether replicas of open services are placed on a machine.
func hasServiceReplicas(machine *storage.Machine) bool {
	return slices.ContainsFunc(machine.Tasks, func(placed storage.PlacedTask) bool { return placed.Job.Open() && placed.Job.Shape == protocol.Service })
}

// needsNoReplacement reports whether the tasks in a zone need no capacity elsewhere: the zone is
// unreachable, and has been silent for less than half of cancel_s. Machines provisioned later than
// that would come up too late.
func (c *Controller) needsNoReplacement(zoneIndex int, now time.Time) bool {
	return c.reachability.zoneUnreachable(zoneIndex) && c.silenceOf(c.reachability.zones[zoneIndex].lastMessageAt, now) < seconds(c.cfg.Deployment.Workers.CancelS/2)
}
