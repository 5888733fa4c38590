package controller

import (
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what is concluded from the silence of a whole zone. One that is cut off goes on
// working: a controller inside that owned machines there does not know that others own them now,
// and goes on answering their workers. So replicas of services run on, and returning their
// machines would end them; and what is provisioned there is up, but of no use, until the partition ends.

// zoneState is what this controller has heard of a zone.
type zoneState struct {
	heard          time.Time // any worker in it
	unreachable    bool
	reachableSince time.Time // heard again after it was unreachable
	probedAt       time.Time // a worker there was last asked for its heartbeat
	probing        bool
	missedProbes   int       // unanswered in a row
	nextProbe      int       // whom to ask
	emptySince     time.Time // when it is unreachable: no machine is left there that could be heard, since then
}

const (
	// zoneMachines are too many to fall silent together by themselves.
	zoneMachines = 3
	// zoneMisses is how many of a silent zone's workers must have been asked in vain.
	zoneMisses = 2
	// unownedZoneFactor is how many times as long, and as often in vain, a zone's workers are asked that
	// heartbeat to another controller.
	unownedZoneFactor = 2
	// zoneProbeInterval is the least time between two probes of a zone.
	zoneProbeInterval = time.Second / 2
	// otherZonesMargin is how much longer than a heartbeat may take a zone may be silent that is
	// still taken to be heard, when another one is judged.
	otherZonesMargin = time.Second
	// endedBefore is how long before its zone fell silent a controller's end still counts: a new
	// owner hears of the zone's silence only from its own start on.
	endedBefore = 10 * time.Second
	// emptyFor is how long an unreachable zone is left alone after its last machine was given up.
	// Nobody is left there to be heard: it stayed unreachable for ever, nothing was provisioned in
	// it, and what may run nowhere else waited.
	emptyFor = 15 * time.Second
)

// zoneUnreachableAfter is how long a zone must be silent to be unreachable: longer than its workers
// may take to report, shorter than what has a single machine given up.
func zoneUnreachableAfter(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 2) }

// zoneHeartbeatLimit is how long a zone may be silent while all is well.
func zoneHeartbeatLimit(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 0.75) }

// unreachableZoneLimit is how long a machine whose services may run on in an unreachable zone may
// be silent. A controller inside that owned it goes on answering its worker, another stands in for
// its owner (proxy_renewals.go), and most partitions are over before the replicas would run
// elsewhere: their machines' images are there, and with a third of the machines capacity is short.
// Not for ever, since nobody outside reaches them; where a cancelled job's task is on one, its
// deadline comes first (terminations.go).
func unreachableZoneLimit(w config.Workers) time.Duration { return seconds(1.5 * w.CancelS) }

// markHeard notes that a worker in the zone was heard, and tells whether the zone was unreachable until then.
func (z *zoneState) markHeard(now time.Time) (wasUnreachable bool) {
	z.heard, z.missedProbes = now, 0
	if !z.unreachable {
		return false
	}
	z.unreachable, z.reachableSince = false, now
	return true
}

// emptyTooLong notes whether a zone has machines that could be heard, and tells whether it has been
// unreachable without any for so long that it is to be tried again.
func (z *zoneState) emptyTooLong(machines int, now time.Time) bool {
	switch {
	case machines > 0 || !z.unreachable:
		z.emptySince = time.Time{}
	case z.emptySince.IsZero():
		z.emptySince = now
	default:
		return now.Sub(z.emptySince) > emptyFor
	}
	return false
}

// beginProbe tells whether a worker is to be probed now, and which one; index counts on from one
// probe to the next.
func (z *zoneState) beginProbe(now time.Time) (index int, ok bool) {
	if z.probing || now.Sub(z.probedAt) < zoneProbeInterval {
		return 0, false
	}
	z.probing, z.probedAt = true, now
	z.nextProbe++
	return z.nextProbe, true
}

// zone is what was heard of a zone.
func (r *reachability) zone(zone int) *zoneState {
	for len(r.zones) <= zone {
		r.zones = append(r.zones, zoneState{heard: time.Now()})
	}
	return &r.zones[zone]
}

// zoneUnreachable tells whether a zone is cut off from this controller.
func (r *reachability) zoneUnreachable(zone int) bool {
	return zone < len(r.zones) && r.zones[zone].unreachable
}

// forgetZones begins to wait for all zones from now on.
func (r *reachability) forgetZones(now time.Time) {
	for zone := range r.zones {
		r.zones[zone] = zoneState{heard: now}
	}
}

func (c *Controller) zoneState(z int) *zoneState { return c.reachability.zone(z) }

// hearZone notes that a worker in a zone was heard.
func (c *Controller) hearZone(z int, now time.Time) {
	if c.reachability.zone(z).markHeard(now) {
		c.log.Info("zone is reachable again", "zone", c.cache.Zones.Name(z))
	}
}

