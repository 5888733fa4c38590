package controller

import (
	"slices"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// This file owns what is concluded from the silence of a whole zone. One that is cut off goes on
// working: a controller inside that owned machines there does not know that others own them now, and goes
// on answering their workers. So replicas of services run on, and returning their machines would end
// them; and what is rented there is up, but of no use, until the cut ends.

// zoneState is what this controller has heard of a zone.
type zoneState struct {
	heard          time.Time // any worker in it
	unreachable    bool
	reachableSince time.Time // heard again after it was away
	probedAt       time.Time // a worker there was last asked for its heartbeat
	probing        bool
	missedProbes   int       // unanswered in a row
	nextProbe      int       // whom to ask
	emptySince     time.Time // when it is away: no machine is left there that could be heard, since then
}

const (
	// zoneMachines are too many to fall silent together by themselves.
	zoneMachines = 3
	// zoneMisses is how many of a silent zone's workers must have been asked in vain.
	zoneMisses = 2
	// endedBefore is how long before its zone fell silent a controller's end still counts: a new owner hears
	// of the zone's silence only from its own start on.
	endedBefore = 10 * time.Second
	// emptyFor is how long a zone that is away is left alone after its last machine was given up. Nobody is left
	// there to be heard: it stayed away for ever, nothing was rented in it, and what may run nowhere else waited.
	emptyFor = 15 * time.Second
)

// zoneUnreachableAfter is how long a zone must be silent to be away: longer than its workers may take to report,
// shorter than what has a single machine given up.
func zoneUnreachableAfter(w config.Workers) time.Duration { return seconds(1.25*w.HeartbeatS + 2) }

// hearZone notes that a worker in a zone was heard.
func (c *Controller) hearZone(z int, now time.Time) {
	x := c.zoneState(z)
	x.heard, x.missedProbes = now, 0
	if x.unreachable {
		x.unreachable, x.reachableSince = false, now
		c.log.Info("zone is heard again", "zone", c.cache.Zones.Name(z))
	}
}

func (c *Controller) zoneState(z int) *zoneState {
	for len(c.reachability.zones) <= z {
		c.reachability.zones = append(c.reachability.zones, zoneState{heard: time.Now()})
	}
	return &c.reachability.zones[z]
}

// zoneUnreachable tells whether a zone is cut off from this controller.
func (c *Controller) zoneUnreachable(z int) bool {
	return z < len(c.reachability.zones) && c.reachability.zones[z].unreachable
}

// superviseZones asks silent zones' workers for a heartbeat, one at a time, and finds out which zones are
// away. The leader does so too where it owns nothing: it must not rent there.
func (c *Controller) superviseZones(now time.Time) {
	for name := range c.cache.Members {
		c.reachability.leaseSeenAt[name] = now
	}
	if !c.isLeader() && !slices.ContainsFunc(c.shards.owned, func(v uint64) bool { return v > 0 }) {
		for z := range c.reachability.zones {
			c.reachability.zones[z] = zoneState{heard: now}
		}
		return
	}
	machines := make([][]*storage.Machine, c.cache.Zones.Len())
	for _, m := range c.cache.Machines {
		if !m.Gone && !m.Returning && m.Incarnation > 0 && m.Addr != "" {
			machines[m.Zone] = append(machines[m.Zone], m)
		}
	}
	workers := c.cfg.Deployment.Workers
	expected, heard := seconds(1.25*workers.HeartbeatS+0.75), false
	for z := range machines {
		heard = heard || len(machines[z]) > 0 && c.silenceOf(c.zoneState(z).heard, now) < expected+time.Second
	}
	for z, list := range machines {
		zone := c.zoneState(z)
		silent := c.silenceOf(zone.heard, now)
		if len(list) > 0 || !zone.unreachable {
			zone.emptySince = time.Time{}
		} else if zone.emptySince.IsZero() {
			zone.emptySince = now
		} else if now.Sub(zone.emptySince) > emptyFor {
			*zone = zoneState{heard: now}
			c.log.Info("nothing is left in a zone that was away, it is tried again", "zone", c.cache.Zones.Name(z))
		}
		if len(list) == 0 || silent < expected {
			continue
		}
		quiet, misses := zoneUnreachableAfter(workers), zoneMisses
		if !c.ownsShard(list[0].Shard) {
			quiet, misses = 2*quiet, 2*misses // nobody heartbeats to this controller
		}
		if !zone.unreachable && len(list) >= zoneMachines && heard && silent > quiet && zone.missedProbes >= misses {
			zone.unreachable = true
			c.log.Info("zone is away", "zone", c.cache.Zones.Name(z), "machines", len(list))
		}
		if zone.probing || now.Sub(zone.probedAt) < time.Second/2 {
			continue
		}
		zone.probing, zone.probedAt = true, now
		zone.nextProbe++
		c.probeHeartbeat(list[zone.nextProbe%len(list)], func(answered bool) {
			x := c.zoneState(z)
			x.probing = false
			if answered {
				c.hearZone(z, time.Now())
			} else {
				x.missedProbes++
			}
		})
	}
}

// hasControllerInside tells whether a controller that lived when a zone fell silent is inside it: its hold lasted until
// then, and its connection did not break off, as that of a controller does that ends. A controller that owned machines
// there goes on answering them; another is found by most workers before their leases end, even where
// two silent controllers come first in their order.
func (c *Controller) hasControllerInside(z int) bool {
	name, since := c.cache.Zones.Name(z), c.reachability.zones[z].heard
	if since.Sub(c.session.startedAt) < endedBefore {
		return false // this process has not seen who ended
	}
	return slices.ContainsFunc(c.cfg.Known, func(k config.Peer) bool {
		return k.Zone == name && c.reachability.leaseSeenAt[k.MemberName].After(since) && !c.reachability.brokenConnections[k.MemberName].After(since.Add(-endedBefore))
	})
}

// serves tells whether replicas of services that go on run on a machine.
func serves(m *storage.Machine) bool {
	return slices.ContainsFunc(m.Tasks, func(p storage.PlacedTask) bool { return p.Job.Open() && p.Job.Shape == protocol.Service })
}

// unreachableZoneLimit is how long a machine whose services may run on in a zone that is away may be silent. A controller
// inside that owned it goes on answering its worker, another stands in for its owner (others.go), and
// most cuts are over before the replicas would run elsewhere: their machines' images are there, and with a
// third of the machines room is short. Not for ever, since nobody outside reaches them; where a cancelled job's task is
// on one, its deadline comes first (stops.go).
func unreachableZoneLimit(w config.Workers) time.Duration { return seconds(1.5 * w.CancelS) }

// needsNoReplacement tells whether what runs in a zone needs no room elsewhere: while it is away, until machines
// rented from then on would come up too late.
func (c *Controller) needsNoReplacement(z int, now time.Time) bool {
	return c.zoneUnreachable(z) && c.silenceOf(c.reachability.zones[z].heard, now) < seconds(c.cfg.Deployment.Workers.CancelS/2)
}