// superviseZones asks silent zones' workers for a heartbeat, one at a time, and finds out which
// zones are unreachable. The leader does so too where it owns nothing: it must not scale out there.
func (c *Controller) superviseZones(now time.Time) {
	for name := range c.cache.Members {
		c.reachability.leaseSeenAt[name] = now
	}
	if !c.isLeader() && !c.shards.ownsAny() {
		c.reachability.forgetZones(now)
		return
	}
	machines := c.reachableMachinesByZone()
	anyHeard := c.anyZoneHeard(machines, now)
	for zone, inZone := range machines {
		c.superviseZone(zone, inZone, anyHeard, now)
	}
}

// reachableMachinesByZone are the machines that would answer a probe if all is well.
func (c *Controller) reachableMachinesByZone() [][]*storage.Machine {
	machines := make([][]*storage.Machine, c.cache.Zones.Len())
	for machine := range c.machinesInService() {
		if machine.Incarnation > 0 && machine.Addr != "" {
			machines[machine.Zone] = append(machines[machine.Zone], machine)
		}
	}
	return machines
}

// anyZoneHeard tells whether some zone with machines is heard: where none is, the fault may be on this side.
func (c *Controller) anyZoneHeard(machines [][]*storage.Machine, now time.Time) bool {
	limit := zoneHeartbeatLimit(c.cfg.Deployment.Workers) + otherZonesMargin
	heard := false
	for zone := range machines {
		heard = heard || len(machines[zone]) > 0 && c.silenceOf(c.zoneState(zone).heard, now) < limit
	}
	return heard
}

// superviseZone judges one zone by its silence, and probes one of its workers if it is silent.
func (c *Controller) superviseZone(z int, machines []*storage.Machine, anyHeard bool, now time.Time) {
	zone := c.zoneState(z)
	silence := c.silenceOf(zone.heard, now)
	if zone.emptyTooLong(len(machines), now) {
		*zone = zoneState{heard: now}
		c.log.Info("unreachable zone without machines is tried again", "zone", c.cache.Zones.Name(z))
	}
	if len(machines) == 0 || silence < zoneHeartbeatLimit(c.cfg.Deployment.Workers) {
		return
	}
	if !zone.unreachable && anyHeard && c.provesUnreachable(zone, machines, silence) {
		zone.unreachable = true
		c.log.Info("zone is unreachable", "zone", c.cache.Zones.Name(z), "machines", len(machines))
	}
	if index, ok := zone.beginProbe(now); ok {
		c.probeZone(z, machines[index%len(machines)])
	}
}

// provesUnreachable tells whether a zone's silence is long enough and its machines are many enough.
func (c *Controller) provesUnreachable(zone *zoneState, machines []*storage.Machine, silence time.Duration) bool {
	limit, misses := zoneUnreachableAfter(c.cfg.Deployment.Workers), zoneMisses
	if !c.ownsShard(machines[0].Shard) {
		// Nobody there heartbeats to this controller: its probes are all that it hears.
		limit, misses = unownedZoneFactor*limit, unownedZoneFactor*misses
	}
	return len(machines) >= zoneMachines && silence > limit && zone.missedProbes >= misses
}

// probeZone asks one of a zone's workers for its heartbeat.
func (c *Controller) probeZone(z int, machine *storage.Machine) {
	c.probeHeartbeat(machine, func(answered bool) {
		zone := c.zoneState(z)
		zone.probing = false
		if answered {
			c.hearZone(z, time.Now())
		} else {
			zone.missedProbes++
		}
	})
}

// hasControllerInside tells whether a controller that lived when a zone fell silent is inside it:
// its session lease lasted until then, and its connection did not break off, as that of a
// controller does that ends. A controller that owned machines there goes on answering them;
// another is found by most workers before their leases end, even where two silent controllers come
// first in their order.
func (c *Controller) hasControllerInside(z int) bool {
	name, since := c.cache.Zones.Name(z), c.reachability.zones[z].heard
	if since.Sub(c.session.startedAt) < endedBefore {
		return false // this process has not seen who ended
	}
	return slices.ContainsFunc(c.cfg.Known, func(k config.Peer) bool {
		return k.Zone == name && c.reachability.leaseSeenAt[k.MemberName].After(since) &&
			!c.reachability.brokenConnections[k.MemberName].After(since.Add(-endedBefore))
	})
}

// serves tells whether replicas of services that go on run on a machine.
func serves(m *storage.Machine) bool {
	return slices.ContainsFunc(m.Tasks, func(p storage.PlacedTask) bool { return p.Job.Open() && p.Job.Shape == protocol.Service })
}

// needsNoReplacement tells whether what runs in a zone needs no capacity elsewhere: while it is
// unreachable, until machines provisioned from then on would come up too late.
func (c *Controller) needsNoReplacement(z int, now time.Time) bool {
	return c.reachability.zoneUnreachable(z) && c.silenceOf(c.reachability.zones[z].heard, now) < seconds(c.cfg.Deployment.Workers.CancelS/2)
}
